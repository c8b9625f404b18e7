package linker

import (
	"net"
	"net/netip"
	"sync/atomic"
)

// peerConn is a TCP connection between daemons that counts its bytes. Once Config.Block has dropped
// one write it drops all later ones too, as a network partition loses what is sent on a connection.
type peerConn struct {
	net.Conn
	l *Linker
	// peer is the address of the other daemon. The serving end learns it from the first message.
	peer      atomic.Pointer[netip.AddrPort]
	isCut     atomic.Bool
	sentBytes atomic.Int64
	recvBytes atomic.Int64
}

// messageCounter is an accepted connection that learns when a message is complete.
type messageCounter interface {
	MessageDone()
}

func newPeerConn(l *Linker, conn net.Conn) *peerConn {
	return &peerConn{Conn: conn, l: l}
}

// Write writes p, or drops it when the direction to the peer is cut.
func (w *peerConn) Write(p []byte) (int, error) {
	if w.dropsWrites() {
		return len(p), nil
	}
	n, err := w.Conn.Write(p)
	w.sentBytes.Add(int64(n))
	return n, err
}

// Read reads into p.
func (w *peerConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.recvBytes.Add(int64(n))
	return n, err
}

// messageDone tells an accepted connection that a message has been read completely.
func (w *peerConn) messageDone() {
	if m, ok := w.Conn.(messageCounter); ok {
		m.MessageDone()
	}
}

// dropsWrites reports whether writes are dropped.
func (w *peerConn) dropsWrites() bool {
	if w.isCut.Load() {
		return true
	}
	peer := w.peer.Load()
	if peer == nil || !w.l.isBlocked(*peer) {
		return false
	}
	w.isCut.Store(true)
	return true
}

// countBytes adds the bytes since its last call to the metrics of p.
func (w *peerConn) countBytes(p purpose) {
	w.l.metrics.sentBytes[p].Add(float64(w.sentBytes.Swap(0)))
	w.l.metrics.recvBytes[p].Add(float64(w.recvBytes.Swap(0)))
}
