package assembler

import (
	"net"
	"net/http"
	"runtime/debug"

	"cornelwood.example/internal/web/evictor"
	"cornelwood.example/internal/web/server"
)

// softLimitFraction is the fraction of the configured memory that is the Go runtime's soft memory limit.
const softLimitFraction = 0.7

// buildEvictor creates the evictor, which bounds the connections of all listeners and the memory of incomplete requests.
func (d *Daemon) buildEvictor() {
	p := &d.settings.Process
	if p.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(p.MemoryMB) * softLimitFraction * (1 << 20)))
	}
	d.shares = evictor.Derive(evictor.Settings{
		MemoryMB: p.MemoryMB, Descriptors: evictor.Descriptors(p.Descriptors), Connections: p.Connections, BufferMB: p.BufferMB,
	})
	d.evictor = evictor.New(d.shares.Bytes, d.log.Named("limits"), d.reg)
}

// server returns the service of an HTTP server on a listener, bounded by the evictor. Limits of time and of heads are those of
// the server.
func (d *Daemon) server(name string, conns int, lis net.Listener, srv *http.Server) *server.Server {
	g := d.evictor.Group(name, conns, noLimits)
	g.Bound(srv)
	return server.New(name, g.Listener(lis), srv)
}

// noLimits are the limits of connections that only the bounds of all connections concern.
func noLimits() evictor.Limits {
	return evictor.Limits{}
}
