package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cornelwood.example/platform"
)

const (
	// allotmentWindow is the window of the limits, and limitedKey the key of the account "limited".
	allotmentWindow = 2 * time.Second
	limitedKey      = "limited-0123456789"
	// limitedRate and limitedBurst are its limit. Overage and slack are 0.1 and 6, as allotmentSettings says.
	limitedRate       = 20
	limitedBurst      = 20
	allotmentSettings = "[allotment]\nwindow = 2s\noverage = 0.1\nslack = 6\n"
	// lenderKind and lenderName name the lease in the store.
	lenderKind = "allotments"
	lenderName = "lender"
	// leaseLimit is the time within which there is a lender after a fault.
	leaseLimit = 15 * time.Second
)

// newAllotmentSite starts daemons in three zones and declares an account with a limit.
func newAllotmentSite(t *testing.T) *entrySoak {
	t.Helper()
	k := newEntrySoak(t, 1, soakOptions{daemons: 6, timeout: soakRouteTimeout, settings: allotmentSettings, kinds: (*entrySoak).faultKinds})
	k.declareLimit(limitedRate, limitedBurst)
	for _, d := range k.daemons {
		k.eventually("accounts known: "+d.id, entryApplyLimit, func() bool { return k.sendAs(d, "", "/q/1").status == http.StatusUnauthorized })
	}
	return k
}

// declareLimit writes the next version of the desired state, in which the account "limited" has a limit.
func (k *entrySoak) declareLimit(rate, burst float64) {
	k.declareVersion()
	ob, _ := k.store.Get(platform.KindConfig, platform.ConfigName)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.latestVersion++
	spec := strings.Replace(string(ob.Spec), fmt.Sprintf(`"version":%d`, k.latestVersion-1), fmt.Sprintf(`"version":%d`, k.latestVersion), 1)
	spec = strings.TrimSuffix(spec, "}") + fmt.Sprintf(`,"tenants":[{"name":"limited","api_keys":[%q],"rate_per_s":%g,"burst":%g}]}`, limitedKey, rate, burst)
	k.store.Set(platform.KindConfig, platform.ConfigName, json.RawMessage(spec))
}

// lenderID returns the daemon that holds the lease, empty when nobody does.
func (k *entrySoak) lenderID() string {
	ob, ok := k.store.Get(lenderKind, lenderName)
	var rec struct {
		Holder struct {
			ID string `json:"id"`
		} `json:"holder"`
	}
	if !ok || json.Unmarshal(ob.Spec, &rec) != nil {
		return ""
	}
	return rec.Holder.ID
}

// find returns the daemon of an ID.
func (k *entrySoak) find(id string) *entryDaemon {
	i := slices.IndexFunc(k.daemons, func(d *entryDaemon) bool { return d.id == id })
	if i < 0 {
		k.t.Fatalf("no daemon %q", id)
	}
	return k.daemons[i]
}

