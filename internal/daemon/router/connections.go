package router

import (
	"net"
	"net/http"
	"sync"
)

// activeConns counts the client connections with a request, from when its head has been read to the end of its
// answer.
//
// Load pattern: a planned stop under load, when requests have been read whose handlers have not started yet.
type activeConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newActiveConns() *activeConns {
	return &activeConns{conns: make(map[net.Conn]struct{})}
}

// track follows the state of a connection. It is an http.Server.ConnState.
func (a *activeConns) track(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateActive {
		a.conns[c] = struct{}{}
		return
	}
	delete(a.conns, c)
}

// count returns the number of connections with a request.
func (a *activeConns) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}
