package connector

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxReplyBytes is the maximum size of an answer's body, which is held in memory.
	maxReplyBytes = 8 << 20
	// freeReplyBytes is the part of each body that does not count towards Config.MaxBuffered: most bodies are smaller.
	freeReplyBytes = 16 << 10
	// roomInterval is the interval at which an answer that waits for memory looks for it.
	roomInterval = 5 * time.Millisecond
	// maxRoomWait bounds that wait: as long as an answer may be unread until it gives way.
	maxRoomWait = 250 * time.Millisecond
)

// errBuffered means that the bodies which are read at once have more than Config.MaxBuffered bytes.
var errBuffered = errors.New("too many bytes of answers are read at once")

// memory bounds the bytes of large bodies, from when they are read until they have been passed on.
//
// Load pattern: many searchers that send bodies without end at the same time, in place of answers, until their caller
// closes the connection; many clients that ask for large answers and do not read them.
type memory struct {
	limit int64
	used  atomic.Int64
}

// charge is the part of a memory that one body takes.
type charge struct {
	m *memory
	n atomic.Int64
}

// add takes n bytes. It returns false, and takes nothing, when there is no room for them.
func (c *charge) add(n int64) bool {
	if c.m.used.Add(n) > c.m.limit {
		c.m.used.Add(-n)
		return false
	}
	c.n.Add(n)
	return true
}

// release gives everything back. Later calls change nothing.
func (c *charge) release() {
	c.m.used.Add(-c.n.Swap(0))
}

// await takes n bytes as soon as there is room for them. canWait reports whether the answer is still wanted.
func (c *charge) await(n int64, canWait func() bool) bool {
	for latest := time.Now().Add(maxRoomWait); !c.add(n); {
		if n > c.m.limit || !canWait() || time.Now().After(latest) {
			return false
		}
		time.Sleep(roomInterval)
	}
	return true
}

// readBody reads an answer's body of at most limit bytes, and returns it with what it takes of the memory. One whose length is known
// waits for room, and one of unknown length for the gate, when it is large; canWait reports whether it may. It holds no room meanwhile,
// so that answers do not wait for each other. It leaves the body open: Close would read the rest of one without an end, and the
// connection of an answer that was not read whole is closed anyway.
func (m *memory) readBody(resp *http.Response, g *gate, limit int64, canWait func() bool) (_ []byte, c *charge, err error) {
	c = &charge{m: m}
	if resp.ContentLength > limit {
		return nil, c, &http.MaxBytesError{Limit: limit}
	}
	defer func() {
		if err != nil {
			c.release()
		}
	}()
	size := min(max(resp.ContentLength+1, 512), freeReplyBytes)
	if resp.Body != http.NoBody && resp.ContentLength > freeReplyBytes {
		if !c.await(resp.ContentLength, canWait) {
			return nil, c, errBuffered
		}
		size = resp.ContentLength + 1
	}
	if resp.ContentLength >= 0 {
		g = nil
	}
	body, err := m.read(resp, make([]byte, 0, size), c, limit, g, canWait)
	return body, c, err
}

// read reads a body into a buffer that grows. Beyond freeReplyBytes it must be admitted by the gate, if there is one.
func (m *memory) read(resp *http.Response, body []byte, charged *charge, limit int64, g *gate, canWait func() bool) (_ []byte, err error) {
	isAdmitted := g == nil
	if g != nil {
		defer func() {
			if isAdmitted {
				g.leave(len(body), err)
			}
		}()
	}
	for {
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case int64(len(body)) > limit:
			return nil, &http.MaxBytesError{Limit: limit}
		case len(body) < cap(body):
			continue
		}
		if !isAdmitted && len(body) >= freeReplyBytes {
			if isAdmitted = g.enter(canWait); !isAdmitted {
				return nil, errBuffered
			}
			limit = min(limit, g.limit())
		}
		grown := 2 * cap(body)
		if grown > freeReplyBytes && !charged.add(int64(grown)-charged.n.Load()) {
			return nil, errBuffered
		}
		body = append(make([]byte, 0, grown), body...)
	}
}
