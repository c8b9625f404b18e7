package connector

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxReplyBytes is the maximum size of an answer's body, which is held in memory.
	maxReplyBytes = 8 << 20
	// freeReplyBytes is the part of each body that does not count towards Config.MaxBuffered: most bodies are smaller.
	freeReplyBytes = 16 << 10
)

// errBuffered means that the bodies which are read at once have more than Config.MaxBuffered bytes.
var errBuffered = errors.New("too many bytes of answers are read at once")

// memory bounds the bytes of the bodies that are read at once.
//
// Load pattern: many searchers that send bodies without end at the same time, in place of answers, until their caller
// closes the connection.
type memory struct {
	limit int64
	used  atomic.Int64
}

// readBody reads an answer's body. It leaves the body open: Close would read the rest of one without an end, and the
// connection of an answer that was not read whole is closed anyway.
func (m *memory) readBody(resp *http.Response) ([]byte, error) {
	body := make([]byte, 0, min(max(resp.ContentLength+1, 512), freeReplyBytes))
	charged := int64(0)
	defer func() { m.used.Add(-charged) }()
	for {
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) > maxReplyBytes:
			return nil, &http.MaxBytesError{Limit: maxReplyBytes}
		case len(body) < cap(body):
			continue
		}
		grown := 2 * cap(body)
		if grown > freeReplyBytes {
			extra := int64(grown) - charged
			charged += extra
			if m.used.Add(extra) > m.limit {
				return nil, errBuffered
			}
		}
		body = append(make([]byte, 0, grown), body...)
	}
}
