package limiter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

var epoch = time.Unix(1_000_000, 0)

func whole(now time.Time) exchanger.Share {
	return exchanger.Share{Num: 1, Den: 1, AllowCold: true, ValidUntil: now.Add(time.Hour)}
}

// warm returns a Limiter at full limit whose upstream answers in 5 ms, and the
// time at which it got there.
func warm(t *testing.T, cfg Config) (*Limiter[int], time.Time) {
	t.Helper()
	l, now := New[int](cfg, epoch), epoch
	now = succeed(l, now, 4*time.Second, 5*time.Millisecond)
	if l.Limit() != cfg.Slots {
		t.Fatalf("limit %d after 4 s of successes, want %d", l.Limit(), cfg.Slots)
	}
	return l, now
}

// succeed lets one task after another succeed for d.
func succeed(l *Limiter[int], now time.Time, d, latency time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(latency)
		l.Learn(now, Sample{Kind: Success, Latency: latency})
	}
	return now
}

// late lets a run of tasks miss the deadline after d.
func late(l *Limiter[int], now time.Time, d time.Duration) {
	for range shiftRun {
		l.Learn(now, Sample{Kind: Slow, Latency: d})
	}
}

func TestGrowthAndFall(t *testing.T) {
	cfg := FromCapacity(declarer.Capacity{Slots: 3, ColdSlots: 1})
	shift := func(l *Limiter[int], now time.Time) {
		succeed(l, now, shiftRun*50*time.Millisecond, 50*time.Millisecond)
	}
	learn := func(k Kind) func(*Limiter[int], time.Time) {
		return func(l *Limiter[int], now time.Time) { l.Learn(now, Sample{Kind: k}) }
	}
	tests := map[string]struct {
		do   func(*Limiter[int], time.Time)
		want int
	}{
		"shed":                  {learn(Shed), 1},
		"reset":                 {learn(Reset), 1},
		"draining":              {learn(Draining), 1},
		"latency shift":         {shift, 1},
		"cancelled early":       {func(l *Limiter[int], now time.Time) { l.Learn(now, Sample{Kind: Unused}) }, 3},
		"late for a short time": {func(l *Limiter[int], now time.Time) { late(l, now, 10*time.Millisecond) }, 3},
		"late for a long time":  {func(l *Limiter[int], now time.Time) { late(l, now, 50*time.Millisecond) }, 1},
		"one straggler":         {func(l *Limiter[int], now time.Time) { succeed(l, now, time.Millisecond, 50*time.Millisecond) }, 3},
		"health page cold":      {func(l *Limiter[int], now time.Time) { l.Hint(now, Hint{Cold: true}) }, 1},
		"load page full":        {func(l *Limiter[int], now time.Time) { l.Hint(now, Hint{Busy: true}) }, 2},
		"held anew":             {func(l *Limiter[int], now time.Time) { l.Cool(now) }, 1},
		"idle":                  {func(l *Limiter[int], now time.Time) { l.Next(now.Add(cfg.Idle+1), whole(now)) }, 1},
		"short pause":           {func(l *Limiter[int], now time.Time) { l.Next(now.Add(cfg.Idle-1), whole(now)) }, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, now := warm(t, cfg)
			tt.do(l, now)
			if l.Limit() != tt.want {
				t.Errorf("limit %d, want %d", l.Limit(), tt.want)
			}
		})
	}
}

// grownTooEarly makes the limit grow, and fall soon after it.
func grownTooEarly(l *Limiter[int]) {
	l.pace.coldSince = epoch.Add(-l.cfg.Warmup)
	succeed(l, epoch, growRun*time.Millisecond, time.Millisecond)
	l.Learn(epoch, Sample{Kind: Shed})
}

// TestColdStaysCold pins what holds back growth: the warm-up time, a health page
// that says cold or lags, and an early fall.
func TestColdStaysCold(t *testing.T) {
	cfg := FromCapacity(declarer.Capacity{Slots: 3, ColdSlots: 1})
	tests := map[string]struct {
		before    func(*Limiter[int])
		cold, hot time.Duration
	}{
		"warm-up time":   {func(*Limiter[int]) {}, cfg.Warmup - time.Second, cfg.Warmup + time.Second},
		"page says cold": {func(l *Limiter[int]) { l.Hint(epoch.Add(3*time.Second), Hint{Cold: true}) }, 9 * time.Second, 15 * time.Second},
		"page lags":      {func(l *Limiter[int]) { l.Hint(epoch, Hint{}) }, 9 * time.Second, 15 * time.Second},
		"slow answers": {func(l *Limiter[int]) {
			succeed(l, epoch, 1, 5*time.Millisecond)
			late(l, epoch.Add(time.Second), 50*time.Millisecond)
		}, time.Second, cfg.Warmup + time.Second/2},
		"fall soon after warm": {grownTooEarly, 2*cfg.Warmup - time.Second, 2*cfg.Warmup + time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := New[int](cfg, epoch)
			tt.before(l)
			now := succeed(l, epoch, tt.cold, 5*time.Millisecond)
			early := l.Limit()
			succeed(l, now, tt.hot-tt.cold, 5*time.Millisecond)
			if d := cmp.Diff([]int{1, 3}, []int{early, l.Limit()}); d != "" {
				t.Errorf("limit after %s and %s (-want +got):\n%s", tt.cold, tt.hot, d)
			}
		})
	}
}

