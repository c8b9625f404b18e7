package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cornelwood.example/internal/standin/keeper"
	"cornelwood.example/internal/standin/searcher"
	"cornelwood.example/platform"
)

// soakDaemons is the number of daemons of TestEntrySoak. docs/SOAK.md shows how to run it.
var soakDaemons = flag.Int("daemons", 6, "entry daemons of the soak, in three zones")

// regressionSeeds holds seeds of TestEntrySoak that failed once, each with its cause.
var regressionSeeds = []uint64{}

// Guarantees in the users' documentation that the soak checks.
const (
	// soakDrainLimit is the time during which a searcher may still get work after the store has marked it as draining.
	soakDrainLimit = 3 * time.Second
	// soakApplyLimit is the time within which a desired state must be in force.
	soakApplyLimit = 3 * time.Second
	// soakCalmTime is the time without faults after which daemons count as connected to the store and to each other.
	soakCalmTime = 4 * time.Second
	// soakMonotonicAfter is the time after which a daemon that has shown a version must not show an older one.
	soakMonotonicAfter = 250 * time.Millisecond
	// soakAnswerMargin is the time after its route's timeout within which a request is answered.
	soakAnswerMargin = 500 * time.Millisecond
	// soakAttempts is the number of searchers of one service that may run a request, and soakMaxExcess the number of
	// requests that may run at more.
	soakAttempts  = 2
	soakMaxExcess = 3
	// soakMaxAborted is the number of requests that graceful shutdowns may abort.
	soakMaxAborted = 3
	// soakLossSlack is the time within which a daemon that stops may close a connection while a request is on its way.
	soakLossSlack = 200 * time.Millisecond
	// soakGracePeriod is the time from SIGTERM to SIGKILL.
	soakGracePeriod = 6 * time.Second
)

// Size and routes of the soak's site.
const (
	soakShards       = 3
	soakMinShards    = 2
	soakTopK         = 5
	soakRouteTimeout = 2 * time.Second
	// soakLongTimeout is the timeout of the routes in TestEntrySoakStops: a request may outlast the grace period.
	soakLongTimeout = 5 * time.Second
	soakClients     = 8
	// soakDaemonConns is the number of connections that a searcher declares for each daemon when few of them gather: too
	// few for all.
	soakDaemonConns = 1
)

// soakClientPause is the pause of a client between two requests.
const soakClientPause = 10 * time.Millisecond

// TestEntrySoak injects seeded faults, overlapping and in series, into entry daemons under load, from outside their
// processes. It checks what clients received and what searchers ran.
func TestEntrySoak(t *testing.T) {
	runEntrySoak(t, soakOptions{daemons: *soakDaemons, timeout: soakRouteTimeout, maxAborted: soakMaxAborted, kinds: (*entrySoak).faultKinds})
}

// TestEntrySoakGathered does the same while few daemons of each zone gather the queries of the others, and no zone has
// searchers of every shard.
func TestEntrySoakGathered(t *testing.T) {
	runEntrySoak(t, soakOptions{
		daemons: *soakDaemons * 3 / 2, gathered: true, timeout: soakRouteTimeout, maxAborted: soakMaxAborted, kinds: (*entrySoak).faultKinds,
	})
}

// TestEntrySoakStops stops daemons gracefully one after the other, some at the same time, while searchers answer late or not
// at all and clients go on using their connections. No request may end without an answer: requests that a daemon had passed
// on were cut off at the end of its grace period (review/2, issue 29).
func TestEntrySoakStops(t *testing.T) {
	for _, gathered := range []bool{false, true} {
		t.Run(fmt.Sprintf("gathered %t", gathered), func(t *testing.T) {
			runEntrySoak(t, soakOptions{daemons: *soakDaemons, gathered: gathered, clients: 4 * soakClients, timeout: soakLongTimeout, kinds: (*entrySoak).stopKinds})
		})
	}
}

// TestEntrySoakOutages overlaps outages of the store, for all daemons or some of them, with restarts, planned stops and searchers that come
// and go. A daemon must not go on sending to a searcher whose removal it, or those that it polls, never saw (review/8).
func TestEntrySoakOutages(t *testing.T) {
	runEntrySoak(t, soakOptions{daemons: *soakDaemons, timeout: soakRouteTimeout, maxAborted: soakMaxAborted, kinds: (*entrySoak).outageKinds})
}

