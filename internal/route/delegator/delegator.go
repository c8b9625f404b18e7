package delegator

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/route/selector"
	"cornelwood.example/internal/time/sampler"
)

// Config holds the times of a Delegator.
type Config struct {
	// AcceptTimeout is how long a daemon may take to accept a query: some round trips between zones, and the time to
	// send another query's requests.
	AcceptTimeout time.Duration
	// MaxAsked is the number of daemons that are asked to gather one query.
	MaxAsked int
	// CheckDelay is how long after its cutoff an accepted query's daemon is probed. A daemon that answers with too few
	// shards until then still waits for them; one that does not answer the probe is lost.
	CheckDelay time.Duration
	// CheckTimeout bounds that probe.
	CheckTimeout time.Duration
	// Exchange is reserved of the goal for the way to a daemon and back until it is measured.
	Exchange time.Duration
}

// Default returns the times for daemons within one region.
func Default() Config {
	return Config{
		AcceptTimeout: 30 * time.Millisecond,
		MaxAsked:      2,
		CheckDelay:    60 * time.Millisecond,
		CheckTimeout:  100 * time.Millisecond,
		Exchange:      4 * time.Millisecond,
	}
}

// Stream carries messages in both directions.
type Stream interface {
	Send(msg any) error
	Recv(out any) error
}

// Opener opens streams to the Serve of other daemons. When it fails the daemon got nothing. The returned function ends
// the stream, with whether the exchange is complete; the end of ctx ends it, too.
type Opener interface {
	Open(ctx context.Context, peer netip.AddrPort) (Stream, func(complete bool), error)
}

// Selector chooses among daemons.
type Selector interface {
	Pick(candidates []declarer.Member, tried []string, average time.Duration) (*declarer.Member, *selector.Call)
	// Reachable reports whether one of the candidates may be chosen.
	Reachable(candidates []declarer.Member) bool
}

// Delegator asks other daemons to gather queries. It is safe for concurrent use.
type Delegator struct {
	cfg      Config
	opener   Opener
	selector Selector
	prober   selector.Prober

	mu sync.Mutex
	// exchanges holds, by zone, the times until daemons accepted queries: the way there and back.
	exchanges map[string]*sampler.Window
}

const (
	// exchangeQuantile is the quantile of the way to a daemon and back that is reserved of a goal: when the parts come
	// after the cutoff, all of them are missing or the answer is late.
	exchangeQuantile = 0.9
	// maxExchangeShare bounds that reserve as a share of the time left: the searchers need the rest.
	maxExchangeShare = 0.25
	// maxZones bounds the memory for the measured ways.
	maxZones = 64
)

// exchange returns the measured way to the daemons of a zone and back, nil when there are too many zones.
func (d *Delegator) exchange(zone string) *sampler.Window {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.exchanges[zone]
	if w == nil && len(d.exchanges) < maxZones {
		w = sampler.NewWindow(exchangeQuantile)
		d.exchanges[zone] = w
	}
	return w
}

// goal returns the time left for a daemon until its parts must leave, so that they arrive at the cutoff.
func (d *Delegator) goal(left time.Duration, exchange *sampler.Window, now time.Time) time.Duration {
	reserve := d.cfg.Exchange
	if exchange != nil {
		if e, ok := exchange.Estimate(now); ok {
			reserve = e
		}
	}
	return left - max(0, min(reserve, time.Duration(float64(left)*maxExchangeShare)))
}

// New returns a Delegator.
func New(cfg Config, opener Opener, sel Selector, prober selector.Prober) *Delegator {
	return &Delegator{cfg: cfg, opener: opener, selector: sel, prober: prober, exchanges: make(map[string]*sampler.Window)}
}

// Reachable reports whether at least one of the daemons is not known to be out of reach.
func (d *Delegator) Reachable(candidates []declarer.Member) bool {
	return d.selector.Reachable(candidates)
}

