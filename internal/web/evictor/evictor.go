package evictor

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"cornelwood.example/internal/time/sleeper"
)

const (
	// sweepInterval is the time between two checks of the limits of time. It adds to them.
	sweepInterval = 250 * time.Millisecond
	// Bounds on log lines; what is beyond them appears only in the metrics.
	logLinesPerSecond = 5
	logBurst          = 20
	// receiveBytes is the receive buffer of an accepted connection, which the kernel doubles. Without it a client that
	// is not read from can make the kernel hold several MB, which count as memory of the process.
	receiveBytes = 16 << 10
	// waitingBytes is the receive buffer of a connection that waits to be accepted. It has room for an ordinary request.
	waitingBytes = 4 << 10
	// sendBytes is the send buffer of an accepted connection. The kernel's own sizing holds up to 4 MB for a client that
	// does not read.
	sendBytes = 32 << 10
	// backlog bounds the connections of a listener that the kernel holds before they are accepted. With 256 an ordinary client
	// beside 1,400 abusive ones waited for a minute: the kernel had dropped the end of its handshake.
	backlog = 1024
	// admitWait bounds the time for which a new connection waits for room, and admitInterval is the interval at which it is
	// looked for. Clients give a request up that is not read within a second.
	admitWait     = 250 * time.Millisecond
	admitInterval = 5 * time.Millisecond
)

// Bounds at which a connection gives way, as in log lines and metrics.
const (
	boundConns    = "connections"
	boundBytes    = "memory"
	boundHead     = "head size"
	boundHeadTime = "head timeout"
	boundIdleTime = "idle timeout"
	// boundBodyTime is the client's time limit or the route's, boundStop a planned stop.
	boundBodyTime = "body timeout"
	boundStop     = "stop"
	// boundStallTime is the time in which a client takes nothing of its answer.
	boundStallTime = "answer timeout"
)

// Evictor holds the memory budget of a process and its Groups. It is a suture service whose Serve enforces limits of time.
type Evictor struct {
	bytes int64
	log   hclog.Logger
	reg   prometheus.Registerer
	lines *rate.Limiter
	turns turns

	evicted *prometheus.CounterVec
	refused *prometheus.CounterVec

	mu     sync.Mutex
	used   int64
	groups []*Group
	// unlogged holds the arguments of log lines. Serve writes them, since a log may block.
	unlogged [][]any
}

// New returns an Evictor with a budget of bytes, which registers its metrics with reg.
func New(bytes int64, log hclog.Logger, reg prometheus.Registerer) *Evictor {
	e := &Evictor{
		bytes: bytes, log: log, reg: reg, lines: rate.NewLimiter(logLinesPerSecond, logBurst), turns: newTurns(),
		evicted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelwood_evicted_total", Help: "Connections closed, and bodies refused, by listener, phase and the bound that was reached.",
		}, []string{"listener", "phase", "bound"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelwood_connections_refused_total", Help: "New connections closed because none could give way, by listener.",
		}, []string{"listener"}),
	}
	used := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cornelwood_request_bytes", Help: "Bytes of heads and bodies of requests that are held now.",
	}, func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return float64(e.used)
	})
	reg.MustRegister(e.evicted, e.refused, used)
	return e
}

// Descriptors returns the number of files and sockets that the process may have open: the configured number, or the one that
// the system allows if that is 0.
func Descriptors(configured int) int {
	if configured > 0 {
		return configured
	}
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(l.Cur)
}

// String names the service for its supervisor.
func (e *Evictor) String() string {
	return "evictor"
}

// Serve closes connections that exceed a limit of time, until ctx ends.
func (e *Evictor) Serve(ctx context.Context) error {
	for {
		if err := sleeper.Sleep(ctx, sweepInterval); err != nil {
			return err
		}
		e.sweep(time.Now())
		e.writeLog()
	}
}

// sweep closes the connections that exceed a limit of time, and takes changed limits over.
func (e *Evictor) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.groups {
		l := g.limits()
		g.headBytes.Store(int64(l.HeadBytes))
		for c := range g.conns {
			if bound := overdue(c.state, l, now); bound != "" {
				e.evict(c, bound, now)
			}
		}
	}
	// An answer counts as stalled some time after it has used the budget up.
	e.makeRoom(now)
}

// Group is the connections of one listener.
type Group struct {
	e        *Evictor
	name     string
	maxConns int
	limits   func() Limits
	// headBytes is Limits.HeadBytes as of the last sweep.
	headBytes atomic.Int64
	// hasMessages is true when connections carry messages between daemons, not requests.
	hasMessages bool
	// isPressed is true while new connections have to wait for room. It and conns are guarded by the Evictor's mutex, as is the
	// state of each connection.
	isPressed bool
	// leaving is the number of connections that have given way and that the server has not left yet.
	leaving int
	conns   map[*Conn]struct{}
}

// Group returns a new Group of at most maxConns connections. limits returns the limits in force.
func (e *Evictor) Group(name string, maxConns int, limits func() Limits) *Group {
	g := &Group{e: e, name: name, maxConns: maxConns, limits: limits, conns: make(map[*Conn]struct{})}
	g.headBytes.Store(int64(limits().HeadBytes))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.groups = append(e.groups, g)
	e.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cornelwood_connections", Help: "Accepted connections that are open, by listener.", ConstLabels: prometheus.Labels{"listener": name},
	}, func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return float64(len(g.conns))
	}))
	return g
}

// MessageGroup returns a new Group of at most maxConns connections that carry messages between daemons.
func (e *Evictor) MessageGroup(name string, maxConns int, limits func() Limits) *Group {
	g := e.Group(name, maxConns, limits)
	g.hasMessages = true
	return g
}

