package limiter

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

// queuePerSlot is the bound of the queue, in tasks for each slot.
const queuePerSlot = 16

// Config holds the bounds of one upstream.
type Config struct {
	// Slots is the highest number of tasks in flight.
	Slots int
	// Cold is the number of tasks in flight while the upstream is cold.
	Cold int
	// Queue is the highest number of waiting tasks.
	Queue int
	// Warmup is the least time that an upstream is cold.
	Warmup time.Duration
	// Idle is the time without an answer after which the upstream is cold again.
	Idle time.Duration
	// SlowStart is false only in measurements: the limit is then always Slots.
	SlowStart bool
	// EarlyRefusal is false only in measurements: tasks then wait until their
	// deadline has passed.
	EarlyRefusal bool
}

// FromCapacity returns the configuration for a declared capacity.
func FromCapacity(c declarer.Capacity) Config {
	slots := max(c.Slots, 1)
	return Config{
		Slots:        slots,
		Cold:         min(max(c.ColdSlots, 1), slots),
		Queue:        slots * queuePerSlot,
		Warmup:       2 * time.Second,
		Idle:         30 * time.Second,
		SlowStart:    true,
		EarlyRefusal: true,
	}
}

// Verdict says what becomes of a task.
type Verdict int

// Verdicts on tasks.
const (
	// None means that no task changes its state.
	None Verdict = iota
	// Start means that the task takes a slot now.
	Start
	// Queued means that the task waits.
	Queued
	// Full means that the task is shed because more urgent work fills the queue.
	Full
	// Hopeless means that the task is shed because it cannot finish in time.
	Hopeless
	// Expired means that the task's deadline passed while it waited.
	Expired
)

// Limiter holds the limit, the slots taken and the queue of one upstream. It is
// not safe for concurrent use.
type Limiter[T comparable] struct {
	cfg      Config
	queue    queue[T]
	pace     pace
	inFlight int
}

// New returns a Limiter for an upstream that is cold. cfg must hold at least one
// slot, and a cold limit from one to the slots.
func New[T comparable](cfg Config, now time.Time) *Limiter[T] {
	l := &Limiter[T]{cfg: cfg}
	l.pace.reset(&l.cfg, now)
	return l
}

// Offer decides on a new task. When the verdict is Queued and the queue was
// full, evicted is the task that was shed for it.
func (l *Limiter[T]) Offer(now time.Time, share exchanger.Share, v T, priority int, deadline time.Time) (verdict Verdict, evicted T, shed bool) {
	l.pace.rest(&l.cfg, now)
	e := entry[T]{value: v, priority: priority, deadline: deadline}
	if !deadline.After(now) {
		return Expired, evicted, false
	}
	allowed := l.Allowed(now, share)
	if l.inFlight < allowed && !l.waitsBefore(e) {
		return l.startOrRefuse(now, e), evicted, false
	}
	if l.cfg.EarlyRefusal && !l.finishes(now, e, allowed) {
		return Hopeless, evicted, false
	}
	if l.queue.len() < l.cfg.Queue {
		l.queue.insert(e)
		return Queued, evicted, false
	}
	worst := l.queue.worst()
	if !e.before(worst) {
		return Full, evicted, false
	}
	l.queue.dropWorst()
	l.queue.insert(e)
	return Queued, worst.value, true
}

// Next returns the next waiting task whose state changes: it may Start, is
// Hopeless or has Expired. It returns None when nothing changes now.
func (l *Limiter[T]) Next(now time.Time, share exchanger.Share) (T, Verdict) {
	l.pace.rest(&l.cfg, now)
	if e, ok := l.queue.expired(now); ok {
		return e.value, Expired
	}
	if l.queue.len() == 0 || l.inFlight >= l.Allowed(now, share) {
		var none T
		return none, None
	}
	e := l.queue.pop()
	return e.value, l.startOrRefuse(now, e)
}

// Remove takes a waiting task out of the queue and reports whether it waited.
func (l *Limiter[T]) Remove(v T) bool {
	return l.queue.remove(v)
}

// Flush empties the queue and returns the tasks that waited.
func (l *Limiter[T]) Flush() []T {
	return l.queue.flush()
}

// Release frees the slot of one started task.
func (l *Limiter[T]) Release() {
	l.inFlight--
}

// Learn takes in how a started task ended.
func (l *Limiter[T]) Learn(now time.Time, s Sample) {
	l.pace.learn(&l.cfg, now, s)
}

// Cool makes the upstream cold, because its state is no longer known.
func (l *Limiter[T]) Cool(now time.Time) {
	l.pace.reset(&l.cfg, now)
}

// Configure changes the bounds of the upstream.
func (l *Limiter[T]) Configure(cfg Config) {
	l.cfg = cfg
	l.pace.limit = min(max(l.pace.limit, cfg.Cold), cfg.Slots)
}

// Hint takes in what the upstream's health and load pages say.
func (l *Limiter[T]) Hint(now time.Time, h Hint) {
	l.pace.hint(&l.cfg, now, h)
}

// Limit returns the tasks in flight that a whole share allows.
func (l *Limiter[T]) Limit() int {
	return l.pace.limit
}

// IsCold reports whether the limit is the cold one.
func (l *Limiter[T]) IsCold() bool {
	return l.cfg.SlowStart && l.pace.limit <= l.cfg.Cold
}

// IsDraining reports whether the upstream said that it drains, and is not to be
// tried yet.
func (l *Limiter[T]) IsDraining(now time.Time) bool {
	return l.pace.isDraining(now)
}

// InFlight returns the number of slots taken.
func (l *Limiter[T]) InFlight() int {
	return l.inFlight
}

// Waiting returns the length of the queue.
func (l *Limiter[T]) Waiting() int {
	return l.queue.len()
}

// Load returns the queue over the limit, in percent.
func (l *Limiter[T]) Load() int {
	return l.queue.len() * 100 / l.pace.limit
}

// Allowed returns the tasks in flight that the share allows at now.
func (l *Limiter[T]) Allowed(now time.Time, share exchanger.Share) int {
	if l.IsDraining(now) {
		return 0
	}
	if !l.IsCold() {
		return share.Scale(l.pace.limit, now)
	}
	if !share.AllowCold || share.Num == 0 || !now.Before(share.ValidUntil) {
		return 0
	}
	// The other half may hold the upstream for warm; together they stay within
	// the slots.
	others := l.cfg.Slots * (share.Den - share.Num) / share.Den
	return min(l.pace.limit, l.cfg.Slots-others)
}

// startOrRefuse takes a slot for the entry unless its time is too short.
func (l *Limiter[T]) startOrRefuse(now time.Time, e entry[T]) Verdict {
	left := e.deadline.Sub(now)
	if left <= 0 {
		return Expired
	}
	if l.cfg.EarlyRefusal && left < l.pace.mean {
		if l.inFlight == 0 {
			l.pace.doubt()
		}
		return Hopeless
	}
	l.inFlight++
	return Start
}

// waitsBefore reports whether a waiting task goes before e.
func (l *Limiter[T]) waitsBefore(e entry[T]) bool {
	return l.queue.len() > 0 && !e.before(l.queue.best())
}

// finishes reports whether e can finish in time behind the work ahead of it, by
// the mean service time.
func (l *Limiter[T]) finishes(now time.Time, e entry[T], allowed int) bool {
	ahead := l.queue.countBefore(e) + 1
	rounds := (ahead + max(allowed, 1) - 1) / max(allowed, 1)
	return e.deadline.Sub(now) >= time.Duration(rounds+1)*l.pace.mean
}
