package gatherer

import (
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/answerer"
)

const (
	labelService = "service"
	labelCode    = "code"
	labelReason  = "reason"
)

// metrics holds the collectors of all services.
type metrics struct {
	seconds  *prometheus.HistogramVec
	shards   *prometheus.CounterVec
	merged   *prometheus.CounterVec
	attempts *prometheus.CounterVec
	hedges   *prometheus.CounterVec
	retries  *prometheus.CounterVec
	probes   *prometheus.CounterVec
	replans  *prometheus.CounterVec
	strays   *prometheus.CounterVec
	missing  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	runs     *prometheus.CounterVec
	running  prometheus.GaugeFunc
}

func newMetrics(running func() float64) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cornelwood_" + name, Help: help}, labels)
	}
	return &metrics{
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cornelwood_query_seconds",
			Help:    "Time from a query's arrival to its answer.",
			Buckets: []float64{.001, .0025, .005, .01, .02, .03, .05, .075, .1, .12, .15, .2, .3, .5, 1, 2, 5},
		}, []string{labelService}),
		shards:   counter("query_shards_total", "Shards that answered queries should cover.", labelService),
		merged:   counter("query_shards_merged_total", "Shards merged into answers.", labelService),
		attempts: counter("query_attempts_total", "First sub-requests of shards.", labelService),
		hedges:   counter("query_hedges_total", "Sub-requests sent before an earlier one had failed.", labelService),
		retries:  counter("query_retries_total", "Sub-requests sent after an earlier one had failed.", labelService),
		probes:   counter("query_probes_total", "Sub-requests that only ask for versions.", labelService),
		replans:  counter("query_replans_total", "Queries started again on another snapshot.", labelService),
		strays:   counter("query_strays_total", "Results dropped: late, duplicate, foreign or invalid.", labelService),
		missing:  counter("query_missing_total", "Shards missing from answers.", labelService, labelReason),
		refusals: counter("query_refusals_total", "Queries refused.", labelCode),
		runs:     counter("run_outcomes_total", "At-most-once requests by outcome.", labelService, "outcome"),
		running: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cornelwood_query_running", Help: "Queries that run now.",
		}, running),
	}
}

func (m *metrics) vectors() []*prometheus.CounterVec {
	return []*prometheus.CounterVec{
		m.shards, m.merged, m.attempts, m.hedges, m.retries, m.probes, m.replans, m.strays, m.missing, m.refusals, m.runs,
	}
}

// register registers all metrics and returns a function that unregisters them.
func (m *metrics) register(reg prometheus.Registerer) func() {
	all := []prometheus.Collector{m.seconds, m.running}
	for _, v := range m.vectors() {
		all = append(all, v)
	}
	reg.MustRegister(all...)
	return func() {
		for _, c := range all {
			reg.Unregister(c)
		}
	}
}

// remove deletes the series of a service.
func (m *metrics) remove(service string) {
	match := prometheus.Labels{labelService: service}
	m.seconds.DeletePartialMatch(match)
	for _, v := range m.vectors() {
		v.DeletePartialMatch(match)
	}
}

// serviceMetrics holds the series of one service, looked up once.
type serviceMetrics struct {
	seconds  prometheus.Observer
	shards   prometheus.Counter
	merged   prometheus.Counter
	attempts prometheus.Counter
	hedges   prometheus.Counter
	retries  prometheus.Counter
	probes   prometheus.Counter
	replans  prometheus.Counter
	strays   prometheus.Counter
	missing  map[answerer.Reason]prometheus.Counter
}

// forService returns the series of a service, and creates them at 0.
func (m *metrics) forService(service string) serviceMetrics {
	s := serviceMetrics{
		seconds:  m.seconds.WithLabelValues(service),
		shards:   m.shards.WithLabelValues(service),
		merged:   m.merged.WithLabelValues(service),
		attempts: m.attempts.WithLabelValues(service),
		hedges:   m.hedges.WithLabelValues(service),
		retries:  m.retries.WithLabelValues(service),
		probes:   m.probes.WithLabelValues(service),
		replans:  m.replans.WithLabelValues(service),
		strays:   m.strays.WithLabelValues(service),
		missing:  make(map[answerer.Reason]prometheus.Counter),
	}
	for _, r := range []answerer.Reason{
		answerer.ReasonDeadline, answerer.ReasonShed, answerer.ReasonOut,
		answerer.ReasonUnreachable, answerer.ReasonVersion, answerer.ReasonInvalid,
	} {
		s.missing[r] = m.missing.WithLabelValues(service, string(r))
	}
	return s
}
