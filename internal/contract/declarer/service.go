package declarer

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Bounds of declared values.
const (
	maxNameBytes   = 64
	maxPriority    = 9
	maxSlots       = 1024
	maxConnections = 4096
	maxShards      = 4096
	maxDeadline    = 60 * time.Second
)

// Class determines whether requests to a service may be repeated.
type Class string

// Classes of services.
const (
	// Search is the class of services whose requests only read: they are scattered
	// over all shards, and may be retried and hedged.
	Search Class = "search"
	// Action is the class of services that answer queries like Search ones, and also
	// accept requests that change state at one upstream; each of those runs at most once.
	Action Class = "action"
)

// Service declares one service: its contract with callers, the capacity of its
// upstreams, and the placement of its shards.
type Service struct {
	Name     string   `json:"name"`
	Class    Class    `json:"class"`
	Contract Contract `json:"contract"`
	Capacity Capacity `json:"capacity"`
	// Maps holds shard maps, oldest first. Snapshot version v uses the last map whose
	// FromVersion is at most v.
	Maps []ShardMap `json:"maps"`
	// Out names the upstreams that operators have taken out of service.
	Out []string `json:"out,omitempty"`
}

// Contract holds the deadline and the service level objectives of a service.
type Contract struct {
	// Deadline applies to a query that has no deadline of its own.
	Deadline Duration `json:"deadline"`
	// Latency is the latency objective for the fraction Quantile of the answers.
	Latency Duration `json:"latency"`
	// Quantile is the fraction of answers within Latency, above 0 and below 1.
	Quantile float64 `json:"quantile"`
	// Coverage is the fraction of shards that an answer must merge to meet the objective.
	Coverage float64 `json:"coverage"`
	// Priority orders load shedding: 0 is shed first, 9 last.
	Priority int `json:"priority"`
	// Hedge allows hedges of slow sub-requests and retries of failed ones.
	Hedge bool `json:"hedge"`
}

// Capacity holds the limits of each upstream of a service.
type Capacity struct {
	// Slots is the number of requests that a warm upstream runs at once.
	Slots int `json:"slots"`
	// ColdSlots is the number of requests that a cold upstream runs at once.
	ColdSlots int `json:"cold"`
	// Connections is the number of connections that an upstream accepts.
	Connections int `json:"connections"`
}

// ShardMap is the placement of the shards from one snapshot version on.
type ShardMap struct {
	FromVersion uint64  `json:"from"`
	Shards      []Shard `json:"shards"`
}

// Shard is one partition of a service's records and its replica set.
type Shard struct {
	ID       int        `json:"id"`
	Replicas []Upstream `json:"replicas"`
}

// Upstream is one searcher.
type Upstream struct {
	Name string         `json:"name"`
	Addr netip.AddrPort `json:"addr"`
	Zone string         `json:"zone"`
}

// Check validates the service. It returns every invalid field as joined FieldErrors, or nil.
func (s *Service) Check() error {
	var f validationErrors
	checkName(&f, "name", s.Name)
	if s.Class != Search && s.Class != Action {
		f.addf("class", "want %q or %q, got %q", Search, Action, s.Class)
	}
	s.Contract.check(&f)
	s.Capacity.check(&f)
	s.checkMaps(&f)
	s.checkOut(&f)
	return f.join()
}

// MapFor returns the shard map that snapshot version v uses, or false when v is
// older than every map.
func (s *Service) MapFor(v uint64) (*ShardMap, bool) {
	for i := len(s.Maps) - 1; i >= 0; i-- {
		if s.Maps[i].FromVersion <= v {
			return &s.Maps[i], true
		}
	}
	return nil, false
}

// Upstreams returns each upstream of the service once, in the order in which the
// shard maps first list them.
func (s *Service) Upstreams() []Upstream {
	seen := make(map[string]bool)
	var upstreams []Upstream
	for _, m := range s.Maps {
		for _, sh := range m.Shards {
			for _, u := range sh.Replicas {
				if seen[u.Name] {
					continue
				}
				seen[u.Name] = true
				upstreams = append(upstreams, u)
			}
		}
	}
	return upstreams
}

// IsOut reports whether operators have taken the named upstream out of service.
func (s *Service) IsOut(upstream string) bool {
	return slices.Contains(s.Out, upstream)
}

