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

func TestBackoff(t *testing.T) {
	tests := []struct {
		name       string
		change     func(u *Upstream)
		backingOff bool
	}{
		{"unreachable once", func(u *Upstream) { u.Fail(true, at(0)) }, true},
		{"failed once", func(u *Upstream) { u.Fail(false, at(0)) }, false},
		{"consecutive failures", func(u *Upstream) {
			for range failuresToBackoff {
				u.Fail(false, at(0))
			}
		}, true},
		{"success between failures", func(u *Upstream) {
			for range failuresToBackoff {
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
			if got := u.Read(at(1)).BackingOff; got != tt.backingOff {
				t.Errorf("backing off is %v, want %v", got, tt.backingOff)
			}
		})
	}
}

// TestTrialsAfterBackoff checks that after a backoff one reader for each trialInterval finds the
// upstream available, that failures extend the backoff, and that a success ends it.
func TestTrialsAfterBackoff(t *testing.T) {
	u := New(epoch).Upstream("s/u")
	u.Fail(true, at(0))
	countAvailable := func(from, to time.Duration) int {
		n := 0
		for now := from; now < to; now += time.Millisecond {
			if !u.Read(at(now)).BackingOff {
				n++
			}
		}
		return n
	}
	if n := countAvailable(0, minBackoff); n != 0 {
		t.Errorf("found available %d times during the backoff", n)
	}
	if n := countAvailable(minBackoff, minBackoff+10*trialInterval); n != 10 {
		t.Errorf("found available %d times in 10 trial intervals", n)
	}
	u.Fail(true, at(2*time.Second))
	u.Fail(true, at(2*time.Second))
	if n := countAvailable(2*time.Second, 2*time.Second+2*minBackoff); n != 0 {
		t.Errorf("found available %d times during the second backoff", n)
	}
	u.Succeed(1, at(2*time.Second))
	if u.Read(at(2 * time.Second)).BackingOff {
		t.Error("backing off after a success")
	}
}

func TestPeer(t *testing.T) {
	p := New(epoch).Peer("d1")
	for range unreachableToBackoff {
		if p.IsBackingOff(at(0)) {
			t.Error("backing off before enough consecutive failures")
		}
		p.Fail(at(0))
	}
	if !p.IsBackingOff(at(1)) {
		t.Error("not backing off after consecutive failures")
	}
	p.Succeed()
	if p.IsBackingOff(at(1)) {
		t.Error("backing off after a success")
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
