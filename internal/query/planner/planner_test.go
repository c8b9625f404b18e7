package planner

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/query/tracker"
)

var zones = []string{"a", "b", "c"}

const newest = 12

// drawLayout draws a service of one or two shard maps, some of whose upstreams are out or have no
// owner.
func drawLayout(t *rapid.T) *Layout {
	s := &declarer.Service{Name: "s"}
	from := uint64(1)
	for m := range rapid.IntRange(1, 2).Draw(t, "maps") {
		sm := declarer.ShardMap{FromVersion: from}
		for i := range rapid.IntRange(1, 5).Draw(t, "shards") {
			sh := declarer.Shard{ID: i}
			for r := range rapid.IntRange(1, 3).Draw(t, "replicas") {
				sh.Replicas = append(sh.Replicas, upstream(fmt.Sprintf("m%d-%d-%d", m, i, r), zones[r]))
			}
			sm.Shards = append(sm.Shards, sh)
		}
		s.Maps = append(s.Maps, sm)
		from += rapid.Uint64Range(1, newest).Draw(t, "from")
	}
	for _, u := range s.Upstreams() {
		if rapid.IntRange(0, 5).Draw(t, "out") == 0 {
			s.Out = append(s.Out, u.Name)
		}
	}
	daemonZones := rapid.IntRange(1, 3).Draw(t, "staffed")
	return NewLayout(newView(s, daemonZones), s)
}

// newView builds a view with a daemon in each of the first daemonZones zones.
func newView(s *declarer.Service, daemonZones int) *viewer.View {
	var ins []declarer.Instance
	for _, zone := range zones[:daemonZones] {
		ins = append(ins, declarer.Instance{ID: "d-" + zone, Zone: zone})
	}
	objects := []declarer.Object{{Key: declarer.Key{Kind: declarer.KindService, Name: s.Name}, Version: 1, Service: s}}
	return viewer.Build(ins[0], objects, ins)
}

func upstream(name, zone string) declarer.Upstream {
	return declarer.Upstream{Name: name, Zone: zone, Addr: netip.MustParseAddrPort("127.0.0.1:9000")}
}

func drawReadings(t *rapid.T, n int) []tracker.Reading {
	readings := make([]tracker.Reading, n)
	for i := range readings {
		oldest := rapid.Uint64Range(1, newest).Draw(t, "oldest")
		readings[i] = tracker.Reading{
			VersionsKnown: rapid.IntRange(0, 4).Draw(t, "known") > 0,
			Oldest:        oldest,
			Newest:        rapid.Uint64Range(oldest, newest).Draw(t, "newest"),
			BackingOff:    rapid.IntRange(0, 6).Draw(t, "down") == 0,
			VersionsAge:   time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * time.Second,
			Latency:       time.Duration(rapid.IntRange(0, 50).Draw(t, "latency")) * time.Millisecond,
		}
	}
	return readings
}

// coveredBy returns the number of shards of version v's map with a usable replica that holds v and is
// not backing off, and the number of all shards of the map.
func coveredBy(l *Layout, readings []tracker.Reading, v uint64) (n, all int) {
	m, ok := l.Service.MapFor(v)
	if !ok {
		return 0, 1
	}
	byName := make(map[string]int)
	for i := range l.Upstreams {
		byName[l.Upstreams[i].Name] = i
	}
	for _, sh := range m.Shards {
		for _, u := range sh.Replicas {
			if i := byName[u.Name]; l.IsUsable(i) && !readings[i].BackingOff && readings[i].HasVersion(v) {
				n++
				break
			}
		}
	}
	return n, len(m.Shards)
}

// TestPin compares the pinned version with an exhaustive search of all versions.
func TestPin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLayout(t)
		readings := drawReadings(t, len(l.Upstreams))
		p := l.Plan(readings, Options{SelectReplicas: true, Seed: rapid.Uint64().Draw(t, "seed")})
		want, wantN, wantAll := uint64(0), 0, 1
		for v := uint64(newest); v > 0; v-- {
			if n, all := coveredBy(l, readings, v); n*wantAll > wantN*all {
				want, wantN, wantAll = v, n, all
			}
		}
		if want == 0 {
			return
		}
		gotN, gotAll := coveredBy(l, readings, p.Version)
		if gotN*wantAll != wantN*gotAll || wantN == wantAll && p.Version != want {
			t.Fatalf("pinned %d, which covers %d of %d shards; want %d, which covers %d of %d",
				p.Version, gotN, gotAll, want, wantN, wantAll)
		}
		if p.Covered != gotN {
			t.Fatalf("covered %d, want %d", p.Covered, gotN)
		}
	})
}

