package searcher

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"cornelwood.example/internal/time/sleeper"
)

// refusal is the body of the answer to a request that failed or was refused.
type refusal struct {
	Reason string `json:"reason"`
	// Run is notRun when the request is certain not to have run, else unknown.
	Run    string `json:"run"`
	Oldest uint64 `json:"oldest,omitempty"`
	Newest uint64 `json:"newest,omitempty"`
}

// Values of refusal.Run.
const (
	notRun  = "not_run"
	unknown = "unknown"
)

// deadlineContext returns the request's context with the timeout of the Deadline-Ms header, in milliseconds, if it is
// set. It returns an error when the header is not a number above 0 and at most 1e9.
func deadlineContext(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get("Deadline-Ms")
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) || ms > 1e9 {
		return nil, nil, errors.New("Deadline-Ms: want milliseconds above 0 and at most 1e9, got " + text)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms*float64(time.Millisecond)))
	return ctx, cancel, nil
}

// admit admits one request that arrived on a connection. It returns status 0, or the status and reason of the refusal.
// Each admitted request must be ended with finish.
func (s *Searcher) admit(on *conn) (status int, reason string) {
	now := time.Now()
	isReset := on != nil && !s.conns.isOpen(on)
	s.mu.Lock()
	status, reason = s.admitLocked(now)
	overloaded := false
	if status == 0 {
		overloaded = s.recordAdmittedLocked(now, isReset)
	}
	s.mu.Unlock()
	if overloaded {
		s.conns.resetAll(nil)
	}
	return status, reason
}

// admitLocked decides whether a request is admitted, and counts it if not. It returns as admit does; s.mu is held.
func (s *Searcher) admitLocked(now time.Time) (status int, reason string) {
	c, st := &s.counts, &s.state
	st.endColdStart(now)
	c.LastWork = now
	if st.draining() {
		c.AfterDrain++
		c.LastAfterDrain = now.Sub(st.drainSince)
		c.Refused++
		return http.StatusConflict, "draining"
	}
	if now.Before(st.shedUntil) || s.rng.Float64() < s.faults.Shed {
		c.Sheds++
		c.Refused++
		return http.StatusServiceUnavailable, "shed"
	}
	return 0, ""
}

// recordAdmittedLocked counts an admitted request and reports whether it overloads a cold searcher, which then sheds
// and starts cold again; s.mu is held.
func (s *Searcher) recordAdmittedLocked(now time.Time, isReset bool) bool {
	c, st := &s.counts, &s.state
	st.inFlight++
	c.MaxInFlight = max(c.MaxInFlight, st.inFlight)
	if st.inFlight > s.cfg.Slots {
		c.Overlaps++
	}
	if !st.cold {
		return false
	}
	c.MaxInFlightCold = max(c.MaxInFlightCold, st.inFlight)
	if st.inFlight <= s.cfg.ColdSlots {
		return false
	}
	c.ColdOverloads++
	c.LastColdOverload = ColdOverload{Cold: now.Sub(st.coldSince), InFlight: st.inFlight, Successes: st.successes, Reset: isReset}
	st.shedUntil = now.Add(s.cfg.ShedFor)
	st.turnCold(now)
	return true
}

// finish ends an admitted request; done says that it is answered.
func (s *Searcher) finish(done bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.inFlight--
	if done {
		s.counts.Done++
		s.state.successes++
	}
	s.state.endColdStart(now)
}

// execute waits for a slot, calls onStart, and holds the slot for the service time. It returns status 0, or the status
// and the body of the refusal when ctx ends first. A stall ends only when disconnected is closed.
func (s *Searcher) execute(ctx context.Context, disconnected <-chan struct{}, onStart func(*Counts)) (int, refusal) {
	select {
	case <-ctx.Done():
		return s.notStarted()
	case <-s.slots:
	}
	defer func() { s.slots <- struct{}{} }()
	if ctx.Err() != nil {
		return s.notStarted()
	}
	s.mu.Lock()
	s.counts.Started++
	s.state.running++
	onStart(&s.counts)
	s.mu.Unlock()
	started := time.Now()
	err := s.serve(ctx, disconnected)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.running--
	switch {
	case err == nil:
		return 0, refusal{}
	case errors.Is(err, context.DeadlineExceeded):
		s.counts.Expired++
	default:
		s.counts.Cancelled++
	}
	s.counts.Wasted += time.Since(started)
	return http.StatusGatewayTimeout, refusal{Reason: err.Error(), Run: unknown}
}

// notStarted counts and returns the refusal of a request whose context ended while it was queued.
func (s *Searcher) notStarted() (int, refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Refused++
	return http.StatusServiceUnavailable, refusal{Reason: "deadline passed or caller disconnected while queued", Run: notRun}
}

// serve waits for the service time, or stalls until the caller disconnects. It returns the error of ctx when that ends
// first, or context.Canceled after a stall.
func (s *Searcher) serve(ctx context.Context, disconnected <-chan struct{}) error {
	if s.consume(&s.faults.Stall) {
		<-disconnected
		return context.Canceled
	}
	return sleeper.Sleep(ctx, s.serviceTime())
}
