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

// changeTimeout bounds the work on one change, its settling included.
const changeTimeout = 8 * time.Second

// Platform is the part of the object API that changes need.
type Platform interface {
	Get(ctx context.Context, key declarer.Key) (declarer.Object, error)
	// Put writes an object whose version is expect, 0 when it must not exist.
	Put(ctx context.Context, o declarer.Object, expect uint64) (version uint64, err error)
}

// Fleet is the control goroutine of this daemon.
type Fleet interface {
	// Accept puts an accepted object in force and tells peers.
	Accept(ctx context.Context, o declarer.Object) error
	Status(ctx context.Context) (reconciler.Status, error)
}

// Views gives the view in force at this daemon.
type Views interface {
	View() *viewer.View
}

// Commander is the handler of the operators' calls.
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

// call serves one call: it returns a status and a body, or an error that is
// most often a *answerer.RefusalError.
type call func(r *http.Request) (status int, body any, err error)

// methods maps the methods of a path to their calls.
type methods map[string]call

func (c *Commander) routes() {
	c.route("/v1/services", methods{"GET": c.listServices, "POST": c.createService})
	c.route("/v1/services/{name}", methods{"GET": c.showService, "PUT": c.changeService, "DELETE": c.deleteService})
	c.route("/v1/services/{name}/contract", methods{"POST": c.setContract})
	c.route("/v1/services/{name}/upstreams/{upstream}/out", methods{"POST": c.takeUpstream(true)})
	c.route("/v1/services/{name}/upstreams/{upstream}/in", methods{"POST": c.takeUpstream(false)})
	c.route("/v1/zones", methods{"GET": c.listZones, "POST": c.createZone})
	c.route("/v1/zones/{name}", methods{"GET": c.showZone, "PUT": c.changeZone, "DELETE": c.deleteZone})
	c.route("/v1/zones/{name}/out", methods{"POST": c.takeZone(true)})
	c.route("/v1/zones/{name}/in", methods{"POST": c.takeZone(false)})
	c.route("/v1/changes/{kind}/{name}/{change}", methods{"GET": c.showChange, "POST": c.settleChange})
	c.route("/v1/status", methods{"GET": c.status})
	c.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		c.reply(w, 0, nil, refuse(answerer.CodeNotFound, "", "no call has the path "+r.URL.Path))
	})
}

func (c *Commander) route(pattern string, ms methods) {
	c.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		fn, ok := ms[r.Method]
		if !ok {
			c.reply(w, 0, nil, refuse(answerer.CodeBadMethod, "", "the path does not serve "+r.Method))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		status, body, err := fn(r)
		c.reply(w, status, body, err)
	})
}

// status shows the fleet as this daemon sees it.
func (c *Commander) status(r *http.Request) (int, any, error) {
	s, err := c.fleet.Status(r.Context())
	if err != nil {
		return 0, nil, refuse(answerer.CodeOverloaded, "", "the control goroutine gave no status: "+err.Error())
	}
	return http.StatusOK, s, nil
}

// reply writes the outcome of a call.
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
