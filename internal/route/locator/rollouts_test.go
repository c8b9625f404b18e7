package locator

import (
	"errors"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
)

// withRollouts runs a test in virtual time with a Locator that follows roll-outs. It has a searcher "old" of version v1 whose
// entry is of revision 2, and roll-outs as of revision 3.
func withRollouts(t *testing.T, test func(l *Locator)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := New(declarer.Member{ID: "a", Zone: "z"}, hclog.NewNullLogger())
		l.Rollouts()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = l.Serve(t.Context())
		}()
		l.Routings().Replace([]follower.Item[*declarer.Routing]{routing(1)}, 1)
		l.Searchers().Replace([]follower.Item[declarer.Searcher]{versioned("old", "v1", 2)}, 2)
		synctest.Wait()
		if ok, _ := l.View().Ready(); ok {
			t.Error("ready before the roll-outs are known")
		}
		l.list(3)
		test(l)
	})
}

// list lists roll-outs as of a revision.
func (l *Locator) list(revision uint64, items ...follower.Item[declarer.Rollout]) {
	sink := &rolloutSink{l}
	sink.Replace(items, revision)
	sink.Confirm(revision)
	synctest.Wait()
}

// confirm confirms the roll-outs as of a revision.
func (l *Locator) confirm(revision uint64) {
	(&rolloutSink{l}).Confirm(revision)
	synctest.Wait()
}

func (l *Locator) addSearcher(it follower.Item[declarer.Searcher]) {
	l.Searchers().Apply(change(it, false), it.Revision)
	synctest.Wait()
}

func versioned(id, version string, revision uint64) follower.Item[declarer.Searcher] {
	return follower.Item[declarer.Searcher]{Name: id, Revision: revision, Value: declarer.Searcher{
		ID: id, Service: "svc", Zone: "z", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Version: version,
	}}
}

func rollout(target string, state declarer.RolloutState, moving bool, revision uint64) follower.Item[declarer.Rollout] {
	return follower.Item[declarer.Rollout]{Name: "svc", Revision: revision, Value: declarer.Rollout{
		Name: "svc", Service: "svc", Target: target, Limit: 12 * time.Second, State: state, Moving: moving,
	}}
}

// assertVersions checks the IDs of the searchers that may get any request and of those on trial.
func assertVersions(t *testing.T, l *Locator, wantAny, wantTrial string) {
	t.Helper()
	synctest.Wait()
	ids := func(searchers []Searcher) string {
		var out []string
		for _, s := range searchers {
			out = append(out, s.ID)
		}
		return strings.Join(slices.Sorted(slices.Values(out)), " ")
	}
	trial := ""
	if tr := l.View().Trial("svc"); tr != nil {
		trial = ids(tr.Searchers)
	}
	got := map[string]string{"any": ids(l.View().Searchers("svc")), "trial": trial}
	if diff := cmp.Diff(map[string]string{"any": wantAny, "trial": wantTrial}, got); diff != "" {
		t.Errorf("searchers (-want +got):\n%s", diff)
	}
}

