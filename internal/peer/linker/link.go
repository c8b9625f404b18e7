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

// Bounds of the exponential backoff after a failed dial, during which tasks are refused at once.
const (
	minDialBackoff = 20 * time.Millisecond
	maxDialBackoff = 500 * time.Millisecond
)

// link is the sending end of the stream to one peer. Its goroutine run dials and writes; while a
// stream is open, a second goroutine reads.
type link struct {
	l    *Linker
	peer netip.AddrPort
	wake chan struct{}

	mu      sync.Mutex
	retired bool
	// pending holds every task without a result, by wire id.
	pending map[uint64]pendingTask
	// queue holds the tasks that are not yet written, in order of their ids.
	queue   []queuedTask
	cancels []uint64
	lastID  uint64
	// sentID is the highest id that was put into a frame to be written.
	sentID       uint64
	heartbeatDue bool
	// conn is the open connection, or nil.
	conn *peerConn
	// silentTicks is the number of ticks without a frame from the peer while tasks are pending.
	silentTicks int
	// unusedTicks is the number of ticks without pending tasks.
	unusedTicks int
}

func newLink(l *Linker, peer netip.AddrPort) *link {
	return &link{l: l, peer: peer, wake: make(chan struct{}, 1), pending: make(map[uint64]pendingTask)}
}

// submit queues the tasks. It returns false when the link has retired.
func (k *link) submit(ctx context.Context, tasks []exchanger.Task, deliver func(exchanger.Result)) bool {
	now := time.Now()
	k.mu.Lock()
	if k.retired {
		k.mu.Unlock()
		return false
	}
	if len(k.pending)+len(tasks) > k.l.cfg.MaxTasks {
		k.mu.Unlock()
		go refuseAll(tasks, exchanger.Shed, "too many pending tasks on the link", deliver)
		return true
	}
	if len(k.pending) == 0 {
		k.silentTicks = 0
	}
	k.unusedTicks = 0
	b := &batch{deliver: deliver, firstID: k.lastID + 1, size: len(tasks), remaining: len(tasks)}
	for i := range tasks {
		k.enqueue(b, &tasks[i], now)
	}
	k.mu.Unlock()
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { k.cancelBatch(b) })
		k.setStop(b, stop)
	}
	k.signal()
	return true
}

func (k *link) enqueue(b *batch, t *exchanger.Task, now time.Time) {
	k.lastID++
	k.pending[k.lastID] = pendingTask{batch: b, id: t.ID, atMostOnce: t.AtMostOnce()}
	q := queuedTask{task: *t, deadline: now.Add(t.Remaining)}
	q.task.ID = k.lastID
	k.queue = append(k.queue, q)
}

// setStop sets stopCancel of a batch, or calls stop at once when the batch has no task left.
func (k *link) setStop(b *batch, stop func() bool) {
	k.mu.Lock()
	ended := b.remaining == 0
	b.stopCancel = stop
	k.mu.Unlock()
	if ended {
		stop()
	}
}

// completeTask removes a pending task and appends the delivery of its result. k.mu is held.
func (k *link) completeTask(id uint64, r exchanger.Result, deliveries []delivery) []delivery {
	e, ok := k.pending[id]
	if !ok {
		return deliveries
	}
	delete(k.pending, id)
	r.ID = e.id
	e.batch.remaining--
	if e.batch.remaining == 0 && e.batch.stopCancel != nil {
		e.batch.stopCancel()
	}
	return append(deliveries, delivery{batch: e.batch, result: r})
}

// cancelBatch completes the pending tasks of a batch and cancels at the peer those that were sent.
func (k *link) cancelBatch(b *batch) {
	var deliveries []delivery
	k.mu.Lock()
	for id := b.firstID; id < b.firstID+uint64(b.size); id++ {
		e, ok := k.pending[id]
		if !ok {
			continue
		}
		r := exchanger.Result{Status: exchanger.DeadlineExceeded, Reason: "cancelled by the sender"}
		if id <= k.sentID {
			k.cancels = append(k.cancels, id)
			r.Sent = true
		}
		if e.atMostOnce && r.Sent {
			r.Status = exchanger.Failed
		}
		deliveries = k.completeTask(id, r, deliveries)
	}
	k.mu.Unlock()
	k.signal()
	deliverAll(deliveries)
}

// run dials when there are tasks, and serves the stream until it fails.
func (k *link) run() {
	ctx := k.l.ctx
	backoff := minDialBackoff
	defer k.failTasks(true, "this daemon is stopping")
	for k.awaitTasks(ctx) {
		w, err := k.l.dial(ctx, k.peer)
		if err != nil {
			k.failTasks(true, err.Error())
			k.refuseTasks(ctx, backoff)
			backoff = min(2*backoff, maxDialBackoff)
			continue
		}
		backoff = minDialBackoff
		err = k.serve(ctx, w)
		k.failTasks(false, err.Error())
	}
}

// awaitTasks waits for queued tasks. It returns false when the link has retired.
func (k *link) awaitTasks(ctx context.Context) bool {
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

// refuseTasks delivers Unreachable for every task that is submitted during the backoff.
func (k *link) refuseTasks(ctx context.Context, backoff time.Duration) {
	t := time.NewTimer(backoff)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case <-k.wake:
			k.failTasks(true, "the last dial failed")
		}
	}
}

