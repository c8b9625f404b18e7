package main_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// proxy forwards TCP connections on loopback and injects network faults.
type proxy struct {
	lis    net.Listener
	target string

	mu sync.Mutex
	// holdToServer and holdToClient hold back the bytes of one direction.
	holdToServer, holdToClient bool
	// refusing resets new connections.
	refusing bool
	// delay is the time for which the bytes of each read are held before they are forwarded.
	delay time.Duration
	links map[*link]struct{}
	// changed is closed and replaced when a held direction may be released or a link has ended.
	changed chan struct{}
}

// link is one forwarded connection.
type link struct {
	client, server net.Conn
	// silent is true for a link that stays open and forwards nothing any more.
	silent bool
}

// startProxy starts a proxy that forwards connections to target until the test ends.
func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	lis, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{lis: lis, target: target, links: make(map[*link]struct{}), changed: make(chan struct{})}
	t.Cleanup(func() {
		lis.Close()
		p.reset()
	})
	go p.serve()
	return p
}

func (p *proxy) addr() string {
	return p.lis.Addr().String()
}

func (p *proxy) serve() {
	for {
		client, err := p.lis.Accept()
		if err != nil {
			return
		}
		go p.open(client)
	}
}

func (p *proxy) open(client net.Conn) {
	p.mu.Lock()
	refusing := p.refusing
	p.mu.Unlock()
	server, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", p.target)
	if refusing || err != nil {
		abort(client)
		if err == nil {
			server.Close()
		}
		return
	}
	l := &link{client: client, server: server}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	go p.forward(l, client, server, &p.holdToServer)
	p.forward(l, server, client, &p.holdToClient)
}

// forward copies one direction of a link until either side ends.
func (p *proxy) forward(l *link, from, to net.Conn, held *bool) {
	defer p.close(l)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil || !p.awaitForwarding(l, held) {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// awaitForwarding waits until the direction's bytes may be forwarded. It returns false when the link has ended.
func (p *proxy) awaitForwarding(l *link, held *bool) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		_, open := p.links[l]
		wait, changed := *held || l.silent, p.changed
		p.mu.Unlock()
		if !open || !wait {
			return open
		}
		<-changed
	}
}

func (p *proxy) close(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, open := p.links[l]; !open {
		return
	}
	delete(p.links, l)
	l.client.Close()
	l.server.Close()
	p.notify()
}

// notify makes held directions check again whether they may forward. The caller holds p.mu.
func (p *proxy) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// configure sets the faults for all connections.
func (p *proxy) configure(holdToServer, holdToClient, refusing bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdToServer, p.holdToClient, p.refusing, p.delay = holdToServer, holdToClient, refusing, delay
	p.notify()
}

// silence holds back both directions of the connections that are open now.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent = true
	}
}

// reset resets every open connection.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		abort(l.client)
		abort(l.server)
		delete(p.links, l)
	}
	p.notify()
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
