package gatherer

import (
	"sync"

	"cornelwood.example/internal/contract/exchanger"
)

// mailbox carries results from any goroutine to the one that runs a query. It
// never blocks a sender, and drops what comes after it is closed.
type mailbox struct {
	ready chan struct{}

	mu      sync.Mutex
	results []exchanger.Result
	closed  bool
}

func newMailbox() *mailbox {
	return &mailbox{ready: make(chan struct{}, 1)}
}

// put adds a result.
func (m *mailbox) put(r exchanger.Result) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return
	}
	m.results = append(m.results, r)
	isFirst := len(m.results) == 1
	m.mu.Unlock()
	if !isFirst {
		return
	}
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take returns the results that have come, and keeps the emptied buffer to fill
// it next.
func (m *mailbox) take(emptied []exchanger.Result) []exchanger.Result {
	clear(emptied)
	m.mu.Lock()
	defer m.mu.Unlock()
	rs := m.results
	m.results = emptied[:0]
	return rs
}

// close drops every later result.
func (m *mailbox) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.results = nil
}
