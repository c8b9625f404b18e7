package linker

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Stream carries messages in both directions between two daemons. Send and Recv may be called at
// the same time, each by one goroutine at a time.
type Stream struct {
	stream drpc.Stream
	w      *peerConn
	use    purpose
	l      *Linker
}

// opening is the first message of a stream.
type opening struct {
	From netip.AddrPort `json:"f"`
	// Remaining is the time left for the stream, measured at sending.
	Remaining time.Duration `json:"d"`
}

// StreamHandler serves one stream from a peer until it returns. ctx ends with the stream's
// deadline, or as soon as the peer gives the stream up.
type StreamHandler func(ctx context.Context, s *Stream) error

// HandleStream sets the handler of the streams called name. It must be called before Serve.
func (l *Linker) HandleStream(name string, fn StreamHandler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streamHandlers[name] = fn
}

// OpenStream opens a stream to the peer's handler called name. The error, an *UnreachableError
// with Sent false, means that the peer got nothing. The returned function ends the stream; it must
// be called once, with whether the exchange is complete, so that the connection can be used again.
// The end of ctx ends the stream, too, and at the peer cancels the handler's context.
func (l *Linker) OpenStream(ctx context.Context, peer netip.AddrPort, name string) (*Stream, func(complete bool), error) {
	p, ok := l.pool(peer)
	if !ok {
		return nil, nil, &UnreachableError{Peer: peer, Err: errShutdown}
	}
	ctx, cancel := l.withDeadline(ctx)
	c, err := p.get(ctx)
	if err != nil {
		cancel()
		return nil, nil, &UnreachableError{Peer: peer, Refused: isRefused(err), Err: err}
	}
	stream, err := c.conn.NewStream(ctx, rpcPrefix+name, wireCodec)
	if err != nil {
		cancel()
		c.close()
		return nil, nil, &UnreachableError{Peer: peer, Err: err}
	}
	s := &Stream{stream: stream, w: c.w, use: purposeOf(name), l: l}
	deadline, _ := ctx.Deadline()
	if err := s.Send(&opening{From: l.cfg.Self, Remaining: time.Until(deadline)}); err != nil {
		cancel()
		c.close()
		return nil, nil, &UnreachableError{Peer: peer, Err: err}
	}
	return s, func(complete bool) {
		if complete && stream.Close() == nil {
			p.put(c)
		} else {
			c.close()
		}
		cancel()
	}, nil
}

// Send sends one message.
func (s *Stream) Send(msg any) error {
	if err := s.stream.MsgSend(msg, wireCodec); err != nil {
		return err
	}
	s.l.metrics.sent[s.use].Inc()
	s.w.countBytes(s.use)
	return nil
}

// Recv decodes the next message into out, which is validated when it has a Check method. It
// returns an error once the peer has ended the stream.
func (s *Stream) Recv(out any) error {
	var body cbor.RawMessage
	if err := s.stream.MsgRecv(&body, wireCodec); err != nil {
		return err
	}
	s.l.metrics.recv[s.use].Inc()
	s.w.messageDone()
	s.w.countBytes(s.use)
	return Decode(body, out)
}

// serveStream serves one stream with its handler.
func (l *Linker) serveStream(stream drpc.Stream, w *peerConn, name string, fn StreamHandler) error {
	s := &Stream{stream: stream, w: w, use: purposeOf(name), l: l}
	var first opening
	if err := s.Recv(&first); err != nil {
		return err
	}
	if first.From.IsValid() {
		w.peer.Store(&first.From)
	}
	ctx, cancel := context.WithTimeout(stream.Context(), first.Remaining)
	defer cancel()
	return fn(ctx, s)
}
