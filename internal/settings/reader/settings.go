package reader

import (
	"net/netip"
	"slices"
	"time"

	"gopkg.in/ini.v1"

	"cornelwood.example/internal/contract/declarer"
)

// Settings are the settings of one daemon.
type Settings struct {
	Daemon   Daemon
	Log      Log
	Caller   Caller
	Operator Operator
	Peer     Peer
	Platform Platform
	Group    Group
	Shutdown Shutdown
	Policy   Policy
}

// Daemon names the instance and its place.
type Daemon struct {
	ID     string
	Zone   string
	Region string
}

// Log says how logs are written.
type Log struct {
	Level string
	JSON  bool
}

// Caller holds the settings towards callers.
type Caller struct {
	Listen netip.AddrPort
	// Queries bounds the queries that run at once.
	Queries int
}

// Operator holds the settings towards operators.
type Operator struct {
	Listen netip.AddrPort
}

// Peer holds the settings towards the other daemons.
type Peer struct {
	Listen netip.AddrPort
	// Seeds are peer addresses of other daemons to ask at the start.
	Seeds []netip.AddrPort
	// Faults lets tests cut this daemon off from others, see package blocker.
	Faults bool
}

// Platform holds the settings towards the platform's object API.
type Platform struct {
	URL     string
	Timeout time.Duration
	// Rate bounds the calls a second.
	Rate int
}

// Group holds the times of the group protocol, see docs/PROTOCOL.md.
type Group struct {
	Interval time.Duration
	Fence    time.Duration
	Takeover time.Duration
}

// Shutdown holds the times of a graceful shutdown.
type Shutdown struct {
	// Lag is how long the balancer may go on sending after /ready says no.
	Lag time.Duration
	// Drain bounds the wait for what runs.
	Drain time.Duration
}

// Policy switches mechanisms of traffic off, for measurements.
type Policy struct {
	// Baseline is plain scatter-gather: the first replica, no hedge, no retry.
	Baseline bool
	Hedge    bool
	Retry    bool
	// Choice orders replicas by zone, load and latency.
	Choice bool
	// Extra bounds hedges and retries, in percent of the first sub-requests.
	Extra     int
	SlowStart bool
	Refusal   bool
}

// section is one section of the settings file.
type section struct {
	name   string
	help   string
	fields []field
}

