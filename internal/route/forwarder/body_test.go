package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// TestReadBody guards against a body that broke off and counts as complete, and against bodies beyond the limit.
func TestReadBody(t *testing.T) {
	const limit = 40_000
	text := strings.Repeat("0123456789", limit/10)
	broken := func(s string) io.Reader {
		return io.MultiReader(strings.NewReader(s), iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	tests := []struct {
		name string
		r    io.Reader
		size int64
		want string
		err  error
	}{
		{"none", nil, 0, "", nil},
		{"small", strings.NewReader("x"), 1, "x", nil},
		{"small of unknown size", strings.NewReader("x"), -1, "x", nil},
		{"empty of unknown size", strings.NewReader(""), -1, "", nil},
		{"largest", strings.NewReader(text), limit, text, nil},
		{"largest of unknown size", strings.NewReader(text), -1, text, nil},
		{"in single bytes", iotest.OneByteReader(strings.NewReader(text)), -1, text, nil},
		{"end with the last byte", iotest.DataErrReader(strings.NewReader(text)), limit, text, nil},
		{"too large", strings.NewReader(text + "x"), limit + 1, "", &http.MaxBytesError{}},
		{"too large of unknown size", strings.NewReader(text + "x"), -1, "", &http.MaxBytesError{}},
		{"broken off", broken("0123"), 5, "", io.ErrUnexpectedEOF},
		{"broken off of unknown size", broken(text[:firstPiece]), -1, "", io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := readBody(tt.r, tt.size, limit)
			var large *http.MaxBytesError
			isExpected := errors.Is(err, tt.err)
			if _, ok := tt.err.(*http.MaxBytesError); ok { //nolint:errorlint // The wanted error is not wrapped.
				isExpected = errors.As(err, &large)
			}
			if !isExpected || string(got) != tt.want {
				t.Errorf("%d bytes, error %v; want %d bytes, error %v", len(got), err, len(tt.want), tt.err)
			}
		})
	}
}

// TestReadBodyMemory guards against memory for bytes that have not arrived: a client announces a large body and sends little.
func TestReadBodyMemory(t *testing.T) {
	const limit = 1 << 20
	for _, size := range []int64{limit, -1} {
		largest := 0
		r := iotest.ErrReader(io.ErrUnexpectedEOF)
		sized := readerFunc(func(p []byte) (int, error) {
			largest = max(largest, len(p))
			return io.MultiReader(bytes.NewReader([]byte("x")), r).Read(p)
		})
		if _, err := readBody(io.LimitReader(sized, 100), size, limit); err != nil {
			t.Errorf("size %d: error %v", size, err)
		}
		if largest > maxPiece {
			t.Errorf("size %d: a buffer of %d bytes for a body that has hardly arrived, want at most %d", size, largest, maxPiece)
		}
	}
}
