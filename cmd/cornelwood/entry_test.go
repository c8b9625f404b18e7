package main_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/standin/keeper"
	"cornelwood.example/internal/standin/searcher"
	"cornelwood.example/platform"
)

// entrySite is an entry daemon as a process, before a store and searchers of this
// test.
type entrySite struct {
	t         *testing.T
	shelf     *keeper.MemoryStore
	searchers map[string]*searcher.Stub
	daemon    *process
	// settings is the path of the settings file, text its content.
	settings, text string
	callers        string
	checks         string
	requests       atomic.Int64
}

const (
	entryHost   = "search.example"
	entryWait   = 5 * time.Second
	searchDelay = 5 * time.Millisecond
	// applyTime is the bound on a change of the desired state.
	applyTime = 3 * time.Second
)

// newEntrySite makes a store, two shards of two searchers each, and the settings of a
// daemon that is not started yet.
func newEntrySite(t *testing.T) *entrySite {
	t.Helper()
	s := &entrySite{t: t, shelf: keeper.NewMemoryStore(), searchers: make(map[string]*searcher.Stub)}
	store := httptest.NewServer(s.shelf)
	t.Cleanup(store.Close)
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		s.addSearcher(name)
	}
	s.declare(1, `"service":"a"`)
	ports := freePorts(t, "127.0.0.1", 3)
	s.callers, s.checks = "127.0.0.1:"+ports[0], "127.0.0.1:"+ports[1]
	s.settings = filepath.Join(t.TempDir(), "entry.ini")
	s.text = fmt.Sprintf("[daemon]\nid = d1\nzone = z\nregion = r\n[log]\njson = true\n[caller]\nlisten = %s\nchecks = %s\npeers = 127.0.0.1:%s\n"+
		"[store]\naddress = %s\n[shutdown]\ngrace = 3s\n", s.callers, s.checks, ports[2], strings.TrimPrefix(store.URL, "http://"))
	return s
}

