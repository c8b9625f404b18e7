package searcher

import (
	"bytes"
	"crypto/sha256"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"cornelwood.example/internal/upstream/connector"
	"cornelwood.example/platform"
)

// Stub is a minimal searcher for tests of entry daemons: it answers every request with a record that is derived from
// its name, and counts the requests that it runs.
type Stub struct {
	name string

	mu       sync.Mutex
	delay    time.Duration
	shedding bool
	leaving  bool
	holdOff  time.Duration
	runs     map[string]int
	// accounts holds the accounts of the requests that ran, by request ID, and keys the number of requests with a key.
	accounts map[string]string
	keys     int
	lastRun  time.Time
	// firstRuns holds when each request first ran, by its ID.
	firstRuns map[string]time.Time
	// refusals holds the times of the requests that were refused while shedding.
	refusals []time.Time
	// failing is the share of the requests that get a failure after they have run.
	failing float64
	// answerBytes is the least size of an answer's body, by the start of the request's path.
	answerBytes map[string]int
	// starts holds the times at which requests started to run, and failures those of the failures.
	starts, failures []time.Time
	inFlight         int
}

// NewStub returns a Stub whose service time is delay.
func NewStub(name string, delay time.Duration) *Stub {
	return &Stub{
		name: name, delay: delay, runs: make(map[string]int), accounts: make(map[string]string),
		firstRuns: make(map[string]time.Time), answerBytes: make(map[string]int),
	}
}

// SetDelay changes the service time of each request.
func (s *Stub) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// SetShedding makes the searcher refuse every request without running it, or none.
func (s *Stub) SetShedding(shedding bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedding = shedding
}

// SetLeaving makes every answer say that the searcher leaves, or none.
func (s *Stub) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetHoldOff makes the refusals of a searcher that sheds say that it wants no request for d.
func (s *Stub) SetHoldOff(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdOff = d
}

// SetFailing makes a share of the requests fail after they have run, as a bad version of a searcher does.
func (s *Stub) SetFailing(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = share
}

// SetAnswerBytes makes the searcher repeat its record until the body of an answer has at least n bytes, for requests whose path
// begins with a prefix.
func (s *Stub) SetAnswerBytes(prefix string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerBytes[prefix] = n
}

// body returns the body of the answer to a request. s.mu is held.
func (s *Stub) body(path string) []byte {
	record, size := s.Record(), 0
	for prefix, n := range s.answerBytes {
		if strings.HasPrefix(path, prefix) {
			size = max(size, n)
		}
	}
	return bytes.Repeat(record, max(1, (size+len(record)-1)/len(record)))
}

// Starts returns the times at which requests started to run, in their order.
func (s *Stub) Starts() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.starts)
}

// Failures returns the times of the answers that SetFailing made fail.
func (s *Stub) Failures() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.failures)
}

// InFlight returns the number of requests that run now.
func (s *Stub) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Refusals returns the times of the requests that were refused while shedding, in their order.
func (s *Stub) Refusals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.refusals)
}

// Runs returns the number of runs of each request, keyed by request ID.
func (s *Stub) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		out[id] = n
	}
	return out
}

// FirstRuns returns when each request first ran, by its ID.
func (s *Stub) FirstRuns() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.firstRuns)
}

// Account returns the name of the account of a request that ran, and false when the request did not run.
func (s *Stub) Account(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, ok := s.accounts[id]
	return name, ok
}

// Keys returns the number of requests that contained the key of an account.
func (s *Stub) Keys() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys
}

// LastRun returns when a request last started to run; the zero time when none has.
func (s *Stub) LastRun() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRun
}

// Record returns the record that the searcher answers with.
func (s *Stub) Record() []byte {
	sum := sha256.Sum256([]byte(s.name))
	return sum[:16]
}

// ServeHTTP answers one request with the record. It refuses a request for another instance with status 421, and any
// other with status 503 while it sheds; both answers say that the request was not run.
func (s *Stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := platform.ReadRequestHeaders(r.Header)
	meta := connector.Meta{RequestID: req.RequestID, Instance: s.name}
	s.mu.Lock()
	delay, shedding := s.delay, s.shedding
	meta.Leaving = s.leaving
	misdirected := req.Instance != "" && req.Instance != s.name
	if shedding && !misdirected {
		meta.HoldOff = s.holdOff
		s.refusals = append(s.refusals, time.Now())
	}
	if !shedding && !misdirected {
		s.runs[req.RequestID]++
		s.accounts[req.RequestID] = req.Account
		s.lastRun = time.Now()
		if _, known := s.firstRuns[req.RequestID]; !known {
			s.firstRuns[req.RequestID] = s.lastRun
		}
		s.starts = append(s.starts, s.lastRun)
		s.inFlight++
	}
	isFailure := rand.Float64() < s.failing
	body := s.body(r.URL.Path)
	if req.HasKey {
		s.keys++
	}
	s.mu.Unlock()
	switch {
	case misdirected:
		meta.NotRun = true
		platform.WriteAnswerHeaders(w.Header(), meta)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case shedding:
		meta.NotRun = true
		platform.WriteAnswerHeaders(w.Header(), meta)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	meta.Stamp = s.name
	platform.WriteAnswerHeaders(w.Header(), meta)
	if isFailure {
		s.mu.Lock()
		s.failures = append(s.failures, time.Now())
		s.mu.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A write error means that the caller disconnected.
	_, _ = w.Write(body)
}

func (s *Stub) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
