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
	searcherSlots  = 3
	searcherWarmMS = 3000
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
	storeAddr string
	daemons   []*daemon
	searchers map[string]*searcher

	mu    sync.Mutex
	sent  []*sent
	runs  []run
	notes []string
	count atomic.Int64
	stop  []func()
}

// daemon is one process of the project.
type daemon struct {
	name, zone, callers, checks string
	cmd                         *exec.Cmd
	ended                       chan struct{}
	client                      *http.Client
}

var errCannotRun = errors.New("the case cannot run")

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: player2 CASE DIR")
		os.Exit(2)
	}
	cases := map[string]func(*site) (bool, error){
		"route": playRoute, "hang": playHang, "drain": playDrain, "quota": playQuota, "cold": playCold,
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
	line := fmt.Sprintf("%8.3f  %s", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
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

// startStore serves the platform's store: the project's own stand-in.
func (s *site) startStore() error {
	s.store = keeper.NewMemoryStore()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.storeAddr = lis.Addr().String()
	srv := &http.Server{Handler: s.store}
	go func() { _ = srv.Serve(lis) }()
	s.stop = append(s.stop, func() { _ = srv.Close() })
	return nil
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

// freePorts returns ports of the loopback address that are free now.
func freePorts(n int) ([]int, error) {
	var ports []int
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startDaemons starts the daemons of a small deployment, as deploy/system.toml says, and waits until they are ready.
// sections is further text of the settings.
func (s *site) startDaemons(sections string) error {
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	s.temp = temp
	for _, z := range zones {
		for i := range z.daemons {
			ports, err := freePorts(3)
			if err != nil {
				return err
			}
			d := &daemon{
				name: fmt.Sprintf("front-%s-%d", z.name, i+1), zone: z.name, ended: make(chan struct{}),
				callers: fmt.Sprintf("127.0.0.1:%d", ports[0]), checks: fmt.Sprintf("127.0.0.1:%d", ports[1]),
			}
			settings := fmt.Sprintf("[daemon]\nid = %s\nzone = %s\nregion = scot-central\n\n[log]\nlevel = info\njson = true\n\n"+
				"[caller]\nlisten = %s\nchecks = %s\npeers = 127.0.0.1:%d\n\n[store]\naddress = %s\nbootstrap = true\n\n"+
				"[process]\nmemory = 284\nshare = 0.4\ndescriptors = 4100\n\n[shutdown]\ngrace = 6s\n\n[extra]\nratio = 0.2\nslack = 54\nwindow = 10s\n\n%s",
				d.name, z.name, d.callers, d.checks, ports[2], s.storeAddr, sections)
			path := filepath.Join(temp, d.name+".ini")
			if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
				return err
			}
			logs, err := os.Create(filepath.Join(temp, d.name+".log"))
			if err != nil {
				return err
			}
			d.cmd = exec.Command("target/cornelwood", "entry", "--settings", path)
			d.cmd.Env = append(os.Environ(), "CORNELWOOD_CONFIG="+path)
			d.cmd.Stdout, d.cmd.Stderr = logs, logs
			d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			if err := d.cmd.Start(); err != nil {
				return err
			}
			go func() {
				_ = d.cmd.Wait()
				logs.Close()
				close(d.ended)
			}()
			d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}, Timeout: answerTimeout}
			s.daemons = append(s.daemons, d)
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, d := range s.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errCannotRun, d.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.note("%d daemons are ready", len(s.daemons))
	return nil
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
	r := &sent{id: fmt.Sprintf("%016x", 0x1000+s.count.Add(1)), machine: d.name, path: path}
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
	coldTill time.Time
	isUp     bool
	// ended is closed at the end of the process.
	ended chan struct{}
}

func (s *site) addSearcher(id, service, zone string, work time.Duration) (*searcher, error) {
	p := &searcher{s: s, id: id, service: service, zone: zone, work: work, answer: http.StatusOK, body: []byte(id + "/0123456789abcdef"), state: "ready"}
	s.searchers[id] = p
	if err := p.startProcess(0); err != nil {
		return nil, err
	}
	s.stop = append(s.stop, p.kill)
	return p, nil
}

// startProcess begins a lifetime: the searcher writes its entry, and then listens. It listens at its former address if it had one.
func (p *searcher) startProcess(cold time.Duration) error {
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
	p.coldTill = time.Now().Add(cold)
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

// entry returns what the searcher writes about itself now.
func (p *searcher) entry() json.RawMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	raw, _ := json.Marshal(map[string]any{
		"service": p.service, "address": p.addr, "zone": p.zone, "version": "v1", "slots": searcherSlots, "state": p.state,
		"warmup_left_ms": max(0, time.Until(p.coldTill).Milliseconds()), "sequence": p.sequence, "born": p.born,
	})
	return raw
}

// beat writes the entry.
func (p *searcher) beat() {
	p.mu.Lock()
	isUp := p.isUp
	p.mu.Unlock()
	if isUp {
		p.s.store.Set(kindSearchers, p.id, p.entry())
	}
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
			if _, err := s.addSearcher(fmt.Sprintf("i-%s-%s-%d", service, z.name, i+1), service, z.name, work); err != nil {
				return err
			}
		}
	}
	return nil
}

func route(name, prefix, target string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"kind":"idempotent","timeout_ms":1200,"goal_ms":120,"priority":1,"attempts":2,%s}`, name, host, prefix, target)
}

func service(name string, coldPerS float64) string {
	return fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":31,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":%g}`, name, coldPerS)
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
	if err := s.startStore(); err != nil {
		return false, err
	}
	s.declare(1, "["+route("r1", "/till/", `"service":"till"`)+","+route("r2", "/book/", `"service":"bookings"`)+"]",
		"["+service("till", 0)+","+service("bookings", 0)+"]", "")
	if err := errors.Join(s.addService("till", 1, 5*time.Millisecond), s.addService("bookings", 1, 5*time.Millisecond)); err != nil {
		return false, err
	}
	if err := s.startDaemons(""); err != nil {
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
	if err := s.startStore(); err != nil {
		return false, err
	}
	s.declare(1, "["+route("r1", "/till/", `"service":"till"`)+"]", "["+service("till", 0)+"]", "")
	if err := s.addService("till", 1, time.Millisecond); err != nil {
		return false, err
	}
	if err := s.startDaemons(""); err != nil {
		return false, err
	}
	stop := s.traffic(40, "/till/1", "")
	time.Sleep(6 * time.Second)
	p := s.searchers["i-till-glasgow-1"]
	late, lateFrom := p.entry(), time.Now()
	s.note("%s sends a check-in that gets no response, and is killed: %s", p.id, late)
	p.kill()
	time.Sleep(300 * time.Millisecond)
	if err := p.startProcess(0); err != nil {
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
	s.note("machines that passed on Server-Leaving: %d of %d; requests sent later than drain_ms after that which reached the searcher from that machine: %d, by %d machines; runs there later than drain_ms after it reported draining: %d",
		len(passedOn), len(s.daemons), broken, len(machines), afterDrain)
	if len(passedOn) == 0 {
		return false, fmt.Errorf("%w: no machine passed on an answer with Server-Leaving", errCannotRun)
	}
	return broken > 0, nil
}

// playQuota: a tenant sends many times its usual, and the searchers answer that the record does not exist.
func playQuota(s *site) (bool, error) {
	const key, rate, burst = "k-1", 40.0, 40.0
	const usual, hot = rate / 1.6, 7.5 * rate / 1.6
	if err := s.startStore(); err != nil {
		return false, err
	}
	s.declare(1, "["+route("r1", "/till/", `"service":"till"`)+"]", "["+service("till", 0)+"]",
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
	if err := s.startDaemons("[account]\nstrict = true\nrevoke = 5000ms\n\n[allotment]\nwindow = 5s\noverage = 0.1\nslack = 20\n"); err != nil {
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

// playCold: a searcher ends and starts again under its id, cold.
func playCold(s *site) (bool, error) {
	const coldPerS = 10.0
	if err := s.startStore(); err != nil {
		return false, err
	}
	s.declare(1, "["+route("r1", "/till/", `"service":"till"`)+"]", "["+service("till", coldPerS)+"]", "")
	if err := s.addService("till", 1, 15*time.Millisecond); err != nil {
		return false, err
	}
	if err := s.startDaemons(""); err != nil {
		return false, err
	}
	stop := s.traffic(25, "/till/1", "")
	time.Sleep(6 * time.Second)
	p := s.searchers["i-till-glasgow-1"]
	var coldFrom, coldUntil time.Time
	if s.trouble {
		p.kill()
		s.note("%s is killed", p.id)
		time.Sleep(time.Second)
		coldFrom = time.Now()
		if err := p.startProcess(searcherWarmMS * time.Millisecond); err != nil {
			return false, err
		}
		coldUntil = coldFrom.Add(searcherWarmMS * time.Millisecond)
		s.note("%s has written its entry and listens, cold for %d ms", p.id, searcherWarmMS)
	}
	time.Sleep(6 * time.Second)
	stop()
	byID, runs := s.snapshot()
	bound := coldPerS*coldOverage + coldSlack
	most := 0
	for i, from := range runs {
		if from.searcher != p.id || from.at.Before(coldFrom) || from.at.After(coldUntil) {
			continue
		}
		sentFrom := byID[from.id].at
		n := 0
		for _, r := range runs[i:] {
			if r.searcher == p.id && !byID[r.id].at.Before(sentFrom) && r.at.Sub(sentFrom) <= time.Second && !r.at.After(coldUntil) {
				n++
			}
		}
		most = max(most, n)
	}
	s.note("%d requests sent; most requests sent and arrived in one second at the cold searcher: %d, bound %.0f", len(byID), most, bound)
	return float64(most) > bound, nil
}

// playHang: a crowd of clients sends requests and does not read the answers.
func playHang(s *site) (bool, error) {
	// The most connections that a daemon with these settings accepts is 1,038.
	const crowd, perConn, bodyBytes = 1100, 40, 18000
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 3000 {
		return false, fmt.Errorf("%w: too few descriptors", errCannotRun)
	}
	if err := s.startStore(); err != nil {
		return false, err
	}
	s.declare(1, "["+route("r1", "/till/", `"service":"till"`)+"]", "["+service("till", 0)+"]", "")
	if err := s.addService("till", 3, time.Millisecond); err != nil {
		return false, err
	}
	for _, p := range s.searchers {
		p.body = []byte(strings.Repeat("x", bodyBytes))
	}
	if err := s.startDaemons(""); err != nil {
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
