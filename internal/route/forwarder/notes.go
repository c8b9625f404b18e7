package forwarder

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/route/locator"
)

// Metrics counts requests and exchanges.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	failures *prometheus.CounterVec
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
	reg.MustRegister(m.requests, m.latency, m.failures)
	return m
}

// note counts an answer and logs one that is no plain success.
func (f *Forwarder) note(req *Request, route string, v *locator.View, a *Answer) {
	took := time.Since(req.Arrived)
	f.metrics.requests.WithLabelValues(route, strconv.Itoa(a.Status)).Inc()
	f.metrics.latency.WithLabelValues(route).Observe(took.Seconds())
	if a.Reason == "" && a.Missing == 0 {
		return
	}
	f.log.Info("request answered", "request", req.ID, "route", route, "status", a.Status, "reason", a.Reason,
		"missing", a.Missing, "took", took, "patience", req.Patience, "version", v.Version(), "revision", v.Revision())
}

// noteFailure counts and logs an exchange that gave no answer to use.
func (f *Forwarder) noteFailure(req *Request, s *locator.Searcher, res *result, took time.Duration) {
	kind := "not run"
	if res.verdict == failure {
		kind = "failed"
	}
	f.metrics.failures.WithLabelValues(s.Service, kind).Inc()
	status := 0
	if res.reply != nil {
		status = res.reply.Status
	}
	f.log.Info("exchange failed", "request", req.ID, "searcher", s.ID, "service", s.Service, "zone", s.Zone,
		"kind", kind, "status", status, "error", res.err, "took", took)
}
