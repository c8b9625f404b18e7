// Package forwarder answers the requests of clients by the routes of the desired
// state: a single request goes to one searcher, a query to one searcher of every
// shard.
//
// It knows no terminal and no header of a wire. A request that fails is sent to
// another searcher, and one that takes long is sent to a second one, as far as
// the route's attempts and the budget of extra requests allow.
package forwarder

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"cornelwood.example/internal/route/locator"
	"cornelwood.example/internal/route/picker"
	"cornelwood.example/internal/upstream/connector"
)

const (
	// statusClientClosed stands for a request whose client has left; nobody gets it.
	statusClientClosed = 499
	// defaultPatience bounds a request when neither client nor route names a time.
	defaultPatience = 30 * time.Second
	// defaultBodyBytes bounds a request's body when the desired state names no bound.
	defaultBodyBytes = 1 << 20
	// minTimer keeps a timer that is due from spinning.
	minTimer = 100 * time.Microsecond
)

// Config holds the policy of a Forwarder.
type Config struct {
	// HedgeQuantile is the share of latencies, 0 to 1, after which an exchange is
	// hedged.
	HedgeQuantile float64
	// ExtraPercent is the number of extra requests to a service for 100 first ones.
	ExtraPercent int
	// ExtraSlack is the number of extra requests to a service that all daemons
	// together may send beside.
	ExtraSlack int
	// ExtraWindow is the time for which the slack is meant.
	ExtraWindow time.Duration
	// CancelDelay is how long an exchange that lost the race may run on.
	CancelDelay time.Duration
	// RetryAfter is when a client that was refused may come back.
	RetryAfter time.Duration
}

// Default returns the policy.
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

// Viewer returns what the daemon believes now.
type Viewer interface {
	View() *locator.View
}

// Exchanger carries out one exchange with a searcher. It fails with a
// *connector.Error.
type Exchanger interface {
	Do(ctx context.Context, addr netip.AddrPort, req *connector.Request, fresh bool) (*connector.Reply, error)
}

// Forwarder answers requests. It is safe for concurrent use.
type Forwarder struct {
	cfg       Config
	views     Viewer
	picker    *picker.Picker
	exchanger Exchanger
	stats     *stats
	log       hclog.Logger
	metrics   *Metrics
	// lines bounds the log lines about requests.
	lines *rate.Limiter
}

// New returns a Forwarder.
func New(cfg Config, views Viewer, p *picker.Picker, ex Exchanger, log hclog.Logger, m *Metrics) *Forwarder {
	return &Forwarder{
		cfg: cfg, views: views, picker: p, exchanger: ex, stats: newStats(cfg), log: log, metrics: m,
		lines: rate.NewLimiter(linesPerSecond, lineBurst),
	}
}

// SetExtraPercent changes the budget of extra requests.
func (f *Forwarder) SetExtraPercent(percent int) {
	f.stats.setPercent(percent)
}

// Handle returns the final answer to a request.
func (f *Forwarder) Handle(ctx context.Context, req *Request) Answer {
	v := f.views.View()
	f.stats.setMembers(len(v.Members()))
	name, a := f.answer(ctx, req, v)
	a.RetryAfter = comeBack(a.RetryAfter, rand.Float64())
	f.note(req, name, v, &a)
	return a
}

// answer returns the name of the request's route and the answer.
func (f *Forwarder) answer(ctx context.Context, req *Request, v *locator.View) (string, Answer) {
	if ok, reason := v.Ready(); !ok {
		return "", refuseUntil(f.cfg.RetryAfter, reason)
	}
	rt := v.Matcher.Match(req.Host, req.Path)
	if rt == nil {
		return "", refuse(http.StatusNotFound, "no route matches")
	}
	limit := v.Matcher.Routing().Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := readBody(req.Body, limit)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return rt.Name, refuse(http.StatusRequestEntityTooLarge, err.Error())
	case err != nil:
		return rt.Name, refuse(http.StatusBadRequest, "the body broke off: "+err.Error())
	}
	patience := rt.EffectiveTimeout(req.ClientTimeout)
	if patience <= 0 {
		patience = defaultPatience
	}
	deadline := req.Arrived.Add(patience)
	if len(rt.Shards) > 0 {
		return rt.Name, f.query(ctx, req, body, rt, v, deadline)
	}
	return rt.Name, f.single(ctx, req, body, rt, v, deadline)
}

// readBody reads a body of at most limit bytes.
func readBody(r io.Reader, limit int64) ([]byte, error) {
	if r == nil {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	return body, err
}
