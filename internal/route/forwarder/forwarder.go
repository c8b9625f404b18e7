// Package forwarder answers client requests by the routes of the desired state: a single request goes to one
// searcher, a query to one searcher of every shard.
//
// It does not depend on the HTTP server or on the names of headers. A request that fails is retried at another
// searcher and a slow one is hedged, within the route's number of attempts and the retry budget.
package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/route/admitter"
	"cornelwood.example/internal/route/authorizer"
	"cornelwood.example/internal/route/locator"
	"cornelwood.example/internal/route/picker"
	"cornelwood.example/internal/route/promoter"
	"cornelwood.example/internal/time/sampler"
	"cornelwood.example/internal/upstream/connector"
)

const (
	// statusClientClosed is recorded for a request whose client has disconnected; it is never sent.
	statusClientClosed = 499
	// defaultTimeout bounds a request when neither the client nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes bounds a request's body when the desired state sets no bound.
	defaultBodyBytes = 1 << 20
	// minTimerDelay prevents a busy loop when a timer is already due.
	minTimerDelay = 100 * time.Microsecond
)

// Config holds the policy of a Forwarder. Extra requests are hedges and retries; their budget is per service.
type Config struct {
	// HedgeQuantile is the quantile of latencies, 0 to 1, after which an exchange is hedged.
	HedgeQuantile float64
	// ExtraPercent is the number of extra requests allowed for 100 first requests.
	ExtraPercent int
	// ExtraSlack is the number of extra requests allowed to all daemons together within ExtraWindow, in addition
	// to those of ExtraPercent.
	ExtraSlack  int
	ExtraWindow time.Duration
	// CancelDelay is how long exchanges that are still in flight may continue after the final answer.
	CancelDelay time.Duration
	// RetryAfter is the mean time after which a refused client is asked to retry.
	RetryAfter time.Duration
}

// Default returns the default policy.
func Default() Config {
	return Config{
		HedgeQuantile: 0.93,
		ExtraPercent:  17,
		ExtraSlack:    50,
		ExtraWindow:   10 * time.Second,
		CancelDelay:   400 * time.Millisecond,
		RetryAfter:    150 * time.Millisecond,
	}
}

// Viewer returns the current view of routes and searchers.
type Viewer interface {
	View() *locator.View
}

// Exchanger sends one request to a searcher and returns the reply; errors are of type *connector.Error. When fresh
// is set, it uses only a new connection or one that has been idle for a short time.
type Exchanger interface {
	Do(ctx context.Context, addr netip.AddrPort, req *connector.Request, fresh bool) (*connector.Reply, error)
}

// Forwarder answers requests. It is safe for concurrent use.
type Forwarder struct {
	cfg       Config
	self      declarer.Member
	views     Viewer
	delegator Delegator
	picker    *picker.Picker
	exchanger Exchanger
	stats     *stats
	// allotter is nil when no limits of accounts are enforced.
	allotter Allotter
	// gate chooses between the versions of a service during its roll-out; nil where there are no roll-outs.
	gate    *promoter.Gate
	log     hclog.Logger
	metrics *Metrics
	// logLimiter bounds the rate of log lines about requests.
	logLimiter *rate.Limiter
	// lateness holds how late timers fire; probing is true while one is pending.
	lateness, medianLateness *sampler.Window
	probing                  atomic.Bool
	admitter                 *admitter.Admitter
	// overloadedAt is when a query was last refused for lack of room, nil before the first time.
	overloadedAt atomic.Pointer[time.Time]
	// gathers counts the queries that this daemon gathers for others now.
	gathers atomic.Int64
	// leaving, refusing and ended are the phases of a planned stop; ended is closed by End.
	leaving, refusing atomic.Bool
	ended             chan struct{}
	endOnce           sync.Once
}

// New returns the Forwarder of the daemon self.
func New(cfg Config, self declarer.Member, views Viewer, p *picker.Picker, ex Exchanger, d Delegator, log hclog.Logger, m *Metrics) *Forwarder {
	return &Forwarder{
		cfg: cfg, self: self, views: views, picker: p, exchanger: ex, delegator: d, stats: newStats(cfg), log: log, metrics: m,
		logLimiter: rate.NewLimiter(logLinesPerSecond, logBurst), ended: make(chan struct{}), lateness: sampler.NewWindow(queueingQuantile), medianLateness: sampler.NewWindow(0.5),
		admitter: admitter.New(time.Now),
	}
}

