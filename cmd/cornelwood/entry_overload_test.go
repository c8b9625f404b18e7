package main_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestEntryRefusesWithoutRoom guards against clients whose requests queue at full searchers until all are late, and against a
// refusal that says "not run" of a request that ran.
func TestEntryRefusesWithoutRoom(t *testing.T) {
	const clients = 60
	// Two searchers of three slots: half as much again as they handle well at once, and one more each, and room to grow.
	const mostInFlight = 2 * 12
	for _, request := range []string{"POST /p/1", "GET /q/1"} {
		t.Run(request, func(t *testing.T) {
			s := withEntry(t)
			for _, stub := range s.searchers {
				stub.SetDelay(time.Second)
			}
			method, path, _ := strings.Cut(request, " ")
			answers := make([]response, clients)
			var wg sync.WaitGroup
			for i := range answers {
				wg.Go(func() { answers[i] = s.send(&http.Client{}, method, path) })
			}
			wg.Wait()
			ran := make(map[string]bool)
			for name, stub := range s.searchers {
				for id := range stub.Runs() {
					ran[id] = true
				}
				if n := len(stub.Runs()); n > mostInFlight {
					t.Errorf("%d requests at searcher %s at once, want %d at most", n, name, mostInFlight)
				}
			}
			refused := 0
			for _, a := range answers {
				if a.status != http.StatusServiceUnavailable {
					continue
				}
				refused++
				if ran[a.id] || a.retryAfter == "" {
					t.Errorf("refused request %s ran: %t, Retry-After %q; want false and a time", a.id, ran[a.id], a.retryAfter)
				}
			}
			t.Logf("%d of %d requests refused", refused, clients)
			if refused < clients/4 {
				t.Errorf("%d of %d requests refused, want a quarter", refused, clients)
			}
			for _, stub := range s.searchers {
				stub.SetDelay(searchDelay)
			}
			s.eventually("answering after the overload", entryTimeout, func() bool {
				return s.send(http.DefaultClient, method, path).status == http.StatusOK
			})
			if _, page := s.getPage("/metrics"); !strings.Contains(page, `result="refused"`) {
				t.Error("no refusal in the metrics")
			}
		})
	}
}