// ReadSettings reads and checks the settings file at path. The error joins a
// FaultError for every fault.
func ReadSettings(path string) (*Settings, error) {
	f := &faults{file: path}
	file := loadFile(path, f)
	if file == nil {
		return nil, f.join()
	}
	s := &Settings{}
	s.read(file, f)
	s.check(f)
	if err := f.join(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) read(file *ini.File, f *faults) {
	readSections(file, s.sections(), f)
}

// readSections reads the sections of a file, and refuses those it does not know.
func readSections(file *ini.File, sections []section, f *faults) {
	var names []string
	for _, sec := range sections {
		names = append(names, sec.name)
		found, err := file.GetSection(sec.name)
		if err != nil {
			found = nil
		}
		readSection(found, sec.name, sec.fields, f)
	}
	for _, sec := range file.Sections() {
		if name := sec.Name(); name != ini.DefaultSection && !slices.Contains(names, name) {
			f.addf(name, "", "unknown section")
		}
	}
}

// check compares values of several keys, in sections whose keys were read
// without faults.
func (s *Settings) check(f *faults) {
	if !f.has("daemon") {
		s.checkDaemon(f)
	}
	s.checkListens(f)
	if !f.has("group") {
		s.checkGroup(f)
	}
}

func (s *Settings) checkDaemon(f *faults) {
	in := declarer.Instance{ID: s.Daemon.ID, Zone: s.Daemon.Zone, Region: s.Daemon.Region, Peer: s.Peer.Listen}
	for _, fe := range declarer.FieldErrors(in.Check()) {
		if fe.Field != "peer" {
			f.addf("daemon", fe.Field, "%s", fe.Reason)
		}
	}
}

func (s *Settings) checkListens(f *faults) {
	listens := []struct {
		section string
		addr    netip.AddrPort
	}{{"caller", s.Caller.Listen}, {"operator", s.Operator.Listen}, {"peer", s.Peer.Listen}}
	for i, a := range listens {
		for _, b := range listens[:i] {
			if a.addr == b.addr && a.addr.Port() != 0 {
				f.addf(a.section, "listen", "%s is the address of [%s] too", a.addr, b.section)
			}
		}
	}
}

func (s *Settings) checkGroup(f *faults) {
	g := &s.Group
	if g.Fence < 2*g.Interval {
		f.addf("group", "fence", "want at least twice the interval %s, got %s", g.Interval, g.Fence)
	}
	if g.Takeover <= g.Fence+g.Fence/10 {
		f.addf("group", "takeover", "want above 1.1 times the fence %s, got %s", g.Fence, g.Takeover)
	}
}

// Bounds of settings.
const (
	maxQueries  = 1_000_000
	maxRate     = 1000
	minInterval = 10 * time.Millisecond
	maxWait     = 10 * time.Minute
)

// sections lists every key, in the order of the reference page.
func (s *Settings) sections() []section {
	return []section{
		{"daemon", "the instance and its place", daemonFields(&s.Daemon)},
		{"log", "logs on standard error", logFields(&s.Log)},
		{"caller", "towards callers", []field{
			{key: "listen", required: true, help: "IP number and port for callers, /ready, /live and /metrics", parse: address(&s.Caller.Listen)},
			{key: "queries", preset: "1024", help: "queries that run at once; more are refused by priority", parse: integer(&s.Caller.Queries, 1, maxQueries)},
		}},
		{"operator", "towards operators", []field{
			{key: "listen", required: true, help: "IP number and port for the operators' calls", parse: address(&s.Operator.Listen)},
		}},
		{"peer", "towards the other daemons", []field{
			{key: "listen", required: true, help: "IP number and port for the other daemons", parse: address(&s.Peer.Listen)},
			{key: "seeds", help: "peer addresses to ask at the start, separated by commas", parse: addresses(&s.Peer.Seeds)},
			{key: "faults", preset: "false", help: "for tests only: operators may cut this daemon off with POST /v1/faults", parse: boolean(&s.Peer.Faults)},
		}},
		{"platform", "towards the platform's object API", []field{
			{key: "url", required: true, help: "URL of the object API", parse: httpURL(&s.Platform.URL)},
			{key: "timeout", preset: "1s", help: "time for one call", parse: duration(&s.Platform.Timeout, minInterval)},
			{key: "rate", preset: "5", help: "calls a second at most", parse: integer(&s.Platform.Rate, 1, maxRate)},
		}},
		{"group", "the group protocol; the same in every daemon of a zone", []field{
			{key: "interval", preset: "250ms", help: "time between pings", parse: duration(&s.Group.Interval, minInterval)},
			{key: "fence", preset: "1s", help: "silence after which a daemon admits nothing", parse: duration(&s.Group.Fence, minInterval)},
			{key: "takeover", preset: "2s", help: "silence after which its upstreams are taken over", parse: duration(&s.Group.Takeover, minInterval)},
		}},
		{"shutdown", "graceful shutdown", []field{
			{key: "lag", preset: "2s", help: "how long the balancer may go on sending after /ready says no", parse: duration(&s.Shutdown.Lag, 0)},
			{key: "drain", preset: "30s", help: "time for what runs to finish", parse: duration(&s.Shutdown.Drain, 0)},
		}},
		{"policy", "mechanisms of traffic; changed only for measurements", []field{
			{key: "baseline", preset: "false", help: "plain scatter-gather: the first replica, no hedge, no retry", parse: boolean(&s.Policy.Baseline)},
			{key: "hedge", preset: "true", help: "ask another replica when one is slow", parse: boolean(&s.Policy.Hedge)},
			{key: "retry", preset: "true", help: "ask another replica when one fails", parse: boolean(&s.Policy.Retry)},
			{key: "choice", preset: "true", help: "order replicas by zone, load and latency", parse: boolean(&s.Policy.Choice)},
			{key: "extra", preset: "5", help: "hedges and retries for 100 first sub-requests", parse: integer(&s.Policy.Extra, 0, 100)},
			{key: "slowstart", preset: "true", help: "take an unknown upstream for cold", parse: boolean(&s.Policy.SlowStart)},
			{key: "refusal", preset: "true", help: "refuse early what cannot finish in time", parse: boolean(&s.Policy.Refusal)},
		}},
	}
}

func daemonFields(d *Daemon) []field {
	return []field{
		{key: "id", required: true, help: "the instance's name, unique in the fleet", parse: text(&d.ID)},
		{key: "zone", required: true, help: "the availability zone it runs in", parse: text(&d.Zone)},
		{key: "region", required: true, help: "the region of the zone", parse: text(&d.Region)},
	}
}

func logFields(l *Log) []field {
	return []field{
		{key: "level", preset: "info", help: "trace, debug, info, warn or error", parse: oneOf(&l.Level, "trace", "debug", "info", "warn", "error")},
		{key: "json", preset: "false", help: "one JSON object a line", parse: boolean(&l.JSON)},
	}
}
