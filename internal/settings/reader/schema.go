package reader

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"cornelwood.example/internal/contract/declarer"
)

// shardPrefix opens the key of a shard: "shard.0 = name@zone@address, ...".
const shardPrefix = "shard."

// Schema is what an operator declares in one file.
type Schema struct {
	Zones    []declarer.Zone
	Services []declarer.Service
}

// ReadSchema reads and checks the schema file at path: sections "zone NAME",
// "service NAME" and "map SERVICE FROM". The error joins a FaultError for every
// fault.
func ReadSchema(path string) (*Schema, error) {
	f := &faults{file: path}
	file := loadFile(path, f)
	if file == nil {
		return nil, f.join()
	}
	s := &Schema{}
	for _, sec := range file.Sections() {
		s.readSection(sec, f)
	}
	s.check(f)
	if err := f.join(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Schema) readSection(sec *ini.Section, f *faults) {
	words := strings.Fields(sec.Name())
	switch {
	case sec.Name() == ini.DefaultSection:
	case len(words) == 2 && words[0] == "zone":
		s.readZone(sec, words[1], f)
	case len(words) == 2 && words[0] == "service":
		s.readService(sec, words[1], f)
	case len(words) == 3 && words[0] == "map":
		s.readMap(sec, words[1], words[2], f)
	default:
		f.addf(sec.Name(), "", "unknown section; want \"zone NAME\", \"service NAME\" or \"map SERVICE FROM\"")
	}
}

func (s *Schema) readZone(sec *ini.Section, name string, f *faults) {
	z := declarer.Zone{Name: name}
	readSection(sec, sec.Name(), zoneFields(&z), f)
	s.Zones = append(s.Zones, z)
}

func (s *Schema) readService(sec *ini.Section, name string, f *faults) {
	sv := declarer.Service{Name: name}
	plain, shards := splitShards(sec)
	readSection(plain, sec.Name(), serviceFields(&sv), f)
	sv.Maps = []declarer.ShardMap{readShards(sec.Name(), shards, 1, f)}
	s.Services = append(s.Services, sv)
}

func (s *Schema) readMap(sec *ini.Section, service, from string, f *faults) {
	i := slices.IndexFunc(s.Services, func(sv declarer.Service) bool { return sv.Name == service })
	if i < 0 {
		f.addf(sec.Name(), "", "service %q is not declared above", service)
		return
	}
	v, err := strconv.ParseUint(from, 10, 64)
	if err != nil || v == 0 {
		f.addf(sec.Name(), "", "want a snapshot version above 0, got %q", from)
		return
	}
	plain, shards := splitShards(sec)
	readSection(plain, sec.Name(), nil, f)
	s.Services[i].Maps = append(s.Services[i].Maps, readShards(sec.Name(), shards, v, f))
}

// check checks the declared values and the references between them.
func (s *Schema) check(f *faults) {
	for i := range s.Zones {
		if name := "zone " + s.Zones[i].Name; !f.has(name) {
			addFields(f, name, s.Zones[i].Check())
		}
	}
	for i := range s.Services {
		sv := &s.Services[i]
		if name := "service " + sv.Name; !f.has(name) {
			addFields(f, name, sv.Check())
			s.checkZones(sv, f)
		}
	}
}

// checkZones refuses upstreams in zones that the file does not declare, when it
// declares any.
func (s *Schema) checkZones(sv *declarer.Service, f *faults) {
	if len(s.Zones) == 0 {
		return
	}
	for _, u := range sv.Upstreams() {
		known := slices.ContainsFunc(s.Zones, func(z declarer.Zone) bool { return z.Name == u.Zone })
		if !known {
			f.addf("service "+sv.Name, "", "upstream %q lies in zone %q, which is not declared", u.Name, u.Zone)
		}
	}
}

func addFields(f *faults, section string, err error) {
	for _, fe := range declarer.FieldErrors(err) {
		f.addf(section, fe.Field, "%s", fe.Reason)
	}
}

func zoneFields(z *declarer.Zone) []field {
	return []field{
		{key: "region", required: true, help: "the region of the zone", parse: text(&z.Region)},
		{key: "groups", preset: "1", help: "owner groups of the zone's daemons, about one for eight daemons", parse: integer(&z.Groups, 1, 4096)},
	}
}

func serviceFields(sv *declarer.Service) []field {
	c, p := &sv.Contract, &sv.Capacity
	return []field{
		{key: "class", preset: "search", help: "search, or action for requests that run at most once", parse: oneOf((*string)(&sv.Class), "search", "action")},
		{key: "deadline", preset: "300ms", help: "time for a query that names none", parse: duration(&c.Deadline.Duration, 0)},
		{key: "latency", preset: "120ms", help: "objective: the time within which answers come", parse: duration(&c.Latency.Duration, 0)},
		{key: "quantile", preset: "0.99", help: "objective: the share of answers within the latency", parse: fraction(&c.Quantile)},
		{key: "coverage", preset: "1", help: "objective: the share of shards in a good answer", parse: fraction(&c.Coverage)},
		{key: "priority", preset: "5", help: "0 is shed first, 9 last", parse: integer(&c.Priority, 0, 9)},
		{key: "hedge", preset: "true", help: "whether slow sub-requests are hedged and failed ones retried", parse: boolean(&c.Hedge)},
		{key: "slots", required: true, help: "requests that a warm upstream runs at once", parse: integer(&p.Slots, 1, 1024)},
		{key: "cold", preset: "1", help: "requests that a cold upstream runs at once", parse: integer(&p.ColdSlots, 1, 1024)},
		{key: "connections", required: true, help: "connections that an upstream accepts", parse: integer(&p.Connections, 1, 4096)},
	}
}

// splitShards returns the section without its shard keys, and the shard keys.
func splitShards(sec *ini.Section) (*ini.Section, []*ini.Key) {
	plain := ini.Empty().Section("")
	var shards []*ini.Key
	for _, k := range sec.Keys() {
		if strings.HasPrefix(k.Name(), shardPrefix) {
			shards = append(shards, k)
			continue
		}
		if _, err := plain.NewKey(k.Name(), k.Value()); err != nil {
			continue
		}
	}
	return plain, shards
}

func readShards(section string, shards []*ini.Key, from uint64, f *faults) declarer.ShardMap {
	m := declarer.ShardMap{FromVersion: from}
	for _, k := range shards {
		sh, err := parseShard(k.Name(), k.Value())
		if err != nil {
			f.addf(section, k.Name(), "%v", err)
			continue
		}
		m.Shards = append(m.Shards, sh)
	}
	return m
}

func parseShard(key, value string) (declarer.Shard, error) {
	id, err := strconv.Atoi(strings.TrimPrefix(key, shardPrefix))
	if err != nil {
		return declarer.Shard{}, fmt.Errorf("want a shard number after %q", shardPrefix)
	}
	sh := declarer.Shard{ID: id}
	for part := range strings.SplitSeq(value, ",") {
		u, err := parseUpstream(strings.TrimSpace(part))
		if err != nil {
			return declarer.Shard{}, err
		}
		sh.Replicas = append(sh.Replicas, u)
	}
	return sh, nil
}

func parseUpstream(s string) (declarer.Upstream, error) {
	parts := strings.Split(s, "@")
	if len(parts) != 3 {
		return declarer.Upstream{}, fmt.Errorf("want upstreams as \"name@zone@address\", got %q", s)
	}
	addr, err := netip.ParseAddrPort(parts[2])
	if err != nil {
		return declarer.Upstream{}, fmt.Errorf("upstream %q: want an IP number and port, got %q", parts[0], parts[2])
	}
	return declarer.Upstream{Name: parts[0], Zone: parts[1], Addr: addr}, nil
}
