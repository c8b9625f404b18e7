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
	d      *Dispatcher
	name   name
	key    string
	counts counts
	place  atomic.Pointer[placement]
	// pending counts the jobs without a result. busy and percent mirror the
	// limiter's slots taken and load for readers without the lock.
	pending, busy, percent atomic.Int64

	mu     sync.Mutex
	lim    *limiter.Limiter[*job]
	tenure tenure
	client Client
	hang   func()
	addr   netip.AddrPort
	cap    declarer.Capacity
	pages  pages
	// dead marks an upstream that the Dispatcher has forgotten, or that ended with
	// it.
	dead bool
}

// tenure is the time for which this daemon has held the upstream without a gap.
type tenure struct {
	held              bool
	until             time.Time
	incarnation, term uint64
}

// starting holds the jobs that changed state under the lock; they are acted on
// after it.
type starting struct {
	start   []*job
	refused []refused
}

type refused struct {
	job     *job
	verdict limiter.Verdict
}

func newUpstream(d *Dispatcher, n name) *upstream {
	return &upstream{
		d:      d,
		name:   n,
		key:    viewer.UpstreamKey(n.service, n.upstream),
		counts: d.metrics.counts(n),
	}
}

// placed returns what the view says about the upstream.
func (u *upstream) placed(v *viewer.View) *placement {
	if p := u.place.Load(); p != nil && p.view == v {
		return p
	}
	p := place(v, u.name)
	u.place.Store(p)
	return p
}

// offer starts the job, lets it wait, or ends it.
func (u *upstream) offer(now time.Time, v *viewer.View, j *job) {
	u.pending.Add(1)
	u.mu.Lock()
	share := u.share()
	if !u.renew(now, u.placed(v), share) {
		u.mu.Unlock()
		j.refuse(fenced(j.task.ID))
		return
	}
	if r := u.closed(now, share, j.task.ID); r != nil {
		u.mu.Unlock()
		j.refuse(r)
		return
	}
	verdict, evicted, shed := u.lim.Offer(now, share, j, j.task.Priority, j.deadline)
	if verdict == limiter.Queued {
		u.watch(j)
	}
	u.mirror()
	u.mu.Unlock()

	switch verdict {
	case limiter.Start:
		go j.run()
	case limiter.Queued:
	default:
		j.end(verdict)
	}
	if shed {
		evicted.unwatch()
		evicted.end(limiter.Full)
	}
}

// share returns the share now. It is called under the lock, so that an older
// share never takes the place of a newer one.
func (u *upstream) share() exchanger.Share {
	return u.d.permit.Share(u.key)
}

// watch withdraws a waiting job when its sender gives up. An action stays.
func (u *upstream) watch(j *job) {
	if j.task.AtMostOnce() {
		j.unwatch = func() bool { return true }
		return
	}
	j.unwatch = context.AfterFunc(j.ctx, j.cancelled)
}

// withdraw takes a waiting job out of the queue and reports whether it waited.
func (u *upstream) withdraw(j *job) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	ok := u.lim.Remove(j)
	u.mirror()
	return ok
}

// fits returns the share now, and the Result of a job that has a slot which the
// share does not allow any more, or nil. It frees that slot at once, so that of several such
// jobs only those too many are refused.
func (u *upstream) fits(now time.Time, j *job) (exchanger.Share, *exchanger.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	share := u.share()
	if r := u.closed(now, share, j.task.ID); r != nil {
		return share, r
	}
	if u.lim.InFlight() <= u.lim.Allowed(now, share) {
		return share, nil
	}
	u.lim.Release()
	u.mirror()
	j.released = true
	return share, &exchanger.Result{ID: j.task.ID, Status: exchanger.Shed, Reason: "limit fell before it was sent"}
}

// closed returns the Result of a job when the upstream may be given no work at
// all, or nil.
func (u *upstream) closed(now time.Time, share exchanger.Share, id uint64) *exchanger.Result {
	switch {
	case u.lim.IsDraining(now):
		return &exchanger.Result{ID: id, Status: exchanger.UpstreamOut, Reason: "upstream is draining"}
	case u.lim.Allowed(now, share) == 0:
		return fenced(id)
	default:
		return nil
	}
}

// ended takes in the outcome of a job that ran, delivers it, and frees the slot
// once the upstream has stopped.
func (u *upstream) ended(j *job, out *dialer.Outcome) {
	u.count(out)
	now := time.Now()
	u.mu.Lock()
	cold := u.lim.IsCold()
	u.lim.Learn(now, out.Sample)
	u.turned(cold)
	u.mu.Unlock()
	if out.Hold == nil && !j.released {
		u.release()
	}
	out.Result.Load = u.load()
	j.finish(&out.Result)
	if out.Hold != nil {
		out.Hold.Wait()
		u.release()
	}
}

// release frees a slot and starts what waits for it.
func (u *upstream) release() {
	u.mu.Lock()
	u.lim.Release()
	u.mu.Unlock()
	u.pump()
}

// pump starts and ends the waiting jobs whose state changes now.
func (u *upstream) pump() {
	now := time.Now()
	var s starting
	u.mu.Lock()
	share := u.share()
	for {
		j, verdict := u.lim.Next(now, share)
		if verdict == limiter.None {
			break
		}
		j.unwatch()
		s.add(j, verdict)
	}
	u.mirror()
	u.mu.Unlock()
	s.act()
}

func (s *starting) add(j *job, v limiter.Verdict) {
	if v == limiter.Start {
		s.start = append(s.start, j)
		return
	}
	s.refused = append(s.refused, refused{j, v})
}

func (s *starting) act() {
	for _, j := range s.start {
		go j.run()
	}
	for _, r := range s.refused {
		r.job.end(r.verdict)
	}
}

// mirror publishes the limiter's counts.
func (u *upstream) mirror() {
	u.busy.Store(int64(u.lim.InFlight()))
	u.percent.Store(int64(u.lim.Load()))
}

func (u *upstream) load() int {
	return int(u.percent.Load())
}

func (u *upstream) idle() bool {
	return u.pending.Load() == 0 && u.busy.Load() == 0
}

func (u *upstream) connected() Client {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.client
}
