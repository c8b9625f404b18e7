package main_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestZoneCutOff cuts a zone off from the platform and from the other zones. Both
// sides go on serving, and join again without operators.
func TestZoneCutOff(t *testing.T) {
	s := withSite(t, siteOptions{zones: []string{"a", "a", "b", "c"}})
	warm(t, s)
	inside, outside := s.daemons[:2], s.daemons[2:]
	rep := underLoad(t, s.daemons, func(b *balancer) {
		s.cutZone(t, inside, outside)
		// The change is accepted outside and cannot be known inside.
		cornelwood(t, "service", "set", "finder", "priority=7", "--operator", "http://"+outside[0].operator)
		b.awaitAnswers(t, leadAnswers)
		for _, d := range s.daemons {
			assertComplete(t, d)
		}
		assertPriority(t, inside[0], 5)
		s.heal(t)
	})
	assertAnswered(t, rep)
	for _, d := range s.daemons {
		eventually(t, startWait, func() error { return priorityIs(t, d, 7) })
	}
	assertBorne(t, s)
}

// TestOneWayCut drops what one daemon of a zone sends to the other, which must not
// let both admit to the same searchers.
func TestOneWayCut(t *testing.T) {
	s := withSite(t, siteOptions{zones: []string{"a", "a", "b"}})
	warm(t, s)
	rep := underLoad(t, s.daemons, func(b *balancer) {
		s.daemons[0].cut(t, s.daemons[1].peer)
		b.awaitAnswers(t, 2*leadAnswers)
		s.heal(t)
	})
	assertAnswered(t, rep)
	assertBorne(t, s)
}

// TestZoneCutWhilePlatformIsDown causes two faults at once, and restarts a daemon
// inside the cut.
func TestZoneCutWhilePlatformIsDown(t *testing.T) {
	s := withSite(t, siteOptions{zones: []string{"a", "a", "b"}})
	warm(t, s)
	inside, outside := s.daemons[:2], s.daemons[2:]
	faults(t, s.platform, map[string]any{"outage": "hang"})
	s.cutZone(t, inside, outside)
	inside[0].kill()
	s.restart(t, inside[0])
	s.awaitReady(t, inside[0])
	inside[0].cut(t, outside[0].peer)
	for _, d := range s.daemons {
		assertComplete(t, d)
	}
	s.heal(t)
	faults(t, s.platform, map[string]any{"outage": ""})
	for _, d := range s.daemons {
		awaitState(t, d, inside[0].id, "live")
	}
	assertBorne(t, s)
}

// cutZone cuts the daemons inside off from those outside, both ways, and from the
// platform.
func (s *site) cutZone(t *testing.T, inside, outside []*daemon) {
	t.Helper()
	platform := strings.TrimPrefix(s.platform, "http://")
	var in, out []string
	for _, d := range inside {
		in = append(in, d.peer)
	}
	for _, d := range outside {
		out = append(out, d.peer)
	}
	for _, d := range inside {
		d.cut(t, append([]string{platform}, out...)...)
	}
	for _, d := range outside {
		d.cut(t, in...)
	}
}

// heal ends all cuts.
func (s *site) heal(t *testing.T) {
	t.Helper()
	for _, d := range s.daemons {
		d.cut(t)
	}
}

func assertPriority(t *testing.T, d *daemon, want int) {
	t.Helper()
	if err := priorityIs(t, d, want); err != nil {
		t.Error(err)
	}
}

// priorityIs returns nil when the service "finder" has the priority at the daemon.
func priorityIs(t *testing.T, d *daemon, want int) error {
	t.Helper()
	var o struct {
		Service struct {
			Contract struct {
				Priority int `json:"priority"`
			} `json:"contract"`
		} `json:"service"`
	}
	if err := d.operate(t, http.MethodGet, "/v1/services/finder", nil, &o); err != nil {
		return err
	}
	if got := o.Service.Contract.Priority; got != want {
		return fmt.Errorf("priority at %s is %d, want %d", d.id, got, want)
	}
	return nil
}
