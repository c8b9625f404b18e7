package forwarder

import (
	"net/http"
	"time"

	"cornelwood.example/internal/route/authorizer"
	"cornelwood.example/internal/upstream/connector"
	"cornelwood.example/internal/web/gauger"
)

// resultClass says what the result of an exchange means for its request.
type resultClass int

const (
	// success: the answer can be used.
	success resultClass = iota
	// final: the searcher rejected the request itself, such as with status 404; the answer is passed on.
	final
	// notRun: the searcher received the request and is certain not to have run it.
	notRun
	// notSent: the request did not reach the searcher.
	notSent
	// failure: the request may have run, and there is no usable answer.
	failure
)

// classify returns the class of an exchange's result.
func classify(rep *connector.Reply, err error) resultClass {
	if err != nil {
		if e, ok := asConnectorError(err); ok && !e.Sent {
			return notSent
		}
		return failure
	}
	switch {
	case rep.IsRefusal():
		return notRun
	case rep.Meta.Stamp == "":
		return failure
	case rep.Status < http.StatusMultipleChoices:
		return success
	case rep.Status < http.StatusInternalServerError && !isNotRunStatus(rep.Status):
		return final
	default:
		return failure
	}
}

// unauthorizedAnswer returns the answer to a request that is not authorized.
func unauthorizedAnswer(retryAfter time.Duration, refusal authorizer.Refusal) Answer {
	switch refusal {
	case authorizer.NoKey:
		return refuse(http.StatusUnauthorized, "the route needs the key of an account")
	case authorizer.UnknownKey:
		return refuse(http.StatusUnauthorized, "no account has this key")
	default:
		return refuseNotRun(retryAfter, "the desired state may be too old to tell whether a key is valid")
	}
}

// isNotRunStatus reports whether a client takes the status to mean that its request was not run.
func isNotRunStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

const (
	// reserveShare and minReserve are reserved of the latency goal at least, and where the way to the client cannot be measured: the
	// share, and a network round trip between zones and the merge. With only what is measured, answers to queries with a goal of 200
	// ms left at 187 ms and most of those with a shard missing came late on the quotes deployment: the processors of small daemons
	// delay them by more than the probes show.
	reserveShare = 0.1
	minReserve   = 9 * time.Millisecond
	// mergeTime is reserved for merging the last parts, and for encoding and writing the answer, on a small processor.
	mergeTime = 2 * time.Millisecond
	// minQueueing and unknownQueueing are the time reserved for the processor's queue at least, and while it is not
	// measured.
	minQueueing     = time.Millisecond
	unknownQueueing = 3 * time.Millisecond
	// maxQueueingShare bounds the part of the goal that is reserved for the processor's queue. On a processor that is stopped
	// for tens of milliseconds at times, a reserve for that costs each query shards, to save few answers from being late.
	maxQueueingShare = 0.15
	// maxReserveShare bounds the reserve: the searchers need the rest.
	maxReserveShare = 0.5
	// queueingQuantile is the quantile of the processor's queue that is reserved. A late answer loses two thirds of its
	// worth and more, one without a shard of 36 a twentieth.
	queueingQuantile = 0.95
)

// cutoff returns how long after its arrival a query waits for its last shards. After it, an answer that covers enough
// shards is returned, since a complete one would miss the goal. queueing is the time that the answer may wait for the
// processor.
//
// Load pattern: searchers that pause or turn slow, so that most queries lack one shard for longer than the goal, with
// clients at different distances.
func cutoff(goal time.Duration, tr gauger.Transit, queueing time.Duration) time.Duration {
	reserve := max(minReserve, time.Duration(float64(goal)*reserveShare)) + tr.Waited
	if tr.Known() {
		reserve = max(reserve, tr.Elapsed()+tr.Return()+mergeTime+queueingReserve(goal, queueing))
	}
	return goal - min(reserve, time.Duration(float64(goal)*maxReserveShare))
}

// queueingReserve returns the part of a goal that is reserved for the processor's queue.
func queueingReserve(goal, queueing time.Duration) time.Duration {
	return max(minQueueing, min(queueing, time.Duration(float64(goal)*maxQueueingShare)))
}

// hedgeNeeded reports whether the answer depends on a hedge of one of the pending calls; optional is the number of
// pending calls that it can do without. A hedge that is not needed adds at most one shard to an answer that covers
// enough without it.
//
// Load pattern: searchers of many shards that fail or refuse at once, when the budget is too small to hedge every
// slow call.
func hedgeNeeded(pending, optional int) bool {
	return pending > optional
}

// retryAfterJitter is the share by which the time to a client's retry is shortened or lengthened.
const retryAfterJitter = 0.5

// jitterRetryAfter returns the time after which a refused client is asked to retry; random is in [0, 1).
//
// Load pattern: many clients refused at one moment, such as while a daemon is starting, that would all retry at
// one moment.
func jitterRetryAfter(after time.Duration, random float64) time.Duration {
	return time.Duration(float64(after) * (1 - retryAfterJitter + 2*retryAfterJitter*random))
}
