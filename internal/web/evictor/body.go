package evictor

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// restTime is the time for which an answer that is given before the end of the body waits for the rest: most bodies arrive with
// their heads, and their connections can be used again.
const restTime = 20 * time.Millisecond

// body is the body of a request, whose bytes count against the budget until the request has been answered.
type body struct {
	io.ReadCloser
	c *Conn
	w http.ResponseWriter
	// isInvited is true while the client waits for an interim answer before it sends the body.
	isInvited bool
	// isRest is true while the rest of a body is read that nobody holds.
	isRest bool
	// err is the result of the read that ended the body, isOurs is true when it is this daemon that ended it.
	err    error
	isOurs bool
}

// Evicted reports whether this daemon ended the body, which gave way or was late. Its client waits for an answer.
func (b *body) Evicted() bool {
	return b.isOurs
}

// SetReadDeadline bounds the time until the body is complete. Reading it fails with os.ErrDeadlineExceeded then.
func (b *body) SetReadDeadline(t time.Time) error {
	return b.c.setBodyDeadline(t)
}

// Read reads into p. It fails with an *EvictedError when the body has given way.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	b.isInvited = false
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.isRest && !b.c.grow(n) || err != nil && !errors.Is(err, io.EOF) {
		n, err = 0, b.failure(err)
	}
	if errors.Is(err, io.EOF) {
		// The server reads on to see the client disconnect, which has no limit of time.
		_ = b.c.setBodyDeadline(time.Time{})
		b.c.finish(Running)
	}
	b.err = err
	return n, err
}

// failure returns the error of a body that is not complete, after err. The connection closes with the answer: what follows on it
// is the rest of the body.
func (b *body) failure(err error) error {
	b.w.Header().Set("Connection", "close")
	reason, hasGivenWay := b.c.givenWay()
	switch {
	case hasGivenWay:
		b.isOurs = true
		return &EvictedError{Reason: reason}
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.isOurs = true
		b.c.endBody(!b.isRest)
	}
	return err
}

// settle ends the body before the answer is sent. Package http would wait for all of it without a limit of time.
func (b *body) settle() {
	if b.err == nil && !b.isInvited {
		b.isRest = true
		// An error means that the connection is closed already, which the read shows.
		_ = b.SetReadDeadline(time.Now().Add(restTime))
		_, _ = io.Copy(io.Discard, b)
	}
	if !errors.Is(b.err, io.EOF) {
		b.w.Header().Set("Connection", "close")
	}
}

// end closes the connection after the answer when the body is not complete. Package http would keep the connection's goroutine, with
// the head of the request, for half a second more, in which a crowd that comes back opens hundreds of others.
func (b *body) end() {
	if errors.Is(b.err, io.EOF) || b.w.Header().Get("Content-Length") == "" {
		return
	}
	// An error means that the client has disconnected.
	_ = http.NewResponseController(b.w).Flush()
	b.c.endBody(false)
	panic(http.ErrAbortHandler)
}

// answerWriter settles the body before the final answer.
type answerWriter struct {
	http.ResponseWriter
	body      *body
	isStarted bool
}

// WriteHeader sends the head of an answer.
func (w *answerWriter) WriteHeader(status int) {
	if !w.isStarted && status >= http.StatusOK {
		w.isStarted = true
		w.body.settle()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the answer's body.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.isStarted {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the server's own ResponseWriter, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
