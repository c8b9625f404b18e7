package spreader

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

// instancePrefix distinguishes the keys of instances from those of objects.
const instancePrefix = "instance/"

// maxKeyBytes bounds the key of a summary.
const maxKeyBytes = 128

// Summary identifies a record and its version, without its content.
type Summary struct {
	// Key is "kind/name" of an object or "instance/id".
	Key string `json:"k"`
	// Version is the version of an object or the incarnation of an instance.
	Version uint64 `json:"v"`
	// Term and State are those of an instance, 0 for an object.
	Term  uint64         `json:"t,omitempty"`
	State declarer.State `json:"s,omitempty"`
}

// Check returns an error when a decoded summary is invalid.
func (s *Summary) Check() error {
	if s.Key == "" || len(s.Key) > maxKeyBytes {
		return fmt.Errorf("summary has a key of %d bytes, want 1 to %d", len(s.Key), maxKeyBytes)
	}
	if s.State < declarer.Live || s.State > declarer.Gone {
		return fmt.Errorf("summary %q has state %d", s.Key, s.State)
	}
	return nil
}

// IsNewer reports whether the summarized record is newer than that of old, which has the
// same key.
func (s Summary) IsNewer(old Summary) bool {
	if s.Version != old.Version {
		return s.Version > old.Version
	}
	if s.Term != old.Term {
		return s.Term > old.Term
	}
	return s.State > old.State
}

func summarizeObject(o *declarer.Object) Summary {
	return Summary{Key: o.String(), Version: o.Version}
}

func summarizeInstance(in *declarer.Instance) Summary {
	return Summary{Key: instancePrefix + in.ID, Version: in.Incarnation, Term: in.Term, State: in.State}
}

// isGone reports whether the record is that of an instance that is gone.
func (s Summary) isGone() bool {
	return s.State == declarer.Gone && strings.HasPrefix(s.Key, instancePrefix)
}

// bucket returns the index of the key's bucket.
func (s Summary) bucket() int {
	return int(xxhash.Sum64String(s.Key) % Buckets)
}

// hash returns the hash that the record contributes to its bucket's digest.
func (s Summary) hash() uint64 {
	buf := make([]byte, 0, maxKeyBytes+3*binary.MaxVarintLen64)
	buf = binary.AppendUvarint(buf, s.Version)
	buf = binary.AppendUvarint(buf, s.Term)
	buf = binary.AppendUvarint(buf, uint64(s.State))
	buf = append(buf, s.Key...)
	return xxhash.Sum64(buf)
}
