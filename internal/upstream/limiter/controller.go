package limiter

import "time"

// Constants of the growth and the fall of a limit.
const (
	// growthRun is the run of successes that raises the limit by one.
	growthRun = 8
	// maxBackoff bounds the doublings of growRun after falls.
	maxBackoff = 3
	// maxHintLag is how long a health page may lag: an older "warm" is not believed.
	maxHintLag = 500 * time.Millisecond
	// hintMaxAge is how long a health page counts.
	hintMaxAge = 10 * time.Second
	// maxColdByHint is how long a health page that says cold holds back growth.
	maxColdByHint = 30 * time.Second
	// stableRun is the number of successes since the last cold time after which a
	// fall does not count as a growth that came too early.
	stableRun = 64
	// drainPause is the least time without work after the upstream said that it
	// drains; it doubles up to maxDrains times while it goes on saying so.
	drainPause       = time.Second
	maxDrainRefusals = 5
	// shiftRun is the run of slow answers that counts as a shift of latency.
	shiftRun = 3
	// slowFactor is how many times the normal latency a slow answer takes.
	slowFactor = 3
	// slowMargin is the least difference from the normal latency that counts.
	slowMargin = 2 * time.Millisecond
	// Weights of a new sample, as divisors.
	weightCold = 4
	weightWarm = 32
	weightMean = 8
)

// Kind is how a started task ended.
type Kind int

// Kinds of ends.
const (
	// Success is a valid answer.
	Success Kind = iota
	// Slow is an answer that did not come in the time that was left.
	Slow
	// Shed is a refusal by the upstream itself.
	Shed
	// Reset is a connection that could not be opened, or was lost.
	Reset
	// Draining is the upstream's word that it is leaving.
	Draining
	// Inconclusive is the end of a task that was cancelled, or not sent.
	Inconclusive
)

// Sample is the end of one started task.
type Sample struct {
	Kind Kind
	// Latency is the time from the write to the answer, or to the deadline or
	// cancellation.
	Latency time.Duration
}

// Hint is what an upstream's health and load pages say. They lag and mislead.
type Hint struct {
	// Cold is true when the upstream says that it is cold or draining, and
	// Draining when it says that it is draining.
	Cold, Draining bool
	// Busy is true when the upstream says that all its slots are taken.
	Busy bool
}

// controller is what is known of the upstream's speed, and the limit it leads to.
type controller struct {
	limit int
	// successRun counts successes at normal latency since the limit last changed.
	successRun int
	// slowRun counts slowRun answers in a row.
	slowRun int
	// warmSuccesses counts successes since the limit last left the cold one.
	warmSuccesses int
	// backoff counts the falls in a row that came soon after the growth.
	backoff int
	// normalLatency is the latency that successes are compared with, 0 when unknown.
	normalLatency time.Duration
	// meanLatency is the meanLatency service time.
	meanLatency time.Duration
	// lastSuccess is when the lastSuccess success came, and coldSince when the upstream turned
	// cold.
	lastSuccess, coldSince time.Time
	lastHint               Hint
	lastHintAt             time.Time
	// lastDrainRefusal is when the upstream last refused work because it drains, and
	// drains how often in a row it did after a pause; zero after a success.
	lastDrainRefusal time.Time
	drainRefusals    int
}

// reset forgets everything but the health page's last word.
func (p *controller) reset(cfg *Config, now time.Time) {
	*p = controller{lastHint: p.lastHint, lastHintAt: p.lastHintAt, limit: cfg.Cold, coldSince: now}
	if !cfg.SlowStart {
		p.limit = cfg.Slots
	}
}

// resetIfIdle makes the upstream cold after long idleness.
func (p *controller) resetIfIdle(cfg *Config, now time.Time) {
	if !p.lastSuccess.IsZero() && now.Sub(p.lastSuccess) > cfg.Idle {
		p.reset(cfg, now)
	}
}

// observe takes in one end.
func (p *controller) observe(cfg *Config, now time.Time, s Sample) {
	switch s.Kind {
	case Success:
		p.lastSuccess = now
		p.clearDraining(now.Add(-s.Latency))
		p.recordSuccess(cfg, now, s.Latency)
	case Draining:
		p.recordDrainRefusal(now)
		p.dropToCold(cfg, now)
	case Shed, Reset:
		p.dropToCold(cfg, now)
	case Slow, Inconclusive:
		if p.isSlow(s.Latency) {
			p.successRun = 0
			p.recordSlow(cfg, now)
		}
	}
}

// applyHint lowers the limit. A page that goes on saying the same lowers it once, so
// that a page that misleads for good costs one slow start.
func (p *controller) applyHint(cfg *Config, now time.Time, h Hint) {
	if h.Cold && !p.lastHint.Cold {
		p.lower(cfg, now, cfg.Cold)
	}
	if h.Busy && !p.lastHint.Busy {
		p.lower(cfg, now, p.limit-1)
	}
	p.lastHint = h
	p.lastHintAt = now
}

