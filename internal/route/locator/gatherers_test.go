package locator

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
)

// gatherFleet describes a deployment: daemons by zone, each with its processor shares, and zones with a searcher of every
// shard.
type gatherFleet struct {
	shares        map[string][]float64
	searcherZones []string
	connections   int
}

// gatherers returns the zones and numbers of the daemons that gather.
func (g *gatherFleet) gatherers(t *testing.T) map[string]int {
	t.Helper()
	got := make(map[string]int)
	withLocator(t, func(l *Locator) {
		rt := declarer.Route{Name: "q", Host: "h", Prefix: "/", Idempotent: true, Attempts: 2, TopK: 1}
		routing := &declarer.Routing{Version: 4}
		var searchers []follower.Item[declarer.Searcher]
		for i := range 10 {
			name := fmt.Sprint(i)
			rt.Shards = append(rt.Shards, name)
			routing.Services = append(routing.Services, declarer.ServiceLimits{Name: name, Connections: g.connections})
			for _, zone := range g.searcherZones {
				s := searcher(name+zone, zone)
				s.Value.Service = name
				searchers = append(searchers, s)
			}
		}
		routing.Routes = []declarer.Route{rt}
		l.Routings().Replace([]follower.Item[*declarer.Routing]{{Name: "main", Value: routing}}, 1)
		l.Searchers().Replace(searchers, 1)
		var members []follower.Item[declarer.Member]
		for zone, shares := range g.shares {
			for i, share := range shares {
				id := fmt.Sprintf("%s-%d", zone, i)
				members = append(members, follower.Item[declarer.Member]{Name: id, Value: declarer.Member{ID: id, Zone: zone, Share: share}})
			}
		}
		l.Members().Replace(members, 1)
		synctest.Wait()
		for _, m := range l.View().Gatherers(&rt) {
			got[m.Zone]++
		}
	})
	return got
}

// TestGatherers checks which daemons gather queries in deployments of different sizes.
func TestGatherers(t *testing.T) {
	large := slices.Concat([]float64{0.8, 0.8, 0.8}, slices.Repeat([]float64{0.192}, 56))
	equal := slices.Repeat([]float64{0.4}, 20)
	for _, tt := range []struct {
		name  string
		fleet gatherFleet
		want  map[string]int
	}{
		{
			"few daemons for the searchers' connections",
			gatherFleet{map[string][]float64{"a": {0.4, 0.4, 0.4}, "b": {0.4, 0.4}, "c": {0.4}}, []string{"a", "b"}, 31},
			map[string]int{},
		},
		{
			"many daemons, of which a few are large",
			gatherFleet{map[string][]float64{"a": large, "b": large, "c": large}, []string{"a", "b"}, 195},
			map[string]int{"a": 3, "b": 3},
		},
		{
			"many daemons of one size",
			gatherFleet{map[string][]float64{"a": equal, "b": equal, "c": equal}, []string{"a", "c"}, 60},
			map[string]int{"a": 4, "c": 4},
		},
		{
			"shares not known",
			gatherFleet{map[string][]float64{"a": make([]float64, 20), "b": make([]float64, 20)}, []string{"b"}, 60},
			map[string]int{"b": 4},
		},
		{
			"one large daemon in a zone",
			gatherFleet{map[string][]float64{"a": slices.Concat([]float64{0.8}, equal)}, []string{"a"}, 30},
			map[string]int{"a": 4},
		},
		{
			"no bound on connections",
			gatherFleet{map[string][]float64{"a": equal}, []string{"a"}, 0},
			map[string]int{},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, tt.fleet.gatherers(t)); diff != "" {
				t.Errorf("daemons that gather, by zone (-want +got):\n%s", diff)
			}
		})
	}
}