// withEntry starts a daemon before two shards of two searchers each.
func withEntry(t *testing.T) *entrySite {
	t.Helper()
	s := newEntrySite(t)
	if err := os.WriteFile(s.settings, []byte(s.text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.daemon = startProcess(t, "entry", "cornelwood", "entry", "--settings", s.settings)
	s.eventually("ready", entryWait, func() bool { return s.ready() == http.StatusOK })
	return s
}

// freePorts returns ports of a loopback address that were free a moment ago.
func freePorts(t *testing.T, host string, n int) []string {
	t.Helper()
	var ports []string
	for range n {
		lis, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer lis.Close()
		_, port, _ := net.SplitHostPort(lis.Addr().String())
		ports = append(ports, port)
	}
	return ports
}

func (s *entrySite) addSearcher(name string) {
	p := searcher.NewStub(name, searchDelay)
	srv := httptest.NewServer(p)
	s.t.Cleanup(srv.Close)
	s.searchers[name] = p
	s.shelf.Set(platform.KindServers, name, platform.EncodeSearcher(name[:1], strings.TrimPrefix(srv.URL, "http://"), "z", 3, false))
}

// declare writes a version of the desired state; target completes the route of
// single requests.
func (s *entrySite) declare(version int, target string) {
	s.shelf.Set(platform.KindConfig, platform.ConfigName, json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"q","host":%q,"path_prefix":"/q/","kind":"idempotent","timeout_ms":2000,"goal_ms":200,"attempts":2,"gather":["a","b"],"top_k":5,"min_shard_ratio":0.5},
		{"name":"p","host":%q,"path_prefix":"/p/","kind":"non_idempotent","timeout_ms":2000,"goal_ms":200,"attempts":2,%s}]}`,
		version, entryHost, entryHost, target)))
}

func (s *entrySite) eventually(what string, limit time.Duration, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("not %s after %s", what, limit)
}

func (s *entrySite) ready() int {
	status, _ := s.check(platform.ReadyPath)
	return status
}

// check gets a page of the load balancer's address; its status is 0 when there is
// no answer.
func (s *entrySite) check(path string) (int, string) {
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+s.checks+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

// response is an answer, read whole.
type response struct {
	status  int
	stamp   string
	stamps  []string
	missing int
	closing bool
	body    string
	err     error
}

// ask sends a request on the client's connections.
func (s *entrySite) ask(client *http.Client, method, path string) response {
	id := fmt.Sprintf("r%d", s.requests.Add(1))
	r, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.callers+path, strings.NewReader(strings.Repeat("x", len(method)-3)))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = entryHost
	platform.WriteRequestHeaders(r.Header, id, 2*time.Second)
	resp, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	out := response{status: resp.StatusCode, stamp: platform.ReadStamp(resp.Header), closing: resp.Close, body: string(body), err: err}
	out.stamps, out.missing = platform.ReadParts(resp.Header)
	return out
}

func (s *entrySite) assertStatus(got response, want int) {
	s.t.Helper()
	if got.err != nil || got.status != want {
		s.t.Errorf("status %d, error %v, body %q; want status %d", got.status, got.err, got.body, want)
	}
}

func TestEntryServes(t *testing.T) {
	s := withEntry(t)
	client := &http.Client{}
	t.Run("query", func(t *testing.T) {
		a := s.ask(client, http.MethodGet, "/q/1")
		s.assertStatus(a, http.StatusOK)
		if len(a.stamps) != 2 || a.missing != 0 || len(a.body) != 32 || a.body[:16] < a.body[16:] {
			t.Errorf("stamps %v, %d missing, %d bytes", a.stamps, a.missing, len(a.body))
		}
	})
	t.Run("single request", func(t *testing.T) {
		a := s.ask(client, http.MethodPost, "/p/1")
		s.assertStatus(a, http.StatusOK)
		if p := s.searchers[a.stamp]; p == nil || a.body != string(p.Record()) {
			t.Errorf("stamp %q with the wrong body", a.stamp)
		}
	})
	t.Run("no route", func(t *testing.T) {
		s.assertStatus(s.ask(client, http.MethodGet, "/none/"), http.StatusNotFound)
	})
	t.Run("metrics", func(t *testing.T) {
		_, text := s.check("/metrics")
		if !strings.Contains(text, `cornelwood_route_requests_total{route="q",status="200"} 1`) {
			t.Errorf("metrics without the query:\n%.2000s", text)
		}
	})
}

// TestEntryFollows covers what the store says while the daemon runs.
func TestEntryFollows(t *testing.T) {
	s := withEntry(t)
	client := &http.Client{}
	stamps := func() string {
		seen := map[string]bool{}
		for range 12 {
			seen[s.ask(client, http.MethodPost, "/p/1").stamp] = true
		}
		var out []string
		for _, name := range []string{"", "a1", "a2", "b1", "b2"} {
			if seen[name] {
				out = append(out, name)
			}
		}
		return strings.Join(out, " ")
	}
	follows := func(what, want string) {
		t.Helper()
		s.eventually(what, applyTime, func() bool { return stamps() == want })
	}
	follows("using both searchers", "a1 a2")
	s.shelf.Delete(platform.KindServers, "a1")
	follows("passing a removed searcher over", "a2")
	s.declare(2, `"service":"b"`)
	follows("using the service of version 2", "b1 b2")
	s.shelf.Compact()
	s.declare(3, `"service":"a"`)
	follows("using version 3 after the history was lost", "a2")
	s.shelf.SetDown(true)
	time.Sleep(500 * time.Millisecond)
	if got := stamps(); got != "a2" {
		t.Errorf("during an outage of the store: answers of %q, want a2", got)
	}
	s.shelf.SetDown(false)
	s.declare(4, `"service":"b"`)
	follows("using version 4 after the outage", "b1 b2")
}

// TestEntryHangup covers SIGHUP, which ended the process at first (LOST on
// clyde-shine's trouble-3).
func TestEntryHangup(t *testing.T) {
	s := withEntry(t)
	client := &http.Client{}
	for _, text := range []string{"", "[daemon]\n"} {
		if text != "" {
			// Faulty settings change nothing.
			if err := os.WriteFile(s.settings, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		s.daemon.signal(t, syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
		s.assertStatus(s.ask(client, http.MethodGet, "/q/1"), http.StatusOK)
	}
	if _, err := os.Stat(s.settings); err != nil {
		t.Error(err)
	}
	s.eventually("logged", entryWait, func() bool { return s.logged("settings reloaded") && s.logged("settings not reloaded") })
}

// TestEntryLeavesUnusedConnections covers a client's connection that never carried a
// request: it does not hold a leaving daemon to the end of its grace time
// (TestEntrySoak, seeds 121 and 143).
func TestEntryLeavesUnusedConnections(t *testing.T) {
	s := withEntry(t)
	s.daemon.signal(t, syscall.SIGTERM)
	s.eventually("not ready", time.Second, func() bool { return s.ready() == http.StatusServiceUnavailable })
	leftAt := time.Now()
	for time.Since(leftAt) < time.Second {
		nc, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		time.Sleep(100 * time.Millisecond)
	}
	select {
	case <-s.daemon.done:
	case <-time.After(entryWait):
	}
	// 0.55 of 3 s serve new requests.
	if took := time.Since(leftAt); took > 2300*time.Millisecond {
		t.Errorf("ended %s after SIGTERM, with nothing to do", took)
	}
}

// TestEntryHangupAtStart covers SIGHUP while the daemon reads its settings, which
// ended the process (TestEntrySoak, seed 112).
func TestEntryHangupAtStart(t *testing.T) {
	s := newEntrySite(t)
	if err := syscall.Mkfifo(s.settings, 0o600); err != nil {
		t.Fatal(err)
	}
	s.daemon = startProcess(t, "entry", "cornelwood", "entry", "--settings", s.settings)
	// The second reading is the one that the signal asks for.
	for i := range 2 {
		time.Sleep(100 * time.Millisecond)
		var w *os.File
		s.eventually("reading its settings", entryWait, func() bool {
			var err error
			w, err = os.OpenFile(s.settings, os.O_WRONLY|syscall.O_NONBLOCK, 0)
			return err == nil
		})
		if i == 0 {
			s.daemon.signal(t, syscall.SIGHUP)
		}
		// The signal arrives, or the last reading ends.
		time.Sleep(100 * time.Millisecond)
		if _, err := w.WriteString(s.text); err != nil {
			t.Error(err)
		}
		w.Close()
	}
	s.eventually("ready", entryWait, func() bool { return s.ready() == http.StatusOK })
}

// logged reports whether a message stands in the daemon's logs so far.
func (s *entrySite) logged(message string) bool {
	for {
		select {
		case line := <-s.daemon.lines:
			s.daemon.mu.Lock()
			s.daemon.log.WriteString(line + "\n")
			s.daemon.mu.Unlock()
		default:
			return strings.Contains(s.daemon.text(), `"@message":"`+message+`"`)
		}
	}
}

// TestEntryLeaves covers SIGTERM: the check says no at once, what runs finishes,
// and open connections are served and closed with an answer.
func TestEntryLeaves(t *testing.T) {
	s := withEntry(t)
	s.searchers["a1"].SetDelay(time.Second)
	s.searchers["a2"].SetDelay(time.Second)
	slow := make(chan response, 1)
	open := &http.Client{}
	s.assertStatus(s.ask(open, http.MethodGet, "/none/"), http.StatusNotFound)
	go func() { slow <- s.ask(&http.Client{}, http.MethodPost, "/p/slow") }()
	time.Sleep(100 * time.Millisecond)
	s.daemon.signal(t, syscall.SIGTERM)
	s.eventually("not ready", time.Second, func() bool { return s.ready() == http.StatusServiceUnavailable })
	a := s.ask(open, http.MethodGet, "/none/")
	s.assertStatus(a, http.StatusNotFound)
	if !a.closing {
		t.Error("the answer does not close the connection")
	}
	s.assertStatus(<-slow, http.StatusOK)
	select {
	case <-s.daemon.done:
	case <-time.After(entryWait):
		t.Fatal("still running")
	}
	if diff := cmp.Diff(0, s.daemon.cmd.ProcessState.ExitCode()); diff != "" {
		t.Errorf("exit code (-want +got):\n%s", diff)
	}
}
