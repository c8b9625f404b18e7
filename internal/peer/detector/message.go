package detector

import (
	"fmt"

	"cornelwood.example/internal/contract/declarer"
)

// Bounds of a message.
const (
	maxExpired = 256
	maxMembers = 256
	maxTold    = 16
)

// Membership names one stay of an instance in its group.
type Membership struct {
	ID          string `json:"i"`
	Incarnation uint64 `json:"n"`
	Term        uint64 `json:"t"`
}

// Ping asks a member for its Ack.
type Ping struct {
	From declarer.Instance `json:"f"`
	// To is the ID of the member asked. Others that receive the ping pass it on.
	To string `json:"o"`
	// Forwarded is true when another instance passes the ping on.
	Forwarded bool   `json:"p,omitempty"`
	Seq       uint64 `json:"s"`
	// Expired holds the memberships that the sender never acks again.
	Expired []Membership `json:"e,omitempty"`
	// Known holds the keys of the incarnations that the sender knows to be in the
	// group, its own too, sorted.
	Known []uint32 `json:"k"`
	// Voters has a bit for each of Known, set when the sender counts its vote. It
	// is empty when the sender cannot say.
	Voters []byte `json:"v,omitempty"`
}

// Check returns the first fault of a decoded ping, or nil.
func (p *Ping) Check() error {
	if err := p.From.Check(); err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	if p.To == "" {
		return fmt.Errorf("ping %d from %q names no member", p.Seq, p.From.ID)
	}
	if err := p.checkKnown(); err != nil {
		return err
	}
	return checkExpired(p.Expired)
}

func (p *Ping) checkKnown() error {
	if len(p.Known) == 0 || len(p.Known) > maxMembers {
		return fmt.Errorf("ping: %d known members: want 1 to %d", len(p.Known), maxMembers)
	}
	for i := 1; i < len(p.Known); i++ {
		if p.Known[i-1] >= p.Known[i] {
			return fmt.Errorf("ping: known members are not sorted at %d", i)
		}
	}
	if want := (len(p.Known) + 7) / 8; len(p.Voters) != 0 && len(p.Voters) != want {
		return fmt.Errorf("ping: %d bytes of voters: want 0 or %d", len(p.Voters), want)
	}
	return nil
}

// Ack answers a Ping.
type Ack struct {
	From declarer.Instance `json:"f"`
	Seq  uint64            `json:"s"`
	// Accept is true when the sender counts the asking membership live and has no
	// work left at the upstreams that it ranks first for.
	Accept bool `json:"a,omitempty"`
	// Drained is true when the sender leaves and has no work left anywhere.
	Drained bool `json:"d,omitempty"`
	// Rejoin is true when the asking membership has expired.
	Rejoin bool `json:"r,omitempty"`
	// Expired holds the memberships that the sender never acks again.
	Expired []Membership `json:"e,omitempty"`
	// Told holds records of members that the asking one lacks, or does not know to
	// have ended.
	Told []declarer.Instance `json:"m,omitempty"`
}

// Check returns the first fault of a decoded ack, or nil.
func (a *Ack) Check() error {
	if err := a.From.Check(); err != nil {
		return fmt.Errorf("ack: %w", err)
	}
	if len(a.Told) > maxTold {
		return fmt.Errorf("ack: %d records: want at most %d", len(a.Told), maxTold)
	}
	for i := range a.Told {
		if err := a.Told[i].Check(); err != nil {
			return fmt.Errorf("ack: record %d: %w", i, err)
		}
	}
	return checkExpired(a.Expired)
}

func checkExpired(expired []Membership) error {
	if len(expired) > maxExpired {
		return fmt.Errorf("%d expired memberships: want at most %d", len(expired), maxExpired)
	}
	return nil
}

// Outgoing is a ping to be sent.
type Outgoing struct {
	To   declarer.Instance
	Ping Ping
}

// membershipOf returns the membership that a record is of.
func membershipOf(in *declarer.Instance) Membership {
	return Membership{ID: in.ID, Incarnation: in.Incarnation, Term: in.Term}
}