// serve writes and reads one stream until it fails, and returns the cause.
func (k *link) serve(ctx context.Context, w *peerConn) error {
	conn := drpcconn.NewWithOptions(w, drpcconn.Options{Manager: k.l.managerOptions()})
	defer conn.Close()
	k.setConn(w)
	defer k.setConn(nil)
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

// setConn sets the open connection, nil for none.
func (k *link) setConn(w *peerConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn = w
	k.silentTicks = 0
	if w != nil {
		k.l.metrics.links.Inc()
		return
	}
	k.l.metrics.links.Dec()
}

// write sends frames until the stream fails, and returns the cause.
func (k *link) write(ctx context.Context, stream drpc.Stream, w *peerConn) error {
	f := frame{From: k.l.cfg.Self}
	for {
		expired := k.fillFrame(&f)
		deliverAll(expired)
		if f.isEmpty() {
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
		k.l.metrics.sent[purposeExchange].Inc()
		w.countBytes(purposeExchange)
		f = frame{Tasks: f.Tasks[:0]}
	}
}

// fillFrame moves what is due into the frame. It returns the deliveries for the tasks whose
// deadline passed in the queue.
func (k *link) fillFrame(f *frame) []delivery {
	var expired []delivery
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	f.Heartbeat, k.heartbeatDue = k.heartbeatDue, false
	f.Cancels, k.cancels = k.cancels, nil
	size, n := 0, 0
	for ; n < len(k.queue); n++ {
		q := &k.queue[n]
		size += taskSize(&q.task)
		if n > 0 && size > k.l.cfg.MaxFrameBytes {
			break
		}
		if _, ok := k.pending[q.task.ID]; !ok {
			continue
		}
		q.task.Remaining = q.deadline.Sub(now)
		if q.task.Remaining <= 0 {
			expired = k.completeTask(q.task.ID, exchanger.Result{
				Status: exchanger.DeadlineExceeded, Reason: "deadline passed in the queue of the link",
			}, expired)
			continue
		}
		k.sentID = q.task.ID
		f.Tasks = append(f.Tasks, q.task)
	}
	k.queue = append(k.queue[:0], k.queue[n:]...)
	return expired
}

// read delivers results until the stream fails, and returns the cause.
func (k *link) read(stream drpc.Stream, w *peerConn) error {
	var deliveries []delivery
	for {
		var f frame
		if err := stream.MsgRecv(&f, wireCodec); err != nil {
			return err
		}
		k.l.metrics.recv[purposeExchange].Inc()
		w.countBytes(purposeExchange)
		if err := f.Check(); err != nil {
			return err
		}
		deliveries = k.handleResults(&f, deliveries[:0])
		deliverAll(deliveries)
		clear(deliveries)
	}
}

func (k *link) handleResults(f *frame, deliveries []delivery) []delivery {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silentTicks = 0
	for i := range f.Results {
		r := f.Results[i]
		if err := r.Check(); err != nil {
			r = exchanger.Result{ID: r.ID, Status: exchanger.Failed, Sent: true, Reason: err.Error()}
		}
		deliveries = k.completeTask(r.ID, r, deliveries)
	}
	return deliveries
}

// failTasks delivers Failed for the tasks that may have been sent, and Unreachable for the others
// when unsent is true.
func (k *link) failTasks(unsent bool, reason string) {
	var deliveries []delivery
	k.mu.Lock()
	for id := range k.pending {
		switch {
		case id <= k.sentID:
			deliveries = k.completeTask(id, exchanger.Result{Status: exchanger.Failed, Sent: true, Reason: reason}, deliveries)
		case unsent:
			deliveries = k.completeTask(id, exchanger.Result{Status: exchanger.Unreachable, Reason: reason}, deliveries)
		}
	}
	if unsent {
		k.queue = k.queue[:0]
	}
	k.mu.Unlock()
	deliverAll(deliveries)
}

// tick counts one tick. While tasks are pending on an open connection, each tick requests a
// heartbeat, and maxSilentTicks ticks without a frame from the peer close the connection. After
// maxUnusedTicks ticks without pending tasks the link retires.
func (k *link) tick(maxSilentTicks, maxUnusedTicks int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.pending) == 0 {
		k.unusedTicks++
		if k.unusedTicks >= maxUnusedTicks && !k.retired {
			k.retireLocked()
		}
		return
	}
	if k.conn == nil {
		return
	}
	k.silentTicks++
	if k.silentTicks >= maxSilentTicks {
		k.l.metrics.silences.Inc()
		k.conn.Close()
		return
	}
	k.heartbeatDue = true
	k.signal()
}

func (k *link) retire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retireLocked()
}

// retireLocked ends the link, so that submit returns false from now on. k.mu is held.
func (k *link) retireLocked() {
	k.retired = true
	go k.l.removeLink(k)
	if k.conn != nil {
		k.conn.Close()
	}
	k.signal()
}

// signal wakes run without blocking.
func (k *link) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}
