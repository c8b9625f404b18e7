package detector

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

// incarnationKey returns the number that identifies an incarnation in pings.
func incarnationKey(record *declarer.Instance) uint32 {
	var buf [64]byte
	b := append(buf[:0], record.ID...)
	b = binary.LittleEndian.AppendUint64(b, record.Incarnation)
	return uint32(xxhash.Sum64(b)) //nolint:gosec // the low half of a hash is a hash
}

// updateVoters updates the member keys and the voters. A new member gets a vote only while no
// member is missing and every member has reported the same member keys as this node.
func (n *Node) updateVoters() {
	n.updateMemberKeys()
	if n.membersAgree() {
		clear(n.voters)
		for _, key := range n.memberKeys {
			n.voters[key] = time.Time{}
		}
		return
	}
	n.removeEndedVoters()
}

// updateMemberKeys sets memberKeys from this node and the members that have not ended.
func (n *Node) updateMemberKeys() {
	var buf [16]uint32
	keys := append(buf[:0], incarnationKey(&n.self))
	for _, m := range n.members {
		if m.instance.State != declarer.Gone {
			keys = append(keys, m.key)
		}
	}
	slices.Sort(keys)
	if slices.Equal(keys, n.memberKeys) {
		return
	}
	n.memberKeys = slices.Clone(keys)
	if len(n.voters) == 0 {
		n.waitingSince = n.lastCallAt
	}
}

// membersAgree reports whether no member is missing and all members have the same member keys. A
// node without voters has just started: it first waits for the takeover time, so that the work of
// members that ended before has ended too.
func (n *Node) membersAgree() bool {
	if len(n.voters) == 0 && !n.hasWaitedTakeover() {
		return false
	}
	for _, m := range n.members {
		if m.instance.State == declarer.Gone {
			continue
		}
		if m.missing {
			return false
		}
		if !n.cfg.faults.has(noAgreement) && !slices.Equal(m.memberKeys, n.memberKeys) {
			return false
		}
	}
	return true
}

// hasWaitedTakeover reports whether the takeover time has passed since this node started and since
// its member keys last changed.
func (n *Node) hasWaitedTakeover() bool {
	return n.lastCallAt.Sub(n.waitingSince) > n.takeover() || n.cfg.faults.has(noWait)
}

// removeEndedVoters removes the vote of ended incarnations after the takeover time. Until then,
// another member may admit work that relies on their vote.
func (n *Node) removeEndedVoters() {
	for key, endedAt := range n.voters {
		_, listed := slices.BinarySearch(n.memberKeys, key)
		switch {
		case listed:
			n.voters[key] = time.Time{}
		case endedAt.IsZero() && !n.cfg.faults.has(noVoteDelay):
			n.voters[key] = n.lastCallAt
		case n.lastCallAt.Sub(endedAt) > n.takeover():
			delete(n.voters, key)
		}
	}
}

// adoptVoters makes a node without voters copy the voters of a member, when its member keys include
// all those of the member.
func (n *Node) adoptVoters(p *Ping) {
	if len(n.voters) > 0 || len(p.Voters) == 0 || !isSubset(p.MemberKeys, n.memberKeys) {
		return
	}
	for i, key := range p.MemberKeys {
		if p.Voters[i/8]&(1<<(i%8)) != 0 {
			n.voters[key] = time.Time{}
		}
	}
}

// voterBits returns one bit for each of memberKeys, set when that member is a voter. It returns nil
// when there are no voters or a voter that has ended still counts.
func (n *Node) voterBits() []byte {
	bits := make([]byte, (len(n.memberKeys)+7)/8)
	found := 0
	for i, key := range n.memberKeys {
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

// isVoter reports whether the incarnation with the key has a vote.
func (n *Node) isVoter(key uint32) bool {
	_, ok := n.voters[key]
	return ok
}

// isSubset reports whether all, which is sorted, contains every element of part.
func isSubset(part, all []uint32) bool {
	for _, key := range part {
		if _, ok := slices.BinarySearch(all, key); !ok {
			return false
		}
	}
	return true
}
