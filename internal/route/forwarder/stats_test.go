package forwarder

import (
	"fmt"
	"testing"
	"time"
)

// fleet simulates the budgets of many daemons for one service.
type fleet struct {
	daemons []*stats
	cfg     Config
	// extra holds the times of the extra requests in ascending order.
	extra []time.Time
}

func newFleet(n, slack int) *fleet {
	f := &fleet{cfg: Default(), daemons: make([]*stats, n)}
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
		if now.Sub(start) < membersDelay {
			s.setMembers(0)
		} else {
			s.setMembers(len(f.daemons))
		}
		b := s.budget("s", now)
		for useExtra && b.Take() {
			f.extra = append(f.extra, now)
		}
	}
	return start.Add(d)
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
		daemons, slack int
		rate           float64
	}{{8, 56, 180}, {7, 54, 180}, {65, 170, 112}, {75, 190, 112}} {
		t.Run(fmt.Sprintf("%d daemons", tt.daemons), func(t *testing.T) {
			f := newFleet(tt.daemons, tt.slack)
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
