package lender

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of tokens and of the lease.
type Metrics struct {
	takes    *prometheus.CounterVec
	seconds  prometheus.Histogram
	returns  prometheus.Counter
	isLender prometheus.Gauge
	changes  *prometheus.CounterVec
}

// NewMetrics returns Metrics registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		takes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelwood_allotment_takes_total", Help: "Requests of accounts with a limit, by who decided and the result.",
		}, []string{"source", "result"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cornelwood_allotment_take_seconds", Help: "Time to ask for a token, for requests that had to ask.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 10),
		}),
		returns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelwood_allotment_returns_total", Help: "Tokens of requests that reached no searcher.",
		}),
		isLender: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cornelwood_allotment_lender", Help: "1 while this daemon grants tokens to all others.",
		}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelwood_allotment_lender_changes_total", Help: "Times that this daemon began or ceased to grant tokens to all others.",
		}, []string{"change"}),
	}
	reg.MustRegister(m.takes, m.seconds, m.returns, m.isLender, m.changes)
	return m
}

func (m *Metrics) count(source, result string) {
	m.takes.WithLabelValues(source, result).Inc()
}

func (m *Metrics) countRefusal(source string, exceeded bool) {
	result := "unknown"
	if exceeded {
		result = "exceeded"
	}
	m.count(source, result)
}
