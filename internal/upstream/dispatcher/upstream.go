package dispatcher

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/upstream/dialer"
	"cornelwood.example/internal/upstream/limiter"
)

// upstream is one upstream that this daemon owns or has owned.
type upstream struct {
	d             *Dispatcher
	id            upstreamID
	key           string
	counts        counts
	lastPlacement atomic.Pointer[placement]
	// pending counts the jobs without a result. inFlight and loadPercent are copies of the
	// limiter's slots taken and load, for readers without the lock.
	pending, inFlight, loadPercent atomic.Int64

	mu          sync.Mutex
	lim         *limiter.Limiter[*job]
	ownership   ownership
	client      Client
	closeClient func()
	addr        netip.AddrPort
	cap         declarer.Capacity
	pages       pages
	// removed is true when the Dispatcher has removed the upstream or was closed.
	removed bool
}

// ownership describes the period for which this daemon may admit work to the upstream
// without a gap.
type ownership struct {
	held bool
	// until is when the last share ends.
	until time.Time
	// incarnation and term are those of this instance when it was renewed.
	incarnation, term uint64
}

// decisions holds the jobs that changed state under the lock. They are started and refused
// after its release.
type decisions struct {
	start   []*job
	refused []refused
}

type refused struct {
	job      *job
	decision limiter.Decision
}

func newUpstream(d *Dispatcher, id upstreamID) *upstream {
	return &upstream{
		d:      d,
		id:     id,
		key:    viewer.UpstreamKey(id.service, id.upstream),
		counts: d.metrics.counts(id),
	}
}

// placementIn returns the placement of the upstream in the view, from the last call if that
// had the same view.
func (u *upstream) placementIn(v *viewer.View) *placement {
	if p := u.lastPlacement.Load(); p != nil && p.view == v {
		return p
	}
	p := newPlacement(v, u.id)
	u.lastPlacement.Store(p)
	return p
}

// offer starts, queues or refuses the job.
func (u *upstream) offer(now time.Time, v *viewer.View, j *job) {
	u.pending.Add(1)
	u.mu.Lock()
	share := u.share()
	if !u.renewOwnership(now, u.placementIn(v), share) {
		u.mu.Unlock()
		j.refuse(fencedResult(j.task.ID))
		return
	}
	if r := u.admissionRefusal(now, share, j.task.ID); r != nil {
		u.mu.Unlock()
		j.refuse(r)
		return
	}
	decision, evicted, shed := u.lim.Offer(now, share, j, j.task.Priority, j.deadline)
	if decision == limiter.Queued {
		u.watchCancellation(j)
	}
	u.publishCounts()
	u.mu.Unlock()

	switch decision {
	case limiter.Start:
		go j.run()
	case limiter.Queued:
	default:
		j.endUnstarted(decision)
	}
	if shed {
		evicted.stopWatch()
		evicted.endUnstarted(limiter.QueueFull)
	}
}

// share returns the current share. It is called under the lock, so that an older share
// never replaces a newer one.
func (u *upstream) share() exchanger.Share {
	return u.d.shares.Share(u.key)
}

// watchCancellation removes a waiting search when its context is cancelled. An action stays
// in the queue.
func (u *upstream) watchCancellation(j *job) {
	if j.task.AtMostOnce() {
		j.stopWatch = func() bool { return true }
		return
	}
	j.stopWatch = context.AfterFunc(j.ctx, j.onCancel)
}

// removeWaiting removes a job from the queue and reports whether it was there.
func (u *upstream) removeWaiting(j *job) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	ok := u.lim.Remove(j)
	u.publishCounts()
	return ok
}

// recheckLimit returns the current share, and the Result of a job with a slot that must not
// be sent any more, or nil. When the share or the limit no longer allows the slot, it frees
// the slot at once, so that of several such jobs only the excess is refused.
func (u *upstream) recheckLimit(now time.Time, j *job) (exchanger.Share, *exchanger.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	share := u.share()
	if r := u.admissionRefusal(now, share, j.task.ID); r != nil {
		return share, r
	}
	if u.lim.InFlight() <= u.lim.Allowed(now, share) {
		return share, nil
	}
	u.lim.Release()
	u.publishCounts()
	j.slotReleased = true
	return share, &exchanger.Result{ID: j.task.ID, Status: exchanger.Shed, Reason: "limit fell before the task was sent"}
}

// admissionRefusal returns the Result of a job when the upstream may currently be given no
// work at all, or nil.
func (u *upstream) admissionRefusal(now time.Time, share exchanger.Share, id uint64) *exchanger.Result {
	switch {
	case u.lim.IsDraining(now):
		return &exchanger.Result{ID: id, Status: exchanger.UpstreamOut, Reason: "upstream is draining"}
	case u.lim.Allowed(now, share) == 0:
		return fencedResult(id)
	default:
		return nil
	}
}

// complete reports the outcome of a job that ran to the limiter, delivers it, and frees the
// slot once the upstream has stopped running the task.
func (u *upstream) complete(j *job, out *dialer.Outcome) {
	u.countOutcome(out)
	now := time.Now()
	u.mu.Lock()
	cold := u.lim.IsCold()
	u.lim.Observe(now, out.Sample)
	u.countColdChange(cold)
	u.mu.Unlock()
	if out.Hold == nil && !j.slotReleased {
		u.releaseSlot()
	}
	out.Result.Load = u.load()
	j.finish(&out.Result)
	if out.Hold != nil {
		out.Hold.Wait()
		u.releaseSlot()
	}
}

// releaseSlot frees a slot and starts the jobs that wait for it.
func (u *upstream) releaseSlot() {
	u.mu.Lock()
	u.lim.Release()
	u.mu.Unlock()
	u.processQueue()
}

// processQueue starts and refuses the waiting jobs whose state changes now.
func (u *upstream) processQueue() {
	now := time.Now()
	var d decisions
	u.mu.Lock()
	share := u.share()
	for {
		j, decision := u.lim.Next(now, share)
		if decision == limiter.None {
			break
		}
		j.stopWatch()
		d.add(j, decision)
	}
	u.publishCounts()
	u.mu.Unlock()
	d.apply()
}

func (d *decisions) add(j *job, decision limiter.Decision) {
	if decision == limiter.Start {
		d.start = append(d.start, j)
		return
	}
	d.refused = append(d.refused, refused{j, decision})
}

func (d *decisions) apply() {
	for _, j := range d.start {
		go j.run()
	}
	for _, r := range d.refused {
		r.job.endUnstarted(r.decision)
	}
}

// publishCounts copies the limiter's counts for readers without the lock.
func (u *upstream) publishCounts() {
	u.inFlight.Store(int64(u.lim.InFlight()))
	u.loadPercent.Store(int64(u.lim.Load()))
}

func (u *upstream) load() int {
	return int(u.loadPercent.Load())
}

func (u *upstream) idle() bool {
	return u.pending.Load() == 0 && u.inFlight.Load() == 0
}

func (u *upstream) currentClient() Client {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.client
}
