package reconciler

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// leaveKnownWithin bounds the time until all daemons know that an instance has ended.
const leaveKnownWithin = 3 * time.Second

// startedFleet returns a fleet of n daemons in each zone, all of which know the
// configuration and all instances.
func startedFleet(t *testing.T, n int, zones ...string) *fleet {
	f := newFleet(t)
	f.platform.put(zoneObject(false))
	o := f.platform.put(serviceObject())
	f.startAll(n, zones...)
	f.await("configuration", 10*time.Second, hasVersion(o))
	f.await("instances", 10*time.Second, hasLive(n*len(zones)))
	return f
}

// hasState returns a condition for await: an instance has a state. Gone also holds for an
// instance that is not in the view.
func hasState(id string, state declarer.State) func(d *daemon) bool {
	return func(d *daemon) bool {
		in, ok := d.views.View().Instance(id)
		if !ok {
			return state == declarer.Gone
		}
		return in.State == state
	}
}

func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 3, "a", "b")
		defer f.stop()
		d := f.daemons[0]
		d.inFlight.Store(1)
		short, cancel := context.WithTimeout(t.Context(), leaveKnownWithin)
		defer cancel()
		var ue *UndrainedError
		if err := d.Leave(short); !errors.As(err, &ue) || ue.InFlight != 1 {
			t.Fatalf("Leave with work in flight returned %v", err)
		}
		f.await("leaving", 0, hasState("a-1", declarer.Leaving))
		if ok, _ := d.Ready(); ok {
			t.Error("a leaving daemon is ready for callers")
		}
		d.inFlight.Store(0)
		if err := d.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.daemons = f.daemons[1:]
		f.network.cut(func(a, b netip.AddrPort) bool { return a == d.self.Peer || b == d.self.Peer })
		f.await("gone", leaveKnownWithin, hasState("a-1", declarer.Gone))
		f.daemons = append(f.daemons, d)
	})
}

func TestKilledInstanceIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 3, "a", "b")
		defer f.stop()
		f.kill(f.daemons[1])
		f.await("gone", leaveKnownWithin, hasState("a-2", declarer.Gone))
	})
}

// TestSilentInstance checks that an instance that is cut off without a leave is missing
// until two reads of the platform's list lack it, and rejoins after the cut.
func TestSilentInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 3, "a")
		defer f.stop()
		f.platform.set(func() {
			f.platform.instances = []declarer.Instance{instance("a", 1), instance("a", 2), instance("a", 3)}
		})
		time.Sleep(15 * time.Second)
		silent := f.daemons[2]
		f.network.cut(func(a, b netip.AddrPort) bool { return a == silent.self.Peer || b == silent.self.Peer })
		f.daemons = f.daemons[:2]
		f.await("missing", 10*time.Second, hasState("a-3", declarer.Missing))
		time.Sleep(time.Minute)
		f.await("missing while it is listed", 0, hasState("a-3", declarer.Missing))
		f.platform.set(func() { f.platform.instances = f.platform.instances[:2] })
		f.await("gone", time.Minute, hasState("a-3", declarer.Gone))
		f.daemons = append(f.daemons, silent)
		f.network.cut(func(_, _ netip.AddrPort) bool { return false })
		f.await("live again", time.Minute, hasLive(3))
		if self := silent.views.View().Self; self.Term == 0 {
			t.Error("the instance did not join again under a higher term")
		}
	})
}

func TestOneWayCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 3, "a")
		defer f.stop()
		from, to := f.daemons[0].self.Peer, f.daemons[1].self.Peer
		f.network.cut(func(a, b netip.AddrPort) bool { return a == from && b == to })
		for range 20 {
			time.Sleep(time.Second)
			f.await("live instances, by forwarded pings", 0, hasLive(3))
		}
		f.await("change", inForce, hasVersion(f.platform.put(zoneObject(true))))
		for _, d := range f.daemons {
			if !admitsSome(d) {
				t.Errorf("%s may admit nothing although the third member forwards pings", d.self.ID)
			}
		}
	})
}

// admitsSome reports whether a daemon may admit work to one of many upstreams.
func admitsSome(d *daemon) bool {
	for i := range upstreams {
		if d.Share(fmt.Sprintf("s/%d", i)).Num > 0 {
			return true
		}
	}
	return false
}

func TestRestartWithLowerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.platform.put(zoneObject(false))
		first := instance("a", 1)
		first.Incarnation = 9
		f.start(first, instance("a", 2).Peer)
		f.start(instance("a", 2), first.Peer)
		f.await("instances", 10*time.Second, hasLive(2))
		f.kill(f.daemons[0])
		f.start(instance("a", 1), instance("a", 2).Peer)
		f.await("instances again", 10*time.Second, hasLive(2))
		f.await("higher incarnation", 10*time.Second, func(d *daemon) bool {
			in, ok := d.views.View().Instance("a-1")
			return ok && in.Incarnation > first.Incarnation
		})
	})
}

// TestReplacedProcessLeaves checks that a process leaves when another process of the same
// ID has started at another address, as it may while the first is frozen.
func TestReplacedProcessLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 2, "a")
		defer f.stop()
		time.Sleep(replacedAfter)
		old := f.daemons[0]
		next := instance("a", 9)
		next.ID, next.Incarnation = old.self.ID, old.self.Incarnation+1
		f.start(next, f.daemons[1].self.Peer)
		f.await("the new address", 10*time.Second, func(d *daemon) bool {
			in, ok := d.views.View().Instance(next.ID)
			return d == old || ok && in.Peer == next.Peer && in.State == declarer.Live
		})
		time.Sleep(5 * time.Second)
		if ok, _ := old.Ready(); ok {
			t.Error("the replaced process is ready for callers")
		}
		if admitsSome(old) {
			t.Error("the replaced process may admit work")
		}
	})
}

// TestSubstituteWatches cuts both watchers of the zone off from the platform. Another
// daemon of the zone has to watch instead.
func TestSubstituteWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 5, "a")
		defer f.stop()
		s, err := f.daemons[0].Status(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		watchers := strings.Join(s.Watchers, " ")
		f.platform.set(func() { f.platform.isCut = func(id string) bool { return strings.Contains(watchers, id) } })
		f.await("change", substituteWithin, hasVersion(f.platform.put(zoneObject(true))))
		time.Sleep(time.Minute)
		f.await("change while a substitute watches", inForce, hasVersion(f.platform.put(zoneObject(false))))
	})
}

// substituteWithin bounds the time until another daemon of a zone of five watches.
const substituteWithin = time.Minute

func TestFleetThatStartsAtOnceAsksThePlatformFewTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		o := f.platform.put(zoneObject(false))
		f.startAll(8, "a", "b", "c", "d")
		f.await("configuration", inForceAtTarget, hasVersion(o))
		time.Sleep(10 * time.Second)
		f.platform.set(func() {
			if lists := f.platform.calls["list"]; lists > 16 {
				t.Errorf("32 daemons asked for %d lists, want at most 16", lists)
			}
		})
	})
}

func TestZoneChangesItsGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 4, "a")
		defer f.stop()
		o := zoneObject(true)
		o.Zone.Groups = 2
		o = f.platform.put(o)
		f.await("change", inForce, hasVersion(o))
		time.Sleep(5 * time.Second)
		f.await("instances", 0, hasLive(4))
		for _, d := range f.daemons {
			s, err := d.Status(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if s.Self.Term == 0 {
				t.Errorf("%s did not join its new group under a higher term", d.self.ID)
			}
		}
	})
}
