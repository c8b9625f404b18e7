package forwarder

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/route/admitter"
	"cornelwood.example/internal/route/delegator"
	"cornelwood.example/internal/route/locator"
)

const (
	// waitShare is the share of the latency goal within which a client must have a refusal: that leaves it the time for
	// another attempt.
	waitShare = 0.25
	// maxGatherWait and gatherWaitShare bound the wait of another daemon's query: it must be accepted or refused within
	// 30 ms, and its client be refused within a quarter of the goal.
	maxGatherWait   = 15 * time.Millisecond
	gatherWaitShare = 0.1
	// skipLoad is the load, relative to what its searchers handle well, from which a shard that the answer can do without
	// is left out: its answer would come after the cutoff, and delay later queries.
	skipLoad = 5
	// maxQueueing is the processor's queue from which a daemon gathers no more queries: it could not accept them in time, so
	// that another daemon would send them as well.
	maxQueueing = 15 * time.Millisecond
	// reasonNoRoom is the reason of a request for which the searchers have no room.
	reasonNoRoom = "the searchers have no room for the request"
)

// shardLoads holds the load of each of a query's shards, as of the last measurement; infinite for one without a searcher that
// is available.
type shardLoads struct {
	loads  []float64
	needed int
	// middle is the load of the middle one of the shards that the answer needs.
	middle float64
}

// measure returns the load of the middle one of the shards that the answer needs. A few shards whose searchers are lost or slow are
// no overload: a query that is refused because of them would be answered, and often in time.
//
// Load pattern: searchers of a fifth of the shards that leave, go dark or turn slow while the others have room.
func (l *shardLoads) measure(f *Forwarder, v *locator.View, shards []string) float64 {
	l.loads = l.loads[:0]
	available := 0
	for _, s := range shards {
		load, ok := f.picker.Load(searchersOfMost(v, s))
		if !ok {
			load = math.Inf(1)
		} else {
			available++
		}
		l.loads = append(l.loads, load)
	}
	// A query that lacks available shards is not refused because of the load.
	n := min(l.needed, available)
	if n == 0 {
		return 0
	}
	l.middle = slices.Sorted(slices.Values(l.loads))[n/2]
	return l.middle
}

// searchersOfMost returns the searchers of the version that gets most of a service's requests: the new one's once a roll-out moves
// the traffic to it.
func searchersOfMost(v *locator.View, service string) []locator.Searcher {
	if t := v.Trial(service); t != nil && t.Moving && len(t.Searchers) > 0 {
		return t.Searchers
	}
	return v.Searchers(service)
}

// skipped reports, for each shard, whether the query leaves it out because it is overloaded and the answer can do without it;
// nil when there is none. While the searchers of the other shards are not all in use, its answer may come in time.
//
// Load pattern: load beyond what the searchers handle well, when some shards have fewer searchers than others.
func (l *shardLoads) skipped() []bool {
	if l.middle < 1 {
		return nil
	}
	var out []bool
	optional := len(l.loads) - l.needed
	indexes := allIndexes(len(l.loads))
	slices.SortStableFunc(indexes, func(a, b int) int { return cmp.Compare(l.loads[b], l.loads[a]) })
	for _, i := range indexes[:max(0, optional)] {
		if l.loads[i] <= skipLoad {
			break
		}
		if out == nil {
			out = make([]bool, len(l.loads))
		}
		out[i] = !math.IsInf(l.loads[i], 1)
	}
	return out
}

// enter waits until a request is admitted, and returns false with the final answer when it is not. measure returns the load of
// its searchers.
func (f *Forwarder) enter(ctx context.Context, req *Request, rt *declarer.Route, group string, work int, measure func() float64, until time.Time) (Answer, bool) {
	t := f.admitter.Offer(&admitter.Request{
		Group: group, Priority: req.Priority, Account: req.accountName(), Work: float64(work), Load: measure,
		Latency: time.Duration(f.stats.route(rt).average.Load()), Goal: rt.LatencyGoal.Duration, WaitUntil: until,
	})
	result := "admitted"
	for !isDecided(t) {
		result = "waited"
		select {
		case <-t.Done():
		case <-time.After(admitter.PollInterval):
			f.admitter.Poll()
		case <-f.ended:
			f.admitter.Cancel(t)
			return refuseNotRun(f.cfg.RetryAfter, reasonEnded), false
		case <-ctx.Done():
			f.admitter.Cancel(t)
			return refuse(statusClientClosed, "client disconnected"), false
		}
	}
	if r := t.Refusal(); r != nil {
		f.recordNoRoom(req, rt, group, r)
		return refuseNotRun(r.RetryAfter, reasonNoRoom), false
	}
	f.metrics.admissions.WithLabelValues(rt.Name, result).Inc()
	return Answer{}, true
}

