package linker

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"cornelwood.example/internal/contract/exchanger"
)

// rpcPrefix is the prefix of every rpc name.
const rpcPrefix = "/cornelwood.Peer/"

// exchangeName is the name of the rpc that streams tasks and results.
const exchangeName = "Exchange"

// Worker runs the tasks that peers send.
type Worker interface {
	// Do starts a task and returns without waiting for its result. It calls deliver once, from any
	// goroutine. ctx is cancelled when the sender no longer waits for the result. t.Remaining is
	// the time left at the call.
	Do(ctx context.Context, t exchanger.Task, deliver func(exchanger.Result))
}

// Handler answers a unary call. from is the address of the calling daemon. The returned value is
// encoded as the answer.
type Handler func(ctx context.Context, from netip.AddrPort, body []byte) (any, error)

// Linker holds the links from this daemon to its peers, and serves the links and calls of the
// peers.
type Linker struct {
	cfg     Config
	worker  Worker
	log     hclog.Logger
	metrics *metrics
	block   atomic.Pointer[func(netip.AddrPort) bool]

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.RWMutex
	closed   bool
	links    map[netip.AddrPort]*link
	pools    map[netip.AddrPort]*pool
	handlers map[string]Handler
	// streamHandlers holds the handlers of streams by name.
	streamHandlers map[string]StreamHandler
}

// New returns a Linker that passes the tasks of peers to worker; without one it accepts none. The clean-up function closes all
// links and pools and waits for their goroutines.
func New(cfg Config, worker Worker, log hclog.Logger, reg prometheus.Registerer) (*Linker, func()) {
	cfg = cfg.withDefaults()
	m, unregister := newMetrics(reg)
	ctx, cancel := context.WithCancel(context.Background())
	l := &Linker{
		cfg:      cfg,
		worker:   worker,
		log:      log,
		metrics:  m,
		ctx:      ctx,
		cancel:   cancel,
		links:    make(map[netip.AddrPort]*link),
		pools:    make(map[netip.AddrPort]*pool),
		handlers: make(map[string]Handler),

		streamHandlers: make(map[string]StreamHandler),
	}
	l.block.Store(&cfg.Block)
	l.wg.Go(l.runTicks)
	return l, func() {
		l.close()
		unregister()
	}
}

// SetBlock replaces Config.Block.
func (l *Linker) SetBlock(block func(peer netip.AddrPort) bool) {
	l.block.Store(&block)
}

// Exchange sends tasks to a peer and returns at once. It calls deliver exactly once for each task,
// from other goroutines. Each result has the ID of its task.
//
//   - Unreachable and Shed that this Linker sets itself have Sent false: the task was not sent.
//   - Failed has Sent true: the task may have been sent, and no result arrived.
//   - When ctx is cancelled, the tasks are cancelled at the peer, and those without a result get
//     DeadlineExceeded. A task that runs at most once and may have been sent gets Failed with
//     Sent true.
func (l *Linker) Exchange(ctx context.Context, peer netip.AddrPort, tasks []exchanger.Task, deliver func(exchanger.Result)) {
	if len(tasks) == 0 {
		return
	}
	for {
		k, ok := l.link(peer)
		if !ok {
			go refuseAll(tasks, exchanger.Unreachable, "this daemon is stopping", deliver)
			return
		}
		if k.submit(ctx, tasks, deliver) {
			return
		}
	}
}

// Handle sets the handler of the unary call name. It must be called before Serve.
func (l *Linker) Handle(name string, fn func(ctx context.Context, from netip.AddrPort, body []byte) (any, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[name] = fn
}

// Encode returns v in the encoding of calls.
func Encode(v any) ([]byte, error) {
	return wireCodec.Marshal(v)
}

// Decode decodes the body of a unary call into out, and validates it when it has a Check method.
// Its error is a *RemoteError with CodeInvalid, which a handler can return to the caller.
func Decode(body []byte, out any) error {
	if err := wireCodec.Unmarshal(body, out); err != nil {
		return &RemoteError{Code: CodeInvalid, Reason: err.Error()}
	}
	if c, ok := out.(interface{ Check() error }); ok {
		if err := c.Check(); err != nil {
			return &RemoteError{Code: CodeInvalid, Reason: err.Error()}
		}
	}
	return nil
}

// link returns the link to a peer, which it creates when there is none, or false after the
// clean-up.
func (l *Linker) link(peer netip.AddrPort) (*link, bool) {
	l.mu.RLock()
	k, ok := l.links[peer]
	l.mu.RUnlock()
	if ok {
		return k, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false
	}
	if k, ok := l.links[peer]; ok {
		return k, true
	}
	k = newLink(l, peer)
	l.links[peer] = k
	l.wg.Go(k.run)
	return k, true
}

// removeLink removes a link that has retired.
func (l *Linker) removeLink(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.peer] == k {
		delete(l.links, k.peer)
	}
}

// runTicks sends a tick to all links and pools every HeartbeatInterval. Silence and idle time are
// counted in ticks and not by the clock, so that a pause of this process closes nothing.
func (l *Linker) runTicks() {
	tick := time.NewTicker(l.cfg.HeartbeatInterval)
	defer tick.Stop()
	maxSilentTicks := max(2, int(l.cfg.SilenceTimeout/l.cfg.HeartbeatInterval))
	maxUnusedTicks := max(1, int(l.cfg.IdleTimeout/l.cfg.HeartbeatInterval))
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
		}
		links, pools := l.linksAndPools()
		for _, k := range links {
			k.tick(maxSilentTicks, maxUnusedTicks)
		}
		for _, p := range pools {
			p.tick(maxUnusedTicks)
		}
	}
}

func (l *Linker) linksAndPools() ([]*link, []*pool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	links := make([]*link, 0, len(l.links))
	for _, k := range l.links {
		links = append(links, k)
	}
	pools := make([]*pool, 0, len(l.pools))
	for _, p := range l.pools {
		pools = append(pools, p)
	}
	return links, pools
}

// dial opens a connection to a peer.
func (l *Linker) dial(ctx context.Context, peer netip.AddrPort) (*peerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.DialTimeout)
	defer cancel()
	l.metrics.dials.Inc()
	if l.isBlocked(peer) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, err
	}
	w := newPeerConn(l, conn)
	w.peer.Store(&peer)
	return w, nil
}

func (l *Linker) isBlocked(peer netip.AddrPort) bool {
	return (*l.block.Load())(peer)
}

func (l *Linker) managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: 2 * (l.cfg.MaxFrameBytes + maxResultBytes)},
	}
}

func (l *Linker) close() {
	l.mu.Lock()
	l.closed = true
	pools := l.pools
	l.pools = make(map[netip.AddrPort]*pool)
	l.mu.Unlock()
	l.cancel()
	for _, p := range pools {
		p.closeAll()
	}
	l.wg.Wait()
}

// refuseAll delivers one status for all tasks, none of which was sent.
func refuseAll(tasks []exchanger.Task, s exchanger.Status, reason string, deliver func(exchanger.Result)) {
	for i := range tasks {
		deliver(exchanger.Result{ID: tasks[i].ID, Status: s, Reason: reason})
	}
}
