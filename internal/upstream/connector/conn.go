package connector

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// readBufferBytes is enough for the header of an answer and most bodies.
	readBufferBytes = 4 << 10
	// syncBodyBytes is the largest body that is written before the answer is read. A larger
	// one could fill the connection's window, and block the write, while the searcher answers.
	syncBodyBytes = 8 << 10
	// maxHeadBytes is the maximum size of an answer's head. A faulty searcher may send one without end.
	maxHeadBytes = 64 << 10
	// maxWireBytes is the maximum size of an answer as it is sent, with its head and what separates the chunks of its body.
	maxWireBytes = maxReplyBytes + 2*maxHeadBytes
	// maxInformational is how many informational answers (1xx) may precede an answer.
	maxInformational = 4
	// maxStatus is the highest status of an answer.
	maxStatus = 599
	// maxRefusedIDs is how many refused requests a connection remembers. It is closed when there are more.
	maxRefusedIDs = 32
	// maxStrayAnswers is how many answers to earlier requests are skipped before the
	// connection is closed.
	maxStrayAnswers = 2
)

// errHeadTooLong means that an answer's head has more than maxHeadBytes, errWireTooLong that a whole answer has more than maxWireBytes,
// errInformational that more than maxInformational answers preceded it.
var (
	errHeadTooLong   = errors.New("head of the answer is too long")
	errWireTooLong   = errors.New("answer is too long")
	errInformational = errors.New("too many informational answers")
	errNoStatusLine  = errors.New("no status line")
)

// statusLineStart is how each answer begins.
const statusLineStart = "HTTP/1."

// InvalidStatusError means that an answer has a status that the protocol does not define, or one that the request cannot get,
// so that what it carries is no answer.
type InvalidStatusError struct {
	Status string
}

// Error returns the message with the status as it was received.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("answer has the status %q, want 200 to 599", e.Status)
}

// checkStatus returns an *InvalidStatusError for an answer that is neither final (200 to 599) nor informational. 101 is not
// valid either: no request asks to switch protocols.
func checkStatus(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols {
		return &InvalidStatusError{Status: resp.Status}
	}
	return nil
}

// MalformedError means that a searcher sent bytes that are no answer in the protocol, or more than an answer may have.
type MalformedError struct {
	Err error
}

// Error returns what is wrong with the bytes.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed answer: %v", e.Err)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error {
	return e.Err
}

// asMalformed wraps the error of reading an answer in a *MalformedError, unless the connection failed or ended, or the answer was
// given up.
func asMalformed(err error) error {
	var connErr *net.OpError
	if err == nil || errors.As(err, &connErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.Is(err, errBuffered) {
		return err
	}
	return &MalformedError{Err: err}
}

// errNoRequestID means that an answer on a connection that carried another one before does not
// say which request it belongs to: it may be a late copy of an earlier one.
var errNoRequestID = errors.New("answer on a connection in use again has no request ID")

// errStrayAnswers means that a connection carried only answers to other requests.
var errStrayAnswers = errors.New("connection carries only answers to other requests")

// conn is one HTTP/1.1 connection to a searcher. It carries one exchange at a
// time.
type conn struct {
	net.Conn
	r *bufio.Reader
	// head bounds what r reads of an answer's head.
	head *headReader
	// memory bounds the bodies that are read at once on all connections, gate those of this searcher.
	memory *memory
	gate   *gate
	// isAborted is true once the caller has given the running exchange up.
	isAborted atomic.Bool
	// isNew is true until the first exchange has ended.
	isNew bool
	// idleSince is when the last exchange ended.
	idleSince time.Time
	// maxIdle is Request.MaxIdle of the last request.
	maxIdle int
	// refused holds the requests that the searcher has refused on this connection. It carries none of them again: a late
	// copy of the refusal could not be told from the answer to the new attempt.
	refused []refusedRequest
	// keepAlive is how long the searcher keeps the connection open when idle; 0 when it
	// does not say.
	keepAlive time.Duration
}

// refusedRequest is a request that was refused, which may be sent again until its deadline.
type refusedRequest struct {
	id       string
	deadline time.Time
}

// hasRefused reports whether the searcher has refused the request on this connection.
func (c *conn) hasRefused(id string) bool {
	return slices.ContainsFunc(c.refused, func(r refusedRequest) bool { return r.id == id })
}

// remember records a refused request. It returns false when there are too many to use the connection again.
func (c *conn) remember(id string, deadline, now time.Time) bool {
	c.refused = slices.DeleteFunc(c.refused, func(r refusedRequest) bool { return now.After(r.deadline) })
	c.refused = append(c.refused, refusedRequest{id, deadline})
	return len(c.refused) <= maxRefusedIDs
}

func newConn(nc net.Conn) *conn {
	head := &headReader{Conn: nc}
	return &conn{Conn: nc, isNew: true, head: head, r: bufio.NewReaderSize(head, readBufferBytes)}
}

// headReader reads from a connection, and fails once a head has more than maxHeadBytes, or a whole answer more than maxWireBytes.
type headReader struct {
	net.Conn
	// inHead is true while a head is read, left the number of bytes that it may still have, wireLeft that of the whole answer.
	inHead         bool
	left, wireLeft int
}

// Read reads into p.
func (h *headReader) Read(p []byte) (int, error) {
	limit, err := h.wireLeft, errWireTooLong
	if h.inHead && h.left < limit {
		limit, err = h.left, errHeadTooLong
	}
	if limit <= 0 {
		return 0, err
	}
	n, err := h.Conn.Read(p[:min(len(p), limit)])
	h.left -= n
	h.wireLeft -= n
	return n, err
}

// readHead reads an answer's head. The body is read from the response.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.head.inHead, c.head.left, c.head.wireLeft = true, maxHeadBytes, maxWireBytes
	defer func() { c.head.inHead = false }()
	// A line without end is not read to the bound of a head if its start shows that it is no status line.
	start, err := c.r.Peek(len(statusLineStart))
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	case string(start) != statusLineStart:
		return nil, errNoStatusLine
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil && c.head.left <= 0 {
		return nil, errHeadTooLong
	}
	return resp, err
}

