package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/upstream/prober"
)

// results collects results by task.
type results struct {
	mu  sync.Mutex
	got map[uint64][]exchanger.Status
}

func (r *results) add(res exchanger.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.got == nil {
		r.got = make(map[uint64][]exchanger.Status)
	}
	r.got[res.ID] = append(r.got[res.ID], res.Status)
}

func (r *results) assert(t *testing.T, want map[uint64][]exchanger.Status) {
	t.Helper()
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := cmp.Diff(want, r.got); d != "" {
		t.Errorf("statuses by task (-want +got):\n%s", d)
	}
}

// inBubble runs f with a Dispatcher whose upstream is r, on a clock of its own.
func inBubble(t *testing.T, r *runner, f func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, Default(), "192.0.2.1:80", r.dial)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = b.Serve(ctx) }()
		f(t, b)
		cancel()
		synctest.Wait()
	})
}

// warm serves tasks one after another until the upstream is warm.
func (b *bench) warm(t *testing.T) {
	t.Helper()
	for id := uint64(1000); b.Snapshot() == nil || b.Snapshot()[0].Limit < 3; id++ {
		b.do(t, search(id, time.Second))
		if id > 3000 {
			t.Fatalf("upstream stays cold: %+v", b.Snapshot())
		}
	}
}

func takeOut(s *declarer.Service) {
	s.Out = []string{"u"}
}

func TestRefusals(t *testing.T) {
	other := declarer.Instance{ID: "d2", Zone: "addis-a"}
	tests := map[string]struct {
		change func(*bench)
		want   exchanger.Result
	}{
		"another owner": {func(b *bench) { b.views.Publish(b.view(other)) }, exchanger.Result{Status: exchanger.NotOwner, Owner: "d2"}},
		"no owner":      {func(b *bench) { b.views.Publish(b.view()) }, exchanger.Result{Status: exchanger.NotOwner}},
		"fenced":        {func(b *bench) { b.permits.set(exchanger.Share{Den: 1}) }, exchanger.Result{Status: exchanger.NotOwner}},
		"share has ended": {func(b *bench) {
			b.permits.set(exchanger.Share{Num: 1, Den: 1, AllowCold: true, ValidUntil: time.Now()})
		}, exchanger.Result{Status: exchanger.NotOwner}},
		"cold half":    {func(b *bench) { b.permits.set(exchanger.Share{Num: 1, Den: 2, ValidUntil: whole().ValidUntil}) }, exchanger.Result{Status: exchanger.NotOwner}},
		"upstream out": {func(b *bench) { b.publish(takeOut) }, exchanger.Result{Status: exchanger.UpstreamOut}},
		"zone out": {func(b *bench) {
			v := b.view(b.self)
			v.Zones["addis-a"] = &declarer.Zone{Out: true}
			b.views.Publish(v)
		}, exchanger.Result{Status: exchanger.UpstreamOut}},
		"unknown upstream": {func(b *bench) { b.publish(func(s *declarer.Service) { s.Maps = nil }) }, exchanger.Result{Status: exchanger.Unreachable}},
	}
	for name, tt := range tests {
		// The change comes before the task, or while it connects.
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s late %v", name, late), func(t *testing.T) {
				r := &runner{connect: 6 * time.Millisecond}
				inBubble(t, r, func(t *testing.T, b *bench) {
					if late {
						time.AfterFunc(3*time.Millisecond, func() { tt.change(b) })
					} else {
						tt.change(b)
					}
					got := b.do(t, search(1, time.Second))
					tt.want.ID, got.Reason = 1, ""
					if d := cmp.Diff(tt.want, got); d != "" {
						t.Errorf("result (-want +got):\n%s", d)
					}
					if len(r.given) > 0 {
						t.Error("the task was sent")
					}
				})
			})
		}
	}
}