func (p *controller) recordSuccess(cfg *Config, now time.Time, latency time.Duration) {
	p.updateMeanLatency(latency)
	if p.normalLatency == 0 {
		p.normalLatency = latency
	}
	if p.isSlow(latency) {
		p.successRun = 0
		p.updateNormalLatency(cfg, latency)
		p.recordSlow(cfg, now)
		return
	}
	settled := latency >= p.normalLatency/slowFactor || p.normalLatency-latency <= slowMargin
	p.updateNormalLatency(cfg, latency)
	p.slowRun = 0
	if !settled {
		p.successRun = 0
		return
	}
	p.successRun++
	p.warmSuccesses++
	p.grow(cfg, now)
}

// recordDrainRefusal notes that the upstream refused work because it drains.
func (p *controller) recordDrainRefusal(now time.Time) {
	if !p.isDraining(now) {
		p.drainRefusals = min(p.drainRefusals+1, maxDrainRefusals)
	}
	p.lastDrainRefusal = now
}

// clearDraining notes that the upstream has run a task which began at began.
func (p *controller) clearDraining(began time.Time) {
	if began.After(p.lastDrainRefusal) {
		p.lastDrainRefusal, p.drainRefusals = time.Time{}, 0
	}
}

// isDraining reports whether the upstream's health page says that it drains, or
// it refused work because it drains and neither the page nor a long silence of
// the page says otherwise since.
func (p *controller) isDraining(now time.Time) bool {
	if p.lastDrainRefusal.IsZero() {
		return p.lastHint.Draining && now.Sub(p.lastHintAt) <= hintMaxAge
	}
	since := now.Sub(p.lastDrainRefusal)
	switch {
	case since < drainPause<<(p.drainRefusals-1):
		return true
	case p.lastHintAt.IsZero() || now.Sub(p.lastHintAt) > hintMaxAge:
		return since < maxColdByHint
	default:
		return p.lastHint.Draining || p.lastHintAt.Before(p.lastDrainRefusal.Add(maxHintLag))
	}
}

// isSlow reports whether a latency is far above the normal one.
func (p *controller) isSlow(latency time.Duration) bool {
	return p.normalLatency > 0 && latency > p.normalLatency*slowFactor && latency-p.normalLatency > slowMargin
}

// grow raises the limit after a long enough run.
func (p *controller) grow(cfg *Config, now time.Time) {
	if p.limit >= cfg.Slots {
		return
	}
	if p.successRun < growthRun<<p.backoff || p.limit <= cfg.Cold && p.mustStayCold(cfg, now) {
		return
	}
	if p.limit <= cfg.Cold {
		p.warmSuccesses = 0
	}
	p.successRun = 0
	p.limit++
}

// mustStayCold reports whether it is too early to give a cold upstream more work:
// within the warm-up time, or while its health page does not say warm.
func (p *controller) mustStayCold(cfg *Config, now time.Time) bool {
	cold := now.Sub(p.coldSince)
	if cold < cfg.Warmup<<p.backoff {
		return true
	}
	if p.lastHintAt.IsZero() || now.Sub(p.lastHintAt) > hintMaxAge || cold > maxColdByHint {
		return false
	}
	return p.lastHint.Cold || p.lastHintAt.Before(p.coldSince.Add(maxHintLag))
}

// recordSlow counts a slow answer, and makes a warm upstream cold after a run of
// them.
func (p *controller) recordSlow(cfg *Config, now time.Time) {
	p.slowRun++
	if p.slowRun >= shiftRun && p.limit > cfg.Cold {
		p.dropToCold(cfg, now)
	}
}

// dropToCold makes the upstream cold after distress. The next growth takes longer when
// the limit had grown a short while ago.
func (p *controller) dropToCold(cfg *Config, now time.Time) {
	switch {
	case p.limit <= cfg.Cold:
	case p.warmSuccesses < stableRun:
		p.backoff = min(p.backoff+1, maxBackoff)
	default:
		p.backoff = 0
	}
	p.lower(cfg, now, cfg.Cold)
}

func (p *controller) lower(cfg *Config, now time.Time, limit int) {
	p.successRun = 0
	p.slowRun = 0
	if !cfg.SlowStart {
		return
	}
	p.limit = max(limit, cfg.Cold)
	if p.limit <= cfg.Cold {
		p.coldSince = now
	}
}

// updateNormalLatency moves the normal latency towards a sample, quickly while cold.
func (p *controller) updateNormalLatency(cfg *Config, latency time.Duration) {
	weight := time.Duration(weightWarm)
	if p.limit <= cfg.Cold {
		weight = weightCold
	}
	p.normalLatency += (latency - p.normalLatency) / weight
}

// updateMeanLatency updates the mean service time, which early refusal uses.
func (p *controller) updateMeanLatency(latency time.Duration) {
	if p.meanLatency == 0 {
		p.meanLatency = latency
		return
	}
	p.meanLatency += (latency - p.meanLatency) / weightMean
}

// lowerMeanLatency lowers the mean service time: while all work is refused for it, no
// answer would correct it.
func (p *controller) lowerMeanLatency() {
	p.meanLatency -= p.meanLatency / weightMean
}