// soakOptions holds what differs between the soaks.
type soakOptions struct {
	// settings is the text of further sections of the daemons' settings.
	settings string
	daemons  int
	// gathered is true when few daemons gather the queries of the others.
	gathered bool
	// clients is the number of clients, soakClients at least.
	clients int
	// timeout is that of every route and client.
	timeout time.Duration
	// maxAborted is the number of requests that graceful shutdowns may abort.
	maxAborted int
	// kinds returns the functions that inject each kind of fault, by name.
	kinds func(k *entrySoak) map[string]func(f *soakFault)
}

func runEntrySoak(t *testing.T, o soakOptions) {
	seeds := regressionSeeds
	if !slices.Contains(seeds, *soakSeed) {
		seeds = append([]uint64{*soakSeed}, seeds...)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Logf("seed %d", seed)
			k := newEntrySoak(t, seed, o)
			ctx, stop := context.WithCancel(t.Context())
			var clients sync.WaitGroup
			for i := range max(soakClients, o.clients) {
				clients.Go(func() { k.runClient(ctx, i) })
			}
			k.injectAll(*soakDuration)
			k.activeFaults.Wait()
			k.assertAfterFaults()
			stop()
			clients.Wait()
			k.assertGuarantees()
			t.Logf("%d faults: %s", len(k.injected), strings.Join(k.injected, ", "))
			t.Logf("answers: %v", k.tally)
		})
	}
}

// entrySoak is one run of TestEntrySoak.
type entrySoak struct {
	t       *testing.T
	rnd     *rand.Rand
	dir     string
	store   *keeper.MemoryStore
	daemons []*entryDaemon
	options soakOptions
	// activeFaults counts faults that have not ended.
	activeFaults sync.WaitGroup
	// injected holds the name and time of each injected fault.
	injected     []string
	started      time.Time
	requestCount atomic.Int64
	// isRestoring is true while the store is being restored.
	isRestoring atomic.Bool

	mu        sync.Mutex
	searchers map[string]*soakSearcher
	// liveSearchers holds the names of each service's searchers that are not draining.
	liveSearchers map[string][]string
	// departed holds searchers whose entries were removed without a report that they drain. They serve on.
	departed      []*soakSearcher
	latestVersion int
	// accounts is the JSON text of the client accounts.
	accounts string
	// declaredAt holds the time at which the store confirmed each version.
	declaredAt map[int]time.Time
	requests   []requestRecord
	tally      map[string]int
	nameCount  int
}

// entryDaemon is one daemon's process with the proxy through which it reaches the store.
type entryDaemon struct {
	*process
	id, zone              string
	callerAddr, checkAddr string
	settings              string
	storeProxy            *proxy
	// claimed is true while a fault uses the process.
	claimed atomic.Bool

	mu sync.Mutex
	// generation is the number of processes so far.
	generation int
	// terminating is true from SIGTERM, at terminatedAt, to the start of the next process.
	terminating  bool
	terminatedAt time.Time
	// shownVersion is the newest version that the process has shown, since shownAt.
	shownVersion int
	shownAt      time.Time
	// disturbedAt is the time at which the last fault of the process began or ended, or will end.
	disturbedAt time.Time
}

// soakSearcher is a searcher behind a proxy.
type soakSearcher struct {
	*searcher.Stub
	service, zone string
	proxy         *proxy
	// drainingSince is the time at which the store confirmed that the searcher is draining.
	drainingSince time.Time
}

// requestRecord is what a client observed of one request.
type requestRecord struct {
	id, daemon    string
	nonIdempotent bool
	status        int
	// aborted is true when the connection ended without a whole answer, waited when that was more than soakLossSlack after
	// the request was sent.
	aborted, waited bool
	// took is the time until the answer or the end of the connection, sinceTerm that from SIGTERM to the request, negative for
	// one that was sent before.
	took, sinceTerm time.Duration
	sentAt          time.Time
	// inShutdown is true when the daemon was in a graceful shutdown at the end of the request.
	inShutdown bool
	// pastTimeout is true when an undisturbed daemon took at least the route's timeout, overdue when it exceeded
	// that timeout by more than soakAnswerMargin.
	pastTimeout, overdue bool
	// violation is what is wrong with the answer, empty for a right one.
	violation string
}

