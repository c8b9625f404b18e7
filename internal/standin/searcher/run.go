package searcher

import (
	"encoding/json"
	"fmt"
	"net/http"

	"cornelwood.example/internal/standin/responder"
)

// runRequest is the body of POST /run.
type runRequest struct {
	Request string          `json:"request"`
	Service string          `json:"service"`
	Action  json.RawMessage `json:"action"`
}

// runAnswer is the body of the answer to POST /run.
type runAnswer struct {
	Request string   `json:"request"`
	Reply   RunReply `json:"reply"`
}

// RunReply is the service's reply to an action.
type RunReply struct {
	// Ran is the number of times that this searcher has run the request.
	Ran int `json:"ran"`
	// Action is the action of the request, unchanged.
	Action json.RawMessage `json:"action"`
}

// check returns an error that describes the first invalid field, or nil.
func (q *runRequest) check(service string) error {
	switch {
	case q.Request == "":
		return fmt.Errorf("request: want an id")
	case q.Service != service:
		return fmt.Errorf("service: want %q, got %q", service, q.Service)
	case len(q.Action) == 0:
		return fmt.Errorf("action: want a JSON value")
	default:
		return nil
	}
}

// run runs an action. The action takes effect when it starts, even if the caller disconnects before the answer.
func (s *Searcher) run(w http.ResponseWriter, r *http.Request) {
	var q runRequest
	if !responder.Read(w, r, maxBodyBytes, &q) {
		return
	}
	if err := q.check(s.cfg.Service); err != nil {
		responder.Refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	ran := 0
	s.serveWork(w, r, func() (int, refusal) {
		return 0, refusal{}
	}, func(c *Counts) {
		countID(c.Runs, q.Request)
		ran = c.Runs[q.Request]
	}, func() {
		if s.consume(&s.faults.Late) {
			s.delayAnswer(r)
		}
		s.send(w, runAnswer{Request: q.Request, Reply: RunReply{Ran: ran, Action: q.Action}})
	})
}
