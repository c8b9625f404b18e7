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

// Limits on the recorded services.
const (
	// maxServices is the maximum number of services. When it is reached, a new service
	// replaces the one that has been idle longest.
	maxServices = 1024
	// maxWithoutContract is the maximum number of services without a known contract. Only
	// refusals are recorded for them, and callers may make up their names.
	maxWithoutContract = 64
	// maxNameBytes is the maximum length of a service's name.
	maxNameBytes = 64
)

// Recorder counts queries by service and minute. Its methods may be called from
// any goroutine.
type Recorder struct {
	now   func() time.Time
	start time.Time
	// services is copied on each change, so that recording takes no lock shared by
	// all services.
	services  atomic.Pointer[map[string]*service]
	untracked atomic.Uint64

	// mu serializes changes of services and guards closed.
	mu     sync.Mutex
	closed bool
}

// service holds the counts and the objectives of one service.
type service struct {
	mu   sync.Mutex
	ring ring
	// newest is the last minute written, counted from the start of the recorder.
	newest int
	// objectives are those of the contract last recorded; nil while none is known.
	objectives *Objectives
}

// New returns a Recorder that reads the time from now, and a function that closes
// it. Closing frees the counts; later queries are counted only as untracked.
func New(now func() time.Time) (*Recorder, func()) {
	r := &Recorder{now: now, start: now()}
	r.services.Store(&map[string]*service{})
	return r, r.close
}

// Record counts one answered query under its contract. latency is measured at this
// daemon; coverage is the share of shards merged, 0 to 1.
func (r *Recorder) Record(name string, contract declarer.Contract, latency time.Duration, coverage float64) {
	s := r.service(name, &contract)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setObjectives(&contract)
	c := s.countsAt(r.elapsedMinutes())
	addSaturating(&c.Total, 1)
	if latency > contract.Latency.Duration {
		addSaturating(&c.Slow, 1)
	}
	if coverage < contract.Coverage {
		addSaturating(&c.Partial, 1)
	}
}

// RecordRefusal counts one refused query if the code is the service's fault, see
// IsServiceFault.
func (r *Recorder) RecordRefusal(name string, code answerer.Code) {
	r.recordRefusal(name, code, nil)
}

// recordRefusal is RecordRefusal with the contract of the service, nil when the
// daemon has none.
func (r *Recorder) recordRefusal(name string, code answerer.Code, contract *declarer.Contract) {
	if !IsServiceFault(code) {
		return
	}
	s := r.service(name, contract)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setObjectives(contract)
	c := s.countsAt(r.elapsedMinutes())
	addSaturating(&c.Total, 1)
	addSaturating(&c.Refused, 1)
}

// IsServiceFault reports whether a refusal with the code is the service's fault
// rather than the caller's.
func IsServiceFault(code answerer.Code) bool {
	switch code {
	case answerer.CodeOverloaded, answerer.CodeNoSnapshot, answerer.CodeDeadline,
		answerer.CodeNoConfig, answerer.CodeLeaving, answerer.CodeInternal:
		return true
	default:
		return false
	}
}

// Series returns the counts of all services that have any, ordered by name.
func (r *Recorder) Series() *Series {
	services := *r.services.Load()
	now := r.elapsedMinutes()
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
		if svc := services[name].series(name, now); len(svc.Buckets) > 0 {
			out.Services = append(out.Services, svc)
		}
	}
	return out
}

// series returns the series of a service with ages relative to the minute now.
func (s *service) series(name string, now int) ServiceSeries {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceSeries{Name: name, Contract: s.objectives, Buckets: s.ring.buckets(now)}
}

// elapsedMinutes returns the number of whole minutes since the start.
func (r *Recorder) elapsedMinutes() int {
	return int(max(0, r.now().Sub(r.start)) / time.Minute)
}

// countsAt returns the counts of the minute now for writing, or those of the newest
// minute if the clock went back.
func (s *service) countsAt(now int) *Counts {
	s.newest = max(s.newest, now)
	return s.ring.at(s.newest)
}

// setObjectives stores the objectives of a contract, if there is one.
func (s *service) setObjectives(c *declarer.Contract) {
	if c == nil {
		return
	}
	objectives := Objectives{Latency: c.Latency, Quantile: c.Quantile, Coverage: c.Coverage}
	if s.objectives == nil || *s.objectives != objectives {
		s.objectives = &objectives
	}
}

// service returns the service of that name and adds it if it is new. It returns nil,
// and counts the query as untracked, if add does not accept it.
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

// add returns the service of that name, added if it is new, or nil if the recorder is
// closed, the name is empty or too long, or too many services have no contract.
func (r *Recorder) add(name string, hasContract bool) *service {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.services.Load()
	if s := old[name]; s != nil {
		return s
	}
	if r.closed || name == "" || len(name) > maxNameBytes {
		return nil
	}
	next := r.withoutExpired(old)
	if !hasContract && countWithoutContract(next) >= maxWithoutContract {
		return nil
	}
	if len(next) >= maxServices {
		delete(next, longestIdle(next))
	}
	s := &service{}
	next[name] = s
	r.services.Store(&next)
	return s
}

// withoutExpired returns a copy of services without those whose last query is older
// than RetentionMinutes.
func (r *Recorder) withoutExpired(services map[string]*service) map[string]*service {
	oldest := r.elapsedMinutes() - RetentionMinutes
	out := make(map[string]*service, len(services)+1)
	for name, s := range services {
		if newest, _ := s.state(); newest > oldest {
			out[name] = s
		}
	}
	return out
}

func countWithoutContract(services map[string]*service) int {
	n := 0
	for _, s := range services {
		if _, hasContract := s.state(); !hasContract {
			n++
		}
	}
	return n
}

// longestIdle returns the name of the service whose last query is oldest; of several
// the first by name.
func longestIdle(services map[string]*service) string {
	name, oldest := "", 0
	for n, s := range services {
		newest, _ := s.state()
		if name == "" || newest < oldest || newest == oldest && n < name {
			name, oldest = n, newest
		}
	}
	return name
}

// state returns the last minute written, and whether the contract is known.
func (s *service) state() (newest int, hasContract bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest, s.objectives != nil
}

func (r *Recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.services.Store(&map[string]*service{})
}
