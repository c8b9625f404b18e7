package forwarder

import "net/http"

// The phases of a planned stop, in their order:
//
//   - SetLeaving: queries of other daemons are refused, clients are still served.
//   - Refuse: clients are refused, too. What was accepted goes on.
//   - End: what is still in flight gets its final answer at once.
//
// Load pattern: a daemon is stopped under load while its searchers answer late. A request that is accepted must not outlast
// the process, and one that does all the same must not end without an answer.

const (
	// reasonStopping is the reason of a request that came too late to be run, reasonEnded that of one that was in flight
	// at the end.
	reasonStopping = "the daemon is stopping"
	reasonEnded    = "the daemon stopped before the request was answered"
)

// SetLeaving makes the Forwarder refuse the queries of other daemons from now on.
func (f *Forwarder) SetLeaving() {
	f.leaving.Store(true)
}

// Refuse makes the Forwarder refuse every request from now on, before it is sent to a searcher.
func (f *Forwarder) Refuse() {
	f.refusing.Store(true)
}

// End ends the requests in flight: a query with what has been gathered, if that is enough, and any other request with a
// status that tells whether it may have run.
func (f *Forwarder) End() {
	f.endOnce.Do(func() { close(f.ended) })
}

// endedAnswer returns the answer to a request that End ends.
func (f *Forwarder) endedAnswer(mayHaveRun bool) Answer {
	if !mayHaveRun {
		return refuseNotRun(f.cfg.RetryAfter, reasonEnded)
	}
	return refuse(http.StatusGatewayTimeout, reasonEnded)
}
