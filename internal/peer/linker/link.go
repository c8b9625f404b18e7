package linker

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"cornelwood.example/internal/contract/exchanger"
)

// Pauses after a failed dial, during which tasks are refused at once.
const (
	minPause = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// link is the sending end of the stream to one peer. Its goroutine run dials
// and writes; while a stream is open a second goroutine reads.
type link struct {
	l    *Linker
	peer netip.AddrPort
	wake chan struct{}

	mu      sync.Mutex
	retired bool
	// waiting holds every task without a result by wire id.
	waiting map[uint64]entry
	// queue holds the tasks not yet written, in order of their ids.
	queue   []queued
	cancels []uint64
	lastID  uint64
	// sentID is the highest id that was written, or tried.
	sentID uint64
	beat   bool
	// conn is the open connection, nil when there is none.
	conn *wire
	// quiet counts turns of the watch without news while tasks wait.
	quiet int
	// unused counts turns of the watch without tasks.
	unused int
}

func newLink(l *Linker, peer netip.AddrPort) *link {
	return &link{l: l, peer: peer, wake: make(chan struct{}, 1), waiting: make(map[uint64]entry)}
}

// submit queues the tasks, and returns false when the link has retired.
func (k *link) submit(ctx context.Context, tasks []exchanger.Task, deliver func(exchanger.Result)) bool {
	now := time.Now()
	k.mu.Lock()
	if k.retired {
		k.mu.Unlock()
		return false
	}
	if len(k.waiting)+len(tasks) > k.l.cfg.Queue {
		k.mu.Unlock()
		go refuseAll(tasks, exchanger.Shed, "the link's queue is full", deliver)
		return true
	}
	if len(k.waiting) == 0 {
		k.quiet = 0
	}
	k.unused = 0
	b := &batch{deliver: deliver, first: k.lastID + 1, n: len(tasks), left: len(tasks)}
	for i := range tasks {
		k.enqueue(b, &tasks[i], now)
	}
	k.mu.Unlock()
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { k.cancelBatch(b) })
		k.keepStop(b, stop)
	}
	k.signal()
	return true
}

func (k *link) enqueue(b *batch, t *exchanger.Task, now time.Time) {
	k.lastID++
	k.waiting[k.lastID] = entry{b: b, id: t.ID, once: t.AtMostOnce()}
	q := queued{t: *t, deadline: now.Add(t.Remaining)}
	q.t.ID = k.lastID
	k.queue = append(k.queue, q)
}

// keepStop keeps the function that ends the watch on a batch's context, or
// calls it when the batch has ended already.
func (k *link) keepStop(b *batch, stop func() bool) {
	k.mu.Lock()
	ended := b.left == 0
	b.stop = stop
	k.mu.Unlock()
	if ended {
		stop()
	}
}

// take removes a waiting task. k.mu is held.
func (k *link) take(id uint64, r exchanger.Result, outs []outcome) []outcome {
	e, ok := k.waiting[id]
	if !ok {
		return outs
	}
	delete(k.waiting, id)
	r.ID = e.id
	e.b.left--
	if e.b.left == 0 && e.b.stop != nil {
		e.b.stop()
	}
	return append(outs, outcome{b: e.b, r: r})
}

// cancelBatch delivers what is left of a batch and tells the peer.
func (k *link) cancelBatch(b *batch) {
	var outs []outcome
	k.mu.Lock()
	for id := b.first; id < b.first+uint64(b.n); id++ {
		e, ok := k.waiting[id]
		if !ok {
			continue
		}
		r := exchanger.Result{Status: exchanger.DeadlineExceeded, Reason: "cancelled by the sender"}
		if id <= k.sentID {
			k.cancels = append(k.cancels, id)
			r.Sent = true
		}
		if e.once && r.Sent {
			r.Status = exchanger.Failed
		}
		outs = k.take(id, r, outs)
	}
	k.mu.Unlock()
	k.signal()
	deliverAll(outs)
}

// run dials when there are tasks, and serves the stream until it breaks.
func (k *link) run() {
	ctx := k.l.ctx
	pause := minPause
	defer k.fail(true, "this daemon is stopping")
	for k.await(ctx) {
		w, err := k.l.dial(ctx, k.peer)
		if err != nil {
			k.fail(true, err.Error())
			k.refuse(ctx, pause)
			pause = min(2*pause, maxPause)
			continue
		}
		pause = minPause
		err = k.serve(ctx, w)
		k.fail(false, err.Error())
	}
}

// await waits for tasks; it returns false when the link has ended.
func (k *link) await(ctx context.Context) bool {
	for {
		k.mu.Lock()
		retired, n := k.retired, len(k.queue)
		k.cancels = k.cancels[:0]
		k.mu.Unlock()
		if retired {
			return false
		}
		if n > 0 {
			return true
		}
		select {
		case <-ctx.Done():
			k.retire()
			return false
		case <-k.wake:
		}
	}
}

