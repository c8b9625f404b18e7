package spreader

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

// goneRetention is how long the record of an instance that is gone is retained. It has to
// exceed the longest network partition, since a daemon may hold an older record when the
// partition ends.
const goneRetention = time.Hour

// Approximate encoded sizes by which EstimateBytes computes the size of an object.
const (
	objectBytes  = 256
	replicaBytes = 96
)

// State is the set of objects and instance records that a daemon knows. It is
// not safe for concurrent use.
type State struct {
	objects   map[declarer.Key]objectEntry
	instances map[string]instanceEntry
	// summaries holds the summary of every record, by bucket and key.
	summaries [Buckets]map[string]Summary
	digest    [Buckets]uint64
	// requested holds the latest request for each record not received yet, by key.
	requested map[string]request
	// version is the highest version of any object.
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
		requested: make(map[string]request),
	}
	for i := range s.summaries {
		s.summaries[i] = make(map[string]Summary)
	}
	return s
}

// Delta holds the records that a merge adopted.
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

// Merge adopts each record that is newer than the known one, and returns the adopted
// records.
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

// Object returns the object with a key, and false when none is known.
func (s *State) Object(key declarer.Key) (declarer.Object, bool) {
	e, ok := s.objects[key]
	return e.object, ok
}

// Instance returns the record of the instance with an ID, and false when none is known.
func (s *State) Instance(id string) (declarer.Instance, bool) {
	e, ok := s.instances[id]
	return e.instance, ok
}

// Objects returns all objects including tombstones, ordered by key.
func (s *State) Objects() []declarer.Object {
	objects := make([]declarer.Object, 0, len(s.objects))
	for _, e := range s.objects {
		objects = append(objects, e.object)
	}
	slices.SortFunc(objects, func(a, b declarer.Object) int { return strings.Compare(a.String(), b.String()) })
	return objects
}

// Instances returns the records of all instances including those that are gone, ordered
// by ID.
func (s *State) Instances() []declarer.Instance {
	instances := make([]declarer.Instance, 0, len(s.instances))
	for _, e := range s.instances {
		instances = append(instances, e.instance)
	}
	slices.SortFunc(instances, func(a, b declarer.Instance) int { return strings.Compare(a.ID, b.ID) })
	return instances
}

// Expire drops the records of instances that have been gone for goneRetention, and the
// requests that had no answer within requestTimeout.
func (s *State) Expire(now time.Time) {
	for key, req := range s.requested {
		if now.Sub(req.at) >= requestTimeout {
			delete(s.requested, key)
		}
	}
	for id, e := range s.instances {
		if e.instance.State != declarer.Gone || now.Sub(e.goneAt) < goneRetention {
			continue
		}
		sum := summarizeInstance(&e.instance)
		delete(s.instances, id)
		delete(s.summaries[sum.bucket()], sum.Key)
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
	sum := summarizeObject(o)
	if !isKnownKind(o.Kind) || !s.isNew(sum) {
		return false
	}
	s.objects[o.Key] = objectEntry{object: *o, bytes: EstimateBytes(o)}
	s.version = max(s.version, o.Version)
	s.setSummary(sum)
	return true
}

func (s *State) mergeInstance(now time.Time, in *declarer.Instance) bool {
	sum := summarizeInstance(in)
	if !s.isNew(sum) {
		return false
	}
	e := instanceEntry{instance: *in}
	if sum.isGone() {
		e.goneAt = now
	}
	s.instances[in.ID] = e
	s.setSummary(sum)
	return true
}

// isKnownKind reports whether objects of a kind are part of the state. The platform holds
// objects of other kinds, whose keys could be equal to those of instances.
func isKnownKind(k declarer.Kind) bool {
	return k == declarer.KindService || k == declarer.KindZone
}

// isNew reports whether the summarized record should be adopted. A record of an unknown
// instance that is gone is not.
func (s *State) isNew(sum Summary) bool {
	old, ok := s.summaries[sum.bucket()][sum.Key]
	if !ok {
		return !sum.isGone()
	}
	return sum.IsNewer(old)
}

// setSummary replaces a summary and its part of the digest.
func (s *State) setSummary(sum Summary) {
	b := sum.bucket()
	if old, ok := s.summaries[b][sum.Key]; ok && !old.isGone() {
		s.digest[b] ^= old.hash()
	}
	if !sum.isGone() {
		s.digest[b] ^= sum.hash()
	}
	s.summaries[b][sum.Key] = sum
	delete(s.requested, sum.Key)
}

// EstimateBytes returns the approximate encoded size of an object, in bytes.
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
