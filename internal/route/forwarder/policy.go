package forwarder

import (
	"net/http"
	"time"

	"cornelwood.example/internal/upstream/connector"
)

// verdict says what an exchange with a searcher means for its request.
type verdict int

const (
	// success: the answer can be used.
	success verdict = iota
	// final: the searcher's refusal of the request itself, to be passed on.
	final
	// notRun: the searcher got the request and surely did not run it.
	notRun
	// notSent: the request did not get to the searcher.
	notSent
	// failure: the request may have run, and there is no answer to use.
	failure
)

// judge returns the verdict on an exchange.
func judge(rep *connector.Reply, err error) verdict {
	if err != nil {
		if e, ok := asConnectorError(err); ok && !e.Sent {
			return notSent
		}
		return failure
	}
	switch {
	case rep.Meta.NotRun || rep.Status == http.StatusMisdirectedRequest:
		return notRun
	case rep.Meta.Stamp == "":
		return failure
	case rep.Status < http.StatusMultipleChoices:
		return success
	case rep.Status < http.StatusInternalServerError && !isPromise(rep.Status):
		return final
	default:
		return failure
	}
}

// isPromise reports whether a status tells a client that its request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

const (
	// cutoffShare is the share of the goal that is kept for the way back to the client.
	cutoffShare = 0.1
	// minCutoffMargin is the least time kept for it: a round trip and the merge.
	minCutoffMargin = 9 * time.Millisecond
)

// cutoff returns how long a query waits for its last shards: past it, an answer
// that covers enough goes out, since a complete one would come after the goal.
//
// Load pattern: searchers that pause or turn slow, so that most queries lack one
// shard for longer than the goal.
func cutoff(goal time.Duration) time.Duration {
	return goal - max(minCutoffMargin, time.Duration(float64(goal)*cutoffShare))
}

// hedgeNeeded reports whether a hedge of one of the open legs is needed for the
// answer, when spare legs may be left out of it. One that is not needed adds a
// part to the answer at best.
//
// Load pattern: searchers of many shards that fail or refuse at once, when the
// budget does not bear a hedge for every slow leg.
func hedgeNeeded(open, spare int) bool {
	return open > spare
}

// returnSpread is the part by which the time to come back is shorter or longer.
const returnSpread = 0.5

// comeBack returns when a refused client may come back; random is from 0 up to 1.
//
// Load pattern: many clients refused at one moment, such as while a daemon has just
// started, that would all return at one moment too.
func comeBack(after time.Duration, random float64) time.Duration {
	return time.Duration(float64(after) * (1 - returnSpread + 2*returnSpread*random))
}
