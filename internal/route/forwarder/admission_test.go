package forwarder

import (
	"context"
	"math"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/route/delegator"
)

// fill gives every searcher one slot, and services n requests in flight at each searcher, which last for d.
func (s *setup) fill(n int, d time.Duration, services ...string) {
	s.mu.Lock()
	var changes []follower.Change[declarer.Searcher]
	for addr, id := range s.byAddr {
		zone := map[byte]string{'a': "z", 'b': "other"}[id[1]]
		changes = append(changes, follower.Change[declarer.Searcher]{Item: follower.Item[declarer.Searcher]{
			Name: id, Revision: 9, Value: declarer.Searcher{ID: id, Service: id[:1], Addr: addr, Zone: zone, Slots: 1},
		}})
	}
	s.mu.Unlock()
	s.locator.Searchers().Apply(changes, 9)
	synctest.Wait()
	for _, service := range services {
		searchers := s.views.View().Searchers(service)
		for i := range searchers {
			for range n {
				_, e := s.picker.Pick(searchers[i:i+1], nil, time.Second)
				time.AfterFunc(d, func() { e.End(0) })
			}
		}
	}
}

// assertRefused checks an answer to a request that was refused early enough, and has not run.
func (s *setup) assertRefused(a *Answer, took time.Duration) {
	s.t.Helper()
	s.assertAnswer(*a, http.StatusServiceUnavailable)
	s.assertTook(took, 0, goal/4)
	s.assertSent(0)
	if a.RetryAfter <= 0 || a.Reason != reasonNoRoom {
		s.t.Errorf("reason %q, Retry-After %s, want %q and a time", a.Reason, a.RetryAfter, reasonNoRoom)
	}
}

// TestRefusedWithoutRoom guards against requests that queue at full searchers until all of them are late.
func TestRefusedWithoutRoom(t *testing.T) {
	for _, path := range []string{"/get/x", "/post/x", "/q/x"} {
		t.Run(path, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				s.fill(24, time.Second, "1", "2", "3", "4")
				a, took := s.request(s.t.Context(), path, "")
				s.assertRefused(&a, took)
			})
		})
	}
}

// TestWaitsForRoom guards against a request that is refused although there is room soon, and against one that gets more than
// the time that it has left.
func TestWaitsForRoom(t *testing.T) {
	for _, path := range []string{"/get/x", "/q/x"} {
		t.Run(path, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				s.fill(10, 10*time.Millisecond, "1", "2", "3", "4")
				a, took := s.request(s.t.Context(), path, "")
				s.assertAnswer(a, http.StatusOK)
				s.assertTook(took, 20*time.Millisecond, 25*time.Millisecond)
				for _, id := range []string{"1a", "1b"} {
					s.behaviors[id] = replyAfter(never, nil)
				}
				s.fill(10, 10*time.Millisecond, "1", "2", "3", "4")
				_, took = s.request(s.t.Context(), "/get/x", "")
				s.assertTook(took, timeout, timeout+time.Millisecond)
			})
		})
	}
}

// TestClientLeavesWhileWaiting guards against a request whose client has gone and that is still sent.
func TestClientLeavesWhileWaiting(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.fill(10, 10*time.Millisecond, "1")
		ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Millisecond)
		defer cancel()
		_, took := s.request(ctx, "/get/x", "")
		s.assertTook(took, 5*time.Millisecond, 6*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		s.assertSent(0)
		if n := s.Waiting(); n != 0 {
			t.Errorf("%d requests wait, want none", n)
		}
	})
}

// TestStopWhileWaiting guards against a waiting request that is sent by a daemon that stops, or gets no answer.
func TestStopWhileWaiting(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.fill(10, 10*time.Millisecond, "1")
		time.AfterFunc(5*time.Millisecond, func() {
			s.Refuse()
			s.End()
		})
		a, took := s.request(s.t.Context(), "/get/x", "")
		s.assertAnswer(a, http.StatusServiceUnavailable)
		s.assertTook(took, 0, 6*time.Millisecond)
		s.assertSent(0)
	})
}

