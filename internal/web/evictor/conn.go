package evictor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"cornelwood.example/internal/time/sleeper"
	"cornelwood.example/internal/web/gauger"
)

const (
	// readAhead is the size of the buffer of package http, which may hold the start of a body.
	readAhead = 4 << 10
	// discardBytes and discardTime bound what is read after a head that is too large, so that its client reads the answer.
	discardBytes = 256 << 10
	discardTime  = 200 * time.Millisecond
	// lingerTime is the time between the last answer and the end of a connection that has given way.
	lingerTime = 200 * time.Millisecond
	// sendPiece is the part of an answer after whose delivery to the kernel it counts as progressing.
	sendPiece = 16 << 10
	// takenInterval is the interval at which it is checked whether a client has taken its earlier answers.
	takenInterval = 10 * time.Millisecond
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
	// phase is that of the state, for reads. bodyBytes is the size of a body as sent, with the frames of its chunks.
	phase     atomic.Int32
	bodyBytes atomic.Int64
	hasTurn   atomic.Bool
	// hasAnswered is true from the first request on.
	hasAnswered atomic.Bool
	// gone is closed when the connection leaves its group.
	gone chan struct{}
	// The fields below are guarded by the Evictor's mutex.
	state               State
	isGone, isLingering bool
	// isLeft is true once the server has closed the connection: nothing else holds memory for it then.
	isLeft bool
	// reason is why the body has given way.
	reason string
	// held is what state.Bytes follows from, and progress the number of bytes of the body since Since.
	held     Held
	progress int
}

// setPhase starts a phase. The Evictor's mutex is held.
func (c *Conn) setPhase(p Phase, now time.Time) {
	c.state.Phase, c.state.Since = p, now
	c.phase.Store(int32(p))
}

// Read reads into p and counts what belongs to a head or a message.
func (c *Conn) Read(p []byte) (int, error) {
	c.endTurn()
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	headBytes := int64(0)
	switch Phase(c.phase.Load()) {
	case Running, Ending:
		return n, err
	case Body:
		c.bodyBytes.Add(int64(n))
	default:
		var ok bool
		if headBytes, ok = c.countHead(p[:n], time.Now()); !ok {
			c.refuseHead()
			return 0, io.EOF
		}
	}
	if !c.g.hasMessages && needsTurn(Phase(c.phase.Load()), headBytes, c.bodyBytes.Load()) {
		if !c.takeTurn() {
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// countHead counts a part of a head or message. It returns its size so far, and false when the head is too large.
func (c *Conn) countHead(part []byte, now time.Time) (int64, bool) {
	e := c.g.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.isGone {
		return 0, true
	}
	c.held.Head += int64(len(part))
	if c.state.Phase == Idle && c.g.hasMessages && c.held.Head <= freeHeadBytes {
		// Frames that control a stream are no messages: nothing tells that they are complete.
		c.state.Since = now
		return c.held.Head, true
	}
	if c.state.Phase != Head {
		c.setPhase(Head, now)
	}
	if limit := c.g.headBytes.Load(); limit > 0 && c.held.Head > limit+readAhead {
		e.record(c, boundHead, now)
		e.release(c)
		c.setPhase(Ending, now)
		return 0, false
	}
	if !c.g.hasMessages {
		c.held.Lines += int64(bytes.Count(part, []byte{'\n'}))
	}
	size := c.held.Head
	e.charge(c, now)
	return size, true
}

// Write writes p, and counts what the client has not taken.
func (c *Conn) Write(p []byte) (int, error) {
	c.endTurn()
	c.countAnswer(len(p))
	total := 0
	for total < len(p) {
		n, err := c.Conn.Write(p[total:min(total+sendPiece, len(p))])
		total += n
		if err != nil {
			c.countAnswer(total - len(p))
			return total, err
		}
		c.countAnswer(-n)
	}
	return total, nil
}

// countAnswer adds n bytes to the answer that the client has not taken, or subtracts those that it has.
func (c *Conn) countAnswer(n int) {
	e := c.g.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.isGone {
		return
	}
	now := time.Now()
	c.state.Sending, c.state.SentAt = c.state.Sending+int64(n), now
	c.held.Answer = c.state.Sending
	e.charge(c, now)
}

// recordHead records that a complete head is too large.
func (c *Conn) recordHead() {
	c.g.e.mu.Lock()
	defer c.g.e.mu.Unlock()
	c.g.e.record(c, boundHead, time.Now())
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
	c.endTurn()
	c.g.e.mu.Lock()
	defer c.g.e.mu.Unlock()
	if c.isGone && !c.isLeft {
		c.g.leaving--
	}
	c.isLeft = true
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
	c.endTurn()
	e := c.g.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.isGone || c.state.Phase == Ending {
		return
	}
	if p == Idle {
		e.release(c)
	}
	c.setPhase(p, time.Now())
}

// awaitTaken waits until the client has taken its earlier answers. It returns false when the connection has given way.
//
// Load pattern: clients that send requests without end ahead of the answers and read none of these. Each request that the kernel has
// room for the answer of would take the searchers' time.
func (c *Conn) awaitTaken(ctx context.Context) bool {
	if !c.hasAnswered.Swap(true) {
		return true
	}
	for n := gauger.Unread(c.Conn); n > 0; n = gauger.Unread(c.Conn) {
		if !c.countUntaken(int64(n)) || sleeper.Sleep(ctx, takenInterval) != nil {
			return false
		}
	}
	return c.countUntaken(0)
}

// countUntaken records how many bytes of earlier answers the client has not taken. It returns false when the connection has given
// way.
func (c *Conn) countUntaken(n int64) bool {
	c.g.e.mu.Lock()
	defer c.g.e.mu.Unlock()
	if n < c.state.Sending || c.state.Sending == 0 {
		c.state.SentAt = time.Now()
	}
	c.state.Sending = n
	return !c.isGone
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
	c.bodyBytes.Store(0)
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
	c.held.Body += int64(n)
	e.charge(c, now)
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
