package reconciler

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// Bounds from the targets for the control plane.
const (
	// controlBytesPerSecond bounds what one daemon sends and receives for control.
	controlBytesPerSecond = 7 << 10
	// inForceAtTarget bounds the time until a change is in force in fleets of the target
	// size.
	inForceAtTarget = 8 * time.Second
	// platformReadsPerZone is one zone's part of the 2000 reads per second that the
	// platform serves 11 zones.
	platformReadsPerZone = 2000 / 11
)

// costs holds the measured costs of control for a fleet of one size.
type costs struct {
	daemons int
	// platform is the number of platform calls per second of the whole fleet, peak the
	// largest number in one second after an outage.
	platform float64
	peak     int
	// The calls and bytes are those that one daemon sends per second. It receives as many.
	spreadCalls, spreadBytes, groupCalls, groupBytes float64
	// inForce is the longest time until a change was in force at all daemons.
	inForce time.Duration
}

// TestCostOfControl logs the costs of control for fleets of several sizes, and checks
// them against the bounds. The fleets have four zones in two regions, one owner group per
// zone and a ping interval of 1 s. The costs are measured over 40 s without a change, five
// changes, and a platform outage of 30 s.
func TestCostOfControl(t *testing.T) {
	t.Log("per daemon and second, sent, without the framing of drpc and TCP:")
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

// check compares the costs with the bounds.
func (g *costs) check(t *testing.T) {
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

// measure runs a fleet with perZone daemons in each zone and returns its costs.
func measure(t *testing.T, perZone int) costs {
	f := newFleet(t)
	defer f.stop()
	f.interval = time.Second
	f.platform.put(zoneObject(false))
	f.startAll(perZone, "a", "b", "c", "d")
	g := costs{daemons: 4 * perZone}
	f.await("start", time.Minute, hasLive(g.daemons))
	f.await("configuration", time.Minute, func(d *daemon) bool { return d.views.View().Version > 0 })
	const quiet = 40 * time.Second
	time.Sleep(10 * time.Second)
	f.network.reset()
	f.platform.set(func() { clear(f.platform.calls) })
	time.Sleep(quiet)
	daemonSeconds := float64(g.daemons) * quiet.Seconds()
	f.network.mu.Lock()
	g.spreadCalls, g.spreadBytes = float64(f.network.calls[CallSpread])/daemonSeconds,
		float64(f.network.bytes[CallSpread])/daemonSeconds
	g.groupCalls, g.groupBytes = float64(f.network.calls[CallGroup])/daemonSeconds,
		float64(f.network.bytes[CallGroup])/daemonSeconds
	f.network.mu.Unlock()
	f.platform.set(func() {
		for _, n := range f.platform.calls {
			g.platform += float64(n) / quiet.Seconds()
		}
	})
	for i := range 5 {
		o := f.platform.put(zoneObject(i%2 == 0))
		g.inForce = max(g.inForce, f.await("change", inForceAtTarget, hasVersion(o)))
		time.Sleep(200 * time.Millisecond)
	}
	f.platform.set(func() { f.platform.isDown = true })
	time.Sleep(30 * time.Second)
	f.platform.set(func() { f.platform.isDown, f.platform.peak = false, 0 })
	o := f.platform.put(zoneObject(true))
	f.await("change after the outage", 2*maxBackoffAfterOutage, hasVersion(o))
	time.Sleep(15 * time.Second)
	f.platform.set(func() { g.peak = f.platform.peak })
	return g
}

// maxBackoffAfterOutage bounds the time until a daemon calls the platform again.
const maxBackoffAfterOutage = 10 * time.Second
