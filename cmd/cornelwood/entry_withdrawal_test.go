package main_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cornelwood.example/platform"
)

// holdOff is the time for which a searcher wants no request, and holdSlack that after which its daemon must have stopped.
const (
	holdOff   = 3 * time.Second
	holdSlack = 500 * time.Millisecond
	// maxHeldRequests is the number of requests from one daemon that may reach a searcher meanwhile.
	maxHeldRequests = 2
)

// withLoad sends requests of all kinds from clients to the daemons of a soak's site while test runs.
func withLoad(t *testing.T, gathered bool, test func(k *entrySoak)) {
	t.Helper()
	k := newEntrySoak(t, 1, soakOptions{daemons: 6, gathered: gathered, timeout: soakRouteTimeout, kinds: (*entrySoak).faultKinds})
	ctx, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for i := range 2 * soakClients {
		clients.Go(func() { k.runClient(ctx, i) })
	}
	time.Sleep(time.Second)
	test(k)
	stop()
	clients.Wait()
	k.assertGuarantees()
}

// firstOf returns a searcher of a service.
func (k *entrySoak) firstOf(service string) *soakSearcher {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.searchers[k.liveSearchers[service][0]]
}

// allOf returns the searchers of a service.
func (k *entrySoak) allOf(service string) []*soakSearcher {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []*soakSearcher
	for _, name := range k.liveSearchers[service] {
		out = append(out, k.searchers[name])
	}
	return out
}

// forServices runs a test for single requests and queries, that each daemon sends itself or few daemons gather.
func forServices(t *testing.T, test func(k *entrySoak, s *soakSearcher)) {
	t.Helper()
	for _, gathered := range []bool{false, true} {
		t.Run(fmt.Sprintf("gathered %t", gathered), func(t *testing.T) {
			withLoad(t, gathered, func(k *entrySoak) {
				var group sync.WaitGroup
				for _, service := range []string{"one", "s0"} {
					group.Go(func() { test(k, k.firstOf(service)) })
				}
				group.Wait()
			})
		})
	}
}

// TestEntryLeavingSearchers covers searchers that say in their answers that they leave, while their entries say that they are
// ready. A daemon that has passed on such an answer sends no further request.
func TestEntryLeavingSearchers(t *testing.T) {
	forServices(t, func(k *entrySoak, s *soakSearcher) {
		before := len(s.Runs())
		s.SetLeaving(true)
		time.Sleep(soakDrainLimit + 2*time.Second)
		// A daemon may have some requests in flight when it gets the first such answer.
		if n, most := len(s.Runs())-before, 3*len(k.daemons); n == 0 || n > most {
			k.t.Errorf("%d requests reached a searcher of %s that says that it leaves, want 1 to %d", n, s.service, most)
		}
	})
}

// TestEntryHeldSearchers covers searchers that turn requests away and want none for a time, all of a service at once.
func TestEntryHeldSearchers(t *testing.T) {
	forServices(t, func(k *entrySoak, s *soakSearcher) {
		all := k.allOf(s.service)
		for _, s := range all {
			s.SetHoldOff(holdOff)
			s.SetShedding(true)
		}
		time.Sleep(holdOff)
		for _, s := range all {
			s.SetShedding(false)
		}
		refusals := s.Refusals()
		if len(refusals) == 0 {
			k.t.Errorf("no request reached the searcher of %s", s.service)
			return
		}
		late := 0
		for _, at := range refusals {
			if at.Sub(refusals[0]) > holdSlack {
				late++
			}
		}
		// Each daemon has a time of its own, which begins with its first request.
		if most := len(k.daemons) * (maxHeldRequests + 1); late > most {
			k.t.Errorf("%d requests reached a searcher of %s within %s of its first refusal, want %d at most", late, s.service, holdOff, most)
		}
	})
}

// TestEntryWithdrawalOfLifetime follows one searcher by the requests of one daemon: it is held, leaves, and starts again under
// its ID.
func TestEntryWithdrawalOfLifetime(t *testing.T) {
	s := withEntry(t)
	client := &http.Client{}
	send := func(n int) {
		for range n {
			s.send(client, http.MethodPost, "/p/1")
			time.Sleep(10 * time.Millisecond)
		}
	}
	a1 := s.searchers["a1"]
	for _, name := range []string{"a1", "a2"} {
		s.searchers[name].SetHoldOff(holdOff)
		s.searchers[name].SetShedding(true)
	}
	s.eventually("held", entryTimeout, func() bool { send(1); return len(a1.Refusals()) > 0 })
	heldAt := a1.Refusals()[0]
	for time.Since(heldAt) < holdOff {
		send(1)
	}
	if n := len(a1.Refusals()); n > maxHeldRequests {
		t.Errorf("%d requests reached the searcher within %s, want %d at most", n, holdOff, maxHeldRequests)
	}
	a1.SetShedding(false)
	s.eventually("used after its time", entryTimeout, func() bool { send(1); return a1.LastRun().After(heldAt.Add(holdOff)) })
	s.searchers["a2"].SetShedding(false)
	a1.SetLeaving(true)
	leftAt := time.Now()
	s.searchers["a2"].SetShedding(true)
	s.eventually("leaving", entryTimeout, func() bool { send(1); return a1.LastRun().After(leftAt) })
	s.searchers["a2"].SetShedding(false)
	said := a1.LastRun()
	send(100)
	if last := a1.LastRun(); last != said {
		t.Errorf("a request reached the searcher %s after it said that it leaves", last.Sub(said))
	}
	a1.SetLeaving(false)
	s.register("a1", time.Now().UnixMilli())
	s.eventually("used after its restart", entryTimeout, func() bool { send(1); return a1.LastRun().After(said) })
}

// register writes the entry of a searcher whose process started at born, in milliseconds of Unix time.
func (s *entrySite) register(name string, born int64) {
	s.store.Set(platform.KindServers, name, platform.EncodeSearcherBorn(name[:1], strings.TrimPrefix(s.searcherURLs[name], "http://"), "z", 3, false, born))
}