// UseGate makes the Forwarder choose between versions of a service by gate. Call it before Handle.
func (f *Forwarder) UseGate(gate *promoter.Gate) {
	f.gate = gate
}

// SetExtraPercent changes the number of extra requests allowed for 100 first requests.
func (f *Forwarder) SetExtraPercent(percent int) {
	f.stats.setPercent(percent)
}

// Handle returns the final answer to a request.
func (f *Forwarder) Handle(ctx context.Context, req *Request) Answer {
	v := f.views.View()
	f.stats.setFleet(len(v.Members()), v.GathererCount())
	name, a := f.answer(ctx, req, v)
	f.returnToken(req, &a)
	a.RetryAfter = a.heldFor + jitterRetryAfter(a.RetryAfter, rand.Float64())
	f.recordAnswer(req, name, v, &a)
	return a
}

const (
	// reasonNoRoute is the reason of an answer to a request that no route matches.
	reasonNoRoute = "no route matches the host and path"
	// reasonLateBody is the reason of an answer to a request whose body was not complete in time, so that it was not run.
	reasonLateBody = "request body was not complete within the time limit of the client or the route"
)

// answer returns the name of the matching route, empty when there is none, and the answer.
func (f *Forwarder) answer(ctx context.Context, req *Request, v *locator.View) (string, Answer) {
	rt, refusal := f.accept(req, v)
	switch {
	case rt == nil:
		return "", *refusal
	case refusal != nil:
		return rt.Name, *refusal
	}
	limit := v.Matcher.Routing().Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if req.HasBody {
		setDeadline(req.Body, deadlineOf(req, rt))
	}
	body, err := readBody(req.Body, req.ContentLength, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case isEvicted(err):
		return rt.Name, refuseNotRun(f.cfg.RetryAfter, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		a := refuse(http.StatusRequestTimeout, reasonLateBody)
		a.RetryAfter = f.cfg.RetryAfter
		return rt.Name, a
	case errors.As(err, &tooLarge):
		return rt.Name, refuse(http.StatusRequestEntityTooLarge, err.Error())
	case err != nil:
		return rt.Name, refuse(http.StatusBadRequest, "read request body: "+err.Error())
	}
	if req.HasBody {
		// The body may have taken long: the route may have changed, the key may have been withdrawn, searchers may have left,
		// and the daemon may be stopping.
		v = f.views.View()
		name := rt.Name
		if rt, refusal = f.accept(req, v); refusal != nil {
			return name, *refusal
		}
	}
	name := rt.Name
	if rt, v, refusal = f.allot(ctx, req, rt, v); refusal != nil {
		return name, *refusal
	}
	deadline := deadlineOf(req, rt)
	if len(rt.Shards) > 0 {
		return rt.Name, f.answerQuery(ctx, req, body, rt, v, deadline)
	}
	return rt.Name, f.single(ctx, req, body, rt, v, deadline)
}

// deadlineOf returns the time at which a request must have its final answer.
func deadlineOf(req *Request, rt *declarer.Route) time.Time {
	timeout := rt.EffectiveTimeout(req.ClientTimeout)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return req.Arrived.Add(timeout)
}

// accept finds the route of a request and authorizes it; call it again after the request has waited. It returns the route,
// nil when none was found, and the answer to a request that is not served, nil for one that is.
func (f *Forwarder) accept(req *Request, v *locator.View) (*declarer.Route, *Answer) {
	var a Answer
	if f.refusing.Load() {
		a = refuseNotRun(f.cfg.RetryAfter, reasonStopping)
		return nil, &a
	}
	if ok, reason := v.Ready(); !ok {
		a = refuseNotRun(f.cfg.RetryAfter, reason)
		return nil, &a
	}
	rt := v.Matcher.Match(req.Host, req.Path)
	if rt == nil {
		a = refuse(http.StatusNotFound, reasonNoRoute)
		return nil, &a
	}
	account, refusal := v.Authorize(rt, req.Key)
	if refusal != authorizer.Allowed {
		f.recordRefusal(req, rt, v, refusal)
		a = unauthorizedAnswer(f.cfg.RetryAfter, refusal)
		return rt, &a
	}
	req.setAccount(account, rt)
	return rt, nil
}
