package dispatcher

import "github.com/prometheus/client_golang/prometheus"

// labels are the label names of every metric of an upstream.
var labels = []string{"service", "upstream"}

// metrics holds the counters of all upstreams, and takes the gauges from a snapshot when
// it is collected.
type metrics struct {
	snapshot                                                          func() []UpstreamState
	sheds, late, resets, silent, opened, invalid, wasted, coldChanges *prometheus.CounterVec
	inFlight, waiting, limit, cold, connections                       *prometheus.Desc
}

// counts holds the counters of one upstream.
type counts struct {
	sheds, late, resets, silent, opened, invalid, wasted, coldChanges prometheus.Counter
}

func newMetrics(snapshot func() []UpstreamState) *metrics {
	return &metrics{
		snapshot:    snapshot,
		sheds:       counter("sheds_total", "Tasks shed by the owner or by the upstream."),
		late:        counter("late_total", "Tasks whose deadline passed."),
		resets:      counter("resets_total", "Connections refused or reset by the upstream."),
		silent:      counter("silent_connections_total", "Connections closed because they had gone silent."),
		opened:      counter("connections_opened_total", "Connections opened."),
		invalid:     counter("invalid_answers_total", "Answers dropped because they were to another request."),
		wasted:      counter("wasted_total", "Tasks sent to the upstream whose answer was not used."),
		coldChanges: counter("temperature_changes_total", "Changes between cold and warm."),
		inFlight:    gauge("in_flight", "Slots taken."),
		waiting:     gauge("waiting", "Tasks in the queue."),
		limit:       gauge("limit", "Slots that a whole share allows."),
		cold:        gauge("cold", "1 while the upstream is held for cold."),
		connections: gauge("connections", "Open connections."),
	}
}

func counter(metric, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "cornelwood",
		Subsystem: "upstream",
		Name:      metric,
		Help:      help,
	}, labels)
}

func gauge(metric, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName("cornelwood", "upstream", metric), help, labels, nil)
}

func (m *metrics) vectors() []*prometheus.CounterVec {
	return []*prometheus.CounterVec{m.sheds, m.late, m.resets, m.silent, m.opened, m.invalid, m.wasted, m.coldChanges}
}

// counts returns the counters of an upstream.
func (m *metrics) counts(id upstreamID) counts {
	at := func(v *prometheus.CounterVec) prometheus.Counter {
		return v.WithLabelValues(id.service, id.upstream)
	}
	return counts{
		sheds:       at(m.sheds),
		late:        at(m.late),
		resets:      at(m.resets),
		silent:      at(m.silent),
		opened:      at(m.opened),
		invalid:     at(m.invalid),
		wasted:      at(m.wasted),
		coldChanges: at(m.coldChanges),
	}
}

// remove removes the counters of an upstream.
func (m *metrics) remove(id upstreamID) {
	for _, v := range m.vectors() {
		v.DeleteLabelValues(id.service, id.upstream)
	}
}

// Describe sends the descriptions of all metrics.
func (m *metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, v := range m.vectors() {
		v.Describe(ch)
	}
	for _, d := range []*prometheus.Desc{m.inFlight, m.waiting, m.limit, m.cold, m.connections} {
		ch <- d
	}
}

// Collect sends the metrics of all upstreams.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	for _, v := range m.vectors() {
		v.Collect(ch)
	}
	for _, s := range m.snapshot() {
		send := func(d *prometheus.Desc, value float64) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, s.Service, s.Upstream)
		}
		send(m.inFlight, float64(s.InFlight))
		send(m.waiting, float64(s.Waiting))
		send(m.limit, float64(s.Limit))
		send(m.connections, float64(s.Connections))
		cold := 0.0
		if s.Cold {
			cold = 1
		}
		send(m.cold, cold)
	}
}
