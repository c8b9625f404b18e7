package forwarder

import (
	"context"
	"errors"
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
	m.unlogged = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cornelwood_log_lines_withheld_total", Help: "Lines about requests beyond the bound on their rate.",
	})
	reg.MustRegister(m.requests, m.latency, m.failures, m.unlogged)
	return m
}

// Lines a second about requests, and at once; beyond them only the counters tell.
const (
	linesPerSecond = 100
	lineBurst      = 200
	// plainShare is the share of the burst that is kept for answers that are no plain
	// success.
	plainShare = 0.5
)

// note counts an answer, and logs it as far as the bound on lines allows: plain
// successes only while half of the burst is left.
func (f *Forwarder) note(req *Request, route string, v *locator.View, a *Answer) {
	took := time.Since(req.Arrived)
	f.metrics.requests.WithLabelValues(route, strconv.Itoa(a.Status)).Inc()
	f.metrics.latency.WithLabelValues(route).Observe(took.Seconds())
	isPlain := a.Reason == "" && a.Missing == 0
	if isPlain && f.lines.Tokens() < lineBurst*plainShare || !f.allowLine() {
		return
	}
	f.log.Info("request answered", "request", req.ID, "route", route, "status", a.Status, "reason", a.Reason,
		"missing", a.Missing, "sends", a.SubRequests, "took", took, "patience", req.ClientTimeout, "version", v.Version(), "revision", v.Revision())
}

// allowLine takes one line from the bound, and counts the one that it forbids.
func (f *Forwarder) allowLine() bool {
	if f.lines.Allow() {
		return true
	}
	f.metrics.unlogged.Inc()
	return false
}

// noteFailure counts an exchange that gave no answer to use, and logs it unless it
// was only given up because another one won.
func (f *Forwarder) noteFailure(req *Request, s *locator.Searcher, res *result, took time.Duration) {
	kind := "not run"
	switch {
	case errors.Is(res.err, context.Canceled):
		kind = "given up"
	case res.verdict == failure:
		kind = "failed"
	case res.verdict == notSent:
		kind = "not sent"
	}
	f.metrics.failures.WithLabelValues(s.Service, kind).Inc()
	if kind == "given up" || !f.allowLine() {
		return
	}
	status := 0
	if res.reply != nil {
		status = res.reply.Status
	}
	f.log.Info("exchange failed", "request", req.ID, "searcher", s.ID, "service", s.Service, "zone", s.Zone,
		"kind", kind, "status", status, "error", res.err, "took", took)
}