// TestEarlyRefusal pins that a task which cannot finish behind the work ahead of
// it is refused at once, and waits when the mechanism is off.
func TestEarlyRefusal(t *testing.T) {
	for _, on := range []bool{true, false} {
		cfg := FromCapacity(declarer.Capacity{Slots: 1, ColdSlots: 1})
		cfg.EarlyRefusal = on
		l := New[int](cfg, epoch)
		now := succeed(l, epoch, time.Second, 10*time.Millisecond)
		share := whole(now)
		var got []Verdict
		for i := range 4 {
			v, _, _ := l.Offer(now, share, i, 0, now.Add(35*time.Millisecond))
			got = append(got, v)
		}
		want := []Verdict{Start, Queued, Queued, Hopeless}
		if !on {
			want[3] = Queued
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("early refusal %v: verdicts (-want +got):\n%s", on, d)
		}
	}
}

// TestDrainingPausesWork pins that an upstream which drains gets no work until
// its health page, or a long silence of that page, says otherwise.
func TestDrainingPausesWork(t *testing.T) {
	l, now := warm(t, FromCapacity(declarer.Capacity{Slots: 3, ColdSlots: 1}))
	start := now
	got := make(map[time.Duration]int)
	at := func(d time.Duration) {
		now = start.Add(d)
		got[d] = l.Allowed(now, whole(start))
	}
	l.Learn(now, Sample{Kind: Draining})
	l.Learn(now, Sample{Latency: 5 * time.Millisecond})
	at(0)
	at(29 * time.Second)
	at(30 * time.Second)
	l.Hint(now, Hint{Cold: true, Draining: true})
	at(31 * time.Second)
	l.Hint(now, Hint{})
	at(32 * time.Second)
	l.Learn(now, Sample{Kind: Draining})
	at(33 * time.Second)
	l.Hint(now, Hint{})
	at(33*time.Second + 1)
	at(34 * time.Second)
	want := map[time.Duration]int{
		0: 0, 29 * time.Second: 0, 30 * time.Second: 1, 31 * time.Second: 0, 32 * time.Second: 1,
		33 * time.Second: 0, 33*time.Second + 1: 0, 34 * time.Second: 1,
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("allowed (-want +got):\n%s", d)
	}
}

// TestDrainingByPageAlone pins that an upstream whose health page says that it
// drains gets no work, though no work has met its refusal yet.
func TestDrainingByPageAlone(t *testing.T) {
	l, now := warm(t, FromCapacity(declarer.Capacity{Slots: 3, ColdSlots: 1}))
	start := now
	l.Hint(now, Hint{Cold: true, Draining: true})
	l.Learn(now, Sample{Latency: 5 * time.Millisecond})
	if n := l.Allowed(now, whole(start)); n != 0 {
		t.Errorf("allowed %d, want 0 while the page says draining", n)
	}
	now = start.Add(hintLife + 1)
	if n := l.Allowed(now, whole(start)); n != 1 {
		t.Errorf("allowed %d, want 1 once the page is too old", n)
	}
	l.Hint(now, Hint{Cold: true, Draining: true})
	l.Hint(now, Hint{})
	if n := l.Allowed(now, whole(start)); n != 1 {
		t.Errorf("allowed %d, want 1 once the page says otherwise", n)
	}
}

// TestPoisonedEstimate pins that a service time learned in a bad hour does not
// refuse everything for good.
func TestPoisonedEstimate(t *testing.T) {
	l := New[int](FromCapacity(declarer.Capacity{Slots: 1, ColdSlots: 1}), epoch)
	l.Learn(epoch, Sample{Latency: 10 * time.Second})
	for i := range 100 {
		if v, _, _ := l.Offer(epoch, whole(epoch), i, 0, epoch.Add(50*time.Millisecond)); v == Start {
			return
		}
	}
	t.Error("100 tasks refused, none started")
}
