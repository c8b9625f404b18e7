package spreader

import (
	"fmt"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Buckets is the number of buckets of a digest.
const Buckets = 64

// Bounds of a decoded message.
const (
	maxMarks    = 16384
	maxRecords  = 16384
	maxContacts = 4
)

// Step says what a message asks for.
type Step int

// Steps of an exchange.
const (
	// StepRoot compares the hash of the whole state. The reply is empty when both
	// are the same, and has the digest of every bucket otherwise.
	StepRoot Step = iota
	// StepSummaries lists the marks of the buckets that differ. The reply has the
	// records that the sender lacks and the marks of those it wants.
	StepSummaries
	// StepPush carries records, and marks of records on offer. The reply has the
	// marks of those that are wanted.
	StepPush
)

// String returns the step's name.
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
	Sender string `json:"f"`
	Step   Step   `json:"s,omitempty"`
	Root   uint64 `json:"r,omitempty"`
	// Digest has the hash of each bucket.
	Digest []uint64 `json:"d,omitempty"`
	// Buckets names the buckets that Marks lists in full.
	Buckets   []int     `json:"b,omitempty"`
	Summaries []Summary `json:"m,omitempty"`
	// Wanted has the marks of the records wanted.
	Wanted    []Summary           `json:"w,omitempty"`
	Objects   []declarer.Object   `json:"o,omitempty"`
	Instances []declarer.Instance `json:"i,omitempty"`
	// Truncated is true when a bound cut the reply short.
	Truncated bool `json:"e,omitempty"`
	// Synced is true when the sender knows the whole configuration.
	Synced bool `json:"y,omitempty"`
	// Contacts says who reached the platform last.
	Contacts []Contact `json:"c,omitempty"`
}

// Contact says how long ago a daemon last had an answer from the platform.
type Contact struct {
	ID  string        `json:"i"`
	Age time.Duration `json:"a"`
}

// Check returns the first fault of a decoded message, or nil.
func (m *Message) Check() error {
	if m.Step < StepRoot || m.Step > StepPush {
		return fmt.Errorf("message of %q has step %d", m.Sender, m.Step)
	}
	if len(m.Digest) != 0 && len(m.Digest) != Buckets {
		return fmt.Errorf("message of %q has a digest of %d buckets, want %d", m.Sender, len(m.Digest), Buckets)
	}
	if err := m.checkSizes(); err != nil {
		return err
	}
	if err := m.checkMarks(); err != nil {
		return err
	}
	return m.checkRecords()
}

func (m *Message) checkSizes() error {
	if len(m.Summaries) > maxMarks || len(m.Wanted) > maxMarks {
		return fmt.Errorf("message of %q has more than %d marks", m.Sender, maxMarks)
	}
	if len(m.Objects) > maxRecords || len(m.Instances) > maxRecords {
		return fmt.Errorf("message of %q has more than %d records", m.Sender, maxRecords)
	}
	if len(m.Contacts) > maxContacts {
		return fmt.Errorf("message of %q has more than %d contacts", m.Sender, maxContacts)
	}
	return nil
}

func (m *Message) checkMarks() error {
	for _, b := range m.Buckets {
		if b < 0 || b >= Buckets {
			return fmt.Errorf("message of %q names bucket %d, want 0 to %d", m.Sender, b, Buckets-1)
		}
	}
	for _, marks := range [][]Summary{m.Summaries, m.Wanted} {
		for i := range marks {
			if err := marks[i].Check(); err != nil {
				return fmt.Errorf("message of %q: %w", m.Sender, err)
			}
		}
	}
	return nil
}

func (m *Message) checkRecords() error {
	for i := range m.Objects {
		if err := m.Objects[i].Check(); err != nil {
			return fmt.Errorf("message of %q: object %s: %w", m.Sender, m.Objects[i].Key, err)
		}
	}
	for i := range m.Instances {
		if err := m.Instances[i].Check(); err != nil {
			return fmt.Errorf("message of %q: instance %q: %w", m.Sender, m.Instances[i].ID, err)
		}
	}
	for _, c := range m.Contacts {
		if c.Age < 0 {
			return fmt.Errorf("message of %q: contact %q has age %s", m.Sender, c.ID, c.Age)
		}
	}
	return nil
}
