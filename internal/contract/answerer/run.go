package answerer

import (
	"encoding/json"
	"fmt"
)

// Outcome states whether a request was run, or whether a change was applied.
type Outcome string

// Outcomes of a request or a change. Done and NotRun are given only when they are certain, and
// Unknown otherwise.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Ticket authorizes one run. Only the instance that issued it dispatches the run.
type Ticket struct {
	Ticket  string `json:"ticket"`
	Service string `json:"service"`
	// Issuer is the instance that issued the ticket.
	Issuer string `json:"issuer"`
}

// Run is a request to run an action under a ticket.
type Run struct {
	Ticket  string          `json:"ticket"`
	Service string          `json:"service"`
	Action  json.RawMessage `json:"action"`
}

// Check validates the run. It returns the first invalid field as a *RefusalError, or nil.
func (r *Run) Check() error {
	switch {
	case r.Ticket == "":
		return badField("", "ticket", "want a ticket from /v1/ticket")
	case len(r.Ticket) > maxRequestBytes:
		return badField("", "ticket", fmt.Sprintf("want at most %d bytes, got %d", maxRequestBytes, len(r.Ticket)))
	case r.Service == "":
		return badField(r.Ticket, "service", "want the name of a service")
	case len(r.Action) == 0:
		return badField(r.Ticket, "action", "want a JSON value")
	default:
		return nil
	}
}

// RunResult is the outcome of a Run. A repeated Run of the same ticket returns
// the first one's result.
type RunResult struct {
	Ticket  string  `json:"ticket"`
	Service string  `json:"service"`
	Outcome Outcome `json:"outcome"`
	// Reason explains NotRun and Unknown.
	Reason string `json:"reason,omitempty"`
	// Reply is the upstream's answer to a run with the outcome Done.
	Reply json.RawMessage `json:"reply,omitempty"`
}
