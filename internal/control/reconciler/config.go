package reconciler

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/peer/detector"
)

// Names of the RPCs between daemons.
const (
	CallGroup  = "Group"
	CallSpread = "Spread"
)

// Config holds the settings of a Reconciler.
type Config struct {
	// Self is the daemon's own record. Its incarnation should grow with every
	// start. If peers hold a newer record of an earlier process, the reconciler
	// raises the incarnation or the term above it.
	Self declarer.Instance
	// Seeds holds addresses of peers to contact at the start.
	Seeds []netip.AddrPort
	// Detector configures the group protocol.
	Detector detector.Config
	// Rand is used to choose peers and for jitter. Only the control goroutine uses it.
	Rand *rand.Rand
	// InFlight returns the number of requests and tasks in flight in this daemon.
	// Leave waits until it is 0.
	InFlight func() int
}

// Linker calls other daemons and serves their calls.
type Linker interface {
	// Call sends in to the RPC with a name at a peer and decodes the reply into out.
	Call(ctx context.Context, peer netip.AddrPort, name string, in, out any) error
	// Handle sets the handler of the RPC with a name. body is the encoded request.
	Handle(name string, fn func(ctx context.Context, from netip.AddrPort, body []byte) (any, error))
}

const (
	// tickInterval is the interval between runs of the loop's periodic work.
	tickInterval = 100 * time.Millisecond
	// spreadInterval is the mean interval between exchanges with a random peer.
	spreadInterval = time.Second
	// spreadTimeout bounds one attempt of a call of an exchange, and spreadAttempts their
	// number, so that an exchange of several calls fits into the 3 s within which a change has
	// to be in force when messages are lost.
	spreadTimeout  = 300 * time.Millisecond
	spreadAttempts = 2
	// maxRounds bounds the calls of one exchange.
	maxRounds = 64
	// maxExchanges bounds the concurrent exchanges that this daemon opened.
	maxExchanges = 4
	// maxPushes bounds the concurrent pushes.
	maxPushes = 64
	// maxPushedRecords bounds the new records that are pushed together. A larger
	// number of them spreads by exchanges instead.
	maxPushedRecords = 64
	// peerBackoff is the mean time for which a peer that did not answer is not chosen again.
	peerBackoff = 2 * time.Second
	// publishPauseFactor is the pause between two views as a multiple of the time that
	// the first took to build. It bounds the cost of views while many records arrive.
	publishPauseFactor = 10
	// maxPublishPause bounds that pause, since the time taken does not measure the cost
	// when the process was stopped during the build. It is a sixth of the 3 s within which
	// a change has to be in force.
	maxPublishPause = 500 * time.Millisecond
	// expireInterval is the interval between removals of expired records.
	expireInterval = 10 * time.Second
	// postTimeout bounds how long a caller waits for the loop.
	postTimeout = time.Second
	// maxRelays bounds the members that are asked to forward a ping that was not acked.
	maxRelays = 2
	// replacedAfter is the uptime from which a daemon that receives a newer record of its
	// own ID with another address considers itself replaced by another process.
	replacedAfter = 10 * time.Second
	// eventQueueSize is the capacity of the loop's event queue.
	eventQueueSize = 1024
	// minGrace and maxGrace bound the time after the start during which only peers, and
	// not the platform, are asked for the configuration.
	minGrace = 300 * time.Millisecond
	maxGrace = 2 * time.Second
)

// Numbers of peers that new records are pushed to. pushFallback applies only when none
// of the others is available.
const (
	pushOwnZone      = 3
	pushOwnRegion    = 2
	pushOtherRegions = 1
	pushFallback     = 4
)
