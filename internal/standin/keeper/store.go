package keeper

import (
	"encoding/json"
	"slices"

	"cornelwood.example/internal/contract/declarer"
)

// maxHistory bounds the writes that reads of old revisions can tell apart.
const maxHistory = 1 << 14

// Object is one object as it is kept. Its value is opaque to the platform.
type Object struct {
	declarer.Key
	// Version is the revision of the store at the object's last write.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// store holds objects under one revision that grows with each write.
type store struct {
	revision uint64
	objects  map[declarer.Key]Object
	// history holds the latest writes in order; base is the state before them.
	history []Object
	base    map[declarer.Key]Object
}

func newStore() store {
	return store{
		objects: make(map[declarer.Key]Object),
		base:    make(map[declarer.Key]Object),
	}
}

// write keeps the value when the object's version is expect, where 0 stands
// for no object. It returns the version after the call and whether it wrote.
func (s *store) write(key declarer.Key, expect uint64, value json.RawMessage) (uint64, bool) {
	if current := s.objects[key].Version; current != expect {
		return current, false
	}
	s.revision++
	o := Object{Key: key, Version: s.revision, Value: value}
	s.objects[key] = o
	s.history = append(s.history, o)
	if len(s.history) > maxHistory {
		oldest := s.history[0]
		s.base[oldest.Key] = oldest
		s.history = s.history[1:]
	}
	return s.revision, true
}

// at returns the objects as they were at a revision.
func (s *store) at(revision uint64) map[declarer.Key]Object {
	if revision >= s.revision {
		return s.objects
	}
	view := make(map[declarer.Key]Object, len(s.base))
	for key, o := range s.base {
		view[key] = o
	}
	for _, o := range s.history {
		if o.Version > revision {
			break
		}
		view[o.Key] = o
	}
	return view
}

// before returns up to n writes at or below a revision, oldest first.
func (s *store) before(revision uint64, n int) []Object {
	end := 0
	for end < len(s.history) && s.history[end].Version <= revision {
		end++
	}
	return slices.Clone(s.history[max(0, end-n):end])
}

// after returns the objects of a view above a version, ordered by version.
func after(view map[declarer.Key]Object, version uint64) []Object {
	objects := make([]Object, 0)
	for _, o := range view {
		if o.Version > version {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return int(a.Version) - int(b.Version) })
	return objects
}
