package storer

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"cornelwood.example/internal/contract/declarer"
)

// KindInstance is the kind in the key of a faulty instance.
const KindInstance declarer.Kind = "instance"

// envelope is one object as the platform sends it.
type envelope struct {
	declarer.Key
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// value is one object as the platform keeps it: without its version.
type value struct {
	declarer.Object
	// Version hides the object's field.
	Version *struct{} `json:"version,omitempty"`
}

// decodeBatch reads a list or a watch answer. The error is a *FaultsError when
// only some objects are faulty; the others are returned with it.
func decodeBatch(data []byte) ([]declarer.Object, uint64, error) {
	var b struct {
		Revision *uint64    `json:"revision"`
		Objects  []envelope `json:"objects"`
	}
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, 0, fmt.Errorf("answer: %w", err)
	}
	if b.Revision == nil {
		return nil, 0, fmt.Errorf("answer: want a revision")
	}
	objects := make([]declarer.Object, 0, len(b.Objects))
	var faults []ObjectFault
	for _, e := range b.Objects {
		o, err := e.open()
		if err != nil {
			faults = append(faults, ObjectFault{Key: e.Key, Version: e.Version, Err: err})
			continue
		}
		objects = append(objects, o)
	}
	return objects, *b.Revision, joinFaults(faults)
}

// decodeObject reads the answer to a Get.
func decodeObject(data []byte) (declarer.Object, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return declarer.Object{}, fmt.Errorf("answer: %w", err)
	}
	o, err := e.open()
	if err != nil {
		return declarer.Object{}, &FaultsError{Faults: []ObjectFault{{Key: e.Key, Version: e.Version, Err: err}}}
	}
	return o, nil
}

// open checks the object inside.
func (e *envelope) open() (declarer.Object, error) {
	if e.Version == 0 {
		return declarer.Object{}, fmt.Errorf("version: want above 0")
	}
	if len(e.Value) > maxValueBytes {
		return declarer.Object{}, fmt.Errorf("value: want at most %d bytes, got %d", maxValueBytes, len(e.Value))
	}
	o, err := declarer.DecodeObject(e.Value)
	if err != nil {
		return declarer.Object{}, err
	}
	if o.Key != e.Key {
		return declarer.Object{}, fmt.Errorf("value: object %s carries object %s", e.Key, o.Key)
	}
	o.Version = e.Version
	return o, nil
}

// decodeVersion reads the answer to a Put.
func decodeVersion(data []byte) (uint64, error) {
	var v struct {
		Version *uint64 `json:"version"`
	}
	if err := json.Unmarshal(data, &v); err != nil {
		return 0, fmt.Errorf("answer: %w", err)
	}
	if v.Version == nil {
		return 0, fmt.Errorf("answer: want a version")
	}
	return *v.Version, nil
}

// listed is one instance as the platform lists it.
type listed struct {
	ID    string         `json:"id"`
	Zone  string         `json:"zone"`
	Peer  netip.AddrPort `json:"peer"`
	State string         `json:"state"`
}

// decodeInstances reads the list of instances. The error is a *FaultsError when
// only some instances are faulty; the others are returned with it.
func decodeInstances(data []byte) ([]declarer.Instance, error) {
	var l struct {
		Instances []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	instances := make([]declarer.Instance, 0, len(l.Instances))
	var faults []ObjectFault
	for _, raw := range l.Instances {
		i, id, err := decodeInstance(raw)
		if err != nil {
			key := declarer.Key{Kind: KindInstance, Name: id}
			faults = append(faults, ObjectFault{Key: key, Err: err})
			continue
		}
		instances = append(instances, i)
	}
	return instances, joinFaults(faults)
}

// decodeInstance returns an instance, or its id as far as known and its fault.
func decodeInstance(raw json.RawMessage) (declarer.Instance, string, error) {
	var l listed
	if err := json.Unmarshal(raw, &l); err != nil {
		return declarer.Instance{}, l.ID, err
	}
	i := declarer.Instance{ID: l.ID, Zone: l.Zone, Peer: l.Peer}
	switch l.State {
	case declarer.Live.String():
		i.State = declarer.Live
	case declarer.Leaving.String():
		i.State = declarer.Leaving
	default:
		return i, l.ID, fmt.Errorf("state: want %q or %q, got %q", declarer.Live, declarer.Leaving, l.State)
	}
	if l.ID == "" || l.Zone == "" {
		return i, l.ID, fmt.Errorf("id and zone: want names, got %q and %q", l.ID, l.Zone)
	}
	if !l.Peer.IsValid() || l.Peer.Port() == 0 {
		return i, l.ID, fmt.Errorf("peer: want an IP number and port, got %q", l.Peer)
	}
	return i, l.ID, nil
}

func joinFaults(faults []ObjectFault) error {
	if len(faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: faults}
}
