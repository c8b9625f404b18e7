// Package estimator learns how fast each searcher is and how many requests at once it handles well, from what all daemons
// have observed of it. It is pure: samples in, estimates out, with an injected clock.
//
// It handles these load patterns:
//   - Searchers of one service that differ in speed: the speed is learned while they have little load.
//   - Searchers that slow down before their slots are full, or run more requests than declared: the limit follows their
//     latency relative to their own under little load.
//   - Searchers that pause, or turn slow for seconds: the limit falls only as far as the requests in flight show that it
//     is too high, and returns to the declared slots without samples.
//   - Searchers that few daemons use, new and cold ones: without samples the declared slots and the speed 1 apply.
package estimator

import (
	"math"
	"time"
)

const (
	// answerWeight is the weight of one answer in the recent latency: a change shows after about six answers.
	answerWeight = 0.15
	// baseWeight is the weight of one answer in the latency under little load, and maxBaseGrowth bounds a sample by a
	// multiple of it, so that a pause or a slow second does not count as the searcher's speed.
	baseWeight    = 0.03
	maxBaseGrowth = 2
	// lightLoad is the share of the limit up to which a searcher has little load.
	lightLoad = 0.5
	// busyLoad is the share of the limit from which good answers show that the limit may be higher.
	busyLoad = 0.6
	// slowFactor is the latency, relative to that under little load, from which a searcher is not handling its load
	// well: its requests wait as long as they run.
	slowFactor = 2
	// decrease and increase change the limit: the first as a factor, the second in requests. Queues grow within a
	// second at twice the load, so that the limit must fall faster than it rises.
	decrease = 0.85
	increase = 0.5
	// adjustInterval is the time between two changes of a limit: about the age of the other daemons' observations.
	adjustInterval = 500 * time.Millisecond
	// minLimit lets a searcher always run one request.
	minLimit = 1
	// maxLimitSlots bounds the limit to a multiple of the declared slots. When all searchers are overloaded, latencies
	// relative to the average do not show it; with this bound a request waits about one and a half times as long as it runs
	// at the most urgent kind's room, 50 ms of a goal of 80 at searchers that run requests of 20 ms.
	maxLimitSlots = 1.5
	// knownAnswers is the number of answers from which an estimate is certain.
	knownAnswers = 32
	// certaintyHalfLife is how fast an estimate returns to the declared values without answers.
	certaintyHalfLife = 10 * time.Second
	// loadWindow is the time over which the load by other daemons is averaged: their observations come each 0.3 s from
	// the own zone and each 0.6 s from others.
	loadWindow = time.Second
	// tellingAverage is the average number of own requests in flight from which fewer of them now say that the others have
	// fewer as well: a daemon with a request now and then has none most of the time.
	tellingAverage = 0.5
	// maxUneven is the multiple of this daemon's own average in flight that each other daemon may have. What is reported beyond it
	// is not believed: a report that comes over two ways after a daemon or a link has failed counts twice, and those of some
	// seconds that come together count as load of now. On the quotes deployment such reports showed a load of 100.
	maxUneven = 3
	// retention is how long a searcher without samples is kept.
	retention = time.Minute
)

// Sample is what was observed of a searcher over a short time.
type Sample struct {
	// Answers is the number of answers, and Slowness their mean latency as a multiple of the average of their route.
	Answers  int
	Slowness float64
	// Refusals is the number of requests that the searcher refused without running them.
	Refusals int
	// InFlight is the number of requests that this daemon had in flight to the searcher; those of the others are known
	// from their Busy.
	InFlight int
	// Slots is the number of requests that the searcher declares to run at once, 0 when it does not say.
	Slots int
	// Busy is the time that requests of other daemons were in flight, summed over the requests.
	Busy time.Duration
}

// Estimator holds the estimates of searchers by ID. It is not safe for concurrent use.
type Estimator struct {
	now       func() time.Time
	searchers map[string]*estimate
	nextSweep time.Time
}