func (c *Contract) check(f *validationErrors) {
	if c.Deadline.Duration <= 0 || c.Deadline.Duration > maxDeadline {
		f.addf("contract.deadline", "want above 0 and at most %s, got %s", maxDeadline, c.Deadline)
	}
	if c.Latency.Duration <= 0 || c.Latency.Duration > c.Deadline.Duration {
		f.addf("contract.latency", "want above 0 and at most the deadline, got %s", c.Latency)
	}
	if !(c.Quantile > 0 && c.Quantile < 1) {
		f.addf("contract.quantile", "want above 0 and below 1, got %v", c.Quantile)
	}
	if !(c.Coverage > 0 && c.Coverage <= 1) {
		f.addf("contract.coverage", "want above 0 and at most 1, got %v", c.Coverage)
	}
	if c.Priority < 0 || c.Priority > maxPriority {
		f.addf("contract.priority", "want 0 to %d, got %d", maxPriority, c.Priority)
	}
}

func (c *Capacity) check(f *validationErrors) {
	if c.Slots < 1 || c.Slots > maxSlots {
		f.addf("capacity.slots", "want 1 to %d, got %d", maxSlots, c.Slots)
	}
	if c.ColdSlots < 1 || c.ColdSlots > c.Slots {
		f.addf("capacity.cold", "want 1 to the number of slots, got %d", c.ColdSlots)
	}
	if c.Connections < c.Slots || c.Connections > maxConnections {
		f.addf("capacity.connections", "want the number of slots to %d, got %d", maxConnections, c.Connections)
	}
}

func (s *Service) checkMaps(f *validationErrors) {
	if len(s.Maps) == 0 {
		f.addf("maps", "want at least one shard map")
	}
	declared := make(map[string]Upstream)
	for i := range s.Maps {
		field := fmt.Sprintf("maps[%d]", i)
		if i > 0 && s.Maps[i].FromVersion <= s.Maps[i-1].FromVersion {
			f.addf(field+".from", "want above %d, the version of the previous map, got %d", s.Maps[i-1].FromVersion, s.Maps[i].FromVersion)
		}
		s.Maps[i].check(f, field, declared)
	}
}

func (m *ShardMap) check(f *validationErrors, field string, declared map[string]Upstream) {
	if len(m.Shards) == 0 || len(m.Shards) > maxShards {
		f.addf(field+".shards", "want 1 to %d shards, got %d", maxShards, len(m.Shards))
	}
	ids := make(map[int]bool)
	for i, sh := range m.Shards {
		path := fmt.Sprintf("%s.shards[%d]", field, i)
		if sh.ID < 0 {
			f.addf(path+".id", "want 0 or more, got %d", sh.ID)
		}
		if ids[sh.ID] {
			f.addf(path+".id", "shard %d is listed twice", sh.ID)
		}
		ids[sh.ID] = true
		if len(sh.Replicas) == 0 {
			f.addf(path+".replicas", "want at least one upstream")
		}
		for j, u := range sh.Replicas {
			u.check(f, fmt.Sprintf("%s.replicas[%d]", path, j), declared)
		}
	}
}

func (u Upstream) check(f *validationErrors, field string, declared map[string]Upstream) {
	checkName(f, field+".name", u.Name)
	checkName(f, field+".zone", u.Zone)
	if !u.Addr.IsValid() || u.Addr.Port() == 0 {
		f.addf(field+".addr", "want an IP address and port, got %q", u.Addr)
	}
	if previous, ok := declared[u.Name]; ok && previous != u {
		f.addf(field, "upstream %q is declared twice, with different addresses or zones", u.Name)
	}
	declared[u.Name] = u
}

func (s *Service) checkOut(f *validationErrors) {
	upstreams := s.Upstreams()
	for i, name := range s.Out {
		if !slices.ContainsFunc(upstreams, func(u Upstream) bool { return u.Name == name }) {
			f.addf(fmt.Sprintf("out[%d]", i), "upstream %q is not declared", name)
		}
	}
}

// checkName accepts lower-case letters, digits, '-' and '.', of which the first is
// a letter or digit: names are elements of URL paths, where "." and ".." have
// another meaning.
func checkName(f *validationErrors, field, name string) {
	if name == "" || len(name) > maxNameBytes {
		f.addf(field, "want a name of 1 to %d bytes, got %d", maxNameBytes, len(name))
		return
	}
	if i := strings.IndexFunc(name, isInvalidNameRune); i >= 0 {
		f.addf(field, "want lower-case letters, digits, '-' and '.', got %q", name)
		return
	}
	if name[0] == '-' || name[0] == '.' {
		f.addf(field, "want a letter or digit first, got %q", name)
	}
}

func isInvalidNameRune(r rune) bool {
	isLetter := r >= 'a' && r <= 'z'
	isDigit := r >= '0' && r <= '9'
	return !isLetter && !isDigit && r != '-' && r != '.'
}