// TestFullShards guards against queries that are refused because of shards that they can do without, and against requests
// to such shards that only lengthen their queues.
func TestFullShards(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.fill(3, time.Second, "1", "3", "4")
		s.fill(24, time.Second, "2")
		a, _ := s.request(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		if a.Missing != 1 {
			t.Errorf("%d shards missing, want the one that is full", a.Missing)
		}
		s.assertSent(3)
	})
}

// TestFewLoadedShards guards against queries that are refused because the searchers of a few shards are slow or lost.
func TestFewLoadedShards(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.fill(24, time.Second, "2")
		a, _ := s.request(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		s.assertSent(4)
	})
}

func TestSkipped(t *testing.T) {
	inf := math.Inf(1)
	for _, tt := range []struct {
		name   string
		loads  []float64
		needed int
		middle float64
		want   []bool
	}{
		{"calm", []float64{0, 1, 2, 3}, 1, 1, nil},
		{"all needed", []float64{9, 9}, 2, 9, nil},
		{"most loaded first", []float64{4, 1, 9, 6}, 2, 4, []bool{false, false, true, true}},
		{"not available", []float64{inf, 1, 9, 6}, 2, 6, []bool{false, false, true, false}},
		{"the others have room", []float64{0, 0, 9, 6}, 2, 0, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := shardLoads{loads: tt.loads, needed: tt.needed, middle: tt.middle}
			if diff := cmp.Diff(tt.want, l.skipped()); diff != "" {
				t.Errorf("skipped (-want +got):\n%s", diff)
			}
		})
	}
}

// TestGatherWithoutRoom guards against a daemon that accepts other daemons' queries when the searchers are full, or refuses
// them later than they count as accepted.
func TestGatherWithoutRoom(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.fill(24, time.Second, "1", "2", "3", "4")
		started := time.Now()
		_, refused := s.Admit(s.t.Context(), askFor())
		s.assertTook(time.Since(started), 0, maxGatherWait+time.Millisecond)
		if refused.Code != exchanger.Overloaded || refused.RetryAfter <= 0 || s.Gathers() != 0 {
			t.Errorf("refusal %+v, %d queries gathered, want a time and none", refused, s.Gathers())
		}
	})
}

// TestSwampedGatherer guards against a daemon that accepts queries so late that another one sends them as well.
func TestSwampedGatherer(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		for range 20 {
			s.medianLateness.Record(2*maxQueueing, time.Now())
		}
		if _, refused := s.Admit(s.t.Context(), askFor()); refused.Code != exchanger.Busy {
			t.Errorf("refusal %+v, want %q", refused, exchanger.Busy)
		}
		time.Sleep(time.Minute)
		if job, refused := s.Admit(s.t.Context(), askFor()); refused.Code != "" {
			t.Errorf("refusal %+v a minute later, want none", refused)
		} else {
			_ = job.Run(s.t.Context(), func(*exchanger.Gathered) error { return nil })
		}
	})
}

// TestDelegatedWithoutRoom guards against an overloaded query that the asking daemon sends itself, and against a refusal that
// says "not run" when a part has run.
func TestDelegatedWithoutRoom(t *testing.T) {
	full := delegator.Result{Attempts: 2, Err: &delegator.RefusedError{Refusal: exchanger.Refusal{Code: exchanger.Overloaded, RetryAfter: time.Second}}}
	t.Run("nothing ran", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			s.gatherElsewhere()
			s.delegator = &fakeDelegator{result: full}
			a, took := s.request(s.t.Context(), "/q/x", "")
			s.assertRefused(&a, took)
			if a.RetryAfter < time.Second/2 || a.RetryAfter > time.Second*3/2 {
				t.Errorf("Retry-After %s, want about that of the other daemon, 1 s", a.RetryAfter)
			}
		})
	})
	t.Run("daemons busy", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			s.gatherElsewhere()
			busy := &delegator.RefusedError{Refusal: exchanger.Refusal{Code: exchanger.Busy}}
			s.delegator = &fakeDelegator{result: delegator.Result{Attempts: 2, Err: busy}}
			a, took := s.request(s.t.Context(), "/q/x", "")
			s.assertRefused(&a, took)
		})
	})
	t.Run("after a silent daemon", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			s.gatherElsewhere()
			s.stats.cfg.ExtraSlack = 1000
			s.stats.askerBudget(&testRouting(4).Routes[0], time.Now()).AddTokens(1)
			s.delegator = &fakeDelegator{result: delegator.Result{Attempts: 1, MayHaveRun: true, Err: full.Err}}
			a, _ := s.request(s.t.Context(), "/q/x", "")
			s.assertAnswer(a, http.StatusOK)
		})
	})
	t.Run("a part ran", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			s.gatherElsewhere()
			s.delegator = &fakeDelegator{messages: []*exchanger.Gathered{parts(nil, 0)}, result: full}
			a, _ := s.request(s.t.Context(), "/q/x", "")
			s.assertAnswer(a, http.StatusBadGateway)
		})
	})
	t.Run("gathered here", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			s.fill(24, time.Second, "1", "2", "3", "4")
			s.gatherElsewhere()
			s.delegator = &fakeDelegator{}
			s.self.ID = s.views.View().GatherGroups(s.views.View().Matcher.Route("q"), "z", func([]declarer.Member) bool { return true })[0].Members[0].ID
			a, took := s.request(s.t.Context(), "/q/x", "")
			s.assertRefused(&a, took)
		})
	})
}

