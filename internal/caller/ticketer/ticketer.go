package ticketer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/viewer"
)

// Limits of tickets and results.
const (
	// maxTicketAge is how long after its issue a ticket can be run for the first time.
	maxTicketAge = 10 * time.Minute
	// resultAge is how long the result of a run is kept, counted from the issue of its ticket.
	resultAge = 2 * maxTicketAge
	// maxResults bounds the number of results kept.
	maxResults = 200_000
	// runsPerSweep is the number of runs after which old results are removed.
	runsPerSweep = 1024
)

// Runner dispatches one action, at most once.
type Runner interface {
	Run(ctx context.Context, service, ticket string, action json.RawMessage) answerer.RunResult
}

// Forwarder sends a run to the instance that issued its ticket.
type Forwarder interface {
	Forward(ctx context.Context, to *declarer.Instance, run answerer.Run) (answerer.RunResult, error)
}

// Views returns the current view.
type Views interface {
	View() *viewer.View
}

// Config holds what a Ticketer depends on.
type Config struct {
	Instance string
	// Incarnation is the one that the process started with.
	Incarnation uint64
	// Key signs tickets. Each process has a new one.
	Key       []byte
	Views     Views
	Runner    Runner
	Forwarder Forwarder
	Now       func() time.Time
	Log       hclog.Logger
}

// Ticketer issues tickets and runs each at most once.
type Ticketer struct {
	cfg   Config
	start time.Time

	mu sync.Mutex
	// number is that of the last ticket issued.
	number uint64
	closed bool
	// runs holds the runs and their results by ticket number.
	runs           map[uint64]*run
	runsSinceSweep int
	running        sync.WaitGroup
}

// run is one dispatched ticket. result is set before done is closed.
type run struct {
	// issued is the ticket's time of issue, counted from the issuer's start.
	issued time.Duration
	done   chan struct{}
	result answerer.RunResult
}

// New returns a Ticketer, and a function that makes it refuse new tickets and runs and waits for the runs in progress.
func New(cfg Config) (*Ticketer, func()) {
	t := &Ticketer{cfg: cfg, start: cfg.Now(), runs: make(map[uint64]*run)}
	return t, t.close
}

