package linker

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"

	"cornelwood.example/internal/contract/exchanger"
)

// floodTasks is the number of tasks in a frame of a floodStream.
const floodTasks = 256

// floodStream is a stream whose peer sends frames of invalid tasks without end and reads nothing.
type floodStream struct {
	drpc.Stream
	ctx    context.Context
	frames atomic.Int64
}

// Context returns the context of the stream.
func (s *floodStream) Context() context.Context { return s.ctx }

// MsgRecv returns the next frame of tasks.
func (s *floodStream) MsgRecv(m drpc.Message, _ drpc.Encoding) error {
	s.frames.Add(1)
	m.(*frame).Tasks = make([]exchanger.Task, floodTasks)
	time.Sleep(time.Millisecond)
	return s.ctx.Err()
}

// MsgSend waits until the stream ends.
func (s *floodStream) MsgSend(drpc.Message, drpc.Encoding) error {
	<-s.ctx.Done()
	return s.ctx.Err()
}

// TestSessionUnread guards against results that fill the memory while their peer does not read them.
func TestSessionUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, closer := New(Config{}, nil, hclog.NewNullLogger(), prometheus.NewRegistry())
		defer closer()
		ctx, cancel := context.WithCancel(t.Context())
		a, b := net.Pipe()
		defer a.Close()
		defer b.Close()
		s := &floodStream{ctx: ctx}
		done := make(chan error, 1)
		go func() { done <- newSession(l, s, newPeerConn(l, a)).serve() }()
		time.Sleep(time.Second)
		cancel()
		if err := <-done; err == nil {
			t.Error("the session ended without an error")
		}
		// Beside the results that wait, one frame of them has been taken out to be sent.
		const most = (1024+defaultMaxFrameBytes/resultOverheadBytes)/floodTasks + 2
		if n := s.frames.Load(); n > most {
			t.Errorf("%d frames of %d tasks were read from a peer that reads nothing, want at most %d", n, floodTasks, most)
		}
	})
}
