package linker

import (
	"net"
	"net/netip"
	"sync/atomic"
)

// wire is one TCP connection between daemons. It counts bytes, and after
// Config.Block has dropped a write it drops all later ones, as a cut does to a
// connection that it meets.
type wire struct {
	net.Conn
	l *Linker
	// peer is the other daemon's address; the serving end learns it from the
	// first message.
	peer    atomic.Pointer[netip.AddrPort]
	muted   atomic.Bool
	sentSum atomic.Int64
	recvSum atomic.Int64
}

func newWire(l *Linker, conn net.Conn) *wire {
	return &wire{Conn: conn, l: l}
}

// Write writes p, or drops it when the direction to the peer is cut.
func (w *wire) Write(p []byte) (int, error) {
	if w.cut() {
		return len(p), nil
	}
	n, err := w.Conn.Write(p)
	w.sentSum.Add(int64(n))
	return n, err
}

// Read reads into p.
func (w *wire) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.recvSum.Add(int64(n))
	return n, err
}

// cut reports whether writes are dropped.
func (w *wire) cut() bool {
	if w.muted.Load() {
		return true
	}
	peer := w.peer.Load()
	if peer == nil || !w.l.blocked(*peer) {
		return false
	}
	w.muted.Store(true)
	return true
}

// settle counts the bytes since the last call for p.
func (w *wire) settle(p purpose) {
	w.l.meter.sentBytes[p].Add(float64(w.sentSum.Swap(0)))
	w.l.meter.recvBytes[p].Add(float64(w.recvSum.Swap(0)))
}
