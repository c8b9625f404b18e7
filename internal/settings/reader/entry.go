package reader

import (
	"net/netip"
	"time"

	"gopkg.in/ini.v1"
)

// EntrySettings holds the settings of an entry daemon, which answers clients' requests according to declared routes.
type EntrySettings struct {
	Daemon    Daemon
	Log       Log
	Caller    EntryCaller
	Store     Store
	Process   Process
	Shutdown  EntryShutdown
	Extra     RetryBudget
	Account   AccountKeys
	Allotment Allotment
	Rollout   Rollout
}

// EntryCaller holds the addresses on which an entry daemon listens.
type EntryCaller struct {
	// Listen serves clients.
	Listen netip.AddrPort
	// Checks serves the load balancer's health check and the metrics.
	Checks netip.AddrPort
	// Peers serves the other daemons.
	Peers netip.AddrPort
}

// Store holds the settings of the connection to the metadata store.
type Store struct {
	Address netip.AddrPort
	// Bootstrap is true when the whole deployment starts for the first time, so that the store holds nothing of it.
	Bootstrap bool
}

// Process holds the limits of the process.
type Process struct {
	// MemoryMB is the memory use in MB at which the process is killed; 0 means no limit.
	MemoryMB int
	// Descriptors is the number of files and sockets that the process may have open; 0 means not known.
	Descriptors int
	// Connections is the highest number of clients' connections, BufferMB the memory in MB for requests that are not
	// complete and for bodies; 0 means that they follow from MemoryMB and Descriptors.
	Connections int
	BufferMB    int
	// Stall is the time after which a connection is closed whose client takes nothing of an answer.
	Stall time.Duration
	// Share is the part of a processor core that the process gets; 0 means unspecified.
	Share float64
}

// EntryShutdown holds the settings of a graceful shutdown.
type EntryShutdown struct {
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
}

// RetryBudget limits the extra requests, that is hedges and retries, that all daemons together send for each service.
type RetryBudget struct {
	// Ratio is the number of extra requests allowed for each first request.
	Ratio float64
	// Slack is the number of extra requests allowed in each window in addition to the ratio.
	Slack int
	// Window is the time over which extra requests are counted.
	Window time.Duration
}

// AccountKeys holds the settings of client accounts' keys.
type AccountKeys struct {
	// Strict is true when a key counts only while the desired state is known to be current.
	Strict bool
	// Revoke is the time after its withdrawal from which no daemon may use a key; 0 means unspecified.
	Revoke time.Duration
}

// Allotment holds the tolerance of client accounts' limits. In each window all daemons together may exceed an account's
// limit by Overage, a share of it, and Slack requests.
type Allotment struct {
	// Window is the time over which requests are counted; 0 means that limits are not enforced.
	Window  time.Duration
	Overage float64
	Slack   int
}

// Rollout holds the limits of roll-outs of a service's version.
type Rollout struct {
	// Share is the largest share of a service's requests for a version under test; 0 means that there are no roll-outs.
	Share float64
	// Slack is the number of requests above Share that all daemons together may send.
	Slack int
	// Rollback is the time after a version's 50th bad answer from which it must get no request.
	Rollback time.Duration
}

// maxDescriptors is the highest value of the descriptors setting.
const maxDescriptors = 1 << 24

// maxMemoryMB is the highest value of the memory setting, in MB.
const maxMemoryMB = 1 << 20

// maxShare is the highest value of the processor share, in cores.
const maxShare = 1024

// ReadEntrySettings reads and validates the settings file of an entry daemon. The error joins a FileError for each error
// in the file.
func ReadEntrySettings(path string) (*EntrySettings, error) {
	l := &errorList{path: path}
	file := loadFile(path, l)
	if file == nil {
		return nil, l.join()
	}
	s := &EntrySettings{}
	readSections(file, s.sections(), l)
	if s.Caller.Listen == s.Caller.Checks && !l.has("caller") {
		l.addf("caller", "checks", "%s is already the listen address for clients", s.Caller.Checks)
	}
	if s.Account.Strict && s.Account.Revoke <= 0 && !l.has("account") {
		l.addf("account", "revoke", "want a time above 0 where strict is true")
	}
	if err := l.join(); err != nil {
		return nil, err
	}
	return s, nil
}

