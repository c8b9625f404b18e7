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
	maxTop      = 10_000
)

// Routing is the desired state of an entry daemon: which requests it takes, and
// which services answer them. A version is immutable; the higher one holds.
type Routing struct {
	Version  uint64          `json:"version"`
	Routes   []Route         `json:"routes"`
	Services []ServiceLimits `json:"services,omitempty"`
	Limits   RequestLimits   `json:"limits"`
}

// Route declares the requests of one host below one path prefix. Exactly one of
// Targets and Shards is set.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout bounds how long a request is kept waiting; 0 means no bound of the route's own.
	Timeout Duration `json:"timeout"`
	// LatencyGoal is the time within which an answer has its full worth; 0 means none.
	LatencyGoal Duration `json:"goal"`
	// Attempts is the largest number of upstreams that may run one request; for a
	// query it holds for each shard.
	Attempts int `json:"attempts"`
	// Priority is the rank of the route; 0 is served first.
	Priority int `json:"priority"`
	// Targets are the services that share single requests.
	Targets []Target `json:"targets,omitempty"`
	// Shards are the services that each hold one part of the answer to a query.
	Shards []string `json:"shards,omitempty"`
	// TopK is the number of records in the answer to a query.
	TopK int `json:"top,omitempty"`
	// Coverage is the least share of the shards in a successful answer, 0 to 1.
	Coverage float64 `json:"coverage,omitempty"`
}

// Target is one service of a route and its share of the requests.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// ServiceLimits is what the searchers of one service bear.
type ServiceLimits struct {
	Name string `json:"name"`
	// Connections is the number of connections that a searcher accepts from all
	// daemons together; 0 means not stated.
	Connections int `json:"connections,omitempty"`
	// ColdRate is the number of requests a second that a cold searcher bears from
	// all daemons together; 0 means not stated.
	ColdRate float64 `json:"coldrate,omitempty"`
}

// RequestLimits bound what a client may send; 0 means not stated.
type RequestLimits struct {
	HeaderBytes   int      `json:"header,omitempty"`
	BodyBytes     int64    `json:"body,omitempty"`
	HeaderTimeout Duration `json:"headertime,omitempty"`
	IdleTimeout   Duration `json:"idletime,omitempty"`
}

// Check returns every fault of the routing as joined FieldErrors, or nil.
func (r *Routing) Check() error {
	var f faults
	if r.Version == 0 {
		f.addf("version", "want above 0")
	}
	if len(r.Routes) > maxRoutes {
		f.addf("routes", "want at most %d, got %d", maxRoutes, len(r.Routes))
	}
	for i := range r.Routes {
		r.Routes[i].check(&f, fmt.Sprintf("routes[%d]", i))
	}
	return f.join()
}

// Check returns every fault of the route as joined FieldErrors, or nil.
func (r *Route) Check() error {
	var f faults
	r.check(&f, "route")
	return f.join()
}

func (r *Route) check(f *faults, at string) {
	if r.Host == "" {
		f.addf(at+".host", "want a host name")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		f.addf(at+".prefix", "want a path that begins and ends with a slash, got %q", r.Prefix)
	}
	if r.Attempts < 1 || r.Attempts > maxAttempts {
		f.addf(at+".attempts", "want 1 to %d, got %d", maxAttempts, r.Attempts)
	}
	if r.Timeout.Duration < 0 || r.LatencyGoal.Duration < 0 {
		f.addf(at+".timeout", "want no negative times, got %s and %s", r.Timeout, r.LatencyGoal)
	}
	if (len(r.Targets) == 0) == (len(r.Shards) == 0) {
		f.addf(at, "want either targets or shards")
	}
	r.checkTargets(f, at)
	r.checkShards(f, at)
}

func (r *Route) checkTargets(f *faults, at string) {
	for i, t := range r.Targets {
		if t.Service == "" || t.Weight < 0 {
			f.addf(fmt.Sprintf("%s.targets[%d]", at, i), "want a service and a weight of 0 or more, got %q and %g", t.Service, t.Weight)
		}
	}
}

func (r *Route) checkShards(f *faults, at string) {
	if len(r.Shards) == 0 {
		return
	}
	if !r.Idempotent {
		f.addf(at+".idempotent", "want true for a query over shards")
	}
	if r.TopK < 1 || r.TopK > maxTop {
		f.addf(at+".top", "want 1 to %d, got %d", maxTop, r.TopK)
	}
	if r.Coverage < 0 || r.Coverage > 1 {
		f.addf(at+".coverage", "want 0 to 1, got %g", r.Coverage)
	}
}

// RequiredShards returns the number of shards that a successful answer needs, 1 or more.
func (r *Route) RequiredShards() int {
	for n := 1; n < len(r.Shards); n++ {
		if float64(n)/float64(len(r.Shards)) >= r.Coverage {
			return n
		}
	}
	return len(r.Shards)
}

// EffectiveTimeout returns how long a request may be kept waiting, when the client waits
// for patience (0 means that the client names no time).
func (r *Route) EffectiveTimeout(patience time.Duration) time.Duration {
	switch {
	case patience <= 0:
		return r.Timeout.Duration
	case r.Timeout.Duration <= 0:
		return patience
	default:
		return min(patience, r.Timeout.Duration)
	}
}
