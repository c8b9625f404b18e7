package forwarder

import (
	"io"
	"net/http"
	"time"
)

// Request is one request of a client.
type Request struct {
	// ID names the request; each attempt of a client has its own.
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is the path and query as the client sent them.
	Path   string
	Target string
	// Header holds the headers to pass on.
	Header http.Header
	Body   io.Reader
	// HasBody tells a body of no bytes from none.
	HasBody bool
	// ClientTimeout is how long the client waits from when it sent the request; 0 when it
	// does not say.
	ClientTimeout time.Duration
	Arrived       time.Time
}

// Answer is the final answer to a request.
type Answer struct {
	Status int
	// Header holds the headers of a searcher's answer that is passed on; nil for an
	// answer of the daemon's own.
	Header http.Header
	Body   []byte
	// Stamps are the signatures of the parts in a merged answer, Missing the number
	// of shards that are not in it.
	Stamps  []string
	Missing int
	// RetryAfter is when a refused client may come back; 0 when nothing is known.
	RetryAfter time.Duration
	// SubRequests is the number of requests to searchers.
	SubRequests int
	// Reason says why the daemon answers by itself.
	Reason string
}

// refuse returns an answer of the daemon's own.
func refuse(status int, reason string) Answer {
	return Answer{Status: status, Reason: reason}
}

// refuseUntil returns a refusal of a request that has not run.
func refuseUntil(after time.Duration, reason string) Answer {
	return Answer{Status: http.StatusServiceUnavailable, RetryAfter: after, Reason: reason}
}
