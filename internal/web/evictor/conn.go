package evictor

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// freeHeadBytes is the size of a head, or of a part of a message, that is not counted against the budget: the
	// buffer of a connection holds as much.
	freeHeadBytes = 4 << 10
	// headCopies is the number of copies of a head, or of a part of a message, in memory while it is read.
	headCopies = 2
	// readAhead is the size of the buffer of package http, which may hold the start of a body.
	readAhead = 4 << 10
	// discardBytes and discardTime bound what is read after a head that is too large, so that its client reads the answer.
	discardBytes = 256 << 10
	discardTime  = 200 * time.Millisecond
	// lingerTime is the time between the last answer and the end of a connection that has given way.
	lingerTime = 200 * time.Millisecond
)

// tooLargeAnswer is the answer to a head that is too large to be read.
const tooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" + reasonTooLarge + "\n"

const reasonTooLarge = "request header too large"

// Reasons of an EvictedError.
const (
	reasonMemory   = "request body gave way: the memory for incomplete requests is used up"
	reasonStopping = "request body is not complete, and this daemon stops"
)

// EvictedError means that a body has given way before it was complete.
type EvictedError struct {
	Reason string
}

// Error returns the reason.
func (e *EvictedError) Error() string {
	return e.Reason
}

// Evicted is true. It tells the error from one of the client.
func (*EvictedError) Evicted() bool {
	return true
}

// Conn is a connection of a Group.
type Conn struct {
	net.Conn
	g *Group
	// isDelivering is true while bytes that are read belong to no head or message.
	isDelivering atomic.Bool
	// The fields below are guarded by the Evictor's mutex.
	state               State
	isGone, isLingering bool
	// reason is why the body has given way.
	reason string
	// pending is the number of bytes of the head or message that have been read, progress the number of bytes of the
	// body since Since.
	pending  int64
	progress int
}

// setPhase starts a phase. The Evictor's mutex is held.
func (c *Conn) setPhase(p Phase, now time.Time) {
	c.state.Phase, c.state.Since = p, now
	c.isDelivering.Store(p == Body || p == Running || p == Ending)
}

// Read reads into p and counts what belongs to a head or a message.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.isDelivering.Load() {
		return n, err
	}
	if !c.countHead(n, time.Now()) {
		c.refuseHead()
		return 0, io.EOF
	}
	return n, err
}

// countHead counts n bytes of a head or message. It returns false when the head is too large.
func (c *Conn) countHead(n int, now time.Time) bool {
	e := c.g.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.isGone {
		return true
	}
	c.pending += int64(n)
	if c.state.Phase == Idle && c.g.hasMessages && c.pending <= freeHeadBytes {
		// Frames that control a stream are no messages: nothing tells that they are complete.
		c.state.Since = now
		return true
	}
	if c.state.Phase != Head {
		c.setPhase(Head, now)
	}
	if limit := c.g.headBytes.Load(); limit > 0 && c.pending > limit+readAhead {
		e.record(c, boundHead, now)
		e.release(c)
		c.setPhase(Ending, now)
		return false
	}
	if c.pending > freeHeadBytes {
		e.reserve(c, headCopies*c.pending-c.state.Bytes, now)
	}
	return true
}

// refuseHead answers a head that is too large and discards a part of what follows.
func (c *Conn) refuseHead() {
	// Each error means that the client has disconnected.
	_ = c.SetDeadline(time.Now().Add(discardTime))
	_, _ = io.WriteString(c.Conn, tooLargeAnswer)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, discardBytes)
}

// Close closes the connection. One that has given way is closed after lingerTime, unless it gives way again: it has unread
// bytes, for which the kernel would reset it at once, and its client would not get the answer.
func (c *Conn) Close() error {
	c.g.e.mu.Lock()
	defer c.g.e.mu.Unlock()
	if !c.isGone && c.state.Phase == Ending {
		if !c.isLingering {
			c.isLingering = true
			time.AfterFunc(lingerTime, c.closeNow)
		}
		return c.CloseWrite()
	}
	c.g.e.remove(c)
	return c.Conn.Close()
}

// closeNow closes the connection at once.
func (c *Conn) closeNow() {
	c.g.e.mu.Lock()
	defer c.g.e.mu.Unlock()
	c.g.e.remove(c)
	c.Conn.Close()
}

// SyscallConn gives access to the kernel's figures of the connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// CloseWrite closes the sending side. Package http does so before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// MessageDone tells that a message has been read completely.
func (c *Conn) MessageDone() {
	c.finish(Idle)
}

// finish ends a head, a message or a request, and returns what it held if the connection is idle now.
func (c *Conn) finish(p Phase) {
	e := c.g.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.isGone || c.state.Phase == Ending {
		return
	}
	c.pending = 0
	if p == Idle {
		e.release(c)
	}
	c.setPhase(p, time.Now())
}

// begin tells that the handler has got a request. It returns false when the connection has given way.
func (c *Conn) begin(hasBody bool) bool {
	e := c.g.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.isGone {
		return false
	}
	c.progress = 0
	if hasBody {
		c.setPhase(Body, time.Now())
	}
	return true
}

// grow counts n bytes of the body. It returns false when the body has given way.
func (c *Conn) grow(n int) bool {
	e := c.g.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.isGone || c.state.Phase != Body {
		return false
	}
	now := time.Now()
	if c.progress += n; c.progress >= progressBytes {
		c.progress, c.state.Since = 0, now
	}
	e.reserve(c, int64(n), now)
	return !c.isGone && c.state.Phase == Body
}

// givenWay returns why the connection has given way, and whether it has.
func (c *Conn) givenWay() (string, bool) {
	c.g.e.mu.Lock()
	defer c.g.e.mu.Unlock()
	return c.reason, c.isGone || c.state.Phase == Ending
}

// setBodyDeadline bounds the time until the body is complete. The zero time ends the bound.
func (c *Conn) setBodyDeadline(t time.Time) error {
	c.g.e.mu.Lock()
	defer c.g.e.mu.Unlock()
	if c.isGone || c.state.Phase == Ending {
		return nil
	}
	return c.SetReadDeadline(t)
}

// endBody ends the connection with its next answer, since a body was not complete at its deadline. isRefused is true when that
// is the reason of the answer.
func (c *Conn) endBody(isRefused bool) {
	c.g.e.mu.Lock()
	defer c.g.e.mu.Unlock()
	if isRefused {
		c.g.e.record(c, boundBodyTime, time.Now())
	}
	c.g.e.release(c)
	c.setPhase(Ending, time.Now())
}
