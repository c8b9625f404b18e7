package reconciler

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/peer/detector"
)

// Names of the calls between daemons.
const (
	CallGroup  = "Group"
	CallSpread = "Spread"
)

// Config holds the settings of a Reconciler.
type Config struct {
	// Self is the daemon's own record. Its incarnation should grow with every
	// start; a record of an earlier process that is newer raises it.
	Self declarer.Instance
	// Seeds holds addresses of peers to ask at the start.
	Seeds []netip.AddrPort
	// Detector has the times of the group protocol.
	Detector detector.Config
	// Rand serves the choice of peers. Only the control goroutine uses it.
	Rand *rand.Rand
	// InFlight returns the number of requests and tasks that this daemon still
	// works on. Leave waits until it is 0.
	InFlight func() int
}

// Linker calls other daemons and serves their calls.
type Linker interface {
	Call(ctx context.Context, peer netip.AddrPort, name string, in, out any) error
	Handle(name string, fn func(ctx context.Context, from netip.AddrPort, body []byte) (any, error))
}

const (
	// tickInterval is the interval of the loop's own work.
	tickInterval = 100 * time.Millisecond
	// spreadInterval is the mean interval between exchanges with a random peer.
	spreadInterval = time.Second
	// spreadTimeout bounds a call of an exchange.
	spreadTimeout = 2 * time.Second
	// maxRounds bounds the calls of one exchange.
	maxRounds = 64
	// maxExchanges bounds the exchanges under way that this daemon opened.
	maxExchanges = 4
	// maxPushes bounds the pushes under way.
	maxPushes = 64
	// maxNews is the number of new records up to which each is pushed; more are
	// left to exchanges.
	maxNews = 64
	// peerPause is how long a peer that did not answer is not chosen again.
	peerPause = 2 * time.Second
	// publishPause is the pause between two views, in times that the first took to
	// build: it bounds what views cost while many records arrive.
	publishPause = 10
	// maxPublishPause bounds that pause, since a process that was stopped while it built
	// a view has not measured its cost. It is a sixth of the 3 s in which a change is to
	// be in force.
	maxPublishPause = 500 * time.Millisecond
	// expireInterval is the interval between looks for records to drop.
	expireInterval = 10 * time.Second
	// postTimeout bounds the wait of a peer's call for the loop.
	postTimeout = time.Second
	// maxRelays bounds the members that pass on a ping that is not acked.
	maxRelays = 2
	// replacedAfter is the age from which a daemon that meets a newer record of its
	// own ID at another address takes itself for replaced.
	replacedAfter = 10 * time.Second
	// eventQueue bounds the events that wait for the loop.
	eventQueue = 1024
	// Bounds of the time after the start during which peers are asked for the
	// configuration before the platform is.
	minGrace = 300 * time.Millisecond
	maxGrace = 2 * time.Second
)

// Numbers of peers that new information is pushed to.
const (
	pushOwnZone   = 3
	pushOwnRegion = 2
	pushFar       = 1
	pushSeeds     = 4
)
