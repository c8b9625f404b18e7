package forwarder

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/upstream/connector"
)

func TestQueryWhole(t *testing.T) {
	withScene(t, 4, func(s *scene) {
		a, took := s.ask(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		s.assertTook(took, 10*time.Millisecond, 11*time.Millisecond)
		s.assertSent(4)
		want := []string{"4a", "3a", "2a", "1a"}
		if diff := cmp.Diff(want, strings.Fields(string(a.Body))); diff != "" {
			t.Errorf("records, greatest first (-want +got):\n%s", diff)
		}
		if len(a.Stamps) != 4 || a.Missing != 0 {
			t.Errorf("%d stamps, %d missing", len(a.Stamps), a.Missing)
		}
	})
}

// TestQueryPause replays a searcher that pauses: its shard is asked elsewhere, and
// the paused exchange may end by itself.
func TestQueryPause(t *testing.T) {
	withScene(t, 4, func(s *scene) {
		s.behaves["2a"] = after(150*time.Millisecond, part("2a"))
		a, took := s.ask(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		s.assertTook(took, 20*time.Millisecond, goal/2)
		if a.Missing != 0 || s.sent["2b"] != 1 {
			t.Errorf("%d missing, %d requests to the other replica", a.Missing, s.sent["2b"])
		}
		time.Sleep(time.Second)
		if s.cancelled != 0 {
			t.Error("the paused exchange was cut")
		}
	})
}

// TestQueryPartial replays a shard of which every replica hangs: what is there goes
// out before the goal has passed.
func TestQueryPartial(t *testing.T) {
	withScene(t, 4, func(s *scene) {
		s.behaves["2a"], s.behaves["2b"] = after(silence, nil), after(silence, nil)
		a, took := s.ask(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		s.assertTook(took, goal*4/5, goal)
		if a.Missing != 1 || len(a.Stamps) != 3 {
			t.Errorf("%d missing, %d stamps", a.Missing, len(a.Stamps))
		}
	})
}

// TestQueryLate replays too many slow shards for the goal: the answer goes out as
// soon as it covers enough, also late.
func TestQueryLate(t *testing.T) {
	withScene(t, 4, func(s *scene) {
		for _, id := range []string{"1a", "1b", "2a", "2b"} {
			s.behaves[id] = after(300*time.Millisecond, part(id))
		}
		a, took := s.ask(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		s.assertTook(took, 300*time.Millisecond, 350*time.Millisecond)
	})
}

func TestQueryGivenUp(t *testing.T) {
	t.Run("at once when it cannot cover enough any more", func(t *testing.T) {
		withScene(t, 4, func(s *scene) {
			for _, id := range []string{"1a", "1b", "2a", "2b"} {
				s.behaves[id] = fail(true, false)
			}
			a, took := s.ask(s.t.Context(), "/q/x", "")
			s.assertAnswer(a, http.StatusBadGateway)
			s.assertTook(took, 0, 15*time.Millisecond)
		})
	})
	t.Run("unrun while its searchers cannot be reached", func(t *testing.T) {
		withScene(t, 4, func(s *scene) {
			for id := range map[string]bool{"1a": true, "1b": true, "2a": true, "2b": true} {
				s.behaves[id] = fail(false, true)
			}
			for range 8 {
				s.ask(s.t.Context(), "/q/x", "")
			}
			sent := s.total()
			a, took := s.ask(s.t.Context(), "/q/x", "")
			s.assertAnswer(a, http.StatusServiceUnavailable)
			s.assertTook(took, 0, 0)
			s.assertSent(sent)
			if a.RetryAfter <= 0 {
				t.Error("no time to come back")
			}
		})
	})
	t.Run("at the deadline", func(t *testing.T) {
		withScene(t, 4, func(s *scene) {
			for _, id := range []string{"1a", "1b", "2a", "2b"} {
				s.behaves[id] = after(silence, nil)
			}
			a, took := s.ask(s.t.Context(), "/q/x", "")
			s.assertAnswer(a, http.StatusGatewayTimeout)
			s.assertTook(took, patience, patience+10*time.Millisecond)
		})
	})
}

func TestQueryClientLeaves(t *testing.T) {
	withScene(t, 4, func(s *scene) {
		s.behaves["1a"], s.behaves["1b"] = after(silence, nil), after(silence, nil)
		s.behaves["2a"], s.behaves["2b"] = after(silence, nil), after(silence, nil)
		ctx, cancel := context.WithTimeout(s.t.Context(), 50*time.Millisecond)
		defer cancel()
		_, took := s.ask(ctx, "/q/x", "")
		s.assertTook(took, 50*time.Millisecond, 51*time.Millisecond)
		time.Sleep(time.Millisecond)
		if running := s.total() - 2 - s.cancelled; running != 0 {
			t.Errorf("%d exchanges still run", running)
		}
	})
}

// TestQueryRefusals replays searchers that refuse many requests unrun: refusals do
// not count as attempts, and each shard has a second chance.
func TestQueryRefusals(t *testing.T) {
	withScene(t, 4, func(s *scene) {
		s.behaves["3a"] = status(http.StatusServiceUnavailable, "", true)
		a, _ := s.ask(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		if a.Missing != 0 {
			t.Errorf("%d missing", a.Missing)
		}
	})
}

// TestQueryRefusedEverywhere replays a shard of which every replica refuses about
// half of its requests unrun: one that refused is asked again.
func TestQueryRefusedEverywhere(t *testing.T) {
	withScene(t, 4, func(s *scene) {
		b := s.stats.budget("3", time.Now())
		b.SetBurst(4)
		b.AddTokens(2)
		refusals := 2
		behaveOnce := func(id string) behave {
			return func(ctx context.Context, req *connector.Request) (*connector.Reply, error) {
				if refusals > 0 {
					refusals--
					return status(http.StatusServiceUnavailable, "", true)(ctx, req)
				}
				return part(id), nil
			}
		}
		s.behaves["3a"], s.behaves["3b"] = behaveOnce("3a"), behaveOnce("3b")
		a, _ := s.ask(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		if n := s.sent["3a"] + s.sent["3b"]; a.Missing != 0 || n != 3 {
			t.Errorf("%d missing after %d requests, want none after 3", a.Missing, n)
		}
	})
}

// TestQuerySparesBudget replays a slow shard that the answer can do without, with
// little budget left: it is not hedged, and a second one is.
func TestQuerySparesBudget(t *testing.T) {
	for slow, want := range map[string]int{"2a": 4, "2a 3a": 5} {
		t.Run(slow, func(t *testing.T) {
			withScene(t, 4, func(s *scene) {
				for _, service := range []string{"2", "3"} {
					b := s.stats.budget(service, time.Now())
					b.SetBurst(4)
					b.AddTokens(1)
				}
				for _, id := range strings.Fields(slow) {
					s.behaves[id] = after(300*time.Millisecond, part(id))
				}
				a, _ := s.ask(s.t.Context(), "/q/x", "")
				s.assertAnswer(a, http.StatusOK)
				if n := s.total(); n < want || want == 4 && n > want {
					t.Errorf("%d requests to searchers, want %d", n, want)
				}
			})
		})
	}
}
