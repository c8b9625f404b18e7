package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/standin/keeper"
	"cornelwood.example/internal/standin/searcher"
	"cornelwood.example/platform"
)

// entrySite is an entry daemon in a process of its own, with a store and searchers in the test's process.
type entrySite struct {
	t         *testing.T
	store     *keeper.MemoryStore
	searchers map[string]*searcher.Stub
	// searcherURLs holds the address of each searcher by name.
	searcherURLs map[string]string
	daemon       *process
	// settings is the path of the settings file, settingsText its content.
	settings, settingsText string
	callerAddr             string
	checkAddr              string
	requestCount           atomic.Int64
	// idPrefix starts the IDs of requests, where several daemons have the same searchers.
	idPrefix string
	// machine is what the daemon must stay within, where a test checks that.
	machine machine
}

const (
	entryHost    = "search.example"
	entryTimeout = 5 * time.Second
	searchDelay  = 5 * time.Millisecond
	// entryApplyLimit is the time within which a change of the desired state must be in force.
	entryApplyLimit = 3 * time.Second
)

// newEntrySite makes a store, two shards of two searchers each, and the settings of a daemon, which it does not start.
func newEntrySite(t *testing.T) *entrySite {
	t.Helper()
	s := &entrySite{t: t, store: keeper.NewMemoryStore(), searchers: make(map[string]*searcher.Stub), searcherURLs: make(map[string]string)}
	storeServer := httptest.NewServer(s.store)
	t.Cleanup(storeServer.Close)
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		s.addSearcher(name)
	}
	s.declare(1, `"service":"a"`)
	ports := freePorts(t, "127.0.0.1", 3)
	s.callerAddr, s.checkAddr = "127.0.0.1:"+ports[0], "127.0.0.1:"+ports[1]
	s.settings = filepath.Join(t.TempDir(), "entry.ini")
	s.settingsText = fmt.Sprintf("[daemon]\nid = d1\nzone = z\nregion = r\n[log]\njson = true\n[caller]\nlisten = %s\nchecks = %s\npeers = 127.0.0.1:%s\n"+
		"[store]\naddress = %s\n[shutdown]\ngrace = 3s\n", s.callerAddr, s.checkAddr, ports[2], strings.TrimPrefix(storeServer.URL, "http://"))
	return s
}

// withEntry makes a site with newEntrySite, starts its daemon and waits until that is ready.
func withEntry(t *testing.T) *entrySite {
	t.Helper()
	s := newEntrySite(t)
	if err := os.WriteFile(s.settings, []byte(s.settingsText), 0o600); err != nil {
		t.Fatal(err)
	}
	s.daemon = startProcess(t, "entry", "cornelwood", "entry", "--settings", s.settings)
	s.eventually("ready", entryTimeout, func() bool { return s.readyStatus() == http.StatusOK })
	return s
}

// freePorts returns n ports of a loopback address that were free a moment ago.
func freePorts(t *testing.T, host string, n int) []string {
	t.Helper()
	takenPorts.mu.Lock()
	defer takenPorts.mu.Unlock()
	var ports []string
	for len(ports) < n {
		lis, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer lis.Close()
		_, port, _ := net.SplitHostPort(lis.Addr().String())
		if !takenPorts.ports[port] {
			takenPorts.ports[port] = true
			ports = append(ports, port)
		}
	}
	return ports
}

// takenPorts holds the ports that freePorts has returned: a process listens on its ports some time after that, and gives
// them up while it restarts.
var takenPorts = struct {
	mu    sync.Mutex
	ports map[string]bool
}{ports: make(map[string]bool)}

// TestFreePorts checks that no port is returned twice.
func TestFreePorts(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		for _, p := range freePorts(t, "127.0.0.1", 3) {
			if seen[p] {
				t.Fatalf("port %s returned twice", p)
			}
			seen[p] = true
		}
	}
}

func (s *entrySite) addSearcher(name string) {
	p := searcher.NewStub(name, searchDelay)
	s.searchers[name], s.searcherURLs[name] = p, s.serve(p)
	s.register(name, 0)
}

// serve serves a searcher until the test ends and returns its address.
func (s *entrySite) serve(p *searcher.Stub) string {
	srv := httptest.NewServer(p)
	s.t.Cleanup(srv.Close)
	return srv.URL
}

