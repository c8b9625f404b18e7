// Package signaler wakes goroutines that wait for an event.
package signaler

import "sync"

// Signal wakes all goroutines that wait for it. The zero value is ready to use.
type Signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// Wait returns a channel that the next Raise closes.
func (s *Signal) Wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// Raise wakes the goroutines that wait now.
func (s *Signal) Raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
