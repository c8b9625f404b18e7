package dialer

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// monotonicNow returns the monotonic time since the package was initialized. It is never 0.
var monotonicNow = func() func() time.Duration {
	base := time.Now()
	return func() time.Duration { return time.Since(base) + 1 }
}()

// link is the network connection below a conn. It measures for how long requests have been
// waiting without a byte from the upstream.
type link struct {
	net.Conn
	// waitingSince is the time of the first request since the last incoming byte, by
	// monotonicNow; 0 when there is none.
	waitingSince atomic.Int64
	// writes counts the writes begun.
	writes atomic.Int64
	// closedByUpstream is true when the upstream closed or reset the connection.
	closedByUpstream atomic.Bool
	// closedByClient is true when the Client closed the connection.
	closedByClient atomic.Bool
	closed         atomic.Bool
	onClose        func(*link)
}

// Read reads from the connection. Any byte ends its silence.
func (l *link) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if n > 0 {
		l.waitingSince.Store(0)
	}
	if err != nil && !l.closed.Load() {
		l.closedByUpstream.Store(true)
	}
	return n, err
}

// Write writes to the connection, and records when the upstream has closed it.
func (l *link) Write(p []byte) (int, error) {
	l.writes.Add(1)
	n, err := l.Conn.Write(p)
	if err != nil && !l.closed.Load() && !errors.Is(err, os.ErrDeadlineExceeded) {
		l.closedByUpstream.Store(true)
	}
	return n, err
}

// Close closes the connection and notifies the pool. It marks the link as closed first, so
// that a read which fails as a result does not count as a close by the upstream. It does
// not wait for the pool, because net/http calls it with a lock held that the pool needs.
func (l *link) Close() error {
	first := l.closed.CompareAndSwap(false, true)
	err := l.Conn.Close()
	if first && l.onClose != nil {
		go l.onClose(l)
	}
	return err
}

// startWaiting records that a request is about to be sent.
func (l *link) startWaiting() {
	l.waitingSince.CompareAndSwap(0, int64(monotonicNow()))
}

// silence returns how long a request has been waiting without an incoming byte.
func (l *link) silence() time.Duration {
	since := l.waitingSince.Load()
	if since == 0 {
		return 0
	}
	return monotonicNow() - time.Duration(since)
}

// conn is one connection to the upstream.
type conn struct {
	http *http.ClientConn
	link *link
	// busy counts the requests on the connection, and retired is true when it accepts no
	// more; the pool's lock guards both.
	busy    int
	retired bool
	// probing is true while a probe is in flight; lastProbe is the last one answered.
	probing   atomic.Bool
	lastProbe atomic.Pointer[probe]
}

// usable reports whether the connection accepts new requests.
func (c *conn) usable() bool {
	return !c.retired && c.http.Err() == nil
}
