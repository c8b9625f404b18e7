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

// The size of a soak of entry daemons; docs/SOAK.md shows how to run it.
var soakDaemons = flag.Int("daemons", 6, "entry daemons of the soak, in three zones")

// regressionSeeds are seeds of TestEntrySoak that failed once, each with its cause.
var regressionSeeds = []uint64{}

// Promises of the users' pages that the soak checks.
const (
	// soakDrain is how long after the store's word a draining searcher may get work.
	soakDrain = 3 * time.Second
	// soakApply is the time within which a desired state is in force.
	soakApply = 3 * time.Second
	// soakSettle is the time without faults after which daemons count as in touch.
	soakSettle = 4 * time.Second
	// soakBack is the time after which a daemon that showed a version shows no older one.
	soakBack = 250 * time.Millisecond
	// soakLate is how long after its route's time a request may be unanswered.
	soakLate = 500 * time.Millisecond
	// soakLost is the number of requests that may be cut around planned work.
	soakLost = 3
	// soakGrace is the time from SIGTERM to SIGKILL.
	soakGrace = 6 * time.Second
)

// Shape of the soak's site.
const (
	soakShards  = 3
	soakLeast   = 2
	soakTop     = 5
	soakTimeout = 2 * time.Second
	soakClients = 8
)

// soakClient is the pause of a client between two requests.
const soakClientPause = 10 * time.Millisecond

// TestEntrySoak injects seeded faults, overlapping and in series, into entry daemons
// under load, from outside their processes, and checks what clients and searchers
// saw.
func TestEntrySoak(t *testing.T) {
	seeds := regressionSeeds
	if !slices.Contains(seeds, *soakSeed) {
		seeds = append([]uint64{*soakSeed}, seeds...)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Logf("seed %d", seed)
			k := newEntrySoak(t, seed)
			ctx, stop := context.WithCancel(t.Context())
			var clients sync.WaitGroup
			for i := range soakClients {
				clients.Go(func() { k.client(ctx, i) })
			}
			k.injectAll(*soakTime)
			k.faults.Wait()
			k.assertCalm()
			stop()
			clients.Wait()
			k.assertPromises()
			t.Logf("%d faults: %s", len(k.injected), strings.Join(k.injected, ", "))
			t.Logf("answers: %v", k.tally)
		})
	}
}

// entrySoak is one run.
type entrySoak struct {
	t       *testing.T
	rnd     *rand.Rand
	dir     string
	shelf   *keeper.MemoryStore
	daemons []*entryDaemon
	// faults counts faults that last.
	faults   sync.WaitGroup
	injected []string
	started  time.Time
	sent     atomic.Int64

	mu        sync.Mutex
	searchers map[string]*soakSearcher
	// services holds the live searcher names of each service.
	services map[string][]string
	version  int
	// declaredAt holds when each version was confirmed.
	declaredAt map[int]time.Time
	asked      []askedRequest
	tally      map[string]int
	names      int
}

// entryDaemon is one daemon's process with the proxy that it reaches the store by.
type entryDaemon struct {
	*process
	id, zone        string
	callers, checks string
	settings        string
	store           *proxy
	// taken is true while a fault keeps the process.
	taken atomic.Bool

	mu sync.Mutex
	// lives counts the processes so far; leaving is true from SIGTERM to the next one.
	lives   int
	leaving bool
	// shown is the newest version that the process has shown, since shownAt.
	shown   int
	shownAt time.Time
	// troubledAt is when the last fault of the process began or ended.
	troubledAt time.Time
}

// soakSearcher is a searcher behind a proxy.
type soakSearcher struct {
	*searcher.Stub
	service, zone string
	proxy         *proxy
	// outAt is when the store confirmed that it drains or is gone.
	outAt time.Time
}

// askedRequest is what a client saw of one request.
type askedRequest struct {
	id, daemon string
	once       bool
	status     int
	cut        bool
	// planned is true for one cut while its daemon left as planned.
	planned bool
	// slow is true for one that took its route's time, late for one without an answer
	// some time after.
	slow, late bool
	// faulty is what is wrong with the answer.
	faulty string
}

