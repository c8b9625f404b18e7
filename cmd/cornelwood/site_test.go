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

// Limits of waits, which only a slow machine uses up.
const (
	startTimeout = 60 * time.Second
	stopTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// daemon is a daemon's process with its addresses.
type daemon struct {
	*process
	id                     string
	zone                   string
	caller, operator, peer string
	settings               string

	// claimed is true while a fault uses the daemon.
	claimed atomic.Bool
	// starts is the number of processes that the daemon has had.
	starts atomic.Int64
}

// claim reserves the daemon for one fault. It returns false when another fault has it.
func (d *daemon) claim() bool {
	return d.claimed.CompareAndSwap(false, true)
}

func (d *daemon) release() {
	d.claimed.Store(false)
}

// startCount returns the number of processes that the daemon has had.
func (d *daemon) startCount() int64 {
	return d.starts.Load()
}

// site is a deployment of separate processes: a platform, one process with all searchers, and daemons.
type site struct {
	dir             string
	platformURL     string
	schemaFile      string
	services        []declarer.Service
	daemons         []*daemon
	searchers       *process
	platformProcess *process
	options         siteOptions
}

// siteOptions holds the parts of a site that tests vary.
type siteOptions struct {
	// zones holds the zone of each daemon.
	zones []string
	// fleetFlags holds further flags of the searchers' process.
	fleetFlags []string
	// balancerLag is the setting "lag" of the daemons, the load balancer's reaction time.
	balancerLag string
	// drainLimit is the setting "drain" of the daemons, the time for requests in flight to finish.
	drainLimit string
}

// withSite starts a site of three zones with the services "finder" (4 shards, class search) and "roster" (2 shards,
// class action). Each shard has a searcher in every zone.
func withSite(t *testing.T, o siteOptions) *site {
	t.Helper()
	if o.zones == nil {
		o.zones = []string{"a", "b", "c"}
	}
	if o.balancerLag == "" {
		o.balancerLag = "50ms"
	}
	if o.drainLimit == "" {
		o.drainLimit = "30s"
	}
	s := &site{dir: t.TempDir(), options: o}
	s.platformProcess = startProcess(t, "platform", "standin", "platform")
	s.platformURL = "http://" + strings.TrimPrefix(s.platformProcess.nextLine(t), "listening ")
	s.startSearchers(t)
	for i, zone := range o.zones {
		s.startDaemon(t, fmt.Sprintf("%s-%d", zone, i+1), zone)
	}
	s.createServices(t)
	for _, d := range s.daemons {
		s.awaitReady(t, d)
	}
	return s
}

func (s *site) startSearchers(t *testing.T) {
	t.Helper()
	services := []declarer.Service{newService("finder", declarer.Search, 4), newService("roster", declarer.Action, 2)}
	var objects []declarer.Object
	for i := range services {
		objects = append(objects, declarer.Object{Key: declarer.Key{Kind: declarer.KindService, Name: services[i].Name}, Service: &services[i]})
	}
	file := filepath.Join(s.dir, "objects.json")
	writeJSON(t, file, objects)
	args := []string{"standin", "fleet", "--objects", file, "--any-port", "--cold-for", "100ms", "--cold-successes", "2", "--mean", "5ms"}
	s.searchers = startProcess(t, "fleet", append(args, s.options.fleetFlags...)...)
	addrs := make(map[string]netip.AddrPort)
	for line := s.searchers.nextLine(t); line != "ready"; line = s.searchers.nextLine(t) {
		var addr, name string
		if _, err := fmt.Sscanf(line, "listening %s %s", &addr, &name); err != nil {
			t.Fatalf("unexpected output of the searchers' process: %q", line)
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

func newService(name string, class declarer.Class, shards int) declarer.Service {
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

// restart starts an ended daemon again, on its former addresses.
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

// runDaemon starts the daemon's process. The first process sets the daemon's addresses.
func (s *site) runDaemon(t *testing.T, d *daemon) {
	t.Helper()
	d.starts.Add(1)
	d.process = startProcess(t, d.id, "cornelwood", "daemon", "--settings", d.settings)
	line := d.nextLine(t)
	var caller, operator, peer string
	if _, err := fmt.Sscanf(line, "listening caller=%s operator=%s peer=%s", &caller, &operator, &peer); err != nil {
		t.Fatalf("unexpected output of %s: %q", d.id, line)
	}
	if d.caller == "" {
		d.caller, d.operator, d.peer = caller, operator, peer
	}
}

func (s *site) writeSettings(t *testing.T, d *daemon, caller, operator, peer string, seeds []string) {
	t.Helper()
	text := fmt.Sprintf("[daemon]\nid = %s\nzone = %s\nregion = r\n[caller]\nlisten = %s\n[operator]\nlisten = %s\n[peer]\nlisten = %s\nseeds = %s\nfaults = true\n[platform]\nurl = %s\n[shutdown]\nlag = %s\ndrain = %s\n",
		d.id, d.zone, caller, operator, peer, strings.Join(seeds, ", "), s.platformURL, s.options.balancerLag, s.options.drainLimit)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// createServices declares the zones and services with the operator's command.
func (s *site) createServices(t *testing.T) {
	t.Helper()
	s.schemaFile = filepath.Join(s.dir, "site.schema.ini")
	if err := os.WriteFile(s.schemaFile, []byte(schemaText(s.services)), 0o600); err != nil {
		t.Fatal(err)
	}
	cornelwood(t, "service", "create", "--operator", "http://"+s.daemons[0].operator, "--file", s.schemaFile)
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

// cornelwood runs a command of the program and fails the test unless it succeeds.
func cornelwood(t *testing.T, args ...string) {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), "cornelwood", args...).CombinedOutput()
	if err != nil {
		t.Fatalf("cornelwood %s: %v\n%s", strings.Join(args, " "), err, out)
	}
}

// eventually waits until ok returns nil. After the time within it fails the test with the last error.
func eventually(t *testing.T, within time.Duration, ok func() error) {
	t.Helper()
	deadline := time.Now().Add(within)
	tick := time.NewTicker(pollInterval)
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
	eventually(t, startTimeout, func() error {
		return d.get(t, "/ready", nil)
	})
}

var (
	httpClient = &http.Client{Timeout: 20 * time.Second}
	// noKeepAliveClient opens a connection for each call, since searchers accept few connections.
	noKeepAliveClient = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
)

func (d *daemon) get(t *testing.T, path string, out any) error {
	t.Helper()
	return requester.New("http://"+d.caller, httpClient).Do(t.Context(), http.MethodGet, path, nil, out)
}

// query sends a query to the daemon.
func (d *daemon) query(t *testing.T, q answerer.Query) (answerer.Answer, error) {
	t.Helper()
	var a answerer.Answer
	err := requester.New("http://"+d.caller, httpClient).Do(t.Context(), http.MethodPost, "/v1/query", q, &a)
	return a, err
}

// callOperator calls the daemon's operator service.
func (d *daemon) callOperator(t *testing.T, method, path string, in, out any) error {
	t.Helper()
	return requester.New("http://"+d.operator, httpClient).Do(t.Context(), method, path, in, out)
}

// status returns the status of the fleet as the daemon reports it.
func (d *daemon) status(t *testing.T) (reconciler.Status, error) {
	t.Helper()
	var st reconciler.Status
	err := d.callOperator(t, http.MethodGet, "/v1/status", nil, &st)
	return st, err
}

// blockTraffic drops everything that the daemon sends to addrs, and to no other address. Without addrs it ends the
// block.
func (d *daemon) blockTraffic(t *testing.T, addrs ...string) {
	t.Helper()
	c := blocker.BlockRequest{Block: []netip.AddrPort{}}
	for _, a := range addrs {
		c.Block = append(c.Block, netip.MustParseAddrPort(a))
	}
	if err := d.callOperator(t, http.MethodPost, blocker.FaultsPath, c, nil); err != nil {
		t.Errorf("block traffic of %s: %v", d.id, err)
	}
}

// setFaults sets faults of the stand-in at the base URL.
func setFaults(t *testing.T, base string, set map[string]any) {
	t.Helper()
	if err := requester.New(base, httpClient).Do(t.Context(), http.MethodPost, "/faults", set, nil); err != nil {
		t.Errorf("set faults %v: %v", set, err)
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
