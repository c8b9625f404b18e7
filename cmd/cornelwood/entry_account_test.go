package main_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cornelwood.example/platform"
)

// Keys of the accounts that declareAccounts declares.
const (
	keptKey      = "kept-0123456789"
	withdrawnKey = "withdrawn-0123456789"
)

// declareAccounts writes the next version of the desired state, with one account that has these keys. It returns when the store has
// confirmed it.
func (k *entrySoak) declareAccounts(keys ...string) time.Time {
	text, err := json.Marshal(keys)
	if err != nil {
		k.t.Fatal(err)
	}
	k.mu.Lock()
	k.accounts = fmt.Sprintf(`{"name":"one","api_keys":%s}`, text)
	k.mu.Unlock()
	k.declareVersion()
	return time.Now()
}

// accountAnswer is the answer to a request with or without a key.
type accountAnswer struct {
	id         string
	sentAt     time.Time
	status     int
	retryAfter string
}

// sendAs sends a request with a key, and with the name of an account that is not its own. The status is 0 when there is no answer.
func (k *entrySoak) sendAs(d *entryDaemon, key, path string) accountAnswer {
	k.mu.Lock()
	k.nameCount++
	a := accountAnswer{id: fmt.Sprintf("account-%d", k.nameCount), sentAt: time.Now()}
	k.mu.Unlock()
	r, err := http.NewRequestWithContext(k.t.Context(), http.MethodGet, "http://"+d.callerAddr+path, http.NoBody)
	if err != nil {
		k.t.Error(err)
		return a
	}
	r.Host = entryHost
	platform.WriteRequestHeaders(r.Header, a.id, k.options.timeout)
	platform.WriteAccountHeaders(r.Header, key, "forged")
	resp, err := httpClient.Do(r)
	if err != nil {
		return a
	}
	resp.Body.Close()
	a.status, a.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	return a
}

// assertAccount checks that every searcher that ran a request got the name of the account, and that at least one ran it if wanted.
func (k *entrySoak) assertAccount(a accountAnswer, account string, isRun bool) {
	k.t.Helper()
	runs := 0
	for _, s := range k.allSearchers() {
		if got, ok := s.Account(a.id); ok {
			runs++
			if got != account {
				k.t.Errorf("a searcher got the account %q, want %q", got, account)
			}
		}
	}
	if isRun != (runs > 0) {
		k.t.Errorf("status %d: %d searchers ran the request, want it run: %t", a.status, runs, isRun)
	}
}

func (k *entrySoak) allSearchers() []*soakSearcher {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]*soakSearcher, 0, len(k.searchers))
	for _, s := range k.searchers {
		out = append(out, s)
	}
	return out
}

// metricsOf returns the metrics of a daemon.
func (k *entrySoak) metricsOf(d *entryDaemon) string {
	r, err := http.NewRequestWithContext(k.t.Context(), http.MethodGet, "http://"+d.checkAddr+"/metrics", http.NoBody)
	if err != nil {
		k.t.Fatal(err)
	}
	resp, err := httpClient.Do(r)
	if err != nil {
		k.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		k.t.Fatal(err)
	}
	return string(text)
}

// assertKeysSecret checks that no searcher got a key and that no daemon shows one in its log or its metrics.
func (k *entrySoak) assertKeysSecret() {
	k.t.Helper()
	for _, s := range k.allSearchers() {
		if n := s.Keys(); n > 0 {
			k.t.Errorf("a searcher got %d requests with a key", n)
		}
	}
	for _, d := range k.daemons {
		text := d.logText() + k.metricsOf(d)
		if !strings.Contains(text, "cornelwood_authorization_refusals_total") {
			k.t.Errorf("daemon %s counts no refusals", d.id)
		}
		for _, key := range []string{keptKey, withdrawnKey} {
			if strings.Contains(text, key) {
				k.t.Errorf("daemon %s shows a key in its log or its metrics", d.id)
			}
		}
	}
}

