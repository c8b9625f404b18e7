package detector

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

// voterKey returns the number by which pings name an incarnation.
func voterKey(in *declarer.Instance) uint32 {
	var buf [64]byte
	b := append(buf[:0], in.ID...)
	b = binary.LittleEndian.AppendUint64(b, in.Incarnation)
	return uint32(xxhash.Sum64(b)) //nolint:gosec // the low half of a hash is a hash
}

// renewVoters brings the known members and the voters up to date. A new member
// gets its vote only while nobody is missing and everybody has said that it
// knows the same members as this node.
func (n *Node) renewVoters() {
	n.renewKnown()
	if n.isAgreed() {
		clear(n.voters)
		for _, key := range n.known {
			n.voters[key] = time.Time{}
		}
		return
	}
	n.dropEnded()
}

// renewKnown sets the keys of this node and of the members that have not ended.
func (n *Node) renewKnown() {
	var buf [16]uint32
	known := append(buf[:0], voterKey(&n.self))
	for _, m := range n.members {
		if m.in.State != declarer.Gone {
			known = append(known, m.key)
		}
	}
	slices.Sort(known)
	if slices.Equal(known, n.known) {
		return
	}
	n.known = slices.Clone(known)
	if len(n.voters) == 0 {
		n.start = n.seenAt
	}
}

// isAgreed reports whether nobody is missing and all know the same members. Nodes
// without voters have just started: they wait the takeover time, so that the work
// of members that ended before has ended too.
func (n *Node) isAgreed() bool {
	if len(n.voters) == 0 && !n.hasWaited() {
		return false
	}
	for _, m := range n.members {
		if m.in.State == declarer.Gone {
			continue
		}
		if m.missing {
			return false
		}
		if !n.cfg.faults.has(noAgreement) && !slices.Equal(m.known, n.known) {
			return false
		}
	}
	return true
}

// hasWaited reports whether this node has known the same members for the takeover
// time since it started.
func (n *Node) hasWaited() bool {
	return n.seenAt.Sub(n.start) > n.takeover() || n.cfg.faults.has(noWait)
}

// dropEnded takes the vote of incarnations that ended, but only after the
// takeover time: until then, another member may admit work by their support.
func (n *Node) dropEnded() {
	for key, endedAt := range n.voters {
		_, known := slices.BinarySearch(n.known, key)
		switch {
		case known:
			n.voters[key] = time.Time{}
		case endedAt.IsZero() && !n.cfg.faults.has(noMourning):
			n.voters[key] = n.seenAt
		case n.seenAt.Sub(endedAt) > n.takeover():
			delete(n.voters, key)
		}
	}
}

// inherit makes a starter take over the voters of a member whose every known
// member it knows too.
func (n *Node) inherit(p *Ping) {
	if len(n.voters) > 0 || len(p.Voters) == 0 || !isSubset(p.Known, n.known) {
		return
	}
	for i, key := range p.Known {
		if p.Voters[i/8]&(1<<(i%8)) != 0 {
			n.voters[key] = time.Time{}
		}
	}
}

// voterBits returns a bit for each known member, set when it is a voter; nil
// while a voter that has ended still counts.
func (n *Node) voterBits() []byte {
	bits := make([]byte, (len(n.known)+7)/8)
	found := 0
	for i, key := range n.known {
		if _, ok := n.voters[key]; ok {
			bits[i/8] |= 1 << (i % 8)
			found++
		}
	}
	if found == 0 || found < len(n.voters) {
		return nil
	}
	return bits
}

// isVoter reports whether the incarnation with a key has a vote.
func (n *Node) isVoter(key uint32) bool {
	_, ok := n.voters[key]
	return ok
}

// isSubset reports whether sorted all holds every element of part.
func isSubset(part, all []uint32) bool {
	for _, key := range part {
		if _, ok := slices.BinarySearch(all, key); !ok {
			return false
		}
	}
	return true
}
