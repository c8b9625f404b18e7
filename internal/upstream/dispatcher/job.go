package dispatcher

import (
	"context"
	"time"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/upstream/dialer"
	"cornelwood.example/internal/upstream/limiter"
)

// job is one task that waits or runs. The goroutine that removes it from the limiter's
// queue, or runs it, delivers its result.
type job struct {
	upstream *upstream
	task     exchanger.Task
	ctx      context.Context
	deadline time.Time
	deliver  func(exchanger.Result)
	// stopWatch stops watching for a cancellation while the job waits.
	stopWatch func() bool
	// slotReleased is true when the slot was freed before the job was sent.
	slotReleased bool
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
	out := j.send(ctx, u.currentClient())
	u.complete(j, &out)
}

// send sends the task unless the Dispatcher has been closed, which leaves it no Client.
func (j *job) send(ctx context.Context, c Client) dialer.Outcome {
	if c == nil {
		return dialer.Outcome{
			Result: exchanger.Result{ID: j.task.ID, Status: exchanger.Unreachable, Reason: "daemon is shutting down"},
			Sample: limiter.Sample{Kind: limiter.Inconclusive},
		}
	}
	return c.Do(ctx, &j.task, j.admit)
}

// admit checks right before the write that the task may still be sent. It returns the
// task's timeout, or the Result of a task that must not be sent.
func (j *job) admit() (time.Duration, *exchanger.Result) {
	u := j.upstream
	now := time.Now()
	if r := u.placementIn(u.d.views.View()).refusal(j.task.ID); r != nil {
		return 0, r
	}
	share, r := u.recheckLimit(now, j)
	if r != nil {
		return 0, r
	}
	left := j.deadline.Sub(now)
	return min(left, share.ValidUntil.Add(u.d.cfg.TakeoverMargin).Sub(now)), nil
}

// endUnstarted delivers the result of a job that the limiter did not start.
func (j *job) endUnstarted(decision limiter.Decision) {
	r := exchanger.Result{ID: j.task.ID, Load: j.upstream.load()}
	switch decision {
	case limiter.Expired:
		r.Status, r.Reason = exchanger.DeadlineExceeded, "deadline passed while the task was queued"
		j.upstream.counts.late.Inc()
	case limiter.CannotFinish:
		r.Status, r.Reason = exchanger.Shed, "task cannot finish before its deadline"
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

// onCancel ends a waiting job whose context was cancelled.
func (j *job) onCancel() {
	if j.upstream.removeWaiting(j) {
		j.finish(&exchanger.Result{ID: j.task.ID, Status: exchanger.Failed, Reason: "cancelled"})
	}
}
