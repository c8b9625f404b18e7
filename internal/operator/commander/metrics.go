package commander

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the operators' calls.
type Metrics struct {
	changes  prometheus.Counter
	lost     prometheus.Counter
	refusals *prometheus.CounterVec
}

// NewMetrics returns counters that are registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		changes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelwood_changes_accepted_total",
			Help: "Changes that the platform accepted.",
		}),
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelwood_changes_lost_answers_total",
			Help: "Writes to the platform whose answer was lost.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelwood_operator_refusals_total",
			Help: "Operators' calls that were refused, by code.",
		}, []string{"code"}),
	}
	reg.MustRegister(m.changes, m.lost, m.refusals)
	return m
}
