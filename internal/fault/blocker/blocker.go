// Package blocker cuts a daemon off from chosen addresses, so that tests of
// separate processes can make partitions. It is off unless the settings turn it
// on.
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

// FaultsPath is the operators' call that sets what is blocked.
const FaultsPath = "/v1/faults"

// maxBody bounds the body of a call.
const maxBody = 64 << 10

// Blocker holds the addresses that this daemon's messages do not reach. Messages
// that come from there still arrive, so that one call makes a one-way cut.
type Blocker struct {
	blocked atomic.Pointer[map[netip.AddrPort]bool]
}

// BlockRequest is the body of a call: the addresses blocked from then on.
type BlockRequest struct {
	Block []netip.AddrPort `json:"block"`
}

// BlockedError says that a message was dropped.
type BlockedError struct {
	Addr string
}

// Error returns the address.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("the way to %s is cut for a test", e.Addr)
}

// New returns a Blocker that blocks nothing.
func New() *Blocker {
	b := &Blocker{}
	b.Set(nil)
	return b
}

// Set replaces the blocked addresses.
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

// Transport returns an HTTP transport whose requests to blocked addresses get no
// answer until their context ends.
func (b *Blocker) Transport() http.RoundTripper {
	return &transport{b: b, next: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
}

// Handler returns a handler of POST /v1/faults, which passes other paths on to
// next.
func (b *Blocker) Handler(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("POST "+FaultsPath, b.serve)
	return mux
}

func (b *Blocker) serve(w http.ResponseWriter, r *http.Request) {
	var cut BlockRequest
	if err := decoder.Decode(w, r, maxBody, &cut); err != nil {
		decoder.WriteError(w, err)
		return
	}
	for i, a := range cut.Block {
		if !a.IsValid() {
			decoder.WriteError(w, &answerer.RefusalError{
				Code: answerer.CodeBadField, Field: fmt.Sprintf("block[%d]", i), Outcome: answerer.NotRun,
				Reason: "want an IP number and port",
			})
			return
		}
	}
	b.Set(cut.Block)
	decoder.Write(w, http.StatusOK, cut)
}

// transport drops requests to blocked addresses.
type transport struct {
	b    *Blocker
	next http.RoundTripper
}

// RoundTrip sends a request, or waits for the end of its context. An answer that
// comes after the address was blocked is dropped too: the platform sends nothing
// of its own accord that a cut would stop.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	addr, err := netip.ParseAddrPort(req.URL.Host)
	if err != nil {
		return t.next.RoundTrip(req)
	}
	if t.b.IsBlocked(addr) {
		return nil, t.dropped(req.Context(), req.URL.Host)
	}
	resp, err := t.next.RoundTrip(req)
	if err == nil && t.b.IsBlocked(addr) {
		resp.Body.Close()
		return nil, t.dropped(req.Context(), req.URL.Host)
	}
	return resp, err
}

func (t *transport) dropped(ctx context.Context, host string) error {
	<-ctx.Done()
	return &BlockedError{Addr: host}
}
