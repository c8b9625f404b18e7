package forwarder

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// firstPiece is the size of the first piece of a body of unknown size, maxPiece of later ones.
	firstPiece = 512
	maxPiece   = 16 << 10
)

// readBody reads a body of at most limit bytes; a longer one is an *http.MaxBytesError. size is what the client says of it, -1
// if nothing. The memory that it holds is at most one piece more than what has arrived.
//
// Load pattern: many clients announce or send large bodies that do not end. A buffer that doubles, or that is made for the
// announced size, holds memory for bytes that never arrive.
func readBody(r io.Reader, size, limit int64) ([]byte, error) {
	if r == nil {
		return nil, nil
	}
	if size > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	next := int64(firstPiece)
	if size > 0 {
		next = min(size, maxPiece)
	}
	var pieces [][]byte
	for total := int64(0); ; {
		// One byte more than the limit shows that a body is too large.
		piece := make([]byte, min(next, limit+1-total))
		n, err := fill(r, piece)
		total += int64(n)
		pieces = append(pieces, piece[:n])
		switch {
		case total > limit:
			return nil, &http.MaxBytesError{Limit: limit}
		case errors.Is(err, io.EOF):
			return join(pieces, total), nil
		case err != nil:
			return nil, err
		case size > total:
			next = min(size-total, maxPiece)
		default:
			next = maxPiece
		}
	}
}

// setDeadline bounds the time until a body is complete, if its reader can.
//
// Load pattern: clients that stop short of the end of their bodies, or trickle, and stay. After the deadline nobody waits for the
// answer any more.
func setDeadline(body io.Reader, t time.Time) {
	if b, ok := body.(interface{ SetReadDeadline(time.Time) error }); ok {
		// An error means that the client has disconnected, which the read shows.
		_ = b.SetReadDeadline(t)
	}
}

// fill reads until the piece is full or an error occurs. Unlike io.ReadFull it returns the reader's own error, which tells a
// body that broke off from one that ended.
func fill(r io.Reader, piece []byte) (int, error) {
	n := 0
	for n < len(piece) {
		k, err := r.Read(piece[n:])
		n += k
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// join returns the pieces as one.
func join(pieces [][]byte, total int64) []byte {
	if int64(len(pieces[0])) == total {
		return pieces[0]
	}
	body := make([]byte, 0, total)
	for _, p := range pieces {
		body = append(body, p...)
	}
	return body
}

// isEvicted reports whether a body has given way before it was complete, so that its request has not run.
func isEvicted(err error) bool {
	var e interface{ Evicted() bool }
	return errors.As(err, &e) && e.Evicted()
}
