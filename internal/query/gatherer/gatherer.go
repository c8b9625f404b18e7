package gatherer

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/query/admitter"
	"cornelwood.example/internal/query/planner"
	"cornelwood.example/internal/query/tracker"
)

// marginDivisor limits the response margin to a tenth of a query's time.
const marginDivisor = 10

// Views provides the current view.
type Views interface {
	View() *viewer.View
}

// Worker runs sub-requests to the upstreams that this daemon owns. Do does not block; it delivers
// exactly one result, from any goroutine.
type Worker interface {
	Do(ctx context.Context, t exchanger.Task, deliver func(exchanger.Result))
}

// Exchanger sends sub-requests to the daemon at a peer address. Exchange does not block; it delivers
// exactly one result for each task. Cancelling ctx cancels the tasks that are not done.
type Exchanger interface {
	Exchange(ctx context.Context, peer netip.AddrPort, tasks []exchanger.Task, deliver func(exchanger.Result))
}

// Gatherer scatters queries over the shards of a service and gathers the results into one answer. Its
// methods may be called from any goroutine.
type Gatherer struct {
	cfg      Config
	views    Views
	local    Worker
	remote   Exchanger
	log      hclog.Logger
	start    time.Time
	admitter *admitter.Admitter
	tracker  *tracker.Tracker
	metrics  *metrics
	layouts  atomic.Pointer[layoutCache]
	// services maps service names to *service.
	services sync.Map
	// Pools of *[]tracker.Reading, *mailbox, *round and *planner.Plan.
	readings, mailboxes, rounds, plans sync.Pool
	// lastID is the last task ID assigned.
	lastID atomic.Uint64

	ctx context.Context
	wg  sync.WaitGroup
}

// New returns a Gatherer and a function that stops its background work and unregisters its metrics.
func New(cfg Config, views Views, local Worker, remote Exchanger, log hclog.Logger, reg prometheus.Registerer) (*Gatherer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	g := &Gatherer{
		cfg:      cfg.effective(),
		views:    views,
		local:    local,
		remote:   remote,
		log:      log,
		start:    now,
		admitter: admitter.New(cfg.MaxConcurrentQueries),
		tracker:  tracker.New(now),
		ctx:      ctx,
	}
	g.readings.New = func() any { return new([]tracker.Reading) }
	g.rounds.New = func() any { return new(round) }
	g.plans.New = func() any { return new(planner.Plan) }
	g.mailboxes.New = func() any { return newMailbox() }
	g.layouts.Store(&layoutCache{})
	g.metrics = newMetrics(func() float64 { return float64(g.admitter.Running()) })
	unregister := g.metrics.register(reg)
	return g, func() {
		cancel()
		g.wg.Wait()
		unregister()
	}
}

// Query answers a caller's query. The answer is partial when the deadline passes first. Errors are
// *answerer.RefusalError; a refused query was not run.
func (g *Gatherer) Query(ctx context.Context, q *answerer.Query) (*answerer.Answer, error) {
	a, err := g.query(ctx, q)
	if r, ok := err.(*answerer.RefusalError); ok { //nolint:errorlint // query returns no wrapped errors
		g.metrics.refusals.WithLabelValues(string(r.Code)).Inc()
	}
	return a, err
}

func (g *Gatherer) query(ctx context.Context, q *answerer.Query) (*answerer.Answer, error) {
	start := time.Now()
	if err := q.Check(); err != nil {
		return nil, err
	}
	l, err := g.findLayout(q.Service, q.Request)
	if err != nil {
		return nil, err
	}
	contract := &l.Service.Contract
	if !g.admitter.Admit(contract.Priority) {
		return nil, refuse(q, answerer.CodeOverloaded, "too many queries run at this daemon; try again later")
	}
	defer g.admitter.Release()

	timeout := contract.Deadline.Duration
	if q.Deadline != nil {
		timeout = q.Deadline.Duration
	}
	margin := min(g.cfg.ResponseMargin, timeout/marginDivisor)
	ctx, cancel := context.WithDeadline(ctx, start.Add(timeout-margin))
	defer cancel()

	a, err := g.gather(ctx, l, g.withRequestID(q))
	if err != nil {
		return nil, err
	}
	took := time.Since(start)
	a.Took = declarer.Duration{Duration: took}
	if !errors.Is(ctx.Err(), context.Canceled) {
		l.service.recordAnswer(a, took)
	}
	return a, nil
}

// findLayout returns the layout of a service. It returns a refusal when there is no configuration yet
// or the service is not declared.
func (g *Gatherer) findLayout(name, request string) (*layout, error) {
	refusal := &answerer.RefusalError{Outcome: answerer.NotRun, Request: request}
	v := g.views.View()
	if v == nil || v.Version == 0 {
		refusal.Code, refusal.Reason = answerer.CodeNoConfig, "this daemon has no configuration yet"
		return nil, refusal
	}
	l, ok := g.layout(v, name)
	if !ok {
		refusal.Code, refusal.Field = answerer.CodeNoService, "service"
		refusal.Reason = "service " + strconv.Quote(name) + " is not declared"
		return nil, refusal
	}
	return l, nil
}

// withRequestID returns the query, or a copy of it with a generated request ID when it has none.
func (g *Gatherer) withRequestID(q *answerer.Query) *answerer.Query {
	if q.Request != "" {
		return q
	}
	self := &g.views.View().Self
	c := *q
	c.Request = self.ID + "-" + strconv.FormatUint(self.Incarnation, 36) + "-" + strconv.FormatUint(g.lastID.Add(1), 36)
	return &c
}

// plan plans a query from the current state of the upstreams. The caller may return the plan to the
// plans pool after its last use.
func (g *Gatherer) plan(l *layout, exclude []uint64) *planner.Plan {
	buf := g.readings.Get().(*[]tracker.Reading)
	defer g.readings.Put(buf)
	*buf = g.readUpstreams(l, (*buf)[:0])
	p := g.plans.Get().(*planner.Plan)
	p.Rebuild(l.Layout, *buf, planner.Options{
		SelectReplicas: g.cfg.ReplicaSelection,
		Exclude:        exclude,
		Seed:           g.cfg.Seed(),
	})
	return p
}

// randomIndex returns a random index below n.
func (g *Gatherer) randomIndex(n int) int {
	return int(g.cfg.Seed() % uint64(n))
}

func refuse(q *answerer.Query, code answerer.Code, reason string) error {
	return &answerer.RefusalError{Code: code, Reason: reason, Outcome: answerer.NotRun, Request: q.Request}
}
