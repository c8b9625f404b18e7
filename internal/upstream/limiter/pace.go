package limiter

import "time"

// Constants of the growth and the fall of a limit.
const (
	// growRun is the run of successes that raises the limit by one.
	growRun = 8
	// maxBackoff bounds the doublings of growRun after falls.
	maxBackoff = 3
	// hintLag is how long a health page may lag: an older "warm" is not believed.
	hintLag = 500 * time.Millisecond
	// hintLife is how long a health page counts.
	hintLife = 10 * time.Second
	// vetoLife is how long a health page that says cold holds back growth.
	vetoLife = 30 * time.Second
	// steadyRun is the number of successes since the last cold time after which a
	// fall does not count as a growth that came too early.
	steadyRun = 64
	// drainPause is the least time without work after the upstream said that it
	// drains; it doubles up to maxDrains times while it goes on saying so.
	drainPause = time.Second
	maxDrains  = 5
	// shiftRun is the run of slow answers that counts as a shift of latency.
	shiftRun = 3
	// shiftFactor is how many times the normal latency a slow answer takes.
	shiftFactor = 3
	// shiftFloor is the least difference from the normal latency that counts.
	shiftFloor = 2 * time.Millisecond
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
	// Unused is the end of a task that was cancelled, or not sent.
	Unused
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

// pace is what is known of the upstream's speed, and the limit it leads to.
type pace struct {
	limit int
	// run counts successes at normal latency since the limit last changed.
	run int
	// slow counts slow answers in a row.
	slow int
	// warm counts successes since the limit last left the cold one.
	warm int
	// backoff counts the falls in a row that came soon after the growth.
	backoff int
	// normal is the latency that successes are compared with, 0 when unknown.
	normal time.Duration
	// mean is the mean service time.
	mean time.Duration
	// last is when the last success came, and coldSince when the upstream turned
	// cold.
	last, coldSince time.Time
	hinted          Hint
	hintedAt        time.Time
	// drainedAt is when the upstream last refused work because it drains, and
	// drains how often in a row it did after a pause; zero after a success.
	drainedAt time.Time
	drains    int
}

// reset forgets everything but the health page's last word.
func (p *pace) reset(cfg *Config, now time.Time) {
	*p = pace{hinted: p.hinted, hintedAt: p.hintedAt, limit: cfg.Cold, coldSince: now}
	if !cfg.SlowStart {
		p.limit = cfg.Slots
	}
}

// rest makes the upstream cold after long idleness.
func (p *pace) rest(cfg *Config, now time.Time) {
	if !p.last.IsZero() && now.Sub(p.last) > cfg.Idle {
		p.reset(cfg, now)
	}
}

// learn takes in one end.
func (p *pace) learn(cfg *Config, now time.Time, s Sample) {
	switch s.Kind {
	case Success:
		p.last = now
		p.undrain(now.Add(-s.Latency))
		p.succeed(cfg, now, s.Latency)
	case Draining:
		p.drain(now)
		p.fall(cfg, now)
	case Shed, Reset:
		p.fall(cfg, now)
	case Slow, Unused:
		if p.isSlow(s.Latency) {
			p.run = 0
			p.slowed(cfg, now)
		}
	}
}

// hint lowers the limit. A page that goes on saying the same lowers it once, so
// that a page that misleads for good costs one slow start.
func (p *pace) hint(cfg *Config, now time.Time, h Hint) {
	if h.Cold && !p.hinted.Cold {
		p.lower(cfg, now, cfg.Cold)
	}
	if h.Busy && !p.hinted.Busy {
		p.lower(cfg, now, p.limit-1)
	}
	p.hinted = h
	p.hintedAt = now
}

func (p *pace) succeed(cfg *Config, now time.Time, latency time.Duration) {
	p.estimate(latency)
	if p.normal == 0 {
		p.normal = latency
	}
	if p.isSlow(latency) {
		p.run = 0
		p.settle(cfg, latency)
		p.slowed(cfg, now)
		return
	}
	settled := latency >= p.normal/shiftFactor || p.normal-latency <= shiftFloor
	p.settle(cfg, latency)
	p.slow = 0
	if !settled {
		p.run = 0
		return
	}
	p.run++
	p.warm++
	p.grow(cfg, now)
}

// drain notes that the upstream refused work because it drains.
func (p *pace) drain(now time.Time) {
	if !p.isDraining(now) {
		p.drains = min(p.drains+1, maxDrains)
	}
	p.drainedAt = now
}

// undrain notes that the upstream has run a task which began at began.
func (p *pace) undrain(began time.Time) {
	if began.After(p.drainedAt) {
		p.drainedAt, p.drains = time.Time{}, 0
	}
}

// isDraining reports whether the upstream's health page says that it drains, or
// it refused work because it drains and neither the page nor a long silence of
// the page says otherwise since.
func (p *pace) isDraining(now time.Time) bool {
	if p.drainedAt.IsZero() {
		return p.hinted.Draining && now.Sub(p.hintedAt) <= hintLife
	}
	since := now.Sub(p.drainedAt)
	switch {
	case since < drainPause<<(p.drains-1):
		return true
	case p.hintedAt.IsZero() || now.Sub(p.hintedAt) > hintLife:
		return since < vetoLife
	default:
		return p.hinted.Draining || p.hintedAt.Before(p.drainedAt.Add(hintLag))
	}
}

// isSlow reports whether a latency is far above the normal one.
func (p *pace) isSlow(latency time.Duration) bool {
	return p.normal > 0 && latency > p.normal*shiftFactor && latency-p.normal > shiftFloor
}

// grow raises the limit after a long enough run.
func (p *pace) grow(cfg *Config, now time.Time) {
	if p.limit >= cfg.Slots {
		return
	}
	if p.run < growRun<<p.backoff || p.limit <= cfg.Cold && p.mayBeCold(cfg, now) {
		return
	}
	if p.limit <= cfg.Cold {
		p.warm = 0
	}
	p.run = 0
	p.limit++
}

// mayBeCold reports whether it is too early to give a cold upstream more work:
// within the warm-up time, or while its health page does not say warm.
func (p *pace) mayBeCold(cfg *Config, now time.Time) bool {
	cold := now.Sub(p.coldSince)
	if cold < cfg.Warmup<<p.backoff {
		return true
	}
	if p.hintedAt.IsZero() || now.Sub(p.hintedAt) > hintLife || cold > vetoLife {
		return false
	}
	return p.hinted.Cold || p.hintedAt.Before(p.coldSince.Add(hintLag))
}

// slowed counts a slow answer, and makes a warm upstream cold after a run of
// them.
func (p *pace) slowed(cfg *Config, now time.Time) {
	p.slow++
	if p.slow >= shiftRun && p.limit > cfg.Cold {
		p.fall(cfg, now)
	}
}

// fall makes the upstream cold after distress. The next growth takes longer when
// the limit had grown a short while ago.
func (p *pace) fall(cfg *Config, now time.Time) {
	switch {
	case p.limit <= cfg.Cold:
	case p.warm < steadyRun:
		p.backoff = min(p.backoff+1, maxBackoff)
	default:
		p.backoff = 0
	}
	p.lower(cfg, now, cfg.Cold)
}

func (p *pace) lower(cfg *Config, now time.Time, limit int) {
	p.run = 0
	p.slow = 0
	if !cfg.SlowStart {
		return
	}
	p.limit = max(limit, cfg.Cold)
	if p.limit <= cfg.Cold {
		p.coldSince = now
	}
}

// settle moves the normal latency towards a sample, quickly while cold.
func (p *pace) settle(cfg *Config, latency time.Duration) {
	weight := time.Duration(weightWarm)
	if p.limit <= cfg.Cold {
		weight = weightCold
	}
	p.normal += (latency - p.normal) / weight
}

// estimate updates the mean service time, which early refusal uses.
func (p *pace) estimate(latency time.Duration) {
	if p.mean == 0 {
		p.mean = latency
		return
	}
	p.mean += (latency - p.mean) / weightMean
}

// doubt lowers the mean service time: while all work is refused for it, no
// answer would correct it.
func (p *pace) doubt() {
	p.mean -= p.mean / weightMean
}
