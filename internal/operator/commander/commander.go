package commander

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/reconciler"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/time/sleeper"
	"cornelwood.example/internal/web/decoder"
)

// changeTimeout bounds the work on one change, including settling it.
const changeTimeout = 8 * time.Second

// Platform is the part of the object API that changes need.
type Platform interface {
	// Get reads an object. It fails with a *storer.NotFoundError when there is none.
	Get(ctx context.Context, key declarer.Key) (declarer.Object, error)
	// Put writes an object whose stored version is expect, 0 when it must not exist, and returns the new version. It
	// fails with a *storer.ConflictError when the stored version is another.
	Put(ctx context.Context, o declarer.Object, expect uint64) (version uint64, err error)
}

// Fleet is the control goroutine of this daemon.
type Fleet interface {
	// Accept applies an accepted object at this daemon and sends it to peers.
	Accept(ctx context.Context, o declarer.Object) error
	// Status returns the state of the fleet as this daemon has it.
	Status(ctx context.Context) (reconciler.Status, error)
}

// Views returns the current view of this daemon.
type Views interface {
	View() *viewer.View
}

// Commander is the HTTP handler of the operators' calls.
type Commander struct {
	platform Platform
	fleet    Fleet
	views    Views
	log      hclog.Logger
	metrics  *Metrics
	mux      *http.ServeMux
	// pause waits between attempts.
	pause func(ctx context.Context, d time.Duration) error
}

// New returns a Commander.
func New(platform Platform, fleet Fleet, views Views, log hclog.Logger, metrics *Metrics) *Commander {
	c := &Commander{
		platform: platform,
		fleet:    fleet,
		views:    views,
		log:      log,
		metrics:  metrics,
		mux:      http.NewServeMux(),
		pause:    sleeper.Sleep,
	}
	c.routes()
	return c
}

// ServeHTTP serves one call.
func (c *Commander) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mux.ServeHTTP(w, r)
}

// handler serves one call. It returns an HTTP status and a body, or an error: a *answerer.RefusalError, or any other when
// the platform fails.
type handler func(r *http.Request) (status int, body any, err error)

// methods maps the HTTP methods of a path to their handlers.
type methods map[string]handler

// routes registers the handlers of all paths.
func (c *Commander) routes() {
	c.route("/v1/services", methods{"GET": c.listServices, "POST": c.createService})
	c.route("/v1/services/{name}", methods{"GET": c.showService, "PUT": c.changeService, "DELETE": c.deleteService})
	c.route("/v1/services/{name}/contract", methods{"POST": c.setContract})
	c.route("/v1/services/{name}/upstreams/{upstream}/out", methods{"POST": c.setUpstreamOut(true)})
	c.route("/v1/services/{name}/upstreams/{upstream}/in", methods{"POST": c.setUpstreamOut(false)})
	c.route("/v1/zones", methods{"GET": c.listZones, "POST": c.createZone})
	c.route("/v1/zones/{name}", methods{"GET": c.showZone, "PUT": c.changeZone, "DELETE": c.deleteZone})
	c.route("/v1/zones/{name}/out", methods{"POST": c.setZoneOut(true)})
	c.route("/v1/zones/{name}/in", methods{"POST": c.setZoneOut(false)})
	c.route("/v1/changes/{kind}/{name}/{change}", methods{"GET": c.showChange, "POST": c.settleChange})
	c.route("/v1/status", methods{"GET": c.status})
	c.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		c.reply(w, 0, nil, refuse(answerer.CodeNotFound, "", "no endpoint has the path "+r.URL.Path))
	})
}

// route registers the handlers of a path.
func (c *Commander) route(pattern string, ms methods) {
	c.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		fn, ok := ms[r.Method]
		if !ok {
			c.reply(w, 0, nil, refuse(answerer.CodeBadMethod, "", "the path does not support the method "+r.Method))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		status, body, err := fn(r)
		c.reply(w, status, body, err)
	})
}

// status returns the state of the fleet as this daemon has it.
func (c *Commander) status(r *http.Request) (int, any, error) {
	s, err := c.fleet.Status(r.Context())
	if err != nil {
		return 0, nil, refuse(answerer.CodeOverloaded, "", "the control goroutine returned no status: "+err.Error())
	}
	return http.StatusOK, s, nil
}

// reply writes the answer to a call: the body, or the refusal that err holds. Another error becomes a refusal with the
// code no_platform.
func (c *Commander) reply(w http.ResponseWriter, status int, body any, err error) {
	if err == nil {
		decoder.Write(w, status, body)
		return
	}
	var re *answerer.RefusalError
	if !errors.As(err, &re) {
		re = refuse(answerer.CodeNoPlatform, "", err.Error())
	}
	c.metrics.refusals.WithLabelValues(string(re.Code)).Inc()
	decoder.Write(w, re.Status(), re)
}

// refuse returns a refusal of a call that was not run.
func refuse(code answerer.Code, field, reason string) *answerer.RefusalError {
	return &answerer.RefusalError{Code: code, Field: field, Reason: reason, Outcome: answerer.NotRun}
}
