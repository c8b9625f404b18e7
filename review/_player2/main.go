// Command player2 runs the scripts of review/6 to review/10: it starts entry daemons as separate processes, plays the
// platform's store, the searchers and the clients, and judges one rule.
//
//	player2 CASE DIR
//
// It runs in the root of the repository and writes DIR/record.txt. It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cornelwood.example/internal/standin/keeper"
)

// Headers and kinds of the users' pages.
const (
	headerID       = "X-Cornelwood-Request-Id"
	headerDeadline = "X-Cornelwood-Deadline-Ms"
	headerStamp    = "X-Cornelwood-Server-Stamp"
	headerExpected = "X-Cornelwood-Expect-Instance"
	headerInstance = "X-Cornelwood-Instance-Id"
	headerNotRun   = "X-Cornelwood-Not-Executed"
	headerLeaving  = "Server-Leaving"
	headerKey      = "X-Api-Key"
	kindSearchers  = "servers"
	kindConfig     = "config"
	heartbeat      = 1200 * time.Millisecond
	host           = "stand.example"
	readyTimeout   = 20 * time.Second
	answerTimeout  = 6 * time.Second
	drainTime      = 3 * time.Second
	accountWindow  = 5 * time.Second
	accountOverage = 0.1
	accountSlack   = 20
	coldOverage    = 1.5
	coldSlack      = 5
	coldTime       = 3 * time.Second
	searcherSlots  = 3
)

// zones of a small deployment, with the daemons of each.
var zones = []struct {
	name    string
	daemons int
}{{"glasgow", 3}, {"edinburgh", 2}, {"dundee", 2}}

// sent is one request of a client.
type sent struct {
	id, machine, path string
	at, answeredAt    time.Time
	status            int
	stamp             string
	leaving           bool
	err               string
}

// run is one request that a searcher ran.
type run struct {
	id, searcher, service, path string
	at                          time.Time
}

// site is everything that a case plays.
type site struct {
	dir, temp string
	start     time.Time
	trouble   bool
	store     *keeper.MemoryStore
	daemons   []*daemon
	searchers map[string]*searcher

	mu    sync.Mutex
	sent  []*sent
	runs  []run
	notes []string
	count atomic.Int64
	// prefix begins the names, and idBase the request IDs, of one of several deployments.
	prefix string
	idBase int64
	stop   []func()
}

// daemon is one process of the project.
type daemon struct {
	name, zone, callers, checks, settings string
	cmd                                   *exec.Cmd
	ended                                 chan struct{}
	client                                *http.Client
	gate                                  *storeGate
}

// machine is one machine of a deployment.
type machine struct {
	name, zone string
	share      float64
}

// smallFleet returns the machines of a small deployment.
func smallFleet() []machine {
	var out []machine
	for _, z := range zones {
		for i := range z.daemons {
			out = append(out, machine{fmt.Sprintf("front-%s-%d", z.name, i+1), z.name, 0.4})
		}
	}
	return out
}

// storeGate is the address at which one machine reaches the store. It can turn the machine away.
type storeGate struct {
	store http.Handler
	addr  string
	// turnedAway makes each call get status 503, of which the store has done nothing.
	turnedAway atomic.Bool
}

func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.turnedAway.Load() {
		http.Error(w, "try later", http.StatusServiceUnavailable)
		return
	}
	g.store.ServeHTTP(w, r)
}

// openGate serves the store at a further address.
func (s *site) openGate() (*storeGate, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &storeGate{store: s.store, addr: lis.Addr().String()}
	srv := &http.Server{Handler: g}
	go func() { _ = srv.Serve(lis) }()
	s.stop = append(s.stop, func() { _ = srv.Close() })
	return g, nil
}

var errCannotRun = errors.New("the case cannot run")

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: player2 CASE DIR")
		os.Exit(2)
	}
	cases := map[string]func(*site) (bool, error){
		"route": playRoute, "hang": playHang, "drain": playDrain, "quota": playQuota, "lost": playLost, "cold": playCold,
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	s := &site{dir: os.Args[2], start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", searchers: make(map[string]*searcher)}
	broken, err := func() (bool, error) {
		defer s.end()
		return play(s)
	}()
	if werr := s.writeRecord(broken, err); werr != nil && err == nil {
		err = werr
	}
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("rule broken")
		os.Exit(1)
	default:
		fmt.Println("rule held")
	}
}

// note records a line with the time.
func (s *site) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s%s", time.Since(s.start).Seconds(), s.prefix, fmt.Sprintf(format, args...))
	s.mu.Lock()
	s.notes = append(s.notes, line)
	s.mu.Unlock()
	fmt.Println(line)
}

func (s *site) sinceStart(t time.Time) float64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(s.start).Seconds()
}

