package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

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
	if n > m.cfg.Slots || n > m.share.Scale(m.cfg.Slots, m.now) && !m.share.AllowCold {
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
		{Num: 1, Den: 2, AllowCold: true, ValidUntil: m.now.Add(time.Second)},
		{Num: 1, Den: 2, ValidUntil: m.now.Add(time.Second)},
		{Den: 1, ValidUntil: m.now.Add(time.Second)},
	}).Draw(t, "share")
}

func TestLimiterKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		cfg := FromCapacity(declarer.Capacity{Slots: slots, ColdSlots: rapid.IntRange(1, slots).Draw(t, "cold")})
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
		cfg := FromCapacity(declarer.Capacity{Slots: slots, ColdSlots: rapid.IntRange(1, slots).Draw(t, "cold")})
		sum := 0
		for half := range 2 {
			l := New[int](cfg, epoch)
			l.pace.limit = rapid.IntRange(cfg.Cold, slots).Draw(t, "limit")
			sum += l.Allowed(epoch, exchanger.Share{Num: 1, Den: 2, AllowCold: half == 0, ValidUntil: epoch.Add(time.Second)})
		}
		if sum > slots {
			t.Fatalf("halves admit %d, slots %d", sum, slots)
		}
	})
}
