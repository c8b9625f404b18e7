package locator

import (
	"testing"
	"testing/synctest"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
)

// inEra returns the position of a revision in era 1.
func inEra(revision uint64) uint64 {
	p, err := declarer.Position(1, revision)
	if err != nil {
		panic(err)
	}
	return p
}

// withState returns the searcher "s1" with a state of its lifetime.
func withState(revision uint64, draining bool, born int64) follower.Item[declarer.Searcher] {
	it := searcher("s1", "a")
	it.Revision, it.Value.Draining, it.Value.Born = revision, draining, born
	return it
}

// present returns the changes that a list without removals causes.
func present[T any](items ...follower.Item[T]) []follower.Change[T] {
	var out []follower.Change[T]
	for _, it := range items {
		out = append(out, follower.Change[T]{Item: it})
	}
	return out
}

// TestRestoredSearchers guards against searchers that get no requests because a restored store lacks them, and against requests to those
// that it lists as they were before they left.
func TestRestoredSearchers(t *testing.T) {
	removal := func(id string) follower.Change[declarer.Searcher] {
		return follower.Change[declarer.Searcher]{Item: follower.Item[declarer.Searcher]{Name: id}, Removed: true}
	}
	for _, tt := range []struct {
		name string
		// before changes the searchers "s1" and "s2" at revision 10, restored is the first list of era 1, at revision 5, and
		// after follows it.
		before, restored, after []follower.Change[declarer.Searcher]
		// want are the searchers that get requests after restored, after after, and after the time for which it is held.
		want [3]string
	}{
		{"missing", nil, []follower.Change[declarer.Searcher]{removal("s1")}, nil, [3]string{"s1 s2", "s1 s2", "s2"}},
		{"missing, registers again", nil, []follower.Change[declarer.Searcher]{removal("s1")}, present(withState(inEra(7), false, 1)), [3]string{"s1 s2", "s1 s2", "s1 s2"}},
		{"missing and draining", present(withState(10, true, 1)), []follower.Change[declarer.Searcher]{removal("s1")}, nil, [3]string{"s2", "s2", "s2"}},
		{"was draining, listed as ready", present(withState(10, true, 1)), present(withState(inEra(5), false, 1)), nil, [3]string{"s2", "s2", "s1 s2"}},
		{"was draining, drains again", present(withState(10, true, 1)), present(withState(inEra(5), false, 1)), present(withState(inEra(7), true, 1)), [3]string{"s2", "s2", "s2"}},
		{"was draining, new lifetime", present(withState(10, true, 1)), present(withState(inEra(5), false, 2)), nil, [3]string{"s1 s2", "s1 s2", "s1 s2"}},
		{"had left, listed again", []follower.Change[declarer.Searcher]{removal("s1")}, present(withState(inEra(5), false, 0)), nil, [3]string{"s2", "s2", "s1 s2"}},
		{"had left, new lifetime", []follower.Change[declarer.Searcher]{removal("s1")}, present(withState(inEra(5), false, 2)), nil, [3]string{"s1 s2", "s1 s2", "s1 s2"}},
		{"unchanged", nil, present(withState(inEra(2), false, 0)), nil, [3]string{"s1 s2", "s1 s2", "s1 s2"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withLocator(t, func(l *Locator) {
				l.Searchers().Apply(tt.before, 10)
				l.Searchers().Apply(tt.restored, inEra(5))
				assertSearchers(t, l, tt.want[0])
				time.Sleep(reregisterTime / 2)
				l.Searchers().Apply(tt.after, inEra(7))
				assertSearchers(t, l, tt.want[1])
				time.Sleep(holdTime - reregisterTime/2 + time.Millisecond)
				assertSearchers(t, l, tt.want[2])
			})
		})
	}
}

// TestRestoredWhileDown guards against a hold that ends while the store is away, when nobody can write again what the copy lacks.
func TestRestoredWhileDown(t *testing.T) {
	withLocator(t, func(l *Locator) {
		l.Searchers().Apply(present(withState(10, true, 1)), 10)
		l.Searchers().Apply(present(withState(inEra(5), false, 1)), inEra(5))
		l.Searchers().Lost(nil)
		time.Sleep(2 * reregisterTime)
		assertSearchers(t, l, "s2")
		l.Searchers().Regained(time.Second)
		time.Sleep(reregisterTime / 2)
		assertSearchers(t, l, "s2")
		time.Sleep(holdTime - reregisterTime/2 + time.Millisecond)
		assertSearchers(t, l, "s1 s2")
	})
}

// TestRestoredWarmUp guards against a fleet that treats every searcher as cold again because its entry has a position of a new era.
func TestRestoredWarmUp(t *testing.T) {
	withLocator(t, func(l *Locator) {
		cold := withState(10, false, 1)
		cold.Value.ColdFor = 5 * time.Second
		l.Searchers().Apply(present(cold), 10)
		synctest.Wait()
		warmAt := l.View().Searchers("svc")
		time.Sleep(3 * time.Second)
		cold.Revision = inEra(5)
		l.Searchers().Apply(present(cold), inEra(5))
		synctest.Wait()
		for _, before := range warmAt {
			for _, s := range l.View().Searchers("svc") {
				if s.ID == before.ID && !s.WarmAt.Equal(before.WarmAt) {
					t.Errorf("searcher %s is warm %s later than before the restore", s.ID, s.WarmAt.Sub(before.WarmAt))
				}
			}
		}
	})
}