// writeRecord writes what was sent, answered and run.
func (s *site) writeRecord(broken bool, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, cerr := os.Create(filepath.Join(s.dir, "record.txt"))
	if cerr != nil {
		return cerr
	}
	defer f.Close()
	fmt.Fprintf(f, "trouble %t, broken %t, error %v; times in seconds\n\n", s.trouble, broken, err)
	for _, n := range s.notes {
		fmt.Fprintln(f, n)
	}
	fmt.Fprintln(f, "\nrequests of clients: sent, answered, machine, path, id, status, stamp, leaving, error")
	for _, r := range s.sent {
		fmt.Fprintf(f, "%.3f %.3f %s %s %s %d %q %t %q\n", s.sinceStart(r.at), s.sinceStart(r.answeredAt), r.machine, r.path, r.id, r.status, r.stamp, r.leaving, r.err)
	}
	fmt.Fprintln(f, "\nruns at searchers: at, searcher, service, path, id")
	for _, r := range s.runs {
		fmt.Fprintf(f, "%.3f %s %s %s %s\n", s.sinceStart(r.at), r.searcher, r.service, r.path, r.id)
	}
	return nil
}

// end ends every process that the case started, by its id.
func (s *site) end() {
	for _, f := range s.stop {
		f()
	}
	for _, d := range s.daemons {
		_ = d.cmd.Process.Kill()
	}
	for _, d := range s.daemons {
		<-d.ended
	}
	_ = os.RemoveAll(s.temp)
}

// startStore makes the platform's store: the project's own stand-in, which each machine reaches through a gate.
func (s *site) startStore() {
	s.store = keeper.NewMemoryStore()
}

// declare writes a desired state. routes, services and tenants are JSON lists.
func (s *site) declare(version int, routes, services, tenants string) {
	if tenants != "" {
		tenants = `,"tenants":` + tenants
	}
	s.store.Set(kindConfig, "main", json.RawMessage(fmt.Sprintf(
		`{"version":%d,"routes":%s,"services":%s,"limits":{"header_bytes":16384,"body_bytes":262144,"header_ms":3000,"idle_ms":15000}%s}`,
		version, routes, services, tenants)))
}

// Ports of the daemons: below those that the kernel gives to outgoing connections.
const (
	firstPort = 12000
	portCount = 20000
)

// freePorts returns ports of the loopback address that are free now.
func freePorts(n int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < n; tries++ {
		if tries > 1000 {
			return nil, fmt.Errorf("%w: no free ports", errCannotRun)
		}
		port := firstPort + rand.IntN(portCount)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		l.Close()
		ports = append(ports, port)
	}
	return ports, nil
}

