package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/route/picker"
	"cornelwood.example/internal/upstream/connector"
	"cornelwood.example/internal/web/gauger"
)

func TestSinglePassedOn(t *testing.T) {
	for _, code := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
		withForwarder(t, 1, func(s *setup) {
			s.behaviors["1a"] = replyWith(code, "st", false)
			s.behaviors["1b"] = s.behaviors["1a"]
			a, _ := s.request(s.t.Context(), "/post/x", "body")
			s.assertAnswer(a, code)
			s.assertSent(1)
			if a.Reason != "" {
				t.Errorf("status %d: answer made by the daemon: %s", code, a.Reason)
			}
		})
	}
}

// TestSingleNotIdempotent checks that requests that are not idempotent are retried only when the first searcher is
// certain not to have run them.
func TestSingleNotIdempotent(t *testing.T) {
	tests := []struct {
		name   string
		first  behavior
		status int
		sent   int
	}{
		{"no connection", failWith(false, true), http.StatusOK, 2},
		{"connection lost before the first byte", failWith(false, false), http.StatusOK, 2},
		{"connection lost after the first byte", failWith(true, false), http.StatusBadGateway, 1},
		{"refused without running", replyWith(http.StatusServiceUnavailable, "", true), http.StatusOK, 2},
		{"another searcher at the address", replyWith(http.StatusMisdirectedRequest, "", false), http.StatusOK, 2},
		{"503 without the not-run header", replyWith(http.StatusServiceUnavailable, "st", false), http.StatusBadGateway, 1},
		{"success without a signature", replyWith(http.StatusOK, "", false), http.StatusBadGateway, 1},
		{"hangs", replyAfter(never, nil), http.StatusGatewayTimeout, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withForwarder(t, 1, func(s *setup) {
				s.behaviors["1a"] = tt.first
				a, _ := s.request(s.t.Context(), "/post/x", "body")
				s.assertAnswer(a, tt.status)
				s.assertSent(tt.sent)
				if !s.fresh {
					t.Error("the exchange does not require a fresh connection")
				}
			})
		})
	}
}

func TestSingleRetried(t *testing.T) {
	for name, b := range map[string]behavior{
		"breaks off": failWith(true, false),
		"fails":      replyWith(http.StatusInternalServerError, "st", false),
		"hangs":      replyAfter(never, nil),
	} {
		t.Run(name, func(t *testing.T) {
			withForwarder(t, 1, func(s *setup) {
				s.behaviors["1a"] = b
				a, took := s.request(s.t.Context(), "/get/x", "")
				s.assertAnswer(a, http.StatusOK)
				s.assertTook(took, 0, goal)
				s.assertSent(2)
			})
		})
	}
}

// TestSingleRefused checks the answer to a request that every searcher refused without running it.
func TestSingleRefused(t *testing.T) {
	withForwarder(t, 1, func(s *setup) {
		s.behaviors["1a"] = replyWith(http.StatusServiceUnavailable, "", true)
		s.behaviors["1b"] = s.behaviors["1a"]
		a, _ := s.request(s.t.Context(), "/post/x", "body")
		s.assertAnswer(a, http.StatusServiceUnavailable)
		if a.RetryAfter <= 0 {
			t.Error("refusal without RetryAfter")
		}
	})
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name, path, body string
		want             int
	}{
		{"no route", "/none/x", "", http.StatusNotFound},
		{"large body", "/post/x", "more than ten bytes", http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withForwarder(t, 1, func(s *setup) {
				a, _ := s.request(s.t.Context(), tt.path, tt.body)
				s.assertAnswer(a, tt.want)
				s.assertSent(0)
			})
		})
	}
}

// TestBudget checks that extra requests stay within the percentage and the slack while all searchers fail.
func TestBudget(t *testing.T) {
	withForwarder(t, 1, func(s *setup) {
		s.behaviors["1a"] = failWith(true, false)
		s.behaviors["1b"] = s.behaviors["1a"]
		const n = 400
		started := time.Now()
		for range n {
			s.request(context.Background(), "/get/x", "")
			time.Sleep(10 * time.Millisecond)
		}
		windows := float64(time.Since(started)) / float64(s.cfg.ExtraWindow)
		most := n*s.cfg.ExtraPercent/100 + s.cfg.ExtraSlack*int(windows+1)
		if extra := s.total() - n; extra > most {
			t.Errorf("%d extra requests, want at most %d", extra, most)
		}
	})
}

func TestTargetService(t *testing.T) {
	rt := &declarer.Route{Targets: []declarer.Target{{Service: "a", Weight: 1}, {Service: "none", Weight: 0}, {Service: "b", Weight: 3}}}
	for random, want := range map[float64]string{0: "a", 0.24: "a", 0.26: "b", 0.99: "b"} {
		if got := targetService(rt, random); got != want {
			t.Errorf("random %g: got %q, want %q", random, got, want)
		}
	}
}

