package evictor

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Bound makes a server, which must serve the group's listener, enforce the group's limits.
func (g *Group) Bound(srv *http.Server) {
	connState, connContext, next := srv.ConnState, srv.ConnContext, srv.Handler
	srv.ConnState = func(nc net.Conn, s http.ConnState) {
		if c, ok := nc.(*Conn); ok {
			switch s {
			case http.StateActive:
				c.finish(Running)
			case http.StateIdle:
				c.finish(Idle)
			default:
			}
		}
		if connState != nil {
			connState(nc, s)
		}
	}
	srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.awaitTaken(r.Context()) || !c.begin(r.ContentLength != 0) {
			panic(http.ErrAbortHandler)
		}
		if limit := g.limits().HeadBytes; limit > 0 && headSize(r) > limit {
			c.recordHead()
			w.Header().Set("Connection", "close")
			http.Error(w, reasonTooLarge, http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		if r.ContentLength != 0 {
			b := &body{ReadCloser: r.Body, c: c, w: w, isInvited: r.Header.Get("Expect") != ""}
			r.Body = b
			next.ServeHTTP(&answerWriter{ResponseWriter: w, body: b}, r)
			b.end()
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headSize returns the size of a request's head as most clients write it. Spaces that are not needed, and headers that package
// http removes, are not counted.
func headSize(r *http.Request) int {
	const requestLine, hostLine, fieldLine, lastLine = len("  \r\n"), len("Host: \r\n"), len(": \r\n"), len("\r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + requestLine + len(r.Host) + hostLine + lastLine
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + fieldLine
		}
	}
	return n
}
