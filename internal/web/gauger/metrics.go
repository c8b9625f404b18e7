package gauger

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// maxCollections bounds the pages of metrics that are made or sent at once: a few collectors call every some seconds.
const maxCollections = 4

// Handler serves the metrics of a registry.
//
// Load pattern: clients that ask for the metrics again and again and do not read them. A page takes some hundred KB until it has
// been read, and compressed by the method that its client chooses some MB.
func Handler(reg *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: maxCollections, DisableCompression: true})
}
