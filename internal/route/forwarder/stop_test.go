package forwarder

import (
	"net/http"
	"testing"
	"time"
)

// stopAfter is when a test stops the daemon: after the latency goal and before the timeout.
const stopAfter = 3 * goal

// TestEndAnswers covers the end of a planned stop: requests in flight were cut off without an answer (review/2).
func TestEndAnswers(t *testing.T) {
	tests := []struct {
		name, path string
	}{
		{"request that may not be repeated", "/post/x"},
		{"request that may be repeated", "/get/x"},
		{"query without enough shards", "/q/x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				for _, id := range []string{"1a", "1b", "2a", "2b"} {
					s.behaviors[id] = replyAfter(never, nil)
				}
				time.AfterFunc(stopAfter, s.End)
				a, took := s.request(s.t.Context(), tt.path, "")
				s.assertAnswer(a, http.StatusGatewayTimeout)
				s.assertTook(took, stopAfter, stopAfter+goal/10)
			})
		})
	}
	t.Run("query of another daemon", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			s.behaviors["1a"], s.behaviors["1b"] = replyAfter(never, nil), replyAfter(never, nil)
			time.AfterFunc(stopAfter, s.End)
			began := time.Now()
			g, got := s.gatherFor(s.t.Context(), askFor(), 0)
			if got != "123" || !g.MayHaveRun {
				t.Errorf("gathered %q, may have run %t; want shards 1 to 3 and that another may have run", got, g.MayHaveRun)
			}
			s.assertTook(time.Since(began), stopAfter, stopAfter+goal/10)
		})
	})
	t.Run("query that another daemon gathers", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			s.gatherElsewhere()
			s.delegator = &fakeDelegator{pause: stopAfter * 2}
			time.AfterFunc(stopAfter, s.End)
			a, took := s.request(s.t.Context(), "/q/x", "")
			s.assertAnswer(a, http.StatusGatewayTimeout)
			s.assertTook(took, stopAfter, stopAfter+goal/10)
		})
	})
}

// TestRefuseBeforeEnd checks that a request that comes too late in a planned stop is refused before it is sent, also when its
// body took long: such requests were passed on and cut off (review/2).
func TestRefuseBeforeEnd(t *testing.T) {
	for _, path := range []string{"/post/x", "/get/x", "/q/x"} {
		t.Run(path, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				s.Refuse()
				a, _ := s.request(s.t.Context(), path, "")
				s.assertAnswer(a, http.StatusServiceUnavailable)
				s.assertSent(0)
			})
		})
	}
	t.Run("body that takes long", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			a := s.upload("/post/x", func() { s.Refuse() })
			s.assertAnswer(a, http.StatusServiceUnavailable)
			s.assertSent(0)
		})
	})
}
