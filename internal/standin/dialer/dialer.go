// Package dialer is an in-memory network for tests that run HTTP clients and servers under testing/synctest, where
// sockets cannot be used.
package dialer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Network connects clients to its listeners by address.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
}

// New returns an empty Network.
func New() *Network {
	return &Network{listeners: make(map[netip.AddrPort]*listener)}
}

// Listen returns a listener on an address. It returns an error when the address is in use.
func (n *Network) Listen(addr netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, fmt.Errorf("listen %s: address already in use", addr)
	}
	l := &listener{network: n, addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// DialContext connects to the listener on an address, an IP address and port. It has the signature of
// http.Transport.DialContext and ignores the network argument. It returns a *net.OpError when nothing listens there.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, connectionRefused(addr)
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, connectionRefused(addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connectionRefused returns the error of a dial to an address without a listener.
func connectionRefused(addr netip.AddrPort) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(addr), Err: fmt.Errorf("connection refused")}
}

// listener listens on one address of a Network.
type listener struct {
	network *Network
	addr    netip.AddrPort
	// conns carries the server's end of each new connection.
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept returns the next connection, or net.ErrClosed when the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops listening and frees the address.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.addr)
	})
	return nil
}

// Addr returns the address that the listener listens on.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.addr)
}
