package reader

import (
	"net/netip"
	"time"

	"gopkg.in/ini.v1"
)

// EntrySettings are the settings of an entry daemon, which answers clients by declared
// routes.
type EntrySettings struct {
	Daemon   Daemon
	Log      Log
	Caller   EntryCaller
	Store    Store
	Process  Process
	Shutdown EntryShutdown
	Extra    Extra
}

// EntryCaller holds the settings towards clients.
type EntryCaller struct {
	Listen netip.AddrPort
	// Checks serves the load balancer's check and the metrics.
	Checks netip.AddrPort
	// Peers serves the other daemons.
	Peers netip.AddrPort
}

// Store holds the settings towards the metadata store.
type Store struct {
	Address netip.AddrPort
}

// Process holds the bounds of the process.
type Process struct {
	// MemoryMB is the memory at which the process is killed, in MB; 0 means none.
	MemoryMB int
}

// EntryShutdown holds the time of a graceful shutdown.
type EntryShutdown struct {
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
}

// Extra bounds the extra requests, hedges and retries, to each service by all
// daemons together.
type Extra struct {
	// Ratio is the number of extra requests for one first request.
	Ratio float64
	// Slack is the number allowed beside, in one window.
	Slack int
	// Window is the time over which extra requests are counted.
	Window time.Duration
}

// maxMemoryMB bounds the memory setting.
const maxMemoryMB = 1 << 20

// ReadEntrySettings reads and checks the settings file of an entry daemon at path. The
// error joins a FaultError for every fault.
func ReadEntrySettings(path string) (*EntrySettings, error) {
	f := &faults{file: path}
	file := loadFile(path, f)
	if file == nil {
		return nil, f.join()
	}
	s := &EntrySettings{}
	readSections(file, s.sections(), f)
	if s.Caller.Listen == s.Caller.Checks && !f.has("caller") {
		f.addf("caller", "checks", "%s is the address for clients too", s.Caller.Checks)
	}
	if err := f.join(); err != nil {
		return nil, err
	}
	return s, nil
}

// IsEntrySettings reports whether a file holds the settings of an entry daemon: it has a
// section [store].
func IsEntrySettings(path string) bool {
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	return err == nil && file.HasSection("store")
}

// sections lists every key, in the order of the reference page.
func (s *EntrySettings) sections() []section {
	return []section{
		{"daemon", "the instance and its place", daemonFields(&s.Daemon)},
		{"log", "logs on standard output", logFields(&s.Log)},
		{"caller", "towards clients", []field{
			{key: "listen", required: true, help: "IP number and port for clients", parse: address(&s.Caller.Listen)},
			{key: "checks", required: true, help: "IP number and port for the load balancer's check and /metrics", parse: address(&s.Caller.Checks)},
			{key: "peers", required: true, help: "IP number and port for the other daemons", parse: address(&s.Caller.Peers)},
		}},
		{"store", "towards the metadata store", []field{
			{key: "address", required: true, help: "IP number and port of the store", parse: address(&s.Store.Address)},
		}},
		{"process", "bounds of the process", []field{
			{key: "memory", preset: "0", help: "memory in MB at which the process is killed; 0 for none", parse: integer(&s.Process.MemoryMB, 0, maxMemoryMB)},
		}},
		{"shutdown", "graceful shutdown", []field{
			{key: "grace", preset: "6s", help: "time from SIGTERM until the process is killed", parse: duration(&s.Shutdown.Grace, 0)},
		}},
		{"extra", "hedges and retries, of all daemons together, for each service", []field{
			{key: "ratio", preset: "0.2", help: "extra requests for one first request", parse: fraction(&s.Extra.Ratio)},
			{key: "slack", preset: "50", help: "extra requests allowed beside, in one window", parse: integer(&s.Extra.Slack, 0, maxQueries)},
			{key: "window", preset: "10s", help: "time over which extra requests are counted", parse: duration(&s.Extra.Window, time.Second)},
		}},
	}
}
