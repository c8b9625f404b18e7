package assembler

import (
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"cornelwood.example/internal/web/evictor"
	"cornelwood.example/internal/web/server"
)

// messageTimeout bounds the time from the first byte of another daemon's message to its end. Nobody waits for one that long.
const messageTimeout = 30 * time.Second

// buildEvictor creates the evictor, which bounds the connections of all listeners and the memory of incomplete requests.
func (d *Daemon) buildEvictor() {
	p := &d.settings.Process
	d.shares = evictor.Derive(evictor.Settings{
		MemoryMB: p.MemoryMB, Descriptors: evictor.Descriptors(p.Descriptors), Connections: p.Connections, BufferMB: p.BufferMB,
	})
	if d.shares.Heap > 0 {
		debug.SetMemoryLimit(d.shares.Heap)
	}
	d.evictor = evictor.New(d.shares.Bytes, d.log.Named("limits"), d.reg)
}

// server returns the service of an HTTP server on a listener, bounded by the evictor. Limits of time and of heads are those of
// the server, but for that of answers that are not read. The evictor enforces that of heads: package http would keep a connection
// for half a second after its refusal, in which it gives way to none.
func (d *Daemon) server(name string, conns int, lis net.Listener, srv *http.Server) *server.Server {
	headBytes := srv.MaxHeaderBytes
	srv.MaxHeaderBytes = http.DefaultMaxHeaderBytes
	g := d.evictor.Group(name, conns, func() evictor.Limits {
		return evictor.Limits{HeadBytes: headBytes, StallTimeout: d.settings.Process.Stall}
	})
	g.Bound(srv)
	return server.New(name, g.Listener(lis), srv)
}

// peerGroup returns the group of the connections that other daemons open.
func (d *Daemon) peerGroup() *evictor.Group {
	return d.evictor.MessageGroup("peers", d.shares.Peers, func() evictor.Limits {
		return evictor.Limits{HeadTimeout: messageTimeout, StallTimeout: d.settings.Process.Stall}
	})
}
