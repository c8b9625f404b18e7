package main_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cornelwood.example/internal/cli/requester"
	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/reconciler"
	"cornelwood.example/internal/fault/blocker"
)

// Times that tests wait at most; a slow machine needs them, a fast one does not
// use them up.
const (
	startWait = 60 * time.Second
	stopWait  = 30 * time.Second
	poll      = 20 * time.Millisecond
)

// daemon is a daemon's process and its addresses.
type daemon struct {
	*process
	id                     string
	zone                   string
	caller, operator, peer string
	settings               string

	// taken is true while a fault keeps the daemon.
	taken atomic.Bool
	// starts counts the daemon's processes.
	starts atomic.Int64
}

// take keeps the daemon for one fault, unless another has it.
func (d *daemon) take() bool {
	return d.taken.CompareAndSwap(false, true)
}

func (d *daemon) free() {
	d.taken.Store(false)
}

// started returns how many processes the daemon has had.
func (d *daemon) started() int64 {
	return d.starts.Load()
}

// site is a whole deployment as separate processes: a platform, one process with
// all searchers, and daemons.
type site struct {
	dir      string
	platform string
	schema   string
	services []declarer.Service
	daemons  []*daemon
	fleet    *process
	store    *process
	options  siteOptions
}

// siteOptions are what tests vary.
type siteOptions struct {
	// zones holds the zone of each daemon.
	zones []string
	// fleet holds further flags of the searchers.
	fleet []string
	// lag is the balancer's lag in the daemons' settings.
	lag string
}

// withSite starts a site of three zones with the services "finder" (4 shards,
// class search) and "roster" (2 shards, class action), each shard with a searcher
// in every zone.
func withSite(t *testing.T, o siteOptions) *site {
	t.Helper()
	if o.zones == nil {
		o.zones = []string{"a", "b", "c"}
	}
	if o.lag == "" {
		o.lag = "50ms"
	}
	s := &site{dir: t.TempDir(), options: o}
	s.store = startProcess(t, "platform", "standin", "platform")
	s.platform = "http://" + strings.TrimPrefix(s.store.line(t), "listening ")
	s.startFleet(t)
	for i, zone := range o.zones {
		s.startDaemon(t, fmt.Sprintf("%s-%d", zone, i+1), zone)
	}
	s.create(t)
	for _, d := range s.daemons {
		s.awaitReady(t, d)
	}
	return s
}

func (s *site) startFleet(t *testing.T) {
	t.Helper()
	services := []declarer.Service{serviceOf("finder", declarer.Search, 4), serviceOf("roster", declarer.Action, 2)}
	var objects []declarer.Object
	for i := range services {
		objects = append(objects, declarer.Object{Key: declarer.Key{Kind: declarer.KindService, Name: services[i].Name}, Service: &services[i]})
	}
	file := filepath.Join(s.dir, "objects.json")
	writeJSON(t, file, objects)
	args := []string{"standin", "fleet", "--objects", file, "--any-port", "--cold-for", "100ms", "--cold-successes", "2", "--mean", "5ms"}
	s.fleet = startProcess(t, "fleet", append(args, s.options.fleet...)...)
	addrs := make(map[string]netip.AddrPort)
	for line := s.fleet.line(t); line != "ready"; line = s.fleet.line(t) {
		var addr, name string
		if _, err := fmt.Sscanf(line, "listening %s %s", &addr, &name); err != nil {
			t.Fatalf("fleet wrote %q", line)
		}
		addrs[name] = netip.MustParseAddrPort(addr)
	}
	for i := range services {
		sv := &services[i]
		for _, sh := range sv.Maps[0].Shards {
			for j := range sh.Replicas {
				sh.Replicas[j].Addr = addrs[sv.Name+"/"+sh.Replicas[j].Name]
			}
		}
	}
	s.services = services
}

func serviceOf(name string, class declarer.Class, shards int) declarer.Service {
	sv := declarer.Service{
		Name: name, Class: class,
		Contract: declarer.Contract{
			Deadline: declarer.Duration{Duration: time.Second},
			Latency:  declarer.Duration{Duration: 120 * time.Millisecond},
			Quantile: 0.99, Coverage: 1, Priority: 5, Hedge: true,
		},
		Capacity: declarer.Capacity{Slots: 3, ColdSlots: 1, Connections: 30},
		Maps:     []declarer.ShardMap{{FromVersion: 1}},
	}
	for sh := range shards {
		one := declarer.Shard{ID: sh}
		for _, z := range []string{"a", "b", "c"} {
			one.Replicas = append(one.Replicas, declarer.Upstream{
				Name: fmt.Sprintf("%s-%d-%s", name, sh, z), Zone: z, Addr: netip.MustParseAddrPort("127.0.0.1:1"),
			})
		}
		sv.Maps[0].Shards = append(sv.Maps[0].Shards, one)
	}
	return sv
}

// startDaemon starts a daemon on free ports.
func (s *site) startDaemon(t *testing.T, id, zone string) *daemon {
	t.Helper()
	d := &daemon{id: id, zone: zone, settings: filepath.Join(s.dir, id+".ini")}
	var seeds []string
	for _, other := range s.daemons {
		seeds = append(seeds, other.peer)
	}
	s.writeSettings(t, d, "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", seeds)
	s.runDaemon(t, d)
	s.daemons = append(s.daemons, d)
	return d
}

// restart starts a daemon that has ended again, on its former addresses.
func (s *site) restart(t *testing.T, d *daemon) {
	t.Helper()
	var seeds []string
	for _, other := range s.daemons {
		if other != d {
			seeds = append(seeds, other.peer)
		}
	}
	s.writeSettings(t, d, d.caller, d.operator, d.peer, seeds)
	s.runDaemon(t, d)
}