// TestEntryAccounts covers requests with and without keys, at queries that each daemon sends itself and at those that other daemons
// gather: keys must not reach a searcher, and searchers must get the name of the account and not the one that the client sent.
func TestEntryAccounts(t *testing.T) {
	for _, gathered := range []bool{false, true} {
		t.Run(fmt.Sprintf("gathered %t", gathered), func(t *testing.T) {
			// With 9 daemons, some of each zone do not gather.
			k := newEntrySoak(t, 1, soakOptions{daemons: 9, gathered: gathered, timeout: soakRouteTimeout, kinds: (*entrySoak).faultKinds})
			k.declareAccounts(keptKey, withdrawnKey)
			for _, d := range k.daemons {
				k.eventually("accounts known: "+d.id, entryApplyLimit, func() bool { return k.sendAs(d, "", "/q/1").status == http.StatusUnauthorized })
			}
			for _, tt := range []struct {
				key, path string
				status    int
				account   string
			}{
				{keptKey, "/q/1", http.StatusOK, "one"},
				{withdrawnKey, "/p/1", http.StatusOK, "one"},
				{"", "/p/1", http.StatusOK, ""},
				{"unknown", "/p/1", http.StatusOK, ""},
				{"unknown", "/q/1", http.StatusUnauthorized, ""},
				{"", "/q/1", http.StatusUnauthorized, ""},
			} {
				for _, d := range k.daemons {
					a := k.sendAs(d, tt.key, tt.path)
					if a.status != tt.status {
						t.Errorf("daemon %s, path %s, account %q: status %d, want %d", d.id, tt.path, tt.account, a.status, tt.status)
					}
					k.assertAccount(a, tt.account, tt.status == http.StatusOK)
				}
			}
			k.declareAccounts(keptKey)
			for _, d := range k.daemons {
				k.eventually("key withdrawn: "+d.id, entryApplyLimit, func() bool { return k.sendAs(d, withdrawnKey, "/q/1").status == http.StatusUnauthorized })
			}
			k.assertKeysSecret()
		})
	}
}

const (
	// testRevoke is the time after its withdrawal from which no key may be used, in these tests. It is below the time after which a
	// pause of the process makes all cached state count as outdated.
	testRevoke = 2 * time.Second
	// longRevoke is that of the test in which a valid key must never be refused, also on a machine that is busy.
	longRevoke = 4 * time.Second
	// revokeTestTime is how long the tests go on after the time for a withdrawal.
	revokeTestTime = 1500 * time.Millisecond
)

// withStrictKeys makes a site of three daemons with the bound, an account with two keys, and daemons that know it.
func withStrictKeys(t *testing.T, revoke time.Duration) *entrySoak {
	t.Helper()
	k := newEntrySoak(t, 1, soakOptions{
		daemons: 3, timeout: soakRouteTimeout, kinds: (*entrySoak).faultKinds,
		settings: fmt.Sprintf("[account]\nstrict = true\nrevoke = %s\n", revoke),
	})
	k.declareAccounts(keptKey, withdrawnKey)
	for _, d := range k.daemons {
		k.eventually("accounts known: "+d.id, entryApplyLimit, func() bool {
			return k.sendAs(d, withdrawnKey, "/q/1").status == http.StatusOK && k.sendAs(d, "", "/q/1").status == http.StatusUnauthorized
		})
	}
	return k
}

// hasRun reports whether a searcher has run a request.
func (k *entrySoak) hasRun(a accountAnswer) bool {
	for _, s := range k.allSearchers() {
		if _, ok := s.Account(a.id); ok {
			return true
		}
	}
	return false
}

// sendUntil sends requests with a key to a daemon, one after the other, and returns the answers.
func (k *entrySoak) sendUntil(end time.Time, d *entryDaemon, key, path string) []accountAnswer {
	var all []accountAnswer
	for time.Now().Before(end) {
		all = append(all, k.sendAs(d, key, path))
		time.Sleep(20 * time.Millisecond)
	}
	return all
}

// assertNotUsed checks that no request ran that was sent after the time for the withdrawal of its key.
func (k *entrySoak) assertNotUsed(withdrawnAt time.Time, revoke time.Duration, all []accountAnswer) {
	k.t.Helper()
	late := 0
	for _, a := range all {
		after := a.sentAt.Sub(withdrawnAt)
		if after <= revoke {
			continue
		}
		late++
		if k.hasRun(a) || a.status == http.StatusOK {
			k.t.Errorf("a request ran, status %d, that was sent %s after its key was withdrawn", a.status, after)
		}
	}
	if late == 0 {
		k.t.Error("no request was sent after the time for the withdrawal")
	}
}

