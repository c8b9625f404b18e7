package picker

import (
	"math"
	"time"

	"cornelwood.example/internal/route/locator"
)

const (
	// slownessWeight is the weight of the newest sample in a searcher's slowness: a change shows after about four
	// answers.
	slownessWeight = 0.25
	// slownessHalfLife is how fast the slowness returns to 1 without new samples, so that a searcher that was slow is
	// tried again after some seconds.
	slownessHalfLife = 2 * time.Second
	// maxSlowness bounds one sample, so that one long answer does not outweigh many.
	maxSlowness = 20
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.2
	// failureHalfLife is how fast the failure rate returns to 0 without new outcomes.
	failureHalfLife = 3 * time.Second
	// minBackoff and maxBackoff bound the time for which an unreachable searcher gets no request; it doubles with
	// each consecutive failure.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 2 * time.Second
	// minMalformed is the number of malformed answers in a row from which a searcher gets no request for a time, which doubles
	// with each further one, up to maxMalformedBackoff: each costs a request, and a body without end some MB.
	minMalformed        = 2
	maxMalformedBackoff = 4 * time.Second
)

// Outcome is the outcome of an exchange with a searcher.
type Outcome int

// Outcomes of exchanges.
const (
	// Answered: the searcher sent a complete answer that is not a failure.
	Answered Outcome = iota
	// Failed: the searcher answered with a failure, or its answer was incomplete.
	Failed
	// NotRun: the searcher refused the request without running it.
	NotRun
	// ConnectionLimit: the searcher accepts no more connections, so none was tried.
	ConnectionLimit
	// Unreachable: no connection could be opened.
	Unreachable
	// Malformed: the searcher sent bytes that are no answer.
	Malformed
	// Surplus: the searcher sent a complete answer that is not a failure, and more bytes after it.
	Surplus
	// Abandoned: the exchange was cancelled or timed out before an answer.
	Abandoned
)

// health is what a daemon has observed of one searcher.
type health struct {
	// slowness is the moving average of latencies, each relative to the average latency of its route, as of
	// sampledAt.
	slowness  float64
	sampledAt time.Time
	// failureRate is the moving average of outcomes, 0 for a success and 1 for a failure, as of outcomeAt.
	failureRate float64
	outcomeAt   time.Time
	inFlight    map[*Exchange]struct{}
	// slots is the number of requests that the searcher declares to run at once, senders the number of daemons that send to it.
	slots, senders int
	// backoffs counts the backoffs in a row, because of failures to connect or malformed answers; no request is sent before
	// backoffUntil.
	backoffs     int
	backoffUntil time.Time
	// malformed counts malformed answers in a row, surplus answers in a row with more bytes after them. A searcher that sends these
	// is avoided until avoidedUntil.
	malformed, surplus int
	avoidedUntil       time.Time
	// probing is true while a single request probes the searcher after its backoff.
	probing bool
	// coldTokens is the number of requests that may be sent to the searcher during its warm-up, as of coldTokensAt;
	// warmAt is the end of that warm-up.
	coldTokens   float64
	coldTokensAt time.Time
	warmAt       time.Time
}

// refillColdTokens refills the token bucket of a cold searcher and returns the number of tokens. The bucket is empty
// at the start of a warm-up and holds one token at most.
func (h *health) refillColdTokens(s *locator.Searcher, now time.Time) float64 {
	// Small differences come from repeated registrations during the same warm-up.
	if s.WarmAt.Sub(h.warmAt).Abs() > time.Second {
		h.coldTokens, h.coldTokensAt = 0, now
	}
	h.warmAt = s.WarmAt
	h.coldTokens = min(1, h.coldTokens+s.ColdRate*now.Sub(h.coldTokensAt).Seconds())
	h.coldTokensAt = now
	return h.coldTokens
}

// record records the outcome of an exchange that took the given time; average is the average latency of its route.
func (h *health) record(o Outcome, took, average time.Duration, now time.Time) {
	switch o {
	case Answered, Surplus:
		h.addLatency(took, average, now)
		h.addOutcome(0, now)
		h.malformed, h.backoffs, h.backoffUntil = 0, 0, time.Time{}
		if h.surplus++; o == Answered {
			h.surplus, h.avoidedUntil = 0, time.Time{}
		} else if h.surplus >= minMalformed {
			h.avoidedUntil = now.Add(maxMalformedBackoff)
		}
	case Failed:
		h.addOutcome(1, now)
		if h.malformed == 0 {
			h.backoffs, h.backoffUntil = 0, time.Time{}
		}
	case Malformed:
		h.addOutcome(1, now)
		// A single one may be due to its request, and those of exchanges that began before a backoff say nothing new.
		if h.malformed++; h.malformed >= minMalformed && !now.Before(h.backoffUntil) {
			h.backoffUntil = now.Add(min(maxMalformedBackoff, minBackoff<<min(h.backoffs, 8)))
			h.backoffs++
		}
	case NotRun, ConnectionLimit:
		h.addOutcome(1, now)
	case Abandoned:
		// The answer would have taken at least this long.
		if relativeLatency(took, average) > h.slownessAt(now) {
			h.addLatency(took, average, now)
		}
	case Unreachable:
		h.addOutcome(1, now)
		h.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(h.backoffs, 8)))
		h.backoffs++
	}
	h.probing = false
}

func (h *health) addLatency(took, average time.Duration, now time.Time) {
	h.slowness = h.slownessAt(now)*(1-slownessWeight) + slownessWeight*relativeLatency(took, average)
	h.sampledAt = now
}

// addOutcome adds a success, 0, or a failure, 1, to the failure rate.
func (h *health) addOutcome(failure float64, now time.Time) {
	h.failureRate = h.failureRateAt(now)*(1-failureWeight) + failureWeight*failure
	h.outcomeAt = now
}

// slownessAt returns the slowness, which decays towards 1 with the time since the last sample.
func (h *health) slownessAt(now time.Time) float64 {
	if h.sampledAt.IsZero() {
		return 1
	}
	return 1 + (h.slowness-1)*decay(now.Sub(h.sampledAt), slownessHalfLife)
}

// learnedShare returns how far the slowness has decayed towards the searcher's learned speed, 0 to 1.
func (h *health) learnedShare(now time.Time) float64 {
	if h.sampledAt.IsZero() {
		return 1
	}
	return 1 - decay(now.Sub(h.sampledAt), slownessHalfLife)
}

// failureRateAt returns the failure rate, which decays towards 0 with the time since the last outcome.
func (h *health) failureRateAt(now time.Time) float64 {
	return h.failureRate * decay(now.Sub(h.outcomeAt), failureHalfLife)
}

// slowestInFlight returns the longest time that an exchange has been in flight, relative to the average latency.
func (h *health) slowestInFlight(now time.Time) float64 {
	slowest := 0.0
	for e := range h.inFlight {
		slowest = max(slowest, relativeLatency(now.Sub(e.start), e.average))
	}
	return slowest
}

// decay returns the share that is left after d.
func decay(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}

// relativeLatency returns took relative to the average, at most maxSlowness; it is 1 when the average is not known.
func relativeLatency(took, average time.Duration) float64 {
	if average <= 0 {
		return 1
	}
	return min(maxSlowness, float64(took)/float64(average))
}
