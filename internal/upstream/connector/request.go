package connector

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// maxReplyBytes bounds the body of an answer, which is held in memory.
const maxReplyBytes = 8 << 20

// Request is one request to a searcher.
type Request struct {
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers; it is not changed.
	Header http.Header
	Body   []byte
	// HasBody tells a body of no bytes from none.
	HasBody bool
	// ID names the client's request; the answer repeats it.
	ID string
	// Instance is the searcher that is to answer; any other refuses.
	Instance string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// MaxIdle is the number of idle connections to keep to the searcher for long, 0 for
	// no bound.
	MaxIdle int
}

// Reply is a searcher's whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Meta   Meta
	// reusable is true when the connection can carry another exchange.
	reusable bool
}

// Meta is what the headers of an answer say beside HTTP's own.
type Meta struct {
	// RequestID names the request that was answered; empty when not stated.
	RequestID string
	// Stamp is the searcher's signature of the answer.
	Stamp string
	// NotRun is the searcher's promise that it did not run the request.
	NotRun bool
	// Instance is the searcher that answered, when it says so.
	Instance string
}

// Codec writes and reads the headers of an exchange.
type Codec interface {
	// Write sets the headers of a request; left is the time until its deadline.
	Write(h http.Header, req *Request, left time.Duration)
	Read(h http.Header) Meta
}

// head returns the request line and the header.
func (req *Request) head(codec Codec) []byte {
	h := req.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	codec.Write(h, req, time.Until(req.Deadline))
	h.Del("Content-Length")
	if req.HasBody || len(req.Body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(req.Body)))
	}
	var b bytes.Buffer
	b.Grow(512 + len(req.Body))
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	// A buffer takes every write.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
