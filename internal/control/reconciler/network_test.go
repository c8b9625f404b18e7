package reconciler

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cornelwood.example/internal/peer/linker"
)

// oneWayLatency is the latency of the simulated network in one direction.
const oneWayLatency = 500 * time.Microsecond

// network is a simulated network. It carries calls between daemons and counts them.
type network struct {
	enc cbor.EncMode

	mu       sync.Mutex
	handlers map[netip.AddrPort]map[string]handler
	// isLost reports whether messages from a to b are lost.
	isLost func(a, b netip.AddrPort) bool
	// calls and bytes count calls and their bytes in both directions, by RPC name.
	calls, bytes map[string]int
}

type handler func(ctx context.Context, from netip.AddrPort, body []byte) (any, error)

func newNetwork() *network {
	enc, err := cbor.EncOptions{TextMarshaler: cbor.TextMarshalerTextString}.EncMode()
	if err != nil {
		panic(err)
	}
	return &network{
		enc:      enc,
		handlers: make(map[netip.AddrPort]map[string]handler),
		isLost:   func(_, _ netip.AddrPort) bool { return false },
		calls:    make(map[string]int),
		bytes:    make(map[string]int),
	}
}

// testLinker is a daemon's Linker on the simulated network.
type testLinker struct {
	n    *network
	self netip.AddrPort
}

func (p *testLinker) Handle(name string, fn func(ctx context.Context, from netip.AddrPort, body []byte) (any, error)) {
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	if p.n.handlers[p.self] == nil {
		p.n.handlers[p.self] = make(map[string]handler)
	}
	p.n.handlers[p.self][name] = fn
}

func (p *testLinker) Call(ctx context.Context, peer netip.AddrPort, name string, in, out any) error {
	body, err := p.n.enc.Marshal(in)
	if err != nil {
		return err
	}
	fn, lost := p.n.route(p.self, peer, name, len(body))
	if lost {
		<-ctx.Done()
		return &linker.UnreachableError{Peer: peer, Sent: true, Err: ctx.Err()}
	}
	if fn == nil {
		return &linker.UnreachableError{Peer: peer, Refused: true, Err: errors.New("refused")}
	}
	time.Sleep(oneWayLatency)
	answer, err := fn(ctx, p.self, body)
	time.Sleep(oneWayLatency)
	if err != nil {
		return err
	}
	if _, lost := p.n.route(peer, p.self, "", 0); lost {
		<-ctx.Done()
		return &linker.UnreachableError{Peer: peer, Sent: true, Err: ctx.Err()}
	}
	back, err := p.n.enc.Marshal(answer)
	if err != nil {
		return err
	}
	p.n.count(name, 0, len(back))
	return linker.Decode(back, out)
}

// route returns the handler of a call, nil when nothing listens at the address, and
// whether the message is lost. It counts the call unless the name is empty.
func (n *network) route(from, to netip.AddrPort, name string, size int) (handler, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name != "" {
		n.calls[name]++
		n.bytes[name] += size
	}
	return n.handlers[to][name], n.isLost(from, to)
}

func (n *network) count(name string, calls, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[name] += calls
	n.bytes[name] += size
}

func (n *network) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.calls)
	clear(n.bytes)
}

// cut sets which messages are lost from now on.
func (n *network) cut(isLost func(a, b netip.AddrPort) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isLost = isLost
}

// remove makes an address refuse calls.
func (n *network) remove(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, addr)
}