// TestRolloutAdmission covers which searchers may get requests. Those of a version under test got requests as any other while
// the daemon did not know its order.
func TestRolloutAdmission(t *testing.T) {
	t.Run("a version that no order names", func(t *testing.T) {
		withRollouts(t, func(l *Locator) {
			assertVersions(t, l, "old", "")
			l.addSearcher(versioned("new", "v2", 5))
			assertVersions(t, l, "old", "")
			l.confirm(4)
			assertVersions(t, l, "old", "")
			l.confirm(5)
			assertVersions(t, l, "new old", "")
			// The version is known by now.
			l.addSearcher(versioned("newer", "v2", 9))
			assertVersions(t, l, "new newer old", "")
		})
	})
	t.Run("a version on trial", func(t *testing.T) {
		withRollouts(t, func(l *Locator) {
			l.list(4, rollout("v2", "", false, 4))
			l.addSearcher(versioned("new", "v2", 6))
			assertVersions(t, l, "old", "")
			l.confirm(6)
			assertVersions(t, l, "old", "new")
			// The entry changes; the searcher appeared before.
			l.addSearcher(versioned("new", "v2", 12))
			assertVersions(t, l, "old", "new")
		})
	})
	t.Run("an order for a version in use", func(t *testing.T) {
		withRollouts(t, func(l *Locator) {
			l.addSearcher(versioned("new", "v2", 5))
			l.confirm(5)
			l.list(6, rollout("v2", "", false, 6))
			assertVersions(t, l, "old", "new")
		})
	})
	t.Run("completed", func(t *testing.T) {
		withRollouts(t, func(l *Locator) {
			l.addSearcher(versioned("new", "v2", 5))
			l.list(8, rollout("v2", declarer.RolloutCompleted, false, 8))
			assertVersions(t, l, "new", "")
			// Searchers are also replaced without orders.
			l.addSearcher(versioned("next", "v3", 9))
			l.confirm(9)
			assertVersions(t, l, "new next", "")
		})
	})
	t.Run("rolled back", func(t *testing.T) {
		withRollouts(t, func(l *Locator) {
			l.list(4, rollout("v2", declarer.RolloutRolledBack, false, 4))
			l.addSearcher(versioned("new", "v2", 5))
			l.confirm(6)
			assertVersions(t, l, "old", "")
		})
	})
	t.Run("withdrawn", func(t *testing.T) {
		withRollouts(t, func(l *Locator) {
			l.list(4, rollout("v2", "", false, 4))
			l.addSearcher(versioned("new", "v2", 5))
			l.list(6)
			assertVersions(t, l, "old", "")
			// Without another version, the service would have no searcher.
			l.Searchers().Apply(change(versioned("old", "v1", 2), true), 7)
			assertVersions(t, l, "new", "")
		})
	})
	t.Run("replaced", func(t *testing.T) {
		withRollouts(t, func(l *Locator) {
			l.list(4, rollout("v2", declarer.RolloutRunning, false, 4))
			l.addSearcher(versioned("new", "v2", 5))
			l.list(6, rollout("v3", "", false, 6))
			l.addSearcher(versioned("third", "v3", 7))
			l.confirm(7)
			assertVersions(t, l, "old", "third")
		})
	})
	t.Run("an order that cannot be read", func(t *testing.T) {
		withRollouts(t, func(l *Locator) {
			l.list(4, follower.Item[declarer.Rollout]{Name: "svc", Revision: 4, Err: errors.New("broken")})
			l.addSearcher(versioned("new", "v2", 5))
			l.confirm(9)
			assertVersions(t, l, "old", "")
			l.list(10)
			assertVersions(t, l, "new old", "")
		})
	})
}

// TestRolloutOrder covers what identifies an order. A status went back to running, or an order that was given again went on
// from the counts of the one before.
func TestRolloutOrder(t *testing.T) {
	withRollouts(t, func(l *Locator) {
		l.list(4, rollout("v2", "", false, 4))
		first := l.View().Trial("svc")
		time.Sleep(time.Second)
		l.Notify(&Notice{Rollout: rollout("v2", declarer.RolloutRunning, true, 0).Value, Revision: 6})
		l.list(5, rollout("v2", declarer.RolloutRunning, false, 5))
		second := l.View().Trial("svc")
		if !second.LearnedAt.Equal(first.LearnedAt) || !second.Moving || second.MovedAt.IsZero() {
			t.Errorf("after a notice: %+v; want the same order, moving", second)
		}
		l.Notify(&Notice{Rollout: rollout("v2", "", false, 0).Value})
		synctest.Wait()
		if !l.View().Trial("svc").IsVetoed {
			t.Error("not vetoed after a notice of that")
		}
		l.list(7, rollout("v2", declarer.RolloutRolledBack, false, 7))
		l.Notify(&Notice{Rollout: rollout("v2", declarer.RolloutRunning, true, 0).Value, Revision: 8})
		synctest.Wait()
		if n := len(slices.Collect(maps.Keys(l.View().Trials()))); n > 0 {
			t.Error("running again after the rollback of the same order")
		}
		l.list(9)
		l.list(10, rollout("v2", "", false, 10))
		if again := l.View().Trial("svc"); again == nil || again.IsVetoed || again.LearnedAt.Equal(first.LearnedAt) {
			t.Errorf("order given again: %+v; want another one", again)
		}
	})
}
