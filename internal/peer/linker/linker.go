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

// rpcPrefix stands before the name of every call.
const rpcPrefix = "/cornelwood.Peer/"

// exchangeName is the name of the streaming call for tasks.
const exchangeName = "Exchange"

// Worker runs tasks that peers sent.
type Worker interface {
	// Do takes on a task and returns without waiting for its outcome. It calls
	// deliver once, from any goroutine. Cancelling ctx says that nobody waits
	// for the result any more. t.Remaining is the time left at the call.
	Do(ctx context.Context, t exchanger.Task, deliver func(exchanger.Result))
}

// Handler answers a unary call. from is the address of the calling daemon. The
// value that it returns is encoded for the caller.
type Handler func(ctx context.Context, from netip.AddrPort, body []byte) (any, error)

// Linker holds the links of this daemon to its peers and serves theirs.
type Linker struct {
	cfg    Config
	worker Worker
	log    hclog.Logger
	meter  *meter
	block  atomic.Pointer[func(netip.AddrPort) bool]

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.RWMutex
	closed   bool
	links    map[netip.AddrPort]*link
	pools    map[netip.AddrPort]*pool
	handlers map[string]Handler
}

// New returns a Linker that gives the tasks of peers to worker. The clean-up
// function closes every connection and waits for its goroutines.
func New(cfg Config, worker Worker, log hclog.Logger, reg prometheus.Registerer) (*Linker, func()) {
	cfg = cfg.withDefaults()
	m, unregister := newMeter(reg)
	ctx, cancel := context.WithCancel(context.Background())
	l := &Linker{
		cfg:      cfg,
		worker:   worker,
		log:      log,
		meter:    m,
		ctx:      ctx,
		cancel:   cancel,
		links:    make(map[netip.AddrPort]*link),
		pools:    make(map[netip.AddrPort]*pool),
		handlers: make(map[string]Handler),
	}
	l.block.Store(&cfg.Block)
	l.wg.Go(l.watch)
	return l, func() {
		l.close()
		unregister()
	}
}

// SetBlock replaces Config.Block.
func (l *Linker) SetBlock(block func(peer netip.AddrPort) bool) {
	l.block.Store(&block)
}

// Exchange sends tasks to a peer and returns at once. It calls deliver exactly
// once for each task, from other goroutines. Results carry the tasks' own IDs.
//
//   - Unreachable and Shed from here carry Sent false: the task did not leave.
//   - Failed carries Sent true: the task may have left, and no result came.
//   - Cancelling ctx tells the peer, and delivers Late for what is left; a task
//     that runs at most once and may have left is Failed with Sent true.
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

// Handle sets the handler of a unary call. It must be set before Serve.
func (l *Linker) Handle(name string, fn func(ctx context.Context, from netip.AddrPort, body []byte) (any, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[name] = fn
}

// Encode returns the form in which calls carry v.
func Encode(v any) ([]byte, error) {
	return wireCodec.Marshal(v)
}

// Decode reads the body of a unary call into out, and checks it when out has a
// Check method. Its error is a *RemoteError that tells the caller.
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

// link returns the link to peer, a new one when there is none, and false after
// the clean-up.
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

// drop forgets a link that has retired.
func (l *Linker) drop(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.peer] == k {
		delete(l.links, k.peer)
	}
}

// watch looks after silent links and idle connections. It counts its own turns
// rather than the time, so that a pause of this process closes nothing.
func (l *Linker) watch() {
	tick := time.NewTicker(l.cfg.HeartbeatInterval)
	defer tick.Stop()
	limit := max(2, int(l.cfg.Silence/l.cfg.HeartbeatInterval))
	idle := max(1, int(l.cfg.Idle/l.cfg.HeartbeatInterval))
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
		}
		links, pools := l.all()
		for _, k := range links {
			k.tick(limit, idle)
		}
		for _, p := range pools {
			p.tick(idle)
		}
	}
}

func (l *Linker) all() ([]*link, []*pool) {
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

// dial opens a connection to peer.
func (l *Linker) dial(ctx context.Context, peer netip.AddrPort) (*wire, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.DialTimeout)
	defer cancel()
	l.meter.dials.Inc()
	if l.blocked(peer) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, err
	}
	w := newWire(l, conn)
	w.peer.Store(&peer)
	return w, nil
}

func (l *Linker) blocked(peer netip.AddrPort) bool {
	return (*l.block.Load())(peer)
}

func (l *Linker) managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: 2 * (l.cfg.FrameBytes + maxResultBytes)},
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

// refuseAll delivers one status for all tasks, none of which left.
func refuseAll(tasks []exchanger.Task, s exchanger.Status, reason string, deliver func(exchanger.Result)) {
	for i := range tasks {
		deliver(exchanger.Result{ID: tasks[i].ID, Status: s, Reason: reason})
	}
}
