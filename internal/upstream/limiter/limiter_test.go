package limiter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

var epoch = time.Unix(1_000_000, 0)

func fullShare(now time.Time) exchanger.Share {
	return exchanger.Share{Num: 1, Den: 1, AllowCold: true, ValidUntil: now.Add(time.Hour)}
}

// warm returns a Limiter whose limit has grown to all slots with answers in 5 ms, and the
// time at which it did.
func warm(t *testing.T, cfg Config) (*Limiter[int], time.Time) {
	t.Helper()
	l, now := New[int](cfg, epoch), epoch
	now = succeed(l, now, 4*time.Second, 5*time.Millisecond)
	if l.Limit() != cfg.Slots {
		t.Fatalf("limit %d after 4 s of successes, want %d", l.Limit(), cfg.Slots)
	}
	return l, now
}

// succeed records one success after another for d, and returns the time of the last.
func succeed(l *Limiter[int], now time.Time, d, latency time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(latency)
		l.Observe(now, Sample{Kind: Success, Latency: latency})
	}
	return now
}

// missDeadlines records shiftRun tasks that got no answer before their deadline after d.
func missDeadlines(l *Limiter[int], now time.Time, d time.Duration) {
	for range shiftRun {
		l.Observe(now, Sample{Kind: Slow, Latency: d})
	}
}

