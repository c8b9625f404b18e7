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

// results collects the statuses of results by task ID.
type results struct {
	mu       sync.Mutex
	statuses map[uint64][]exchanger.Status
}

func (r *results) add(res exchanger.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.statuses == nil {
		r.statuses = make(map[uint64][]exchanger.Status)
	}
	r.statuses[res.ID] = append(r.statuses[res.ID], res.Status)
}

func (r *results) assert(t *testing.T, want map[uint64][]exchanger.Status) {
	t.Helper()
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := cmp.Diff(want, r.statuses); d != "" {
		t.Errorf("statuses by task (-want +got):\n%s", d)
	}
}

// withFixture runs f with a Dispatcher that sends its tasks to client, on a virtual clock.
func withFixture(t *testing.T, client *fakeClient, f func(t *testing.T, fx *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, Default(), "192.0.2.1:80", client.dial)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = fx.Serve(ctx) }()
		f(t, fx)
		cancel()
		synctest.Wait()
	})
}

// warm runs one task after another until the upstream is warm.
func (fx *fixture) warm(t *testing.T) {
	t.Helper()
	for id := uint64(1000); fx.Snapshot() == nil || fx.Snapshot()[0].Limit < 3; id++ {
		fx.do(t, search(id, time.Second))
		if id > 3000 {
			t.Fatalf("upstream stays cold: %+v", fx.Snapshot())
		}
	}
}

func takeOut(s *declarer.Service) {
	s.Out = []string{"u"}
}

func TestRefusals(t *testing.T) {
	other := declarer.Instance{ID: "d2", Zone: "addis-a"}
	tests := map[string]struct {
		change func(*fixture)
		want   exchanger.Result
	}{
		"another owner": {func(fx *fixture) { fx.views.Publish(fx.view(other)) }, exchanger.Result{Status: exchanger.NotOwner, Owner: "d2"}},
		"no owner":      {func(fx *fixture) { fx.views.Publish(fx.view()) }, exchanger.Result{Status: exchanger.NotOwner}},
		"fenced":        {func(fx *fixture) { fx.permits.set(exchanger.Share{Den: 1}) }, exchanger.Result{Status: exchanger.NotOwner}},
		"share has ended": {func(fx *fixture) {
			fx.permits.set(exchanger.Share{Num: 1, Den: 1, AllowCold: true, ValidUntil: time.Now()})
		}, exchanger.Result{Status: exchanger.NotOwner}},
		"cold half":    {func(fx *fixture) { fx.permits.set(exchanger.Share{Num: 1, Den: 2, ValidUntil: fullShare().ValidUntil}) }, exchanger.Result{Status: exchanger.NotOwner}},
		"upstream out": {func(fx *fixture) { fx.publish(takeOut) }, exchanger.Result{Status: exchanger.UpstreamOut}},
		"zone out": {func(fx *fixture) {
			v := fx.view(fx.self)
			v.Zones["addis-a"] = &declarer.Zone{Out: true}
			fx.views.Publish(v)
		}, exchanger.Result{Status: exchanger.UpstreamOut}},
		"unknown upstream": {func(fx *fixture) { fx.publish(func(s *declarer.Service) { s.Maps = nil }) }, exchanger.Result{Status: exchanger.Unreachable}},
	}
	for name, tt := range tests {
		// The change comes before the task, or while the task waits for a connection.
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s late %v", name, late), func(t *testing.T) {
				client := &fakeClient{connectTime: 6 * time.Millisecond}
				withFixture(t, client, func(t *testing.T, fx *fixture) {
					if late {
						time.AfterFunc(3*time.Millisecond, func() { tt.change(fx) })
					} else {
						tt.change(fx)
					}
					got := fx.do(t, search(1, time.Second))
					tt.want.ID, got.Reason = 1, ""
					if d := cmp.Diff(tt.want, got); d != "" {
						t.Errorf("result (-want +got):\n%s", d)
					}
					if len(client.timeouts) > 0 {
						t.Error("the task was sent")
					}
				})
			})
		}
	}
}

