package linker

import (
	"context"
	"sync"

	"storj.io/drpc"

	"cornelwood.example/internal/contract/exchanger"
)

// session is the serving end of one Exchange stream.
type session struct {
	l      *Linker
	stream drpc.Stream
	w      *peerConn
	wake   chan struct{}
	// sent tells awaitSent that results have been taken out to be sent.
	sent chan struct{}

	mu                sync.Mutex
	running           map[uint64]context.CancelFunc
	results           []exchanger.Result
	heartbeatReplyDue bool
}

func newSession(l *Linker, stream drpc.Stream, w *peerConn) *session {
	return &session{
		l:       l,
		stream:  stream,
		w:       w,
		wake:    make(chan struct{}, 1),
		sent:    make(chan struct{}, 1),
		running: make(map[uint64]context.CancelFunc),
	}
}

// serve reads tasks and writes results until the stream fails. It then cancels the tasks in flight,
// whose results can no longer be sent.
func (s *session) serve() error {
	ctx, cancel := context.WithCancel(s.stream.Context())
	written := make(chan struct{})
	go func() {
		defer close(written)
		s.write(ctx)
	}()
	err := s.read(ctx)
	cancel()
	s.w.Close()
	<-written
	return err
}

func (s *session) read(ctx context.Context) error {
	for {
		if err := s.awaitSent(ctx); err != nil {
			return err
		}
		var f frame
		if err := s.stream.MsgRecv(&f, wireCodec); err != nil {
			return err
		}
		s.l.metrics.recv[purposeExchange].Inc()
		s.w.countBytes(purposeExchange)
		s.w.messageDone()
		if err := f.Check(); err != nil {
			return err
		}
		if f.From.IsValid() {
			s.w.peer.Store(&f.From)
		}
		s.cancelTasks(f.Cancels)
		if f.Heartbeat {
			s.replyHeartbeat()
		}
		for i := range f.Tasks {
			s.start(ctx, &f.Tasks[i])
		}
	}
}

// maxUnsent is the number of results that wait to be sent from which no more tasks are read.
const maxUnsent = 1024

// awaitSent waits while maxUnsent results or more wait to be sent.
//
// Load pattern: a peer that sends tasks without end, each of which is refused at once, and does not read the results.
func (s *session) awaitSent(ctx context.Context) error {
	for {
		s.mu.Lock()
		n := len(s.results)
		s.mu.Unlock()
		if n < maxUnsent {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.sent:
		}
	}
}

// start passes a task to the worker.
func (s *session) start(ctx context.Context, t *exchanger.Task) {
	if err := t.Check(); err != nil {
		s.addResult(exchanger.Result{ID: t.ID, Status: exchanger.Shed, Reason: err.Error()})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	if len(s.running) >= s.l.cfg.MaxTasks {
		s.mu.Unlock()
		cancel()
		s.addResult(exchanger.Result{ID: t.ID, Status: exchanger.Shed, Reason: "too many tasks from one peer"})
		return
	}
	s.running[t.ID] = cancel
	s.mu.Unlock()
	id := t.ID
	s.l.worker.Do(ctx, *t, func(r exchanger.Result) {
		r.ID = id
		s.finish(r)
	})
}

// finish queues the result of a running task. Results of tasks that are no longer running are
// dropped.
func (s *session) finish(r exchanger.Result) {
	s.mu.Lock()
	cancel, ok := s.running[r.ID]
	delete(s.running, r.ID)
	s.mu.Unlock()
	if !ok {
		return
	}
	cancel()
	s.addResult(r)
}

// cancelTasks cancels tasks whose sender no longer waits for their results.
func (s *session) cancelTasks(ids []uint64) {
	for _, id := range ids {
		s.mu.Lock()
		cancel, ok := s.running[id]
		delete(s.running, id)
		s.mu.Unlock()
		if ok {
			cancel()
		}
	}
}

func (s *session) addResult(r exchanger.Result) {
	s.mu.Lock()
	s.results = append(s.results, r)
	s.mu.Unlock()
	s.signal()
}

func (s *session) replyHeartbeat() {
	s.mu.Lock()
	s.heartbeatReplyDue = true
	s.mu.Unlock()
	s.signal()
}

func (s *session) signal() {
	notify(s.wake)
}

// notify sends on a channel unless a notification waits there already.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// write sends results, as many as are ready in one frame, until the stream fails or the session
// ends.
func (s *session) write(ctx context.Context) {
	defer s.w.Close()
	var f frame
	for {
		s.fillFrame(&f)
		if f.isEmpty() {
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
			}
			continue
		}
		if err := s.stream.MsgSend(&f, wireCodec); err != nil {
			return
		}
		s.l.metrics.sent[purposeExchange].Inc()
		s.w.countBytes(purposeExchange)
		clear(f.Results)
		f = frame{Results: f.Results[:0]}
	}
}

// fillFrame moves the results that are ready into the frame, up to MaxFrameBytes.
func (s *session) fillFrame(f *frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.HeartbeatReply, s.heartbeatReplyDue = s.heartbeatReplyDue, false
	size, n := 0, 0
	for ; n < len(s.results); n++ {
		r := s.results[n]
		b := resultSize(&r)
		if b > maxResultBytes {
			r = exchanger.Result{ID: r.ID, Status: exchanger.Failed, Sent: true, Reason: "the result is too large"}
			b = resultOverheadBytes
		}
		size += b
		if n > 0 && size > s.l.cfg.MaxFrameBytes {
			break
		}
		f.Results = append(f.Results, r)
	}
	rest := copy(s.results, s.results[n:])
	clear(s.results[rest:])
	s.results = s.results[:rest]
	notify(s.sent)
}