// Query is a query to be gathered.
type Query struct {
	// Gather is the message to send, but for its times, its Attempts and its Definition.
	exchanger.Gather
	// Definition is the route.
	Definition *declarer.Route
	// CutoffAt is the time from which missing shards are not waited for, Deadline the client's deadline.
	CutoffAt, Deadline time.Time
	// Average is the average latency of the route's queries.
	Average time.Duration
	// OnAccepted, if not nil, is called when a daemon has accepted the query.
	OnAccepted func()
	// OnMessage receives the messages with parts, in order.
	OnMessage func(g *exchanger.Gathered)
	// Done is closed when the answer is enough.
	Done <-chan struct{}
	// MayRepeat reports whether the retry budget allows to ask another daemon when the first may have sent the query to
	// searchers, and takes what that costs.
	MayRepeat func() bool
}

// Result is what came of a query.
type Result struct {
	// Final is true when the daemon that gathered has sent its last message.
	Final bool
	// Daemon is the ID of the daemon that was asked last.
	Daemon string
	// Attempts is the number of attempts a shard that are left to this daemon.
	Attempts int
	// MayHaveRun is true when a daemon that did not send its last message may have sent the query to searchers.
	MayHaveRun bool
	// Err says why there is no last message.
	Err error
}

// Reasons for which a daemon gave no answer.
var (
	errNoDaemon    = errors.New("no daemon that gathers is known to answer")
	errNotAccepted = errors.New("the query was not accepted in time")
	errBudget      = errors.New("the retry budget allows no further daemon")
	errSilent      = errors.New("the daemon accepted the query and does not answer any more")
)

// RefusedError means that a daemon refused to gather.
type RefusedError struct {
	exchanger.Refusal
}

// Error returns the code.
func (e *RefusedError) Error() string {
	return "the daemon refused to gather: " + string(e.Code)
}

// Delegate asks one daemon after the other to gather the query, until one accepts it.
//
// Load pattern: a zone that is cut off, or machines that lose power, while each daemon has a query there; the first sign
// of life is missing after AcceptTimeout, early enough to reach the latency goal elsewhere.
func (d *Delegator) Delegate(ctx context.Context, candidates []declarer.Member, q *Query) Result {
	res := Result{Attempts: q.Definition.Attempts, Err: errNoDaemon}
	var tried []string
	for len(tried) < d.cfg.MaxAsked {
		m, call := d.selector.Pick(candidates, tried, q.Average)
		if m == nil || isClosed(q.Done) {
			if call != nil {
				call.End(selector.Abandoned)
			}
			return res
		}
		if res.MayHaveRun && !q.MayRepeat() {
			call.End(selector.Abandoned)
			res.Err = errBudget
			return res
		}
		tried = append(tried, m.ID)
		res.Daemon = m.ID
		a := d.ask(ctx, m, q, res.Attempts)
		call.End(a.outcome())
		res.Final, res.Err = a.final, a.err
		switch {
		case a.final || isOverloaded(a.err):
			// The searchers have no room for the queries of the other daemons either.
			return res
		case a.accepted || ctx.Err() != nil:
			// What the daemon has run is not known: no attempt is left.
			res.MayHaveRun, res.Attempts = res.MayHaveRun || a.sent, 0
			return res
		case a.sent:
			res.MayHaveRun = true
			if res.Attempts--; res.Attempts == 0 {
				return res
			}
		}
	}
	return res
}

// asking is the state of a query at one daemon.
type asking struct {
	// sent is true when the daemon may have received the query, accepted when it said so.
	sent, accepted bool
	// final is true when its last message has arrived.
	final bool
	err   error
	// abandoned is true when the query ended for another reason than the daemon.
	abandoned bool
}

func isOverloaded(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Code == exchanger.Overloaded
}

// outcome returns the outcome for the Selector.
func (a *asking) outcome() selector.Outcome {
	var refused *RefusedError
	switch {
	case a.final:
		return selector.Answered
	case a.abandoned:
		return selector.Abandoned
	case isOverloaded(a.err):
		// The searchers have no room; that says nothing of the daemon.
		return selector.Abandoned
	case errors.As(a.err, &refused):
		return selector.Refused
	default:
		return selector.Silent
	}
}

