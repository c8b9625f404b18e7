package forwarder

import (
	"fmt"
	"testing"
	"time"
)

// fleet is the budgets of many daemons for one service.
type fleet struct {
	daemons []*stats
	cfg     Config
	// extra holds the times of the extra requests.
	extra []time.Time
}

func newFleet(n, slack int) *fleet {
	f := &fleet{cfg: Default(), daemons: make([]*stats, n)}
	f.cfg.ExtraSlack = slack
	f.restart()
	return f
}

func (f *fleet) restart() {
	for i := range f.daemons {
		f.daemons[i] = newStats(f.cfg)
	}
}

// run lets rate first requests a second arrive from start on, each followed by as
// many extra ones as the budget gives. Daemons know each other after a while.
func (f *fleet) run(start time.Time, d time.Duration, rate float64, greedy bool) time.Time {
	const knownAfter = 300 * time.Millisecond
	n := int(rate * d.Seconds())
	for i := range n {
		now := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		s := f.daemons[i%len(f.daemons)]
		if now.Sub(start) < knownAfter {
			s.setMembers(0)
		} else {
			s.setMembers(len(f.daemons))
		}
		b := s.budget("s", now)
		for greedy && b.Take() {
			f.extra = append(f.extra, now)
		}
	}
	return start.Add(d)
}

// most returns the most extra requests within one window.
func (f *fleet) most() int {
	most, from := 0, 0
	for i := range f.extra {
		for f.extra[i].Sub(f.extra[from]) > f.cfg.ExtraWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestBudgetOfFleet replays searchers that fail everything just as a fleet with
// full budgets loses power and starts again: the extra requests of all daemons
// stay within the bound of the users, a fifth of the first ones and the slack.
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
			if most := f.most(); float64(most) > bound {
				t.Errorf("%d extra requests in a window, want at most %.0f", most, bound)
			}
		})
	}
}
