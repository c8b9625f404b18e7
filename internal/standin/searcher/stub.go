package searcher

import (
	"crypto/sha256"
	"net/http"
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
	runs     map[string]int
	lastRun  time.Time
}

// NewStub returns a Stub whose service time is delay.
func NewStub(name string, delay time.Duration) *Stub {
	return &Stub{name: name, delay: delay, runs: make(map[string]int)}
}

// SetDelay changes the service time of each request.
func (p *Stub) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetShedding makes the searcher refuse every request without running it, or none.
func (p *Stub) SetShedding(shedding bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shedding = shedding
}

// Runs returns the number of runs of each request, keyed by request ID.
func (p *Stub) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.runs))
	for id, n := range p.runs {
		out[id] = n
	}
	return out
}

// LastRun returns when a request last started to run; the zero time when none has.
func (p *Stub) LastRun() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastRun
}

// Record returns the record that the searcher answers with.
func (p *Stub) Record() []byte {
	sum := sha256.Sum256([]byte(p.name))
	return sum[:16]
}

// ServeHTTP answers one request with the record. It refuses a request for another instance with status 421, and any
// other with status 503 while it sheds; both answers say that the request was not run.
func (p *Stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := platform.ReadRequestHeaders(r.Header)
	meta := connector.Meta{RequestID: req.RequestID, Instance: p.name}
	p.mu.Lock()
	delay, shedding := p.delay, p.shedding
	misdirected := req.Instance != "" && req.Instance != p.name
	if !shedding && !misdirected {
		p.runs[req.RequestID]++
		p.lastRun = time.Now()
	}
	p.mu.Unlock()
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
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	meta.Stamp = p.name
	platform.WriteAnswerHeaders(w.Header(), meta)
	// A write error means that the caller disconnected.
	_, _ = w.Write(p.Record())
}