// zonesDelegator answers the queries of several zones: the first one refuses, or accepts.
type zonesDelegator struct {
	refuses bool

	mu       sync.Mutex
	asked    int
	admitted int
}

func (z *zonesDelegator) Reachable([]declarer.Member) bool { return true }

func (z *zonesDelegator) Delegate(_ context.Context, _ []declarer.Member, q *delegator.Query) delegator.Result {
	z.mu.Lock()
	z.asked++
	if q.Admitted {
		z.admitted++
	}
	z.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	if z.refuses {
		return delegator.Result{Attempts: 2, Err: &delegator.RefusedError{Refusal: exchanger.Refusal{Code: exchanger.Overloaded, RetryAfter: time.Second}}}
	}
	q.OnAccepted()
	q.OnMessage(parts(nil, q.Shards...))
	return delegator.Result{Final: true}
}

// TestZonesWithoutRoom guards against a query that one zone refuses for lack of room while another one runs its part: it fails
// after it has taken room from others, and cannot be refused as not run.
func TestZonesWithoutRoom(t *testing.T) {
	for _, tt := range []struct {
		name            string
		refuses         bool
		status          int
		asked, admitted int
	}{
		{"first zone refuses", true, http.StatusServiceUnavailable, 1, 0},
		{"first zone accepts", false, http.StatusOK, 2, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				s.gatherElsewhere()
				other := declarer.Member{ID: "o", Zone: "other", Share: 1}
				s.locator.Members().Apply([]follower.Change[declarer.Member]{{Item: follower.Item[declarer.Member]{Name: "o", Revision: 9, Value: other}}}, 9)
				for _, id := range []string{"1a", "2a", "3a"} {
					s.locator.Searchers().Apply([]follower.Change[declarer.Searcher]{{Item: follower.Item[declarer.Searcher]{Name: id, Revision: 9}, Removed: true}}, 9)
				}
				synctest.Wait()
				z := &zonesDelegator{refuses: tt.refuses}
				s.delegator = z
				s.recordOverload(time.Now())
				a, _ := s.request(s.t.Context(), "/q/x", "")
				s.assertAnswer(a, tt.status)
				if z.asked != tt.asked || z.admitted != tt.admitted {
					t.Errorf("%d zones asked, %d of them for an admitted query, want %d and %d", z.asked, z.admitted, tt.asked, tt.admitted)
				}
			})
		})
	}
}

// TestKeyWithdrawnWhileWaiting guards against a request that is sent with a key that was withdrawn while it waited for room.
func TestKeyWithdrawnWhileWaiting(t *testing.T) {
	for _, path := range []string{"/get/x", "/q/x"} {
		t.Run(path, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				s.fill(10, 10*time.Millisecond, "1", "2", "3", "4")
				s.declareAccounts(2, "k2")
				time.AfterFunc(5*time.Millisecond, func() { s.declareAccounts(3) })
				a := s.Handle(s.t.Context(), requestWith("k2", path))
				s.assertAnswer(a, http.StatusUnauthorized)
				s.assertSent(0)
			})
		})
	}
}
