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
	w      *wire
	wake   chan struct{}

	mu      sync.Mutex
	running map[uint64]context.CancelFunc
	results []exchanger.Result
	echo    bool
}

func newSession(l *Linker, stream drpc.Stream, w *wire) *session {
	return &session{
		l:       l,
		stream:  stream,
		w:       w,
		wake:    make(chan struct{}, 1),
		running: make(map[uint64]context.CancelFunc),
	}
}

// serve reads tasks and writes results until the stream breaks. Tasks still
// running then are cancelled, since nobody waits for them.
func (s *session) serve() error {
	ctx, cancel := context.WithCancel(s.stream.Context())
	wrote := make(chan struct{})
	go func() {
		defer close(wrote)
		s.write(ctx)
	}()
	err := s.read(ctx)
	cancel()
	s.w.Close()
	<-wrote
	return err
}

func (s *session) read(ctx context.Context) error {
	for {
		var f frame
		if err := s.stream.MsgRecv(&f, wireCodec); err != nil {
			return err
		}
		s.l.meter.recv[purposeExchange].Inc()
		s.w.settle(purposeExchange)
		if err := f.Check(); err != nil {
			return err
		}
		if f.From.IsValid() {
			s.w.peer.Store(&f.From)
		}
		s.cancelAll(f.Cancels)
		if f.Beat {
			s.answer()
		}
		for i := range f.Tasks {
			s.start(ctx, &f.Tasks[i])
		}
	}
}

// start hands a task to the worker.
func (s *session) start(ctx context.Context, t *exchanger.Task) {
	if err := t.Check(); err != nil {
		s.add(exchanger.Result{ID: t.ID, Status: exchanger.Shed, Reason: err.Error()})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	if len(s.running) >= s.l.cfg.Queue {
		s.mu.Unlock()
		cancel()
		s.add(exchanger.Result{ID: t.ID, Status: exchanger.Shed, Reason: "too many tasks from one peer"})
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

// finish queues the result of a task that runs; later ones are dropped.
func (s *session) finish(r exchanger.Result) {
	s.mu.Lock()
	cancel, ok := s.running[r.ID]
	delete(s.running, r.ID)
	s.mu.Unlock()
	if !ok {
		return
	}
	cancel()
	s.add(r)
}

// cancelAll cancels tasks whose results nobody awaits.
func (s *session) cancelAll(ids []uint64) {
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

func (s *session) add(r exchanger.Result) {
	s.mu.Lock()
	s.results = append(s.results, r)
	s.mu.Unlock()
	s.signal()
}

func (s *session) answer() {
	s.mu.Lock()
	s.echo = true
	s.mu.Unlock()
	s.signal()
}

func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write sends results, as many as are ready in one frame, until the stream
// breaks or the peer has been silent.
func (s *session) write(ctx context.Context) {
	defer s.w.Close()
	var f frame
	for {
		s.fill(&f)
		if f.empty() {
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
		s.l.meter.sent[purposeExchange].Inc()
		s.w.settle(purposeExchange)
		clear(f.Results)
		f = frame{Results: f.Results[:0]}
	}
}

// fill moves the results that are ready into the frame.
func (s *session) fill(f *frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Echo, s.echo = s.echo, false
	size, n := 0, 0
	for ; n < len(s.results); n++ {
		r := s.results[n]
		b := resultSize(&r)
		if b > maxResultBytes {
			r = exchanger.Result{ID: r.ID, Status: exchanger.Failed, Sent: true, Reason: "the result is too large"}
			b = resultBytes
		}
		size += b
		if n > 0 && size > s.l.cfg.FrameBytes {
			break
		}
		f.Results = append(f.Results, r)
	}
	rest := copy(s.results, s.results[n:])
	clear(s.results[rest:])
	s.results = s.results[:rest]
}