// TestRestoredZones guards against requests to a zone that was taken out and that a restored store has no record of.
func TestRestoredZones(t *testing.T) {
	zone := func(revision uint64) follower.Item[string] {
		return follower.Item[string]{Name: "a", Value: "a", Revision: revision}
	}
	for _, tt := range []struct {
		name  string
		after []follower.Change[string]
		want  string
	}{
		{"not written again", nil, "s1 s2"},
		{"taken out again", present(zone(inEra(7))), "s2"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withLocator(t, func(l *Locator) {
				l.Closures().Replace(nil, 9)
				l.Closures().Apply(change(zone(10), false), 10)
				assertSearchers(t, l, "s2")
				l.Closures().Apply(change(zone(10), true), inEra(5))
				time.Sleep(reregisterTime / 2)
				assertSearchers(t, l, "s2")
				l.Closures().Apply(tt.after, inEra(7))
				assertSearchers(t, l, "s2")
				time.Sleep(holdTime - reregisterTime/2 + time.Millisecond)
				assertSearchers(t, l, tt.want)
				// In the same era a zone returns at once.
				l.Closures().Apply(change(zone(inEra(7)), true), inEra(9))
				assertSearchers(t, l, "s1 s2")
			})
		})
	}
}

// TestRestoredDesiredState guards against a desired state that goes back to that of the copy.
func TestRestoredDesiredState(t *testing.T) {
	withLocator(t, func(l *Locator) {
		l.Routings().Apply(present(routing(2)), inEra(5))
		synctest.Wait()
		if v := l.View().Version(); v != 3 {
			t.Errorf("version %d in force, want 3", v)
		}
	})
}

// TestRestoredMembers guards against daemons that are no longer polled because a restored store lacks their records.
func TestRestoredMembers(t *testing.T) {
	withLocator(t, func(l *Locator) {
		it := follower.Item[declarer.Member]{Name: "m", Value: declarer.Member{ID: "m", Zone: "a"}}
		l.Members().Replace([]follower.Item[declarer.Member]{it}, 10)
		l.Members().Apply(change(it, true), inEra(5))
		assertMembers := func(want int) {
			t.Helper()
			synctest.Wait()
			if n := len(l.View().Members()); n != want {
				t.Errorf("%d daemons known, want %d", n, want)
			}
		}
		time.Sleep(reregisterTime / 2)
		assertMembers(1)
		time.Sleep(reregisterTime/2 + time.Millisecond)
		assertMembers(0)
		l.Members().Apply(change(it, false), inEra(7))
		assertMembers(1)
	})
}

// TestRestoredRollouts guards against a status that goes back with the copy, so that a bad version gets requests again or a good one
// none, and against an order that is forgotten because the copy lacks it.
func TestRestoredRollouts(t *testing.T) {
	for _, tt := range []struct {
		name string
		// known is the status that the copy lacks, restored what the copy has.
		known    follower.Item[declarer.Rollout]
		restored []follower.Item[declarer.Rollout]
		// wantAny are the searchers that get any request after the restore, wantLost is the status to be written again.
		wantAny  string
		wantLost declarer.RolloutState
	}{
		{"completed, running again", rollout("v2", declarer.RolloutCompleted, false, 8), []follower.Item[declarer.Rollout]{rollout("v2", declarer.RolloutRunning, false, inEra(5))}, "new next", declarer.RolloutCompleted},
		{"completed in the copy, too", rollout("v2", declarer.RolloutCompleted, false, 8), []follower.Item[declarer.Rollout]{rollout("v2", declarer.RolloutCompleted, false, inEra(5))}, "new next", ""},
		{"rolled back, without a status again", rollout("v2", declarer.RolloutRolledBack, false, 8), []follower.Item[declarer.Rollout]{rollout("v2", "", false, inEra(5))}, "next old", declarer.RolloutRolledBack},
		{"rolled back, order missing", rollout("v2", declarer.RolloutRolledBack, false, 8), nil, "next old", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withRollouts(t, func(l *Locator) {
				l.list(4, rollout("v2", "", false, 4))
				l.addSearcher(versioned("new", "v2", 6))
				l.list(8, tt.known)
				l.addSearcher(versioned("next", "v3", 9))
				l.confirm(9)
				sink := &rolloutSink{l}
				if tt.restored == nil {
					sink.Apply(change(tt.known, true), inEra(5))
				} else {
					sink.Apply(present(tt.restored...), inEra(5))
				}
				assertVersions(t, l, tt.wantAny, "")
				assertLost := func(want declarer.RolloutState) {
					t.Helper()
					got := declarer.RolloutState("")
					for _, lost := range l.View().LostStatuses() {
						got = lost.Rollout.State
					}
					if got != want {
						t.Errorf("status to be written again %q, want %q", got, want)
					}
				}
				assertLost(tt.wantLost)
				// The operator writes the order again before the status is written; the store keeps the status of the copy.
				again, wantLost := rollout("v2", "", false, inEra(7)), tt.wantLost
				if tt.restored != nil {
					again.Value = tt.restored[0].Value
				} else {
					wantLost = tt.known.Value.State
				}
				sink.Apply(present(again), inEra(7))
				assertVersions(t, l, tt.wantAny, "")
				assertLost(wantLost)
				written := tt.known
				written.Revision = inEra(8)
				sink.Apply(present(written), inEra(8))
				assertVersions(t, l, tt.wantAny, "")
				assertLost("")
			})
		})
	}
}
