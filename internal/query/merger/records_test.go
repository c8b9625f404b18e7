package merger

import (
	"bytes"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestRecords compares Records with sorting all records.
func TestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		top := rapid.IntRange(1, 8).Draw(t, "top")
		m := NewRecords(top)
		var all [][]byte
		for range rapid.IntRange(0, 5).Draw(t, "parts") {
			// Few distinct bytes make equal records likely.
			part := rapid.SliceOfN(rapid.ByteRange(0, 1), 0, 70).Draw(t, "part")
			m.Add(part)
			for rest := part; len(rest) >= RecordSize; rest = rest[RecordSize:] {
				all = append(all, rest[:RecordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := slices.Concat(all[:min(top, len(all))]...)
		if diff := cmp.Diff(want, m.Bytes()); diff != "" {
			t.Errorf("records (-want +got):\n%s", diff)
		}
	})
}
