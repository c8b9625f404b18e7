package router

import (
	"context"
	"net/netip"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/peer/linker"
	"cornelwood.example/internal/route/delegator"
	"cornelwood.example/internal/route/selector"
)

const (
	// gatherStream is the name of the streams on which daemons gather queries for each other.
	gatherStream = "Gather"
	// probeCall is the name of the call that asks whether a daemon can gather queries; codeNotReady is the code of its
	// error when it cannot.
	probeCall    = "Probe"
	codeNotReady = "not_ready"
)

// peers reaches other daemons by the linker.
type peers struct {
	linker *linker.Linker
}

var (
	_ delegator.Opener = (*peers)(nil)
	_ selector.Prober  = (*peers)(nil)
)

// Open opens a stream on which a daemon gathers a query.
func (p *peers) Open(ctx context.Context, peer netip.AddrPort) (delegator.Stream, func(complete bool), error) {
	s, end, err := p.linker.OpenStream(ctx, peer, gatherStream)
	if err != nil {
		return nil, nil, err
	}
	return s, end, nil
}

// Probe asks a daemon whether it can gather queries.
func (p *peers) Probe(ctx context.Context, m *declarer.Member) error {
	return p.linker.Call(ctx, m.Peer, probeCall, nil, nil)
}
