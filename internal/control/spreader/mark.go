package spreader

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

// instancePrefix tells the keys of instances from those of objects.
const instancePrefix = "instance/"

// maxKeyBytes bounds the key of a mark.
const maxKeyBytes = 128

// Summary names a record and says how new it is.
type Summary struct {
	// Key is "kind/name" of an object or "instance/id".
	Key string `json:"k"`
	// Version is the version of an object or the incarnation of an instance.
	Version uint64 `json:"v"`
	// Term and State are those of an instance.
	Term  uint64         `json:"t,omitempty"`
	State declarer.State `json:"s,omitempty"`
}

// Check returns the fault of a decoded mark, or nil.
func (m *Summary) Check() error {
	if m.Key == "" || len(m.Key) > maxKeyBytes {
		return fmt.Errorf("mark has a key of %d bytes, want 1 to %d", len(m.Key), maxKeyBytes)
	}
	if m.State < declarer.Live || m.State > declarer.Gone {
		return fmt.Errorf("mark %q has state %d", m.Key, m.State)
	}
	return nil
}

// IsNewer reports whether the mark is of a newer record than old, a mark with the
// same key.
func (m Summary) IsNewer(old Summary) bool {
	if m.Version != old.Version {
		return m.Version > old.Version
	}
	if m.Term != old.Term {
		return m.Term > old.Term
	}
	return m.State > old.State
}

func objectMark(o *declarer.Object) Summary {
	return Summary{Key: o.String(), Version: o.Version}
}

func instanceMark(in *declarer.Instance) Summary {
	return Summary{Key: instancePrefix + in.ID, Version: in.Incarnation, Term: in.Term, State: in.State}
}

// isGone reports whether the mark is of an instance that has ended.
func (m Summary) isGone() bool {
	return m.State == declarer.Gone && strings.HasPrefix(m.Key, instancePrefix)
}

// bucket returns the bucket that the key falls into.
func (m Summary) bucket() int {
	return int(xxhash.Sum64String(m.Key) % Buckets)
}

// hash returns the mark's part of its bucket's digest.
func (m Summary) hash() uint64 {
	buf := make([]byte, 0, maxKeyBytes+3*binary.MaxVarintLen64)
	buf = binary.AppendUvarint(buf, m.Version)
	buf = binary.AppendUvarint(buf, m.Term)
	buf = binary.AppendUvarint(buf, uint64(m.State))
	buf = append(buf, m.Key...)
	return xxhash.Sum64(buf)
}
