package reconciler

import (
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/control/spreader"
	"cornelwood.example/internal/control/viewer"
)

// Metrics holds the metrics of the control goroutine.
type Metrics struct {
	messages  *prometheus.CounterVec
	records   *prometheus.CounterVec
	failures  prometheus.Counter
	version   prometheus.Gauge
	instances *prometheus.GaugeVec
	watches   prometheus.Gauge
}

// NewMetrics returns a Metrics that is registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelwood_spread_messages_total",
			Help: "Messages of exchanges sent to peers, by step.",
		}, []string{"step"}),
		records: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelwood_records_adopted_total",
			Help: "Newer records adopted, by kind.",
		}, []string{"kind"}),
		failures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelwood_spread_failures_total",
			Help: "Messages of exchanges that got no answer.",
		}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cornelwood_config_version",
			Help: "Highest version of any object in force at this daemon.",
		}),
		instances: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cornelwood_instances",
			Help: "Instances known to this daemon, by state.",
		}, []string{"state"}),
		watches: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cornelwood_platform_watching",
			Help: "1 while this daemon watches the platform.",
		}),
	}
	reg.MustRegister(m.messages, m.records, m.failures, m.version, m.instances, m.watches)
	return m
}

func (m *Metrics) sent(msg *spreader.Message) {
	m.messages.WithLabelValues(msg.Step.String()).Inc()
}

func (m *Metrics) adopted(d spreader.Delta) {
	m.records.WithLabelValues("object").Add(float64(len(d.Objects)))
	m.records.WithLabelValues("instance").Add(float64(len(d.Instances)))
}

func (m *Metrics) published(v *viewer.View) {
	m.version.Set(float64(v.Version))
	m.instances.Reset()
	for i := range v.Instances {
		m.instances.WithLabelValues(v.Instances[i].State.String()).Inc()
	}
}

func (m *Metrics) watching(on bool) {
	if on {
		m.watches.Set(1)
		return
	}
	m.watches.Set(0)
}
