package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
)

const testMaxAge = 3 * time.Second

// scriptedPeer answers a poll after a time, with a response of its own.
type scriptedPeer struct {
	now      *time.Duration
	takes    time.Duration
	response pollResponse
}

func (p *scriptedPeer) Call(_ context.Context, _ netip.AddrPort, _ string, _, out any) error {
	*p.now += p.takes
	*out.(*pollResponse) = p.response
	return nil
}

// TestRelayedDate guards against state that counts as younger than it is: the date must not be later than the time at which the
// store was asked.
func TestRelayedDate(t *testing.T) {
	const sent = 100 * time.Second
	for _, tt := range []struct {
		name              string
		held, takes, aged time.Duration
		known             time.Duration
		want              time.Duration
	}{
		{"answered at once", 0, 2 * time.Millisecond, time.Second, 0, sent - time.Second},
		{"held", 300 * time.Millisecond, 302 * time.Millisecond, time.Second, 0, sent - 700*time.Millisecond},
		{"answer arrives late", 0, 5 * time.Second, time.Second, 0, sent - time.Second},
		{"held for longer than the poll took", time.Minute, 302 * time.Millisecond, time.Second, 0, sent - 698*time.Millisecond},
		{"held for a negative time", -time.Minute, 302 * time.Millisecond, time.Second, 0, sent - time.Second},
		{"unknown age", 300 * time.Millisecond, 302 * time.Millisecond, 0, 0, 0},
		{"negative age", 300 * time.Millisecond, 302 * time.Millisecond, -time.Second, 0, 0},
		{"older than what is known", 0, time.Millisecond, 2 * time.Second, sent - time.Second, sent - time.Second},
		{"older than the machine", 0, time.Millisecond, time.Hour, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := sent
			cfg := Default()
			cfg.Clock = func() time.Duration { return now }
			peer := &scriptedPeer{now: &now, takes: tt.takes, response: pollResponse{Held: tt.held, Updates: []update{{Kind: "test", Whole: true, Revision: 3, Asked: tt.aged}}}}
			r := New(cfg, declarer.Member{ID: "d"}, nil, peer, nil, &fakeObserver{}, hclog.NewNullLogger())
			c := NewCache[string]("test", &memorySink{}, r)
			var got time.Duration
			c.LimitAge(testMaxAge, func(at time.Duration) { got = at })
			c.Confirm(tt.known)
			m := &declarer.Member{ID: "p"}
			state := r.applyPoll(m, r.poll(t.Context(), m, r.newPoll(m, 0)))
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("date (-want +got):\n%s", diff)
			}
			if isFresh := tt.aged > 0 && tt.aged <= testMaxAge; isFresh != (state == fresh) {
				t.Errorf("state of the peer %d, want it fresh: %t", state, isFresh)
			}
		})
	}
}

// TestUndatedByDefault checks that a cache without a limit sends no age and needs none.
func TestUndatedByDefault(t *testing.T) {
	c, _ := newTestCache()
	c.Replace([]follower.Item[string]{item("a", 1, "x")}, 3)
	c.Confirm(time.Second)
	u, err := c.updateSince(0)
	if err != nil || u.Asked != 0 || !c.isFresh(time.Second) || !c.acceptsAge(&u) {
		t.Errorf("error %v, age %s, fresh %t, accepted %t", err, u.Asked, c.isFresh(time.Second), c.acceptsAge(&u))
	}
}

// datedFleet is a fleet whose caches are dated, with a store that changes and calls that take long.
type datedFleet struct {
	*fleet
	start time.Time
	rnd   *rand.Rand
	// transit is the longest time that a message takes, and frozen the number of calls whose answer waits for 5 s.
	transit time.Duration
	frozen  int

	mu sync.Mutex
	// changes holds the times of the store's revisions from 1 on.
	changes []time.Duration
	dates   []time.Duration
}

func (f *datedFleet) now() time.Duration { return time.Hour + time.Since(f.start) }

// delay returns the time that a message takes.
func (f *datedFleet) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen > 0 && f.rnd.IntN(40) == 0 {
		f.frozen--
		return 5 * time.Second
	}
	return time.Duration(f.rnd.Int64N(int64(f.transit)))
}

// Call passes a poll on like fleet.Call, but each way takes time, also after the caller has given up.
func (f *datedFleet) Call(ctx context.Context, peer netip.AddrPort, name string, in, out any) error {
	time.Sleep(f.delay())
	var got pollResponse
	if err := f.fleet.Call(ctx, peer, name, in, &got); err != nil {
		return err
	}
	time.Sleep(f.delay())
	*out.(*pollResponse) = got
	return nil
}

// revisionAt returns the store's revision at a time.
func (f *datedFleet) revisionAt(at time.Duration) uint64 {
	n := 0
	for n < len(f.changes) && f.changes[n] <= at {
		n++
	}
	return uint64(n)
}

