package lender

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testConfig returns the default times with the tolerance of the deployment with accounts.
func testConfig() *Config {
	cfg := Default()
	cfg.Window, cfg.Overage, cfg.Slack = 5*time.Second, 0.1, 20
	return &cfg
}

// TestLedgerBound takes tokens at random times, also in advance, uses them as late as is allowed and returns some. The uses
// in any window must stay within rate x window + burst without any tolerance. It guards against counting the refill twice:
// for the tokens that are held and for the bucket.
func TestLedgerBound(t *testing.T) {
	cfg := testConfig()
	const (
		cycle = 10 * time.Second
		idle  = 3 * time.Second
	)
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limit := &Limit{Account: "a", Rate: 10 + float64(seed%3)*30, Burst: 1 + float64(seed%7)*8, Version: 1}
		l := newLedger(cfg, 0, false)
		var uses, held []time.Duration
		for now := time.Duration(0); now < 3*cycle; now += 5 * time.Millisecond {
			for len(held) > 0 && held[0] <= now {
				held = held[1:]
				uses = append(uses, now)
			}
			// The bucket is full. Tokens are taken in advance, and nothing else until it is full again. Then all is taken.
			at := now % cycle
			if at < idle || at > idle && at < idle+cfg.Validity-5*time.Millisecond {
				continue
			}
			resp := l.take(now, limit, rng.IntN(30))
			if resp.Count == 0 {
				continue
			}
			uses = append(uses, now)
			back := 0
			if at > idle && resp.Count > 1 {
				back = rng.IntN(resp.Count)
				l.giveBack(now, []returned{{Account: "a", Grant: resp.Grant, Count: back}, {Account: "a", Grant: resp.Grant + 1, Count: 5}})
			}
			for range resp.Count - 1 - back {
				held = append(held, now+cfg.Validity-time.Millisecond)
			}
			if b := l.buckets["a"]; b.ahead > b.maxAhead() {
				t.Fatalf("seed %d: %d tokens held in advance, want %d at most", seed, b.ahead, b.maxAhead())
			}
		}
		bound := limit.Rate*cfg.Window.Seconds() + limit.Burst
		first := 0
		for i, at := range uses {
			for uses[first]+cfg.Window <= at {
				first++
			}
			if n := i - first + 1; float64(n) > bound {
				t.Fatalf("seed %d: %d uses in the window up to %s, want %g at most", seed, n, at, bound)
			}
		}
		if total := 0.9 * limit.Rate * 3 * (cycle - idle).Seconds(); float64(len(uses)) < total {
			t.Errorf("seed %d: %d uses, want %g at least", seed, len(uses), total)
		}
	}
}

// TestLedgerReturns checks that no more tokens are put back than a grant had, once, and none after their end.
func TestLedgerReturns(t *testing.T) {
	cfg := testConfig()
	limit := &Limit{Account: "a", Rate: 0.001, Burst: 10, Version: 1}
	for name, tt := range map[string]struct {
		returns []returned
		after   time.Duration
		// want is the number of tokens of an empty bucket after the return; grant 1 had three tokens and grant 2 one.
		want int
	}{
		"none":            {nil, 0, 0},
		"one":             {[]returned{{"a", 1, 1}}, 0, 1},
		"more than there": {[]returned{{"a", 1, 9}}, 0, 3},
		"twice":           {[]returned{{"a", 1, 2}, {"a", 1, 2}}, 0, 3},
		"other grant":     {[]returned{{"a", 2, 3}}, 0, 1},
		"unknown grant":   {[]returned{{"a", 99, 3}}, 0, 0},
		"other account":   {[]returned{{"b", 1, 3}}, 0, 0},
		"late":            {[]returned{{"a", 1, 3}}, time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(cfg, 0, false)
			start := 4 * time.Hour
			if resp := l.take(start, limit, 9); resp.Count != 3 || resp.Grant != 1 {
				t.Fatalf("%+v, want grant 1 of three tokens", resp)
			}
			for l.take(start, limit, 0).Count == 1 {
			}
			l.giveBack(start+tt.after, tt.returns)
			got := 0
			for l.take(start+2*time.Second, limit, 0).Count == 1 {
				got++
			}
			if got != tt.want {
				t.Errorf("%d tokens, want %d", got, tt.want)
			}
		})
	}
}

