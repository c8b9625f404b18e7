package limiter

import "time"

// Constants of how the limit grows and falls.
const (
	// growthRun is the number of consecutive successes that raises the limit by one.
	growthRun = 8
	// maxBackoff bounds the doublings of growthRun and Config.Warmup after falls.
	maxBackoff = 3
	// maxHintLag is how far a health page may lag behind: a page that says warm counts
	// only when it was read at least maxHintLag after the upstream turned cold or drained.
	maxHintLag = 500 * time.Millisecond
	// hintMaxAge is the age from which a health page is ignored.
	hintMaxAge = 10 * time.Second
	// maxColdByHint is how long a health page can keep an upstream cold, and how long a
	// refusal because of draining counts when there is no current page.
	maxColdByHint = 30 * time.Second
	// stableRun is the number of successes since the last cold phase from which a fall
	// no longer counts as a sign that the limit grew too early.
	stableRun = 64
	// drainPause is the minimum time without work after the upstream refused work
	// because it drains. It doubles with each further refusal, up to the
	// maxDrainRefusals-th.
	drainPause       = time.Second
	maxDrainRefusals = 5
	// shiftRun is the number of consecutive slow answers that makes the upstream cold.
	shiftRun = 3
	// slowFactor is the multiple of the normal latency from which an answer is slow.
	slowFactor = 3
	// slowMargin is the minimum difference from the normal latency that matters.
	slowMargin = 2 * time.Millisecond
	// Divisors that give the weight of a new sample in a moving average: of the normal
	// latency while cold and while warm, and of the mean service time.
	weightCold = 4
	weightWarm = 32
	weightMean = 8
)

// Kind is how a started task ended.
type Kind int

// Kinds of how a task ends.
const (
	// Success is a valid answer.
	Success Kind = iota
	// Slow means that no answer came before the deadline.
	Slow
	// Shed is a refusal by the upstream itself.
	Shed
	// Reset is a connection that could not be opened, or was lost.
	Reset
	// Draining is a refusal by an upstream that is draining.
	Draining
	// Inconclusive is the end of a task that was cancelled, was not sent, or got an
	// answer which says nothing about the upstream's load.
	Inconclusive
)

// Sample describes how one started task ended.
type Sample struct {
	Kind Kind
	// Latency is the time from sending the task to the answer, the deadline or the
	// cancellation; 0 when there is none to take into account.
	Latency time.Duration
}

// Hint is what an upstream's health and load pages say. The pages may be outdated or
// wrong.
type Hint struct {
	// Cold is true when the health page says cold or draining, and Draining when it says
	// draining.
	Cold, Draining bool
	// Busy is true when the load page says that all slots are taken.
	Busy bool
}

// controller adapts the limit to the upstream's answers and pages.
type controller struct {
	limit int
	// successRun counts successes at normal latency since the limit last changed.
	successRun int
	// slowRun counts consecutive slow answers.
	slowRun int
	// warmSuccesses counts successes since the limit last rose above Config.Cold.
	warmSuccesses int
	// backoff counts consecutive falls that came soon after a growth, up to maxBackoff.
	backoff int
	// normalLatency is a moving average that latencies are compared with; 0 when unknown.
	normalLatency time.Duration
	// meanLatency is a moving average of the service time; 0 when unknown.
	meanLatency time.Duration
	// lastSuccess is the time of the last success, and coldSince when the upstream turned
	// cold.
	lastSuccess, coldSince time.Time
	// lastHint is the last hint, and lastHintAt when it was applied.
	lastHint   Hint
	lastHintAt time.Time
	// lastDrainRefusal is when the upstream last refused work because it drains;
	// drainRefusals counts such refusals after a pause, without a success between them.
	// Both are zero after a success.
	lastDrainRefusal time.Time
	drainRefusals    int
}

// reset makes the upstream cold and discards everything but the last hint.
func (c *controller) reset(cfg *Config, now time.Time) {
	*c = controller{lastHint: c.lastHint, lastHintAt: c.lastHintAt, limit: cfg.Cold, coldSince: now}
	if !cfg.SlowStart {
		c.limit = cfg.Slots
	}
}

// resetIfIdle makes the upstream cold when the last success is older than Config.Idle.
func (c *controller) resetIfIdle(cfg *Config, now time.Time) {
	if !c.lastSuccess.IsZero() && now.Sub(c.lastSuccess) > cfg.Idle {
		c.reset(cfg, now)
	}
}

// observe adapts the controller to the end of one task.
func (c *controller) observe(cfg *Config, now time.Time, s Sample) {
	switch s.Kind {
	case Success:
		c.lastSuccess = now
		c.clearDraining(now.Add(-s.Latency))
		c.recordSuccess(cfg, now, s.Latency)
	case Draining:
		c.recordDrainRefusal(now)
		c.dropToCold(cfg, now)
	case Shed, Reset:
		c.dropToCold(cfg, now)
	case Slow, Inconclusive:
		if c.isSlow(s.Latency) {
			c.successRun = 0
			c.recordSlow(cfg, now)
		}
	}
}

// applyHint lowers the limit. A page whose state does not change lowers it only once, so
// that a page that is wrong for good costs one slow start.
func (c *controller) applyHint(cfg *Config, now time.Time, h Hint) {
	if h.Cold && !c.lastHint.Cold {
		c.lower(cfg, now, cfg.Cold)
	}
	if h.Busy && !c.lastHint.Busy {
		c.lower(cfg, now, c.limit-1)
	}
	c.lastHint = h
	c.lastHintAt = now
}

