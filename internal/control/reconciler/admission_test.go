package reconciler

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"
)

// TestAdmissionNeverExceedsOne kills and restarts daemons of one zone, lets them leave,
// and partitions them in both directions or in one. It checks after every step that the
// shares of an upstream never add up to more than 1.
func TestAdmissionNeverExceedsOne(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := startedFleet(t, 4, "a")
				defer f.stop()
				f.listAll()
				c := &chaos{fleet: f, rnd: newRand(seed)}
				for range 60 {
					c.step()
					c.check(t, time.Duration(c.rnd.Int64N(int64(4*time.Second))))
				}
				f.network.cut(func(_, _ netip.AddrPort) bool { return false })
				time.Sleep(time.Minute)
				for i := range upstreams {
					if got := f.admittedShare(fmt.Sprintf("s/%d", i)); got != 1 {
						t.Errorf("shares of upstream %d add up to %v a minute after the last fault, want 1", i, got)
					}
				}
			})
		})
	}
}

// TestJoinDuringCut lets an instance leave and start again as a new process on one side
// of a partition that has just begun.
func TestJoinDuringCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 4, "a")
		defer f.stop()
		c := &chaos{fleet: f}
		leaver := f.daemons[1]
		if err := leaver.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.kill(leaver)
		c.check(t, 5*time.Second)
		const secondAndFourth = 1<<2 | 1<<4
		f.network.cut(func(a, b netip.AddrPort) bool { return side(secondAndFourth, a) != side(secondAndFourth, b) })
		next := leaver.self
		next.Incarnation++
		f.start(next, instance("a", 4).Peer)
		c.check(t, 20*time.Second)
	})
}

// chaos injects random faults into a fleet.
type chaos struct {
	*fleet
	rnd *rand.Rand
	// restarts is the number of processes started by restart.
	restarts uint64
}

// step injects one fault, or heals the network.
func (c *chaos) step() {
	switch c.rnd.IntN(6) {
	case 0:
		c.restart(func(d *daemon) { c.kill(d) })
	case 1:
		c.restart(func(d *daemon) {
			if err := d.Leave(c.t.Context()); err != nil {
				c.t.Error(err)
			}
			c.kill(d)
		})
	case 2:
		mask := c.rnd.Uint32()
		c.network.cut(func(a, b netip.AddrPort) bool { return side(mask, a) != side(mask, b) })
	case 3:
		seed := c.rnd.Uint64()
		c.network.cut(func(a, b netip.AddrPort) bool { return (seed>>(4*side(^uint32(0), a)+side(^uint32(0), b)))&3 == 0 })
	default:
		c.network.cut(func(_, _ netip.AddrPort) bool { return false })
	}
}

// restart ends a random daemon with end and starts a new process of the same instance.
func (c *chaos) restart(end func(d *daemon)) {
	d := c.daemons[c.rnd.IntN(len(c.daemons))]
	end(d)
	c.restarts++
	self := d.self
	self.Incarnation = c.restarts + 1
	c.start(self, instance("a", 1).Peer, instance("a", 2).Peer)
}

// side returns the bit of the mask at the number of the instance with an address, or the
// number itself for a mask of all ones.
func side(mask uint32, a netip.AddrPort) uint32 {
	n := uint32(a.Addr().As4()[3])
	if mask == ^uint32(0) {
		return n
	}
	return mask >> n & 1
}

// check fails the test when the shares of an upstream add up to more than 1 within d.
func (c *chaos) check(t *testing.T, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range upstreams {
			key := fmt.Sprintf("s/%d", i)
			if got := c.admittedShare(key); got > 1 {
				t.Fatalf("shares of upstream %s add up to %v, want at most 1", key, got)
			}
		}
	}
}
