package commander

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the counters of operators' calls.
type Metrics struct {
	acceptedChanges prometheus.Counter
	lostAnswers     prometheus.Counter
	refusals        *prometheus.CounterVec
}

// NewMetrics returns Metrics whose counters are registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		acceptedChanges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelwood_changes_accepted_total",
			Help: "Changes that the platform accepted.",
		}),
		lostAnswers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelwood_changes_lost_answers_total",
			Help: "Writes to the platform whose answer was lost.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelwood_operator_refusals_total",
			Help: "Operators' calls that were refused, by code.",
		}, []string{"code"}),
	}
	reg.MustRegister(m.acceptedChanges, m.lostAnswers, m.refusals)
	return m
}
