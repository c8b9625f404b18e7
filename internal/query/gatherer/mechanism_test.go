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

func allMissing(shards int, reason answerer.Reason) answerer.Coverage {
	c := answerer.Coverage{Shards: shards}
	for i := range shards {
		c.Missing = append(c.Missing, answerer.Missing{Shard: i, Reason: reason})
	}
	return c
}

// TestMechanisms checks that each mechanism makes up for a fault of the first zone, and that the
// answer is worse with the mechanism off.
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
		{"straggler, no hedge", exchanger.Result{}, true, noHedge, allMissing(shards, answerer.ReasonDeadline)},
		{"straggler, baseline", exchanger.Result{}, true, baseline, allMissing(shards, answerer.ReasonDeadline)},
		{"failed, all on", exchanger.Result{Status: exchanger.Failed}, false, nil, full},
		{"failed, no retry", exchanger.Result{Status: exchanger.Failed}, false, noRetry, allMissing(shards, answerer.ReasonInvalid)},
		{"shed, all on", exchanger.Result{Status: exchanger.Shed}, false, nil, full},
		{"shed, no retry", exchanger.Result{Status: exchanger.Shed}, false, noRetry, allMissing(shards, answerer.ReasonShed)},
		{"unreachable, all on", exchanger.Result{Status: exchanger.Unreachable}, false, nil, full},
		{"unreachable, no retry", exchanger.Result{Status: exchanger.Unreachable}, false, noRetry, allMissing(shards, answerer.ReasonUnreachable)},
		{"version unavailable, all on", exchanger.Result{Status: exchanger.VersionUnavailable}, false, nil, full},
		{"version unavailable, no retry", exchanger.Result{Status: exchanger.VersionUnavailable}, false, noRetry, allMissing(shards, answerer.ReasonVersion)},
		{"version unavailable, contract without hedge", exchanger.Result{Status: exchanger.VersionUnavailable}, false, nil, full},
		{"failed, contract without hedge", exchanger.Result{Status: exchanger.Failed}, false, nil, allMissing(shards, answerer.ReasonInvalid)},
		{"out, baseline", exchanger.Result{Status: exchanger.UpstreamOut}, false, baseline, allMissing(shards, answerer.ReasonOut)},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			s := newService(declarer.Search, shards)
			s.Contract.Hedge = !strings.Contains(tt.name, "contract without")
			f := newFleet(s, nil)
			answer := failing(tt.fault, time.Millisecond)
			f.answer = func(owner string, t exchanger.Task) reply {
				r := answer(owner, t)
				r.silent = tt.silent && t.Version != 0 && strings.HasSuffix(t.Upstream, localSuffix)
				return r
			}
			a := mustQuery(t, f.start(t, tt.change))
			assertCoverage(t, a, tt.want)
		})
	}
}

