package gatherer

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

func missingAll(shards int, reason answerer.Reason) answerer.Coverage {
	c := answerer.Coverage{Shards: shards}
	for i := range shards {
		c.Missing = append(c.Missing, answerer.Missing{Shard: i, Reason: reason})
	}
	return c
}

// TestMechanisms checks that each mechanism mends a fault of the first zone, and
// that the answer is worse with the mechanism off.
func TestMechanisms(t *testing.T) {
	const shards = 4
	full := answerer.Coverage{Shards: shards, Merged: shards, Documents: 10 * shards}
	noHedge := func(c *Config) { c.Hedge = false }
	noRetry := func(c *Config) { c.Retry = false }
	baseline := func(c *Config) { c.Baseline = true }
	tests := []struct {
		name   string
		fault  exchanger.Result
		silent bool
		change func(*Config)
		want   answerer.Coverage
	}{
		{"straggler, all on", exchanger.Result{}, true, nil, full},
		{"straggler, no hedge", exchanger.Result{}, true, noHedge, missingAll(shards, answerer.ReasonDeadline)},
		{"straggler, baseline", exchanger.Result{}, true, baseline, missingAll(shards, answerer.ReasonDeadline)},
		{"failed, all on", exchanger.Result{Status: exchanger.Failed}, false, nil, full},
		{"failed, no retry", exchanger.Result{Status: exchanger.Failed}, false, noRetry, missingAll(shards, answerer.ReasonInvalid)},
		{"shed, all on", exchanger.Result{Status: exchanger.Shed}, false, nil, full},
		{"shed, no retry", exchanger.Result{Status: exchanger.Shed}, false, noRetry, missingAll(shards, answerer.ReasonShed)},
		{"unreachable, all on", exchanger.Result{Status: exchanger.Unreachable}, false, nil, full},
		{"unreachable, no retry", exchanger.Result{Status: exchanger.Unreachable}, false, noRetry, missingAll(shards, answerer.ReasonUnreachable)},
		{"version gone, all on", exchanger.Result{Status: exchanger.VersionUnavailable}, false, nil, full},
		{"version gone, no retry", exchanger.Result{Status: exchanger.VersionUnavailable}, false, noRetry, missingAll(shards, answerer.ReasonVersion)},
		{"version gone, contract without hedge", exchanger.Result{Status: exchanger.VersionUnavailable}, false, nil, full},
		{"failed, contract without hedge", exchanger.Result{Status: exchanger.Failed}, false, nil, missingAll(shards, answerer.ReasonInvalid)},
		{"out, baseline", exchanger.Result{Status: exchanger.UpstreamOut}, false, baseline, missingAll(shards, answerer.ReasonOut)},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			s := serviceOf(declarer.Search, shards)
			s.Contract.Hedge = !strings.Contains(tt.name, "contract without")
			f := newFleet(s, nil)
			answer := failing(tt.fault, time.Millisecond)
			f.answer = func(owner string, t exchanger.Task) reply {
				r := answer(owner, t)
				r.silent = tt.silent && t.Version != 0 && strings.HasSuffix(t.Upstream, near)
				return r
			}
			a := ask(t, f.start(t, tt.change))
			assertCoverage(t, a, tt.want)
		})
	}
}