func TestTimeoutIsBoundedByShare(t *testing.T) {
	client := &fakeClient{connectTime: 6 * time.Millisecond}
	withFixture(t, client, func(t *testing.T, fx *fixture) {
		fx.do(t, search(1, time.Second))
		fx.permits.set(exchanger.Share{Num: 1, Den: 1, AllowCold: true, ValidUntil: time.Now().Add(100 * time.Millisecond)})
		fx.do(t, search(2, time.Second))
		want := []time.Duration{994 * time.Millisecond, 94*time.Millisecond + fx.cfg.TakeoverMargin}
		if d := cmp.Diff(want, client.timeouts); d != "" {
			t.Errorf("timeouts (-want +got):\n%s", d)
		}
	})
}

// TestColdAfterGapInOwnership checks that an upstream becomes cold whenever other daemons may
// have sent it work, or it may have restarted, without this daemon noticing.
func TestColdAfterGapInOwnership(t *testing.T) {
	tests := map[string]struct {
		change func(*fixture)
		want   bool
	}{
		"nothing": {func(*fixture) {}, false},
		"fence":   {func(fx *fixture) { fx.permits.set(exchanger.Share{Den: 1}); fx.sweep(); fx.permits.set(fullShare()) }, true},
		"expired share": {func(fx *fixture) {
			fx.permits.set(exchanger.Share{Num: 1, Den: 1, ValidUntil: time.Now().Add(time.Nanosecond)})
			fx.sweep()
			time.Sleep(time.Microsecond)
			fx.permits.set(fullShare())
		}, true},
		"another owner": {func(fx *fixture) { fx.views.Publish(fx.view()); fx.sweep(); fx.views.Publish(fx.view(fx.self)) }, true},
		"new term":      {func(fx *fixture) { fx.self.Term++; fx.views.Publish(fx.view(fx.self)) }, true},
		"new address": {func(fx *fixture) {
			fx.publish(func(s *declarer.Service) { s.Maps = shardMaps("192.0.2.2:80") })
		}, true},
		"out and in": {func(fx *fixture) {
			fx.publish(takeOut)
			fx.sweep()
			fx.publish(func(s *declarer.Service) { s.Out = nil })
		}, true},
		"health page": {func(fx *fixture) { fx.Hint("finder", "u", prober.Pages{Health: prober.Health{State: prober.Cold}}) }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			withFixture(t, &fakeClient{serviceTime: 5 * time.Millisecond}, func(t *testing.T, fx *fixture) {
				fx.warm(t)
				tt.change(fx)
				fx.do(t, search(1, time.Second))
				if got := fx.Snapshot()[0].Cold; got != tt.want {
					t.Errorf("cold %v, want %v", got, tt.want)
				}
			})
		})
	}
}

// TestWaitingTasks checks how waiting tasks end: a loss of ownership refuses them, a
// cancellation removes a search but not an action, and a search is late at its deadline.
func TestWaitingTasks(t *testing.T) {
	action := search(3, time.Second)
	action.Action = []byte(`{}`)
	tests := map[string]struct {
		change func(*fixture)
		want   []exchanger.Status
	}{
		"nothing":   {func(*fixture) {}, []exchanger.Status{exchanger.OK, exchanger.DeadlineExceeded, exchanger.OK}},
		"ownership": {func(fx *fixture) { fx.views.Publish(fx.view()); fx.sweep() }, []exchanger.Status{exchanger.OK, exchanger.NotOwner, exchanger.NotOwner}},
		"cancelled": {nil, []exchanger.Status{exchanger.Failed, exchanger.Failed, exchanger.OK}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			withFixture(t, &fakeClient{serviceTime: 50 * time.Millisecond, stopTime: 10 * time.Millisecond}, func(t *testing.T, fx *fixture) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tt.change == nil {
					tt.change = func(*fixture) { cancel() }
				}
				var got results
				fx.Do(ctx, search(1, time.Second), got.add)
				fx.Do(ctx, search(2, 30*time.Millisecond), got.add)
				fx.Do(ctx, action, got.add)
				synctest.Wait()
				tt.change(fx)
				if err := fx.Drain(t.Context()); err != nil {
					t.Errorf("drain: %v", err)
				}
				got.assert(t, map[uint64][]exchanger.Status{1: tt.want[:1], 2: tt.want[1:2], 3: tt.want[2:]})
			})
		})
	}
}