// recordSuccess updates the latencies and counts the success, unless its latency is far
// from the normal one.
func (c *controller) recordSuccess(cfg *Config, now time.Time, latency time.Duration) {
	c.updateMeanLatency(latency)
	if c.normalLatency == 0 {
		c.normalLatency = latency
	}
	if c.isSlow(latency) {
		c.successRun = 0
		c.updateNormalLatency(cfg, latency)
		c.recordSlow(cfg, now)
		return
	}
	inRange := latency >= c.normalLatency/slowFactor || c.normalLatency-latency <= slowMargin
	c.updateNormalLatency(cfg, latency)
	c.slowRun = 0
	if !inRange {
		c.successRun = 0
		return
	}
	c.successRun++
	c.warmSuccesses++
	c.grow(cfg, now)
}

// recordDrainRefusal records that the upstream refused work because it drains.
func (c *controller) recordDrainRefusal(now time.Time) {
	if !c.isDraining(now) {
		c.drainRefusals = min(c.drainRefusals+1, maxDrainRefusals)
	}
	c.lastDrainRefusal = now
}

// clearDraining ends the draining state when the upstream has run a task that was sent at
// began, after its last refusal.
func (c *controller) clearDraining(began time.Time) {
	if began.After(c.lastDrainRefusal) {
		c.lastDrainRefusal, c.drainRefusals = time.Time{}, 0
	}
}

// isDraining reports whether the upstream's health page says that it drains, or the
// upstream refused work because it drains and that refusal still counts: during the pause
// after it, and then until a later page says otherwise or, when there is no current page,
// for maxColdByHint.
func (c *controller) isDraining(now time.Time) bool {
	if c.lastDrainRefusal.IsZero() {
		return c.lastHint.Draining && now.Sub(c.lastHintAt) <= hintMaxAge
	}
	since := now.Sub(c.lastDrainRefusal)
	switch {
	case since < drainPause<<(c.drainRefusals-1):
		return true
	case c.lastHintAt.IsZero() || now.Sub(c.lastHintAt) > hintMaxAge:
		return since < maxColdByHint
	default:
		return c.lastHint.Draining || c.lastHintAt.Before(c.lastDrainRefusal.Add(maxHintLag))
	}
}

// isSlow reports whether a latency is far above the normal latency.
func (c *controller) isSlow(latency time.Duration) bool {
	return c.normalLatency > 0 && latency > c.normalLatency*slowFactor && latency-c.normalLatency > slowMargin
}

// grow raises the limit after a long enough run of successes.
func (c *controller) grow(cfg *Config, now time.Time) {
	if c.limit >= cfg.Slots {
		return
	}
	if c.successRun < growthRun<<c.backoff || c.limit <= cfg.Cold && c.mustStayCold(cfg, now) {
		return
	}
	if c.limit <= cfg.Cold {
		c.warmSuccesses = 0
	}
	c.successRun = 0
	c.limit++
}

// mustStayCold reports whether it is too early to give a cold upstream more work: during
// the warm-up, or while a current health page says cold or was read too early in the cold
// phase to count.
func (c *controller) mustStayCold(cfg *Config, now time.Time) bool {
	cold := now.Sub(c.coldSince)
	if cold < cfg.Warmup<<c.backoff {
		return true
	}
	if c.lastHintAt.IsZero() || now.Sub(c.lastHintAt) > hintMaxAge || cold > maxColdByHint {
		return false
	}
	return c.lastHint.Cold || c.lastHintAt.Before(c.coldSince.Add(maxHintLag))
}

// recordSlow counts a slow answer, and makes a warm upstream cold after shiftRun of them.
func (c *controller) recordSlow(cfg *Config, now time.Time) {
	c.slowRun++
	if c.slowRun >= shiftRun && c.limit > cfg.Cold {
		c.dropToCold(cfg, now)
	}
}

// dropToCold makes the upstream cold after a failure or a run of slow answers. When the
// limit had grown shortly before, backoff makes the next growth take longer.
func (c *controller) dropToCold(cfg *Config, now time.Time) {
	switch {
	case c.limit <= cfg.Cold:
	case c.warmSuccesses < stableRun:
		c.backoff = min(c.backoff+1, maxBackoff)
	default:
		c.backoff = 0
	}
	c.lower(cfg, now, cfg.Cold)
}

// lower sets a lower limit, but no lower than Config.Cold, and starts a new cold phase
// when it reaches that. Without slow start the limit does not change.
func (c *controller) lower(cfg *Config, now time.Time, limit int) {
	c.successRun = 0
	c.slowRun = 0
	if !cfg.SlowStart {
		return
	}
	c.limit = max(limit, cfg.Cold)
	if c.limit <= cfg.Cold {
		c.coldSince = now
	}
}

// updateNormalLatency adds a sample to the moving average, with a higher weight while cold.
func (c *controller) updateNormalLatency(cfg *Config, latency time.Duration) {
	weight := time.Duration(weightWarm)
	if c.limit <= cfg.Cold {
		weight = weightCold
	}
	c.normalLatency += (latency - c.normalLatency) / weight
}

// updateMeanLatency adds a sample to the mean service time, which early refusal uses.
func (c *controller) updateMeanLatency(latency time.Duration) {
	if c.meanLatency == 0 {
		c.meanLatency = latency
		return
	}
	c.meanLatency += (latency - c.meanLatency) / weightMean
}

// lowerMeanLatency lowers the mean service time. While it is so high that all work is
// refused, no answer would correct it.
func (c *controller) lowerMeanLatency() {
	c.meanLatency -= c.meanLatency / weightMean
}
