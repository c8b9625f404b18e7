package forwarder

import (
	"fmt"
	"testing"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// fleet simulates the budgets of many daemons for one service.
type fleet struct {
	daemons []*stats
	// gatherers is the number of daemons, the first ones, that gather the queries of the others; 0 means that each sends
	// its own.
	gatherers int
	cfg       Config
	// extra holds the times of the extra requests in ascending order.
	extra []time.Time
}

func newFleet(n, gatherers, slack int) *fleet {
	f := &fleet{cfg: Default(), gatherers: gatherers, daemons: make([]*stats, n)}
	f.cfg.ExtraSlack = slack
	f.restart()
	return f
}

// restart replaces all daemons by new ones.
func (f *fleet) restart() {
	for i := range f.daemons {
		f.daemons[i] = newStats(f.cfg)
	}
}

// run simulates rate first requests per second for the time d after start, and returns the end of that time. When
// useExtra is set, each is followed by as many extra requests as the budget allows. The number of daemons is unknown
// to them at first.
func (f *fleet) run(start time.Time, d time.Duration, rate float64, useExtra bool) time.Time {
	const membersDelay = 300 * time.Millisecond
	n := int(rate * d.Seconds())
	for i := range n {
		now := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		s := f.daemons[i%len(f.daemons)]
		members, gatherers := 0, 0
		if now.Sub(start) >= membersDelay {
			members, gatherers = len(f.daemons), f.gatherers
		}
		s.setFleet(members, gatherers)
		if f.gatherers == 0 {
			f.spend(s, sender, now, useExtra)
			continue
		}
		f.spend(s, asker, now, useExtra)
		g := f.daemons[i%f.gatherers]
		g.setFleet(members, gatherers)
		f.spend(g, gatherer, now, useExtra)
	}
	return start.Add(d)
}

// spend counts a first request of a daemon in a role and, when useExtra is set, sends as many extra requests as its
// budget allows.
func (f *fleet) spend(s *stats, r role, now time.Time, useExtra bool) {
	b := s.budget("s", r, now)
	for useExtra && b.Take() {
		f.extra = append(f.extra, now)
	}
}

// maxInWindow returns the greatest number of extra requests within one window.
func (f *fleet) maxInWindow() int {
	most, first := 0, 0
	for i := range f.extra {
		for f.extra[i].Sub(f.extra[first]) > f.cfg.ExtraWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestBudgetOfFleet checks the extra requests of all daemons when searchers fail every request while the daemons, with
// full budgets, lose power and restart: within one window they stay within a fifth of the first requests plus the
// slack, the bound that users set.
func TestBudgetOfFleet(t *testing.T) {
	const ratio = 0.2
	for _, tt := range []struct {
		daemons, gatherers, slack int
		rate                      float64
	}{{8, 0, 56, 180}, {7, 0, 54, 180}, {65, 0, 170, 112}, {75, 0, 190, 112}, {75, 9, 190, 112}, {67, 8, 174, 160}, {295, 9, 630, 96}, {295, 15, 630, 300}} {
		t.Run(fmt.Sprintf("%d daemons, %d gather", tt.daemons, tt.gatherers), func(t *testing.T) {
			f := newFleet(tt.daemons, tt.gatherers, tt.slack)
			now := f.run(time.Unix(1000, 0), 20*time.Second, tt.rate, false)
			now = f.run(now, 4*time.Second, tt.rate, true)
			f.restart()
			f.run(now, 12*time.Second, tt.rate, true)
			bound := ratio*tt.rate*f.cfg.ExtraWindow.Seconds() + float64(tt.slack)
			if most := f.maxInWindow(); float64(most) > bound {
				t.Errorf("%d extra requests in a window, want at most %.0f", most, bound)
			}
		})
	}
}

// TestSlackOfFleet checks that the slack refills at the same rate however many daemons share it, as far as their budgets
// hold it: 100 seconds earn one window's refill ten times.
func TestSlackOfFleet(t *testing.T) {
	for _, tt := range []struct{ daemons, gatherers int }{{1, 0}, {8, 0}, {64, 0}, {295, 0}, {295, 9}} {
		t.Run(fmt.Sprintf("%d daemons, %d gather", tt.daemons, tt.gatherers), func(t *testing.T) {
			f := newFleet(tt.daemons, tt.gatherers, 630)
			for _, s := range f.daemons {
				s.setPercent(0)
			}
			now := f.run(time.Unix(1000, 0), 10*time.Second, 300, true)
			f.extra = nil
			f.run(now, 100*time.Second, 300, true)
			want := 630 * refillShare * 10
			if got := float64(len(f.extra)); got < 0.8*want || got > 1.1*want {
				t.Errorf("%g extra requests in 100 s, want about %g", got, want)
			}
		})
	}
}

// TestHedgeDelayOfSlowSearchers checks that requests are hedged soon while a sixth of the searchers takes ten times as
// long as the others, and not sooner than usual while all are alike.
func TestHedgeDelayOfSlowSearchers(t *testing.T) {
	const usual = 15 * time.Millisecond
	for _, tt := range []struct {
		name      string
		slow      time.Duration
		low, high time.Duration
	}{
		{"a sixth is slow", 10 * usual, usual, 3 * usual},
		{"all alike", usual, usual, 2 * usual},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rt := &declarer.Route{Name: "q", LatencyGoal: declarer.Duration{Duration: 8 * usual}}
			l := newStats(Default()).route(rt)
			for i := range 600 {
				d := usual
				if i%6 == 0 {
					d = tt.slow
				}
				l.record(d)
			}
			if got := l.hedgeDelay(time.Now()); got < tt.low || got > tt.high {
				t.Errorf("hedge delay %s, want %s to %s", got, tt.low, tt.high)
			}
		})
	}
}
