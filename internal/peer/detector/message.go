package detector

import (
	"fmt"

	"cornelwood.example/internal/contract/declarer"
)

// Bounds of a message.
const (
	maxExpired = 256
	maxMembers = 256
	maxRecords = 16
)

// Membership identifies one continuous membership of an instance in its group.
type Membership struct {
	ID          string `json:"i"`
	Incarnation uint64 `json:"n"`
	Term        uint64 `json:"t"`
}

// Ping asks a member for its Ack.
type Ping struct {
	From declarer.Instance `json:"f"`
	// To is the ID of the addressed member. Another instance that receives the ping forwards it.
	To string `json:"o"`
	// Forwarded is true when another instance forwards the ping.
	Forwarded bool   `json:"p,omitempty"`
	Seq       uint64 `json:"s"`
	// Expired holds the memberships that the sender never acks again.
	Expired []Membership `json:"e,omitempty"`
	// MemberKeys holds the sorted keys of the incarnations that the sender counts in the group, its
	// own included.
	MemberKeys []uint32 `json:"k"`
	// Voters has one bit for each of MemberKeys, set when the sender counts that vote. It is empty
	// when the sender has no voters, or still counts the vote of an incarnation that has ended.
	Voters []byte `json:"v,omitempty"`
}

// Check validates a decoded ping. It returns the first error, or nil.
func (p *Ping) Check() error {
	if err := p.From.Check(); err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	if p.To == "" {
		return fmt.Errorf("ping %d from %q has no recipient", p.Seq, p.From.ID)
	}
	if err := p.checkMemberKeys(); err != nil {
		return err
	}
	return checkExpired(p.Expired)
}

func (p *Ping) checkMemberKeys() error {
	if len(p.MemberKeys) == 0 || len(p.MemberKeys) > maxMembers {
		return fmt.Errorf("ping has %d member keys, want 1 to %d", len(p.MemberKeys), maxMembers)
	}
	for i := 1; i < len(p.MemberKeys); i++ {
		if p.MemberKeys[i-1] >= p.MemberKeys[i] {
			return fmt.Errorf("ping: member keys are not sorted at index %d", i)
		}
	}
	if want := (len(p.MemberKeys) + 7) / 8; len(p.Voters) != 0 && len(p.Voters) != want {
		return fmt.Errorf("ping has %d bytes of voters, want 0 or %d", len(p.Voters), want)
	}
	return nil
}

// Ack answers a Ping.
type Ack struct {
	From declarer.Instance `json:"f"`
	Seq  uint64            `json:"s"`
	// Accept is true when the sender accepts the pinging membership: the ping has all member keys
	// of the sender, the sender's published permit includes the membership, and the sender has no
	// work left at the upstreams for which that member ranks before it.
	Accept bool `json:"a,omitempty"`
	// Drained is true when the sender is leaving and has no work left at any upstream.
	Drained bool `json:"d,omitempty"`
	// Rejoin is true when the pinging membership has expired and must rejoin with a new term.
	Rejoin bool `json:"r,omitempty"`
	// Expired holds the memberships that the sender never acks again.
	Expired []Membership `json:"e,omitempty"`
	// Records holds the records of members that are not in MemberKeys of the ping, or that are in
	// it although they have ended, or that have rejoined since the pinging member expired them.
	Records []declarer.Instance `json:"m,omitempty"`
}

// Check validates a decoded ack. It returns the first error, or nil.
func (a *Ack) Check() error {
	if err := a.From.Check(); err != nil {
		return fmt.Errorf("ack: %w", err)
	}
	if len(a.Records) > maxRecords {
		return fmt.Errorf("ack has %d records, want at most %d", len(a.Records), maxRecords)
	}
	for i := range a.Records {
		if err := a.Records[i].Check(); err != nil {
			return fmt.Errorf("ack: record %d: %w", i, err)
		}
	}
	return checkExpired(a.Expired)
}

func checkExpired(expired []Membership) error {
	if len(expired) > maxExpired {
		return fmt.Errorf("message has %d expired memberships, want at most %d", len(expired), maxExpired)
	}
	return nil
}

// Outgoing is a ping to send and its recipient.
type Outgoing struct {
	To   declarer.Instance
	Ping Ping
}

// membershipOf returns the membership that a record describes.
func membershipOf(record *declarer.Instance) Membership {
	return Membership{ID: record.ID, Incarnation: record.Incarnation, Term: record.Term}
}