// TestReplicaChoice checks that queries learn to avoid a slow upstream, and do not
// with the choice off.
func TestReplicaChoice(t *testing.T) {
	for _, choose := range []bool{true, false} {
		bubble(t, fmt.Sprint(choose), func(t *testing.T) {
			f := newFleet(serviceOf(declarer.Search, 4), failing(exchanger.Result{Version: 5, Newest: 5}, 50*time.Millisecond))
			g := f.start(t, func(c *Config) { c.ReplicaSelection, c.Hedge = choose, false })
			for range 4 {
				ask(t, g)
			}
			took := ask(t, g).Took.Duration
			if isFast := took < 10*time.Millisecond; isFast != choose {
				t.Errorf("took %s with choice %v", took, choose)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shards, queries, burst, percent = 40, 30, 10, 5
		f := newFleet(serviceOf(declarer.Search, shards), nil)
		answer := failing(exchanger.Result{Version: 5, Newest: 5}, 150*time.Millisecond)
		f.answer = func(owner string, t exchanger.Task) reply {
			r := answer(owner, t)
			if t.Shard%2 == 0 && r.took > time.Millisecond {
				r.result = exchanger.Result{Status: exchanger.Failed}
			}
			return r
		}
		g := f.start(t, func(c *Config) { c.ExtraBurst, c.ReplicaSelection = burst, false })
		for range queries {
			ask(t, g)
		}
		most := queries*shards*(100+percent)/100 + burst
		if n := len(f.sent()) + f.probed() - shards; n > most {
			t.Errorf("%d sub-requests for %d first ones, want at most %d", n, queries*shards, most)
		}
	})
}

func TestLosersAreCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow = 150 * time.Millisecond
		s := serviceOf(declarer.Search, 3)
		f := newFleet(s, func(_ string, t exchanger.Task) reply {
			r := reply{result: resultOf(t, 1, 5), took: time.Millisecond}
			r.silent = t.Version != 0 && t.Upstream == "s1-a"
			if t.Version != 0 && t.Shard == 0 {
				r.took = slow
			}
			return r
		})
		g := f.start(t, nil)
		done := make(chan struct{})
		go func() {
			defer close(done)
			ask(t, g)
		}()
		time.Sleep(slow - time.Millisecond)
		f.locked(func() {
			if !slices.Contains(f.cancelled, "s1-a") {
				t.Errorf("cancelled %q before the query ended, want s1-a", f.cancelled)
			}
		})
		<-done
	})
}

func TestNotOwner(t *testing.T) {
	owners := func(s *declarer.Service) (asked, named string) {
		o, _ := viewOf(s).Owner(s.Name, "s0-a")
		return o.ID, map[string]string{"d0a": "d1a", "d1a": "d0a"}[o.ID]
	}
	run := func(t *testing.T, name string, wrongs int, want answerer.Coverage, sent int) {
		bubble(t, name, func(t *testing.T) {
			s := serviceOf(declarer.Search, 1)
			asked, named := owners(s)
			f := newFleet(s, nil)
			f.answer = func(owner string, t exchanger.Task) reply {
				if t.Version == 0 || len(f.tasks) > wrongs {
					return reply{result: resultOf(t, 1, 5)}
				}
				to := map[string]string{asked: named, named: "d0b", "d0b": named}[owner]
				return reply{result: exchanger.Result{Status: exchanger.NotOwner, Owner: to}}
			}
			a := ask(t, f.start(t, func(c *Config) { c.Retry = false }))
			assertCoverage(t, a, want)
			assertSent(t, f, sent)
		})
	}
	run(t, "one hop", 1, answerer.Coverage{Shards: 1, Merged: 1, Documents: 10}, 2)
	run(t, "bounded hops", 9, missingAll(1, answerer.ReasonUnreachable), 1+maxHops)
}

// TestSnapshots loses snapshot 5 in shard 3 after a first query, and checks which
// snapshot the next one is answered from.
func TestSnapshots(t *testing.T) {
	partial := answerer.Coverage{
		Shards: 10, Merged: 9, Documents: 90,
		Missing: []answerer.Missing{{Shard: 3, Reason: answerer.ReasonVersion}},
	}
	tests := []struct {
		name                   string
		oldest                 uint64
		silent                 uint64
		lostOldest, lostNewest uint64
		snapshot               uint64
		want                   answerer.Coverage
	}{
		{"whole query again on another", 1, 0, 1, 4, 4, answerer.Coverage{Shards: 10, Merged: 10, Documents: 100}},
		{"the better of two partial answers", 1, 4, 1, 4, 5, partial},
		{"partial when no other covers more", 5, 0, 6, 7, 5, partial},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			isLost := false
			f := newFleet(serviceOf(declarer.Search, 10), nil)
			f.answer = func(_ string, t exchanger.Task) reply {
				if isLost && t.Shard == 3 {
					return reply{result: resultOf(t, tt.lostOldest, tt.lostNewest), took: 2 * time.Millisecond}
				}
				isSilent := t.Version != 0 && t.Version == tt.silent
				return reply{result: resultOf(t, tt.oldest, 5), took: time.Millisecond, silent: isSilent}
			}
			g := f.start(t, nil)
			assertOneSnapshot(t, ask(t, g), 5)
			f.locked(func() { isLost = true })
			a := ask(t, g)
			assertOneSnapshot(t, a, tt.snapshot)
			assertCoverage(t, a, tt.want)
		})
	}
}