// IsEntrySettings reports whether a file holds the settings of an entry daemon, that is, has a section [store].
func IsEntrySettings(path string) bool {
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	return err == nil && file.HasSection("store")
}

// sections returns all sections and keys, in the order of the reference page.
func (s *EntrySettings) sections() []section {
	return []section{
		{"daemon", "the instance and its location", daemonFields(&s.Daemon)},
		{"log", "logs on standard output", logFields(&s.Log)},
		{"caller", "listen addresses", []field{
			{key: "listen", required: true, help: "IP address and port for clients", parse: address(&s.Caller.Listen)},
			{key: "checks", required: true, help: "IP address and port for the load balancer's health check and /metrics", parse: address(&s.Caller.Checks)},
			{key: "peers", required: true, help: "IP address and port for the other daemons", parse: address(&s.Caller.Peers)},
		}},
		{"store", "connection to the metadata store", []field{
			{key: "address", required: true, help: "IP address and port of the store", parse: address(&s.Store.Address)},
			{key: "bootstrap", defaultValue: "false", help: "true when the whole deployment starts for the first time, so that the store holds no record of this daemon; saves a call", parse: boolean(&s.Store.Bootstrap)},
		}},
		{"process", "process limits", append(
			processFields(&s.Process),
			field{key: "share", defaultValue: "0", help: "part of a processor core that the process gets, by which daemons are chosen to gather queries; 0 if not known", parse: number(&s.Process.Share, 0, maxShare)},
		)},
		{"account", "keys of client accounts", []field{
			{key: "strict", defaultValue: "false", help: "true when a key counts only while the desired state is known to be current", parse: boolean(&s.Account.Strict)},
			{key: "revoke", defaultValue: "0s", help: "time after its withdrawal from which no daemon may use a key; 0 if not specified", parse: duration(&s.Account.Revoke, 0)},
		}},
		{"allotment", "tolerance of the accounts' limits, which hold for all daemons together", []field{
			{key: "window", defaultValue: "0s", help: "time over which an account's requests are counted; 0 to enforce no limits", parse: duration(&s.Allotment.Window, 0)},
			{key: "overage", defaultValue: "0", help: "share of a limit by which it may be exceeded in a window", parse: fraction(&s.Allotment.Overage)},
			{key: "slack", defaultValue: "0", help: "requests by which a limit may be exceeded in a window in addition", parse: integer(&s.Allotment.Slack, 0, maxQueries)},
		}},
		{"rollout", "roll-outs of a service's version", []field{
			{key: "share", defaultValue: "0", help: "largest share of a service's requests for a version under test; 0 for no roll-outs", parse: fraction(&s.Rollout.Share)},
			{key: "slack", defaultValue: "0", help: "requests above the share that all daemons together may send in case of failures", parse: integer(&s.Rollout.Slack, 0, maxQueries)},
			{key: "rollback", defaultValue: "0s", help: "time after a version's 50th bad answer from which it must get no request", parse: duration(&s.Rollout.Rollback, 0)},
		}},
		{"shutdown", "graceful shutdown", []field{
			{key: "grace", defaultValue: "6s", help: "time from SIGTERM until the process is killed", parse: duration(&s.Shutdown.Grace, 0)},
		}},
		{"extra", "retry budget: limits the hedges and retries of all daemons together, for each service", []field{
			{key: "ratio", defaultValue: "0.2", help: "extra requests allowed for each first request", parse: fraction(&s.Extra.Ratio)},
			{key: "slack", defaultValue: "50", help: "extra requests allowed in each window in addition to the ratio", parse: integer(&s.Extra.Slack, 0, maxQueries)},
			{key: "window", defaultValue: "10s", help: "time over which extra requests are counted", parse: duration(&s.Extra.Window, time.Second)},
		}},
	}
}