func TestClassify(t *testing.T) {
	tests := []struct {
		name string
		rep  *connector.Reply
		want resultClass
	}{
		{"success", &connector.Reply{Status: 200, Meta: connector.Meta{Stamp: "s"}}, success},
		{"client error", &connector.Reply{Status: 404, Meta: connector.Meta{Stamp: "s"}}, final},
		{"408 without the not-run header", &connector.Reply{Status: 408, Meta: connector.Meta{Stamp: "s"}}, failure},
		{"429 not run", &connector.Reply{Status: 429, Meta: connector.Meta{NotRun: true}}, notRun},
		{"unsigned", &connector.Reply{Status: 200}, failure},
	}
	for _, tt := range tests {
		if got := classify(tt.rep, nil); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}

// TestCutoff guards against answers that leave too late for a far client, and against shards lost to a near one.
func TestCutoff(t *testing.T) {
	ms := time.Millisecond
	for _, tt := range []struct {
		name           string
		goal           time.Duration
		transit        gauger.Transit
		queueing, want time.Duration
	}{
		{"short goal, way not known", 60 * ms, gauger.Transit{}, 0, 51 * ms},
		{"long goal, way not known", 120 * ms, gauger.Transit{}, 0, 108 * ms},
		{"near client", 80 * ms, gauger.Transit{RoundTrip: 2 * ms}, ms, 71 * ms},
		{"near client, long goal", 300 * ms, gauger.Transit{RoundTrip: 2 * ms}, ms, 270 * ms},
		{"clients 3 ms away", 80 * ms, gauger.Transit{RoundTrip: 6 * ms}, 3 * ms, 69 * ms},
		{"clients 3 ms away that connect first", 80 * ms, gauger.Transit{RoundTrip: 6 * ms, Connected: true}, 3 * ms, 63 * ms},
		{"busy processor", 80 * ms, gauger.Transit{RoundTrip: 6 * ms, Waited: 5 * ms}, 9 * ms, 58 * ms},
		{"processor stopped at times", 80 * ms, gauger.Transit{RoundTrip: 2 * ms}, 60 * ms, 64 * ms},
		{"reserve beyond the bound", 80 * ms, gauger.Transit{RoundTrip: 200 * ms}, 0, 40 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := cutoff(tt.goal, tt.transit, tt.queueing); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// TestAnswerReachesClientInTime guards against a partial answer that leaves before the goal and reaches its client after it:
// the goal counts from when the client connects to when it has the answer.
func TestAnswerReachesClientInTime(t *testing.T) {
	for _, oneWay := range []time.Duration{time.Millisecond, 3 * time.Millisecond, 12 * time.Millisecond} {
		withForwarder(t, 4, func(s *setup) {
			s.behaviors["2a"], s.behaviors["2b"] = replyAfter(never, nil), replyAfter(never, nil)
			req := &Request{
				ID: "r", Method: http.MethodGet, Host: "h", Path: "/q/x", Target: "/q/x", ClientTimeout: timeout, Arrived: time.Now(),
				Transit: gauger.Transit{RoundTrip: 2 * oneWay, Connected: true},
			}
			a := s.Handle(s.t.Context(), req)
			s.assertAnswer(a, http.StatusOK)
			s.assertTook(time.Since(req.Arrived)+4*oneWay, goal-10*time.Millisecond, goal-mergeTime)
		})
	}
}

func TestPickerOutcome(t *testing.T) {
	tests := []struct {
		name string
		err  connector.Error
		want picker.Outcome
	}{
		{"connection refused", connector.Error{Dial: true, Err: syscall.ECONNREFUSED}, picker.Unreachable},
		{"too many connections", connector.Error{Dial: true, Err: syscall.ECONNRESET}, picker.Failed},
		{"cancelled while connecting", connector.Error{Dial: true, Err: context.Canceled}, picker.Abandoned},
		{"cancelled after sending", connector.Error{Sent: true, Err: context.Canceled}, picker.Abandoned},
		{"connection lost", connector.Error{Sent: true, Err: syscall.ECONNRESET}, picker.Failed},
		{"malformed answer", connector.Error{Sent: true, Err: &connector.MalformedError{Err: errors.New("no status line")}}, picker.Malformed},
	}
	for _, tt := range tests {
		if got := pickerOutcome(&result{err: &tt.err, class: classify(nil, &tt.err)}); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
	signed := connector.Meta{Stamp: "st"}
	for _, tt := range []struct {
		name  string
		reply connector.Reply
		want  picker.Outcome
	}{
		{"signed", connector.Reply{Status: http.StatusOK, Meta: signed}, picker.Answered},
		{"more bytes after it", connector.Reply{Status: http.StatusOK, Meta: signed, Surplus: true}, picker.Surplus},
		{"unsigned success", connector.Reply{Status: http.StatusOK}, picker.Malformed},
		{"unsigned failure", connector.Reply{Status: http.StatusBadGateway}, picker.Failed},
		{"refusal", connector.Reply{Status: http.StatusServiceUnavailable, Meta: connector.Meta{NotRun: true}}, picker.NotRun},
	} {
		if got := pickerOutcome(&result{reply: &tt.reply, class: classify(&tt.reply, nil)}); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}

// TestJitterRetryAfter checks that 100 clients refused at one moment retry at different times: at most a fifth of them
// within any twentieth of the unjittered time.
func TestJitterRetryAfter(t *testing.T) {
	const clients, slots = 100, 20
	rnd := rand.New(rand.NewPCG(1, 2))
	retries := make(map[int]int)
	for range clients {
		after := jitterRetryAfter(time.Second, rnd.Float64())
		if after < time.Second/2 || after > time.Second*3/2 {
			t.Errorf("retry after %s, want 0.5 s to 1.5 s", after)
		}
		retries[int(after*slots/time.Second)]++
	}
	for slot, n := range retries {
		if n > clients/5 {
			t.Errorf("%d of %d clients retry in slot %d, want at most a fifth", n, clients, slot)
		}
	}
}