// onDated checks that a daemon's state contains all that the store had confirmed at its date.
func (f *datedFleet) onDated(i int, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dates[i] = at
	value := f.caches[i].items["a"].Value
	if want := f.revisionAt(at); value < fmt.Sprintf("%06d", want) {
		f.t.Errorf("daemon %d has %s, dated to when the store had revision %d", i, value, want)
	}
}

// read is a daemon's follower: a watch of 0.4 s, whose answer takes time on its way, and a pause of 0.15 s.
func (f *datedFleet) read(ctx context.Context, i int) {
	r, c := f.daemons[f.members[i].Peer], f.caches[i]
	for ctx.Err() == nil {
		if open, _ := r.Open(); !open {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if f.isStoreDown(i) {
			time.Sleep(400 * time.Millisecond)
			c.Lost(context.DeadlineExceeded)
			continue
		}
		asked := f.now()
		time.Sleep(f.delay())
		f.mu.Lock()
		revision := f.revisionAt(f.now())
		f.mu.Unlock()
		time.Sleep(400*time.Millisecond + f.delay())
		c.Replace([]follower.Item[string]{item("a", revision, fmt.Sprintf("%06d", revision))}, revision)
		c.Confirm(asked)
		time.Sleep(150 * time.Millisecond * 5 / 4)
	}
}

// runDated serves a fleet of n daemons in 4 zones while test runs. The test starts the last one by calling join.
func runDated(t *testing.T, n int, transit time.Duration, frozen int, test func(f *datedFleet, join func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var zones []string
		for i := range n {
			zones = append(zones, string(rune('a'+i%4)))
		}
		f := &datedFleet{fleet: newFleet(t, zones...), start: time.Now(), rnd: rand.New(rand.NewPCG(1, 2)), transit: transit, frozen: frozen, dates: make([]time.Duration, len(zones))}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i, m := range f.members {
			r, c := f.daemons[m.Peer], f.caches[i]
			r.cfg.Clock, r.caller, c.clock = f.now, f, f.now
			c.LimitAge(testMaxAge, func(at time.Duration) { f.onDated(i, at) })
		}
		serve := func(i int) {
			running.Go(func() { _ = f.daemons[f.members[i].Peer].Serve(ctx) })
			running.Go(func() { f.read(ctx, i) })
		}
		for i := range n - 1 {
			serve(i)
		}
		running.Go(func() {
			for ctx.Err() == nil {
				f.mu.Lock()
				f.changes = append(f.changes, f.now())
				f.mu.Unlock()
				time.Sleep(170 * time.Millisecond)
			}
		})
		test(f, func() { serve(n - 1) })
		cancel()
		running.Wait()
	})
}

// TestDatedFleet checks over relays that no state is dated later than it was read, with answers that are late for seconds, as after
// a freeze, and with a store that answers some daemons only.
func TestDatedFleet(t *testing.T) {
	runDated(t, 24, 30*time.Millisecond, 20, func(f *datedFleet, join func()) {
		join()
		time.Sleep(10 * time.Second)
		for i := range f.members {
			f.setStoreDown(i, i%3 > 0)
		}
		time.Sleep(20 * time.Second)
	})
}

// TestDatedFleetCalm checks that the state is well below the greatest age for every daemon in calm times, so that none fails its
// readiness check, and that one daemon reads the store.
func TestDatedFleetCalm(t *testing.T) {
	runDated(t, 80, 3*time.Millisecond, 0, func(f *datedFleet, join func()) {
		join()
		time.Sleep(10 * time.Second)
		var oldest time.Duration
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			f.mu.Lock()
			for _, at := range f.dates {
				oldest = max(oldest, f.now()-at)
			}
			f.mu.Unlock()
		}
		t.Logf("greatest age of the state of %d daemons: %s", len(f.members), oldest)
		if oldest > testMaxAge*8/10 {
			t.Errorf("the state of a daemon was %s old, want at most eight tenths of %s", oldest, testMaxAge)
		}
		f.assertReaders(1)
	})
}

// TestDatedStart starts a daemon while the store has been away for seconds. It takes its peers' state, which must not count as younger
// than it is there.
func TestDatedStart(t *testing.T) {
	runDated(t, 8, 3*time.Millisecond, 0, func(f *datedFleet, join func()) {
		time.Sleep(5 * time.Second)
		for i := range f.members {
			f.setStoreDown(i, true)
		}
		downAt := f.now()
		time.Sleep(10 * time.Second)
		join()
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if at := f.dates[len(f.dates)-1]; at == 0 || at > downAt {
			t.Errorf("the daemon that started dates its state to %s after the store was last asked", at-downAt)
		}
	})
}
