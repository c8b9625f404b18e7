package reader

import (
	"net/netip"
	"slices"
	"time"

	"gopkg.in/ini.v1"

	"cornelwood.example/internal/contract/declarer"
)

// Settings holds the settings of a daemon.
type Settings struct {
	Daemon   Daemon
	Log      Log
	Caller   Caller
	Operator Operator
	Peer     Peer
	Platform Platform
	Group    Group
	Process  Process
	Shutdown Shutdown
	Policy   Policy
}

// Daemon holds the instance's name and location.
type Daemon struct {
	ID     string
	Zone   string
	Region string
}

// Log holds the settings of the log.
type Log struct {
	Level string
	// JSON selects one JSON object per line.
	JSON bool
}

// Caller holds the settings of the service for callers.
type Caller struct {
	Listen netip.AddrPort
	// Queries limits the number of concurrent queries.
	Queries int
}

// Operator holds the settings of the service for operators.
type Operator struct {
	Listen netip.AddrPort
}

// Peer holds the settings of the connections to other daemons.
type Peer struct {
	Listen netip.AddrPort
	// Seeds are peer addresses of other daemons to contact at startup.
	Seeds []netip.AddrPort
	// Faults lets tests block this daemon's connections to other daemons, see package blocker.
	Faults bool
}

// Platform holds the settings of calls to the platform's object API.
type Platform struct {
	URL string
	// Timeout limits one call.
	Timeout time.Duration
	// Rate is the highest number of calls per second.
	Rate int
}

// Group holds the times of the group protocol, see docs/PROTOCOL.md. They must be the same in all daemons of a zone.
type Group struct {
	// Interval is the time between pings.
	Interval time.Duration
	// Fence is the time without contact after which this daemon stops admitting requests.
	Fence time.Duration
	// Takeover is the time without contact to a daemon after which others take its upstreams over.
	Takeover time.Duration
}

// Shutdown holds the settings of a graceful shutdown.
type Shutdown struct {
	// Lag is how long the load balancer may continue to send requests after /ready fails.
	Lag time.Duration
	// Drain limits the wait for requests in flight.
	Drain time.Duration
}

// Policy switches off mechanisms of request handling, for measurements.
type Policy struct {
	// Baseline selects plain scatter-gather: the first replica, no hedge, no retry.
	Baseline bool
	// Hedge enables hedging a slow sub-request on another replica.
	Hedge bool
	// Retry enables retrying a failed sub-request on another replica.
	Retry bool
	// Choice enables the order of replicas by zone, load and latency.
	Choice bool
	// Extra is the retry budget: the limit of hedges and retries, in percent of the first sub-requests.
	Extra int
	// SlowStart enables treating an upstream of unknown state as cold.
	SlowStart bool
	// Refusal enables early refusal of requests that cannot finish in time.
	Refusal bool
}

// section is one section of the settings file.
type section struct {
	name   string
	help   string
	fields []field
}