// usable reports whether the connection is open and has no unread bytes, so that the next
// answer on it belongs to the next request.
func (c *conn) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var peek [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// abort makes the running exchange fail.
func (c *conn) abort() {
	c.isAborted.Store(true)
	c.Close()
}

// exchange writes one request and reads its answer. sent is true when bytes of the request
// may have been sent.
func (c *conn) exchange(req *Request, codec Codec) (sent bool, rep *Reply, err error) {
	head := req.head(codec)
	written := make(chan error, 1)
	if len(req.Body) <= syncBodyBytes {
		n, err := c.Write(append(head, req.Body...))
		if err != nil {
			return n > 0, nil, err
		}
		written <- nil
	} else {
		go func() {
			// The body is not copied: attempts of one request share it.
			_, err := (&net.Buffers{head, req.Body}).WriteTo(c.Conn)
			written <- err
		}()
	}
	rep, err = c.read(req, codec)
	if err != nil {
		return true, nil, err
	}
	if rep.IsRefusal() {
		rep.reusable = c.remember(req.ID, req.Deadline, time.Now()) && rep.reusable
	}
	select {
	case err := <-written:
		rep.reusable = rep.reusable && err == nil
	default:
		// The searcher answered before it had read the whole body.
		rep.reusable = false
	}
	return true, rep, nil
}

// read skips answers to other requests and returns the one to the request.
func (c *conn) read(req *Request, codec Codec) (*Reply, error) {
	for range maxStrayAnswers + 1 {
		rep, err := c.readOne(req, codec)
		if err != nil {
			return nil, asMalformed(err)
		}
		switch {
		case rep.Meta.RequestID == req.ID || rep.Meta.RequestID == "" && c.isNew:
			return rep, nil
		case rep.Meta.RequestID == "":
			return nil, errNoRequestID
		}
		rep.Release()
	}
	return nil, &MalformedError{Err: errStrayAnswers}
}

// readOne reads one complete answer, and skips informational ones (1xx).
func (c *conn) readOne(req *Request, codec Codec) (*Reply, error) {
	for range maxInformational + 1 {
		resp, err := c.readHead(req.Method)
		if err != nil {
			return nil, err
		}
		if err := checkStatus(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		rep := &Reply{Status: resp.StatusCode, Header: resp.Header, Meta: codec.Read(resp.Header)}
		c.keepAlive = parseKeepAlive(resp.Header)
		limit := int64(maxReplyBytes)
		if !rep.IsSigned() {
			// The body is not passed on.
			if limit = freeReplyBytes; resp.ContentLength > limit {
				return rep, nil
			}
		}
		body, taken, err := c.memory.readBody(resp, c.gate, limit, func() bool { return !c.isAborted.Load() && time.Now().Before(req.Deadline) })
		if err != nil {
			return nil, err
		}
		// After the end of the body this reads nothing.
		resp.Body.Close()
		rep.charge, rep.Body = taken, body
		rep.Surplus = c.r.Buffered() > 0
		rep.reusable = !resp.Close && !rep.Surplus
		// Most replies that nobody waits for any more are dropped on their way.
		runtime.AddCleanup(rep, (*charge).release, taken)
		return rep, nil
	}
	return nil, errInformational
}

// parseKeepAlive returns the timeout of the Keep-Alive header, 0 when there is none.
func parseKeepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(key, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
