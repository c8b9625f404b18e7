package locator

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/route/matcher"
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
		if !l.View().IsGathered(&rt) {
			return
		}
		for _, zone := range g.searcherZones {
			got[zone] = len(l.View().gatherers[zone])
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

// TestGatherGroups checks how the shards of a route are divided among zones. The searchers of shard i are in the zones
// i, i+1 and so on, as many as copies says; daemons of the zones in unreachable cannot be asked.
func TestGatherGroups(t *testing.T) {
	zones := []string{"a", "b", "c", "d", "e"}
	for _, tt := range []struct {
		name           string
		shards, copies int
		own            string
		unreachable    string
		want           []string
	}{
		{"own zone has all", 10, 5, "c", "", []string{"c 0123456789"}},
		{"two zones have all", 10, 3, "b", "", []string{"b 014569", "d 2378"}},
		{"zone without searchers", 10, 3, "z", "", []string{"a 034589", "c 1267"}},
		{"own zone out of reach", 10, 3, "b", "b", []string{"a 034589", "c 1267"}},
		{"few shards left", 6, 4, "b", "", []string{"b 013452"}},
		{"nobody in reach", 5, 3, "b", "abcde", []string{" 01234"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := &View{services: make(map[string][]Searcher), gatherers: make(map[string][]declarer.Member)}
			rt := &declarer.Route{}
			for i := range tt.shards {
				name := fmt.Sprint(i)
				rt.Shards = append(rt.Shards, name)
				for n := range tt.copies {
					v.services[name] = append(v.services[name], Searcher{Searcher: declarer.Searcher{Zone: zones[(i+n)%len(zones)]}})
				}
			}
			for _, z := range zones {
				v.gatherers[z] = []declarer.Member{{ID: z, Zone: z}}
			}
			var got []string
			for _, g := range v.GatherGroups(rt, tt.own, func(ms []declarer.Member) bool { return !strings.Contains(tt.unreachable, ms[0].Zone) }) {
				text := g.Zone + " "
				for _, i := range g.Shards {
					text += fmt.Sprint(i)
				}
				got = append(got, text)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("groups (-want +got):\n%s", diff)
			}
		})
	}
}

// TestIsSelfSufficient checks whether a zone's searchers cover all routes: 4 of 5 shards are enough for the query.
func TestIsSelfSufficient(t *testing.T) {
	for _, tt := range []struct {
		name string
		// shards holds the zones of the searchers of each shard, single those of the other route's service.
		shards []string
		single string
		want   bool
	}{
		{"all", []string{"a", "ab", "a", "a", "a"}, "a", true},
		{"enough", []string{"a", "ab", "b", "a", "a"}, "ab", true},
		{"too few shards", []string{"a", "b", "b", "a", "a"}, "a", false},
		{"no searcher of the service", []string{"a", "a", "a", "a", "a"}, "b", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			base := declarer.Route{Host: "h", Idempotent: true, Attempts: 1}
			query, single := base, base
			query.Prefix, query.TopK, query.Coverage = "/q/", 1, 0.8
			single.Prefix, single.Targets = "/s/", []declarer.Target{{Service: "single", Weight: 1}}
			v := &View{services: make(map[string][]Searcher), selfSufficient: &sync.Map{}}
			add := func(service, zones string) {
				for _, z := range zones {
					v.services[service] = append(v.services[service], Searcher{Searcher: declarer.Searcher{Zone: string(z)}})
				}
			}
			for i, zones := range tt.shards {
				query.Shards = append(query.Shards, fmt.Sprint(i))
				add(fmt.Sprint(i), zones)
			}
			add("single", tt.single)
			v.Matcher = matcher.New(&declarer.Routing{Version: 1, Routes: []declarer.Route{query, single}})
			if got := v.IsSelfSufficient("a"); got != tt.want {
				t.Errorf("self-sufficient %t, want %t", got, tt.want)
			}
		})
	}
}
