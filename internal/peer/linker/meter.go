package linker

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// purpose says what a connection's traffic is for.
type purpose int

const (
	purposeExchange purpose = iota
	purposeGroup
	purposeSpread
	purposeForward
	purposeOther
	purposes
)

var purposeNames = [purposes]string{"exchange", "group", "spread", "forward", "other"}

// purposeOf returns the purpose of a unary call.
func purposeOf(name string) purpose {
	name = strings.ToLower(name)
	for p, n := range purposeNames {
		if n == name {
			return purpose(p)
		}
	}
	return purposeOther
}

// meter counts traffic by purpose and direction.
type meter struct {
	sentBytes, recvBytes [purposes]prometheus.Counter
	sent, recv           [purposes]prometheus.Counter
	dials, silences      prometheus.Counter
	links                prometheus.Gauge
}

func newMeter(reg prometheus.Registerer) (*meter, func()) {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelwood_peer_bytes_total",
		Help: "Bytes on connections between daemons.",
	}, []string{"purpose", "direction"})
	messages := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelwood_peer_messages_total",
		Help: "Messages between daemons.",
	}, []string{"purpose", "direction"})
	m := &meter{
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