func newEntrySoak(t *testing.T, seed uint64) *entrySoak {
	k := &entrySoak{
		t: t, rnd: rand.New(rand.NewPCG(seed, 7)), dir: t.TempDir(), shelf: keeper.NewMemoryStore(), started: time.Now(),
		searchers: make(map[string]*soakSearcher), services: make(map[string][]string),
		declaredAt: make(map[int]time.Time), tally: make(map[string]int),
	}
	store := httptest.NewServer(k.shelf)
	t.Cleanup(store.Close)
	for i := range soakShards {
		for _, zone := range []string{"a", "b", "c"} {
			k.addSearcher(fmt.Sprintf("s%d", i), zone, nil)
		}
	}
	for _, zone := range []string{"a", "b", "c", "a"} {
		k.addSearcher("one", zone, nil)
	}
	k.declare()
	for i := range *soakDaemons {
		k.addDaemon(fmt.Sprintf("d%d", i), string(rune('a'+i%3)), strings.TrimPrefix(store.URL, "http://"))
	}
	for _, d := range k.daemons {
		k.eventually("ready: "+d.id, startWait, func() bool { return d.isReady() })
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
	k.t.Errorf("not %s after %s, at %s", what, limit, time.Since(k.started))
}

// addSearcher starts a searcher and registers it; one at a given proxy takes over
// the address of its predecessor.
func (k *entrySoak) addSearcher(service, zone string, at *proxy) {
	k.mu.Lock()
	k.names++
	name := fmt.Sprintf("%s-%s-%d", service, zone, k.names)
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
	k.services[service] = append(k.services[service], name)
	k.mu.Unlock()
	k.shelf.Set(platform.KindServers, name, platform.EncodeSearcher(service, at.addr(), zone, 3, false))
}

// declare writes the next version: its own route "/vN/" takes the place of that of
// the version before.
func (k *entrySoak) declare() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version++
	shards := make([]string, soakShards)
	for i := range shards {
		shards[i] = fmt.Sprintf("%q", fmt.Sprintf("s%d", i))
	}
	common := fmt.Sprintf(`"host":%q,"timeout_ms":%d,"goal_ms":200,"attempts":2`, entryHost, soakTimeout.Milliseconds())
	spec := fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"q","path_prefix":"/q/","kind":"idempotent","gather":[%s],"top_k":%d,"min_shard_ratio":0.6,%s},
		{"name":"p","path_prefix":"/p/","kind":"non_idempotent","service":"one",%s},
		{"name":"v","path_prefix":"/v%d/","kind":"idempotent","service":"one",%s}]}`,
		k.version, strings.Join(shards, ","), soakTop, common, common, k.version, common)
	k.shelf.Set(platform.KindConfig, platform.ConfigName, json.RawMessage(spec))
	k.declaredAt[k.version] = time.Now()
}

// soakHost returns a loopback address of this test process alone, so that daemons of
// soaks that run side by side never take each other's ports.
func soakHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f)
}

func (k *entrySoak) addDaemon(id, zone, store string) {
	host := soakHost()
	ports := freePorts(k.t, host, 3)
	d := &entryDaemon{
		id: id, zone: zone, callers: host + ":" + ports[0], checks: host + ":" + ports[1],
		settings: filepath.Join(k.dir, id+".ini"), store: startProxy(k.t, store),
	}
	text := fmt.Sprintf("[daemon]\nid = %s\nzone = %s\nregion = r\n[log]\njson = true\n[caller]\nlisten = %s\nchecks = %s\npeers = %s:%s\n"+
		"[store]\naddress = %s\n[shutdown]\ngrace = %s\n", id, zone, d.callers, d.checks, host, ports[2], d.store.addr(), soakGrace)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		k.t.Fatal(err)
	}
	k.daemons = append(k.daemons, d)
	k.run(d)
}

// run starts a daemon's process. Its logs go to a file of the test's folder.
func (k *entrySoak) run(d *entryDaemon) {
	d.mu.Lock()
	d.lives++
	d.shown, d.leaving = 0, false
	life := d.lives
	d.mu.Unlock()
	d.process = startProcess(k.t, fmt.Sprintf("%s/%d", d.id, life), "cornelwood", "entry", "--settings", d.settings)
	go d.drain()
}

// drain keeps the last lines of a process's standard output for a failure.
func (p *process) drain() {
	const kept = 64 << 10
	for {
		select {
		case line := <-p.lines:
			p.mu.Lock()
			if p.log.Len() > kept {
				p.log.Reset()
			}
			p.log.WriteString(line + "\n")
			p.mu.Unlock()
		case <-p.done:
			return
		}
	}
}

// answers reports whether the daemon answers the load balancer's check at all.
func (d *entryDaemon) answers() bool {
	return d.check() != 0
}

func (d *entryDaemon) isReady() bool {
	return d.check() == http.StatusOK
}

// check returns the status of the load balancer's check, 0 without an answer.
func (d *entryDaemon) check() int {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+d.checks+platform.ReadyPath, http.NoBody)
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

func (d *entryDaemon) trouble() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.troubledAt = time.Now()
}

// client sends requests of all kinds over a connection that it keeps until the
// daemon closes it, and goes to another daemon then.
func (k *entrySoak) client(ctx context.Context, i int) {
	rnd := rand.New(rand.NewPCG(uint64(i), 9))
	for ctx.Err() == nil {
		d := k.daemons[rnd.IntN(len(k.daemons))]
		transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
		client := &http.Client{Transport: transport}
		for n := 0; n < 50 && ctx.Err() == nil; n++ {
			if !k.ask(client, d, rnd.IntN(4)) {
				break
			}
			time.Sleep(soakClientPause)
		}
		transport.CloseIdleConnections()
	}
}

// ask sends one request and notes what came. It returns false when the connection
// is of no use any more.
func (k *entrySoak) ask(client *http.Client, d *entryDaemon, kind int) bool {
	k.mu.Lock()
	version := k.version
	k.mu.Unlock()
	a := askedRequest{id: fmt.Sprintf("r%d", k.sent.Add(1)), daemon: d.id}
	method, path := http.MethodGet, "/q/x"
	switch kind {
	case 0:
		method, path, a.once = http.MethodPost, "/p/x", true
	case 1:
		path = fmt.Sprintf("/v%d/x", version)
	}
	d.mu.Lock()
	life := d.lives
	d.mu.Unlock()
	// A client gives up some time after the daemon should have answered.
	ctx, cancel := context.WithTimeout(context.Background(), soakTimeout+2*soakLate)
	defer cancel()
	var body io.Reader = http.NoBody
	if a.once {
		body = io.MultiReader(bytes.NewReader([]byte("body")))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+path, body)
	if err != nil {
		k.t.Error(err)
		return false
	}
	r.Host = entryHost
	platform.WriteRequestHeaders(r.Header, a.id, soakTimeout)
	sentAt := time.Now()
	resp, err := client.Do(r)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	took := time.Since(sentAt)
	d.mu.Lock()
	sound := d.lives == life && time.Since(d.troubledAt) > took
	a.planned = d.leaving && d.lives == life
	d.mu.Unlock()
	a.slow, a.late = sound && took >= soakTimeout, sound && took > soakTimeout+soakLate
	if err != nil {
		a.cut = true
		k.note(a)
		return false
	}
	a.status = resp.StatusCode
	switch {
	case a.status == http.StatusOK && kind > 1:
		stamps, missing := platform.ReadParts(resp.Header)
		a.faulty = k.checkQuery(stamps, missing, text)
	case a.status == http.StatusOK:
		a.faulty = k.checkSingle(platform.ReadStamp(resp.Header), text)
	case a.status == http.StatusNotFound && kind != 1:
		a.faulty = "404 for a route of every version"
	}
	if kind == 1 {
		if f := k.checkVersion(d, life, version, a.status, sentAt); f != "" {
			a.faulty = f
		}
	}
	k.note(a)
	return !resp.Close
}

func (k *entrySoak) note(a askedRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked = append(k.asked, a)
	what := fmt.Sprint(a.status)
	if a.cut {
		what = "cut"
	}
	k.tally[what]++
}

// checkQuery returns the fault of a merged answer: it holds the greatest records of
// just the parts that it names, one of each shard, enough of them.
func (k *entrySoak) checkQuery(stamps []string, missing int, body []byte) string {
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
	want := strings.Join(records[:min(soakTop, len(records))], "")
	if len(stamps)+missing != soakShards || len(stamps) < soakLeast || string(body) != want {
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

// checkVersion returns the fault of an answer on the newest version's own route: a
// process that has shown that version takes nothing back.
func (k *entrySoak) checkVersion(d *entryDaemon, life, version, status int, sentAt time.Time) string {
	k.mu.Lock()
	newest := k.version
	k.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lives != life {
		return ""
	}
	if status != http.StatusNotFound && status != http.StatusServiceUnavailable {
		if version > d.shown {
			d.shown, d.shownAt = version, time.Now()
		}
		return ""
	}
	if status == http.StatusNotFound && d.shown >= version && newest == version && sentAt.Sub(d.shownAt) > soakBack {
		return fmt.Sprintf("version %d was taken back", version)
	}
	return ""
}
