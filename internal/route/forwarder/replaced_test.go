package forwarder

import (
	"net/http"
	"testing"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
)

// replaceSearchers drains the searchers of service 1 and registers another one, "1c".
func (s *setup) replaceSearchers() {
	s.mu.Lock()
	var changes []follower.Change[declarer.Searcher]
	add := func(e declarer.Searcher) {
		changes = append(changes, follower.Change[declarer.Searcher]{Item: follower.Item[declarer.Searcher]{Name: e.ID, Revision: 9, Value: e}})
	}
	for addr, id := range s.byAddr {
		if id == "1a" || id == "1b" {
			add(declarer.Searcher{ID: id, Service: "1", Addr: addr, Zone: "z", Draining: true})
		}
	}
	s.byAddr[replacementAddr] = "1c"
	add(declarer.Searcher{ID: "1c", Service: "1", Addr: replacementAddr, Zone: "z"})
	s.mu.Unlock()
	s.locator.Searchers().Apply(changes, 9)
}

// TestReplacedDuringUpload covers a body that takes long. The request must go to the searchers of the moment at which it can be
// sent: it went to those of the moment at which its head had arrived, which had drained meanwhile (review/4).
func TestReplacedDuringUpload(t *testing.T) {
	for _, path := range []string{"/post/x", "/q/x"} {
		t.Run(path, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				a := s.upload(path, s.replaceSearchers)
				s.assertAnswer(a, http.StatusOK)
				s.assertReplaced(0)
			})
		})
	}
	t.Run("route removed", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			a := s.upload("/post/x", func() {
				routing := testRouting(4)
				routing.Version++
				routing.Routes = routing.Routes[:1]
				s.locator.Routings().Replace([]follower.Item[*declarer.Routing]{{Name: "main", Value: routing}}, 2)
			})
			s.assertAnswer(a, http.StatusNotFound)
			s.assertSent(0)
		})
	})
}

// TestReplacedBeforeRetry covers a request whose first attempt takes long and fails. The next one must not go to a searcher that
// has drained meanwhile (the cause of review/4).
func TestReplacedBeforeRetry(t *testing.T) {
	for _, path := range []string{"/get/x", "/q/x"} {
		t.Run(path, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				s.hangFirst()
				s.fillBudget("1", 4, 4)
				time.AfterFunc(5*time.Millisecond, s.replaceSearchers)
				a, _ := s.request(s.t.Context(), path, "")
				s.assertAnswer(a, http.StatusOK)
				s.assertReplaced(1)
			})
		})
	}
	t.Run("query of another daemon", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			s.hangFirst()
			time.AfterFunc(5*time.Millisecond, s.replaceSearchers)
			s.gatherFor(s.t.Context(), askFor(), 0)
			s.assertReplaced(1)
		})
	})
	t.Run("shard that others could not reach", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			s.gatherElsewhere()
			s.delegator = &fakeDelegator{pause: goal}
			s.delegator.(*fakeDelegator).result.Attempts = 2
			time.AfterFunc(5*time.Millisecond, s.replaceSearchers)
			a, _ := s.request(s.t.Context(), "/q/x", "")
			s.assertAnswer(a, http.StatusOK)
			s.assertReplaced(0)
		})
	})
}

// hangFirst makes the searchers of service 1 fail after 30 ms.
func (s *setup) hangFirst() {
	for _, id := range []string{"1a", "1b"} {
		s.behaviors[id] = replyAfter(30*time.Millisecond, &failedReply)
	}
}

// assertReplaced checks that n requests went to the searchers of service 1 that were replaced, and one to the new one.
func (s *setup) assertReplaced(n int) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.sent["1a"] + s.sent["1b"]; old != n || s.sent["1c"] != 1 {
		s.t.Errorf("%d requests to the searchers that were replaced and %d to the new one, want %d and 1", old, s.sent["1c"], n)
	}
}