// TestReplicaSelection checks that queries avoid a slow upstream after some answers, and do not with
// the selection off.
func TestReplicaSelection(t *testing.T) {
	for _, selection := range []bool{true, false} {
		bubble(t, fmt.Sprint(selection), func(t *testing.T) {
			f := newFleet(newService(declarer.Search, 4), failing(exchanger.Result{Version: 5, Newest: 5}, 50*time.Millisecond))
			g := f.start(t, func(c *Config) { c.ReplicaSelection, c.Hedge = selection, false })
			for range 4 {
				mustQuery(t, g)
			}
			took := mustQuery(t, g).Took.Duration
			if isFast := took < 10*time.Millisecond; isFast != selection {
				t.Errorf("took %s with replica selection %v", took, selection)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shards, queries, burst, percent = 40, 30, 10, 5
		f := newFleet(newService(declarer.Search, shards), nil)
		answer := failing(exchanger.Result{Version: 5, Newest: 5}, 150*time.Millisecond)
		f.answer = func(owner string, t exchanger.Task) reply {
			r := answer(owner, t)
			if t.Shard%2 == 0 && r.delay > time.Millisecond {
				r.result = exchanger.Result{Status: exchanger.Failed}
			}
			return r
		}
		g := f.start(t, func(c *Config) { c.ExtraBurst, c.ReplicaSelection = burst, false })
		for range queries {
			mustQuery(t, g)
		}
		limit := queries*shards*(100+percent)/100 + burst
		if n := len(f.sentTasks()) + f.probeCount() - shards; n > limit {
			t.Errorf("%d sub-requests for %d first ones, want at most %d", n, queries*shards, limit)
		}
	})
}

func TestHedgedAttemptIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow = 150 * time.Millisecond
		s := newService(declarer.Search, 3)
		f := newFleet(s, func(_ string, t exchanger.Task) reply {
			r := reply{result: resultFor(t, 1, 5), delay: time.Millisecond}
			r.silent = t.Version != 0 && t.Upstream == "s1-a"
			if t.Version != 0 && t.Shard == 0 {
				r.delay = slow
			}
			return r
		})
		g := f.start(t, nil)
		done := make(chan struct{})
		go func() {
			defer close(done)
			mustQuery(t, g)
		}()
		time.Sleep(slow - time.Millisecond)
		f.withLock(func() {
			if !slices.Contains(f.cancelled, "s1-a") {
				t.Errorf("cancelled %q before the query ended, want s1-a", f.cancelled)
			}
		})
		<-done
	})
}

func TestNotOwner(t *testing.T) {
	owners := func(s *declarer.Service) (asked, named string) {
		o, _ := newView(s).Owner(s.Name, "s0-a")
		return o.ID, map[string]string{"d0a": "d1a", "d1a": "d0a"}[o.ID]
	}
	run := func(t *testing.T, name string, redirects int, want answerer.Coverage, sent int) {
		bubble(t, name, func(t *testing.T) {
			s := newService(declarer.Search, 1)
			asked, named := owners(s)
			f := newFleet(s, nil)
			f.answer = func(owner string, t exchanger.Task) reply {
				if t.Version == 0 || len(f.tasks) > redirects {
					return reply{result: resultFor(t, 1, 5)}
				}
				to := map[string]string{asked: named, named: "d0b", "d0b": named}[owner]
				return reply{result: exchanger.Result{Status: exchanger.NotOwner, Owner: to}}
			}
			a := mustQuery(t, f.start(t, func(c *Config) { c.Retry = false }))
			assertCoverage(t, a, want)
			assertSent(t, f, sent)
		})
	}
	run(t, "one redirect", 1, answerer.Coverage{Shards: 1, Merged: 1, Documents: 10}, 2)
	run(t, "bounded redirects", 9, allMissing(1, answerer.ReasonUnreachable), 1+maxRedirects)
}

// TestSnapshots makes shard 3 lose snapshot 5 after a first query, and checks which snapshot the next
// query is answered from.
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
		{"query run again on another snapshot", 1, 0, 1, 4, 4, answerer.Coverage{Shards: 10, Merged: 10, Documents: 100}},
		{"the better of two partial answers", 1, 4, 1, 4, 5, partial},
		{"partial when no other covers more", 5, 0, 6, 7, 5, partial},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			isLost := false
			f := newFleet(newService(declarer.Search, 10), nil)
			f.answer = func(_ string, t exchanger.Task) reply {
				if isLost && t.Shard == 3 {
					return reply{result: resultFor(t, tt.lostOldest, tt.lostNewest), delay: 2 * time.Millisecond}
				}
				isSilent := t.Version != 0 && t.Version == tt.silent
				return reply{result: resultFor(t, tt.oldest, 5), delay: time.Millisecond, silent: isSilent}
			}
			g := f.start(t, nil)
			assertOneSnapshot(t, mustQuery(t, g), 5)
			f.withLock(func() { isLost = true })
			a := mustQuery(t, g)
			assertOneSnapshot(t, a, tt.snapshot)
			assertCoverage(t, a, tt.want)
		})
	}
}

