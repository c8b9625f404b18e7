package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cornelwood.example/platform"
)

// callerTimeout is the time limit of each client request.
const callerTimeout = 5 * time.Second

// caller is a client with one connection that stays open.
type caller struct {
	site *site
	conn net.Conn
	r    *bufio.Reader
}

// call is one request, and what came of it.
type call struct {
	id, method, path string
	body             string
	// pieces is the number of writes in which the body is sent, with a pause before each.
	pieces int
	pause  time.Duration

	sentAt, endedAt time.Time
	status          int
	stamp           string
	// err is why there is no complete answer.
	err error
}

func (s *site) dial(ctx context.Context) (*caller, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.callers)
	if err != nil {
		return nil, err
	}
	return &caller{site: s, conn: conn, r: bufio.NewReader(conn)}, nil
}

func (c *caller) close() {
	c.conn.Close()
}

// do sends a request and waits for its answer until its time limit has passed.
func (c *caller) do(l *call) {
	l.sentAt = time.Now()
	c.site.rec.addf("client sends %s %s as %s, %d bytes", l.method, l.path, l.id, len(l.body))
	// A deadline that cannot be set shows as a failed read.
	_ = c.conn.SetDeadline(l.sentAt.Add(callerTimeout))
	l.err = c.exchange(l)
	l.endedAt = time.Now()
	if l.err != nil {
		c.site.rec.addf("client gets no complete answer to %s: %v", l.id, l.err)
		return
	}
	c.site.rec.addf("client gets status %d for %s, stamp %q", l.status, l.id, l.stamp)
}

func (c *caller) exchange(l *call) error {
	h := make(http.Header)
	platform.WriteRequestHeaders(h, l.id, callerTimeout)
	if l.body != "" {
		h.Set("Content-Length", strconv.Itoa(len(l.body)))
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", l.method, l.path, host)
	if err := h.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if _, err := io.WriteString(c.conn, head.String()); err != nil {
		return err
	}
	for i := range l.pieces {
		time.Sleep(l.pause)
		from, to := i*len(l.body)/l.pieces, (i+1)*len(l.body)/l.pieces
		if _, err := io.WriteString(c.conn, l.body[from:to]); err != nil {
			return err
		}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: l.method})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	l.status, l.stamp = resp.StatusCode, platform.ReadStamp(resp.Header)
	return nil
}