// TestEntryKeyWithdrawnOutOfReach withdraws a key while no daemon reaches the store, or gets its answers. The key must not be used past
// the bound. The other key must not get 401, nor requests that need none be refused. A daemon that refuses a key fails its
// readiness check, so that the load balancer moves the clients.
func TestEntryKeyWithdrawnOutOfReach(t *testing.T) {
	for _, isOneWay := range []bool{false, true} {
		t.Run(fmt.Sprintf("one way %t", isOneWay), func(t *testing.T) {
			k := withStrictKeys(t, testRevoke)
			for _, d := range k.daemons {
				d.storeProxy.configure(!isOneWay, true, false, 0)
			}
			withdrawnAt := k.declareAccounts(keptKey)
			end := withdrawnAt.Add(testRevoke + revokeTestTime)
			var group sync.WaitGroup
			for _, d := range k.daemons {
				group.Go(func() { k.assertNotUsed(withdrawnAt, testRevoke, k.sendUntil(end, d, withdrawnKey, "/q/1")) })
				group.Go(func() {
					for _, a := range k.sendUntil(end, d, "", "/p/1") {
						if a.status != http.StatusOK {
							t.Errorf("status %d at a public route without a key", a.status)
						}
					}
				})
				group.Go(func() {
					refused := 0
					for time.Now().Before(end) {
						a := k.sendAs(d, keptKey, "/q/1")
						if a.status == http.StatusOK {
							continue
						}
						refused++
						// Since the store stays out of reach, a daemon that has refused a key stays unready.
						if isReady := d.isReady(); a.status != http.StatusServiceUnavailable || a.retryAfter == "" || k.hasRun(a) || isReady {
							t.Errorf("status %d, Retry-After %q, run %t, ready %t; want a refusal of a daemon that is not ready", a.status, a.retryAfter, k.hasRun(a), isReady)
						}
						time.Sleep(20 * time.Millisecond)
					}
					if refused == 0 {
						t.Error("the key that was kept was never refused, although it may have been withdrawn")
					}
				})
			}
			group.Wait()
			for _, d := range k.daemons {
				d.storeProxy.configure(false, false, false, 0)
			}
			for _, d := range k.daemons {
				k.eventually("serving again: "+d.id, 2*entryApplyLimit, func() bool {
					return d.isReady() && k.sendAs(d, keptKey, "/q/1").status == http.StatusOK && k.sendAs(d, withdrawnKey, "/q/1").status == http.StatusUnauthorized
				})
			}
			k.assertKeysSecret()
		})
	}
}

// TestEntryKeyRelayed withdraws a key while the store answers one daemon only. The others learn of it from that one, and go on serving the
// other key: state that a peer confirms is as good as the store's.
func TestEntryKeyRelayed(t *testing.T) {
	k := withStrictKeys(t, longRevoke)
	for _, d := range k.daemons[1:] {
		d.storeProxy.configure(true, true, false, 0)
	}
	// A daemon that read the store needs some time to turn to its peers.
	time.Sleep(revokeTestTime)
	withdrawnAt := k.declareAccounts(keptKey)
	end := withdrawnAt.Add(longRevoke + revokeTestTime)
	var group sync.WaitGroup
	for _, d := range k.daemons {
		group.Go(func() { k.assertNotUsed(withdrawnAt, longRevoke, k.sendUntil(end, d, withdrawnKey, "/q/1")) })
		group.Go(func() {
			for _, a := range k.sendUntil(end, d, keptKey, "/q/1") {
				if a.status != http.StatusOK {
					t.Errorf("daemon %s: status %d for a key that is valid", d.id, a.status)
				}
			}
		})
	}
	group.Wait()
}

// TestEntryKeyFrozen withdraws a key while a daemon is frozen, for less than the pause that makes all its state count as outdated. It finds
// requests in its sockets when it goes on.
func TestEntryKeyFrozen(t *testing.T) {
	k := withStrictKeys(t, testRevoke)
	d := k.daemons[0]
	d.signal(t, syscall.SIGSTOP)
	withdrawnAt := k.declareAccounts(keptKey)
	time.Sleep(time.Until(withdrawnAt.Add(testRevoke + 100*time.Millisecond)))
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			a := k.sendAs(d, withdrawnKey, "/q/1")
			if a.status != http.StatusServiceUnavailable && a.status != http.StatusUnauthorized {
				t.Errorf("status %d, want a refusal", a.status)
			}
			k.assertNotUsed(withdrawnAt, testRevoke, []accountAnswer{a})
		})
	}
	time.Sleep(100 * time.Millisecond)
	d.signal(t, syscall.SIGCONT)
	group.Wait()
}
