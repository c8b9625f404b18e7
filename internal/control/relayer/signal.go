package relayer

import "sync"

// signal wakes all goroutines that wait for it. The zero value is ready to use.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that the next raise closes.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *signal) raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
