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

// Bounds of tickets.
const (
	// ticketAge is how long a ticket may be run after its issue.
	ticketAge = 10 * time.Minute
	// recordAge is how long the result of a run is kept after its issue.
	recordAge = 2 * ticketAge
	// maxRuns bounds the results kept.
	maxRuns = 200_000
	// sweepEvery is the number of runs between two removals of old results.
	sweepEvery = 1024
)

// Runner dispatches one action, at most once.
type Runner interface {
	Run(ctx context.Context, service, ticket string, action json.RawMessage) answerer.RunResult
}

// Forwarder sends a run to the instance that issued its ticket.
type Forwarder interface {
	Forward(ctx context.Context, to *declarer.Instance, run answerer.Run) (answerer.RunResult, error)
}

// Views gives the current view.
type Views interface {
	View() *viewer.View
}

// Config holds what a Ticketer depends on.
type Config struct {
	Instance string
	// Incarnation is the one that the process started with.
	Incarnation uint64
	// Key signs tickets; it is made anew for each process.
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

	mu      sync.Mutex
	number  uint64
	closed  bool
	runs    map[uint64]*run
	sinceGC int
	running sync.WaitGroup
}

// run is one dispatched ticket; result is set before done is closed.
type run struct {
	issued time.Duration
	done   chan struct{}
	result answerer.RunResult
}

// New returns a Ticketer and a function that refuses new runs and waits for
// those that run.
func New(cfg Config) (*Ticketer, func()) {
	t := &Ticketer{cfg: cfg, start: cfg.Now(), runs: make(map[uint64]*run)}
	return t, t.close
}

// Issue returns a new ticket for a service of class action. It fails with a
// *answerer.RefusalError.
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

// Run runs a ticket or returns the result of its first run. A ticket of another
// instance is forwarded to it. When ctx ends first the outcome is unknown, and
// the run goes on. It fails with a *answerer.RefusalError for tickets that were
// surely not run.
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

// RunLocal is Run for tickets of this instance; others are refused.
func (t *Ticketer) RunLocal(ctx context.Context, r answerer.Run) (answerer.RunResult, error) {
	tk, err := parseTicket(r.Ticket)
	if err != nil {
		return answerer.RunResult{}, badTicket(fmt.Sprintf("not a ticket: %v", err))
	}
	if tk.instance != t.cfg.Instance {
		return answerer.RunResult{}, badTicket(fmt.Sprintf("instance %q issued it, not %q", tk.instance, t.cfg.Instance))
	}
	if !tk.signed(t.cfg.Key, r.Service) {
		return t.foreign(&tk, r)
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

// foreign judges a ticket of this instance that this process did not sign.
func (t *Ticketer) foreign(tk *ticket, r answerer.Run) (answerer.RunResult, error) {
	if tk.incarnation != t.cfg.Incarnation {
		return unknown(r, "the process that issued the ticket has ended"), nil
	}
	return answerer.RunResult{}, badTicket("it was not issued for this service by this instance")
}

// claim returns the ticket's run, and whether it was claimed before.
func (t *Ticketer) claim(tk *ticket, service string) (*run, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first, ok := t.runs[tk.number]; ok {
		return first, true, nil
	}
	age := t.cfg.Now().Sub(t.start) - tk.issued
	switch {
	case age > recordAge:
		return nil, false, &answerer.RefusalError{
			Code: answerer.CodeBadTicket, Field: "ticket", Outcome: answerer.Unknown,
			Reason: fmt.Sprintf("issued more than %s ago; results are kept no longer", recordAge),
		}
	case age > ticketAge:
		return nil, false, badTicket(fmt.Sprintf("issued more than %s ago and never run", ticketAge))
	case t.closed:
		return nil, false, refuse(answerer.CodeLeaving, "this instance is leaving; take a ticket of another")
	case len(t.runs) >= maxRuns:
		return nil, false, refuse(answerer.CodeOverloaded, "too many runs are remembered; try later")
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

func (t *Ticketer) dispatch(ctx context.Context, first *run, r answerer.Run) {
	defer t.running.Done()
	deadline := t.deadline(r.Service)
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	first.result = t.cfg.Runner.Run(ctx, r.Service, r.Ticket, r.Action)
	close(first.done)
}

func (t *Ticketer) deadline(service string) time.Duration {
	if s, ok := t.cfg.Views.View().Services[service]; ok {
		return s.Contract.Deadline.Duration
	}
	return time.Second
}

// sweep removes results that are too old to be asked for. The caller holds mu.
func (t *Ticketer) sweep() {
	t.sinceGC++
	if t.sinceGC < sweepEvery {
		return
	}
	t.sinceGC = 0
	now := t.cfg.Now().Sub(t.start)
	for n, r := range t.runs {
		if now-r.issued > recordAge {
			delete(t.runs, n)
		}
	}
}

func (t *Ticketer) forward(ctx context.Context, tk *ticket, r answerer.Run) (answerer.RunResult, error) {
	to, ok := t.cfg.Views.View().Instance(tk.instance)
	if !ok {
		return unknown(r, fmt.Sprintf("instance %q, which issued the ticket, is not known to run", tk.instance)), nil
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
		return refuse(answerer.CodeNoConfig, "no configuration is known yet")
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
