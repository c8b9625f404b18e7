package linker

import (
	"context"
	"errors"
	"net"
	"strings"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcserver"
)

// Server serves the links and calls of other daemons on one listener. It is a
// suture service.
type Server struct {
	l   *Linker
	lis net.Listener
}

// Server returns the service for a listener.
func (l *Linker) Server(lis net.Listener) *Server {
	return &Server{l: l, lis: lis}
}

// Serve accepts connections until ctx is done, and then closes them.
func (s *Server) Serve(ctx context.Context) error {
	srv := drpcserver.NewWithOptions(s, drpcserver.Options{Manager: s.l.managerOptions()})
	err := srv.Serve(ctx, &listener{Listener: s.lis, l: s.l})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// HandleRPC serves one stream or call.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	tr, _ := drpcctx.Transport(stream.Context())
	w, ok := tr.(*peerConn)
	if !ok {
		return errors.New("the transport is not a peer connection")
	}
	name := strings.TrimPrefix(rpc, rpcPrefix)
	if name == exchangeName {
		if s.l.worker == nil {
			return errors.New("this daemon runs no tasks")
		}
		return newSession(s.l, stream, w).serve()
	}
	s.l.mu.RLock()
	fn, ok := s.l.streamHandlers[name]
	s.l.mu.RUnlock()
	if ok {
		return s.l.serveStream(stream, w, name, fn)
	}
	return s.l.serveCall(stream, w, name)
}

// serveCall serves one unary call.
func (l *Linker) serveCall(stream drpc.Stream, w *peerConn, name string) error {
	use := purposeOf(name)
	var req request
	if err := stream.MsgRecv(&req, wireCodec); err != nil {
		return err
	}
	l.metrics.recv[use].Inc()
	w.messageDone()
	if req.From.IsValid() {
		w.peer.Store(&req.From)
	}
	resp := l.callHandler(stream.Context(), name, &req)
	err := stream.MsgSend(resp, wireCodec)
	l.metrics.sent[use].Inc()
	w.countBytes(use)
	return err
}

func (l *Linker) callHandler(ctx context.Context, name string, req *request) *response {
	l.mu.RLock()
	fn, ok := l.handlers[name]
	l.mu.RUnlock()
	if !ok {
		return &response{Error: &RemoteError{Code: CodeUnknownCall, Reason: "no handler for call " + name}}
	}
	ctx, cancel := context.WithTimeout(ctx, req.Remaining)
	defer cancel()
	out, err := fn(ctx, req.From, req.Body)
	if err != nil && ctx.Err() != nil {
		return &response{Error: &RemoteError{Code: CodeTimeout, Reason: err.Error()}}
	}
	if err != nil {
		return &response{Error: remoteError(err)}
	}
	body, err := wireCodec.Marshal(out)
	if err != nil {
		return &response{Error: remoteError(err)}
	}
	return &response{Body: body}
}

// listener wraps accepted connections in a peerConn.
type listener struct {
	net.Listener
	l *Linker
}

// Accept returns the next connection as a *peerConn.
func (s *listener) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newPeerConn(s.l, conn), nil
}
