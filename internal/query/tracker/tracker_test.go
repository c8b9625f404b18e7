package tracker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var epoch = time.Unix(0, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func assertReading(t *testing.T, u *Upstream, now time.Time, want Reading) {
	t.Helper()
	if diff := cmp.Diff(want, u.Read(now)); diff != "" {
		t.Errorf("reading (-want +got):\n%s", diff)
	}
}

func TestUpstream(t *testing.T) {
	u := New(epoch).Upstream("s/u")
	assertReading(t, u, at(2*time.Second), Reading{})
	u.SetVersions(3, 5, at(2*time.Second))
	u.SetVersions(0, 0, at(3*time.Second))
	u.SetVersions(7, 6, at(3*time.Second))
	u.Begin()
	u.SetLoad(40, at(3*time.Second))
	u.Succeed(8*time.Millisecond, at(3*time.Second))
	want := Reading{
		VersionsKnown: true, Oldest: 3, Newest: 5, VersionsAge: time.Second,
		Latency: 8 * time.Millisecond, Load: 40, InFlight: 1,
	}
	assertReading(t, u, at(3*time.Second), want)
	u.End()
	want.VersionsAge, want.Load, want.InFlight = 7*time.Second, 0, 0
	want.Latency = 4 * time.Millisecond
	assertReading(t, u, at(9*time.Second), want)
}

func TestBackOff(t *testing.T) {
	tests := []struct {
		name   string
		change func(u *Upstream)
		down   bool
	}{
		{"unreachable once", func(u *Upstream) { u.Fail(true, at(0)) }, true},
		{"failed once", func(u *Upstream) { u.Fail(false, at(0)) }, false},
		{"failed in a row", func(u *Upstream) {
			for range failuresToBackOff {
				u.Fail(false, at(0))
			}
		}, true},
		{"success between", func(u *Upstream) {
			for range failuresToBackOff {
				u.Fail(false, at(0))
				u.Succeed(1, at(0))
			}
		}, false},
		{"new owner", func(u *Upstream) {
			u.SetOwner("d1")
			u.Fail(true, at(0))
			u.SetOwner("d2")
		}, false},
		{"same owner", func(u *Upstream) {
			u.SetOwner("d1")
			u.Fail(true, at(0))
			u.SetOwner("d1")
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := New(epoch).Upstream("s/u")
			tt.change(u)
			if got := u.Read(at(1)).BackingOff; got != tt.down {
				t.Errorf("down is %v, want %v", got, tt.down)
			}
		})
	}
}

// TestTrials checks that after a back-off one reader for each trialEvery finds the
// upstream up, that failures lengthen the back-off, and that success ends it.
func TestTrials(t *testing.T) {
	u := New(epoch).Upstream("s/u")
	u.Fail(true, at(0))
	ups := func(from, to time.Duration) int {
		n := 0
		for now := from; now < to; now += time.Millisecond {
			if !u.Read(at(now)).BackingOff {
				n++
			}
		}
		return n
	}
	if n := ups(0, minBackoff); n != 0 {
		t.Errorf("found up %d times while it backs off", n)
	}
	if n := ups(minBackoff, minBackoff+10*trialEvery); n != 10 {
		t.Errorf("found up %d times in 10 trials", n)
	}
	u.Fail(true, at(2*time.Second))
	u.Fail(true, at(2*time.Second))
	if n := ups(2*time.Second, 2*time.Second+2*minBackoff); n != 0 {
		t.Errorf("found up %d times in the second back-off", n)
	}
	u.Succeed(1, at(2*time.Second))
	if u.Read(at(2 * time.Second)).BackingOff {
		t.Error("down after a success")
	}
}

func TestPeer(t *testing.T) {
	p := New(epoch).Peer("d1")
	for range unreachableToBackOff {
		if p.IsBackingOff(at(0)) {
			t.Error("down before enough failures in a row")
		}
		p.Fail(at(0))
	}
	if !p.IsBackingOff(at(1)) {
		t.Error("up after failures in a row")
	}
	p.Succeed()
	if p.IsBackingOff(at(1)) {
		t.Error("down after a success")
	}
}

func TestClaimProbe(t *testing.T) {
	u := New(epoch).Upstream("s/u")
	claims := []bool{
		u.ClaimProbe(time.Second, at(0)),
		u.ClaimProbe(time.Second, at(time.Millisecond)),
		u.ClaimProbe(time.Second, at(time.Second)),
	}
	u.SetVersions(1, 1, at(time.Second))
	claims = append(claims, u.ClaimProbe(time.Second, at(1900*time.Millisecond)), u.ClaimProbe(time.Second, at(2*time.Second)))
	if diff := cmp.Diff([]bool{true, false, true, false, true}, claims); diff != "" {
		t.Errorf("claims (-want +got):\n%s", diff)
	}
}