// TestLedgerStart checks a new lender: its buckets are empty, it may use its credit at most once for each account, and it
// calls an account above its limit only when that is so whatever was granted before.
func TestLedgerStart(t *testing.T) {
	cfg := testConfig()
	// With so low a rate the capacity is that of the burst.
	limit := &Limit{Account: "a", Rate: 0.01, Burst: 2, Version: 1}
	for name, tt := range map[string]struct {
		hasCredit bool
		at        time.Duration
		// want holds the results of successive requests: granted, unknown or exceeded.
		want []string
	}{
		"without credit":         {false, 0, []string{"unknown", "unknown"}},
		"with credit":            {true, 0, []string{"granted", "granted", "exceeded"}},
		"with one token":         {false, 2 * time.Minute, []string{"granted", "unknown", "exceeded"}},
		"credit after a window":  {true, 2 * time.Minute, []string{"granted", "unknown", "exceeded"}},
		"full after a long time": {false, time.Hour, []string{"granted", "granted", "exceeded"}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(cfg, 0, tt.hasCredit)
			var got []string
			for range tt.want {
				resp := l.take(tt.at, limit, 0)
				switch {
				case resp.Count > 0:
					got = append(got, "granted")
				case resp.Exceeded:
					got = append(got, "exceeded")
				default:
					got = append(got, "unknown")
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLedgerWait checks that there is room after the time that a refusal names, also for an account with less than one
// request a second and a burst below one.
func TestLedgerWait(t *testing.T) {
	for _, limit := range []Limit{{Account: "a", Rate: 0.7, Burst: 0.7, Version: 1}, {Account: "a", Rate: 30, Burst: 30, Version: 1}} {
		l := newLedger(testConfig(), 0, false)
		now := time.Minute
		resp := l.take(now, &limit, 0)
		for resp.Count > 0 {
			resp = l.take(now, &limit, 0)
		}
		if early := l.take(now+resp.Wait*9/10, &limit, 0); early.Count > 0 {
			t.Errorf("rate %g: a token before the time", limit.Rate)
		}
		if l.take(now+resp.Wait+time.Millisecond, &limit, 0).Count != 1 {
			t.Errorf("rate %g: no token after %s", limit.Rate, resp.Wait)
		}
	}
}

// TestLedgerRandom checks an account whose requests come at random, at 0.6 of a limit of a few a second: few may be refused
// although its burst is that of one second.
func TestLedgerRandom(t *testing.T) {
	for _, usual := range []float64{1, 2, 5, 20} {
		limit := &Limit{Account: "a", Rate: 1.6 * usual, Burst: 1.6 * usual, Version: 1}
		l := newLedger(testConfig(), -time.Minute, false)
		rng := rand.New(rand.NewPCG(1, 1))
		sent, refused := 0, 0
		for now := time.Duration(0); now < 20*time.Minute; now += time.Duration(rng.ExpFloat64() / usual * float64(time.Second)) {
			sent++
			if l.take(now, limit, 0).Count == 0 {
				refused++
			}
		}
		share := 100 * float64(refused) / float64(sent)
		t.Logf("%g requests a second: %.2f in 100 refused", usual, share)
		if most := 8 / usual / usual; share > most {
			t.Errorf("%g requests a second: %.2f in 100 refused, want %g at most", usual, share, most)
		}
	}
}

// TestLedgerVersion checks that a lower limit counts at once, and an older one that arrives late does not.
func TestLedgerVersion(t *testing.T) {
	l := newLedger(testConfig(), 0, false)
	old, lower := Limit{Account: "a", Rate: 50, Burst: 50, Version: 1}, Limit{Account: "a", Rate: 1, Burst: 1, Version: 2}
	for range 20 {
		l.take(time.Minute, &old, 0)
	}
	for _, limit := range []*Limit{&lower, &old} {
		if resp := l.take(time.Minute, limit, 0); resp.Count > 0 || resp.Wait < 4*time.Second {
			t.Errorf("%+v after the limit was lowered, want no token until the window has passed", resp)
		}
	}
}

// TestLedgerBounded checks that buckets are removed when they are full, and that their number is bounded.
func TestLedgerBounded(t *testing.T) {
	l := newLedger(testConfig(), 0, false)
	for i := range 2 * maxBuckets {
		l.take(time.Minute, &Limit{Account: string(rune(i + 1000)), Rate: 1, Burst: 1, Version: 1}, 0)
	}
	if len(l.buckets) != maxBuckets {
		t.Errorf("%d buckets, want %d", len(l.buckets), maxBuckets)
	}
	l.take(3*time.Minute, &Limit{Account: "a", Rate: 1, Burst: 1, Version: 1}, 0)
	if len(l.buckets) != 1 {
		t.Errorf("%d buckets after two idle minutes, want 1", len(l.buckets))
	}
}

// TestTolerance checks the grants without a lender: none within a window of the start, and no more than this daemon's part
// in any window.
func TestTolerance(t *testing.T) {
	cfg := testConfig()
	limit := &Limit{Account: "a", Rate: 30, Burst: 30, Version: 1}
	const zones = 3
	tol := newTolerance(cfg, 0)
	var grants []time.Duration
	for now := time.Duration(0); now < 30*time.Second; now += 10 * time.Millisecond {
		if tol.take(now, limit, zones) {
			grants = append(grants, now)
		}
	}
	if grants[0] < cfg.Window {
		t.Errorf("a grant %s after the start, want none within %s", grants[0], cfg.Window)
	}
	// All daemons of all zones together stay within half of the tolerance of 0.1 x 180 + 20, 3 each.
	most := int(localShare * cfg.tolerance(limit) / (localDaemons * zones))
	for i := most; i < len(grants); i++ {
		if grants[i]-grants[i-most] < cfg.Window {
			t.Fatalf("more than %d grants within %s", most, grants[i]-grants[i-most])
		}
	}
	if len(grants) < 4*most {
		t.Errorf("%d grants in 30 s, want %d at least", len(grants), 4*most)
	}
	tol.prune(time.Hour)
	if len(tol.grants) != 0 {
		t.Error("grants kept beyond the window")
	}
}

// TestHoldings checks the daemon that asks: tokens held in advance are used until their end and then returned, refusals
// count until there is room, and a new version of the limit ends them.
func TestHoldings(t *testing.T) {
	cfg := testConfig()
	limit := &Limit{Account: "a", Rate: 30, Burst: 30, Version: 1}
	take := func(h *holdings, at time.Duration) string {
		tk, refused, _ := h.take(at, limit)
		switch {
		case tk != nil:
			return "token"
		case refused != nil:
			return "refused for " + refused.Wait.String()
		default:
			return "ask"
		}
	}
	t.Run("tokens", func(t *testing.T) {
		h := newHoldings(cfg)
		got := []string{take(h, 0)}
		h.add("a", 7, 3, 0)
		got = append(got, take(h, 200*time.Millisecond), take(h, cfg.Validity-1), take(h, cfg.Validity))
		if diff := cmp.Diff([]string{"ask", "token", "token", "ask"}, got); diff != "" {
			t.Errorf("results (-want +got):\n%s", diff)
		}
	})
	t.Run("returns", func(t *testing.T) {
		h := newHoldings(cfg)
		take(h, 0)
		h.add("a", 7, 2, 0)
		h.sweep(cfg.Validity - returnMargin - 1)
		if rs := h.drain(); len(rs) > 0 {
			t.Errorf("returned early: %+v", rs)
		}
		h.sweep(cfg.Validity - returnMargin)
		want := []returned{{Account: "a", Grant: 7, Count: 1}, {Account: "a", Grant: 7, Count: 1}}
		if diff := cmp.Diff(want, h.drain()); diff != "" {
			t.Errorf("returns (-want +got):\n%s", diff)
		}
		if got := take(h, cfg.Validity-1); got != "ask" {
			t.Errorf("%s after the tokens were returned", got)
		}
	})
	t.Run("refusals", func(t *testing.T) {
		h := newHoldings(cfg)
		take(h, 0)
		h.refuse(0, 100*time.Millisecond, &RefusedError{Account: "a", Wait: 100 * time.Millisecond, Exceeded: true})
		got := []string{take(h, 40*time.Millisecond), take(h, 100*time.Millisecond)}
		h.refuse(0, time.Second, &RefusedError{Account: "a", Wait: time.Second})
		newer := *limit
		newer.Version++
		limit = &newer
		got = append(got, take(h, 200*time.Millisecond))
		if diff := cmp.Diff([]string{"refused for 60ms", "ask", "ask"}, got); diff != "" {
			t.Errorf("results (-want +got):\n%s", diff)
		}
	})
	t.Run("demand", func(t *testing.T) {
		h := newHoldings(cfg)
		ahead := 0
		for now := time.Duration(0); now < 5*time.Second; now += 20 * time.Millisecond {
			_, _, ahead = h.take(now, limit)
		}
		// 50 requests a second for 0.3 s.
		if ahead < 13 || ahead > 17 {
			t.Errorf("%d tokens in advance, want about 15", ahead)
		}
		h.sweep(time.Minute)
		if len(h.accounts) != 0 {
			t.Error("an account without demand is kept")
		}
	})
}
