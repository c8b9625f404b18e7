// Package blocker drops a daemon's outgoing messages to chosen addresses, so that tests with several processes can
// create network partitions. Its HTTP call is served only when the settings enable it.
package blocker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/web/decoder"
)

// FaultsPath is the path of the operators' call that sets the blocked addresses.
const FaultsPath = "/v1/faults"

// maxBodyBytes is the largest body of a call.
const maxBodyBytes = 64 << 10

// Blocker holds the addresses to which this daemon's messages are dropped. Messages from these addresses still arrive,
// so that one call creates a one-way partition.
type Blocker struct {
	blocked atomic.Pointer[map[netip.AddrPort]bool]
}

// BlockRequest is the body of a call.
type BlockRequest struct {
	// Block replaces the list of blocked addresses.
	Block []netip.AddrPort `json:"block"`
}

// BlockedError is the error of a message that was dropped.
type BlockedError struct {
	// Addr is the destination of the message.
	Addr string
}

// Error returns a message with the address.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("messages to %s are blocked for a test", e.Addr)
}

// New returns a Blocker that blocks nothing.
func New() *Blocker {
	b := &Blocker{}
	b.Set(nil)
	return b
}

// Set replaces the list of blocked addresses.
func (b *Blocker) Set(addrs []netip.AddrPort) {
	blocked := make(map[netip.AddrPort]bool, len(addrs))
	for _, a := range addrs {
		blocked[a] = true
	}
	b.blocked.Store(&blocked)
}

// IsBlocked reports whether messages to an address are dropped.
func (b *Blocker) IsBlocked(addr netip.AddrPort) bool {
	return (*b.blocked.Load())[addr]
}

// Transport returns an HTTP transport that drops requests to blocked addresses: they fail with a *BlockedError when
// their context ends. A host that is not an IP address and port is never blocked.
func (b *Blocker) Transport() http.RoundTripper {
	return &transport{b: b, next: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
}

// Handler returns a handler of POST /v1/faults that passes all other calls to next.
func (b *Blocker) Handler(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("POST "+FaultsPath, b.serve)
	return mux
}

// serve replaces the list of blocked addresses by that of the body and answers with the list.
func (b *Blocker) serve(w http.ResponseWriter, r *http.Request) {
	var body BlockRequest
	if err := decoder.Decode(w, r, maxBodyBytes, &body); err != nil {
		decoder.WriteError(w, err)
		return
	}
	for i, a := range body.Block {
		if !a.IsValid() {
			decoder.WriteError(w, &answerer.RefusalError{
				Code: answerer.CodeBadField, Field: fmt.Sprintf("block[%d]", i), Outcome: answerer.NotRun,
				Reason: "want an IP address and port",
			})
			return
		}
	}
	b.Set(body.Block)
	decoder.Write(w, http.StatusOK, body)
}

// transport drops requests to blocked addresses and passes all others to next.
type transport struct {
	b    *Blocker
	next http.RoundTripper
}

// RoundTrip sends a request, or waits for the end of its context when the address is blocked. An answer that arrives
// after the address was blocked is dropped too, since the platform sends nothing but answers: a partition has no other
// message from it to drop.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	addr, err := netip.ParseAddrPort(req.URL.Host)
	if err != nil {
		return t.next.RoundTrip(req)
	}
	if t.b.IsBlocked(addr) {
		return nil, t.waitBlocked(req.Context(), req.URL.Host)
	}
	resp, err := t.next.RoundTrip(req)
	if err == nil && t.b.IsBlocked(addr) {
		resp.Body.Close()
		return nil, t.waitBlocked(req.Context(), req.URL.Host)
	}
	return resp, err
}

// waitBlocked waits for the end of ctx and returns a *BlockedError.
func (t *transport) waitBlocked(ctx context.Context, host string) error {
	<-ctx.Done()
	return &BlockedError{Addr: host}
}