// TestPlan checks that a plan has every shard of its snapshot, asks only usable upstreams that may
// hold it, and batches each shard with the owner of its first replica.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLayout(t)
		readings := drawReadings(t, len(l.Upstreams))
		o := Options{SelectReplicas: rapid.Bool().Draw(t, "choose"), Seed: rapid.Uint64().Draw(t, "seed")}
		p := l.Plan(readings, o)
		if p.Version == 0 {
			return
		}
		m, _ := l.Service.MapFor(p.Version)
		if len(p.Shards) != len(m.Shards) {
			t.Fatalf("%d shards planned, want %d", len(p.Shards), len(m.Shards))
		}
		batched := make(map[int32]int)
		for _, b := range p.Batches {
			for _, i := range b.Shards {
				batched[i] = b.Owner
			}
		}
		for i, sh := range p.Shards {
			owner, ok := batched[int32(i)]
			if ok != (len(sh.Replicas) > 0) || ok == (sh.Reason != "") {
				t.Fatalf("shard %d: batched %v with replicas %v and reason %q", i, ok, sh.Replicas, sh.Reason)
			}
			if ok && owner != l.Upstreams[sh.Replicas[0]].Owner {
				t.Fatalf("shard %d is batched for owner %d, which does not own its first replica", i, owner)
			}
			checkReplicas(t, l, readings, p.Version, m.Shards[i], sh.Replicas)
		}
	})
}

func checkReplicas(t *rapid.T, l *Layout, readings []tracker.Reading, v uint64, sh declarer.Shard, ups []int32) {
	seen := make(map[string]bool)
	for _, u := range sh.Replicas {
		seen[u.Name] = true
	}
	for _, up := range ups {
		r, name := &readings[up], l.Upstreams[up].Name
		if !seen[name] {
			t.Fatalf("%s is listed twice or is not a replica of shard %d", name, sh.ID)
		}
		delete(seen, name)
		if !l.IsUsable(int(up)) {
			t.Fatalf("%s is out or has no owner", name)
		}
		if r.VersionsKnown && !r.HasVersion(v) && (r.VersionsAge <= staleAge || v < r.Oldest) {
			t.Fatalf("%s holds %d to %d, not %d", name, r.Oldest, r.Newest, v)
		}
	}
}

func TestOrder(t *testing.T) {
	s := &declarer.Service{Name: "s", Maps: []declarer.ShardMap{{FromVersion: 1, Shards: []declarer.Shard{{
		Replicas: []declarer.Upstream{upstream("u0", "b"), upstream("u1", "a"), upstream("u2", "c")},
	}}}}}
	tests := []struct {
		name           string
		change         func([]tracker.Reading)
		selectReplicas bool
		want           []int32
	}{
		{"own zone first", func([]tracker.Reading) {}, true, []int32{1, 0, 2}},
		{"declared order without selection", func([]tracker.Reading) {}, false, []int32{0, 1, 2}},
		{"slow replica in the own zone", func(r []tracker.Reading) { r[1].Latency = 50 * time.Millisecond }, true, []int32{0, 2, 1}},
		{"loaded replica in the own zone", func(r []tracker.Reading) { r[1].Load, r[0].Load = 500, 100 }, true, []int32{2, 0, 1}},
		{"replica backing off last", func(r []tracker.Reading) { r[1].BackingOff = true }, true, []int32{0, 2, 1}},
		{"unknown versions after known ones", func(r []tracker.Reading) { r[1].VersionsKnown = false }, true, []int32{0, 2, 1}},
		{"replica with only older versions left out", func(r []tracker.Reading) { r[1].Newest = 4 }, true, []int32{0, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			readings := make([]tracker.Reading, 3)
			for i := range readings {
				readings[i] = tracker.Reading{VersionsKnown: true, Oldest: 1, Newest: 5, Latency: time.Millisecond}
			}
			readings[2].Latency = 2 * time.Millisecond
			tt.change(readings)
			p := NewLayout(newView(s, 3), s).Plan(readings, Options{SelectReplicas: tt.selectReplicas, Seed: 1})
			if diff := cmp.Diff(tt.want, p.Shards[0].Replicas); diff != "" {
				t.Errorf("replicas (-want +got):\n%s", diff)
			}
		})
	}
}

func TestMissingReason(t *testing.T) {
	shard := func(id int, ups ...declarer.Upstream) declarer.Shard { return declarer.Shard{ID: id, Replicas: ups} }
	s := &declarer.Service{Name: "s", Out: []string{"u1"}, Maps: []declarer.ShardMap{{FromVersion: 1, Shards: []declarer.Shard{
		shard(0, upstream("u0", "a")), shard(1, upstream("u1", "a")), shard(2, upstream("u2", "c")), shard(3, upstream("u3", "a")),
	}}}}
	readings := []tracker.Reading{{VersionsKnown: true, Oldest: 5, Newest: 5}, {}, {}, {VersionsKnown: true, Oldest: 4, Newest: 4}}
	p := NewLayout(newView(s, 1), s).Plan(readings, Options{})
	var got []answerer.Reason
	for _, sh := range p.Shards {
		got = append(got, sh.Reason)
	}
	want := []answerer.Reason{"", answerer.ReasonOut, answerer.ReasonUnreachable, answerer.ReasonVersion}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reasons (-want +got):\n%s", diff)
	}
}

// TestMain fixes the seed of property tests; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}
