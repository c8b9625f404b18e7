package linker

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// purpose is what the traffic of a connection is for, a label of the metrics.
type purpose int

const (
	purposeExchange purpose = iota
	purposeGroup
	purposeSpread
	purposeForward
	purposeGather
	purposeOther
	purposeCount
)

var purposeNames = [purposeCount]string{"exchange", "group", "spread", "forward", "gather", "other"}

// purposeOf returns the purpose of the unary call name.
func purposeOf(name string) purpose {
	name = strings.ToLower(name)
	for p, n := range purposeNames {
		if n == name {
			return purpose(p)
		}
	}
	return purposeOther
}

// metrics counts traffic by purpose and direction, and events of links.
type metrics struct {
	sentBytes, recvBytes [purposeCount]prometheus.Counter
	sent, recv           [purposeCount]prometheus.Counter
	dials, silences      prometheus.Counter
	links                prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) (*metrics, func()) {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelwood_peer_bytes_total",
		Help: "Bytes on connections between daemons.",
	}, []string{"purpose", "direction"})
	messages := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelwood_peer_messages_total",
		Help: "Messages between daemons.",
	}, []string{"purpose", "direction"})
	m := &metrics{
		dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelwood_peer_dials_total",
			Help: "Connections dialled to other daemons.",
		}),
		silences: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelwood_peer_silences_total",
			Help: "Links closed because the peer went silent.",
		}),
		links: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cornelwood_peer_links",
			Help: "Links to other daemons that are open.",
		}),
	}
	for p, name := range purposeNames {
		m.sentBytes[p] = bytes.WithLabelValues(name, "sent")
		m.recvBytes[p] = bytes.WithLabelValues(name, "received")
		m.sent[p] = messages.WithLabelValues(name, "sent")
		m.recv[p] = messages.WithLabelValues(name, "received")
	}
	all := []prometheus.Collector{bytes, messages, m.dials, m.silences, m.links}
	for _, c := range all {
		reg.MustRegister(c)
	}
	return m, func() {
		for _, c := range all {
			reg.Unregister(c)
		}
	}
}
