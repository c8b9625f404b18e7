package promoter

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of roll-outs.
type Metrics struct {
	decisions *prometheus.CounterVec
	writes    *prometheus.CounterVec
}

// NewMetrics returns Metrics registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelwood_rollout_decisions_total", Help: "Decisions of this daemon on roll-outs, by the state to be written and the action.",
		}, []string{"state", "action"}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelwood_rollout_writes_total", Help: "Writes of the status of roll-outs by result.",
		}, []string{"result"}),
	}
	reg.MustRegister(m.decisions, m.writes)
	return m
}

// NewGateMetrics returns the counter of exchanges of running roll-outs, registered with reg.
func NewGateMetrics(reg prometheus.Registerer) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelwood_rollout_exchanges_total", Help: "Exchanges with searchers during roll-outs, by service, whether the version was that of the order, and result.",
	}, []string{"service", "version", "result"})
	reg.MustRegister(c)
	return c
}
