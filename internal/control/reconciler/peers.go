package reconciler

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Shares of the exchanges, in percent, that go beyond the own zone.
const (
	regionPercent = 25
	farPercent    = 10
	// seedPercent goes to addresses from the settings and the platform's list, and
	// to missing instances, so that halves of a partition find one another again.
	seedPercent = 5
)

// peers chooses whom to talk to. It belongs to the control goroutine.
type peers struct {
	self  declarer.Instance
	rnd   *rand.Rand
	seeds []netip.AddrPort
	// listed holds addresses from the platform's list of instances.
	listed []netip.AddrPort

	zone, region, far, missing []peer
	// known holds the instances that are not gone by their address.
	known map[netip.AddrPort][]declarer.Instance
	// paused holds until when a peer that did not answer is left alone.
	paused map[netip.AddrPort]time.Time
}

type peer struct {
	id   string
	addr netip.AddrPort
}

func newPeers(self declarer.Instance, seeds []netip.AddrPort, rnd *rand.Rand) *peers {
	p := &peers{self: self, rnd: rnd, paused: make(map[netip.AddrPort]time.Time)}
	for _, s := range seeds {
		if s != self.Peer {
			p.seeds = append(p.seeds, s)
		}
	}
	return p
}

// set replaces the known instances.
func (p *peers) set(instances []declarer.Instance) {
	p.zone, p.region, p.far, p.missing = nil, nil, nil, nil
	p.known = make(map[netip.AddrPort][]declarer.Instance, len(instances))
	for i := range instances {
		in := &instances[i]
		if in.ID == p.self.ID || in.State == declarer.Gone {
			continue
		}
		p.known[in.Peer] = append(p.known[in.Peer], *in)
		at := peer{id: in.ID, addr: in.Peer}
		switch {
		case in.State == declarer.Missing:
			p.missing = append(p.missing, at)
		case in.Zone == p.self.Zone:
			p.zone = append(p.zone, at)
		case in.Region == p.self.Region:
			p.region = append(p.region, at)
		default:
			p.far = append(p.far, at)
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
		addr, ok := p.one(now)
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

// one returns a random peer, mostly of the own zone.
func (p *peers) one(now time.Time) (netip.AddrPort, bool) {
	classes := [][]peer{p.zone, p.region, p.far}
	dice := p.rnd.IntN(100)
	switch {
	case dice < seedPercent:
		classes = [][]peer{p.lost(), p.zone, p.region, p.far}
	case dice < seedPercent+farPercent:
		classes = [][]peer{p.far, p.region, p.zone}
	case dice < seedPercent+farPercent+regionPercent:
		classes = [][]peer{p.region, p.zone, p.far}
	}
	classes = append(classes, p.lost())
	for _, class := range classes {
		if addrs := p.choose(now, class, 1, ""); len(addrs) > 0 {
			return addrs[0], true
		}
	}
	return netip.AddrPort{}, false
}

// pickForPush returns the peers to tell news that came from the instance from.
func (p *peers) pickForPush(now time.Time, from string) []netip.AddrPort {
	addrs := p.choose(now, p.zone, pushOwnZone, from)
	addrs = append(addrs, p.choose(now, p.region, pushOwnRegion, from)...)
	addrs = append(addrs, p.choose(now, p.far, pushFar, from)...)
	if len(addrs) == 0 {
		addrs = p.choose(now, p.lost(), pushSeeds, from)
	}
	return addrs
}

// lost returns the addresses that may lead to daemons that are not known.
func (p *peers) lost() []peer {
	lost := make([]peer, 0, len(p.missing)+len(p.seeds)+len(p.listed))
	lost = append(lost, p.missing...)
	for _, s := range p.seeds {
		lost = append(lost, peer{addr: s})
	}
	for _, s := range p.listed {
		lost = append(lost, peer{addr: s})
	}
	return lost
}

// choose returns up to n random peers of a class that are not paused.
func (p *peers) choose(now time.Time, class []peer, n int, except string) []netip.AddrPort {
	var chosen []netip.AddrPort
	for _, i := range p.rnd.Perm(len(class)) {
		c := class[i]
		if except != "" && c.id == except || now.Before(p.paused[c.addr]) {
			continue
		}
		chosen = append(chosen, c.addr)
		if len(chosen) == n {
			break
		}
	}
	return chosen
}

// failed leaves a peer alone for a while.
func (p *peers) failed(now time.Time, addr netip.AddrPort) {
	p.paused[addr] = now.Add(peerPause/2 + time.Duration(p.rnd.Int64N(int64(peerPause))))
}

// answered ends the pause of a peer.
func (p *peers) answered(addr netip.AddrPort) {
	delete(p.paused, addr)
}

// expire drops pauses that have ended.
func (p *peers) expire(now time.Time) {
	for addr, until := range p.paused {
		if !now.Before(until) {
			delete(p.paused, addr)
		}
	}
}
