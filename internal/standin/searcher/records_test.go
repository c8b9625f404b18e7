package searcher

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
)

func TestHitsArePure(t *testing.T) {
	for shard := range 20 {
		hits := Hits(service, shard, 2, "dent", 1000)
		if diff := cmp.Diff(hits, Hits(service, shard, 2, "dent", 1000)); diff != "" {
			t.Errorf("shard %d: two calls differ (-first +second):\n%s", shard, diff)
		}
		if !slices.IsSortedFunc(hits, Compare) {
			t.Errorf("shard %d: hits are not sorted: %v", shard, hits)
		}
		if diff := cmp.Diff(hits[:1], Hits(service, shard, 2, "dent", 1)); diff != "" {
			t.Errorf("shard %d: the limit changes the best hit (-unlimited +limit 1):\n%s", shard, diff)
		}
		if cmp.Equal(hits, Hits(service, shard, 3, "dent", 1000)) {
			t.Errorf("shard %d: versions 2 and 3 have the same hits", shard)
		}
	}
}

func TestMergedHits(t *testing.T) {
	var all []answerer.Hit
	for shard := range 4 {
		all = append(all, Hits(service, shard, 2, "dent", 1000)...)
	}
	slices.SortFunc(all, Compare)
	if diff := cmp.Diff(all[:7], MergedHits(service, []int{3, 1, 0, 2}, 2, "dent", 7)); diff != "" {
		t.Errorf("merged (-want +got):\n%s", diff)
	}
}

func TestFleet(t *testing.T) {
	f, cleanup, err := NewFleet(FleetConfig{Template: Config{Warm: true}, AnyPort: true}, []declarer.Service{repartitioned()})
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	tests := []struct {
		upstream string
		shard    int
		version  uint64
		want     int
	}{
		{"u0", 0, 1, http.StatusOK},
		{"u0", 1, 1, http.StatusNotFound},
		{"u0", 1, 5, http.StatusOK},
		{"u1", 1, 4, http.StatusOK},
		{"u1", 1, 5, http.StatusNotFound},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s shard %d version %d", tt.upstream, tt.shard, tt.version), func(t *testing.T) {
			assertSearchStatus(t, f, tt.upstream, tt.shard, tt.version, tt.want)
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := f.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// repartitioned returns a service whose shard 1 moves from upstream u1 to u0 in version 5.
func repartitioned() declarer.Service {
	up := func(name string) []declarer.Upstream {
		return []declarer.Upstream{{Name: name, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "addis-a"}}
	}
	shards := func(first, second string) []declarer.Shard {
		return []declarer.Shard{{ID: 0, Replicas: up(first)}, {ID: 1, Replicas: up(second)}}
	}
	return declarer.Service{
		Name:     service,
		Capacity: declarer.Capacity{Slots: 3, ColdSlots: 1, Connections: 30},
		Maps:     []declarer.ShardMap{{FromVersion: 1, Shards: shards("u0", "u1")}, {FromVersion: 5, Shards: shards("u0", "u0")}},
	}
}

// assertSearchStatus checks the HTTP status of a search on an upstream of the fleet's first service.
func assertSearchStatus(t *testing.T, f *Fleet, upstream string, shard int, version uint64, want int) {
	t.Helper()
	ups := f.Services()[0].Upstreams()
	i := slices.IndexFunc(ups, func(u declarer.Upstream) bool { return u.Name == upstream })
	q := query("r")
	q.Shard, q.Version = shard, version
	data, err := json.Marshal(q)
	if err != nil {
		t.Fatal(err)
	}
	url := fmt.Sprintf("http://%s/search", ups[i].Addr)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(string(data)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != want {
		t.Errorf("status %d, want %d", resp.StatusCode, want)
	}
}