// Listener returns a listener whose connections belong to the group. It bounds what the kernel holds of them.
func (g *Group) Listener(lis net.Listener) net.Listener {
	if tcp, ok := lis.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			// Accepted connections inherit the sizes. If a call fails, they work all the same.
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, waitingBytes)
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBytes)
				_ = unix.Listen(int(fd), backlog)
			})
		}
	}
	return &listener{Listener: lis, g: g}
}

type listener struct {
	net.Listener
	g *Group
}

// Accept returns the next connection that the group has room for. It waits for room, for admitWait at most: later connections wait
// in the kernel meanwhile, in order.
//
// Load pattern: a crowd holds all connections, none of which may give way at the moment, and comes back as soon as it is refused.
// An ordinary client that is refused at once rarely meets the moment at which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := nc.(*net.TCPConn); ok {
			// If the call fails, the connection works with a smaller buffer.
			_ = tcp.SetReadBuffer(receiveBytes)
		}
		for startedAt := time.Now(); ; time.Sleep(admitInterval) {
			if c := l.g.admit(nc, time.Now()); c != nil {
				return c, nil
			}
			if time.Since(startedAt) >= admitWait {
				break
			}
		}
		l.g.refuse(nc)
	}
}

// admit returns a new connection of the group, for which another one may have to give way; nil if none can.
func (g *Group) admit(nc net.Conn, now time.Time) *Conn {
	c := &Conn{Conn: nc, g: g, gone: make(chan struct{}), state: State{Phase: Unused, Since: now}}
	g.e.mu.Lock()
	defer g.e.mu.Unlock()
	if !HasRoom(g.leaving, g.maxConns) {
		g.isPressed = true
		return nil
	}
	if len(g.conns) >= g.maxConns {
		var victim *Conn
		allowed := Grace(g.isPressed, g.limits())
		for o := range g.conns {
			if MayGiveConn(o.state, now, allowed) && (victim == nil || GivesConn(o.state, victim.state, now, allowed)) {
				victim = o
			}
		}
		if victim == nil {
			g.isPressed = true
			return nil
		}
		g.e.evict(victim, boundConns, now)
	} else {
		g.isPressed = false
	}
	g.conns[c] = struct{}{}
	return c
}

// refuse closes a new connection for which none can give way.
func (g *Group) refuse(nc net.Conn) {
	g.e.refused.WithLabelValues(g.name).Inc()
	nc.Close()
}

// evict closes a connection at once. e.mu is held.
func (e *Evictor) evict(c *Conn, bound string, now time.Time) {
	e.record(c, bound, now)
	e.remove(c)
	c.Conn.Close()
}

// RefuseIncomplete refuses the requests whose bodies are not complete, before a planned stop.
func (e *Evictor) RefuseIncomplete() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.groups {
		for c := range g.conns {
			if c.state.Phase == Body {
				e.refuseBody(c, boundStop, reasonStopping, time.Now())
			}
		}
	}
}

// refuseBody makes reading the body of a connection fail, so that its request is refused. e.mu is held.
func (e *Evictor) refuseBody(c *Conn, bound, reason string, now time.Time) {
	e.record(c, bound, now)
	c.reason = reason
	e.release(c)
	c.setPhase(Ending, now)
	// The error means that the connection is closed already.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// record counts and logs that a connection gives way. e.mu is held.
func (e *Evictor) record(c *Conn, bound string, now time.Time) {
	e.evicted.WithLabelValues(c.g.name, c.state.Phase.String(), bound).Inc()
	// Ordinary clients leave idle connections, too.
	if bound == boundIdleTime || len(e.unlogged) >= logBurst || !e.lines.AllowN(now, 1) {
		return
	}
	e.unlogged = append(e.unlogged, []any{
		"listener", c.g.name, "phase", c.state.Phase.String(), "bound", bound, "held", c.state.Bytes,
		"age", now.Sub(c.state.Since), "connections", len(c.g.conns), "bytes", e.used, "remote", c.RemoteAddr().String(),
	})
}

// writeLog writes the log lines since its last call.
func (e *Evictor) writeLog() {
	e.mu.Lock()
	lines := e.unlogged
	e.unlogged = nil
	e.mu.Unlock()
	for _, args := range lines {
		e.log.Info("connection gave way", args...)
	}
}

// remove removes a connection from its group. e.mu is held.
func (e *Evictor) remove(c *Conn) {
	e.release(c)
	if !c.isGone {
		c.isGone = true
		close(c.gone)
		if !c.isLeft {
			c.g.leaving++
		}
	}
	delete(c.g.conns, c)
}

// release returns what a connection holds of a request to the budget. e.mu is held.
func (e *Evictor) release(c *Conn) {
	c.held = Held{}
	e.used -= c.state.Bytes
	c.state.Bytes = 0
}

// charge makes the share of a connection follow from what it holds. e.mu is held.
func (e *Evictor) charge(c *Conn, now time.Time) {
	grown := c.held.Cost() - c.state.Bytes
	c.state.Bytes += grown
	e.used += grown
	if grown > 0 {
		e.makeRoom(now)
	}
}

// makeRoom lets the slowest connection give way while the budget is used up. e.mu is held.
func (e *Evictor) makeRoom(now time.Time) {
	for e.used > e.bytes {
		var victim *Conn
		for _, g := range e.groups {
			for o := range g.conns {
				if MayGiveBytes(o.state, now) && (victim == nil || GivesBytes(o.state, victim.state, now)) {
					victim = o
				}
			}
		}
		switch {
		case victim == nil:
			return
		case victim.state.Phase == Body && !victim.state.isStalled(now, grace):
			e.refuseBody(victim, boundBytes, reasonMemory, now)
		default:
			e.evict(victim, boundBytes, now)
		}
	}
}
