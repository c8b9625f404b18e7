package connector

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is one request to a searcher.
type Request struct {
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers; it is not changed.
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body from none.
	HasBody bool
	// ID is the ID of the client's request; the answer repeats it.
	ID string
	// Instance is the searcher that must run the request; any other refuses it.
	Instance string
	// Account is the name of the client account; empty means none.
	Account string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// MaxIdle is the number of idle connections to the searcher that stay open for
	// Config.IdleTimeout, 0 for no bound; the others close after Config.SurplusTimeout.
	MaxIdle int
}

// Reply is a searcher's complete answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Meta   Meta
	// Surplus is true when the searcher had sent bytes after the end of the answer.
	Surplus bool
	// reusable is true when the connection can carry another exchange.
	reusable bool
	// charge is what the body takes of the memory for answers.
	charge *charge
}

// Release tells that the body is not needed any more. A reply that is dropped without it counts until it is collected.
func (r *Reply) Release() {
	if r.charge != nil {
		r.charge.release()
	}
}

// IsSigned reports whether the answer is the searcher's own: signed, or a refusal.
func (r *Reply) IsSigned() bool {
	return r.Meta.Stamp != "" || r.IsRefusal()
}

// IsRefusal reports whether the searcher did not run the request, so that it may get it again.
func (r *Reply) IsRefusal() bool {
	return r.Meta.NotRun || r.Status == http.StatusMisdirectedRequest
}

// Meta holds the values of an answer's headers that are specific to searchers.
type Meta struct {
	// RequestID is the ID of the request that was answered; empty when not stated.
	RequestID string
	// Stamp is the searcher's signature of the answer.
	Stamp string
	// NotRun is true when the searcher states that it did not run the request.
	NotRun bool
	// Instance is the searcher that answered; empty when not stated.
	Instance string
	// Leaving is true when the searcher is about to stop and wants no new request.
	Leaving bool
	// HoldOff is how long the searcher wants no request from this daemon, 0 when not stated. It counts in an answer with
	// status 503.
	HoldOff time.Duration
}

// Codec writes the headers of a request that are specific to searchers, and reads those of
// an answer.
type Codec interface {
	// Write sets the headers of a request; left is the time until its deadline.
	Write(h http.Header, req *Request, left time.Duration)
	// Read returns the values of an answer's headers.
	Read(h http.Header) Meta
}

// head returns the request line and the header, ready to be written.
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
	// A write to a buffer never fails.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
