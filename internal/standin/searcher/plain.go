package searcher

import (
	"crypto/sha256"
	"net/http"
	"sync"
	"time"

	"cornelwood.example/internal/upstream/connector"
	"cornelwood.example/platform"
)

// Stub stands in for a searcher as entry daemons meet it: it answers any request
// with records that derive from its name, and notes what it runs.
type Stub struct {
	name string

	mu       sync.Mutex
	delay    time.Duration
	shedding bool
	runs     map[string]int
	lastRun  time.Time
}

// NewStub returns a Plain searcher that takes delay for each request.
func NewStub(name string, delay time.Duration) *Stub {
	return &Stub{name: name, delay: delay, runs: make(map[string]int)}
}

// SetDelay changes the time that each request takes.
func (p *Stub) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetShedding lets the searcher refuse every request unrun, or none.
func (p *Stub) SetShedding(shedding bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shedding = shedding
}

// Runs returns how often each request ran, by its id.
func (p *Stub) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.runs))
	for id, n := range p.runs {
		out[id] = n
	}
	return out
}

// LastRun returns when a request last began to run; zero when none has.
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

// ServeHTTP answers one request.
func (p *Stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	asked := platform.ReadRequestHeaders(r.Header)
	meta := connector.Meta{RequestID: asked.RequestID, Instance: p.name}
	p.mu.Lock()
	delay, shedding := p.delay, p.shedding
	other := asked.Instance != "" && asked.Instance != p.name
	if !shedding && !other {
		p.runs[asked.RequestID]++
		p.lastRun = time.Now()
	}
	p.mu.Unlock()
	switch {
	case other:
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
	// The caller may have gone.
	_, _ = w.Write(p.Record())
}