func TestTimeGiven(t *testing.T) {
	r := &runner{connect: 6 * time.Millisecond}
	inBubble(t, r, func(t *testing.T, b *bench) {
		b.do(t, search(1, time.Second))
		b.permits.set(exchanger.Share{Num: 1, Den: 1, AllowCold: true, ValidUntil: time.Now().Add(100 * time.Millisecond)})
		b.do(t, search(2, time.Second))
		want := []time.Duration{994 * time.Millisecond, 94*time.Millisecond + b.cfg.TakeoverMargin}
		if d := cmp.Diff(want, r.given); d != "" {
			t.Errorf("time given (-want +got):\n%s", d)
		}
	})
}

// TestHeldAnewIsCold pins that an upstream is cold whenever this daemon may have
// missed what others gave it.
func TestHeldAnewIsCold(t *testing.T) {
	tests := map[string]struct {
		change func(*bench)
		want   bool
	}{
		"nothing": {func(*bench) {}, false},
		"fence":   {func(b *bench) { b.permits.set(exchanger.Share{Den: 1}); b.sweep(); b.permits.set(whole()) }, true},
		"unseen fence": {func(b *bench) {
			b.permits.set(exchanger.Share{Num: 1, Den: 1, ValidUntil: time.Now().Add(time.Nanosecond)})
			b.sweep()
			time.Sleep(time.Microsecond)
			b.permits.set(whole())
		}, true},
		"another owner": {func(b *bench) { b.views.Publish(b.view()); b.sweep(); b.views.Publish(b.view(b.self)) }, true},
		"new term":      {func(b *bench) { b.self.Term++; b.views.Publish(b.view(b.self)) }, true},
		"new address": {func(b *bench) {
			b.publish(func(s *declarer.Service) { s.Maps = shardMaps("192.0.2.2:80") })
		}, true},
		"out and in": {func(b *bench) {
			b.publish(takeOut)
			b.sweep()
			b.publish(func(s *declarer.Service) { s.Out = nil })
		}, true},
		"health page": {func(b *bench) { b.Hint("finder", "u", prober.Pages{Health: prober.Health{State: prober.Cold}}) }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, &runner{service: 5 * time.Millisecond}, func(t *testing.T, b *bench) {
				b.warm(t)
				tt.change(b)
				b.do(t, search(1, time.Second))
				if got := b.Snapshot()[0].Cold; got != tt.want {
					t.Errorf("cold %v, want %v", got, tt.want)
				}
			})
		})
	}
}

// TestWaitingTasks pins what becomes of tasks that wait: a lost ownership refuses
// them, a cancellation withdraws a search but not an action, and the deadline
// ends them.
func TestWaitingTasks(t *testing.T) {
	action := search(3, time.Second)
	action.Action = []byte(`{}`)
	tests := map[string]struct {
		change func(*bench)
		want   []exchanger.Status
	}{
		"nothing":   {func(*bench) {}, []exchanger.Status{exchanger.OK, exchanger.DeadlineExceeded, exchanger.OK}},
		"ownership": {func(b *bench) { b.views.Publish(b.view()); b.sweep() }, []exchanger.Status{exchanger.OK, exchanger.NotOwner, exchanger.NotOwner}},
		"cancelled": {nil, []exchanger.Status{exchanger.Failed, exchanger.Failed, exchanger.OK}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, &runner{service: 50 * time.Millisecond, stop: 10 * time.Millisecond}, func(t *testing.T, b *bench) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tt.change == nil {
					tt.change = func(*bench) { cancel() }
				}
				var got results
				b.Do(ctx, search(1, time.Second), got.add)
				b.Do(ctx, search(2, 30*time.Millisecond), got.add)
				b.Do(ctx, action, got.add)
				synctest.Wait()
				tt.change(b)
				if err := b.Drain(t.Context()); err != nil {
					t.Errorf("drain: %v", err)
				}
				got.assert(t, map[uint64][]exchanger.Status{1: tt.want[:1], 2: tt.want[1:2], 3: tt.want[2:]})
			})
		})
	}
}

