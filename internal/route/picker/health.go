package picker

import (
	"math"
	"time"

	"cornelwood.example/internal/route/locator"
)

const (
	// slownessGain is the weight of the newest sample in a searcher's slowness: a
	// change shows after about four answers.
	slownessGain = 0.25
	// slownessHalfLife is how fast a slowness that no answer confirms is forgotten,
	// so that a searcher that was slow is tried again after seconds.
	slownessHalfLife = 2 * time.Second
	// maxSlowness bounds one sample, so that one long answer does not outweigh many.
	maxSlowness = 20
	// failureGain is the weight of the newest outcome in the failure rate.
	failureGain = 0.2
	// failureHalfLife is how fast a failure rate that no answer confirms is forgotten.
	failureHalfLife = 3 * time.Second
	// minBackoff and maxBackoff bound the time for which a searcher that cannot be
	// reached gets no request; it doubles with each failure in a row.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Outcome says how an exchange with a searcher ended.
type Outcome int

// Outcomes of exchanges.
const (
	// Answered: a whole answer of success.
	Answered Outcome = iota
	// Failed: an answer of failure, or one that broke off.
	Failed
	// NotRun: the searcher refused and did not run the request.
	NotRun
	// ConnectionLimit: no connection was tried, since the searcher accepts no more.
	ConnectionLimit
	// Unreachable: no connection.
	Unreachable
	// Abandoned: given up after a time without an answer.
	Abandoned
)

// health is what a daemon has seen of one searcher.
type health struct {
	// slowness is the latency relative to what the service usually takes.
	slowness float64
	seenAt   time.Time
	// failures is the share of exchanges that failed.
	failures float64
	failedAt time.Time
	// running holds the starts and usual latencies of exchanges that run.
	running map[*Exchange]struct{}
	// streak counts unreachable attempts in a row; downUntil ends the backoff.
	streak    int
	downUntil time.Time
	// trial is true while one request tries a searcher after its backoff.
	trial bool
	// coldTokens is the number of requests that may go to the searcher while it is
	// cold, as of coldSince; warmAt is the end of the cold time that it counts for.
	coldTokens float64
	coldSince  time.Time
	warmAt     time.Time
}

// coldAt returns the number of requests that may go to a cold searcher now: none at
// first, one at most at any moment.
func (h *health) coldAt(s *locator.Searcher, now time.Time) float64 {
	// A later entry moves the end a little.
	if s.WarmAt.Sub(h.warmAt).Abs() > time.Second {
		h.coldTokens, h.coldSince = 0, now
	}
	h.warmAt = s.WarmAt
	h.coldTokens = min(1, h.coldTokens+s.ColdRate*now.Sub(h.coldSince).Seconds())
	h.coldSince = now
	return h.coldTokens
}

// settle takes the outcome of an exchange in.
func (h *health) settle(o Outcome, took, usual time.Duration, now time.Time) {
	switch o {
	case Answered:
		h.sample(took, usual, now)
		h.fail(0, now)
		h.streak, h.downUntil = 0, time.Time{}
	case Failed:
		h.fail(1, now)
		h.streak, h.downUntil = 0, time.Time{}
	case NotRun, ConnectionLimit:
		h.fail(1, now)
	case Abandoned:
		// It takes at least as long as it was waited for.
		if ratio(took, usual) > h.slownessAt(now) {
			h.sample(took, usual, now)
		}
	case Unreachable:
		h.fail(1, now)
		h.downUntil = now.Add(min(maxBackoff, minBackoff<<min(h.streak, 8)))
		h.streak++
	}
	h.trial = false
}

func (h *health) sample(took, usual time.Duration, now time.Time) {
	h.slowness = h.slownessAt(now)*(1-slownessGain) + slownessGain*ratio(took, usual)
	h.seenAt = now
}

func (h *health) fail(outcome float64, now time.Time) {
	h.failures = h.failuresAt(now)*(1-failureGain) + failureGain*outcome
	h.failedAt = now
}

// slownessAt returns the slowness, drawn towards 1 with the time since the last
// sample.
func (h *health) slownessAt(now time.Time) float64 {
	if h.seenAt.IsZero() {
		return 1
	}
	return 1 + (h.slowness-1)*decay(now.Sub(h.seenAt), slownessHalfLife)
}

func (h *health) failuresAt(now time.Time) float64 {
	return h.failures * decay(now.Sub(h.failedAt), failureHalfLife)
}

// stall returns how much longer than usual the oldest running exchange takes.
func (h *health) stall(now time.Time) float64 {
	worst := 0.0
	for t := range h.running {
		worst = max(worst, ratio(now.Sub(t.start), t.usual))
	}
	return worst
}

func decay(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}

func ratio(took, usual time.Duration) float64 {
	if usual <= 0 {
		return 1
	}
	return min(maxSlowness, float64(took)/float64(usual))
}
