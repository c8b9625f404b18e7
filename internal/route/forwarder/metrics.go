package forwarder

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/route/authorizer"
	"cornelwood.example/internal/route/delegator"
	"cornelwood.example/internal/route/locator"
)

// Metrics holds the metrics of requests and exchanges.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	failures *prometheus.CounterVec
	gathers  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	unlogged prometheus.Counter
}

// NewMetrics returns Metrics registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelwood_route_requests_total", Help: "Requests by route and status of the final answer.",
		}, []string{"route", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cornelwood_route_seconds", Help: "Time from a request to its final answer.",
			Buckets: prometheus.ExponentialBuckets(0.004, 1.5, 18),
		}, []string{"route"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelwood_exchange_failures_total", Help: "Exchanges with searchers that gave no answer to use.",
		}, []string{"service", "kind"}),
	}
	m.gathers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelwood_gathers_total", Help: "Queries gathered for other daemons, by route and whether all shards answered.",
	}, []string{"route", "complete"})
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelwood_authorization_refusals_total", Help: "Requests that were not authorized, by route and reason.",
	}, []string{"route", "reason"})
	m.unlogged = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cornelwood_log_lines_withheld_total", Help: "Lines about requests beyond the bound on their rate.",
	})
	reg.MustRegister(m.requests, m.latency, m.failures, m.gathers, m.refusals, m.unlogged)
	return m
}

// Bounds on log lines about requests; what is beyond them appears only in the metrics.
const (
	logLinesPerSecond = 100
	logBurst          = 200
	// reservedLogShare is the share of the burst reserved for failures, the daemon's own answers and incomplete
	// ones.
	reservedLogShare = 0.5
)

// recordAnswer counts an answer and logs it within the bound on log lines. Complete answers from searchers are
// logged only while at least the reserved share of the burst is left.
func (f *Forwarder) recordAnswer(req *Request, route string, v *locator.View, a *Answer) {
	took := time.Since(req.Arrived)
	f.metrics.requests.WithLabelValues(route, strconv.Itoa(a.Status)).Inc()
	f.metrics.latency.WithLabelValues(route).Observe(took.Seconds())
	isComplete := a.Reason == "" && a.Missing == 0
	if isComplete && f.logLimiter.Tokens() < logBurst*reservedLogShare || !f.allowLogLine() {
		return
	}
	f.log.Info("request answered", "request", req.ID, "route", route, "account", req.accountName(), "status", a.Status, "reason", a.Reason,
		"missing", a.Missing, "sends", a.SubRequests, "gatherers", a.Gatherers, "took", took, "patience", req.ClientTimeout, "version", v.Version(), "revision", v.Revision())
}

// recordRefusal counts a request that is not authorized and logs why, with the version that withdrew its key if that is known.
func (f *Forwarder) recordRefusal(req *Request, rt *declarer.Route, v *locator.View, refusal authorizer.Refusal) {
	f.metrics.refusals.WithLabelValues(rt.Name, refusal.String()).Inc()
	if !f.allowLogLine() {
		return
	}
	w, _ := v.Authorizer.Withdrawal(req.Key)
	f.log.Info("request not authorized", "request", req.ID, "route", rt.Name, "reason", refusal.String(), "haskey", req.Key != "",
		"version", v.Version(), "age", v.DoubtedAge(), "withdrawnfrom", w.Account, "withdrawnwith", w.Version)
}

// recordGather counts a query that this daemon gathered for another one, and logs an incomplete one.
func (f *Forwarder) recordGather(j *gatherJob) {
	missing := len(j.calls) - len(j.parts)
	f.metrics.gathers.WithLabelValues(j.route.Name, strconv.FormatBool(missing == 0)).Inc()
	if missing == 0 || !f.allowLogLine() {
		return
	}
	f.log.Info("query gathered for another daemon", "request", j.req.ID, "route", j.route.Name, "missing", missing,
		"shards", len(j.calls), "sends", len(j.cancels), "took", time.Since(j.req.Arrived), "cutoff", j.cutoffAt.Sub(j.req.Arrived))
}

// recordUndelegated logs that no other daemon gathered a query.
func (f *Forwarder) recordUndelegated(req *Request, res *delegator.Result) {
	if !f.allowLogLine() {
		return
	}
	f.log.Info("query not gathered by another daemon", "request", req.ID, "daemon", res.Daemon, "error", res.Err,
		"attempts", res.Attempts, "mayhaverun", res.MayHaveRun, "took", time.Since(req.Arrived))
}

// allowLogLine reports whether a line may be logged now, and counts it as withheld if not.
func (f *Forwarder) allowLogLine() bool {
	if f.logLimiter.Allow() {
		return true
	}
	f.metrics.unlogged.Inc()
	return false
}

// recordFailure counts an exchange without a usable answer, and logs it unless it was cancelled because the request
// had been answered or its client had disconnected.
func (f *Forwarder) recordFailure(req *Request, s *locator.Searcher, res *result, took time.Duration) {
	kind := "not run"
	switch {
	case errors.Is(res.err, context.Canceled):
		kind = "given up"
	case res.class == failure:
		kind = "failed"
	case res.class == notSent:
		kind = "not sent"
	}
	f.metrics.failures.WithLabelValues(s.Service, kind).Inc()
	if kind == "given up" || !f.allowLogLine() {
		return
	}
	status := 0
	if res.reply != nil {
		status = res.reply.Status
	}
	f.log.Info("exchange failed", "request", req.ID, "searcher", s.ID, "service", s.Service, "release", s.Version, "zone", s.Zone,
		"kind", kind, "status", status, "error", res.err, "took", took)
}
