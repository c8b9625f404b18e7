package forwarder

import (
	"io"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/peer/lender"
	"cornelwood.example/internal/upstream/connector"
	"cornelwood.example/internal/web/gauger"
)

// Request is one client request.
type Request struct {
	// ID identifies the request; each attempt of a client has an ID of its own.
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is the path and query as the client sent them.
	Path   string
	Target string
	// Header holds the headers to pass on.
	Header http.Header
	// Key is the secret key of the client's account, empty when there is none. It must not be logged or sent anywhere.
	Key string
	// Account is the account of the key, nil when there is none, and Priority the rank of the request: the account's, or
	// else the route's. Both are set when the request is authorized.
	Account  *declarer.Account
	Priority int
	Body     io.Reader
	// HasBody distinguishes an empty body from none. ContentLength is the size of the body; -1 if the client does not say.
	HasBody       bool
	ContentLength int64
	// ClientTimeout is how long the client waits from when it sent the request; 0 when it does not say.
	ClientTimeout time.Duration
	Arrived       time.Time
	// Transit is what was measured of the request's way from its client.
	Transit gauger.Transit
	// grant is the token that was taken for the request.
	grant lender.Grant
}

// accountName returns the name of the request's account, empty when there is none.
func (r *Request) accountName() string {
	if r.Account == nil {
		return ""
	}
	return r.Account.Name
}

// setAccount sets the account, and the priority that follows from it and the route.
func (r *Request) setAccount(account *declarer.Account, rt *declarer.Route) {
	r.Account, r.Priority = account, rt.Priority
	if account != nil && account.Priority != nil {
		r.Priority = *account.Priority
	}
}

// Answer is the final answer to a request.
type Answer struct {
	Status int
	// Header holds the headers of a searcher's answer that is passed on; nil for an answer that the daemon made.
	Header http.Header
	Body   []byte
	// Stamps are the searchers' signatures of the shard answers merged into this one, Missing is the number of
	// shards that are not in it.
	Stamps  []string
	Missing int
	// RetryAfter is the time after which a refused client may retry; 0 when none is set.
	RetryAfter time.Duration
	// heldFor is the time before which no searcher wants the request; it adds to RetryAfter.
	heldFor time.Duration
	// Gatherers are the IDs of the daemons that gathered the answer for this one.
	Gatherers []string
	// SubRequests is the number of requests sent to searchers.
	SubRequests int
	// reply is the searcher's answer that is passed on; nil for another one.
	reply *connector.Reply
	// Reason says why the daemon refused the request or failed to answer it; empty for answers from searchers.
	Reason string
}

// Release tells that the answer has been sent, or is not sent any more.
func (a *Answer) Release() {
	if a.reply != nil {
		a.reply.Release()
	}
}

// refuse returns an answer that the daemon made.
func refuse(status int, reason string) Answer {
	return Answer{Status: status, Reason: reason}
}

// refuseNotRun returns a refusal that tells the client that its request was not run and when to retry.
func refuseNotRun(after time.Duration, reason string) Answer {
	return Answer{Status: http.StatusServiceUnavailable, RetryAfter: after, Reason: reason}
}
