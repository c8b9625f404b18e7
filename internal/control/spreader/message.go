package spreader

import (
	"fmt"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Buckets is the number of buckets into which records are divided by their key.
const Buckets = 64

// Bounds of a decoded message.
const (
	maxSummaries = 16384
	maxRecords   = 16384
	maxContacts  = 4
)

// Step is the kind of a message.
type Step int

// Kinds of messages, in the order of an exchange.
const (
	// StepRoot carries the hash of the whole state. The reply is empty when the hashes
	// are equal, and has the digest of every bucket otherwise.
	StepRoot Step = iota
	// StepSummaries carries the summaries of the buckets that differ. The reply has the
	// records that the sender lacks and the summaries of those that the replier wants.
	StepSummaries
	// StepPush carries records, and summaries of records on offer. The reply has the
	// summaries of those that the replier wants.
	StepPush
)

// String returns the step's name in metrics.
func (s Step) String() string {
	switch s {
	case StepRoot:
		return "root"
	case StepSummaries:
		return "marks"
	case StepPush:
		return "push"
	default:
		return "unknown"
	}
}

// Message is a request or a reply between two daemons.
type Message struct {
	// Sender is the ID of the sending instance.
	Sender string `json:"f"`
	Step   Step   `json:"s,omitempty"`
	// Root is the hash of the sender's whole state.
	Root uint64 `json:"r,omitempty"`
	// Digest has the hash of each bucket.
	Digest []uint64 `json:"d,omitempty"`
	// Buckets holds the indexes of the buckets that Summaries lists in full.
	Buckets   []int     `json:"b,omitempty"`
	Summaries []Summary `json:"m,omitempty"`
	// Wanted has the summaries of the requested records.
	Wanted    []Summary           `json:"w,omitempty"`
	Objects   []declarer.Object   `json:"o,omitempty"`
	Instances []declarer.Instance `json:"i,omitempty"`
	// Truncated is true when a bound truncated the reply.
	Truncated bool `json:"e,omitempty"`
	// Synced is true when the sender knows the whole configuration.
	Synced bool `json:"y,omitempty"`
	// Contacts holds the daemons that reached the platform last.
	Contacts []Contact `json:"c,omitempty"`
}

// Contact is the time since a daemon last had an answer from the platform.
type Contact struct {
	ID  string        `json:"i"`
	Age time.Duration `json:"a"`
}

// Check returns an error when a decoded message is invalid.
func (m *Message) Check() error {
	if m.Step < StepRoot || m.Step > StepPush {
		return fmt.Errorf("message from %q has step %d", m.Sender, m.Step)
	}
	if len(m.Digest) != 0 && len(m.Digest) != Buckets {
		return fmt.Errorf("message from %q has a digest of %d buckets, want %d", m.Sender, len(m.Digest), Buckets)
	}
	if err := m.checkSizes(); err != nil {
		return err
	}
	if err := m.checkSummaries(); err != nil {
		return err
	}
	return m.checkRecords()
}

func (m *Message) checkSizes() error {
	if len(m.Summaries) > maxSummaries || len(m.Wanted) > maxSummaries {
		return fmt.Errorf("message from %q has more than %d summaries", m.Sender, maxSummaries)
	}
	if len(m.Objects) > maxRecords || len(m.Instances) > maxRecords {
		return fmt.Errorf("message from %q has more than %d records", m.Sender, maxRecords)
	}
	if len(m.Contacts) > maxContacts {
		return fmt.Errorf("message from %q has more than %d contacts", m.Sender, maxContacts)
	}
	return nil
}

func (m *Message) checkSummaries() error {
	for _, b := range m.Buckets {
		if b < 0 || b >= Buckets {
			return fmt.Errorf("message from %q names bucket %d, want 0 to %d", m.Sender, b, Buckets-1)
		}
	}
	for _, summaries := range [][]Summary{m.Summaries, m.Wanted} {
		for i := range summaries {
			if err := summaries[i].Check(); err != nil {
				return fmt.Errorf("message from %q: %w", m.Sender, err)
			}
		}
	}
	return nil
}

func (m *Message) checkRecords() error {
	for i := range m.Objects {
		if err := m.Objects[i].Check(); err != nil {
			return fmt.Errorf("message from %q: object %s: %w", m.Sender, m.Objects[i].Key, err)
		}
	}
	for i := range m.Instances {
		if err := m.Instances[i].Check(); err != nil {
			return fmt.Errorf("message from %q: instance %q: %w", m.Sender, m.Instances[i].ID, err)
		}
	}
	for _, c := range m.Contacts {
		if c.Age < 0 {
			return fmt.Errorf("message from %q: contact %q has age %s", m.Sender, c.ID, c.Age)
		}
	}
	return nil
}
