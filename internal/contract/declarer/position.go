package declarer

import "fmt"

// revisionBits is the number of bits of a position that hold the revision: 2^40 is 34 years of 1,000 changes a second. Positions of
// the first 8,191 eras fit into 53 bits, the integers that every JSON decoder reads exactly.
const revisionBits = 40

// Limits of a position's parts.
const (
	MaxRevision uint64 = 1<<revisionBits - 1
	MaxEra      uint64 = 1<<(64-revisionBits) - 1
)

// Position combines an era of the store and a revision of that era in one number. The store begins a new era when it is restored from
// an older copy, after which it assigns revisions again. Positions are ordered by era, then revision, and in era 0 a position is the
// revision.
func Position(era, revision uint64) (uint64, error) {
	if era > MaxEra {
		return 0, &FieldError{Field: "era", Reason: fmt.Sprintf("want at most %d, got %d", MaxEra, era)}
	}
	if revision > MaxRevision {
		return 0, &FieldError{Field: "revision", Reason: fmt.Sprintf("want at most %d, got %d", MaxRevision, revision)}
	}
	return era<<revisionBits | revision, nil
}

// Era returns the era of a position.
func Era(position uint64) uint64 {
	return position >> revisionBits
}

// Revision returns the revision of a position within its era.
func Revision(position uint64) uint64 {
	return position & MaxRevision
}
