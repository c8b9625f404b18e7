package forwarder

import (
	"net/http"
	"time"

	"cornelwood.example/internal/route/authorizer"
	"cornelwood.example/internal/upstream/connector"
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
	// cutoffShare is the share of the latency goal reserved for returning the answer to the client.
	cutoffShare = 0.1
	// minCutoffMargin is the minimum of that reserve: a network round trip and the merge.
	minCutoffMargin = 9 * time.Millisecond
)

// cutoff returns how long after its arrival a query waits for its last shards. After it, an answer that covers
// enough shards is returned, since a complete one would miss the goal.
//
// Load pattern: searchers that pause or turn slow, so that most queries lack one shard for longer than the goal.
func cutoff(goal time.Duration) time.Duration {
	return goal - max(minCutoffMargin, time.Duration(float64(goal)*cutoffShare))
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
