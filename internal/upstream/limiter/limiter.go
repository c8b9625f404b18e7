package limiter

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

// queuePerSlot is the maximum number of waiting tasks per slot.
const queuePerSlot = 16

// Config holds the bounds of one upstream.
type Config struct {
	// Slots is the maximum number of tasks in flight.
	Slots int
	// Cold is the maximum number of tasks in flight while the upstream is cold.
	Cold int
	// Queue is the maximum number of waiting tasks.
	Queue int
	// Warmup is the minimum time that an upstream stays cold.
	Warmup time.Duration
	// Idle is the time without a successful answer after which the upstream is cold again.
	Idle time.Duration
	// SlowStart is switched off only for measurements: the limit is then always Slots.
	SlowStart bool
	// EarlyRefusal is switched off only for measurements: a task that cannot finish in
	// time then waits until its deadline has passed.
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

// Decision is what the Limiter decides on a task.
type Decision int

// Decisions on tasks.
const (
	// None means that no task changes its state.
	None Decision = iota
	// Start means that the task takes a slot now.
	Start
	// Queued means that the task waits.
	Queued
	// QueueFull means that the task is shed because more urgent work fills the queue.
	QueueFull
	// CannotFinish means that the task is shed because it cannot finish before its deadline.
	CannotFinish
	// Expired means that the task's deadline passed while it waited.
	Expired
)

// Limiter holds the limit, the number of slots taken and the queue of one upstream.
// It is not safe for concurrent use.
type Limiter[T comparable] struct {
	cfg      Config
	queue    queue[T]
	ctl      controller
	inFlight int
}

// New returns a Limiter for a cold upstream. cfg.Slots must be at least 1 and cfg.Cold
// between 1 and cfg.Slots.
func New[T comparable](cfg Config, now time.Time) *Limiter[T] {
	l := &Limiter[T]{cfg: cfg}
	l.ctl.reset(&l.cfg, now)
	return l
}

// Offer decides on a new task. When a waiting task is shed to make room for it, shed
// is true and evicted is that task.
func (l *Limiter[T]) Offer(now time.Time, share exchanger.Share, v T, priority int, deadline time.Time) (decision Decision, evicted T, shed bool) {
	l.ctl.resetIfIdle(&l.cfg, now)
	e := entry[T]{value: v, priority: priority, deadline: deadline}
	if !deadline.After(now) {
		return Expired, evicted, false
	}
	allowed := l.Allowed(now, share)
	if l.inFlight < allowed && !l.mustWaitBehind(e) {
		return l.startOrRefuse(now, e), evicted, false
	}
	if l.cfg.EarlyRefusal && !l.canFinish(now, e, allowed) {
		return CannotFinish, evicted, false
	}
	if l.queue.len() < l.cfg.Queue {
		l.queue.insert(e)
		return Queued, evicted, false
	}
	worst := l.queue.worst()
	if !e.before(worst) {
		return QueueFull, evicted, false
	}
	l.queue.dropWorst()
	l.queue.insert(e)
	return Queued, worst.value, true
}

// Next removes the next task from the queue that can start or is shed, and returns it
// with Start, CannotFinish or Expired. It returns None when no task changes its state
// now.
func (l *Limiter[T]) Next(now time.Time, share exchanger.Share) (T, Decision) {
	l.ctl.resetIfIdle(&l.cfg, now)
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

// Remove removes a task from the queue and reports whether it was there.
func (l *Limiter[T]) Remove(v T) bool {
	return l.queue.remove(v)
}

// Flush empties the queue and returns its tasks.
func (l *Limiter[T]) Flush() []T {
	return l.queue.flush()
}

// Release frees the slot of one started task.
func (l *Limiter[T]) Release() {
	l.inFlight--
}

// Observe adapts the limit and the latency estimates to the end of a started task.
func (l *Limiter[T]) Observe(now time.Time, s Sample) {
	l.ctl.observe(&l.cfg, now, s)
}

// MarkCold makes the upstream cold and discards what was learned about it, because its
// state is no longer known.
func (l *Limiter[T]) MarkCold(now time.Time) {
	l.ctl.reset(&l.cfg, now)
}

// Configure replaces the configuration and moves the limit into its bounds.
func (l *Limiter[T]) Configure(cfg Config) {
	l.cfg = cfg
	l.ctl.limit = min(max(l.ctl.limit, cfg.Cold), cfg.Slots)
}

// Hint applies what the upstream's health and load pages say. It only ever lowers the
// limit.
func (l *Limiter[T]) Hint(now time.Time, h Hint) {
	l.ctl.applyHint(&l.cfg, now, h)
}

// Limit returns the number of tasks in flight that a share of 1/1 allows.
func (l *Limiter[T]) Limit() int {
	return l.ctl.limit
}

// IsCold reports whether the upstream is cold; without slow start it never is.
func (l *Limiter[T]) IsCold() bool {
	return l.cfg.SlowStart && l.ctl.limit <= l.cfg.Cold
}

// IsDraining reports whether the upstream reported that it is draining and it is too
// early to send it work again.
func (l *Limiter[T]) IsDraining(now time.Time) bool {
	return l.ctl.isDraining(now)
}

// InFlight returns the number of slots taken.
func (l *Limiter[T]) InFlight() int {
	return l.inFlight
}

// Waiting returns the length of the queue.
func (l *Limiter[T]) Waiting() int {
	return l.queue.len()
}

// Load returns the length of the queue relative to the limit, in percent.
func (l *Limiter[T]) Load() int {
	return l.queue.len() * 100 / l.ctl.limit
}

// Allowed returns the number of tasks in flight that the share allows at now.
func (l *Limiter[T]) Allowed(now time.Time, share exchanger.Share) int {
	if l.IsDraining(now) {
		return 0
	}
	if !l.IsCold() {
		return share.Scale(l.ctl.limit, now)
	}
	if !share.AllowCold || share.Num == 0 || !now.Before(share.ValidUntil) {
		return 0
	}
	// The instance with the rest of the share may treat the upstream as warm; both
	// together stay within the slots.
	others := l.cfg.Slots * (share.Den - share.Num) / share.Den
	return min(l.ctl.limit, l.cfg.Slots-others)
}

// startOrRefuse takes a slot for the entry unless the time to its deadline is too short.
func (l *Limiter[T]) startOrRefuse(now time.Time, e entry[T]) Decision {
	left := e.deadline.Sub(now)
	if left <= 0 {
		return Expired
	}
	if l.cfg.EarlyRefusal && left < l.ctl.meanLatency {
		if l.inFlight == 0 {
			l.ctl.lowerMeanLatency()
		}
		return CannotFinish
	}
	l.inFlight++
	return Start
}

// mustWaitBehind reports whether a waiting task starts before e.
func (l *Limiter[T]) mustWaitBehind(e entry[T]) bool {
	return l.queue.len() > 0 && !e.before(l.queue.best())
}

// canFinish reports whether e can finish before its deadline, by the mean service time
// and the number of tasks ahead of it.
func (l *Limiter[T]) canFinish(now time.Time, e entry[T], allowed int) bool {
	ahead := l.queue.countBefore(e) + 1
	rounds := (ahead + max(allowed, 1) - 1) / max(allowed, 1)
	return e.deadline.Sub(now) >= time.Duration(rounds+1)*l.ctl.meanLatency
}