// startDaemons starts daemons as deploy/system.toml says, and waits until they are ready. sections is further text of the
// settings.
func (s *site) startDaemons(fleet []machine, sections string) error {
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	s.temp = temp
	for _, m := range fleet {
		gate, err := s.openGate()
		if err != nil {
			return err
		}
		d := &daemon{
			name: m.name, zone: m.zone, gate: gate, settings: filepath.Join(temp, m.name+".ini"),
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}, Timeout: answerTimeout},
		}
		if err := d.configure(m, sections); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	deadline := time.Now().Add(readyTimeout)
	for i, d := range s.daemons {
		for !d.isReady() {
			select {
			case <-d.ended:
				// Another process has taken one of its ports meanwhile.
				if err := errors.Join(d.configure(fleet[i], sections), d.start()); err != nil {
					return err
				}
			default:
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errCannotRun, d.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.note("%d daemons are ready", len(s.daemons))
	return nil
}

// configure writes the daemon's settings, with ports that are free now.
func (d *daemon) configure(m machine, sections string) error {
	ports, err := freePorts(3)
	if err != nil {
		return err
	}
	d.callers, d.checks = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	settings := fmt.Sprintf("[daemon]\nid = %s\nzone = %s\nregion = scot-central\n\n[log]\nlevel = info\njson = true\n\n"+
		"[caller]\nlisten = %s\nchecks = %s\npeers = 127.0.0.1:%d\n\n[store]\naddress = %s\nbootstrap = true\n\n"+
		"[process]\nmemory = 284\nshare = %g\ndescriptors = 4100\n\n[shutdown]\ngrace = 6s\n\n[extra]\nratio = 0.2\nslack = 54\nwindow = 10s\n\n%s",
		d.name, m.zone, d.callers, d.checks, ports[2], d.gate.addr, m.share, sections)
	return os.WriteFile(d.settings, []byte(settings), 0o600)
}

// start starts the daemon's process.
func (d *daemon) start() error {
	logs, err := os.OpenFile(strings.TrimSuffix(d.settings, ".ini")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd, ended := exec.Command("target/cornelwood", "entry", "--settings", d.settings), make(chan struct{})
	cmd.Env = append(os.Environ(), "CORNELWOOD_CONFIG="+d.settings)
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = cmd.Wait()
		logs.Close()
		close(ended)
	}()
	d.cmd, d.ended = cmd, ended
	return nil
}

// restart kills the process and starts it again after a pause, as the platform does.
func (d *daemon) restart(pause time.Duration) error {
	_ = d.cmd.Process.Kill()
	<-d.ended
	time.Sleep(pause)
	return d.start()
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.checks + "/cornelwood/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// request sends one request of a client through a daemon and records what came of it.
func (s *site) request(d *daemon, path, key string) *sent {
	r := &sent{id: fmt.Sprintf("%016x", s.idBase+s.count.Add(1)), machine: d.name, path: path}
	s.mu.Lock()
	s.sent = append(s.sent, r)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.callers+path, nil)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set(headerID, r.id)
	req.Header.Set(headerDeadline, "1200")
	if key != "" {
		req.Header.Set(headerKey, key)
	}
	at := time.Now()
	s.mu.Lock()
	r.at = at
	s.mu.Unlock()
	resp, err := d.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	r.answeredAt = now
	if err != nil {
		r.err = "no whole answer"
		return r
	}
	r.status, r.stamp, r.leaving = resp.StatusCode, resp.Header.Get(headerStamp), resp.Header.Get(headerLeaving) == "1"
	return r
}

// traffic sends requests through every daemon, perSecond at each, until the returned function is called, which waits for
// the answers.
func (s *site) traffic(perSecond float64, path, key string) func() {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, d := range s.daemons {
		wg.Go(func() {
			tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer tick.Stop()
			for {
				select {
				case <-done:
					return
				case <-tick.C:
					wg.Go(func() { s.request(d, path, key) })
				}
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// searcher is a stand-in of a searcher. It behaves as the users' pages say: it runs only requests that expect it, echoes
// their id and signs its answers.
type searcher struct {
	s                 *site
	id, service, zone string
	addr              string
	work              time.Duration
	answer            int
	body              []byte

	mu       sync.Mutex
	srv      *http.Server
	born     int64
	state    string
	sequence int
	// crashes is true when the searcher ends under too much load while it is cold, coldRuns when it got requests then.
	crashes  bool
	coldRuns []time.Time
	coldTill time.Time
	isUp     bool
	// isSilent is true once the searcher writes no more check-ins.
	isSilent bool
	// ended is closed at the end of the process.
	ended chan struct{}
}

func (s *site) addSearcher(id, service, zone string, work time.Duration) (*searcher, error) {
	p := &searcher{s: s, id: id, service: service, zone: zone, work: work, answer: http.StatusOK, body: []byte(id + "/0123456789abcdef"), state: "ready"}
	s.searchers[id] = p
	if err := p.startProcess(); err != nil {
		return nil, err
	}
	s.stop = append(s.stop, p.kill)
	return p, nil
}

// startProcess begins a lifetime: the searcher writes its entry, and then listens. It listens at its former address if it had one.
func (p *searcher) startProcess() error {
	addr := p.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	var lis net.Listener
	var err error
	for range 50 {
		if lis, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.addr, p.born, p.sequence, p.isUp, p.state = lis.Addr().String(), time.Now().UnixMilli(), 0, true, "ready"
	if len(p.s.daemons) > 0 {
		// It starts during traffic.
		p.coldTill = time.Now().Add(coldTime)
	}
	p.srv = &http.Server{Handler: http.HandlerFunc(p.serve)}
	p.ended = make(chan struct{})
	srv, ended := p.srv, p.ended
	p.mu.Unlock()
	p.beat()
	go func() { _ = srv.Serve(lis) }()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-ended:
				return
			case <-tick.C:
				p.beat()
			}
		}
	}()
	return nil
}

// kill ends the process: its connections are reset or closed, and it writes nothing.
func (p *searcher) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isUp {
		return
	}
	p.isUp = false
	close(p.ended)
	_ = p.srv.Close()
}

// entry returns what the searcher writes about itself now, with and without the sequence.
func (p *searcher) entry() (whole json.RawMessage, bare string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fields := map[string]any{
		"service": p.service, "address": p.addr, "zone": p.zone, "version": "v1", "slots": searcherSlots, "state": p.state,
		"warmup_left_ms": max(0, time.Until(p.coldTill).Milliseconds()), "born": p.born,
	}
	raw, _ := json.Marshal(fields)
	p.sequence++
	fields["sequence"] = p.sequence
	whole, _ = json.Marshal(fields)
	return whole, string(raw)
}

// beat writes the entry. In the store, an entry changes when more than its sequence does.
func (p *searcher) beat() {
	p.mu.Lock()
	speaks := p.isUp && !p.isSilent
	p.mu.Unlock()
	if !speaks {
		return
	}
	whole, bare := p.entry()
	current, ok := p.s.store.Get(kindSearchers, p.id)
	if ok && withoutSequence(current.Spec) == bare {
		return
	}
	p.s.store.Set(kindSearchers, p.id, whole)
}

// withoutSequence returns an entry without its sequence.
func withoutSequence(spec json.RawMessage) string {
	fields := make(map[string]json.RawMessage)
	if json.Unmarshal(spec, &fields) != nil {
		return ""
	}
	delete(fields, "sequence")
	raw, _ := json.Marshal(fields)
	return string(raw)
}

// drain reports that the searcher leaves, in the store and in all its answers.
func (p *searcher) drain() {
	p.mu.Lock()
	p.state = "draining"
	p.mu.Unlock()
	p.beat()
}

func (p *searcher) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(headerInstance, p.id)
	h.Set(headerID, r.Header.Get(headerID))
	p.mu.Lock()
	if p.state == "draining" {
		h.Set(headerLeaving, "1")
	}
	p.mu.Unlock()
	if r.Header.Get(headerExpected) != p.id {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.s.mu.Lock()
	p.s.runs = append(p.s.runs, run{id: r.Header.Get(headerID), searcher: p.id, service: p.service, path: r.URL.Path, at: time.Now()})
	p.s.mu.Unlock()
	p.countCold(time.Now())
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		return
	}
	h.Set(headerStamp, p.id+"."+r.Header.Get(headerID))
	h.Set("Content-Length", strconv.Itoa(len(p.body)))
	w.WriteHeader(p.answer)
	_, _ = w.Write(p.body)
}

// addService adds one searcher of a service in each zone.
func (s *site) addService(service string, each int, work time.Duration) error {
	for _, z := range zones {
		for i := range each {
			if _, err := s.addSearcher(fmt.Sprintf("%si-%s-%s-%d", s.prefix, service, z.name, i+1), service, z.name, work); err != nil {
				return err
			}
		}
	}
	return nil
}

func route(name, prefix, target string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"kind":"idempotent","timeout_ms":1200,"goal_ms":120,"priority":1,"attempts":2,%s}`, name, host, prefix, target)
}

func service(name string) string {
	return fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":31,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":0.0}`, name)
}

// snapshot returns copies of what was sent and run.
func (s *site) snapshot() (map[string]sent, []run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byID := make(map[string]sent, len(s.sent))
	for _, r := range s.sent {
		byID[r.id] = *r
	}
	return byID, append([]run(nil), s.runs...)
}

// playRoute: another writer replaces the entry of one searcher of "bookings" by one that lacks fields and names "till".
func playRoute(s *site) (bool, error) {
	s.startStore()
	s.declare(1, "["+route("r1", "/till/", `"service":"till"`)+","+route("r2", "/book/", `"service":"bookings"`)+"]",
		"["+service("till")+","+service("bookings")+"]", "")
	if err := errors.Join(s.addService("till", 1, 5*time.Millisecond), s.addService("bookings", 1, 5*time.Millisecond)); err != nil {
		return false, err
	}
	if err := s.startDaemons(smallFleet(), ""); err != nil {
		return false, err
	}
	stop1, stop2 := s.traffic(15, "/till/1", ""), s.traffic(5, "/book/1", "")
	time.Sleep(6 * time.Second)
	victim := s.searchers["i-bookings-glasgow-1"]
	if s.trouble {
		// Lacks version, slots, warmup_left_ms and sequence.
		s.store.Set(kindSearchers, victim.id, json.RawMessage(fmt.Sprintf(`{"service":"till","address":%q,"zone":%q,"state":"ready"}`, victim.addr, victim.zone)))
		s.note("another writer wrote servers/%s without version, slots, warmup_left_ms and sequence, as of service till", victim.id)
	}
	time.Sleep(6 * time.Second)
	stop1()
	stop2()
	byID, runs := s.snapshot()
	foreign, answered := 0, 0
	for _, r := range runs {
		if strings.HasPrefix(r.path, "/till/") && r.service != "till" {
			foreign++
			if a := byID[r.id]; a.status == http.StatusOK && strings.HasPrefix(a.stamp, r.searcher+".") {
				answered++
			}
		}
	}
	s.note("%d requests sent, %d runs; requests of /till/ run by a searcher of bookings: %d, of which clients got its answer as a success: %d", len(byID), len(runs), foreign, answered)
	return foreign > 0, nil
}

// playDrain: a write of a searcher's former process is applied some seconds late, after the searcher has started again under
// its id and leaves.
func playDrain(s *site) (bool, error) {
	s.startStore()
	s.declare(1, "["+route("r1", "/till/", `"service":"till"`)+"]", "["+service("till")+"]", "")
	if err := s.addService("till", 1, time.Millisecond); err != nil {
		return false, err
	}
	if err := s.startDaemons(smallFleet(), ""); err != nil {
		return false, err
	}
	stop := s.traffic(40, "/till/1", "")
	time.Sleep(6 * time.Second)
	p := s.searchers["i-till-glasgow-1"]
	late, _ := p.entry()
	lateFrom := time.Now()
	s.note("%s sends a check-in that gets no response, and is killed: %s", p.id, late)
	p.kill()
	time.Sleep(300 * time.Millisecond)
	if err := p.startProcess(); err != nil {
		return false, err
	}
	s.note("%s has started again under its id", p.id)
	time.Sleep(time.Until(lateFrom.Add(2300 * time.Millisecond)))
	p.drain()
	drainAt := time.Now()
	s.note("%s reports draining, and says Server-Leaving in its answers", p.id)
	time.Sleep(time.Until(lateFrom.Add(5300 * time.Millisecond)))
	if s.trouble {
		s.store.Set(kindSearchers, p.id, late)
		s.note("the store executes the check-in of the former process, 5.3 s after it was sent")
	}
	time.Sleep(4 * time.Second)
	stop()
	byID, runs := s.snapshot()
	// passedOn holds when each machine first passed on an answer with Server-Leaving.
	passedOn := make(map[string]time.Time)
	for _, a := range byID {
		if a.leaving && strings.HasPrefix(a.stamp, p.id+".") {
			if at, ok := passedOn[a.machine]; !ok || a.answeredAt.Before(at) {
				passedOn[a.machine] = a.answeredAt
			}
		}
	}
	broken, afterDrain := 0, 0
	machines := make(map[string]bool)
	for _, r := range runs {
		if r.searcher != p.id {
			continue
		}
		if r.at.After(drainAt.Add(drainTime)) {
			afterDrain++
		}
		a := byID[r.id]
		if at, ok := passedOn[a.machine]; ok && a.at.After(at.Add(drainTime)) {
			broken++
			machines[a.machine] = true
		}
	}
	s.note("requests that reached %s later than drain_ms after the store had acknowledged that it drains: %d; machines that had passed on an answer with Server-Leaving: %d of %d, requests from them later than drain_ms after that: %d, by %d machines",
		p.id, afterDrain, len(passedOn), len(s.daemons), broken, len(machines))
	return afterDrain > 0 || broken > 0, nil
}

// playQuota: a tenant sends many times its usual, and the searchers answer that the record does not exist.
func playQuota(s *site) (bool, error) {
	const key, rate, burst = "k-1", 40.0, 40.0
	const usual, hot = rate / 1.6, 7.5 * rate / 1.6
	s.startStore()
	s.declare(1, "["+route("r1", "/till/", `"service":"till"`)+"]", "["+service("till")+"]",
		fmt.Sprintf(`[{"name":"carrier","api_keys":[%q],"rate_per_s":%g,"burst":%g}]`, key, rate, burst))
	if err := s.addService("till", 3, 5*time.Millisecond); err != nil {
		return false, err
	}
	answer := http.StatusNotFound
	if os.Getenv("ANSWER") == "200" {
		answer = http.StatusOK
	}
	for _, p := range s.searchers {
		p.answer = answer
	}
	if err := s.startDaemons(smallFleet(), "[account]\nstrict = true\nrevoke = 5000ms\n\n[allotment]\nwindow = 5s\noverage = 0.1\nslack = 20\n"); err != nil {
		return false, err
	}
	s.note("searchers answer %d", answer)
	per := float64(len(s.daemons))
	stop := s.traffic(usual/per, "/till/1", key)
	time.Sleep(12 * time.Second)
	if s.trouble {
		stop()
		s.note("the tenant sends 7.5 times its usual for 6.5 s")
		stop = s.traffic(hot/per, "/till/1", key)
		time.Sleep(6500 * time.Millisecond)
		stop()
		s.note("the tenant sends its usual again")
		stop = s.traffic(usual/per, "/till/1", key)
	} else {
		time.Sleep(6500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	stop()
	byID, runs := s.snapshot()
	bound := (rate*accountWindow.Seconds()+burst)*(1+accountOverage) + accountSlack
	// A request counts in a window if it was sent and first reached a searcher within it.
	first := make(map[string]time.Time)
	for _, r := range runs {
		if at, ok := first[r.id]; !ok || r.at.Before(at) {
			first[r.id] = r.at
		}
	}
	type span struct{ sent, ran time.Time }
	var spans []span
	for id, at := range first {
		spans = append(spans, span{byID[id].at, at})
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].ran.Before(spans[j].ran) })
	most := 0
	for _, from := range spans {
		n := 0
		for _, x := range spans {
			if !x.sent.Before(from.sent) && x.ran.Sub(from.sent) <= accountWindow {
				n++
			}
		}
		most = max(most, n)
	}
	statuses := make(map[int]int)
	for _, a := range byID {
		statuses[a.status]++
	}
	s.note("%d requests sent, answers by status %v; most requests sent and run in a window of 5 s: %d, bound %.0f", len(byID), statuses, most, bound)
	return float64(most) > bound, nil
}

// playLost plays several deployments side by side, since the fault depends on the moment at which daemons ask each other.
func playLost(s *site) (bool, error) {
	const deployments = 11
	broken := make([]bool, deployments)
	errs := make([]error, deployments)
	var wg sync.WaitGroup
	for i := range deployments {
		sub := &site{
			dir: s.dir, start: s.start, trouble: s.trouble, searchers: make(map[string]*searcher),
			prefix: fmt.Sprintf("d%d-", i), idBase: int64(i) << 48,
		}
		wg.Go(func() {
			defer func() {
				sub.end()
				s.mu.Lock()
				defer s.mu.Unlock()
				s.notes = append(s.notes, sub.notes...)
				s.addRecord(sub)
			}()
			broken[i], errs[i] = playLostOne(sub)
		})
	}
	wg.Wait()
	n := 0
	for _, b := range broken {
		if b {
			n++
		}
	}
	s.note("deployments in which the rule was broken: %d of %d", n, deployments)
	return n > 0, errors.Join(errs...)
}

// addRecord adds the runs at searchers that were added later, and their requests, to the record, and the number of the others.
func (s *site) addRecord(sub *site) {
	byID := make(map[string]*sent, len(sub.sent))
	for _, r := range sub.sent {
		byID[r.id] = r
	}
	others := 0
	for _, r := range sub.runs {
		if !strings.Contains(r.searcher, "-new-") {
			others++
			continue
		}
		s.runs = append(s.runs, r)
		if a := byID[r.id]; a != nil {
			s.sent = append(s.sent, a)
			delete(byID, r.id)
		}
	}
	s.notes = append(s.notes, fmt.Sprintf("          %s%d requests were sent; %d runs at the other searchers are not recorded", sub.prefix, len(sub.sent), others))
}

// playLostOne: the store turns one machine away while the other two are stopped and started again, and searchers that were added a
// moment ago are taken away.
func playLostOne(s *site) (bool, error) {
	const (
		period, settle = 11500 * time.Millisecond, 4 * time.Second
		batch          = 14
	)
	const periods = 8
	s.startStore()
	s.declare(1, "["+route("r1", "/till/", `"service":"till"`)+"]", "["+service("till")+"]", "")
	if err := s.addService("till", 1, time.Millisecond); err != nil {
		return false, err
	}
	fleet := []machine{{s.prefix + "front-glasgow-1", "glasgow", 0.8}, {s.prefix + "front-edinburgh-1", "edinburgh", 0.6}, {s.prefix + "front-dundee-1", "dundee", 0.4}}
	if err := s.startDaemons(fleet, ""); err != nil {
		return false, err
	}
	q, p, r := s.daemons[0], s.daemons[1], s.daemons[2]
	removed := make(map[string]time.Time)
	// judged holds from when and until when the machine q is in touch, by searcher.
	type span struct{ from, to time.Time }
	judged := make(map[string]span)
	stop := s.traffic(60, "/till/1", "")
	time.Sleep(5 * time.Second)
	for n := range periods {
		from := time.Now()
		at := func(seconds float64) { time.Sleep(time.Until(from.Add(time.Duration(seconds * float64(time.Second))))) }
		var wg sync.WaitGroup
		if s.trouble {
			p.gate.turnedAway.Store(true)
			s.note("period %d: the store turns %s away", n, p.name)
			at(0.5)
			if err := r.restart(400 * time.Millisecond); err != nil {
				return false, err
			}
			at(2.2)
			if err := q.restart(400 * time.Millisecond); err != nil {
				return false, err
			}
			s.note("%s and %s were killed and have been started again", r.name, q.name)
			wg.Go(func() {
				at(2.8)
				_ = r.cmd.Process.Signal(syscall.SIGTERM)
				s.note("%s gets SIGTERM", r.name)
				<-r.ended
				time.Sleep(500 * time.Millisecond)
				_ = r.start()
			})
		}
		at(2.9)
		var added []*searcher
		for i := range batch {
			at(2.9 + 0.02*float64(i))
			x, err := s.addSearcher(fmt.Sprintf("%si-till-new-%d-%d", s.prefix, n, i), "till", "glasgow", time.Millisecond)
			if err != nil {
				return false, err
			}
			added = append(added, x)
		}
		for i, x := range added {
			at(3.6 + 0.1*float64(i))
			x.leaveUnsaid()
			removed[x.id] = time.Now()
		}
		s.note("%d searchers were added, and their entries removed again; they serve on", batch)
		at(6.9)
		if s.trouble {
			p.gate.turnedAway.Store(false)
			s.note("the store serves all machines again")
		}
		wg.Wait()
		at(6.9 + settle.Seconds())
		for _, x := range added {
			judged[x.id] = span{time.Now(), from.Add(period)}
		}
		at(period.Seconds())
		for _, x := range added {
			x.kill()
		}
	}
	stop()
	byID, runs := s.snapshot()
	late := 0
	kept := make(map[string]int)
	for _, x := range runs {
		at, ok := removed[x.searcher]
		a := byID[x.id]
		if !ok || a.machine != q.name || !x.at.After(at.Add(drainTime)) || a.at.Before(judged[x.searcher].from) || x.at.After(judged[x.searcher].to) {
			continue
		}
		late++
		kept[x.searcher]++
	}
	for id, n := range kept {
		s.note("%s sent %d requests to %s later than 7 s after its entry had been removed", q.name, n, id)
	}
	s.note("%d searchers were added and removed; requests sent to them by a machine in touch later than drain_ms after that: %d, at %d searchers", len(removed), late, len(kept))
	return late > 0, nil
}

// leaveUnsaid removes the searcher's entry, without a report that it drains; it serves on.
func (p *searcher) leaveUnsaid() {
	p.mu.Lock()
	p.isSilent = true
	p.mu.Unlock()
	p.s.store.Delete(kindSearchers, p.id)
}

// playHang: a crowd of clients sends requests and does not read the answers.
func playHang(s *site) (bool, error) {
	// The most connections that a daemon with these settings accepts is 1,038.
	const crowd, perConn, bodyBytes = 1100, 40, 18000
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 3000 {
		return false, fmt.Errorf("%w: too few descriptors", errCannotRun)
	}
	s.startStore()
	s.declare(1, "["+route("r1", "/till/", `"service":"till"`)+"]", "["+service("till")+"]", "")
	if err := s.addService("till", 3, time.Millisecond); err != nil {
		return false, err
	}
	for _, p := range s.searchers {
		p.body = []byte(strings.Repeat("x", bodyBytes))
	}
	if err := s.startDaemons(smallFleet(), ""); err != nil {
		return false, err
	}
	d := s.daemons[0]
	ordinary := func() *sent {
		c := *d
		c.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 3 * time.Second}
		return s.request(&c, "/till/1", "")
	}
	if r := ordinary(); r.status != http.StatusOK {
		return false, fmt.Errorf("%w: an ordinary request was answered %d before the crowd", errCannotRun, r.status)
	}
	dialer := net.Dialer{Timeout: 2 * time.Second, Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		})
	}}
	var conns []net.Conn
	var mu sync.Mutex
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	var wg sync.WaitGroup
	// Clients arrive over some seconds, so that most requests find room at the searchers.
	for i := range crowd {
		time.Sleep(10 * time.Millisecond)
		wg.Go(func() {
			c, err := dialer.Dial("tcp", d.callers)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			n := 1
			if s.trouble {
				n = perConn
			}
			for k := range n {
				id := fmt.Sprintf("c%07x%08x", i, k)
				if _, err := fmt.Fprintf(c, "GET /till/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1200\r\n\r\n", host, headerID, id, headerDeadline); err != nil {
					return
				}
			}
			if !s.trouble {
				// The answer is read, and the connection kept.
				buf := make([]byte, 4096)
				total := 0
				for total < bodyBytes {
					m, err := c.Read(buf)
					if err != nil {
						return
					}
					total += m
				}
			}
		})
	}
	wg.Wait()
	s.note("the crowd has opened %d connections to %s", len(conns), d.name)
	time.Sleep(5 * time.Second)
	var answered, asked int
	from := time.Now()
	for time.Since(from) < 25*time.Second {
		asked++
		if r := ordinary(); r.status != 0 {
			answered++
		}
		time.Sleep(500 * time.Millisecond)
	}
	isUp := true
	select {
	case <-d.ended:
		isUp = false
	default:
	}
	s.note("ordinary requests on new connections over 25 s: %d, answered with any status: %d; the process runs: %t, its readiness check passes: %t", asked, answered, isUp, d.isReady())
	return answered == 0, nil
}