// allotmentClients sends requests of the account to all daemons until ctx ends, and returns the answers.
func (k *entrySoak) allotmentClients(ctx context.Context, pause time.Duration) func() []accountAnswer {
	var mu sync.Mutex
	var group sync.WaitGroup
	var answers []accountAnswer
	for _, d := range k.daemons {
		group.Go(func() {
			for ctx.Err() == nil {
				path := []string{"/q/1", "/p/1"}[time.Now().UnixNano()/1000%2]
				a := k.sendAs(d, limitedKey, path)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	return func() []accountAnswer {
		group.Wait()
		return answers
	}
}

// assertBound checks that the requests that reached a searcher in any window are within the limit and the tolerance, and that
// none did that was answered with 429 or 503.
func (k *entrySoak) assertBound(answers []accountAnswer) {
	k.t.Helper()
	first := make(map[string]time.Time)
	for _, s := range k.allSearchers() {
		for id, at := range s.FirstRuns() {
			if seen, ok := first[id]; !ok || at.Before(seen) {
				first[id] = at
			}
		}
	}
	var runs []time.Time
	tally := make(map[int]int)
	for _, a := range answers {
		at, ok := first[a.id]
		if ok {
			runs = append(runs, at)
		}
		if ok && (a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable) {
			k.t.Errorf("a request that was answered with %d reached a searcher", a.status)
		}
		if a.status == http.StatusTooManyRequests && a.retryAfter == "" {
			k.t.Error("429 without Retry-After")
		}
		tally[a.status]++
	}
	slices.SortFunc(runs, func(a, b time.Time) int { return a.Compare(b) })
	bound := int((limitedRate*allotmentWindow.Seconds()+limitedBurst)*1.1 + 6)
	from, most := 0, 0
	for i, at := range runs {
		for at.Sub(runs[from]) >= allotmentWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	k.t.Logf("%d requests reached searchers, at most %d in a window of %d; answers by status: %v", len(runs), most, bound, tally)
	if most > bound {
		k.t.Errorf("%d requests reached searchers in a window, want %d at most", most, bound)
	}
	if len(runs) < limitedRate {
		k.t.Errorf("%d requests reached searchers, want %d at least", len(runs), limitedRate)
	}
	if tally[http.StatusTooManyRequests] == 0 {
		k.t.Error("no request was answered with 429")
	}
}

// TestEntryAllotment sends several times what an account may send to all daemons, while the lender is killed, the store is away
// for longer than a lease, and all daemons are killed at once. The limit must hold over all daemons: each fault makes others
// decide who do not know what was granted before.
func TestEntryAllotment(t *testing.T) {
	k := newAllotmentSite(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	answers := k.allotmentClients(ctx, 15*time.Millisecond)
	awaitLender := func(what string, isWanted func(id string) bool) {
		t.Helper()
		k.eventually("lender "+what, leaseLimit, func() bool { return isWanted(k.lenderID()) })
	}
	awaitLender("at the start", func(id string) bool { return id != "" })
	time.Sleep(2 * allotmentWindow)

	first := k.lenderID()
	killed := k.find(first)
	killed.kill()
	awaitLender("after a kill", func(id string) bool { return id != "" && id != first })
	time.Sleep(allotmentWindow)
	k.runDaemon(killed)

	k.store.SetDown(true)
	time.Sleep(10 * time.Second)
	k.store.SetDown(false)
	time.Sleep(2 * allotmentWindow)

	for _, d := range k.daemons {
		d.kill()
	}
	for _, d := range k.daemons {
		k.runDaemon(d)
	}
	revision := k.leaseRevision()
	awaitLender("after all were killed", func(string) bool { return k.leaseRevision() > revision })
	time.Sleep(2 * allotmentWindow)
	stop()
	k.assertBound(answers())
}

// leaseRevision returns the revision of the lease.
func (k *entrySoak) leaseRevision() uint64 {
	ob, _ := k.store.Get(lenderKind, lenderName)
	return ob.Revision
}

// TestEntryAllotmentHandover stops the lender gracefully, and freezes the next one, under the same load. Another daemon must
// hold the lease each time, and the limit must hold, also when the frozen one goes on.
func TestEntryAllotmentHandover(t *testing.T) {
	k := newAllotmentSite(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	answers := k.allotmentClients(ctx, 15*time.Millisecond)
	k.eventually("lender", leaseLimit, func() bool { return k.lenderID() != "" })
	time.Sleep(2 * allotmentWindow)
	first := k.lenderID()
	k.find(first).signal(t, syscall.SIGTERM)
	k.eventually("another lender", leaseLimit, func() bool { id := k.lenderID(); return id != "" && id != first })
	time.Sleep(allotmentWindow)
	second := k.lenderID()
	frozen := k.find(second)
	frozen.signal(t, syscall.SIGSTOP)
	k.eventually("a third lender", leaseLimit, func() bool { id := k.lenderID(); return id != "" && id != second })
	time.Sleep(allotmentWindow)
	frozen.signal(t, syscall.SIGCONT)
	time.Sleep(2 * allotmentWindow)
	stop()
	k.assertBound(answers())
}