// declare writes a version of the desired state. target is the JSON field that completes the route "p" of single
// requests.
func (s *entrySite) declare(version int, target string) {
	s.store.Set(platform.KindConfig, platform.ConfigName, json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[
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

func (s *entrySite) readyStatus() int {
	status, _ := s.getPage(platform.ReadyPath)
	return status
}

// getPage gets a page from the address of the load balancer's checks. The status is 0 when there is no answer.
func (s *entrySite) getPage(path string) (int, string) {
	ctx, cancel := context.WithTimeout(s.t.Context(), entryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.checkAddr+path, nil)
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

// response is an HTTP response whose body was read completely.
type response struct {
	id      string
	status  int
	stamp   string
	stamps  []string
	missing int
	closing bool
	body    string
	err     error
	// retryAfter is the time that a refusal asks to wait, as sent.
	retryAfter string
}

// send sends a request over the client's connections. A POST has a body of one byte, a GET has none.
func (s *entrySite) send(client *http.Client, method, path string) response {
	return s.sendBody(client, method, path, strings.NewReader(strings.Repeat("x", len(method)-3)))
}

// sendBody sends a request with a body.
func (s *entrySite) sendBody(client *http.Client, method, path string, body io.Reader) response {
	id := fmt.Sprintf("%sr%d", s.idPrefix, s.requestCount.Add(1))
	r, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.callerAddr+path, body)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = entryHost
	platform.WriteRequestHeaders(r.Header, id, 2*time.Second)
	resp, err := client.Do(r)
	if err != nil {
		return response{id: id, err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	out := response{id: id, status: resp.StatusCode, stamp: platform.ReadStamp(resp.Header), closing: resp.Close, body: string(text), err: err, retryAfter: resp.Header.Get("Retry-After")}
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
		a := s.send(client, http.MethodGet, "/q/1")
		s.assertStatus(a, http.StatusOK)
		if len(a.stamps) != 2 || a.missing != 0 || len(a.body) != 32 || a.body[:16] < a.body[16:] {
			t.Errorf("stamps %v, %d missing, %d bytes", a.stamps, a.missing, len(a.body))
		}
	})
	t.Run("single request", func(t *testing.T) {
		a := s.send(client, http.MethodPost, "/p/1")
		s.assertStatus(a, http.StatusOK)
		if p := s.searchers[a.stamp]; p == nil || a.body != string(p.Record()) {
			t.Errorf("stamp %q: body is not that searcher's record", a.stamp)
		}
	})
	t.Run("no route", func(t *testing.T) {
		s.assertStatus(s.send(client, http.MethodGet, "/none/"), http.StatusNotFound)
	})
	t.Run("metrics", func(t *testing.T) {
		_, text := s.getPage("/metrics")
		if !strings.Contains(text, `cornelwood_route_requests_total{route="q",status="200"} 1`) {
			t.Errorf("metrics do not count the query:\n%.2000s", text)
		}
	})
}

// TestEntryAppliesStoreChanges covers changes in the store while the daemon runs, also after the history of changes was
// lost and after an outage of the store.
func TestEntryAppliesStoreChanges(t *testing.T) {
	s := withEntry(t)
	client := &http.Client{}
	stamps := func() string {
		seen := map[string]bool{}
		for range 12 {
			seen[s.send(client, http.MethodPost, "/p/1").stamp] = true
		}
		var out []string
		for _, name := range []string{"", "a1", "a2", "b1", "b2"} {
			if seen[name] {
				out = append(out, name)
			}
		}
		return strings.Join(out, " ")
	}
	awaitStamps := func(what, want string) {
		t.Helper()
		s.eventually(what, entryApplyLimit, func() bool { return stamps() == want })
	}
	awaitStamps("using both searchers", "a1 a2")
	s.store.Delete(platform.KindServers, "a1")
	awaitStamps("without the removed searcher", "a2")
	s.declare(2, `"service":"b"`)
	awaitStamps("using the service of version 2", "b1 b2")
	s.store.Compact()
	s.declare(3, `"service":"a"`)
	awaitStamps("using version 3 after the history was lost", "a2")
	s.store.SetDown(true)
	time.Sleep(500 * time.Millisecond)
	if got := stamps(); got != "a2" {
		t.Errorf("during an outage of the store: answers from %q, want a2", got)
	}
	s.store.SetDown(false)
	s.declare(4, `"service":"b"`)
	awaitStamps("using version 4 after the outage", "b1 b2")
}

// TestEntrySlowUpload replaces the searchers of a service while a client sends a body over a slow connection. The request must go to
// the new one: it went to those of the moment at which its head had arrived, after they had drained (review/4).
func TestEntrySlowUpload(t *testing.T) {
	const pieces = 18
	s := withEntry(t)
	r, w := io.Pipe()
	go func() {
		defer w.Close()
		for range pieces {
			time.Sleep(100 * time.Millisecond)
			// The daemon may have answered.
			_, _ = io.WriteString(w, strings.Repeat("x", 1000))
		}
	}()
	answered := make(chan response, 1)
	go func() { answered <- s.sendBody(&http.Client{}, http.MethodPost, "/p/1", r) }()
	time.Sleep(200 * time.Millisecond)
	s.addSearcher("a3")
	for _, name := range []string{"a1", "a2"} {
		addr := strings.TrimPrefix(s.searcherURLs[name], "http://")
		s.store.Set(platform.KindServers, name, platform.EncodeSearcher("a", addr, "z", 3, true))
	}
	a := <-answered
	s.assertStatus(a, http.StatusOK)
	if diff := cmp.Diff("a3", a.stamp); diff != "" {
		t.Errorf("searcher (-want +got):\n%s", diff)
	}
}

// TestEntryOddEntry leaves an entry among those of the searchers that is nested too deeply for package json. The daemon must go on
// following the list, also after a restart: no change was seen any more (issue 29).
func TestEntryOddEntry(t *testing.T) {
	s := withEntry(t)
	client := &http.Client{}
	// The entry itself can be encoded, a list with it exceeds the depth that package json decodes.
	const depth = 9_998
	s.store.Set(platform.KindServers, "odd", json.RawMessage(strings.Repeat("[", depth)+strings.Repeat("]", depth)))
	for range 2 {
		s.store.Delete(platform.KindServers, "a1")
		s.eventually("without the removed searcher", entryApplyLimit, func() bool {
			for range 12 {
				if s.send(client, http.MethodPost, "/p/1").stamp != "a2" {
					return false
				}
			}
			return true
		})
		s.daemon.signal(t, syscall.SIGTERM)
		<-s.daemon.done
		s.addSearcher("a1")
		s.daemon = startProcess(t, "entry", "cornelwood", "entry", "--settings", s.settings)
		s.eventually("ready", entryTimeout, func() bool { return s.readyStatus() == http.StatusOK })
	}
}

// TestEntryCutWatches removes a searcher's entry while the store cuts off the watches that wait, again and again, and answers
// every other call. The searcher must get no request after the time for which it serves on: each cut counted as an outage of
// the store, after which removed entries are kept for a time (review/3).
func TestEntryCutWatches(t *testing.T) {
	s := withEntry(t)
	stop := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(stop)
	repeat := func(interval time.Duration, do func()) {
		group.Go(func() {
			for tick := time.NewTicker(interval); ; {
				select {
				case <-tick.C:
					do()
				case <-stop:
					return
				}
			}
		})
	}
	client := &http.Client{}
	repeat(5*time.Millisecond, func() { s.send(client, http.MethodPost, "/p/1") })
	repeat(400*time.Millisecond, s.store.CutWatches)
	time.Sleep(time.Second)
	s.store.Delete(platform.KindServers, "a1")
	removedAt := time.Now()
	time.Sleep(soakDrainLimit + 1500*time.Millisecond)
	if late := s.searchers["a1"].LastRun().Sub(removedAt); late > soakDrainLimit {
		t.Errorf("a searcher got work %s after its entry was removed, want none after %s", late, soakDrainLimit)
	}
	if s.searchers["a2"].LastRun().Before(removedAt) {
		t.Error("the other searcher got no work")
	}
}

// TestEntryHangup covers SIGHUP, which must reload the settings. Without a handler the signal ends the process, and its
// requests are lost (LOST in trouble-3 of clyde-shine).
func TestEntryHangup(t *testing.T) {
	s := withEntry(t)
	client := &http.Client{}
	for _, text := range []string{"", "[daemon]\n"} {
		if text != "" {
			// Invalid settings change nothing.
			if err := os.WriteFile(s.settings, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		s.daemon.signal(t, syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
		s.assertStatus(s.send(client, http.MethodGet, "/q/1"), http.StatusOK)
	}
	if _, err := os.Stat(s.settings); err != nil {
		t.Error(err)
	}
	s.eventually("logged", entryTimeout, func() bool { return s.hasLogged("settings reloaded") && s.hasLogged("settings not reloaded") })
}

// TestEntryShutdownIgnoresUnusedConnections covers connections of clients that never carried a request. They must not
// delay the end of the daemon to the end of the grace period (TestEntrySoak, seeds 121 and 143).
func TestEntryShutdownIgnoresUnusedConnections(t *testing.T) {
	s := withEntry(t)
	s.daemon.signal(t, syscall.SIGTERM)
	s.eventually("not ready", time.Second, func() bool { return s.readyStatus() == http.StatusServiceUnavailable })
	shutdownAt := time.Now()
	for time.Since(shutdownAt) < time.Second {
		nc, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.callerAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		time.Sleep(100 * time.Millisecond)
	}
	select {
	case <-s.daemon.done:
	case <-time.After(entryTimeout):
	}
	// New requests are served for 0.55 of the grace period of 3 s.
	if took := time.Since(shutdownAt); took > 2300*time.Millisecond {
		t.Errorf("daemon ended %s after SIGTERM without requests in flight", took)
	}
}

// TestEntryHangupAtStart covers SIGHUP while the daemon reads its settings at its start. The signal must not end the
// process (TestEntrySoak, seed 112).
func TestEntryHangupAtStart(t *testing.T) {
	s := newEntrySite(t)
	if err := syscall.Mkfifo(s.settings, 0o600); err != nil {
		t.Fatal(err)
	}
	s.daemon = startProcess(t, "entry", "cornelwood", "entry", "--settings", s.settings)
	// The daemon reads its settings at its start, and again because of the signal.
	for i := range 2 {
		time.Sleep(100 * time.Millisecond)
		var w *os.File
		s.eventually("reading its settings", entryTimeout, func() bool {
			var err error
			w, err = os.OpenFile(s.settings, os.O_WRONLY|syscall.O_NONBLOCK, 0)
			return err == nil
		})
		if i == 0 {
			s.daemon.signal(t, syscall.SIGHUP)
		}
		// Waits until the signal has arrived, or until the previous read has ended.
		time.Sleep(100 * time.Millisecond)
		if _, err := w.WriteString(s.settingsText); err != nil {
			t.Error(err)
		}
		w.Close()
	}
	s.eventually("ready", entryTimeout, func() bool { return s.readyStatus() == http.StatusOK })
}

// hasLogged reports whether the daemon has logged a message so far.
func (s *entrySite) hasLogged(message string) bool {
	for {
		select {
		case line := <-s.daemon.lines:
			s.daemon.mu.Lock()
			s.daemon.log.WriteString(line + "\n")
			s.daemon.mu.Unlock()
		default:
			return strings.Contains(s.daemon.logText(), `"@message":"`+message+`"`)
		}
	}
}

// TestEntryStopAnswersWhatItAccepts sends requests on open connections at all times of a planned stop, whose work outlasts the
// grace period in some. A request that a searcher got must be answered, and one that was refused must not have run: those sent
// from half of the grace period on were passed on and cut off at its end (review/2).
func TestEntryStopAnswersWhatItAccepts(t *testing.T) {
	const (
		grace    = 3 * time.Second
		interval = 100 * time.Millisecond
		// work is longer than what is left of the grace period after the last requests that are accepted.
		work = 1700 * time.Millisecond
	)
	s := withEntry(t)
	var answers []response
	var mu sync.Mutex
	var clients sync.WaitGroup
	var open []*http.Client
	for range int(grace / interval) {
		open = append(open, &http.Client{Transport: &http.Transport{}})
		s.assertStatus(s.send(open[len(open)-1], http.MethodGet, "/none/"), http.StatusNotFound)
	}
	s.searchers["a1"].SetDelay(work)
	s.searchers["a2"].SetDelay(work)
	s.daemon.signal(t, syscall.SIGTERM)
	for i, client := range open {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * interval)
			a := s.send(client, http.MethodPost, "/p/1")
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	clients.Wait()
	runs := make(map[string]int)
	for _, name := range []string{"a1", "a2"} {
		for id, n := range s.searchers[name].Runs() {
			runs[id] += n
		}
	}
	got := make(map[string]int)
	for _, a := range answers {
		ran := runs[a.id] > 0
		if a.err != nil && ran || a.status == http.StatusServiceUnavailable && ran {
			t.Errorf("request %s: status %d, error %v, ran", a.id, a.status, a.err)
		}
		got[fmt.Sprint(a.status)]++
	}
	if got["200"] == 0 || got["503"] == 0 {
		t.Errorf("answers by status: %v; want some served and some refused", got)
	}
}

// TestEntryGracefulShutdown covers SIGTERM: the readiness check fails at once, requests in flight finish, and open
// connections are served and closed with an answer.
func TestEntryGracefulShutdown(t *testing.T) {
	s := withEntry(t)
	s.searchers["a1"].SetDelay(time.Second)
	s.searchers["a2"].SetDelay(time.Second)
	slowResponse := make(chan response, 1)
	keepAlive := &http.Client{}
	s.assertStatus(s.send(keepAlive, http.MethodGet, "/none/"), http.StatusNotFound)
	go func() { slowResponse <- s.send(&http.Client{}, http.MethodPost, "/p/slow") }()
	time.Sleep(100 * time.Millisecond)
	s.daemon.signal(t, syscall.SIGTERM)
	s.eventually("not ready", time.Second, func() bool { return s.readyStatus() == http.StatusServiceUnavailable })
	a := s.send(keepAlive, http.MethodGet, "/none/")
	s.assertStatus(a, http.StatusNotFound)
	if !a.closing {
		t.Error("the answer does not close the connection")
	}
	s.assertStatus(<-slowResponse, http.StatusOK)
	select {
	case <-s.daemon.done:
	case <-time.After(entryTimeout):
		t.Fatal("daemon still running after its last answer")
	}
	if diff := cmp.Diff(0, s.daemon.cmd.ProcessState.ExitCode()); diff != "" {
		t.Errorf("exit code (-want +got):\n%s", diff)
	}
}