// ask asks one daemon, a second time with the route's definition if it does not have the version.
func (d *Delegator) ask(ctx context.Context, m *declarer.Member, q *Query, attempts int) asking {
	in := q.Gather
	in.Attempts = attempts
	a := d.askOnce(ctx, m, q, &in, attempts)
	var refused *RefusedError
	if errors.As(a.err, &refused) && refused.Code == exchanger.WrongVersion {
		in.Definition = q.Definition
		a = d.askOnce(ctx, m, q, &in, attempts)
	}
	return a
}

func (d *Delegator) askOnce(ctx context.Context, m *declarer.Member, q *Query, in *exchanger.Gather, attempts int) asking {
	var a asking
	askCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	accept := time.AfterFunc(d.cfg.AcceptTimeout, func() { cancel(errNotAccepted) })
	defer accept.Stop()
	a.err = d.converse(askCtx, &a, m, q, in, attempts, func() {
		accept.Stop()
		check := max(0, time.Until(q.CutoffAt)) + d.cfg.CheckDelay
		accept = time.AfterFunc(check, func() { d.check(askCtx, m, cancel) })
	})
	if a.err != nil {
		a.abandoned = ctx.Err() != nil || isClosed(q.Done)
		if cause := context.Cause(askCtx); cause != nil {
			a.err = cause
		}
	}
	return a
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// converse exchanges the messages of one query and sets the fields of a. It calls onAccepted after the acceptance.
func (d *Delegator) converse(ctx context.Context, a *asking, m *declarer.Member, q *Query, in *exchanger.Gather, attempts int, onAccepted func()) error {
	s, end, err := d.opener.Open(ctx, m.Peer)
	if err != nil {
		return err
	}
	complete := false
	defer func() { end(complete) }()
	exchange, sentAt := d.exchange(m.Zone), time.Now()
	in.Goal, in.Remaining = d.goal(q.CutoffAt.Sub(sentAt), exchange, sentAt), q.Deadline.Sub(sentAt)
	a.sent = true
	if err := s.Send(in); err != nil {
		return err
	}
	var first exchanger.Gathered
	if err := s.Recv(&first); err != nil {
		return err
	}
	if first.Refused != "" || !first.Accepted {
		a.sent, complete = false, true
		return &RefusedError{exchanger.Refusal{Code: first.Refused, RetryAfter: first.RetryAfter}}
	}
	a.accepted = true
	if now := time.Now(); exchange != nil {
		exchange.Record(max(0, now.Sub(sentAt)-first.Held), now)
	}
	onAccepted()
	if q.OnAccepted != nil {
		q.OnAccepted()
	}
	if attempts > 1 {
		if err := s.Send(&exchanger.Permit{Attempts: attempts}); err != nil {
			return err
		}
	}
	defer d.stopWhenDone(ctx, s, q)()
	for !a.final {
		var g exchanger.Gathered
		if err := s.Recv(&g); err != nil {
			return err
		}
		q.OnMessage(&g)
		a.final = g.Final
	}
	complete = true
	return nil
}

// stopWhenDone asks the daemon to stop as soon as the answer is enough. Its last message follows, so that the connection
// can be used again. The returned function ends the wait.
func (d *Delegator) stopWhenDone(ctx context.Context, s Stream, q *Query) func() {
	ended := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		select {
		case <-q.Done:
			// When it fails, so does the next Recv.
			_ = s.Send(&exchanger.Permit{Stop: true})
		case <-ended:
		case <-ctx.Done():
		}
	}()
	return func() {
		close(ended)
		<-stopped
	}
}

// check ends a query whose daemon does not answer a probe any more.
func (d *Delegator) check(ctx context.Context, m *declarer.Member, cancel context.CancelCauseFunc) {
	ctx, stop := context.WithTimeout(ctx, d.cfg.CheckTimeout)
	defer stop()
	if d.prober.Probe(ctx, m) != nil {
		cancel(errSilent)
	}
}
