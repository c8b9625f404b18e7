package router

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/route/locator"
)

// fakeState is current except after Invalidate, until it is confirmed.
type fakeState struct{ isOutdated bool }

func (f *fakeState) IsCurrent() bool { return !f.isOutdated }
func (f *fakeState) Invalidate()     { f.isOutdated = true }

type fakeViews struct{}

func (fakeViews) View() *locator.View { return &locator.View{} }

// TestPauseGuard checks that requests are refused after a pause until the state has been confirmed, for a bounded time.
func TestPauseGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var suspended time.Duration
		state := &fakeState{}
		pauses := 0
		clock := func() time.Duration { return time.Since(start) + suspended }
		g := newPauseGuard(fakeViews{}, state, clock, 2*time.Second, func(time.Duration) { pauses++ })
		isOutdated := func() bool {
			_, reason := g.View().Ready()
			return reason == "the cached state may be outdated after a pause of the process"
		}
		got := []bool{isOutdated()}
		suspended = time.Second
		got = append(got, isOutdated())
		suspended += 3 * time.Second
		got = append(got, isOutdated(), isOutdated())
		state.isOutdated = false
		got = append(got, isOutdated())
		suspended += 3 * time.Second
		got = append(got, isOutdated())
		time.Sleep(maxDistrust)
		got = append(got, isOutdated())
		want := []bool{false, false, true, true, false, true, false}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("outdated before, after a short pause, a long one, again, confirmed, a long one, at the bound (-want +got):\n%s", diff)
		}
		if pauses != 2 {
			t.Errorf("%d pauses, want 2", pauses)
		}
	})
}