func newEntrySoak(t *testing.T, seed uint64, o soakOptions) *entrySoak {
	k := &entrySoak{
		t: t, rnd: rand.New(rand.NewPCG(seed, 7)), dir: t.TempDir(), store: keeper.NewMemoryStore(), started: time.Now(),
		searchers: make(map[string]*soakSearcher), liveSearchers: make(map[string][]string),
		declaredAt: make(map[int]time.Time), tally: make(map[string]int), options: o,
	}
	storeServer := httptest.NewServer(k.store)
	t.Cleanup(storeServer.Close)
	for i := range soakShards {
		zones := []string{"a", "b", "c"}
		if o.gathered {
			zones[(i+1)%len(zones)] = zones[i%len(zones)]
		}
		for _, zone := range zones {
			k.addSearcher(fmt.Sprintf("s%d", i), zone, nil)
		}
	}
	for _, zone := range []string{"a", "b", "c", "a"} {
		k.addSearcher("one", zone, nil)
	}
	for i := range o.daemons {
		k.addDaemon(fmt.Sprintf("d%d", i), string(rune('a'+i%3)), strings.TrimPrefix(storeServer.URL, "http://"))
	}
	k.declareVersion()
	for _, d := range k.daemons {
		k.eventually("ready: "+d.id, startTimeout, func() bool { return d.isReady() })
	}
	return k
}

func (k *entrySoak) eventually(what string, limit time.Duration, ok func() bool) {
	k.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	k.t.Errorf("not %s after %s, %s after the start", what, limit, time.Since(k.started))
}

// addSearcher starts a searcher behind the proxy at and registers it. The searcher takes over the address of the
// proxy's former searcher. When at is nil, the searcher gets a proxy of its own. It returns the searcher's name.
func (k *entrySoak) addSearcher(service, zone string, at *proxy) string {
	k.mu.Lock()
	k.nameCount++
	name := fmt.Sprintf("%s-%s-%d", service, zone, k.nameCount)
	k.mu.Unlock()
	p := searcher.NewStub(name, searchDelay)
	srv := httptest.NewServer(p)
	k.t.Cleanup(srv.Close)
	target := strings.TrimPrefix(srv.URL, "http://")
	if at == nil {
		at = startProxy(k.t, target)
	} else {
		at.mu.Lock()
		at.target = target
		at.mu.Unlock()
		at.reset()
	}
	s := &soakSearcher{Stub: p, service: service, zone: zone, proxy: at}
	k.mu.Lock()
	k.searchers[name] = s
	k.liveSearchers[service] = append(k.liveSearchers[service], name)
	k.mu.Unlock()
	k.store.Set(platform.KindServers, name, platform.EncodeSearcher(service, at.addr(), zone, 3, false))
	return name
}

