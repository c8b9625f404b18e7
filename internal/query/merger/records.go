package merger

import (
	"bytes"
	"slices"
)

// RecordBytes is the length of one opaque record.
const RecordBytes = 16

// Records keeps the greatest opaque records of the parts merged so far, compared
// byte by byte. Equal records all count. It is used by one goroutine.
type Records struct {
	best best[[]byte]
}

// NewRecords returns a merger of the greatest top records.
func NewRecords(top int) *Records {
	return &Records{best: newBest(top, greaterFirst)}
}

// Add merges a part: records in any order. A rest shorter than a record is no
// record. The part must not be changed afterwards.
func (m *Records) Add(part []byte) {
	for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
		rec := part[:RecordBytes]
		m.best.add(&rec)
	}
}

// Bytes returns the records kept, greatest first. The merger must not be used
// afterwards.
func (m *Records) Bytes() []byte {
	slices.SortFunc(m.best.items, func(a, b []byte) int { return greaterFirst(&a, &b) })
	return slices.Concat(m.best.items...)
}

func greaterFirst(a, b *[]byte) int {
	return bytes.Compare(*b, *a)
}
