package watcher

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the calls to the platform and the invalid objects in its answers.
type Metrics struct {
	calls          *prometheus.CounterVec
	failures       prometheus.Counter
	invalidObjects prometheus.Counter
}

// NewMetrics returns a Metrics that is registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelwood_platform_reads_total",
			Help: "Calls of the watcher to the platform, by call.",
		}, []string{"call"}),
		failures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelwood_platform_read_failures_total",
			Help: "Calls of the watcher to the platform that failed.",
		}),
		invalidObjects: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelwood_platform_faulty_objects_total",
			Help: "Objects and instances of the platform that were left out as faulty.",
		}),
	}
	reg.MustRegister(m.calls, m.failures, m.invalidObjects)
	return m
}
