package forwarder

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/upstream/connector"
)

// holdOff is a time for which a searcher wants no request.
const holdOff = 4 * time.Second

// replyFrom returns a behavior that replies at once as the instance, with a status and what edit adds.
func replyFrom(id, instance string, status int, edit func(m *connector.Meta)) behavior {
	return func(context.Context, *connector.Request) (*connector.Reply, error) {
		rep := goodReply(id)
		rep.Status, rep.Meta.Instance = status, instance
		if status != http.StatusOK {
			rep.Meta.Stamp, rep.Meta.NotRun = "", true
		}
		edit(&rep.Meta)
		return rep, nil
	}
}

func leaving(m *connector.Meta) { m.Leaving = true }

func held(m *connector.Meta) { m.HoldOff = holdOff }

// sendMany sends requests on a path, one each 100 ms, and returns how many of them each searcher of service 1 got.
func (s *setup) sendMany(path string, n int) (a, b int) {
	s.mu.Lock()
	clear(s.sent)
	s.mu.Unlock()
	for range n {
		s.request(s.t.Context(), path, "")
		time.Sleep(100 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent["1a"], s.sent["1b"]
}

// TestLeavingSearcher covers a searcher that says in its answers that it leaves, while its entry says that it is ready. It gets no
// request any more, whoever gathers a query, until it starts again.
func TestLeavingSearcher(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		status     int
	}{
		{"single request", "/post/x", http.StatusOK},
		{"refusal", "/post/x", http.StatusServiceUnavailable},
		{"failure", "/get/x", http.StatusInternalServerError},
		{"query", "/q/x", http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				s.behaviors["1a"] = replyFrom("1a", "1a", tt.status, leaving)
				if a, _ := s.sendMany(tt.path, 10); a != 1 {
					t.Errorf("%d requests reached the searcher, want only the one whose answer said that it leaves", a)
				}
				// Not even when it was no candidate for long, and nobody else can run the request.
				time.Sleep(10 * time.Minute)
				s.behaviors["1b"] = failWith(false, true)
				if a, _ := s.sendMany(tt.path, 10); a != 0 {
					t.Errorf("%d requests reached the searcher later, want 0", a)
				}
				s.restart("1a")
				s.behaviors["1a"] = nil
				if a, _ := s.sendMany(tt.path, 10); a == 0 {
					t.Error("no request reached the searcher after its restart")
				}
			})
		})
	}
	t.Run("query of another daemon", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			s.behaviors["1a"] = replyFrom("1a", "1a", http.StatusOK, leaving)
			for range 5 {
				s.gatherFor(s.t.Context(), askFor(), 0)
			}
			if s.sent["1a"] != 1 {
				t.Errorf("%d requests reached the searcher, want 1", s.sent["1a"])
			}
		})
	})
	for _, instance := range []string{"other", ""} {
		t.Run("another searcher at the address, named "+instance, func(t *testing.T) {
			withForwarder(t, 1, func(s *setup) {
				s.behaviors["1a"] = replyFrom("1a", instance, http.StatusMisdirectedRequest, leaving)
				s.sendMany("/post/x", 1)
				s.behaviors["1a"] = nil
				if a, _ := s.sendMany("/post/x", 20); a == 0 {
					t.Error("no request reached the searcher, although another one has said that it leaves")
				}
			})
		})
	}
}

// TestHeldSearcher covers a searcher that turns a request away and wants none for a time.
func TestHeldSearcher(t *testing.T) {
	for _, path := range []string{"/post/x", "/get/x", "/q/x"} {
		t.Run(path, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				s.behaviors["1a"] = replyFrom("1a", "1a", http.StatusServiceUnavailable, held)
				began := time.Now()
				if a, b := s.sendMany(path, 30); a != 1 || b == 0 {
					t.Errorf("%d requests reached the searcher and %d the other one, want 1 and some", a, b)
				}
				s.behaviors["1a"] = nil
				time.Sleep(time.Until(began.Add(holdOff + time.Second)))
				if a, _ := s.sendMany(path, 30); a == 0 {
					t.Error("no request reached the searcher after the time")
				}
			})
		})
	}
	t.Run("all searchers", func(t *testing.T) {
		withForwarder(t, 1, func(s *setup) {
			for _, id := range []string{"1a", "1b"} {
				s.behaviors[id] = replyFrom(id, id, http.StatusServiceUnavailable, held)
			}
			s.sendMany("/post/x", 1)
			sent := s.total()
			a, took := s.request(s.t.Context(), "/post/x", "")
			s.assertAnswer(a, http.StatusServiceUnavailable)
			s.assertTook(took, 0, 0)
			if s.total() != sent || a.RetryAfter < holdOff-200*time.Millisecond || a.RetryAfter > holdOff+time.Second {
				t.Errorf("%d further requests, retry after %s; want 0, and about %s", s.total()-sent, a.RetryAfter, holdOff)
			}
		})
	})
	t.Run("time in an answer that is no refusal", func(t *testing.T) {
		withForwarder(t, 1, func(s *setup) {
			s.behaviors["1a"] = replyFrom("1a", "1a", http.StatusOK, held)
			if a, _ := s.sendMany("/get/x", 20); a < 2 {
				t.Errorf("%d requests reached the searcher, want more", a)
			}
		})
	})
}

// restart registers a searcher of service 1 as a new process with the same ID.
func (s *setup) restart(id string) {
	s.mu.Lock()
	var entry declarer.Searcher
	for addr, known := range s.byAddr {
		if known == id {
			entry = declarer.Searcher{ID: id, Service: "1", Addr: addr, Zone: "z", Born: 7}
		}
	}
	s.mu.Unlock()
	s.locator.Searchers().Apply([]follower.Change[declarer.Searcher]{{Item: follower.Item[declarer.Searcher]{Name: id, Revision: 9, Value: entry}}}, 9)
	time.Sleep(time.Second)
}