// estimate is what is known of one searcher.
type estimate struct {
	// base is the relative latency under little load and recent that of the last answers; 0 before the first answer.
	base, recent float64
	// answers is the number of answers as of answeredAt; it decays.
	answers    float64
	answeredAt time.Time
	// limit is the learned limit, 0 before the first change; adjustedAt is when it was last changed.
	limit      float64
	adjustedAt time.Time
	// load is the average number of requests of other daemons in flight, as of loadAt.
	load   float64
	loadAt time.Time
	// own is the number of this daemon's requests in flight since ownAt, and average their average before.
	own, average float64
	ownAt        time.Time
}

// New returns an Estimator; now is its clock.
func New(now func() time.Time) *Estimator {
	return &Estimator{now: now, searchers: make(map[string]*estimate)}
}

// Observe adds a sample of a searcher.
func (e *Estimator) Observe(searcher string, s Sample) {
	now := e.now()
	e.sweep(now)
	st := e.estimateOf(searcher)
	if s.Busy > 0 {
		st.load = st.loadAtTime(now) + s.Busy.Seconds()/loadWindow.Seconds()
		st.loadAt = now
	}
	inFlight := float64(s.InFlight) + st.loadAtTime(now)
	if s.Answers > 0 {
		st.addAnswers(&s, inFlight, now)
	}
	if s.Answers+s.Refusals > 0 && s.Slots > 0 {
		st.adjust(&s, inFlight, now)
	}
}

func (e *Estimator) estimateOf(searcher string) *estimate {
	st := e.searchers[searcher]
	if st == nil {
		st = &estimate{}
		e.searchers[searcher] = st
	}
	return st
}

// Count records that this daemon has a number of requests in flight to a searcher from now on.
func (e *Estimator) Count(searcher string, inFlight int) {
	now := e.now()
	st := e.estimateOf(searcher)
	st.average = st.averageAt(now)
	st.own, st.ownAt = float64(inFlight), now
}

// averageAt returns the average number of this daemon's requests in flight over the loadWindow.
func (st *estimate) averageAt(now time.Time) float64 {
	return st.own + (st.average-st.own)*math.Exp(-float64(now.Sub(st.ownAt))/float64(loadWindow))
}

// InFlight returns the number of requests that all daemons have in flight to a searcher: the own ones and the average of the
// others, or less when this daemon has less in flight than on average, since the others then have as well. See Load for slots and
// senders.
//
// Load pattern: all daemons see the same load of a second ago, and would send and refuse in turns.
func (e *Estimator) InFlight(searcher string, slots, senders int) float64 {
	st := e.searchers[searcher]
	if st == nil {
		return 0
	}
	now := e.now()
	others := st.othersAt(now, slots, senders)
	if average := st.averageAt(now); others > 0 && st.own < average {
		others *= 1 - min(1, average/tellingAverage)*(1-st.own/average)
	}
	return st.own + others
}

// addAnswers updates the latencies.
func (st *estimate) addAnswers(s *Sample, inFlight float64, now time.Time) {
	if st.base == 0 {
		st.base, st.recent = min(s.Slowness, maxBaseGrowth), s.Slowness
	}
	st.recent += weight(answerWeight, s.Answers) * (s.Slowness - st.recent)
	if s.Slots == 0 || inFlight <= lightLoad*st.limitAt(s.Slots, now) {
		st.base += weight(baseWeight, s.Answers) * (min(s.Slowness, maxBaseGrowth*st.base) - st.base)
	}
	st.answers = min(2*knownAnswers, st.answers*decay(now.Sub(st.answeredAt), certaintyHalfLife)+float64(s.Answers))
	st.answeredAt = now
}

