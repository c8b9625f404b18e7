package merger

import (
	"bytes"
	"slices"
)

// RecordSize is the length of one opaque record, in bytes.
const RecordSize = 16

// Records holds the greatest opaque records of the parts merged so far, compared byte by byte. Equal
// records are all kept. It is used by one goroutine.
type Records struct {
	top topN[[]byte]
}

// NewRecords returns a Records that holds the greatest top records.
func NewRecords(top int) *Records {
	return &Records{top: newTopN(top, compareDescending)}
}

// Add merges a part, whose records may be in any order. Trailing bytes shorter than a record are
// ignored. The part must not be changed afterwards.
func (m *Records) Add(part []byte) {
	for ; len(part) >= RecordSize; part = part[RecordSize:] {
		rec := part[:RecordSize]
		m.top.add(&rec)
	}
}

// Bytes returns the records, greatest first. The Records must not be used afterwards.
func (m *Records) Bytes() []byte {
	slices.SortFunc(m.top.items, func(a, b []byte) int { return compareDescending(&a, &b) })
	return slices.Concat(m.top.items...)
}

func compareDescending(a, b *[]byte) int {
	return bytes.Compare(*b, *a)
}
