package main

import (
	"net"
	"sync"
)

// proxy passes connections on to a target. While it is silent it accepts connections and passes nothing on, like a path that
// drops all packets.
type proxy struct {
	lis    net.Listener
	target string

	mu     sync.Mutex
	silent bool
	conns  map[net.Conn]struct{}
	// lost holds the connections that pass nothing on any more.
	lost map[net.Conn]struct{}
}

func newProxy(ip, target string) (*proxy, error) {
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{lis: lis, target: target, conns: make(map[net.Conn]struct{}), lost: make(map[net.Conn]struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string {
	return p.lis.Addr().String()
}

// setSilent cuts the path, or ends the cut. Connections of before the cut's end are dropped then.
func (p *proxy) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	if !silent {
		for c := range p.conns {
			c.Close()
		}
	}
}

// silenceOpen makes the connections that are open now pass nothing on for good, without a reset. New ones work.
func (p *proxy) silenceOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		p.lost[c] = struct{}{}
		n++
	}
	return n / 2
}

func (p *proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, isLost := p.lost[c]
	return p.silent || isLost
}

func (p *proxy) serve() {
	for {
		c, err := p.lis.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *proxy) pass(c net.Conn) {
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(up, c) })
	both.Go(func() { p.copy(c, up) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	delete(p.lost, c)
	delete(p.lost, up)
	p.mu.Unlock()
}

// copy passes bytes on until the connection ends. What arrives during a cut is dropped, and so is the connection's end.
func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.isSilent(from) {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}
