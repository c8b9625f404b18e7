package main_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestZonePartition separates a zone from the platform and from the other zones. Both sides keep serving, and they
// rejoin without an operator's action.
func TestZonePartition(t *testing.T) {
	s := withSite(t, siteOptions{zones: []string{"a", "a", "b", "c"}})
	warmUp(t, s)
	inside, outside := s.daemons[:2], s.daemons[2:]
	report := underLoad(t, s.daemons, func(b *balancer) {
		s.partitionZone(t, inside, outside)
		// The change is accepted outside the partition and cannot reach the daemons inside.
		cornelwood(t, "service", "set", "finder", "priority=7", "--operator", "http://"+outside[0].operator)
		b.awaitAnswers(t, baselineAnswers)
		for _, d := range s.daemons {
			assertComplete(t, d)
		}
		assertPriority(t, inside[0], 5)
		s.heal(t)
	})
	assertAnswered(t, report)
	for _, d := range s.daemons {
		eventually(t, startTimeout, func() error { return checkPriority(t, d, 7) })
	}
	assertNoOverload(t, s)
}

// TestOneWayPartition drops what one daemon of a zone sends to the other. They must not both admit work to the same
// searchers.
func TestOneWayPartition(t *testing.T) {
	s := withSite(t, siteOptions{zones: []string{"a", "a", "b"}})
	warmUp(t, s)
	report := underLoad(t, s.daemons, func(b *balancer) {
		s.daemons[0].blockTraffic(t, s.daemons[1].peer)
		b.awaitAnswers(t, 2*baselineAnswers)
		s.heal(t)
	})
	assertAnswered(t, report)
	assertNoOverload(t, s)
}

// TestZonePartitionDuringPlatformOutage causes two faults at once and restarts a daemon inside the partition.
func TestZonePartitionDuringPlatformOutage(t *testing.T) {
	s := withSite(t, siteOptions{zones: []string{"a", "a", "b"}})
	warmUp(t, s)
	inside, outside := s.daemons[:2], s.daemons[2:]
	setFaults(t, s.platformURL, map[string]any{"outage": "hang"})
	s.partitionZone(t, inside, outside)
	inside[0].kill()
	s.restart(t, inside[0])
	s.awaitReady(t, inside[0])
	inside[0].blockTraffic(t, outside[0].peer)
	for _, d := range s.daemons {
		assertComplete(t, d)
	}
	s.heal(t)
	setFaults(t, s.platformURL, map[string]any{"outage": ""})
	for _, d := range s.daemons {
		awaitState(t, d, inside[0].id, "live")
	}
	assertNoOverload(t, s)
}

// partitionZone separates the daemons inside from those outside, in both directions, and from the platform.
func (s *site) partitionZone(t *testing.T, inside, outside []*daemon) {
	t.Helper()
	platformAddr := strings.TrimPrefix(s.platformURL, "http://")
	var insidePeers, outsidePeers []string
	for _, d := range inside {
		insidePeers = append(insidePeers, d.peer)
	}
	for _, d := range outside {
		outsidePeers = append(outsidePeers, d.peer)
	}
	for _, d := range inside {
		d.blockTraffic(t, append([]string{platformAddr}, outsidePeers...)...)
	}
	for _, d := range outside {
		d.blockTraffic(t, insidePeers...)
	}
}

// heal ends all partitions.
func (s *site) heal(t *testing.T) {
	t.Helper()
	for _, d := range s.daemons {
		d.blockTraffic(t)
	}
}

func assertPriority(t *testing.T, d *daemon, want int) {
	t.Helper()
	if err := checkPriority(t, d, want); err != nil {
		t.Error(err)
	}
}

// checkPriority returns an error unless the daemon shows the priority want for the service "finder".
func checkPriority(t *testing.T, d *daemon, want int) error {
	t.Helper()
	var object struct {
		Service struct {
			Contract struct {
				Priority int `json:"priority"`
			} `json:"contract"`
		} `json:"service"`
	}
	if err := d.callOperator(t, http.MethodGet, "/v1/services/finder", nil, &object); err != nil {
		return err
	}
	if got := object.Service.Contract.Priority; got != want {
		return fmt.Errorf("priority at %s is %d, want %d", d.id, got, want)
	}
	return nil
}
