package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"cornelwood.example/internal/time/sleeper"
)

// Bounds of bodies.
const (
	// maxValueBytes bounds the value of one object, as the platform does.
	maxValueBytes = 1 << 20
	// maxObjectBytes bounds an answer with one object.
	maxObjectBytes = maxValueBytes + 64<<10
	// maxListBytes bounds an answer with many objects.
	maxListBytes = 32 << 20
	// maxReasonBytes bounds the quoted reason of a refusal.
	maxReasonBytes = 512
)

var (
	errEnded = errors.New("the storer has ended")
	errSlow  = fmt.Errorf("no answer in time: %w", context.DeadlineExceeded)
	errPause = errors.New("the pause after a failure outlasts the call")
)

// call is one call to the platform.
type call struct {
	name   string
	method string
	path   string
	query  string
	header http.Header
	body   []byte
	// limit bounds the answer in bytes.
	limit int64
	// wait is how long the platform may hold the answer back.
	wait time.Duration
}

// answer is the platform's answer to a call.
type answer struct {
	status int
	body   []byte
}

// do carries out a call and reads its answer with read, which gets any status
// below 500 but 429.
func (s *Storer) do(ctx context.Context, c *call, read func(answer) error) error {
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ended, cancel)()
	if err := s.admit(stop); err != nil {
		s.calls.WithLabelValues(c.name, "held").Inc()
		return &UnavailableError{Call: c.name, Err: err}
	}
	bounded, release := context.WithTimeoutCause(stop, s.cfg.Timeout+c.wait, errSlow)
	defer release()
	started := time.Now()
	a, err := s.send(bounded, c)
	if err == nil {
		err = read(a)
	}
	s.settle(bounded, c, started, err)
	return err
}

// admit waits for the end of the pause and for the limiter.
func (s *Storer) admit(ctx context.Context) error {
	if s.ended.Err() != nil {
		return errEnded
	}
	s.mu.Lock()
	wait := time.Until(s.pause.until)
	s.mu.Unlock()
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		return errPause
	}
	if err := sleeper.Sleep(ctx, wait); err != nil {
		return err
	}
	return s.cfg.Limiter.Wait(ctx)
}

// send sends the call once.
func (s *Storer) send(ctx context.Context, c *call) (answer, error) {
	isWrite := c.method == http.MethodPut
	var isConnected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { isConnected.Store(true) }}
	r, err := s.request(httptrace.WithClientTrace(ctx, trace), c)
	if err != nil {
		return answer{}, &UnavailableError{Call: c.name, Err: err}
	}
	resp, err := s.client.Do(r)
	if err != nil {
		isSent := isConnected.Load() || !s.isTraced()
		return answer{}, &UnavailableError{Call: c.name, Unsettled: isWrite && isSent, Err: err}
	}
	defer resp.Body.Close()
	body, err := readBounded(resp.Body, c.limit)
	if err != nil {
		return answer{}, &UnavailableError{Call: c.name, Unsettled: isWrite, Err: err}
	}
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return answer{}, &UnavailableError{Call: c.name, Err: statusError(resp.StatusCode)}
	case resp.StatusCode >= http.StatusInternalServerError:
		// What stands between may say so after the platform has applied a write.
		return answer{}, &UnavailableError{Call: c.name, Unsettled: isWrite, Err: statusError(resp.StatusCode)}
	default:
		return answer{status: resp.StatusCode, body: body}, nil
	}
}

func (s *Storer) request(ctx context.Context, c *call) (*http.Request, error) {
	u := s.cfg.URL.JoinPath(c.path)
	u.RawQuery = c.query
	r, err := http.NewRequestWithContext(ctx, c.method, u.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	for name, values := range c.header {
		r.Header[name] = values
	}
	return r, nil
}

// settle counts the call and notes whether the platform works.
func (s *Storer) settle(ctx context.Context, c *call, started time.Time, err error) {
	var failure *UnavailableError
	isFailure := errors.As(err, &failure)
	result := "answered"
	if isFailure {
		result = "failed"
	}
	s.calls.WithLabelValues(c.name, result).Inc()
	// A caller that gives up says nothing about the platform.
	if isFailure && errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if isFailure {
		s.pause.fail(started, time.Now(), s.cfg.Rand())
		return
	}
	s.pause.succeed()
}

// isTraced reports whether the client's transport surely tells when it has got
// a connection.
func (s *Storer) isTraced() bool {
	if s.client.Transport == nil {
		return true
	}
	_, ok := s.client.Transport.(*http.Transport)
	return ok
}

func statusError(status int) error {
	return fmt.Errorf("status %d", status)
}

// readBounded reads a body of at most limit bytes.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("answer: want at most %d bytes", limit)
	}
	return body, nil
}

// rejected returns the error of a status that the call does not know.
func rejected(c *call, a answer) error {
	var f struct {
		Reason string `json:"reason"`
	}
	// An answer of another form is quoted as it stands.
	if err := json.Unmarshal(a.body, &f); err != nil || f.Reason == "" {
		f.Reason = string(a.body)
	}
	f.Reason = f.Reason[:min(len(f.Reason), maxReasonBytes)]
	return &RejectedError{Call: c.name, Status: a.status, Reason: f.Reason}
}
