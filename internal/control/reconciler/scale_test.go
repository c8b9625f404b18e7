package reconciler

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// Bounds that the stated target sets for a daemon.
const (
	controlBytesPerSecond = 7 << 10
	inForceAtTarget       = 8 * time.Second
	// platformReadsPerZone is a zone's part of the reads that the platform takes in
	// a second.
	platformReadsPerZone = 2000 / 11
)

// figures are what a fleet of one size costs.
type figures struct {
	daemons int
	// platform is calls a second of the whole fleet, peak the most in one second
	// after an outage.
	platform float64
	peak     int
	// The others are what one daemon sends in one second; it receives as much.
	spreadCalls, spreadBytes, groupCalls, groupBytes float64
	inForce                                          time.Duration
}

// TestCostOfControl prints what control costs at several sizes: four zones in two
// regions, one owner group a zone, a ping interval of 1 s, 40 s without a
// change, then five changes and an outage of the platform of 30 s.
func TestCostOfControl(t *testing.T) {
	t.Log("sent by a daemon in a second, without the framing of drpc and TCP:")
	t.Log("daemons  platform/s  peak/s  spread calls  spread B  group calls  group B  in force")
	for _, perZone := range []int{1, 2, 4, 8} {
		t.Run(strconv.Itoa(4*perZone), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := measure(t, perZone)
				t.Logf("%7d  %10.2f  %6d  %12.2f  %8.0f  %11.2f  %7.0f  %8s",
					g.daemons, g.platform, g.peak, g.spreadCalls, g.spreadBytes, g.groupCalls, g.groupBytes, g.inForce)
				g.check(t)
			})
		})
	}
}

// check compares the figures with the target's bounds.
func (g *figures) check(t *testing.T) {
	if total := 2 * (g.spreadBytes + g.groupBytes); total > controlBytesPerSecond {
		t.Errorf("%.0f bytes a second for control, want at most %d", total, controlBytesPerSecond)
	}
	if g.inForce > inForce {
		t.Errorf("a change is in force after %s, want %s", g.inForce, inForce)
	}
	if g.peak > 4*platformReadsPerZone {
		t.Errorf("%d platform calls in a second after an outage, want at most %d", g.peak, 4*platformReadsPerZone)
	}
}

func measure(t *testing.T, perZone int) figures {
	f := newFleet(t)
	defer f.end()
	f.interval = time.Second
	f.platform.put(zoneObject(false))
	f.startAll(perZone, "a", "b", "c", "d")
	g := figures{daemons: 4 * perZone}
	f.await("start", time.Minute, knows(g.daemons))
	f.await("configuration", time.Minute, func(d *daemon) bool { return d.views.View().Version > 0 })
	const quiet = 40 * time.Second
	time.Sleep(10 * time.Second)
	f.network.reset()
	f.platform.set(func() { clear(f.platform.calls) })
	time.Sleep(quiet)
	per := float64(g.daemons) * quiet.Seconds()
	f.network.mu.Lock()
	g.spreadCalls, g.spreadBytes = float64(f.network.calls[CallSpread])/per, float64(f.network.bytes[CallSpread])/per
	g.groupCalls, g.groupBytes = float64(f.network.calls[CallGroup])/per, float64(f.network.bytes[CallGroup])/per
	f.network.mu.Unlock()
	f.platform.set(func() {
		for _, n := range f.platform.calls {
			g.platform += float64(n) / quiet.Seconds()
		}
	})
	for i := range 5 {
		o := f.platform.put(zoneObject(i%2 == 0))
		g.inForce = max(g.inForce, f.await("change", inForceAtTarget, has(o)))
		time.Sleep(200 * time.Millisecond)
	}
	f.platform.set(func() { f.platform.isDown = true })
	time.Sleep(30 * time.Second)
	f.platform.set(func() { f.platform.isDown, f.platform.peak = false, 0 })
	o := f.platform.put(zoneObject(true))
	f.await("change after the outage", 2*maxPauseAfterOutage, has(o))
	time.Sleep(15 * time.Second)
	f.platform.set(func() { g.peak = f.platform.peak })
	return g
}

// maxPauseAfterOutage bounds the time until a daemon asks the platform again.
const maxPauseAfterOutage = 10 * time.Second