// adjust changes the limit by what the searcher did with its load: multiplicative decrease, additive increase.
func (st *estimate) adjust(s *Sample, inFlight float64, now time.Time) {
	if now.Sub(st.adjustedAt) < adjustInterval {
		return
	}
	limit := st.limitAt(s.Slots, now)
	isOverloaded := s.Refusals > 0 || st.base > 0 && st.recent > slowFactor*st.base
	switch {
	case isOverloaded && inFlight >= lightLoad*limit:
		limit = max(minLimit, decrease*min(limit, inFlight))
	case !isOverloaded && inFlight > busyLoad*limit:
		limit = min(maxLimitSlots*float64(s.Slots), limit+increase)
	default:
		return
	}
	st.limit, st.adjustedAt = limit, now
}

// limitAt returns the limit, which returns to the declared slots with the time since its last change.
func (st *estimate) limitAt(slots int, now time.Time) float64 {
	if st.limit == 0 {
		return float64(slots)
	}
	return float64(slots) + (st.limit-float64(slots))*decay(now.Sub(st.adjustedAt), certaintyHalfLife)
}

// loadAtTime returns the load by other daemons, which decays with the time since they were heard of.
func (st *estimate) loadAtTime(now time.Time) float64 {
	if st.loadAt.IsZero() {
		return 0
	}
	return st.load * math.Exp(-float64(now.Sub(st.loadAt))/float64(loadWindow))
}

// certainty returns how far the estimate is known by answers, 0 to 1.
func (st *estimate) certainty(now time.Time) float64 {
	return min(1, st.answers*decay(now.Sub(st.answeredAt), certaintyHalfLife)/knownAnswers)
}

// Limit returns the number of requests in flight, of all daemons, that a searcher with the declared slots handles well,
// and how certain that is, 0 to 1. It is 0 when the searcher declares no slots: there is no limit.
func (e *Estimator) Limit(searcher string, slots int) (inFlight, certainty float64) {
	st := e.searchers[searcher]
	if st == nil {
		return float64(slots), 0
	}
	now := e.now()
	return st.limitAt(slots, now), st.certainty(now)
}

// Speed returns how fast a searcher answers under little load, relative to the average: 1 while that is not known.
func (e *Estimator) Speed(searcher string) float64 {
	st := e.searchers[searcher]
	if st == nil || st.base <= 0 {
		return 1
	}
	return 1 + (1/st.base-1)*st.certainty(e.now())
}

// Load returns the average number of requests that other daemons have in flight to a searcher with the declared slots. senders is
// the number of daemons that send to it, 0 if that is not known.
func (e *Estimator) Load(searcher string, slots, senders int) float64 {
	st := e.searchers[searcher]
	if st == nil {
		return 0
	}
	return st.othersAt(e.now(), slots, senders)
}

// othersAt returns the load by other daemons as far as it is likely beside the own one: a searcher whose slots are in use is, more
// only if this daemon has requests in flight to it as well.
//
// Load pattern: daemons that restart one after the other, or a zone that was cut off, whose reports arrive twice or together.
func (st *estimate) othersAt(now time.Time, slots, senders int) float64 {
	load := st.loadAtTime(now)
	if senders == 0 {
		return load
	}
	return min(load, float64(slots)+maxUneven*st.averageAt(now)*float64(senders-1))
}

// sweep deletes the estimates of searchers without recent samples.
func (e *Estimator) sweep(now time.Time) {
	if now.Before(e.nextSweep) {
		return
	}
	e.nextSweep = now.Add(retention)
	for id, st := range e.searchers {
		if now.Sub(st.answeredAt) > retention && now.Sub(st.loadAt) > retention && now.Sub(st.adjustedAt) > retention && st.own == 0 && now.Sub(st.ownAt) > retention {
			delete(e.searchers, id)
		}
	}
}

// weight returns the weight of n samples that have the weight w each.
func weight(w float64, n int) float64 {
	return 1 - math.Pow(1-w, float64(n))
}

// decay returns the share that is left after d.
func decay(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}
