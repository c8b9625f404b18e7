package searcher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"

	"golang.org/x/sync/errgroup"

	"cornelwood.example/internal/contract/declarer"
)

// FleetConfig holds the settings of a Fleet.
type FleetConfig struct {
	// Template holds the settings that all searchers share. Service, Name, Shards, Holds, Slots, ColdSlots and
	// Connections come from the service. A zero Oldest is taken from its first shard map and a zero Newest from its last.
	Template Config
	// Configure changes the settings of a single searcher; nil means no changes.
	Configure func(service *declarer.Service, upstream declarer.Upstream, cfg *Config)
	// AnyPort makes the searchers listen on free ports instead of the declared ones.
	AnyPort bool
}

// Fleet runs the searchers of many services in one process.
type Fleet struct {
	services  []declarer.Service
	searchers map[string]*Searcher
	cleanups  []func()
	group     errgroup.Group
}

// NewFleet starts a searcher for each upstream of the services. It returns the fleet and a function that stops it, or
// an error when the settings of a searcher are invalid or its address cannot be listened on.
func NewFleet(cfg FleetConfig, services []declarer.Service) (*Fleet, func(), error) {
	f := &Fleet{searchers: make(map[string]*Searcher)}
	for _, s := range services {
		if err := f.startService(&cfg, copyService(s)); err != nil {
			f.close()
			return nil, nil, err
		}
	}
	return f, f.close, nil
}

// Services returns the services with the addresses that the searchers listen on.
func (f *Fleet) Services() []declarer.Service {
	return f.services
}

// Searcher returns the searcher of an upstream, or nil when there is none.
func (f *Fleet) Searcher(service, upstream string) *Searcher {
	return f.searchers[service+"/"+upstream]
}

// Each calls do for each searcher, in no particular order.
func (f *Fleet) Each(do func(service, upstream string, s *Searcher)) {
	for _, s := range f.searchers {
		do(s.cfg.Service, s.cfg.Name, s)
	}
}

// startService starts the searchers of one service.
func (f *Fleet) startService(cfg *FleetConfig, s declarer.Service) error {
	addrs := make(map[string]netip.AddrPort)
	for _, u := range s.Upstreams() {
		addr, err := f.startSearcher(cfg, &s, u)
		if err != nil {
			return fmt.Errorf("service %q, upstream %q: %w", s.Name, u.Name, err)
		}
		addrs[u.Name] = addr
	}
	setAddresses(&s, addrs)
	f.services = append(f.services, s)
	return nil
}

// startSearcher starts the searcher of one upstream and returns the address that it listens on.
func (f *Fleet) startSearcher(cfg *FleetConfig, s *declarer.Service, u declarer.Upstream) (netip.AddrPort, error) {
	c := searcherConfig(cfg, s, u)
	sr, cleanup, err := New(c)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.cleanups = append(f.cleanups, cleanup)
	addr := u.Addr
	if cfg.AnyPort {
		addr = netip.AddrPortFrom(addr.Addr(), 0)
	}
	ln, err := Listen(addr)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.searchers[s.Name+"/"+u.Name] = sr
	f.group.Go(func() error { return sr.Serve(ln) })
	return netip.ParseAddrPort(ln.Addr().String())
}

// Shutdown stops listening and waits for running requests until ctx ends.
func (f *Fleet) Shutdown(ctx context.Context) error {
	var g errgroup.Group
	for _, s := range f.searchers {
		g.Go(func() error { return s.Shutdown(ctx) })
	}
	return g.Wait()
}

func (f *Fleet) close() {
	for _, cleanup := range f.cleanups {
		cleanup()
	}
	// The error of a searcher that stopped early is dropped: tests that use the searcher fail without it.
	_ = f.group.Wait()
}

// Listen returns a TCP listener on an address.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	if !addr.IsValid() {
		return nil, errors.New("listen: want an IP address and port")
	}
	var lc net.ListenConfig
	return lc.Listen(context.Background(), "tcp", addr.String())
}

// searcherConfig returns the settings of the searcher of one upstream.
func searcherConfig(cfg *FleetConfig, s *declarer.Service, u declarer.Upstream) Config {
	c := cfg.Template
	c.Service, c.Name = s.Name, u.Name
	c.Slots, c.ColdSlots, c.Connections = s.Capacity.Slots, s.Capacity.ColdSlots, s.Capacity.Connections
	last := s.Maps[len(s.Maps)-1].FromVersion
	if c.Oldest == 0 {
		c.Oldest = max(1, s.Maps[0].FromVersion)
	}
	if c.Newest == 0 {
		c.Newest = max(c.Oldest, last)
	}
	copied := *s
	c.Holds = func(shard int, version uint64) bool { return holdsShard(&copied, u.Name, shard, version) }
	c.Shards = heldShards(s, u.Name)
	if cfg.Configure != nil {
		cfg.Configure(s, u, &c)
	}
	return c
}

// heldShards returns the IDs of the shards that an upstream holds in at least one version.
func heldShards(s *declarer.Service, upstream string) []int {
	var shards []int
	for _, m := range s.Maps {
		for _, sh := range m.Shards {
			if hasReplica(sh, upstream) && !slices.Contains(shards, sh.ID) {
				shards = append(shards, sh.ID)
			}
		}
	}
	return shards
}

// holdsShard reports whether an upstream is a replica of a shard in a version.
func holdsShard(s *declarer.Service, upstream string, shard int, version uint64) bool {
	m, ok := s.MapFor(version)
	return ok && slices.ContainsFunc(m.Shards, func(sh declarer.Shard) bool {
		return sh.ID == shard && hasReplica(sh, upstream)
	})
}

// hasReplica reports whether an upstream is a replica of a shard.
func hasReplica(sh declarer.Shard, upstream string) bool {
	return slices.ContainsFunc(sh.Replicas, func(u declarer.Upstream) bool { return u.Name == upstream })
}

// setAddresses replaces the addresses of a service's upstreams; addrs is keyed by the upstream's name.
func setAddresses(s *declarer.Service, addrs map[string]netip.AddrPort) {
	for _, m := range s.Maps {
		for _, sh := range m.Shards {
			for i := range sh.Replicas {
				sh.Replicas[i].Addr = addrs[sh.Replicas[i].Name]
			}
		}
	}
}

// copyService returns a copy of s that shares no shard maps with it.
func copyService(s declarer.Service) declarer.Service {
	s.Maps = slices.Clone(s.Maps)
	for i := range s.Maps {
		s.Maps[i].Shards = slices.Clone(s.Maps[i].Shards)
		for j := range s.Maps[i].Shards {
			sh := &s.Maps[i].Shards[j]
			sh.Replicas = slices.Clone(sh.Replicas)
		}
	}
	return s
}