const (
	// coldPerS is the rate that a cold searcher tolerates, crashRate the number of requests in one second at which it ends.
	coldPerS  = 8.0
	crashRate = 30
)

// mostInSecond returns the most requests that were sent and arrived at a searcher within one second of a span.
func mostInSecond(byID map[string]sent, runs []run, id string, from, to time.Time) int {
	most := 0
	for i, x := range runs {
		if x.searcher != id || x.at.Before(from) || x.at.After(to) {
			continue
		}
		sentFrom, n := byID[x.id].at, 0
		for _, y := range runs[i:] {
			if y.searcher == id && !byID[y.id].at.Before(sentFrom) && y.at.Sub(sentFrom) <= time.Second && !y.at.After(to) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// playCold: the store is down, all daemons are killed and start again, and the searchers are cold when the store is back.
func playCold(s *site) (bool, error) {
	const rounds = 7
	s.startStore()
	s.declare(1, "["+route("r1", "/till/", `"service":"till"`)+","+strings.Replace(route("r2", "/book/", `"service":"till"`), `"idempotent"`, `"non_idempotent"`, 1)+"]",
		strings.Replace("["+service("till")+"]", `"cold_per_s":0.0`, fmt.Sprintf(`"cold_per_s":%g`, coldPerS), 1), "")
	if err := s.addService("till", 1, 150*time.Millisecond); err != nil {
		return false, err
	}
	if err := s.startDaemons(smallFleet(), ""); err != nil {
		return false, err
	}
	stop1, stop2 := s.traffic(20, "/till/1", ""), s.traffic(10, "/book/1", "")
	time.Sleep(5 * time.Second)
	most, crashes, brokenRounds := 0, 0, 0
	for n := range rounds {
		if s.trouble {
			down := time.Now()
			for _, d := range s.daemons {
				d.gate.turnedAway.Store(true)
			}
			time.Sleep(300 * time.Millisecond)
			var wg sync.WaitGroup
			for _, d := range s.daemons {
				wg.Go(func() { _ = d.restart(500 * time.Millisecond) })
			}
			wg.Wait()
			s.note("round %d: the store is down, all daemons were killed and have been started again", n)
			time.Sleep(time.Until(down.Add(4300 * time.Millisecond)))
		}
		from := time.Now()
		if s.trouble {
			for _, p := range s.searchers {
				p.turnCold()
			}
			for _, d := range s.daemons {
				d.gate.turnedAway.Store(false)
			}
			s.note("round %d: the store is back; the searchers are cold and their entries say so", n)
		}
		time.Sleep(coldTime)
		byID, runs := s.snapshot()
		inRound := 0
		for id := range s.searchers {
			inRound = max(inRound, mostInSecond(byID, runs, id, from, from.Add(coldTime)))
		}
		if float64(inRound) > coldPerS*coldOverage+coldSlack && s.trouble {
			brokenRounds++
		}
		if s.trouble {
			most = max(most, inRound)
		}
		for _, p := range s.searchers {
			if p.hasCrashed() {
				crashes++
				if err := p.startProcess(); err != nil {
					return false, err
				}
			}
		}
		time.Sleep(4 * time.Second)
	}
	stop1()
	stop2()
	byID, runs := s.snapshot()
	ran := make(map[string]bool)
	for _, x := range runs {
		ran[x.id] = true
	}
	lost := 0
	for id, a := range byID {
		if a.path == "/book/1" && ran[id] && a.status == http.StatusBadGateway {
			lost++
		}
	}
	s.note("most requests in one second at a cold searcher: %d, bound %g, above it in %d of %d rounds; searchers that crashed: %d; requests that must run once, were accepted and lost with 502: %d",
		most, coldPerS*coldOverage+coldSlack, brokenRounds, rounds, crashes, lost)
	return float64(most) > coldPerS*coldOverage+coldSlack, nil
}

// turnCold makes the searcher cold, and writes that to its entry.
func (p *searcher) turnCold() {
	p.mu.Lock()
	p.coldTill, p.coldRuns = time.Now().Add(coldTime), nil
	p.crashes = true
	p.mu.Unlock()
	p.beat()
}

// countCold counts a request and ends the process if a cold searcher gets far more than it tolerates.
func (p *searcher) countCold(now time.Time) {
	p.mu.Lock()
	if !p.crashes || !now.Before(p.coldTill) {
		p.mu.Unlock()
		return
	}
	p.coldRuns = append(p.coldRuns, now)
	n := 0
	for _, at := range p.coldRuns {
		if now.Sub(at) <= time.Second {
			n++
		}
	}
	crash := n >= crashRate && p.isUp
	p.mu.Unlock()
	if crash {
		p.s.note("%s crashes at %d requests in a second", p.id, n)
		p.kill()
	}
}

func (p *searcher) hasCrashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isUp
}
