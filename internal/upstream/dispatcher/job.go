package dispatcher

import (
	"context"
	"time"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/upstream/dialer"
	"cornelwood.example/internal/upstream/limiter"
)

// job is one task on its way. Whoever takes it out of the limiter's queue, or
// runs it, ends it.
type job struct {
	upstream *upstream
	task     exchanger.Task
	ctx      context.Context
	deadline time.Time
	deliver  func(exchanger.Result)
	// unwatch stops the watch for a cancellation while the job waits.
	unwatch func() bool
	// released is true when the slot was freed before the job ended.
	released bool
}

// run sends the task and ends the job.
func (j *job) run() {
	u := j.upstream
	ctx := j.ctx
	if j.task.AtMostOnce() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	out := j.send(ctx, u.connected())
	u.ended(j, &out)
}

// send sends the task unless the Dispatcher has been closed.
func (j *job) send(ctx context.Context, c Client) dialer.Outcome {
	if c == nil {
		return dialer.Outcome{
			Result: exchanger.Result{ID: j.task.ID, Status: exchanger.Unreachable, Reason: "daemon is ending"},
			Sample: limiter.Sample{Kind: limiter.Unused},
		}
	}
	return c.Do(ctx, &j.task, j.admit)
}

// admit checks right before the write that the upstream may still be given the
// task, and returns the time it is given.
func (j *job) admit() (time.Duration, *exchanger.Result) {
	u := j.upstream
	now := time.Now()
	if r := u.placed(u.d.views.View()).refusal(j.task.ID); r != nil {
		return 0, r
	}
	share, r := u.fits(now, j)
	if r != nil {
		return 0, r
	}
	left := j.deadline.Sub(now)
	return min(left, share.ValidUntil.Add(u.d.cfg.TakeoverMargin).Sub(now)), nil
}

// end delivers the result of a job that was not started.
func (j *job) end(v limiter.Verdict) {
	r := exchanger.Result{ID: j.task.ID, Load: j.upstream.load()}
	switch v {
	case limiter.Expired:
		r.Status, r.Reason = exchanger.DeadlineExceeded, "deadline passed while it waited"
		j.upstream.counts.late.Inc()
	case limiter.Hopeless:
		r.Status, r.Reason = exchanger.Shed, "cannot finish in time"
		j.upstream.counts.sheds.Inc()
	default:
		r.Status, r.Reason = exchanger.Shed, "queue is full of more urgent work"
		j.upstream.counts.sheds.Inc()
	}
	j.finish(&r)
}

// refuse delivers a refusal of a job that was not started.
func (j *job) refuse(r *exchanger.Result) {
	r.Load = j.upstream.load()
	j.finish(r)
}

// finish delivers the result.
func (j *job) finish(r *exchanger.Result) {
	j.deliver(*r)
	j.upstream.pending.Add(-1)
}

// cancelled ends a waiting job whose sender has given up.
func (j *job) cancelled() {
	if j.upstream.withdraw(j) {
		j.finish(&exchanger.Result{ID: j.task.ID, Status: exchanger.Failed, Reason: "cancelled"})
	}
}
