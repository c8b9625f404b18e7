package recorder

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
)

// Bounds of what is kept.
const (
	// maxServices bounds the services; the one that is idle longest makes room.
	maxServices = 1024
	// maxUnknown bounds the names that were refused before any contract was known:
	// callers make them up.
	maxUnknown   = 64
	maxNameBytes = 64
)

// Recorder counts queries by service and minute. Its methods may be called from
// any goroutine.
type Recorder struct {
	now   func() time.Time
	start time.Time
	// services is copied on each change, so that traffic takes no common lock.
	services  atomic.Pointer[map[string]*service]
	untracked atomic.Uint64

	// mu guards changes of services and closed.
	mu     sync.Mutex
	closed bool
}

// service is what is kept of one service.
type service struct {
	mu   sync.Mutex
	ring ring
	// newest is the last minute written.
	newest int
	// contract is the one of the last record; nil while none is known.
	contract *Objectives
}

// New returns a Recorder that reads the time from now, and a function that frees
// what it holds; what is recorded afterwards is dropped.
func New(now func() time.Time) (*Recorder, func()) {
	r := &Recorder{now: now, start: now()}
	r.services.Store(&map[string]*service{})
	return r, r.close
}

// Record counts one answered query. latency is as measured at this daemon;
// coverage is the share of shards merged, 0 to 1.
func (r *Recorder) Record(name string, contract declarer.Contract, latency time.Duration, coverage float64) {
	s := r.service(name, &contract)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(&contract)
	c := s.minute(r.minute())
	raise(&c.Total, 1)
	if latency > contract.Latency.Duration {
		raise(&c.Slow, 1)
	}
	if coverage < contract.Coverage {
		raise(&c.Partial, 1)
	}
}

// RecordRefusal counts one refused query when the code is the service's fault, and
// nothing otherwise.
func (r *Recorder) RecordRefusal(name string, code answerer.Code) {
	r.refuse(name, code, nil)
}

// refuse counts a refusal; contract is nil when the daemon knows none.
func (r *Recorder) refuse(name string, code answerer.Code, contract *declarer.Contract) {
	if !IsFault(code) {
		return
	}
	s := r.service(name, contract)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(contract)
	c := s.minute(r.minute())
	raise(&c.Total, 1)
	raise(&c.Refused, 1)
}

// IsFault reports whether a refusal with the code is the service's fault and not
// the caller's.
func IsFault(code answerer.Code) bool {
	switch code {
	case answerer.CodeOverloaded, answerer.CodeNoSnapshot, answerer.CodeDeadline,
		answerer.CodeNoConfig, answerer.CodeLeaving, answerer.CodeInternal:
		return true
	default:
		return false
	}
}

// Series returns what is kept, services ordered by name.
func (r *Recorder) Series() *Series {
	services := *r.services.Load()
	now := r.minute()
	for _, s := range services {
		newest, _ := s.state()
		now = max(now, newest)
	}
	out := &Series{
		Recorded:  declarer.Duration{Duration: max(r.now().Sub(r.start), time.Duration(now)*time.Minute)},
		Untracked: r.untracked.Load(),
		Services:  []ServiceSeries{},
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		if one := services[name].series(name, now); len(one.Buckets) > 0 {
			out.Services = append(out.Services, one)
		}
	}
	return out
}

// series returns the series of a service, seen from the minute now.
func (s *service) series(name string, now int) ServiceSeries {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceSeries{Name: name, Contract: s.contract, Buckets: s.ring.buckets(now)}
}

// minute returns the number of whole minutes since the start.
func (r *Recorder) minute() int {
	return int(max(0, r.now().Sub(r.start)) / time.Minute)
}

// minute returns the counts of the minute now, or of the newest one when the
// clock went back.
func (s *service) minute(now int) *Counts {
	s.newest = max(s.newest, now)
	return s.ring.at(s.newest)
}

// adopt keeps the objectives of a contract, for the report.
func (s *service) adopt(c *declarer.Contract) {
	if c == nil {
		return
	}
	next := Objectives{Latency: c.Latency, Quantile: c.Quantile, Coverage: c.Coverage}
	if s.contract == nil || *s.contract != next {
		s.contract = &next
	}
}

// service returns a service, which is added when it is new, or nil when there is
// no room for it.
func (r *Recorder) service(name string, contract *declarer.Contract) *service {
	if s := (*r.services.Load())[name]; s != nil {
		return s
	}
	s := r.add(name, contract != nil)
	if s == nil {
		r.untracked.Add(1)
	}
	return s
}

func (r *Recorder) add(name string, known bool) *service {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.services.Load()
	if s := old[name]; s != nil {
		return s
	}
	if r.closed || name == "" || len(name) > maxNameBytes {
		return nil
	}
	next := r.inReach(old)
	if !known && countUnknown(next) >= maxUnknown {
		return nil
	}
	if len(next) >= maxServices {
		delete(next, idlest(next))
	}
	s := &service{}
	next[name] = s
	r.services.Store(&next)
	return s
}

// inReach returns a copy without the services that have no minute in reach.
func (r *Recorder) inReach(services map[string]*service) map[string]*service {
	oldest := r.minute() - Minutes
	out := make(map[string]*service, len(services)+1)
	for name, s := range services {
		if newest, _ := s.state(); newest > oldest {
			out[name] = s
		}
	}
	return out
}

func countUnknown(services map[string]*service) int {
	n := 0
	for _, s := range services {
		if _, known := s.state(); !known {
			n++
		}
	}
	return n
}

// idlest returns the name of the service that was written longest ago; of equals
// the first by name.
func idlest(services map[string]*service) string {
	name, least := "", 0
	for n, s := range services {
		newest, _ := s.state()
		if name == "" || newest < least || newest == least && n < name {
			name, least = n, newest
		}
	}
	return name
}

// state returns the last minute written, and whether the contract is known.
func (s *service) state() (newest int, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest, s.contract != nil
}

func (r *Recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.services.Store(&map[string]*service{})
}
