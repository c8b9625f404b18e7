// Package dialer is a network in memory, for tests that run HTTP clients and
// servers under testing/synctest, where sockets cannot be used.
package dialer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Network connects its listeners to those who dial them.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
}

// New returns an empty Network.
func New() *Network {
	return &Network{listeners: make(map[netip.AddrPort]*listener)}
}

// Listen returns a listener on an address that is not taken.
func (n *Network) Listen(addr netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, fmt.Errorf("listen %s: the address is in use", addr)
	}
	l := &listener{owner: n, addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// DialContext connects to the listener on an address. Its form is that of
// http.Transport.DialContext.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, refused(addr)
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, refused(addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func refused(addr netip.AddrPort) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(addr), Err: fmt.Errorf("connection refused")}
}

// listener is one listening address of a Network.
type listener struct {
	owner  *Network
	addr   netip.AddrPort
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept returns the next connection, or net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.owner.mu.Lock()
		defer l.owner.mu.Unlock()
		delete(l.owner.listeners, l.addr)
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.addr)
}