// TestCancelledWorkKeepsItsSlot checks that the upstream never runs more tasks than its slots
// or its cold limit allow while many tasks are cancelled.
func TestCancelledWorkKeepsItsSlot(t *testing.T) {
	for name, want := range map[string]int{"cold": 1, "warm": 3} {
		t.Run(name, func(t *testing.T) {
			client := &fakeClient{serviceTime: 10 * time.Millisecond, stopTime: 7 * time.Millisecond}
			withFixture(t, client, func(t *testing.T, fx *fixture) {
				if name == "warm" {
					fx.warm(t)
				}
				rnd := rand.New(rand.NewPCG(1, 2))
				var got results
				statuses := make(map[uint64]int)
				for id := range uint64(500) {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rnd.IntN(15))*time.Millisecond)
					fx.Do(ctx, search(id, 40*time.Millisecond), got.add)
					statuses[id] = 1
					time.Sleep(time.Duration(rnd.IntN(3)) * time.Millisecond)
					defer cancel()
				}
				if err := fx.Drain(t.Context()); err != nil {
					t.Errorf("drain: %v", err)
				}
				ends := make(map[uint64]int)
				for id, s := range got.statuses {
					ends[id] = len(s)
				}
				if d := cmp.Diff(statuses, ends); d != "" {
					t.Errorf("deliveries by task (-want +got):\n%s", d)
				}
				if client.peak != want || fx.InFlight("finder/u") != 0 {
					t.Errorf("peak of %d tasks in flight, want %d; %d slots taken at the end", client.peak, want, fx.InFlight("finder/u"))
				}
			})
		})
	}
}

// TestLimitFallsWhileConnecting checks that of the tasks which took a slot before the limit
// fell, no more than the new limit are sent.
func TestLimitFallsWhileConnecting(t *testing.T) {
	client := &fakeClient{serviceTime: 5 * time.Millisecond}
	withFixture(t, client, func(t *testing.T, fx *fixture) {
		fx.warm(t)
		client.connectTime, client.peak = 6*time.Millisecond, 0
		var got results
		for id := range uint64(3) {
			fx.Do(t.Context(), search(id, time.Second), got.add)
		}
		fx.Hint("finder", "u", prober.Pages{Health: prober.Health{State: prober.Cold}})
		if err := fx.Drain(t.Context()); err != nil || client.peak != 1 {
			t.Errorf("peak of %d tasks in flight, want 1; drain: %v", client.peak, err)
		}
	})
}

// TestClosedDispatcher checks that a task which is still waiting when the Dispatcher is closed
// gets a result.
func TestClosedDispatcher(t *testing.T) {
	client := &fakeClient{serviceTime: 5 * time.Millisecond}
	withFixture(t, client, func(t *testing.T, fx *fixture) {
		var got results
		fx.Do(t.Context(), search(1, time.Second), got.add)
		fx.Do(t.Context(), search(2, time.Second), got.add)
		synctest.Wait()
		fx.close()
		time.Sleep(10 * time.Millisecond)
		got.assert(t, map[uint64][]exchanger.Status{1: {exchanger.OK}, 2: {exchanger.Unreachable}})
	})
}

// TestLostOwnershipClosesConnections checks that after a loss of ownership the connections are
// closed, for the next owner to use, once the running tasks have ended.
func TestLostOwnershipClosesConnections(t *testing.T) {
	client := &fakeClient{serviceTime: 50 * time.Millisecond}
	withFixture(t, client, func(t *testing.T, fx *fixture) {
		var got results
		fx.Do(t.Context(), search(1, time.Second), got.add)
		synctest.Wait()
		fx.views.Publish(fx.view())
		var closed []int32
		for _, d := range []time.Duration{45 * time.Millisecond, 30 * time.Millisecond} {
			time.Sleep(d)
			closed = append(closed, client.closed.Load())
		}
		if d := cmp.Diff([]int32{0, 1}, closed); d != "" {
			t.Errorf("closed (-want +got):\n%s", d)
		}
		got.assert(t, map[uint64][]exchanger.Status{1: {exchanger.OK}})
	})
}
