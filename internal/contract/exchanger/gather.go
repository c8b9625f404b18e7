package exchanger

import (
	"fmt"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Gather asks a daemon to gather the answers of shards to one query, and to merge them.
type Gather struct {
	// Version is the version of the desired state that declares the route called Route.
	// Definition is that route, when the daemon that gathers may not have the version.
	Version    uint64          `json:"version"`
	Route      string          `json:"route"`
	Definition *declarer.Route `json:"definition,omitempty"`
	// Shards holds the indexes, in the route, of the shards to gather; empty means all.
	Shards []int `json:"shards,omitempty"`
	// Attempts is the number of attempts a shard that a Permit may allow, at least 1.
	Attempts int `json:"attempts"`
	// Needed is the number of shards without which the answer is of no use: further attempts
	// for the others are left out first. Goal is the time left until the parts that are there
	// are sent, without the way between the daemons; those that arrive later follow one by one.
	Needed int           `json:"needed"`
	Goal   time.Duration `json:"goal"`
	// Remaining is the time left until the client's deadline.
	Remaining time.Duration `json:"remaining"`

	// Admitted is true when a daemon has accepted other shards of the query: it is not refused for lack of room.
	Admitted bool `json:"admitted,omitempty"`

	// The client's request: see forwarder.Request.
	Request string      `json:"request"`
	Method  string      `json:"method"`
	Host    string      `json:"host"`
	Target  string      `json:"target"`
	Header  http.Header `json:"header,omitempty"`
	// Account is the name of the client account, empty when there is none. Priority is the account's; nil means the
	// route's.
	Account  string `json:"account,omitempty"`
	Priority *int   `json:"priority,omitempty"`
	Body     []byte `json:"body,omitempty"`
	HasBody  bool   `json:"hasbody,omitempty"`
}

// Check validates the request. It returns the first error, or nil.
func (g *Gather) Check() error {
	switch {
	case g.Definition == nil && g.Route == "":
		return &declarer.FieldError{Field: "route", Reason: "want a name"}
	case g.Remaining <= 0:
		return &declarer.FieldError{Field: "remaining", Reason: fmt.Sprintf("want a time above 0, got %s", g.Remaining)}
	case g.Method == "" || g.Target == "":
		return &declarer.FieldError{Field: "method", Reason: "want a method and a target"}
	case g.Attempts < 1:
		return &declarer.FieldError{Field: "attempts", Reason: fmt.Sprintf("want 1 or more, got %d", g.Attempts)}
	case g.Needed < 0:
		return &declarer.FieldError{Field: "needed", Reason: fmt.Sprintf("want 0 or more, got %d", g.Needed)}
	}
	if g.Definition == nil {
		return nil
	}
	if err := g.Definition.Check(); err != nil {
		return err
	}
	return g.CheckShards(len(g.Definition.Shards))
}

// CheckShards validates the indexes of the shards against the route's number of shards.
func (g *Gather) CheckShards(n int) error {
	seen := make(map[int]bool, len(g.Shards))
	for _, i := range g.Shards {
		if i < 0 || i >= n || seen[i] {
			return &declarer.FieldError{Field: "shards", Reason: fmt.Sprintf("want different indexes below %d, got %v", n, g.Shards)}
		}
		seen[i] = true
	}
	return nil
}

// Permit is a message of the daemon that asked, after the first. It lets the one that gathers use all
// attempts of the route: until then the latter makes one attempt a shard, since the former asks another
// daemon, which uses the other attempts, when it does not learn that its request was accepted.
type Permit struct {
	Attempts int `json:"attempts,omitempty"`
	// Stop is true when the answer so far is enough: the daemon that gathers ends with it.
	Stop bool `json:"stop,omitempty"`
}

// Gathered is a message of a daemon that gathers: first that it accepts or refuses the request, then
// one or more parts of the answer, which are merged by adding them up.
type Gathered struct {
	// Accepted is true in the first message. Refused is the reason for a refusal: nothing was run.
	Accepted bool       `json:"accepted,omitempty"`
	Refused  GatherCode `json:"refused,omitempty"`
	// Held is the time from the request's arrival to its acceptance, in the first message.
	Held time.Duration `json:"held,omitempty"`
	// RetryAfter is the time after which there will be room, with the code Overloaded.
	RetryAfter time.Duration `json:"retry,omitempty"`

	// Parts are the shards whose answers are merged into Records, none of them in an earlier
	// message: their indexes in the route and the searchers' signatures.
	Parts   []Part `json:"parts,omitempty"`
	Records []byte `json:"records,omitempty"`
	// Missing holds the shards that will be in no message.
	Missing []Missing `json:"missing,omitempty"`
	// Final is true in the last message.
	Final bool `json:"final,omitempty"`
	// MayHaveRun is true when a searcher may have run the request.
	MayHaveRun bool `json:"run,omitempty"`
	// Sends is the number of requests sent to searchers, in the last message.
	Sends int `json:"sends,omitempty"`
}

// GatherCode is the reason for which a daemon refuses to gather.
type GatherCode string

// Reasons for refusals.
const (
	// WrongVersion: the daemon does not have the desired state, and got no definition.
	WrongVersion GatherCode = "version"
	// NotReady: the daemon has no desired state or no searchers yet.
	NotReady GatherCode = "notready"
	// Leaving: the daemon shuts down.
	Leaving GatherCode = "leaving"
	// Busy: the daemon gathers too many queries already.
	Busy GatherCode = "busy"
	// Overloaded: the searchers have no room for the query.
	Overloaded GatherCode = "overloaded"
)

// Refusal is the reason for which a daemon refuses to gather, and with the code Overloaded the time after which there will be
// room. An empty code means no refusal.
type Refusal struct {
	Code       GatherCode
	RetryAfter time.Duration
}

// Part is one shard's part of a merged answer.
type Part struct {
	Shard int    `json:"s"`
	Stamp string `json:"t"`
}

// Missing is a shard without a part, and the number of attempts that are left for it.
type Missing struct {
	Shard    int `json:"s"`
	Attempts int `json:"n,omitempty"`
}

// Check validates the message. It returns the first error, or nil.
func (g *Gathered) Check() error {
	if g.RetryAfter < 0 {
		return &declarer.FieldError{Field: "retry", Reason: fmt.Sprintf("want a time of 0 or more, got %s", g.RetryAfter)}
	}
	seen := make(map[int]bool, len(g.Parts)+len(g.Missing))
	for _, p := range g.Parts {
		if p.Shard < 0 || seen[p.Shard] || p.Stamp == "" {
			return &declarer.FieldError{Field: "parts", Reason: "want different shards, each with a signature"}
		}
		seen[p.Shard] = true
	}
	for _, m := range g.Missing {
		if m.Shard < 0 || seen[m.Shard] || m.Attempts < 0 {
			return &declarer.FieldError{Field: "missing", Reason: "want different shards without a part, each with 0 or more attempts left"}
		}
		seen[m.Shard] = true
	}
	return nil
}