// declareVersion writes the next version N of the desired state. Its route "/vN/" replaces the one of the version
// before, and its route "p" needs no key.
func (k *entrySoak) declareVersion() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.latestVersion++
	shards := make([]string, soakShards)
	for i := range shards {
		shards[i] = fmt.Sprintf("%q", fmt.Sprintf("s%d", i))
	}
	services := ""
	if k.options.gathered {
		for i := range shards {
			services += fmt.Sprintf(`{"name":%s,"max_conns":%d},`, shards[i], soakDaemonConns*len(k.daemons))
		}
	}
	common := fmt.Sprintf(`"host":%q,"timeout_ms":%d,"goal_ms":200,"attempts":%d`, entryHost, k.options.timeout.Milliseconds(), soakAttempts)
	spec := fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"q","path_prefix":"/q/","kind":"idempotent","gather":[%s],"top_k":%d,"min_shard_ratio":0.6,%s},
		{"name":"p","path_prefix":"/p/","public":true,"kind":"non_idempotent","service":"one",%s},
		{"name":"v","path_prefix":"/v%d/","kind":"idempotent","service":"one",%s}],"services":[%s],"tenants":[%s]}`,
		k.latestVersion, strings.Join(shards, ","), soakTopK, common, common, k.latestVersion, common, strings.TrimSuffix(services, ","), k.accounts)
	k.store.Set(platform.KindConfig, platform.ConfigName, json.RawMessage(spec))
	k.declaredAt[k.latestVersion] = time.Now()
}

// soakHost returns a loopback address that depends on the test's process id, so that the daemons of soaks that run in
// parallel do not take each other's ports.
func soakHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f)
}

func (k *entrySoak) addDaemon(id, zone, store string) {
	host := soakHost()
	// The last daemon of each zone is smaller, so that the others gather.
	share := 1.0
	if len(k.daemons) >= 6 {
		share = 0.1
	}
	ports := freePorts(k.t, host, 3)
	d := &entryDaemon{
		id: id, zone: zone, callerAddr: host + ":" + ports[0], checkAddr: host + ":" + ports[1],
		settings: filepath.Join(k.dir, id+".ini"), storeProxy: startProxy(k.t, store),
	}
	text := fmt.Sprintf("[daemon]\nid = %s\nzone = %s\nregion = r\n[log]\njson = true\n[caller]\nlisten = %s\nchecks = %s\npeers = %s:%s\n"+
		"[process]\nshare = %g\n[store]\naddress = %s\n[shutdown]\ngrace = %s\n%s", id, zone, d.callerAddr, d.checkAddr, host, ports[2], share, d.storeProxy.addr(), soakGracePeriod, k.options.settings)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		k.t.Fatal(err)
	}
	k.daemons = append(k.daemons, d)
	k.runDaemon(d)
}

// runDaemon starts a daemon's process and collects its logs.
func (k *entrySoak) runDaemon(d *entryDaemon) {
	d.mu.Lock()
	d.generation++
	d.shownVersion, d.terminating = 0, false
	generation := d.generation
	d.mu.Unlock()
	d.process = startProcess(k.t, fmt.Sprintf("%s/%d", d.id, generation), "cornelwood", "entry", "--settings", d.settings)
	go d.collectOutput()
}

// collectOutput appends the lines of the process's standard output to its log until the process ends. A log longer
// than maxLogBytes is emptied first, since a failed test needs only the last lines.
func (p *process) collectOutput() {
	const maxLogBytes = 64 << 10
	for {
		select {
		case line := <-p.lines:
			p.mu.Lock()
			if p.log.Len() > maxLogBytes {
				p.log.Reset()
			}
			p.log.WriteString(line + "\n")
			p.mu.Unlock()
		case <-p.done:
			return
		}
	}
}

// responds reports whether the daemon answers the load balancer's check with any status.
func (d *entryDaemon) responds() bool {
	return d.readyStatus() != 0
}

func (d *entryDaemon) isReady() bool {
	return d.readyStatus() == http.StatusOK
}

// readyStatus returns the HTTP status of the load balancer's check, 0 without an answer.
func (d *entryDaemon) readyStatus() int {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+d.checkAddr+platform.ReadyPath, http.NoBody)
	if err != nil {
		return 0
	}
	resp, err := httpClient.Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (d *entryDaemon) markDisturbed() {
	d.markDisturbedFor(0)
}

// markDisturbedFor records a fault that lasts for a time from now on.
func (d *entryDaemon) markDisturbedFor(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbedAt = time.Now().Add(duration)
}

// runClient sends requests of all kinds over one connection until the daemon closes it or 50 were sent, and then
// connects to another daemon.
func (k *entrySoak) runClient(ctx context.Context, i int) {
	rnd := rand.New(rand.NewPCG(uint64(i), 9))
	for ctx.Err() == nil {
		d := k.daemons[rnd.IntN(len(k.daemons))]
		transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
		client := &http.Client{Transport: transport}
		for n := 0; n < 50 && ctx.Err() == nil; n++ {
			if !k.send(client, d, rnd.IntN(4)) {
				break
			}
			time.Sleep(soakClientPause)
		}
		transport.CloseIdleConnections()
	}
}

// send sends one request and records its result. It returns false when the connection cannot be used any more.
func (k *entrySoak) send(client *http.Client, d *entryDaemon, kind int) bool {
	k.mu.Lock()
	version := k.latestVersion
	k.mu.Unlock()
	a := requestRecord{id: fmt.Sprintf("r%d", k.requestCount.Add(1)), daemon: d.id}
	method, path := http.MethodGet, "/q/x"
	switch kind {
	case 0:
		method, path, a.nonIdempotent = http.MethodPost, "/p/x", true
	case 1:
		path = fmt.Sprintf("/v%d/x", version)
	}
	d.mu.Lock()
	generation := d.generation
	d.mu.Unlock()
	// The client gives up some time after the daemon must have answered.
	ctx, cancel := context.WithTimeout(context.Background(), k.options.timeout+2*soakAnswerMargin)
	defer cancel()
	var body io.Reader = http.NoBody
	if a.nonIdempotent {
		body = io.MultiReader(bytes.NewReader([]byte("body")))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.callerAddr+path, body)
	if err != nil {
		k.t.Error(err)
		return false
	}
	r.Host = entryHost
	platform.WriteRequestHeaders(r.Header, a.id, k.options.timeout)
	sentAt := time.Now()
	resp, err := client.Do(r)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	took := time.Since(sentAt)
	d.mu.Lock()
	undisturbed := d.generation == generation && time.Since(d.disturbedAt) > took
	a.inShutdown = d.terminating && d.generation == generation
	a.took, a.sinceTerm, a.sentAt = took, sentAt.Sub(d.terminatedAt), sentAt
	d.mu.Unlock()
	a.pastTimeout, a.overdue = undisturbed && took >= k.options.timeout, undisturbed && took > k.options.timeout+soakAnswerMargin
	if err != nil {
		a.aborted, a.waited = true, took > soakLossSlack
		k.record(a)
		return false
	}
	a.status = resp.StatusCode
	switch {
	case a.status == http.StatusOK && kind > 1:
		stamps, missing := platform.ReadParts(resp.Header)
		a.violation = k.checkMerged(stamps, missing, text)
	case a.status == http.StatusOK:
		a.violation = k.checkSingle(platform.ReadStamp(resp.Header), text)
	case a.status == http.StatusNotFound && kind != 1:
		a.violation = "404 for a route that every version has"
	}
	if kind == 1 {
		if violation := k.checkVersion(d, generation, version, a.status, sentAt); violation != "" {
			a.violation = violation
		}
	}
	k.record(a)
	return !resp.Close
}

func (k *entrySoak) record(a requestRecord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requests = append(k.requests, a)
	outcome := fmt.Sprint(a.status)
	if a.aborted {
		outcome = "cut"
	}
	k.tally[outcome]++
}

// checkMerged returns what is wrong with a merged answer, empty for a right one. The answer must name at least
// soakMinShards searchers, at most one of each shard, and hold the greatest records of just these.
func (k *entrySoak) checkMerged(stamps []string, missing int, body []byte) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	seen := make(map[string]bool)
	var records []string
	for _, stamp := range stamps {
		s := k.searchers[stamp]
		if s == nil || !strings.HasPrefix(s.service, "s") || seen[s.service] {
			return fmt.Sprintf("parts %v", stamps)
		}
		seen[s.service] = true
		records = append(records, string(s.Record()))
	}
	slices.Sort(records)
	slices.Reverse(records)
	want := strings.Join(records[:min(soakTopK, len(records))], "")
	if len(stamps)+missing != soakShards || len(stamps) < soakMinShards || string(body) != want {
		return fmt.Sprintf("parts %v, %d missing, body %x, want %x", stamps, missing, body, want)
	}
	return ""
}

func (k *entrySoak) checkSingle(stamp string, body []byte) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.searchers[stamp]
	if s == nil || s.service != "one" || !bytes.Equal(body, s.Record()) {
		return fmt.Sprintf("answer of %q with body %x", stamp, body)
	}
	return ""
}

// checkVersion returns what is wrong with an answer on the route of the latest version, empty for a right one: a
// process that has shown that version must not return to an older one.
func (k *entrySoak) checkVersion(d *entryDaemon, generation, version, status int, sentAt time.Time) string {
	k.mu.Lock()
	newest := k.latestVersion
	k.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.generation != generation {
		return ""
	}
	if status != http.StatusNotFound && status != http.StatusServiceUnavailable {
		if version > d.shownVersion {
			d.shownVersion, d.shownAt = version, time.Now()
		}
		return ""
	}
	if status == http.StatusNotFound && d.shownVersion >= version && newest == version && sentAt.Sub(d.shownAt) > soakMonotonicAfter {
		return fmt.Sprintf("version %d was reverted", version)
	}
	return ""
}
