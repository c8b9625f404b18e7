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
	top int
	// heap holds at most top records, the least one first.
	heap [][]byte
}

// NewRecords returns a merger of the greatest top records.
func NewRecords(top int) *Records {
	return &Records{top: top, heap: make([][]byte, 0, top)}
}

// Add merges a part: records in any order. A rest shorter than a record is no
// record. The part must not be changed afterwards.
func (m *Records) Add(part []byte) {
	for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
		rec := part[:RecordBytes]
		if len(m.heap) < m.top {
			m.push(rec)
			continue
		}
		if bytes.Compare(rec, m.heap[0]) > 0 {
			m.heap[0] = rec
			m.sink()
		}
	}
}

// Bytes returns the records kept, greatest first. The merger must not be used
// afterwards.
func (m *Records) Bytes() []byte {
	slices.SortFunc(m.heap, func(a, b []byte) int { return bytes.Compare(b, a) })
	return slices.Concat(m.heap...)
}

func (m *Records) push(rec []byte) {
	m.heap = append(m.heap, rec)
	for i := len(m.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if bytes.Compare(m.heap[i], m.heap[parent]) >= 0 {
			return
		}
		m.heap[i], m.heap[parent] = m.heap[parent], m.heap[i]
		i = parent
	}
}

// sink moves the first record of the heap to its place.
func (m *Records) sink() {
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(m.heap); c++ {
			if bytes.Compare(m.heap[c], m.heap[least]) < 0 {
				least = c
			}
		}
		if least == i {
			return
		}
		m.heap[i], m.heap[least] = m.heap[least], m.heap[i]
		i = least
	}
}
