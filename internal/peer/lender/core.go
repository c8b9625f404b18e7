package lender

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// core joins the decisions of one daemon that grants tokens: the lease, the buckets while it is the lender, and its part of
// the tolerance. It makes no calls.
type core struct {
	cfg       *Config
	lease     *lease
	ledger    *ledger
	tolerance *tolerance
	// zones is the largest number of zones that had daemons since the start.
	zones int
}

func newCore(cfg *Config, self declarer.Member, term uint64, now time.Duration) *core {
	return &core{cfg: cfg, lease: newLease(cfg, self, term, now), tolerance: newTolerance(cfg, now)}
}

// take decides on a request for tokens.
func (c *core) take(now time.Duration, req *takeRequest) takeResponse {
	if c.ledger != nil && c.lease.mayGrant(now) {
		c.ledger.giveBack(now, req.Returns)
		resp := takeResponse{IsLender: true}
		if req.Limit != nil {
			resp = c.ledger.take(now, req.Limit, req.Ahead)
		}
		resp.Lease = c.lease.known
		return resp
	}
	resp := takeResponse{Lease: c.lease.known}
	if req.Limit != nil && req.Local && c.tolerance.take(now, req.Limit, c.zones) {
		resp.Count = 1
	}
	return resp
}

// tick returns the call to the store and the pings that are due. ranked holds the fleet's daemons in their order of rank.
func (c *core) tick(now time.Duration, ranked []declarer.Member, index int, isWanted bool) (*storeCall, []outgoing) {
	c.zones = max(c.zones, countZones(ranked))
	call := c.lease.next(now, index, isWanted)
	pings := c.lease.pings(now, ranked)
	c.settle()
	return call, pings
}

func countZones(members []declarer.Member) int {
	zones := make(map[string]bool)
	for i := range members {
		zones[members[i].Zone] = true
	}
	return len(zones)
}

// onWritten takes the success of a write, and reports whether this daemon has become the lender.
func (c *core) onWritten(now time.Duration, call *storeCall, revision uint64) bool {
	began := c.lease.onWritten(now, call, revision)
	if began {
		c.ledger = newLedger(c.cfg, now, call.hasCredit)
		c.ledger.lastGrant = c.lease.term + revision<<32
	}
	c.settle()
	return began
}

// onStored takes the stored lease: the answer to a read, or what kept a write from being applied.
func (c *core) onStored(now time.Duration, call *storeCall, current Lease) {
	c.lease.onStored(now, call, current)
	c.settle()
}

// onPing takes a lender's ping.
func (c *core) onPing(now time.Duration, p *ping) pong {
	accept := c.lease.onPing(now, p)
	c.settle()
	return pong{Accept: accept}
}

// observe takes a lease that another daemon knows.
func (c *core) observe(now time.Duration, seen Lease) {
	c.lease.observe(now, seen)
	c.settle()
}

// settle drops the buckets of a daemon that no longer holds the lease.
func (c *core) settle() {
	if !c.lease.holding {
		c.ledger = nil
	}
}
