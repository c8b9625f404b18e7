package forwarder

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/upstream/connector"
)

func TestQueryComplete(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		a, took := s.request(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		s.assertTook(took, 10*time.Millisecond, 11*time.Millisecond)
		s.assertSent(4)
		want := []string{"4a", "3a", "2a", "1a"}
		if diff := cmp.Diff(want, strings.Fields(string(a.Body))); diff != "" {
			t.Errorf("records in descending order (-want +got):\n%s", diff)
		}
		if len(a.Stamps) != 4 || a.Missing != 0 {
			t.Errorf("%d stamps, %d shards missing, want 4 and 0", len(a.Stamps), a.Missing)
		}
	})
}

// TestQueryPausedSearcher checks that the shard of a paused searcher is hedged, and that the paused exchange is not
// cancelled.
func TestQueryPausedSearcher(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.behaviors["2a"] = replyAfter(150*time.Millisecond, goodReply("2a"))
		a, took := s.request(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		s.assertTook(took, 20*time.Millisecond, goal/2)
		if a.Missing != 0 || s.sent["2b"] != 1 {
			t.Errorf("%d shards missing, %d requests to the other replica, want 0 and 1", a.Missing, s.sent["2b"])
		}
		time.Sleep(time.Second)
		if s.cancelled != 0 {
			t.Error("the paused exchange was cancelled")
		}
	})
}

// TestQueryPartial checks that a query is answered without a shard of which every replica hangs, just before the
// latency goal.
func TestQueryPartial(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.behaviors["2a"], s.behaviors["2b"] = replyAfter(never, nil), replyAfter(never, nil)
		a, took := s.request(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		s.assertTook(took, goal*4/5, goal)
		if a.Missing != 1 || len(a.Stamps) != 3 {
			t.Errorf("%d shards missing, %d stamps, want 1 and 3", a.Missing, len(a.Stamps))
		}
	})
}

// TestQueryLate checks that a query with too many slow shards is answered as soon as it covers enough of them, even
// after the latency goal.
func TestQueryLate(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		for _, id := range []string{"1a", "1b", "2a", "2b"} {
			s.behaviors[id] = replyAfter(300*time.Millisecond, goodReply(id))
		}
		a, took := s.request(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		s.assertTook(took, 300*time.Millisecond, 350*time.Millisecond)
	})
}

func TestQueryFails(t *testing.T) {
	t.Run("at once when too few shards can still answer", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			for _, id := range []string{"1a", "1b", "2a", "2b"} {
				s.behaviors[id] = failWith(true, false)
			}
			a, took := s.request(s.t.Context(), "/q/x", "")
			s.assertAnswer(a, http.StatusBadGateway)
			s.assertTook(took, 0, 15*time.Millisecond)
		})
	})
	t.Run("not run while its searchers are unreachable", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			for id := range map[string]bool{"1a": true, "1b": true, "2a": true, "2b": true} {
				s.behaviors[id] = failWith(false, true)
			}
			for range 8 {
				s.request(s.t.Context(), "/q/x", "")
			}
			// A query that fails leaves attempts behind that have just started.
			synctest.Wait()
			sent := s.total()
			a, took := s.request(s.t.Context(), "/q/x", "")
			s.assertAnswer(a, http.StatusServiceUnavailable)
			s.assertTook(took, 0, 0)
			s.assertSent(sent)
			if a.RetryAfter <= 0 {
				t.Error("refusal without RetryAfter")
			}
		})
	})
	t.Run("at the deadline", func(t *testing.T) {
		withForwarder(t, 4, func(s *setup) {
			for _, id := range []string{"1a", "1b", "2a", "2b"} {
				s.behaviors[id] = replyAfter(never, nil)
			}
			a, took := s.request(s.t.Context(), "/q/x", "")
			s.assertAnswer(a, http.StatusGatewayTimeout)
			s.assertTook(took, timeout, timeout+10*time.Millisecond)
		})
	})
}

func TestQueryClientDisconnects(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.behaviors["1a"], s.behaviors["1b"] = replyAfter(never, nil), replyAfter(never, nil)
		s.behaviors["2a"], s.behaviors["2b"] = replyAfter(never, nil), replyAfter(never, nil)
		ctx, cancel := context.WithTimeout(s.t.Context(), 50*time.Millisecond)
		defer cancel()
		_, took := s.request(ctx, "/q/x", "")
		s.assertTook(took, 50*time.Millisecond, 51*time.Millisecond)
		time.Sleep(time.Millisecond)
		if inFlight := s.total() - 2 - s.cancelled; inFlight != 0 {
			t.Errorf("%d exchanges still in flight", inFlight)
		}
	})
}

// TestQueryRefusals checks that a shard whose searcher refused the request without running it is retried at another
// replica; such refusals do not count as attempts.
func TestQueryRefusals(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.behaviors["3a"] = replyWith(http.StatusServiceUnavailable, "", true)
		a, _ := s.request(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		if a.Missing != 0 {
			t.Errorf("%d shards missing, want none", a.Missing)
		}
	})
}

// TestQueryRefusedEverywhere checks that a replica that refused without running the request is tried again when all
// replicas of the shard have refused, as when each refuses about half of its requests.
func TestQueryRefusedEverywhere(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.fillBudget("3", 4, 3)
		refusals := 2
		refuseFirst := func(id string) behavior {
			return func(ctx context.Context, req *connector.Request) (*connector.Reply, error) {
				if refusals > 0 {
					refusals--
					return replyWith(http.StatusServiceUnavailable, "", true)(ctx, req)
				}
				return goodReply(id), nil
			}
		}
		s.behaviors["3a"], s.behaviors["3b"] = refuseFirst("3a"), refuseFirst("3b")
		a, _ := s.request(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		if n := s.sent["3a"] + s.sent["3b"]; a.Missing != 0 || n != 3 {
			t.Errorf("%d shards missing after %d requests, want none after 3", a.Missing, n)
		}
	})
}

// TestQueryHedgesOnlyNeeded checks that with little budget left a slow shard that the answer can do without is not
// hedged, but that a second one is.
func TestQueryHedgesOnlyNeeded(t *testing.T) {
	for slow, want := range map[string]int{"2a": 4, "2a 3a": 5} {
		t.Run(slow, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				for _, service := range []string{"2", "3"} {
					s.fillBudget(service, 8, 2)
				}
				for _, id := range strings.Fields(slow) {
					s.behaviors[id] = replyAfter(300*time.Millisecond, goodReply(id))
				}
				a, _ := s.request(s.t.Context(), "/q/x", "")
				s.assertAnswer(a, http.StatusOK)
				if n := s.total(); n < want || want == 4 && n > want {
					t.Errorf("%d requests to searchers, want %d", n, want)
				}
			})
		})
	}
}
