package gatherer

import (
	"sync"

	"cornelwood.example/internal/contract/exchanger"
)

// maxRetainedResults bounds the capacity that an empty mailbox retains, in results.
const maxRetainedResults = 4096

// mailbox carries results from any goroutine to the one that waits for them. It never blocks a sender.
// A mailbox is reused: late results of an earlier use are recognized by their IDs, which are unique in
// a Gatherer.
type mailbox struct {
	ready chan struct{}

	mu      sync.Mutex
	results []exchanger.Result
	// taken is the buffer that the last take returned.
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

// take returns the results that have arrived since the last call. They are valid until the next call.
func (m *mailbox) take() []exchanger.Result {
	clear(m.taken)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.taken, m.results = m.results, m.taken[:0]
	return m.taken
}

// reset drops all results, so that the mailbox can be used again.
func (m *mailbox) reset() {
	m.take()
	m.take()
	if cap(m.taken) > maxRetainedResults {
		m.taken = nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if cap(m.results) > maxRetainedResults {
		m.results = nil
	}
}
