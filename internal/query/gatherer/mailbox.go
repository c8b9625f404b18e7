package gatherer

import (
	"sync"

	"cornelwood.example/internal/contract/exchanger"
)

// maxKept bounds the results that an empty mailbox keeps memory for.
const maxKept = 4096

// mailbox carries results from any goroutine to the one that waits for them. It
// never blocks a sender. A mailbox may be used again: results that come late are
// told apart by their IDs, which are unique in a Gatherer.
type mailbox struct {
	ready chan struct{}

	mu      sync.Mutex
	results []exchanger.Result
	// taken is the buffer that take returned last.
	taken []exchanger.Result
}

func newMailbox() *mailbox {
	return &mailbox{ready: make(chan struct{}, 1)}
}

// put adds a result.
func (m *mailbox) put(r exchanger.Result) {
	m.mu.Lock()
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

// take returns the results that have come since the last call. They are valid
// until the next one.
func (m *mailbox) take() []exchanger.Result {
	clear(m.taken)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.taken, m.results = m.results, m.taken[:0]
	return m.taken
}

// empty drops all results, so that the mailbox can be used again.
func (m *mailbox) empty() {
	m.take()
	m.take()
	if cap(m.taken) > maxKept {
		m.taken = nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if cap(m.results) > maxKept {
		m.results = nil
	}
}
