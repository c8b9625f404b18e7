package gauger

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// maxCollections bounds the pages of metrics that are made or sent at once: a few collectors call every some seconds.
const maxCollections = 4

// Handler serves the metrics of a registry, and counts the calls that are refused because too many pages are made or sent.
//
// Load pattern: clients that ask for the metrics again and again and do not read them. A page takes some hundred KB until it has
// been read, and compressed by the method that its client chooses some MB.
func Handler(reg *prometheus.Registry) http.Handler {
	refused := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cornelwood_metrics_refused_total", Help: "Calls for the metrics that were refused because too many were being answered.",
	})
	reg.MustRegister(refused)
	pages := make(chan struct{}, maxCollections)
	h := promhttp.HandlerFor(reg, promhttp.HandlerOpts{DisableCompression: true})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case pages <- struct{}{}:
			defer func() { <-pages }()
			h.ServeHTTP(w, r)
		default:
			refused.Inc()
			http.Error(w, "too many pages of metrics are being sent", http.StatusServiceUnavailable)
		}
	})
}
