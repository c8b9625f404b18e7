package reconciler

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Percentages of the exchanges that prefer peers outside the own zone.
const (
	ownRegionPercent    = 25
	otherRegionsPercent = 10
	// fallbackPercent is for missing instances and for addresses from the settings and
	// the platform's list, so that the two sides of a partition find each other again.
	fallbackPercent = 5
)

// peers chooses the peers to call. Only the control goroutine uses it.
type peers struct {
	self  declarer.Instance
	rnd   *rand.Rand
	seeds []netip.AddrPort
	// listed holds the addresses from the platform's list of instances.
	listed []netip.AddrPort

	// ownZone, ownRegion and otherRegions hold the peers that are not missing; ownRegion
	// excludes the own zone. missing holds the missing peers of all zones.
	ownZone, ownRegion, otherRegions, missing []peer
	// byAddr holds the other instances that are not gone, by their address.
	byAddr map[netip.AddrPort][]declarer.Instance
	// pausedUntil is the time until which a peer that did not answer is not chosen.
	pausedUntil map[netip.AddrPort]time.Time
	// unanswered is the number of calls in a row that a peer has not answered.
	unanswered map[netip.AddrPort]int
}

type peer struct {
	// id is empty when only the address is known.
	id   string
	addr netip.AddrPort
}

func newPeers(self declarer.Instance, seeds []netip.AddrPort, rnd *rand.Rand) *peers {
	p := &peers{self: self, rnd: rnd, pausedUntil: make(map[netip.AddrPort]time.Time), unanswered: make(map[netip.AddrPort]int)}
	for _, s := range seeds {
		if s != self.Peer {
			p.seeds = append(p.seeds, s)
		}
	}
	return p
}

// setInstances replaces the known instances.
func (p *peers) setInstances(instances []declarer.Instance) {
	p.ownZone, p.ownRegion, p.otherRegions, p.missing = nil, nil, nil, nil
	p.byAddr = make(map[netip.AddrPort][]declarer.Instance, len(instances))
	for i := range instances {
		in := &instances[i]
		if in.ID == p.self.ID || in.State == declarer.Gone {
			continue
		}
		p.byAddr[in.Peer] = append(p.byAddr[in.Peer], *in)
		pr := peer{id: in.ID, addr: in.Peer}
		switch {
		case in.State == declarer.Missing:
			p.missing = append(p.missing, pr)
		case in.Zone == p.self.Zone:
			p.ownZone = append(p.ownZone, pr)
		case in.Region == p.self.Region:
			p.ownRegion = append(p.ownRegion, pr)
		default:
			p.otherRegions = append(p.otherRegions, pr)
		}
	}
}

// setListed replaces the addresses from the platform's list.
func (p *peers) setListed(instances []declarer.Instance) {
	p.listed = nil
	for i := range instances {
		if instances[i].ID != p.self.ID {
			p.listed = append(p.listed, instances[i].Peer)
		}
	}
}

// pick returns up to n different peers for exchanges.
func (p *peers) pick(now time.Time, n int) []netip.AddrPort {
	var picked []netip.AddrPort
	seen := make(map[netip.AddrPort]bool)
	for range 2 * n {
		addr, ok := p.pickOne(now)
		if !ok || seen[addr] {
			continue
		}
		seen[addr] = true
		picked = append(picked, addr)
		if len(picked) == n {
			break
		}
	}
	return picked
}

// pickOne returns a random peer, mostly of the own zone, and false when none is known that
// is not paused.
func (p *peers) pickOne(now time.Time) (netip.AddrPort, bool) {
	classes := [][]peer{p.ownZone, p.ownRegion, p.otherRegions}
	roll := p.rnd.IntN(100)
	switch {
	case roll < fallbackPercent:
		classes = [][]peer{p.fallback(), p.ownZone, p.ownRegion, p.otherRegions}
	case roll < fallbackPercent+otherRegionsPercent:
		classes = [][]peer{p.otherRegions, p.ownRegion, p.ownZone}
	case roll < fallbackPercent+otherRegionsPercent+ownRegionPercent:
		classes = [][]peer{p.ownRegion, p.ownZone, p.otherRegions}
	}
	classes = append(classes, p.fallback())
	for _, class := range classes {
		if addrs := p.choose(now, class, 1, ""); len(addrs) > 0 {
			return addrs[0], true
		}
	}
	return netip.AddrPort{}, false
}

// pickForPush returns the peers to push new records to, without the instance from, which
// sent them.
func (p *peers) pickForPush(now time.Time, from string) []netip.AddrPort {
	addrs := p.choose(now, p.ownZone, pushOwnZone, from)
	addrs = append(addrs, p.choose(now, p.ownRegion, pushOwnRegion, from)...)
	addrs = append(addrs, p.choose(now, p.otherRegions, pushOtherRegions, from)...)
	if len(addrs) == 0 {
		addrs = p.choose(now, p.fallback(), pushFallback, from)
	}
	return addrs
}

// fallback returns the missing peers and the addresses of the seeds and the platform's
// list, which may belong to daemons that are not known.
func (p *peers) fallback() []peer {
	addrs := make([]peer, 0, len(p.missing)+len(p.seeds)+len(p.listed))
	addrs = append(addrs, p.missing...)
	for _, s := range p.seeds {
		addrs = append(addrs, peer{addr: s})
	}
	for _, s := range p.listed {
		addrs = append(addrs, peer{addr: s})
	}
	return addrs
}

// choose returns the addresses of up to n random peers of a class that are not paused,
// without the instance with the ID except.
func (p *peers) choose(now time.Time, class []peer, n int, except string) []netip.AddrPort {
	var chosen []netip.AddrPort
	for _, i := range p.rnd.Perm(len(class)) {
		c := class[i]
		if except != "" && c.id == except || now.Before(p.pausedUntil[c.addr]) {
			continue
		}
		chosen = append(chosen, c.addr)
		if len(chosen) == n {
			break
		}
	}
	return chosen
}

// unansweredBeforePause is the number of calls in a row without an answer after which a peer
// is paused. A single one may be a lost message: a peer paused for it misses the pushes of that
// time.
const unansweredBeforePause = 3

// countUnanswered records a call that a peer has not answered, and excludes the peer for a
// random time around peerBackoff after several in a row or a refused connection.
func (p *peers) countUnanswered(now time.Time, addr netip.AddrPort, refused bool) {
	p.unanswered[addr]++
	if !refused && p.unanswered[addr] < unansweredBeforePause {
		return
	}
	p.pausedUntil[addr] = now.Add(peerBackoff/2 + time.Duration(p.rnd.Int64N(int64(peerBackoff))))
}

// countAnswered records that a peer has answered, and ends its pause.
func (p *peers) countAnswered(addr netip.AddrPort) {
	delete(p.pausedUntil, addr)
	delete(p.unanswered, addr)
}

// expire drops pauses that have ended, and the counts of peers that are no longer known.
func (p *peers) expire(now time.Time) {
	for addr, until := range p.pausedUntil {
		if !now.Before(until) {
			delete(p.pausedUntil, addr)
		}
	}
	for addr := range p.unanswered {
		if _, known := p.byAddr[addr]; !known {
			delete(p.unanswered, addr)
		}
	}
}
