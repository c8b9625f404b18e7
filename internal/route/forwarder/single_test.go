package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/route/picker"
	"cornelwood.example/internal/upstream/connector"
)

func TestSinglePassedOn(t *testing.T) {
	for _, code := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
		withScene(t, 1, func(s *scene) {
			s.behaves["1a"] = status(code, "st", false)
			s.behaves["1b"] = s.behaves["1a"]
			a, _ := s.ask(s.t.Context(), "/post/x", "body")
			s.assertAnswer(a, code)
			s.assertSent(1)
			if a.Reason != "" {
				t.Errorf("status %d: an answer of the daemon's own: %s", code, a.Reason)
			}
		})
	}
}

// TestSingleOnce covers requests that may not be repeated: sent again only when
// the first searcher surely did not run them.
func TestSingleOnce(t *testing.T) {
	tests := []struct {
		name   string
		first  behave
		status int
		sent   int
	}{
		{"no connection", fail(false, true), http.StatusOK, 2},
		{"broken before the first byte", fail(false, false), http.StatusOK, 2},
		{"broken after", fail(true, false), http.StatusBadGateway, 1},
		{"refused unrun", status(http.StatusServiceUnavailable, "", true), http.StatusOK, 2},
		{"another searcher at the address", status(http.StatusMisdirectedRequest, "", false), http.StatusOK, 2},
		{"503 without a promise", status(http.StatusServiceUnavailable, "st", false), http.StatusBadGateway, 1},
		{"success without a signature", status(http.StatusOK, "", false), http.StatusBadGateway, 1},
		{"hangs", after(silence, nil), http.StatusGatewayTimeout, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withScene(t, 1, func(s *scene) {
				s.behaves["1a"] = tt.first
				a, _ := s.ask(s.t.Context(), "/post/x", "body")
				s.assertAnswer(a, tt.status)
				s.assertSent(tt.sent)
				if !s.fresh {
					t.Error("sent on a connection that may be stale")
				}
			})
		})
	}
}

func TestSingleRepeated(t *testing.T) {
	for name, b := range map[string]behave{
		"breaks off": fail(true, false),
		"fails":      status(http.StatusInternalServerError, "st", false),
		"hangs":      after(silence, nil),
	} {
		t.Run(name, func(t *testing.T) {
			withScene(t, 1, func(s *scene) {
				s.behaves["1a"] = b
				a, took := s.ask(s.t.Context(), "/get/x", "")
				s.assertAnswer(a, http.StatusOK)
				s.assertTook(took, 0, goal)
				s.assertSent(2)
			})
		})
	}
}

// TestSingleRefused checks that a refusal promises only what is true.
func TestSingleRefused(t *testing.T) {
	withScene(t, 1, func(s *scene) {
		s.behaves["1a"] = status(http.StatusServiceUnavailable, "", true)
		s.behaves["1b"] = s.behaves["1a"]
		a, _ := s.ask(s.t.Context(), "/post/x", "body")
		s.assertAnswer(a, http.StatusServiceUnavailable)
		if a.RetryAfter <= 0 {
			t.Error("no time to come back")
		}
	})
}

func TestAnswersOfItsOwn(t *testing.T) {
	tests := []struct {
		name, path, body string
		want             int
	}{
		{"no route", "/none/x", "", http.StatusNotFound},
		{"large body", "/post/x", "more than ten bytes", http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withScene(t, 1, func(s *scene) {
				a, _ := s.ask(s.t.Context(), tt.path, tt.body)
				s.assertAnswer(a, tt.want)
				s.assertSent(0)
			})
		})
	}
}

// TestBudget replays an outage of half of the searchers: extra requests stay
// within the share and the slack.
func TestBudget(t *testing.T) {
	withScene(t, 1, func(s *scene) {
		s.behaves["1a"] = fail(true, false)
		s.behaves["1b"] = s.behaves["1a"]
		const n = 400
		started := time.Now()
		for range n {
			s.ask(context.Background(), "/get/x", "")
			time.Sleep(10 * time.Millisecond)
		}
		windows := float64(time.Since(started)) / float64(s.cfg.ExtraWindow)
		most := n*s.cfg.ExtraPercent/100 + s.cfg.ExtraSlack*int(windows+1)
		if extra := s.total() - n; extra > most {
			t.Errorf("%d extra requests, want at most %d", extra, most)
		}
	})
}

func TestTarget(t *testing.T) {
	rt := &declarer.Route{Targets: []declarer.Target{{Service: "a", Weight: 1}, {Service: "none", Weight: 0}, {Service: "b", Weight: 3}}}
	for random, want := range map[float64]string{0: "a", 0.24: "a", 0.26: "b", 0.99: "b"} {
		if got := target(rt, random); got != want {
			t.Errorf("random %g: got %q, want %q", random, got, want)
		}
	}
}

func TestJudge(t *testing.T) {
	tests := []struct {
		name string
		rep  *connector.Reply
		want verdict
	}{
		{"success", &connector.Reply{Status: 200, Meta: connector.Meta{Stamp: "s"}}, success},
		{"client's fault", &connector.Reply{Status: 404, Meta: connector.Meta{Stamp: "s"}}, final},
		{"408 without a promise", &connector.Reply{Status: 408, Meta: connector.Meta{Stamp: "s"}}, failure},
		{"429 unrun", &connector.Reply{Status: 429, Meta: connector.Meta{NotRun: true}}, notRun},
		{"unsigned", &connector.Reply{Status: 200}, failure},
	}
	for _, tt := range tests {
		if got := judge(tt.rep, nil); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestCutoff(t *testing.T) {
	for goal, want := range map[time.Duration]time.Duration{
		60 * time.Millisecond:  51 * time.Millisecond,
		120 * time.Millisecond: 108 * time.Millisecond,
	} {
		if got := cutoff(goal); got != want {
			t.Errorf("goal %s: got %s, want %s", goal, got, want)
		}
	}
}

func TestOutcome(t *testing.T) {
	tests := []struct {
		name string
		err  connector.Error
		want picker.Outcome
	}{
		{"connection refused", connector.Error{Dial: true, Err: syscall.ECONNREFUSED}, picker.Unreachable},
		{"too many connections", connector.Error{Dial: true, Err: syscall.ECONNRESET}, picker.Failed},
		{"given up while connecting", connector.Error{Dial: true, Err: context.Canceled}, picker.Abandoned},
		{"given up while it ran", connector.Error{Sent: true, Err: context.Canceled}, picker.Abandoned},
		{"broken off", connector.Error{Sent: true, Err: syscall.ECONNRESET}, picker.Failed},
	}
	for _, tt := range tests {
		if got := outcome(&result{err: &tt.err, verdict: judge(nil, &tt.err)}); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}

// TestComeBack replays a hundred clients refused at one moment: in any twentieth of the
// time to come back at most a fifth of them return.
func TestComeBack(t *testing.T) {
	const clients, slots = 100, 20
	rnd := rand.New(rand.NewPCG(1, 2))
	returns := make(map[int]int)
	for range clients {
		after := comeBack(time.Second, rnd.Float64())
		if after < time.Second/2 || after > time.Second*3/2 {
			t.Errorf("come back after %s", after)
		}
		returns[int(after*slots/time.Second)]++
	}
	for slot, n := range returns {
		if n > clients/5 {
			t.Errorf("%d of %d clients return in slot %d", n, clients, slot)
		}
	}
}