// TestRepartition checks that the snapshot fixes the shard map, and that the new
// map is used once its upstreams tell what they hold.
func TestRepartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serviceOf(declarer.Search, 4)
		s.Maps = append(s.Maps, mapOf(6, "n", 7))
		isReady := false
		f := newFleet(s, func(_ string, t exchanger.Task) reply {
			switch {
			case t.Upstream[0] != 'n':
				return reply{result: resultOf(t, 1, 5)}
			case isReady:
				return reply{result: resultOf(t, 6, 6)}
			default:
				return reply{result: exchanger.Result{Status: exchanger.Shed}}
			}
		})
		g := f.start(t, nil)
		a := ask(t, g)
		assertOneSnapshot(t, a, 5)
		assertCoverage(t, a, answerer.Coverage{Shards: 4, Merged: 4, Documents: 40})
		f.locked(func() { isReady = true })
		time.Sleep(discoverMoreEvery)
		ask(t, g)
		synctest.Wait()
		a = ask(t, g)
		assertOneSnapshot(t, a, 6)
		assertCoverage(t, a, answerer.Coverage{Shards: 7, Merged: 7, Documents: 70})
	})
}

// TestOutDuringQuery checks that no hedge goes to a zone that is taken out after
// the query was planned.
func TestOutDuringQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serviceOf(declarer.Search, 3)
		f := newFleet(s, func(_ string, t exchanger.Task) reply {
			return reply{result: resultOf(t, 1, 5), silent: t.Version != 0 && strings.HasSuffix(t.Upstream, near)}
		})
		g := f.start(t, nil)
		time.AfterFunc(time.Millisecond, func() { f.viewer.Publish(viewOf(s, zones[1])) })
		a := ask(t, g)
		assertCoverage(t, a, answerer.Coverage{Shards: 3, Merged: 3, Documents: 30})
		for _, task := range f.sent() {
			if strings.HasSuffix(task.Upstream, "-b") {
				t.Errorf("%s was asked after its zone was taken out", task.Upstream)
			}
		}
	})
}

// TestOutAfterDiscovery takes a zone out when only its upstreams have told what they
// hold; the others are asked then.
func TestOutAfterDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serviceOf(declarer.Search, 3)
		f := newFleet(s, healthy(time.Millisecond))
		g := f.start(t, func(c *Config) { c.Baseline = true })
		ask(t, g)
		f.viewer.Publish(viewOf(s, zones[0]))
		time.Sleep(discoverEvery)
		assertCoverage(t, ask(t, g), answerer.Coverage{Shards: 3, Merged: 3, Documents: 30})
	})
}

func TestDiscoverOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shards, queries = 5, 20
		f := newFleet(serviceOf(declarer.Search, shards), healthy(10*time.Millisecond))
		g := f.start(t, func(c *Config) { c.Baseline = true })
		var wg sync.WaitGroup
		for range queries {
			wg.Go(func() { ask(t, g) })
		}
		wg.Wait()
		if n := f.probed(); n != shards {
			t.Errorf("%d probes for %d queries at once, want one for each of %d shards", n, queries, shards)
		}
	})
}

// TestGoneServiceIsForgotten checks that memory follows the view.
func TestGoneServiceIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serviceOf(declarer.Search, 5)
		f := newFleet(s, healthy(0))
		g := f.start(t, nil)
		ask(t, g)
		synctest.Wait()
		other := *s
		other.Name = "weld-gallery"
		other.Maps = []declarer.ShardMap{mapOf(1, "w", 1)}
		f.viewer.Publish(viewOf(&other))
		q := query()
		q.Service = other.Name
		if _, err := g.Query(context.Background(), q); err != nil {
			t.Fatal(err)
		}
		var names []string
		g.services.Range(func(name, _ any) bool {
			names = append(names, name.(string))
			return true
		})
		ups, _ := g.tracker.Len()
		if !slices.Equal(names, []string{other.Name}) || ups != len(zones) {
			t.Errorf("remembers services %q and %d upstreams, want %q and %d", names, ups, other.Name, len(zones))
		}
	})
}
