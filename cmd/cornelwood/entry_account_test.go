package main_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cornelwood.example/platform"
)

// Keys of the accounts that declareAccounts declares.
const (
	keptKey      = "kept-0123456789"
	withdrawnKey = "withdrawn-0123456789"
)

// declareAccounts writes the next version of the desired state: the routes of declareVersion, of which "p" is public, and an account
// with the keys that are given.
func (k *entrySoak) declareAccounts(keys ...string) {
	k.declareVersion()
	k.mu.Lock()
	defer k.mu.Unlock()
	ob, _ := k.store.Get(platform.KindConfig, platform.ConfigName)
	k.latestVersion++
	spec := strings.Replace(string(ob.Spec), fmt.Sprintf(`"version":%d`, k.latestVersion-1), fmt.Sprintf(`"version":%d`, k.latestVersion), 1)
	spec = strings.Replace(spec, `"name":"p",`, `"name":"p","public":true,`, 1)
	text, err := json.Marshal(keys)
	if err != nil {
		k.t.Fatal(err)
	}
	spec = strings.TrimSuffix(spec, "}") + fmt.Sprintf(`,"tenants":[{"name":"one","api_keys":%s}]}`, text)
	k.store.Set(platform.KindConfig, platform.ConfigName, json.RawMessage(spec))
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

// assertKeysSecret checks that no searcher got a key and that no daemon has logged one.
func (k *entrySoak) assertKeysSecret() {
	k.t.Helper()
	for _, s := range k.allSearchers() {
		if n := s.Keys(); n > 0 {
			k.t.Errorf("a searcher got %d requests with a key", n)
		}
	}
	for _, d := range k.daemons {
		for _, key := range []string{keptKey, withdrawnKey} {
			if strings.Contains(d.logText(), key) {
				k.t.Errorf("daemon %s has logged a key", d.id)
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
