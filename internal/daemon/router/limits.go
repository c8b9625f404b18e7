package router

import (
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"cornelwood.example/internal/settings/reader"
	"cornelwood.example/internal/web/evictor"
)

// buildEvictor creates the evictor, which bounds the connections of all listeners and the memory of incomplete requests.
func (r *Router) buildEvictor(settings *reader.EntrySettings) {
	p := &settings.Process
	r.shares = evictor.Derive(evictor.Settings{
		MemoryMB: p.MemoryMB, Descriptors: evictor.Descriptors(p.Descriptors), Connections: p.Connections, BufferMB: p.BufferMB,
	})
	r.evictor = evictor.New(r.shares.Bytes, r.log.Named("limits"), r.reg)
	if r.shares.Heap > 0 {
		debug.SetMemoryLimit(r.shares.Heap)
	}
	r.log.Info("limits of clients", "connections", r.shares.Clients, "peers", r.shares.Peers, "checks", r.shares.Checks,
		"buffer", r.shares.Bytes, "heap", r.shares.Heap)
}

// bound makes a server enforce limits, and returns the listener that it must serve.
func (r *Router) bound(name string, conns int, lis net.Listener, srv *http.Server, limits func() evictor.Limits) net.Listener {
	g := r.evictor.Group(name, conns, limits)
	g.Bound(srv)
	return g.Listener(lis)
}

// peerGroup returns the group of the connections that other daemons open. Idle ones have no limit of time: a daemon keeps links
// for as long as it wants.
func (r *Router) peerGroup() *evictor.Group {
	return r.evictor.MessageGroup("peers", r.shares.Peers, func() evictor.Limits {
		return evictor.Limits{HeadTimeout: readHeaderTimeout, StallTimeout: r.settings.Load().Process.Stall}
	})
}

// checkLimits returns the limits of connections to the address for checks.
func (r *Router) checkLimits() evictor.Limits {
	return evictor.Limits{
		HeadBytes: maxHeaderBytes, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, StallTimeout: r.settings.Load().Process.Stall,
	}
}

// answerGrace is the time that a client has to take a part of its answer while other clients wait for its connection.
const answerGrace = 350 * time.Millisecond

// limits returns the limits of clients' connections: those of the desired state in force, and defaults for what it leaves
// open.
func (r *Router) limits() evictor.Limits {
	l := r.checkLimits()
	l.AnswerGrace = answerGrace
	v := r.locator.View()
	if v.Matcher == nil {
		return l
	}
	set := v.Matcher.Routing().Limits
	if set.HeaderBytes > 0 {
		l.HeadBytes = set.HeaderBytes
	}
	if set.HeaderTimeout.Duration > 0 {
		l.HeadTimeout = set.HeaderTimeout.Duration
	}
	if set.IdleTimeout.Duration > 0 {
		l.IdleTimeout = set.IdleTimeout.Duration
	}
	return l
}