// runDaemon starts the daemon's process. Its addresses are set by the first one.
func (s *site) runDaemon(t *testing.T, d *daemon) {
	t.Helper()
	d.starts.Add(1)
	d.process = startProcess(t, d.id, "cornelwood", "daemon", "--settings", d.settings)
	line := d.line(t)
	var caller, operator, peer string
	if _, err := fmt.Sscanf(line, "listening caller=%s operator=%s peer=%s", &caller, &operator, &peer); err != nil {
		t.Fatalf("%s wrote %q", d.id, line)
	}
	if d.caller == "" {
		d.caller, d.operator, d.peer = caller, operator, peer
	}
}

func (s *site) writeSettings(t *testing.T, d *daemon, caller, operator, peer string, seeds []string) {
	t.Helper()
	text := fmt.Sprintf("[daemon]\nid = %s\nzone = %s\nregion = r\n[caller]\nlisten = %s\n[operator]\nlisten = %s\n[peer]\nlisten = %s\nseeds = %s\nfaults = true\n[platform]\nurl = %s\n[shutdown]\nlag = %s\n",
		d.id, d.zone, caller, operator, peer, strings.Join(seeds, ", "), s.platform, s.options.lag)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// create puts zones and services in force with the operator's command.
func (s *site) create(t *testing.T) {
	t.Helper()
	s.schema = filepath.Join(s.dir, "site.schema.ini")
	if err := os.WriteFile(s.schema, []byte(schemaText(s.services)), 0o600); err != nil {
		t.Fatal(err)
	}
	cornelwood(t, "service", "create", "--operator", "http://"+s.daemons[0].operator, "--file", s.schema)
}

func schemaText(services []declarer.Service) string {
	var b strings.Builder
	for _, z := range []string{"a", "b", "c"} {
		fmt.Fprintf(&b, "[zone %s]\nregion = r\n", z)
	}
	for _, sv := range services {
		fmt.Fprintf(&b, "[service %s]\nclass = %s\ndeadline = %s\nslots = 3\nconnections = 30\n", sv.Name, sv.Class, sv.Contract.Deadline)
		for _, sh := range sv.Maps[0].Shards {
			var parts []string
			for _, u := range sh.Replicas {
				parts = append(parts, fmt.Sprintf("%s@%s@%s", u.Name, u.Zone, u.Addr))
			}
			fmt.Fprintf(&b, "shard.%d = %s\n", sh.ID, strings.Join(parts, ", "))
		}
	}
	return b.String()
}

// cornelwood runs a command, which must succeed, to its end.
func cornelwood(t *testing.T, args ...string) {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), "cornelwood", args...).CombinedOutput()
	if err != nil {
		t.Fatalf("cornelwood %s: %v\n%s", strings.Join(args, " "), err, out)
	}
}

// eventually waits until ok returns nil, and fails the test with its last error
// after a time.
func eventually(t *testing.T, within time.Duration, ok func() error) {
	t.Helper()
	deadline := time.Now().Add(within)
	tick := time.NewTicker(poll)
	defer tick.Stop()
	for {
		err := ok()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("after %s: %v", within, err)
		}
		<-tick.C
	}
}

func (s *site) awaitReady(t *testing.T, d *daemon) {
	t.Helper()
	eventually(t, startWait, func() error {
		return d.get(t, "/ready", nil)
	})
}

var (
	httpClient = &http.Client{Timeout: 20 * time.Second}
	// freshClient opens a connection for each call, since searchers have few.
	freshClient = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
)

func (d *daemon) get(t *testing.T, path string, out any) error {
	t.Helper()
	return requester.New("http://"+d.caller, httpClient).Do(t.Context(), http.MethodGet, path, nil, out)
}

// query asks through the daemon.
func (d *daemon) query(t *testing.T, q answerer.Query) (answerer.Answer, error) {
	t.Helper()
	var a answerer.Answer
	err := requester.New("http://"+d.caller, httpClient).Do(t.Context(), http.MethodPost, "/v1/query", q, &a)
	return a, err
}

// operate calls the daemon's operator service.
func (d *daemon) operate(t *testing.T, method, path string, in, out any) error {
	t.Helper()
	return requester.New("http://"+d.operator, httpClient).Do(t.Context(), method, path, in, out)
}

// status returns the fleet as the daemon sees it.
func (d *daemon) status(t *testing.T) (reconciler.Status, error) {
	t.Helper()
	var st reconciler.Status
	err := d.operate(t, http.MethodGet, "/v1/status", nil, &st)
	return st, err
}

// cut drops what the daemon sends to the addresses from now on; nothing when
// there are none.
func (d *daemon) cut(t *testing.T, addrs ...string) {
	t.Helper()
	c := blocker.BlockRequest{Block: []netip.AddrPort{}}
	for _, a := range addrs {
		c.Block = append(c.Block, netip.MustParseAddrPort(a))
	}
	if err := d.operate(t, http.MethodPost, blocker.FaultsPath, c, nil); err != nil {
		t.Errorf("cut %s: %v", d.id, err)
	}
}

// faults sets faults of a stand-in at the base URL.
func faults(t *testing.T, base string, set map[string]any) {
	t.Helper()
	if err := requester.New(base, httpClient).Do(t.Context(), http.MethodPost, "/faults", set, nil); err != nil {
		t.Errorf("faults %v: %v", set, err)
	}
}

func writeJSON(t *testing.T, path string, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
