package detector

import (
	"fmt"

	"cornelwood.example/internal/contract/declarer"
)

// maxExpired bounds the memberships in a message.
const maxExpired = 256

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
	// Passed is true when another instance passes the ping on.
	Passed bool   `json:"p,omitempty"`
	Seq    uint64 `json:"s"`
	// Expired holds the memberships that the sender never acks again.
	Expired []Membership `json:"e,omitempty"`
}

// Check returns the first fault of a decoded ping, or nil.
func (p *Ping) Check() error {
	if err := p.From.Check(); err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	if p.To == "" {
		return fmt.Errorf("ping %d from %q names no member", p.Seq, p.From.ID)
	}
	return checkExpired(p.Expired)
}

// Ack answers a Ping.
type Ack struct {
	From declarer.Instance `json:"f"`
	Seq  uint64            `json:"s"`
	// Accept is true when the sender counts the asking membership live and has no
	// work left at the upstreams that it ranks first for.
	Accept bool `json:"a,omitempty"`
	// Rejoin is true when the asking membership has expired.
	Rejoin bool `json:"r,omitempty"`
	// Expired holds the memberships that the sender never acks again.
	Expired []Membership `json:"e,omitempty"`
}

// Check returns the first fault of a decoded ack, or nil.
func (a *Ack) Check() error {
	if err := a.From.Check(); err != nil {
		return fmt.Errorf("ack: %w", err)
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