// refuse delivers Unreachable for every task that comes within the pause.
func (k *link) refuse(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case <-k.wake:
			k.fail(true, "the last dial failed")
		}
	}
}

// serve writes and reads one stream until it breaks, and returns why.
func (k *link) serve(ctx context.Context, w *wire) error {
	conn := drpcconn.NewWithOptions(w, drpcconn.Options{Manager: k.l.managerOptions()})
	defer conn.Close()
	k.open(w)
	defer k.open(nil)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := conn.NewStream(ctx, rpcPrefix+exchangeName, wireCodec)
	if err != nil {
		return err
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		cancel(k.read(stream, w))
	}()
	err = k.write(ctx, stream, w)
	conn.Close()
	<-read
	return err
}

// open notes the connection that is in use, nil for none.
func (k *link) open(w *wire) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn = w
	k.quiet = 0
	if w != nil {
		k.l.meter.links.Inc()
		return
	}
	k.l.meter.links.Dec()
}

// write sends frames until the stream breaks.
func (k *link) write(ctx context.Context, stream drpc.Stream, w *wire) error {
	f := frame{From: k.l.cfg.Self}
	for {
		late := k.fill(&f)
		deliverAll(late)
		if f.empty() {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-k.wake:
			}
			continue
		}
		if err := stream.MsgSend(&f, wireCodec); err != nil {
			return err
		}
		k.l.meter.sent[purposeExchange].Inc()
		w.settle(purposeExchange)
		f = frame{Tasks: f.Tasks[:0]}
	}
}

// fill moves what is due into the frame, and returns the tasks whose time ran
// out in the queue.
func (k *link) fill(f *frame) []outcome {
	var late []outcome
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	f.Beat, k.beat = k.beat, false
	f.Cancels, k.cancels = k.cancels, nil
	size, n := 0, 0
	for ; n < len(k.queue); n++ {
		q := &k.queue[n]
		size += taskSize(&q.t)
		if n > 0 && size > k.l.cfg.FrameBytes {
			break
		}
		if _, ok := k.waiting[q.t.ID]; !ok {
			continue
		}
		q.t.Remaining = q.deadline.Sub(now)
		if q.t.Remaining <= 0 {
			late = k.take(q.t.ID, exchanger.Result{Status: exchanger.DeadlineExceeded, Reason: "out of time on the link"}, late)
			continue
		}
		k.sentID = q.t.ID
		f.Tasks = append(f.Tasks, q.t)
	}
	k.queue = append(k.queue[:0], k.queue[n:]...)
	return late
}

// read delivers results until the stream breaks, and returns why.
func (k *link) read(stream drpc.Stream, w *wire) error {
	var outs []outcome
	for {
		var f frame
		if err := stream.MsgRecv(&f, wireCodec); err != nil {
			return err
		}
		k.l.meter.recv[purposeExchange].Inc()
		w.settle(purposeExchange)
		if err := f.Check(); err != nil {
			return err
		}
		outs = k.receive(&f, outs[:0])
		deliverAll(outs)
		clear(outs)
	}
}

func (k *link) receive(f *frame, outs []outcome) []outcome {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.quiet = 0
	for i := range f.Results {
		r := f.Results[i]
		if err := r.Check(); err != nil {
			r = exchanger.Result{ID: r.ID, Status: exchanger.Failed, Sent: true, Reason: err.Error()}
		}
		outs = k.take(r.ID, r, outs)
	}
	return outs
}

// fail delivers Failed for the tasks that may have left, and Unreachable for
// the others when unsent is true.
func (k *link) fail(unsent bool, reason string) {
	var outs []outcome
	k.mu.Lock()
	for id := range k.waiting {
		switch {
		case id <= k.sentID:
			outs = k.take(id, exchanger.Result{Status: exchanger.Failed, Sent: true, Reason: reason}, outs)
		case unsent:
			outs = k.take(id, exchanger.Result{Status: exchanger.Unreachable, Reason: reason}, outs)
		}
	}
	if unsent {
		k.queue = k.queue[:0]
	}
	k.mu.Unlock()
	deliverAll(outs)
}

// tick counts a turn of the watch: it asks for a sign of life after one quiet
// turn, closes the connection after limit, and retires the link after idle
// unused turns.
func (k *link) tick(limit, idle int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.waiting) == 0 {
		k.unused++
		if k.unused >= idle && !k.retired {
			k.retireLocked()
		}
		return
	}
	if k.conn == nil {
		return
	}
	k.quiet++
	if k.quiet >= limit {
		k.l.meter.silences.Inc()
		k.conn.Close()
		return
	}
	k.beat = true
	k.signal()
}

func (k *link) retire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retireLocked()
}

// retireLocked ends the link; submit refuses from now on. k.mu is held.
func (k *link) retireLocked() {
	k.retired = true
	go k.l.drop(k)
	if k.conn != nil {
		k.conn.Close()
	}
	k.signal()
}

// signal wakes run without waiting.
func (k *link) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}
