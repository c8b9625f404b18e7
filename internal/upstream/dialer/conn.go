package dialer

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// clock returns the monotonic time since the process began to use the package.
var clock = func() func() time.Duration {
	base := time.Now()
	return func() time.Duration { return time.Since(base) + 1 }
}()

// link is the network connection below a conn. It watches for silence.
type link struct {
	net.Conn
	// owedSince is when the first request was sent after bytes last came in; 0 when
	// no answer is owed.
	owedSince atomic.Int64
	// writes counts the writes begun.
	writes atomic.Int64
	// ended is true when the upstream closed or reset the connection.
	ended atomic.Bool
	// dropped is true when the Client closed it.
	dropped atomic.Bool
	closed  atomic.Bool
	onClose func(*link)
}

// Read reads from the connection and notes that it is alive.
func (l *link) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if n > 0 {
		l.owedSince.Store(0)
	}
	if err != nil && !l.closed.Load() {
		l.ended.Store(true)
	}
	return n, err
}

// Write writes to the connection and notes when the upstream has ended it.
func (l *link) Write(p []byte) (int, error) {
	l.writes.Add(1)
	n, err := l.Conn.Write(p)
	if err != nil && !l.closed.Load() && !errors.Is(err, os.ErrDeadlineExceeded) {
		l.ended.Store(true)
	}
	return n, err
}

// Close closes the connection and tells the pool. It marks the link first, so
// that a read which fails for it is not taken for the upstream's doing. It does
// not wait for the pool: net/http closes with a lock held that the pool needs.
func (l *link) Close() error {
	first := l.closed.CompareAndSwap(false, true)
	err := l.Conn.Close()
	if first && l.onClose != nil {
		go l.onClose(l)
	}
	return err
}

// owe notes that a request is about to be sent.
func (l *link) owe() {
	l.owedSince.CompareAndSwap(0, int64(clock()))
}

// silentFor returns how long an answer has been owed without a byte coming in.
func (l *link) silentFor() time.Duration {
	since := l.owedSince.Load()
	if since == 0 {
		return 0
	}
	return clock() - time.Duration(since)
}

// conn is one connection to the upstream.
type conn struct {
	http *http.ClientConn
	link *link
	// busy counts the requests on the connection, and retired marks one that
	// takes no more; the pool's lock guards both.
	busy    int
	retired bool
	// probing is true while a probe is under way; probe is the last one answered.
	probing atomic.Bool
	probe   atomic.Pointer[probe]
}

// usable reports whether the connection takes new requests.
func (c *conn) usable() bool {
	return !c.retired && c.http.Err() == nil
}
