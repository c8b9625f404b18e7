package spreader

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

// goneRetention is how long the record of an instance that is gone is kept. It
// has to exceed the longest network partition, since a daemon that was cut off
// may come back with an older record.
const goneRetention = time.Hour

// Sizes by which the encoded size of an object is estimated.
const (
	objectBytes  = 256
	replicaBytes = 96
)

// State is the set of objects and instance records that a daemon knows. It is
// not safe for concurrent use.
type State struct {
	objects   map[declarer.Key]objectEntry
	instances map[string]instanceEntry
	// keys holds the mark of every record by bucket.
	keys    [Buckets]map[string]Summary
	digest  [Buckets]uint64
	wanted  map[string]want
	version uint64
}

type objectEntry struct {
	object declarer.Object
	bytes  int
}

type instanceEntry struct {
	instance declarer.Instance
	// goneAt is when the instance was first known to be gone.
	goneAt time.Time
}

// New returns an empty State.
func New() *State {
	s := &State{
		objects:   make(map[declarer.Key]objectEntry),
		instances: make(map[string]instanceEntry),
		wanted:    make(map[string]want),
	}
	for i := range s.keys {
		s.keys[i] = make(map[string]Summary)
	}
	return s
}

// Delta holds the records that a merge has adopted.
type Delta struct {
	Objects   []declarer.Object
	Instances []declarer.Instance
}

// Len returns the number of records.
func (d *Delta) Len() int {
	return len(d.Objects) + len(d.Instances)
}

// Append appends the records of other.
func (d *Delta) Append(other Delta) {
	d.Objects = append(d.Objects, other.Objects...)
	d.Instances = append(d.Instances, other.Instances...)
}

// Merge adopts each record that is newer than the one known, and returns those.
func (s *State) Merge(now time.Time, objects []declarer.Object, instances []declarer.Instance) Delta {
	var d Delta
	for i := range objects {
		if s.mergeObject(&objects[i]) {
			d.Objects = append(d.Objects, objects[i])
		}
	}
	for i := range instances {
		if s.mergeInstance(now, &instances[i]) {
			d.Instances = append(d.Instances, instances[i])
		}
	}
	return d
}

// Version returns the highest version of any object, 0 when there is none.
func (s *State) Version() uint64 {
	return s.version
}

// Object returns the object with a key.
func (s *State) Object(key declarer.Key) (declarer.Object, bool) {
	e, ok := s.objects[key]
	return e.object, ok
}

// Instance returns the record of an instance.
func (s *State) Instance(id string) (declarer.Instance, bool) {
	e, ok := s.instances[id]
	return e.instance, ok
}

// Objects returns all objects, tombstones too, ordered by key.
func (s *State) Objects() []declarer.Object {
	objects := make([]declarer.Object, 0, len(s.objects))
	for _, e := range s.objects {
		objects = append(objects, e.object)
	}
	slices.SortFunc(objects, func(a, b declarer.Object) int { return strings.Compare(a.String(), b.String()) })
	return objects
}

// Instances returns all records of instances, those that are gone too, ordered
// by ID.
func (s *State) Instances() []declarer.Instance {
	instances := make([]declarer.Instance, 0, len(s.instances))
	for _, e := range s.instances {
		instances = append(instances, e.instance)
	}
	slices.SortFunc(instances, func(a, b declarer.Instance) int { return strings.Compare(a.ID, b.ID) })
	return instances
}

// Expire drops the records of instances that have been gone for long, and the
// notes of records that were asked for in vain.
func (s *State) Expire(now time.Time) {
	for key, w := range s.wanted {
		if now.Sub(w.at) >= wantTimeout {
			delete(s.wanted, key)
		}
	}
	for id, e := range s.instances {
		if e.instance.State != declarer.Gone || now.Sub(e.goneAt) < goneRetention {
			continue
		}
		m := instanceMark(&e.instance)
		delete(s.instances, id)
		delete(s.keys[m.bucket()], m.Key)
	}
}

// Root returns the hash of the whole state.
func (s *State) Root() uint64 {
	var buf [8 * Buckets]byte
	for i, d := range s.digest {
		binary.LittleEndian.PutUint64(buf[8*i:], d)
	}
	return xxhash.Sum64(buf[:])
}

func (s *State) mergeObject(o *declarer.Object) bool {
	m := objectMark(o)
	if !isKnownKind(o.Kind) || !s.isNews(m) {
		return false
	}
	s.objects[o.Key] = objectEntry{object: *o, bytes: EstimateBytes(o)}
	s.version = max(s.version, o.Version)
	s.setMark(m)
	return true
}

func (s *State) mergeInstance(now time.Time, in *declarer.Instance) bool {
	m := instanceMark(in)
	if !s.isNews(m) {
		return false
	}
	e := instanceEntry{instance: *in}
	if m.isGone() {
		e.goneAt = now
	}
	s.instances[in.ID] = e
	s.setMark(m)
	return true
}

// isKnownKind reports whether objects of a kind are kept. The platform holds
// others too, and their keys could be taken for those of instances.
func isKnownKind(k declarer.Kind) bool {
	return k == declarer.KindService || k == declarer.KindZone
}

// isNews reports whether a record with the mark is to be adopted. The end of an
// instance that was never known is no news.
func (s *State) isNews(m Summary) bool {
	old, ok := s.keys[m.bucket()][m.Key]
	if !ok {
		return !m.isGone()
	}
	return m.IsNewer(old)
}

// setMark replaces a mark and its part of the digest.
func (s *State) setMark(m Summary) {
	b := m.bucket()
	if old, ok := s.keys[b][m.Key]; ok && !old.isGone() {
		s.digest[b] ^= old.hash()
	}
	if !m.isGone() {
		s.digest[b] ^= m.hash()
	}
	s.keys[b][m.Key] = m
	delete(s.wanted, m.Key)
}

// EstimateBytes returns about how many bytes the object takes when encoded.
func EstimateBytes(o *declarer.Object) int {
	n := objectBytes
	if o.Service == nil {
		return n
	}
	for _, m := range o.Service.Maps {
		for _, sh := range m.Shards {
			n += replicaBytes * len(sh.Replicas)
		}
	}
	return n
}
