package picker

import (
	"math/rand/v2"
	"testing"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/route/locator"
)

const usual = 20 * time.Millisecond

// bench is a Picker with three searchers on a clock that the test moves.
type bench struct {
	*Picker
	t         *testing.T
	now       time.Time
	searchers []locator.Searcher
}

func newBench(t *testing.T, zones ...string) *bench {
	b := &bench{t: t, now: time.Unix(1000, 0)}
	b.Picker = New("own", func() time.Time { return b.now })
	for i, zone := range zones {
		b.searchers = append(b.searchers, locator.Searcher{Searcher: declarer.Searcher{ID: string(rune('a' + i)), Zone: zone}})
	}
	return b
}

// exchange runs n exchanges one after the other with what Pick returns and
// counts them by searcher; took gives the latency and outcome of each searcher.
func (b *bench) exchange(n int, took func(i int) (time.Duration, Outcome)) []int {
	counts := make([]int, len(b.searchers))
	for range n {
		i, ticket := b.Pick(b.searchers, nil, usual)
		if i < 0 {
			b.now = b.now.Add(10 * time.Millisecond)
			continue
		}
		counts[i]++
		d, o := took(i)
		b.now = b.now.Add(d)
		ticket.End(o)
	}
	return counts
}

func (b *bench) assertPick(want int, tried ...int) {
	b.t.Helper()
	i, ticket := b.Pick(b.searchers, tried, usual)
	if i != want {
		b.t.Errorf("picked %d, want %d", i, want)
	}
	if ticket != nil {
		// Undoes the pick.
		delete(ticket.health.running, ticket)
	}
}

func good(int) (time.Duration, Outcome) { return usual, Answered }

func TestZone(t *testing.T) {
	b := newBench(t, "other", "own", "other")
	b.assertPick(1)
	if i, _ := b.Pick(b.searchers, []int{1}, usual); i == 1 {
		t.Error("picked a searcher that was tried")
	}
	b.assertPick(-1, 0, 1, 2)
}

// TestStall replays a searcher that pauses: requests go elsewhere while one hangs
// there, before it has ended.
func TestStall(t *testing.T) {
	b := newBench(t, "own", "own")
	_, hanging := b.Pick(b.searchers, []int{1}, usual)
	b.now = b.now.Add(100 * time.Millisecond)
	b.assertPick(1)
	hanging.End(Abandoned)
	b.assertPick(1)
	b.now = b.now.Add(20 * time.Second)
	counts := b.exchange(100, good)
	if counts[0] < 20 {
		t.Errorf("a searcher that recovered gets %d of 100 requests", counts[0])
	}
}

// TestSlow replays a searcher that turns ten times slower than usual.
func TestSlow(t *testing.T) {
	b := newBench(t, "own", "own")
	counts := b.exchange(200, func(i int) (time.Duration, Outcome) {
		if i == 0 {
			return 10 * usual, Answered
		}
		return usual, Answered
	})
	if counts[0] > 20 {
		t.Errorf("a searcher ten times slower gets %d of 200 requests", counts[0])
	}
}

// TestGrey replays a searcher that fails nearly half of its requests while it
// reports good health.
func TestGrey(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for name, outcome := range map[string]Outcome{"fails": Failed, "sheds": NotRun} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "own", "other")
			counts := b.exchange(300, func(i int) (time.Duration, Outcome) {
				if i == 0 && rnd.Float64() < 0.45 {
					return usual / 10, outcome
				}
				return usual, Answered
			})
			if counts[0] > 60 {
				t.Errorf("a failing searcher gets %d of 300 requests", counts[0])
			}
		})
	}
}

// TestUnreachable replays a searcher that cannot be connected to: one request
// tries it after each pause, and the pauses grow.
func TestUnreachable(t *testing.T) {
	b := newBench(t, "own", "other")
	started := b.now
	tries := 0
	for b.now.Sub(started) < 10*time.Second {
		counts := b.exchange(1, func(i int) (time.Duration, Outcome) {
			if i == 0 {
				return 0, Unreachable
			}
			return usual, Answered
		})
		tries += counts[0]
	}
	if tries < 3 || tries > 9 {
		t.Errorf("tried %d times in 10 s, want 3 to 9", tries)
	}
	b.now = b.now.Add(maxBackoff)
	_, trial := b.Pick(b.searchers, []int{1}, usual)
	b.assertPick(1)
	b.assertPick(-1, 1)
	trial.End(Answered)
	b.assertPick(0, 1)
}

func TestUsable(t *testing.T) {
	b := newBench(t, "own", "own")
	_, ticket := b.Pick(b.searchers, []int{1}, usual)
	ticket.End(Unreachable)
	if n := b.Usable(b.searchers); n != 1 {
		t.Errorf("%d searchers usable, want 1", n)
	}
}

// TestMerge replays many daemons of which each sends few requests: what others saw
// keeps this one away from a bad searcher that it has not met yet.
func TestMerge(t *testing.T) {
	tests := []struct {
		name string
		seen exchanger.Observation
		want int
	}{
		{"slow", exchanger.Observation{Searcher: "a", Answers: 10, Slowness: 10}, 1},
		{"failing", exchanger.Observation{Searcher: "a", Answers: 5, Slowness: 1, Failures: 5}, 1},
		{"unreachable", exchanger.Observation{Searcher: "a", Failures: 1, DialFailures: 1}, 1},
		{"as usual", exchanger.Observation{Searcher: "a", Answers: 10, Slowness: 1}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, "own", "other")
			b.Merge([]exchanger.Observation{tt.seen})
			b.assertPick(tt.want)
		})
	}
}

// TestDrain keeps reports free of choice: reports of slow answers only made every
// searcher look slow.
func TestDrain(t *testing.T) {
	b := newBench(t, "own")
	n := 0
	b.exchange(10, func(int) (time.Duration, Outcome) {
		n++
		return usual * time.Duration(n%2*2), Answered
	})
	seen := b.Drain()
	if len(seen) != 1 || seen[0].Answers != 10 || seen[0].Slowness < 0.9 || seen[0].Slowness > 1.1 {
		t.Errorf("report %+v, want 10 answers of slowness 1", seen)
	}
	if again := b.Drain(); len(again) != 0 {
		t.Errorf("reported twice: %+v", again)
	}
}

func TestCold(t *testing.T) {
	b := newBench(t, "own", "own")
	b.searchers[0].WarmAt = b.now.Add(time.Second)
	b.assertPick(1)
}

// TestColdLimited bounds the requests to a cold searcher, though it is the only one.
func TestColdLimited(t *testing.T) {
	b := newBench(t, "own")
	s := &b.searchers[0]
	s.ColdLimited, s.ColdRate, s.WarmAt = true, 2, b.now.Add(3*time.Second)
	sent := 0
	for b.now.Before(s.WarmAt) {
		if i, ticket := b.Pick(b.searchers, nil, usual); i >= 0 {
			ticket.End(Answered)
			sent++
		}
		b.now = b.now.Add(5 * time.Millisecond)
	}
	if sent < 4 || sent > 6 {
		t.Errorf("%d requests in 3 cold seconds at 2 a second", sent)
	}
	if counts := b.exchange(10, good); counts[0] != 10 {
		t.Errorf("%d of 10 requests once it is warm", counts[0])
	}
}
