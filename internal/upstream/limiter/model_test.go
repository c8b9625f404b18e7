package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

// startsBefore reports whether a must start before b.
func startsBefore(a, b entry[int]) bool {
	return a.priority > b.priority || a.priority == b.priority && a.deadline.Before(b.deadline)
}

// model runs a Limiter and tracks the state of each of its tasks.
type model struct {
	cfg      Config
	limiter  *Limiter[int]
	now      time.Time
	share    exchanger.Share
	lastTask int
	waiting  map[int]entry[int]
	running  map[int]bool
	ended    map[int]int
}

func newModel(cfg Config) *model {
	return &model{
		cfg:     cfg,
		limiter: New[int](cfg, epoch),
		now:     epoch,
		share:   fullShare(epoch),
		waiting: make(map[int]entry[int]),
		running: make(map[int]bool),
		ended:   make(map[int]int),
	}
}

func (m *model) recordEnd(v int) {
	delete(m.waiting, v)
	delete(m.running, v)
	m.ended[v]++
}

// recordStart records that a task started, and checks the order of the queue and the bounds on tasks in flight.
func (m *model) recordStart(t *rapid.T, e entry[int]) {
	delete(m.waiting, e.value)
	m.running[e.value] = true
	for _, w := range m.waiting {
		if startsBefore(w, e) {
			t.Fatalf("started %+v before %+v", e, w)
		}
	}
	n := len(m.running)
	if n > m.cfg.Slots || n > m.share.Scale(m.cfg.Slots, m.now) && !m.share.AllowCold {
		t.Fatalf("%d in flight, slots %d, share %+v", n, m.cfg.Slots, m.share)
	}
	if n > m.limiter.Allowed(m.now, m.share) {
		t.Fatalf("%d in flight, %d allowed", n, m.limiter.Allowed(m.now, m.share))
	}
	if m.limiter.IsCold() && n > m.cfg.Cold {
		t.Fatalf("%d in flight while cold, cold limit %d", n, m.cfg.Cold)
	}
}

func (m *model) offer(t *rapid.T) {
	m.lastTask++
	e := entry[int]{
		value:    m.lastTask,
		priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(t, "left")) * time.Millisecond),
	}
	decision, evicted, shed := m.limiter.Offer(m.now, m.share, e.value, e.priority, e.deadline)
	switch decision {
	case Start:
		m.recordStart(t, e)
	case Queued:
		m.waiting[e.value] = e
	default:
		m.recordEnd(e.value)
	}
	if !shed {
		return
	}
	lost := m.waiting[evicted]
	m.recordEnd(evicted)
	for _, w := range m.waiting {
		if startsBefore(lost, w) {
			t.Fatalf("shed %+v while less urgent %+v waits", lost, w)
		}
	}
}

func (m *model) startNext(t *rapid.T) {
	v, decision := m.limiter.Next(m.now, m.share)
	if decision == None {
		return
	}
	e, ok := m.waiting[v]
	if !ok {
		t.Fatalf("task %d was taken from the queue but was not waiting", v)
	}
	if decision != Start {
		m.recordEnd(v)
		return
	}
	m.recordStart(t, e)
}

func (m *model) finish(t *rapid.T) {
	for v := range m.running {
		m.limiter.Observe(m.now, Sample{
			Kind:    Kind(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5}).Draw(t, "kind")),
			Latency: time.Duration(rapid.IntRange(1, 20).Draw(t, "latency")) * time.Millisecond,
		})
		m.limiter.Release()
		m.recordEnd(v)
		return
	}
}

func (m *model) hint(t *rapid.T) {
	before := m.limiter.Limit()
	m.limiter.Hint(m.now, Hint{Cold: rapid.Bool().Draw(t, "cold"), Busy: rapid.Bool().Draw(t, "busy")})
	if m.limiter.Limit() > before {
		t.Fatalf("hint raised the limit from %d to %d", before, m.limiter.Limit())
	}
}

func (m *model) changeShare(t *rapid.T) {
	m.share = rapid.SampledFrom([]exchanger.Share{
		fullShare(m.now),
		{Num: 1, Den: 2, AllowCold: true, ValidUntil: m.now.Add(time.Second)},
		{Num: 1, Den: 2, ValidUntil: m.now.Add(time.Second)},
		{Den: 1, ValidUntil: m.now.Add(time.Second)},
	}).Draw(t, "share")
}

func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		cfg := FromCapacity(declarer.Capacity{Slots: slots, ColdSlots: rapid.IntRange(1, slots).Draw(t, "cold")})
		cfg.Queue = 3
		cfg.Warmup = 0
		m := newModel(cfg)
		t.Repeat(map[string]func(*rapid.T){
			"offer":   m.offer,
			"offer2":  m.offer,
			"next":    m.startNext,
			"finish":  m.finish,
			"finish2": m.finish,
			"hint":    m.hint,
			"share":   m.changeShare,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if len(m.running) != m.limiter.InFlight() || len(m.waiting) != m.limiter.Waiting() {
					t.Fatalf("in flight %d, want %d; waiting %d, want %d",
						m.limiter.InFlight(), len(m.running), m.limiter.Waiting(), len(m.waiting))
				}
			},
		})
		for _, v := range m.limiter.Flush() {
			m.recordEnd(v)
		}
		for v := range m.running {
			m.recordEnd(v)
		}
		for v := 1; v <= m.lastTask; v++ {
			if m.ended[v] != 1 {
				t.Fatalf("task %d ended %d times", v, m.ended[v])
			}
		}
	})
}

// TestHalvesStayWithinSlots checks that the two halves of a partitioned group, one of which
// may treat the upstream as cold and the other as warm, never admit more than its slots.
func TestHalvesStayWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		cfg := FromCapacity(declarer.Capacity{Slots: slots, ColdSlots: rapid.IntRange(1, slots).Draw(t, "cold")})
		sum := 0
		for half := range 2 {
			l := New[int](cfg, epoch)
			l.ctl.limit = rapid.IntRange(cfg.Cold, slots).Draw(t, "limit")
			sum += l.Allowed(epoch, exchanger.Share{Num: 1, Den: 2, AllowCold: half == 0, ValidUntil: epoch.Add(time.Second)})
		}
		if sum > slots {
			t.Fatalf("halves admit %d, slots %d", sum, slots)
		}
	})
}