func isDecided(t *admitter.Ticket) bool {
	select {
	case <-t.Done():
		return true
	default:
		return false
	}
}

// enterOwn admits a request that this daemon sends to the searchers itself, and returns the view to send it by.
func (f *Forwarder) enterOwn(ctx context.Context, req *Request, rt *declarer.Route, v *locator.View, group string, work int, measure func() float64, deadline time.Time) (*locator.View, Answer, bool) {
	started := time.Now()
	lat := f.stats.route(rt)
	until := req.Arrived.Add(time.Duration(float64(lat.goal)*waitShare) - req.Transit.Elapsed() - req.Transit.Return() - admitter.PollInterval)
	if latest := deadline.Add(-time.Duration(lat.average.Load())); latest.Before(until) {
		until = latest
	}
	if a, ok := f.enter(ctx, req, rt, group, work, measure, until); !ok {
		return v, a, false
	}
	if time.Since(started) < admitter.PollInterval {
		return v, Answer{}, true
	}
	// Searchers may have left meanwhile, the key may have been withdrawn, and the daemon may be stopping.
	v = f.views.View()
	if _, refusal := f.accept(req, v); refusal != nil {
		return v, *refusal, false
	}
	return v, Answer{}, true
}

// enterGather admits the shards of a query that this daemon gathers in part, for another daemon or for a client of its own.
func (f *Forwarder) enterGather(ctx context.Context, req *Request, rt *declarer.Route, v *locator.View, shards []string, loads *shardLoads, goal time.Duration) (exchanger.Refusal, bool) {
	wait := min(maxGatherWait, time.Duration(float64(goal)*gatherWaitShare))
	a, ok := f.enter(ctx, req, rt, rt.Shards[0], len(shards), func() float64 { return loads.measure(f, v, shards) }, time.Now().Add(wait))
	if ok {
		return exchanger.Refusal{}, true
	}
	return exchanger.Refusal{Code: exchanger.Overloaded, RetryAfter: a.RetryAfter}, false
}

// isSwamped reports whether this daemon's processor has so much work that it could not accept a query in time.
//
// Load pattern: the queries of a whole zone at a daemon with a fraction of a core.
func (f *Forwarder) isSwamped(now time.Time) bool {
	d, ok := f.medianLateness.Estimate(now)
	return ok && d > maxQueueing
}

// asOverloaded returns the refusal when a daemon refused a query because the searchers have no room, or when the daemons that
// gather have none. This daemon does not gather it in their place: it has fewer connections to the searchers and a smaller
// processor, and the searchers have no more room for it.
//
// Load pattern: the queries of a whole zone beyond what its daemons that gather can do.
func (f *Forwarder) asOverloaded(err error) (exchanger.Refusal, bool) {
	var refused *delegator.RefusedError
	if !errors.As(err, &refused) {
		return exchanger.Refusal{}, false
	}
	switch refused.Code {
	case exchanger.Overloaded:
		return refused.Refusal, true
	case exchanger.Busy:
		return exchanger.Refusal{Code: exchanger.Busy, RetryAfter: f.cfg.RetryAfter}, true
	case exchanger.WrongVersion, exchanger.NotReady, exchanger.Leaving:
		return exchanger.Refusal{}, false
	default:
		return exchanger.Refusal{}, false
	}
}

// overloadMemory is how long after a refusal for lack of room the groups of a query start one after the other: as long as the
// observations from which the load is known.
const overloadMemory = 2 * time.Second

// recordOverload records that a query was refused for lack of room.
func (f *Forwarder) recordOverload(now time.Time) {
	f.overloadedAt.Store(&now)
}

// isOverloaded reports whether a query was refused for lack of room a short time ago.
func (f *Forwarder) isOverloaded(now time.Time) bool {
	at := f.overloadedAt.Load()
	return at != nil && now.Sub(*at) < overloadMemory
}

// shardsOf returns the services of the shards with these indexes.
func shardsOf(rt *declarer.Route, indexes []int) []string {
	shards := make([]string, len(indexes))
	for i, n := range indexes {
		shards[i] = rt.Shards[n]
	}
	return shards
}

// Waiting returns the number of requests that wait for room at the searchers.
func (f *Forwarder) Waiting() int {
	return f.admitter.Waiting()
}