// TestRepartition checks that the snapshot determines the shard map, and that the new map is used once
// its upstreams report their versions.
func TestRepartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(declarer.Search, 4)
		s.Maps = append(s.Maps, newShardMap(6, "n", 7))
		isReady := false
		f := newFleet(s, func(_ string, t exchanger.Task) reply {
			switch {
			case t.Upstream[0] != 'n':
				return reply{result: resultFor(t, 1, 5)}
			case isReady:
				return reply{result: resultFor(t, 6, 6)}
			default:
				return reply{result: exchanger.Result{Status: exchanger.Shed}}
			}
		})
		g := f.start(t, nil)
		a := mustQuery(t, g)
		assertOneSnapshot(t, a, 5)
		assertCoverage(t, a, answerer.Coverage{Shards: 4, Merged: 4, Documents: 40})
		f.withLock(func() { isReady = true })
		time.Sleep(minBackgroundDiscoveryInterval)
		mustQuery(t, g)
		synctest.Wait()
		a = mustQuery(t, g)
		assertOneSnapshot(t, a, 6)
		assertCoverage(t, a, answerer.Coverage{Shards: 7, Merged: 7, Documents: 70})
	})
}

// TestOutDuringQuery checks that no hedge goes to a zone that is taken out after the query was
// planned.
func TestOutDuringQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(declarer.Search, 3)
		f := newFleet(s, func(_ string, t exchanger.Task) reply {
			return reply{result: resultFor(t, 1, 5), silent: t.Version != 0 && strings.HasSuffix(t.Upstream, localSuffix)}
		})
		g := f.start(t, nil)
		time.AfterFunc(time.Millisecond, func() { f.viewer.Publish(newView(s, zones[1])) })
		a := mustQuery(t, g)
		assertCoverage(t, a, answerer.Coverage{Shards: 3, Merged: 3, Documents: 30})
		for _, task := range f.sentTasks() {
			if strings.HasSuffix(task.Upstream, "-b") {
				t.Errorf("%s was asked after its zone was taken out", task.Upstream)
			}
		}
	})
}

// TestOutAfterDiscovery checks that upstreams of other zones are asked for their versions when the
// only zone with known versions is taken out.
func TestOutAfterDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(declarer.Search, 3)
		f := newFleet(s, healthy(time.Millisecond))
		g := f.start(t, func(c *Config) { c.Baseline = true })
		mustQuery(t, g)
		f.viewer.Publish(newView(s, zones[0]))
		time.Sleep(minDiscoveryInterval)
		assertCoverage(t, mustQuery(t, g), answerer.Coverage{Shards: 3, Merged: 3, Documents: 30})
	})
}

func TestDiscoveryIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shards, queries = 5, 20
		f := newFleet(newService(declarer.Search, shards), healthy(10*time.Millisecond))
		g := f.start(t, func(c *Config) { c.Baseline = true })
		var wg sync.WaitGroup
		for range queries {
			wg.Go(func() { mustQuery(t, g) })
		}
		wg.Wait()
		if n := f.probeCount(); n != shards {
			t.Errorf("%d probes for %d queries at once, want one for each of %d shards", n, queries, shards)
		}
	})
}

// TestRemovedServiceIsPruned checks that the state of a service and its upstreams is dropped when the
// view no longer has the service.
func TestRemovedServiceIsPruned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(declarer.Search, 5)
		f := newFleet(s, healthy(0))
		g := f.start(t, nil)
		mustQuery(t, g)
		synctest.Wait()
		other := *s
		other.Name = "weld-gallery"
		other.Maps = []declarer.ShardMap{newShardMap(1, "w", 1)}
		f.viewer.Publish(newView(&other))
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
			t.Errorf("holds services %q and %d upstreams, want %q and %d", names, ups, other.Name, len(zones))
		}
	})
}
