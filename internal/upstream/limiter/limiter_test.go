package limiter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

var epoch = time.Unix(1_000_000, 0)

func whole(now time.Time) exchanger.Share {
	return exchanger.Share{Num: 1, Den: 1, Cold: true, Until: now.Add(time.Hour)}
}

// goesFirst reports whether a must start before b.
func goesFirst(a, b entry[int]) bool {
	return a.priority > b.priority || a.priority == b.priority && a.deadline.Before(b.deadline)
}

// machine drives a Limiter and keeps account of its tasks.
type machine struct {
	cfg     Config
	lim     *Limiter[int]
	now     time.Time
	share   exchanger.Share
	next    int
	waiting map[int]entry[int]
	running map[int]bool
	ended   map[int]int
}

func newMachine(cfg Config) *machine {
	return &machine{
		cfg:     cfg,
		lim:     New[int](cfg, epoch),
		now:     epoch,
		share:   whole(epoch),
		waiting: make(map[int]entry[int]),
		running: make(map[int]bool),
		ended:   make(map[int]int),
	}
}

func (m *machine) end(v int) {
	delete(m.waiting, v)
	delete(m.running, v)
	m.ended[v]++
}

// started checks the bounds that hold whenever a task starts.
func (m *machine) started(t *rapid.T, e entry[int]) {
	delete(m.waiting, e.value)
	m.running[e.value] = true
	for _, w := range m.waiting {
		if goesFirst(w, e) {
			t.Fatalf("started %+v before %+v", e, w)
		}
	}
	n := len(m.running)
	if n > m.cfg.Slots || n > m.share.Scale(m.cfg.Slots, m.now) && !m.share.Cold {
		t.Fatalf("%d in flight, slots %d, share %+v", n, m.cfg.Slots, m.share)
	}
	if n > m.lim.Allowed(m.now, m.share) {
		t.Fatalf("%d in flight, %d allowed", n, m.lim.Allowed(m.now, m.share))
	}
	if m.lim.IsCold() && n > m.cfg.Cold {
		t.Fatalf("%d in flight while cold, cold limit %d", n, m.cfg.Cold)
	}
}

func (m *machine) offer(t *rapid.T) {
	m.next++
	e := entry[int]{
		value:    m.next,
		priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(t, "left")) * time.Millisecond),
	}
	verdict, evicted, shed := m.lim.Offer(m.now, m.share, e.value, e.priority, e.deadline)
	switch verdict {
	case Start:
		m.started(t, e)
	case Queued:
		m.waiting[e.value] = e
	default:
		m.end(e.value)
	}
	if !shed {
		return
	}
	out := m.waiting[evicted]
	m.end(evicted)
	for _, w := range m.waiting {
		if goesFirst(out, w) {
			t.Fatalf("shed %+v while less urgent %+v waits", out, w)
		}
	}
}

func (m *machine) advance(t *rapid.T) {
	v, verdict := m.lim.Next(m.now, m.share)
	if verdict == None {
		return
	}
	e, ok := m.waiting[v]
	if !ok {
		t.Fatalf("task %d came out of the queue but did not wait", v)
	}
	if verdict != Start {
		m.end(v)
		return
	}
	m.started(t, e)
}

func (m *machine) finish(t *rapid.T) {
	for v := range m.running {
		m.lim.Learn(m.now, Sample{
			Kind:    Kind(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5}).Draw(t, "kind")),
			Latency: time.Duration(rapid.IntRange(1, 20).Draw(t, "latency")) * time.Millisecond,
		})
		m.lim.Release()
		m.end(v)
		return
	}
}

func (m *machine) hint(t *rapid.T) {
	before := m.lim.Limit()
	m.lim.Hint(m.now, Hint{Cold: rapid.Bool().Draw(t, "cold"), Busy: rapid.Bool().Draw(t, "busy")})
	if m.lim.Limit() > before {
		t.Fatalf("hint raised the limit from %d to %d", before, m.lim.Limit())
	}
}

func (m *machine) reshare(t *rapid.T) {
	m.share = rapid.SampledFrom([]exchanger.Share{
		whole(m.now),
		{Num: 1, Den: 2, Cold: true, Until: m.now.Add(time.Second)},
		{Num: 1, Den: 2, Until: m.now.Add(time.Second)},
		{Den: 1, Until: m.now.Add(time.Second)},
	}).Draw(t, "share")
}

func TestLimiterKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		cfg := FromCapacity(declarer.Capacity{Slots: slots, Cold: rapid.IntRange(1, slots).Draw(t, "cold")})
		cfg.Queue = 3
		cfg.Warmup = 0
		m := newMachine(cfg)
		t.Repeat(map[string]func(*rapid.T){
			"offer":   m.offer,
			"offer2":  m.offer,
			"next":    m.advance,
			"finish":  m.finish,
			"finish2": m.finish,
			"hint":    m.hint,
			"share":   m.reshare,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if len(m.running) != m.lim.InFlight() || len(m.waiting) != m.lim.Waiting() {
					t.Fatalf("in flight %d, want %d; waiting %d, want %d",
						m.lim.InFlight(), len(m.running), m.lim.Waiting(), len(m.waiting))
				}
			},
		})
		for _, v := range m.lim.Flush() {
			m.end(v)
		}
		for v := range m.running {
			m.end(v)
		}
		for v := 1; v <= m.next; v++ {
			if m.ended[v] != 1 {
				t.Fatalf("task %d ended %d times", v, m.ended[v])
			}
		}
	})
}

// TestHalvesStayWithinSlots pins that two halves of a split group, each with its
// own idea of the upstream, never admit more than its slots.
func TestHalvesStayWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		cfg := FromCapacity(declarer.Capacity{Slots: slots, Cold: rapid.IntRange(1, slots).Draw(t, "cold")})
		sum := 0
		for half := range 2 {
			l := New[int](cfg, epoch)
			l.pace.limit = rapid.IntRange(cfg.Cold, slots).Draw(t, "limit")
			sum += l.Allowed(epoch, exchanger.Share{Num: 1, Den: 2, Cold: half == 0, Until: epoch.Add(time.Second)})
		}
		if sum > slots {
			t.Fatalf("halves admit %d, slots %d", sum, slots)
		}
	})
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

func TestGrowthAndFall(t *testing.T) {
	cfg := FromCapacity(declarer.Capacity{Slots: 3, Cold: 1})
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
		"shed":             {learn(Shed), 1},
		"reset":            {learn(Reset), 1},
		"draining":         {learn(Draining), 1},
		"latency shift":    {shift, 1},
		"cancelled early":  {func(l *Limiter[int], now time.Time) { l.Learn(now, Sample{Kind: Unused}) }, 3},
		"one straggler":    {func(l *Limiter[int], now time.Time) { succeed(l, now, time.Millisecond, 50*time.Millisecond) }, 3},
		"health page cold": {func(l *Limiter[int], now time.Time) { l.Hint(now, Hint{Cold: true}) }, 1},
		"load page full":   {func(l *Limiter[int], now time.Time) { l.Hint(now, Hint{Busy: true}) }, 2},
		"held anew":        {func(l *Limiter[int], now time.Time) { l.Cool(now) }, 1},
		"idle":             {func(l *Limiter[int], now time.Time) { l.Next(now.Add(cfg.Idle+1), whole(now)) }, 1},
		"short pause":      {func(l *Limiter[int], now time.Time) { l.Next(now.Add(cfg.Idle-1), whole(now)) }, 3},
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
	cfg := FromCapacity(declarer.Capacity{Slots: 3, Cold: 1})
	tests := map[string]struct {
		before    func(*Limiter[int])
		cold, hot time.Duration
	}{
		"warm-up time":         {func(*Limiter[int]) {}, cfg.Warmup - time.Second, cfg.Warmup + time.Second},
		"page says cold":       {func(l *Limiter[int]) { l.Hint(epoch.Add(3*time.Second), Hint{Cold: true}) }, 9 * time.Second, 15 * time.Second},
		"page lags":            {func(l *Limiter[int]) { l.Hint(epoch, Hint{}) }, 9 * time.Second, 15 * time.Second},
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
		cfg := FromCapacity(declarer.Capacity{Slots: 1, Cold: 1})
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

func TestDrainingPausesWork(t *testing.T) {
	l, now := warm(t, FromCapacity(declarer.Capacity{Slots: 3, Cold: 1}))
	l.Learn(now, Sample{Kind: Draining})
	l.Hint(now.Add(drainPause/2), Hint{Cold: true, Draining: true})
	var got []int
	for _, after := range []time.Duration{0, 2 * drainPause, 3 * drainPause} {
		got = append(got, l.Allowed(now.Add(after), whole(now)))
	}
	if d := cmp.Diff([]int{0, 0, 1}, got); d != "" {
		t.Errorf("allowed (-want +got):\n%s", d)
	}
}
