package declarer

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of declared routes.
const (
	maxRoutes   = 4096
	maxAttempts = 16
	maxTopK     = 10_000
)

// Routing is the desired state of an entry daemon: which requests it accepts, and
// which services answer them. A version is immutable; the highest one is current.
type Routing struct {
	Version  uint64          `json:"version"`
	Routes   []Route         `json:"routes"`
	Services []ServiceLimits `json:"services,omitempty"`
	Limits   RequestLimits   `json:"limits"`
	// Accounts are the client accounts. When there is at least one, a request needs the key of one of them unless its
	// route is public.
	Accounts []Account `json:"accounts,omitempty"`
}

// Route declares the requests of one host below one path prefix. Exactly one of
// Targets and Shards is set.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Idempotent is true when a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout bounds how long a request may wait for its answer; 0 means that the route sets no bound.
	Timeout Duration `json:"timeout"`
	// LatencyGoal is the latency up to which an answer has its full value; 0 means none.
	LatencyGoal Duration `json:"goal"`
	// Attempts is the largest number of upstreams that may run one request; for a
	// query it holds for each shard.
	Attempts int `json:"attempts"`
	// Priority is the rank of the route; requests of rank 0 are served first.
	Priority int `json:"priority"`
	// Public is true when requests need no key.
	Public bool `json:"public,omitempty"`
	// Targets are the services among which single requests are divided.
	Targets []Target `json:"targets,omitempty"`
	// Shards are the services that each hold one part of the answer to a query.
	Shards []string `json:"shards,omitempty"`
	// TopK is the largest number of records in the answer to a query.
	TopK int `json:"top,omitempty"`
	// Coverage is the least fraction of the shards in a successful answer, 0 to 1.
	Coverage float64 `json:"coverage,omitempty"`
}

// Target is one service of a route and its weight in dividing the requests.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// ServiceLimits holds the limits of each searcher of one service.
type ServiceLimits struct {
	Name string `json:"name"`
	// Connections is the number of connections that a searcher accepts from all
	// daemons together; 0 means unspecified.
	Connections int `json:"connections,omitempty"`
	// ColdRate is the number of requests per second that a cold searcher can serve for
	// all daemons together; 0 means unspecified.
	ColdRate float64 `json:"coldrate,omitempty"`
}

// RequestLimits bounds the size and the time of client requests; 0 means unspecified.
type RequestLimits struct {
	HeaderBytes   int      `json:"header,omitempty"`
	BodyBytes     int64    `json:"body,omitempty"`
	HeaderTimeout Duration `json:"headertime,omitempty"`
	IdleTimeout   Duration `json:"idletime,omitempty"`
}

// Check validates the routing. It returns every invalid field as joined FieldErrors, or nil.
func (r *Routing) Check() error {
	var f validationErrors
	if r.Version == 0 {
		f.addf("version", "want a version above 0")
	}
	if len(r.Routes) > maxRoutes {
		f.addf("routes", "want at most %d routes, got %d", maxRoutes, len(r.Routes))
	}
	for i := range r.Routes {
		r.Routes[i].check(&f, fmt.Sprintf("routes[%d]", i))
	}
	return f.join()
}

// Check validates the route. It returns every invalid field as joined FieldErrors, or nil.
func (r *Route) Check() error {
	var f validationErrors
	r.check(&f, "route")
	return f.join()
}

func (r *Route) check(f *validationErrors, path string) {
	if r.Host == "" {
		f.addf(path+".host", "want a host name")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		f.addf(path+".prefix", "want a path that begins and ends with a slash, got %q", r.Prefix)
	}
	if r.Attempts < 1 || r.Attempts > maxAttempts {
		f.addf(path+".attempts", "want 1 to %d, got %d", maxAttempts, r.Attempts)
	}
	if r.Timeout.Duration < 0 || r.LatencyGoal.Duration < 0 {
		f.addf(path+".timeout", "want a timeout and a goal of 0 or more, got %s and %s", r.Timeout, r.LatencyGoal)
	}
	if (len(r.Targets) == 0) == (len(r.Shards) == 0) {
		f.addf(path, "want either services to choose from or the shards of a query: exactly one of the two")
	}
	r.checkTargets(f, path)
	r.checkShards(f, path)
}

func (r *Route) checkTargets(f *validationErrors, path string) {
	for i, t := range r.Targets {
		if t.Service == "" || t.Weight < 0 {
			f.addf(fmt.Sprintf("%s.targets[%d]", path, i), "want a service name and a weight of 0 or more, got %q and %g", t.Service, t.Weight)
		}
	}
}

func (r *Route) checkShards(f *validationErrors, path string) {
	if len(r.Shards) == 0 {
		return
	}
	if !r.Idempotent {
		f.addf(path+".idempotent", "want a route whose requests may be repeated, for a query over shards")
	}
	if r.TopK < 1 || r.TopK > maxTopK {
		f.addf(path+".top", "want 1 to %d, got %d", maxTopK, r.TopK)
	}
	if r.Coverage < 0 || r.Coverage > 1 {
		f.addf(path+".coverage", "want 0 to 1, got %g", r.Coverage)
	}
}

// RequiredShards returns the number of shards that a successful answer needs, at least 1.
func (r *Route) RequiredShards() int {
	for n := 1; n < len(r.Shards); n++ {
		if float64(n)/float64(len(r.Shards)) >= r.Coverage {
			return n
		}
	}
	return len(r.Shards)
}

// EffectiveTimeout returns how long a request may wait for its answer: the smaller of
// the route's timeout and clientTimeout, each of which may be 0 for none.
func (r *Route) EffectiveTimeout(clientTimeout time.Duration) time.Duration {
	switch {
	case clientTimeout <= 0:
		return r.Timeout.Duration
	case r.Timeout.Duration <= 0:
		return clientTimeout
	default:
		return min(clientTimeout, r.Timeout.Duration)
	}
}
