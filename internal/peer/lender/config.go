package lender

import "time"

// Config holds the limits' tolerance and the times of the protocol.
type Config struct {
	// Window is the time over which requests are counted. In each, Overage of the limit and Slack requests more than the
	// limit are tolerated.
	Window  time.Duration
	Overage float64
	Slack   int

	// LeaseTime is how long a lease counts from when its write was sent, RenewInterval the time between two writes.
	LeaseTime, RenewInterval time.Duration
	// FenceTime is how long a lender that has named a successor may grant after it sent a ping that the successor
	// acknowledged. TakeoverTime is how long a successor waits after its last acknowledgement.
	FenceTime, TakeoverTime time.Duration
	// PingInterval is the time between two pings to the successor, AnnounceInterval that between two to other daemons.
	PingInterval, AnnounceInterval time.Duration
	// DropTime is how long a successor may leave pings unanswered until the lender writes a lease without it.
	DropTime time.Duration
	// Validity is how long a token may be used, from when it was asked for.
	Validity time.Duration
	// CandidateTime is how long the first daemon of the fleet's ranking waits for news of a lender until it reads the store,
	// and CandidateStep how much longer each of the next ones waits.
	CandidateTime, CandidateStep time.Duration
	// ReadInterval is the time between two reads of the store by a daemon that waits for the lease.
	ReadInterval time.Duration
	// FailurePause is the time after a failed call to the store in which there is no other one.
	FailurePause time.Duration
	// LenderTimeout bounds a call to the lender, LocalTimeout one to a daemon of the own zone.
	LenderTimeout, LocalTimeout time.Duration
}

// Default returns the times for daemons with a fifth of a processor core and 1.5 ms between zones.
func Default() Config {
	return Config{
		// A store that is away for 7 s interrupts nothing. Longer leases would lengthen the outage when the lender and its
		// successor are lost together.
		LeaseTime:     8 * time.Second,
		RenewInterval: time.Second,
		// Four pings fit in the fence: a daemon with a fifth of a core may run nothing for 0.2 s.
		FenceTime:        600 * time.Millisecond,
		TakeoverTime:     650 * time.Millisecond,
		PingInterval:     100 * time.Millisecond,
		AnnounceInterval: 300 * time.Millisecond,
		DropTime:         300 * time.Millisecond,
		Validity:         400 * time.Millisecond,
		CandidateTime:    time.Second,
		CandidateStep:    400 * time.Millisecond,
		ReadInterval:     time.Second,
		FailurePause:     300 * time.Millisecond,
		// Half of the shortest latency goal is left when the lender does not answer.
		LenderTimeout: 40 * time.Millisecond,
		LocalTimeout:  30 * time.Millisecond,
	}
}

// tolerance returns the number of requests above an account's limit that are tolerated in a window.
func (c *Config) tolerance(l *Limit) float64 {
	return c.Overage*(l.Rate*c.Window.Seconds()+l.Burst) + float64(c.Slack)
}

const (
	// creditShare is the part of the tolerance that a new lender may grant while it does not know what was granted before.
	creditShare = 0.25
	// localShare is the part of the tolerance that all zones together may grant without a lender.
	localShare = 0.45
	// extraShare is the part of the tolerance by which a bucket exceeds the burst. While one daemon is the lender its count
	// of the window keeps the limit all the same; only when another one follows it, which does not know the count, may the
	// requests of a window exceed the limit by it. The rest is for requests that reach a searcher later than their tokens
	// were granted.
	extraShare = 0.2
	// localDaemons is the number of daemons of a zone that grant without a lender, each from its own part.
	localDaemons = 2
)

// maxDrift is how much faster one clock may run than another.
const maxDrift = 0.02

// withDrift returns a time after which d has passed by every clock.
func withDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*maxDrift)
}