func TestGrowthAndFall(t *testing.T) {
	cfg := FromCapacity(declarer.Capacity{Slots: 3, ColdSlots: 1})
	shift := func(l *Limiter[int], now time.Time) {
		succeed(l, now, shiftRun*50*time.Millisecond, 50*time.Millisecond)
	}
	observe := func(k Kind) func(*Limiter[int], time.Time) {
		return func(l *Limiter[int], now time.Time) { l.Observe(now, Sample{Kind: k}) }
	}
	tests := map[string]struct {
		do   func(*Limiter[int], time.Time)
		want int
	}{
		"shed":                 {observe(Shed), 1},
		"reset":                {observe(Reset), 1},
		"draining":             {observe(Draining), 1},
		"latency shift":        {shift, 1},
		"cancelled early":      {func(l *Limiter[int], now time.Time) { l.Observe(now, Sample{Kind: Inconclusive}) }, 3},
		"deadline after 10 ms": {func(l *Limiter[int], now time.Time) { missDeadlines(l, now, 10*time.Millisecond) }, 3},
		"deadline after 50 ms": {func(l *Limiter[int], now time.Time) { missDeadlines(l, now, 50*time.Millisecond) }, 1},
		"one slow answer":      {func(l *Limiter[int], now time.Time) { succeed(l, now, time.Millisecond, 50*time.Millisecond) }, 3},
		"health page cold":     {func(l *Limiter[int], now time.Time) { l.Hint(now, Hint{Cold: true}) }, 1},
		"load page full":       {func(l *Limiter[int], now time.Time) { l.Hint(now, Hint{Busy: true}) }, 2},
		"marked cold":          {func(l *Limiter[int], now time.Time) { l.MarkCold(now) }, 1},
		"idle":                 {func(l *Limiter[int], now time.Time) { l.Next(now.Add(cfg.Idle+1), fullShare(now)) }, 1},
		"short pause":          {func(l *Limiter[int], now time.Time) { l.Next(now.Add(cfg.Idle-1), fullShare(now)) }, 3},
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

// growTooEarly makes the limit grow, and fall soon after.
func growTooEarly(l *Limiter[int]) {
	l.ctl.coldSince = epoch.Add(-l.cfg.Warmup)
	succeed(l, epoch, growthRun*time.Millisecond, time.Millisecond)
	l.Observe(epoch, Sample{Kind: Shed})
}

// TestGrowthIsHeldBack checks what delays growth: the warm-up time, a health page that
// says cold or was read too early, slow answers, and a fall soon after the last growth.
func TestGrowthIsHeldBack(t *testing.T) {
	cfg := FromCapacity(declarer.Capacity{Slots: 3, ColdSlots: 1})
	tests := map[string]struct {
		before    func(*Limiter[int])
		cold, hot time.Duration
	}{
		"warm-up time":        {func(*Limiter[int]) {}, cfg.Warmup - time.Second, cfg.Warmup + time.Second},
		"page says cold":      {func(l *Limiter[int]) { l.Hint(epoch.Add(3*time.Second), Hint{Cold: true}) }, 9 * time.Second, 15 * time.Second},
		"page read too early": {func(l *Limiter[int]) { l.Hint(epoch, Hint{}) }, 9 * time.Second, 15 * time.Second},
		"slow answers": {func(l *Limiter[int]) {
			succeed(l, epoch, 1, 5*time.Millisecond)
			missDeadlines(l, epoch.Add(time.Second), 50*time.Millisecond)
		}, time.Second, cfg.Warmup + time.Second/2},
		"fall soon after warm": {growTooEarly, 2*cfg.Warmup - time.Second, 2*cfg.Warmup + time.Second},
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

// TestEarlyRefusal checks that a task which cannot finish in time behind the tasks ahead
// of it is refused at once, and is queued when early refusal is off.
func TestEarlyRefusal(t *testing.T) {
	for _, on := range []bool{true, false} {
		cfg := FromCapacity(declarer.Capacity{Slots: 1, ColdSlots: 1})
		cfg.EarlyRefusal = on
		l := New[int](cfg, epoch)
		now := succeed(l, epoch, time.Second, 10*time.Millisecond)
		share := fullShare(now)
		var got []Decision
		for i := range 4 {
			v, _, _ := l.Offer(now, share, i, 0, now.Add(35*time.Millisecond))
			got = append(got, v)
		}
		want := []Decision{Start, Queued, Queued, CannotFinish}
		if !on {
			want[3] = Queued
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("early refusal %v: decisions (-want +got):\n%s", on, d)
		}
	}
}

// TestDrainingPausesWork checks that an upstream which refused work because it drains gets
// none until a later health page says otherwise, or no page has been read for long.
func TestDrainingPausesWork(t *testing.T) {
	l, now := warm(t, FromCapacity(declarer.Capacity{Slots: 3, ColdSlots: 1}))
	start := now
	got := make(map[time.Duration]int)
	at := func(d time.Duration) {
		now = start.Add(d)
		got[d] = l.Allowed(now, fullShare(start))
	}
	l.Observe(now, Sample{Kind: Draining})
	l.Observe(now, Sample{Latency: 5 * time.Millisecond})
	at(0)
	at(29 * time.Second)
	at(30 * time.Second)
	l.Hint(now, Hint{Cold: true, Draining: true})
	at(31 * time.Second)
	l.Hint(now, Hint{})
	at(32 * time.Second)
	l.Observe(now, Sample{Kind: Draining})
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

// TestDrainingByPageAlone checks that an upstream whose health page says that it drains
// gets no work, also when it has not refused any.
func TestDrainingByPageAlone(t *testing.T) {
	l, now := warm(t, FromCapacity(declarer.Capacity{Slots: 3, ColdSlots: 1}))
	start := now
	l.Hint(now, Hint{Cold: true, Draining: true})
	l.Observe(now, Sample{Latency: 5 * time.Millisecond})
	if n := l.Allowed(now, fullShare(start)); n != 0 {
		t.Errorf("allowed %d, want 0 while the page says draining", n)
	}
	now = start.Add(hintMaxAge + 1)
	if n := l.Allowed(now, fullShare(start)); n != 1 {
		t.Errorf("allowed %d, want 1 once the page is too old", n)
	}
	l.Hint(now, Hint{Cold: true, Draining: true})
	l.Hint(now, Hint{})
	if n := l.Allowed(now, fullShare(start)); n != 1 {
		t.Errorf("allowed %d, want 1 once the page says otherwise", n)
	}
}

// TestHighEstimateIsLowered checks that a mean service time above every deadline, from a
// time of slow answers, does not refuse all tasks for good.
func TestHighEstimateIsLowered(t *testing.T) {
	l := New[int](FromCapacity(declarer.Capacity{Slots: 1, ColdSlots: 1}), epoch)
	l.Observe(epoch, Sample{Latency: 10 * time.Second})
	for i := range 100 {
		if v, _, _ := l.Offer(epoch, fullShare(epoch), i, 0, epoch.Add(50*time.Millisecond)); v == Start {
			return
		}
	}
	t.Error("100 tasks refused, none started")
}