// ReadSettings reads and validates the settings file of a daemon. The error joins a FileError for each error in the file.
func ReadSettings(path string) (*Settings, error) {
	l := &errorList{path: path}
	file := loadFile(path, l)
	if file == nil {
		return nil, l.join()
	}
	s := &Settings{}
	s.read(file, l)
	s.check(l)
	if err := l.join(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) read(file *ini.File, l *errorList) {
	readSections(file, s.sections(), l)
}

// readSections reads the sections of a file and reports unknown ones.
func readSections(file *ini.File, sections []section, l *errorList) {
	var names []string
	for _, sec := range sections {
		names = append(names, sec.name)
		found, err := file.GetSection(sec.name)
		if err != nil {
			found = nil
		}
		readSection(found, sec.name, sec.fields, l)
	}
	for _, sec := range file.Sections() {
		if name := sec.Name(); name != ini.DefaultSection && !slices.Contains(names, name) {
			l.addf(name, "", "unknown section")
		}
	}
}

// check validates values that depend on each other. It skips the sections [daemon] and [group] if their keys have
// errors.
func (s *Settings) check(l *errorList) {
	if !l.has("daemon") {
		s.checkDaemon(l)
	}
	s.checkListenAddresses(l)
	if !l.has("group") {
		s.checkGroup(l)
	}
}

func (s *Settings) checkDaemon(l *errorList) {
	in := declarer.Instance{ID: s.Daemon.ID, Zone: s.Daemon.Zone, Region: s.Daemon.Region, Peer: s.Peer.Listen}
	for _, fe := range declarer.FieldErrors(in.Check()) {
		if fe.Field != "peer" {
			l.addf("daemon", fe.Field, "%s", fe.Reason)
		}
	}
}

func (s *Settings) checkListenAddresses(l *errorList) {
	listens := []struct {
		section string
		addr    netip.AddrPort
	}{{"caller", s.Caller.Listen}, {"operator", s.Operator.Listen}, {"peer", s.Peer.Listen}}
	for i, a := range listens {
		for _, b := range listens[:i] {
			if a.addr == b.addr && a.addr.Port() != 0 {
				l.addf(a.section, "listen", "%s is already the listen address of section [%s]", a.addr, b.section)
			}
		}
	}
}

func (s *Settings) checkGroup(l *errorList) {
	g := &s.Group
	if g.Fence < 2*g.Interval {
		l.addf("group", "fence", "want at least twice the interval %s, got %s", g.Interval, g.Fence)
	}
	if g.Takeover <= g.Fence+g.Fence/10 {
		l.addf("group", "takeover", "want more than 1.1 times the fence %s, got %s", g.Fence, g.Takeover)
	}
}

// Limits of settings.
const (
	maxQueries = 1_000_000
	// maxRate is in calls per second.
	maxRate     = 1000
	minInterval = 10 * time.Millisecond
	maxDuration = 10 * time.Minute
)

// sections returns all sections and keys, in the order of the reference page.
func (s *Settings) sections() []section {
	return []section{
		{"daemon", "the instance and its location", daemonFields(&s.Daemon)},
		{"log", "logs on standard error", logFields(&s.Log)},
		{"caller", "service for callers", []field{
			{key: "listen", required: true, help: "IP address and port for callers, /ready, /live and /metrics", parse: address(&s.Caller.Listen)},
			{key: "queries", defaultValue: "1024", help: "highest number of concurrent queries; above it queries are refused by priority", parse: integer(&s.Caller.Queries, 1, maxQueries)},
		}},
		{"operator", "service for operators", []field{
			{key: "listen", required: true, help: "IP address and port for operators' calls", parse: address(&s.Operator.Listen)},
		}},
		{"peer", "connections to other daemons", []field{
			{key: "listen", required: true, help: "IP address and port for the other daemons", parse: address(&s.Peer.Listen)},
			{key: "seeds", help: "peer addresses of other daemons to contact at startup, separated by commas", parse: addresses(&s.Peer.Seeds)},
			{key: "faults", defaultValue: "false", help: "for tests only: lets operators block this daemon's connections to other daemons with POST /v1/faults", parse: boolean(&s.Peer.Faults)},
		}},
		{"platform", "calls to the platform's object API", []field{
			{key: "url", required: true, help: "URL of the object API", parse: httpURL(&s.Platform.URL)},
			{key: "timeout", defaultValue: "1s", help: "timeout of one call", parse: duration(&s.Platform.Timeout, minInterval)},
			{key: "rate", defaultValue: "5", help: "highest number of calls per second", parse: integer(&s.Platform.Rate, 1, maxRate)},
		}},
		{"group", "group protocol; must be the same in all daemons of a zone", []field{
			{key: "interval", defaultValue: "250ms", help: "time between pings", parse: duration(&s.Group.Interval, minInterval)},
			{key: "fence", defaultValue: "1s", help: "time without contact after which a daemon stops admitting requests", parse: duration(&s.Group.Fence, minInterval)},
			{key: "takeover", defaultValue: "2s", help: "time without contact to a daemon after which others take its upstreams over", parse: duration(&s.Group.Takeover, minInterval)},
		}},
		{"process", "process limits", processFields(&s.Process)},
		{"shutdown", "graceful shutdown", []field{
			{key: "lag", defaultValue: "2s", help: "how long the load balancer may continue to send requests after /ready fails", parse: duration(&s.Shutdown.Lag, 0)},
			{key: "drain", defaultValue: "30s", help: "time for requests in flight to finish", parse: duration(&s.Shutdown.Drain, 0)},
		}},
		{"policy", "mechanisms of request handling; change them only for measurements", []field{
			{key: "baseline", defaultValue: "false", help: "plain scatter-gather: the first replica, no hedge, no retry", parse: boolean(&s.Policy.Baseline)},
			{key: "hedge", defaultValue: "true", help: "send a sub-request to another replica when one is slow", parse: boolean(&s.Policy.Hedge)},
			{key: "retry", defaultValue: "true", help: "send a sub-request to another replica when one fails", parse: boolean(&s.Policy.Retry)},
			{key: "choice", defaultValue: "true", help: "order replicas by zone, load and latency", parse: boolean(&s.Policy.Choice)},
			{key: "extra", defaultValue: "5", help: "retry budget: hedges and retries allowed for every 100 first sub-requests", parse: integer(&s.Policy.Extra, 0, 100)},
			{key: "slowstart", defaultValue: "true", help: "treat an upstream of unknown state as cold", parse: boolean(&s.Policy.SlowStart)},
			{key: "refusal", defaultValue: "true", help: "refuse early the requests that cannot finish in time", parse: boolean(&s.Policy.Refusal)},
		}},
	}
}

// daemonFields returns the keys of the section [daemon], for both kinds of daemons.
func daemonFields(d *Daemon) []field {
	return []field{
		{key: "id", required: true, help: "the instance's name, unique in the fleet", parse: text(&d.ID)},
		{key: "zone", required: true, help: "the availability zone it runs in", parse: text(&d.Zone)},
		{key: "region", required: true, help: "the region of the zone", parse: text(&d.Region)},
	}
}

// processFields returns the keys of the section [process], for both kinds of daemons.
func processFields(p *Process) []field {
	return []field{
		{key: "memory", defaultValue: "0", help: "memory use in MB at which the process is killed; 0 for no limit", parse: integer(&p.MemoryMB, 0, maxMemoryMB)},
		{key: "descriptors", defaultValue: "0", help: "files and sockets that the process may have open; 0 for the limit of the system", parse: integer(&p.Descriptors, 0, maxDescriptors)},
		{key: "connections", defaultValue: "0", help: "highest number of clients' connections; 0 for 0.4 of the descriptors but 200, and at most 3.6 for each MB of memory", parse: integer(&p.Connections, 0, maxDescriptors)},
		{key: "buffer", defaultValue: "0", help: "memory in MB for requests that are not complete and for the bodies of those that run; 0 for an eighth of the memory, or 256 if that has no limit", parse: integer(&p.BufferMB, 0, maxMemoryMB)},
		{key: "stall", defaultValue: "30s", help: "time after which a connection is closed whose client takes nothing of an answer", parse: duration(&p.Stall, time.Second)},
	}
}

// logFields returns the keys of the section [log], for both kinds of daemons.
func logFields(l *Log) []field {
	return []field{
		{key: "level", defaultValue: "info", help: "trace, debug, info, warn or error", parse: oneOf(&l.Level, "trace", "debug", "info", "warn", "error")},
		{key: "json", defaultValue: "false", help: "write one JSON object per line", parse: boolean(&l.JSON)},
	}
}