// TestCancelledWorkKeepsItsSlot pins that the upstream never runs more than its
// slots, nor more than its cold limit, while many tasks are cancelled.
func TestCancelledWorkKeepsItsSlot(t *testing.T) {
	for name, want := range map[string]int{"cold": 1, "warm": 3} {
		t.Run(name, func(t *testing.T) {
			r := &runner{service: 10 * time.Millisecond, stop: 7 * time.Millisecond}
			inBubble(t, r, func(t *testing.T, b *bench) {
				if name == "warm" {
					b.warm(t)
				}
				rnd := rand.New(rand.NewPCG(1, 2))
				var got results
				statuses := make(map[uint64]int)
				for id := range uint64(500) {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rnd.IntN(15))*time.Millisecond)
					b.Do(ctx, search(id, 40*time.Millisecond), got.add)
					statuses[id] = 1
					time.Sleep(time.Duration(rnd.IntN(3)) * time.Millisecond)
					defer cancel()
				}
				if err := b.Drain(t.Context()); err != nil {
					t.Errorf("drain: %v", err)
				}
				ends := make(map[uint64]int)
				for id, s := range got.got {
					ends[id] = len(s)
				}
				if d := cmp.Diff(statuses, ends); d != "" {
					t.Errorf("deliveries by task (-want +got):\n%s", d)
				}
				if r.most != want || b.Busy("finder/u") != 0 {
					t.Errorf("most work at once %d, want %d; busy %d after it", r.most, want, b.Busy("finder/u"))
				}
			})
		})
	}
}

// TestLimitFallsWhileConnecting pins that tasks which took a slot before the
// limit fell are not sent above it.
func TestLimitFallsWhileConnecting(t *testing.T) {
	r := &runner{service: 5 * time.Millisecond}
	inBubble(t, r, func(t *testing.T, b *bench) {
		b.warm(t)
		r.connect, r.most = 6*time.Millisecond, 0
		var got results
		for id := range uint64(3) {
			b.Do(t.Context(), search(id, time.Second), got.add)
		}
		b.Hint("finder", "u", prober.Pages{Health: prober.Health{State: prober.Cold}})
		if err := b.Drain(t.Context()); err != nil || r.most != 1 {
			t.Errorf("most work at once %d, want 1; drain: %v", r.most, err)
		}
	})
}

// TestClosedDispatcher pins that a task which meets the end of the Dispatcher gets
// its result.
func TestClosedDispatcher(t *testing.T) {
	r := &runner{service: 5 * time.Millisecond}
	inBubble(t, r, func(t *testing.T, b *bench) {
		var got results
		b.Do(t.Context(), search(1, time.Second), got.add)
		b.Do(t.Context(), search(2, time.Second), got.add)
		synctest.Wait()
		b.close()
		time.Sleep(10 * time.Millisecond)
		got.assert(t, map[uint64][]exchanger.Status{1: {exchanger.OK}, 2: {exchanger.Unreachable}})
	})
}

// TestLostOwnershipClosesConnections pins that connections are left to the next
// owner once the running work has ended.
func TestLostOwnershipClosesConnections(t *testing.T) {
	r := &runner{service: 50 * time.Millisecond}
	inBubble(t, r, func(t *testing.T, b *bench) {
		var got results
		b.Do(t.Context(), search(1, time.Second), got.add)
		synctest.Wait()
		b.views.Publish(b.view())
		var closed []int32
		for _, d := range []time.Duration{45 * time.Millisecond, 30 * time.Millisecond} {
			time.Sleep(d)
			closed = append(closed, r.closed.Load())
		}
		if d := cmp.Diff([]int32{0, 1}, closed); d != "" {
			t.Errorf("closed (-want +got):\n%s", d)
		}
		got.assert(t, map[uint64][]exchanger.Status{1: {exchanger.OK}})
	})
}
