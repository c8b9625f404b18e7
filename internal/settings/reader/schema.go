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

// shardPrefix is the prefix of a shard's key, as in "shard.0 = name@zone@address, ...".
const shardPrefix = "shard."

// Schema holds the zones and services that an operator declares in one file.
type Schema struct {
	Zones    []declarer.Zone
	Services []declarer.Service
}

// ReadSchema reads and validates a schema file, which has sections "zone NAME", "service NAME" and "map SERVICE FROM".
// The error joins a FileError for each error in the file.
func ReadSchema(path string) (*Schema, error) {
	l := &errorList{path: path}
	file := loadFile(path, l)
	if file == nil {
		return nil, l.join()
	}
	s := &Schema{}
	for _, sec := range file.Sections() {
		s.readSection(sec, l)
	}
	s.check(l)
	if err := l.join(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Schema) readSection(sec *ini.Section, l *errorList) {
	words := strings.Fields(sec.Name())
	switch {
	case sec.Name() == ini.DefaultSection:
	case len(words) == 2 && words[0] == "zone":
		s.readZone(sec, words[1], l)
	case len(words) == 2 && words[0] == "service":
		s.readService(sec, words[1], l)
	case len(words) == 3 && words[0] == "map":
		s.readMap(sec, words[1], words[2], l)
	default:
		l.addf(sec.Name(), "", "unknown section; want \"zone NAME\", \"service NAME\" or \"map SERVICE FROM\"")
	}
}

func (s *Schema) readZone(sec *ini.Section, name string, l *errorList) {
	z := declarer.Zone{Name: name}
	readSection(sec, sec.Name(), zoneFields(&z), l)
	s.Zones = append(s.Zones, z)
}

// readService reads a service; its shards are the map in use from snapshot version 1 on.
func (s *Schema) readService(sec *ini.Section, name string, l *errorList) {
	sv := declarer.Service{Name: name}
	plain, shards := splitShards(sec)
	readSection(plain, sec.Name(), serviceFields(&sv), l)
	sv.Maps = []declarer.ShardMap{readShards(sec.Name(), shards, 1, l)}
	s.Services = append(s.Services, sv)
}

// readMap reads a further shard map of a service, in use from the snapshot version on that the section names.
func (s *Schema) readMap(sec *ini.Section, service, from string, l *errorList) {
	i := slices.IndexFunc(s.Services, func(sv declarer.Service) bool { return sv.Name == service })
	if i < 0 {
		l.addf(sec.Name(), "", "service %q is not declared above", service)
		return
	}
	v, err := strconv.ParseUint(from, 10, 64)
	if err != nil || v == 0 {
		l.addf(sec.Name(), "", "want a snapshot version above 0, got %q", from)
		return
	}
	plain, shards := splitShards(sec)
	readSection(plain, sec.Name(), nil, l)
	s.Services[i].Maps = append(s.Services[i].Maps, readShards(sec.Name(), shards, v, l))
}

// check validates the declared values and the references between them, in sections that have no errors yet.
func (s *Schema) check(l *errorList) {
	for i := range s.Zones {
		if name := "zone " + s.Zones[i].Name; !l.has(name) {
			addFieldErrors(l, name, s.Zones[i].Check())
		}
	}
	for i := range s.Services {
		sv := &s.Services[i]
		if name := "service " + sv.Name; !l.has(name) {
			addFieldErrors(l, name, sv.Check())
			s.checkZones(sv, l)
		}
	}
}

// checkZones reports upstreams in zones that the file does not declare, if it declares any zones.
func (s *Schema) checkZones(sv *declarer.Service, l *errorList) {
	if len(s.Zones) == 0 {
		return
	}
	for _, u := range sv.Upstreams() {
		known := slices.ContainsFunc(s.Zones, func(z declarer.Zone) bool { return z.Name == u.Zone })
		if !known {
			l.addf("service "+sv.Name, "", "upstream %q is in zone %q, which is not declared", u.Name, u.Zone)
		}
	}
}

// addFieldErrors adds the FieldErrors of a declared object as errors in a section.
func addFieldErrors(l *errorList, section string, err error) {
	for _, fe := range declarer.FieldErrors(err) {
		l.addf(section, fe.Field, "%s", fe.Reason)
	}
}

func zoneFields(z *declarer.Zone) []field {
	return []field{
		{key: "region", required: true, help: "the region of the zone", parse: text(&z.Region)},
		{key: "groups", defaultValue: "1", help: "number of owner groups of the zone's daemons, about one for every eight daemons", parse: integer(&z.Groups, 1, 4096)},
	}
}

func serviceFields(sv *declarer.Service) []field {
	c, p := &sv.Contract, &sv.Capacity
	return []field{
		{key: "class", defaultValue: "search", help: "search, or action for requests that run at most once", parse: oneOf((*string)(&sv.Class), "search", "action")},
		{key: "deadline", defaultValue: "300ms", help: "deadline of queries that do not set one", parse: duration(&c.Deadline.Duration, 0)},
		{key: "latency", defaultValue: "120ms", help: "objective: the time within which queries are answered", parse: duration(&c.Latency.Duration, 0)},
		{key: "quantile", defaultValue: "0.99", help: "objective: the share of answers within the latency", parse: fraction(&c.Quantile)},
		{key: "coverage", defaultValue: "1", help: "objective: the share of shards in a good answer", parse: fraction(&c.Coverage)},
		{key: "priority", defaultValue: "5", help: "priority under overload: 0 is shed first, 9 last", parse: integer(&c.Priority, 0, 9)},
		{key: "hedge", defaultValue: "true", help: "whether slow sub-requests are hedged and failed ones retried", parse: boolean(&c.Hedge)},
		{key: "slots", required: true, help: "requests that a warm upstream runs concurrently", parse: integer(&p.Slots, 1, 1024)},
		{key: "cold", defaultValue: "1", help: "requests that a cold upstream runs concurrently", parse: integer(&p.ColdSlots, 1, 1024)},
		{key: "connections", required: true, help: "connections that an upstream accepts", parse: integer(&p.Connections, 1, 4096)},
	}
}

// splitShards returns a section with the keys of sec other than shard keys, and the shard keys.
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

// readShards reads shard keys into a shard map in use from snapshot version from on.
func readShards(section string, shards []*ini.Key, from uint64, l *errorList) declarer.ShardMap {
	m := declarer.ShardMap{FromVersion: from}
	for _, k := range shards {
		sh, err := parseShard(k.Name(), k.Value())
		if err != nil {
			l.addf(section, k.Name(), "%v", err)
			continue
		}
		m.Shards = append(m.Shards, sh)
	}
	return m
}

// parseShard parses a shard: its id is in the key, the value lists its upstreams, separated by commas.
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

// parseUpstream parses an upstream written as "name@zone@address".
func parseUpstream(s string) (declarer.Upstream, error) {
	parts := strings.Split(s, "@")
	if len(parts) != 3 {
		return declarer.Upstream{}, fmt.Errorf("want upstreams as \"name@zone@address\", got %q", s)
	}
	addr, err := netip.ParseAddrPort(parts[2])
	if err != nil {
		return declarer.Upstream{}, fmt.Errorf("upstream %q: want an IP address and port, got %q", parts[0], parts[2])
	}
	return declarer.Upstream{Name: parts[0], Zone: parts[1], Addr: addr}, nil
}