// Issue returns a new ticket for a service of class action. It fails with a *answerer.RefusalError.
func (t *Ticketer) Issue(service string) (answerer.Ticket, error) {
	if err := t.checkService(service); err != nil {
		return answerer.Ticket{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return answerer.Ticket{}, refuse(answerer.CodeLeaving, "this instance is leaving; ask another")
	}
	t.number++
	tk := ticket{
		instance:    t.cfg.Instance,
		incarnation: t.cfg.Incarnation,
		number:      t.number,
		issued:      t.cfg.Now().Sub(t.start),
	}
	tk.sign(t.cfg.Key, service)
	return answerer.Ticket{Ticket: tk.String(), Service: service, Issuer: t.cfg.Instance}, nil
}

// Run runs a ticket, or returns the result of its only run. A ticket of another instance is forwarded to it. When ctx
// ends first, the outcome is unknown and the run continues. After a *answerer.RefusalError, the outcome is unknown if the
// ticket is so old that its result may have been removed; otherwise the ticket was not run. Any other error comes from the
// Forwarder, and the outcome is unknown.
func (t *Ticketer) Run(ctx context.Context, r answerer.Run) (answerer.RunResult, error) {
	tk, err := parseTicket(r.Ticket)
	if err != nil {
		return answerer.RunResult{}, badTicket(fmt.Sprintf("not a ticket: %v", err))
	}
	if tk.instance != t.cfg.Instance {
		return t.forward(ctx, &tk, r)
	}
	return t.RunLocal(ctx, r)
}

// RunLocal is Run for tickets that this instance issued. It refuses others.
func (t *Ticketer) RunLocal(ctx context.Context, r answerer.Run) (answerer.RunResult, error) {
	tk, err := parseTicket(r.Ticket)
	if err != nil {
		return answerer.RunResult{}, badTicket(fmt.Sprintf("not a ticket: %v", err))
	}
	if tk.instance != t.cfg.Instance {
		return answerer.RunResult{}, badTicket(fmt.Sprintf("instance %q issued it, not %q", tk.instance, t.cfg.Instance))
	}
	if !tk.isSigned(t.cfg.Key, r.Service) {
		return t.unsigned(&tk, r)
	}
	first, found, err := t.claim(&tk, r.Service)
	if err != nil {
		return answerer.RunResult{}, err
	}
	if !found {
		go t.dispatch(context.WithoutCancel(ctx), first, r)
	}
	select {
	case <-first.done:
		return first.result, nil
	case <-ctx.Done():
		return unknown(r, "the run had not ended by the deadline; ask again with the same ticket"), nil
	}
}

// unsigned returns the result for a ticket that names this instance but that this process did not sign: an unknown
// outcome when another process of the instance may have signed it, else a refusal.
func (t *Ticketer) unsigned(tk *ticket, r answerer.Run) (answerer.RunResult, error) {
	if tk.incarnation != t.cfg.Incarnation {
		return unknown(r, "the process that issued the ticket has ended"), nil
	}
	return answerer.RunResult{}, badTicket("this instance did not issue it for this service")
}

// claim returns the ticket's run, and whether the run existed before. It creates the run when it did not.
func (t *Ticketer) claim(tk *ticket, service string) (*run, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first, ok := t.runs[tk.number]; ok {
		return first, true, nil
	}
	age := t.cfg.Now().Sub(t.start) - tk.issued
	switch {
	case age > resultAge:
		return nil, false, &answerer.RefusalError{
			Code: answerer.CodeBadTicket, Field: "ticket", Outcome: answerer.Unknown,
			Reason: fmt.Sprintf("issued more than %s ago; its result is no longer kept", resultAge),
		}
	case age > maxTicketAge:
		return nil, false, badTicket(fmt.Sprintf("issued more than %s ago and never run", maxTicketAge))
	case t.closed:
		return nil, false, refuse(answerer.CodeLeaving, "this instance is leaving; get a ticket from another")
	case len(t.runs) >= maxResults:
		return nil, false, refuse(answerer.CodeOverloaded, "too many results are kept; try later")
	}
	if err := t.checkService(service); err != nil {
		return nil, false, err
	}
	first := &run{issued: tk.issued, done: make(chan struct{})}
	t.runs[tk.number] = first
	t.running.Add(1)
	t.sweep()
	return first, false, nil
}

// dispatch runs the action and stores its result.
func (t *Ticketer) dispatch(ctx context.Context, first *run, r answerer.Run) {
	defer t.running.Done()
	timeout := t.timeout(r.Service)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	first.result = t.cfg.Runner.Run(ctx, r.Service, r.Ticket, r.Action)
	close(first.done)
}

// timeout returns how long a run of the service may take.
func (t *Ticketer) timeout(service string) time.Duration {
	if s, ok := t.cfg.Views.View().Services[service]; ok {
		return s.Contract.Deadline.Duration
	}
	return time.Second
}

// sweep removes results older than resultAge, once in runsPerSweep calls. The caller holds mu.
func (t *Ticketer) sweep() {
	t.runsSinceSweep++
	if t.runsSinceSweep < runsPerSweep {
		return
	}
	t.runsSinceSweep = 0
	now := t.cfg.Now().Sub(t.start)
	for n, r := range t.runs {
		if now-r.issued > resultAge {
			delete(t.runs, n)
		}
	}
}

func (t *Ticketer) forward(ctx context.Context, tk *ticket, r answerer.Run) (answerer.RunResult, error) {
	to, ok := t.cfg.Views.View().Instance(tk.instance)
	if !ok {
		return unknown(r, fmt.Sprintf("instance %q, which issued the ticket, is not known to be running", tk.instance)), nil
	}
	if to.Incarnation > tk.incarnation {
		return unknown(r, "the process that issued the ticket has ended"), nil
	}
	res, err := t.cfg.Forwarder.Forward(ctx, to, r)
	if err != nil {
		return answerer.RunResult{}, err
	}
	return res, nil
}

func (t *Ticketer) checkService(name string) error {
	v := t.cfg.Views.View()
	s, ok := v.Services[name]
	switch {
	case v.Version == 0:
		return refuse(answerer.CodeNoConfig, "no configuration has been received yet")
	case !ok:
		return &answerer.RefusalError{
			Code: answerer.CodeNoService, Field: "service", Outcome: answerer.NotRun,
			Reason: fmt.Sprintf("service %q does not exist", name),
		}
	case s.Class != declarer.Action:
		return &answerer.RefusalError{
			Code: answerer.CodeBadField, Field: "service", Outcome: answerer.NotRun,
			Reason: fmt.Sprintf("service %q is of class %q; tickets are for %q", name, s.Class, declarer.Action),
		}
	default:
		return nil
	}
}

func (t *Ticketer) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.running.Wait()
}

func unknown(r answerer.Run, reason string) answerer.RunResult {
	return answerer.RunResult{Ticket: r.Ticket, Service: r.Service, Outcome: answerer.Unknown, Reason: reason}
}

func badTicket(reason string) error {
	return &answerer.RefusalError{Code: answerer.CodeBadTicket, Field: "ticket", Reason: reason, Outcome: answerer.NotRun}
}

func refuse(code answerer.Code, reason string) error {
	return &answerer.RefusalError{Code: code, Reason: reason, Outcome: answerer.NotRun}
}
