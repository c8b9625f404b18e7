package spreader

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/peer/linker"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// merger is the subject of the property: State, or a faulty variant of it.
type merger interface {
	Merge(now time.Time, objects []declarer.Object, instances []declarer.Instance) Delta
	Object(key declarer.Key) (declarer.Object, bool)
	Instance(id string) (declarer.Instance, bool)
}

// uncheckedMerger is a State that does not check versions.
type uncheckedMerger struct {
	*State
}

func (u uncheckedMerger) Merge(now time.Time, objects []declarer.Object, instances []declarer.Instance) Delta {
	for i := range objects {
		m := summarizeObject(&objects[i])
		delete(u.summaries[m.bucket()], m.Key)
	}
	return u.State.Merge(now, objects, instances)
}

// delivery is one message with random records, which may be old or repeated.
type delivery struct {
	objects   []declarer.Object
	instances []declarer.Instance
}

func genDeliveries() *rapid.Generator[[]delivery] {
	object := rapid.Custom(func(t *rapid.T) declarer.Object {
		return testObject(rapid.IntRange(0, 3).Draw(t, "name"), rapid.Uint64Range(1, 20).Draw(t, "version"))
	})
	instance := rapid.Custom(func(t *rapid.T) declarer.Instance {
		in := testInstance(rapid.IntRange(0, 3).Draw(t, "id"))
		in.Incarnation = rapid.Uint64Range(0, 3).Draw(t, "incarnation")
		in.Term = rapid.Uint64Range(0, 3).Draw(t, "term")
		in.State = declarer.State(rapid.IntRange(0, 3).Draw(t, "state"))
		return in
	})
	one := rapid.Custom(func(t *rapid.T) delivery {
		return delivery{
			objects:   rapid.SliceOfN(object, 0, 4).Draw(t, "objects"),
			instances: rapid.SliceOfN(instance, 0, 4).Draw(t, "instances"),
		}
	})
	return rapid.SliceOfN(one, 1, 12)
}

// checkNeverReverts returns an error when a delivery makes a record older.
func checkNeverReverts(m merger, deliveries []delivery) error {
	objects := make(map[declarer.Key]uint64)
	instances := make(map[string]declarer.Instance)
	for _, d := range deliveries {
		for _, o := range d.objects {
			m.Merge(epoch, []declarer.Object{o}, nil)
			got, _ := m.Object(o.Key)
			if got.Version < objects[o.Key] || got.Version < o.Version {
				return fmt.Errorf("object %s reverted to version %d", o.Key, got.Version)
			}
			objects[o.Key] = got.Version
		}
		for _, in := range d.instances {
			m.Merge(epoch, nil, []declarer.Instance{in})
			got, ok := m.Instance(in.ID)
			old, had := instances[in.ID]
			isNew := had || in.State != declarer.Gone // an unknown instance that is gone is not adopted
			if had && old.Supersedes(&got) || isNew && (!ok || in.Supersedes(&got)) {
				return fmt.Errorf("instance %s reverted to %d/%d/%s", in.ID, got.Incarnation, got.Term, got.State)
			}
			if ok {
				instances[in.ID] = got
			}
		}
	}
	return nil
}

func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := checkNeverReverts(New(), genDeliveries().Draw(t, "deliveries")); err != nil {
			t.Fatal(err)
		}
	})
}

func TestNeverRevertsCatchesMergeWithoutVersionCheck(t *testing.T) {
	var err error
	for seed := 0; seed < 100 && err == nil; seed++ {
		err = checkNeverReverts(uncheckedMerger{New()}, genDeliveries().Example(seed))
	}
	if err == nil {
		t.Error("the property holds for a merge that does not check versions")
	}
}

func TestExchangeMakesStatesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		for i, d := range genDeliveries().Draw(t, "deliveries") {
			[]*State{a, b}[i%2].Merge(epoch, d.objects, d.instances)
		}
		runExchange(t, a, b)
		if a.Root() != b.Root() {
			t.Fatalf("roots differ after the exchange")
		}
		if diff := cmp.Diff(liveInstances(a), liveInstances(b), cmp.Comparer(sameAddr)); diff != "" {
			t.Fatalf("records (-a +b):\n%s", diff)
		}
	})
}

func TestLargeConfigurationTakesBoundedMessages(t *testing.T) {
	a, b := New(), New()
	for i := range 40 {
		a.Merge(epoch, []declarer.Object{largeObject(i, uint64(i+1))}, nil)
	}
	for range 40 {
		req := b.OpenExchange()
		reply, _ := a.HandleRequest(epoch, &req)
		for ok := true; ok; {
			checkMessageSize(t, &reply)
			req, ok, _ = b.HandleReply(epoch, &reply)
			reply, _ = a.HandleRequest(epoch, &req)
		}
	}
	if a.Root() != b.Root() {
		t.Errorf("%d of %d objects were replicated", len(b.objects), len(a.objects))
	}
}

func TestLargeObjectIsOfferedOnce(t *testing.T) {
	a, b := New(), New()
	d := a.Merge(epoch, []declarer.Object{largeObject(1, 5)}, nil)
	push := a.Push(d)
	if len(push.Objects) != 0 || len(push.Summaries) != 1 {
		t.Fatalf("push has %d objects and %d summaries, want 0 and 1", len(push.Objects), len(push.Summaries))
	}
	first, _ := b.HandleRequest(epoch, &push)
	second, _ := b.HandleRequest(epoch, &push)
	if len(first.Wanted) != 1 || len(second.Wanted) != 0 {
		t.Errorf("replies request %d objects and then %d, want 1 and 0", len(first.Wanted), len(second.Wanted))
	}
	late, _ := b.HandleRequest(epoch.Add(2*requestTimeout), &push)
	if len(late.Wanted) != 1 {
		t.Error("an object that did not arrive is not requested again")
	}
}

func TestGoneInstanceIsDroppedAndDoesNotComeBack(t *testing.T) {
	a, b := New(), New()
	in := testInstance(1)
	a.Merge(epoch, nil, []declarer.Instance{in})
	b.Merge(epoch, nil, []declarer.Instance{in})
	gone := in
	gone.State = declarer.Gone
	a.Merge(epoch, nil, []declarer.Instance{gone})
	runExchange(t, b, a)
	if got, _ := b.Instance(in.ID); got.State != declarer.Gone {
		t.Fatalf("state after the exchange is %s, want gone", got.State)
	}
	a.Expire(epoch.Add(goneRetention))
	if _, ok := a.Instance(in.ID); ok {
		t.Error("the record is still there")
	}
	runExchange(t, a, b)
	runExchange(t, b, a)
	if _, ok := a.Instance(in.ID); ok {
		t.Error("the record came back from a peer that still has it")
	}
}

func TestObjectOfAnotherKindIsLeftOut(t *testing.T) {
	s := New()
	s.Merge(epoch, nil, []declarer.Instance{testInstance(1)})
	root := s.Root()
	o := declarer.Object{Key: declarer.Key{Kind: "instance", Name: "i1"}, Version: 9, Deleted: true}
	if d := s.Merge(epoch, []declarer.Object{o}, nil); d.Len() != 0 || s.Root() != root {
		t.Error("an object replaced the record of an instance")
	}
}

func FuzzAnswer(f *testing.F) {
	enc, err := cbor.EncOptions{TextMarshaler: cbor.TextMarshalerTextString}.EncMode()
	if err != nil {
		f.Fatal(err)
	}
	a := New()
	d := a.Merge(epoch, []declarer.Object{testObject(1, 2), largeObject(2, 3)}, []declarer.Instance{testInstance(1)})
	for _, m := range []Message{a.OpenExchange(), a.Push(d), a.summarizeBuckets(make([]uint64, Buckets)), {Contacts: []Contact{{ID: "a", Age: 1}}}} {
		body, err := enc.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var m Message
		if linker.Decode(body, &m) != nil {
			return
		}
		s := New()
		s.Merge(epoch, []declarer.Object{testObject(1, 2)}, []declarer.Instance{testInstance(1)})
		reply, _ := s.HandleRequest(epoch, &m)
		if err := reply.Check(); err != nil {
			t.Fatalf("reply to a valid message is invalid: %v", err)
		}
		s.HandleReply(epoch, &m)
		if o, _ := s.Object(testObject(1, 2).Key); o.Version < 2 {
			t.Fatalf("a message reverted the object to version %d", o.Version)
		}
	})
}

// runExchange runs exchanges of a with b until their states agree. It fails the test after
// 4 exchanges.
func runExchange(t interface{ Fatalf(string, ...any) }, a, b *State) {
	for range 4 {
		req := a.OpenExchange()
		for range 8 {
			reply, _ := b.HandleRequest(epoch, &req)
			next, ok, _ := a.HandleReply(epoch, &reply)
			if !ok {
				break
			}
			req = next
		}
		if a.Root() == b.Root() {
			return
		}
	}
	t.Fatalf("states differ after 4 exchanges")
}

func checkMessageSize(t *testing.T, m *Message) {
	t.Helper()
	size := 0
	for i := range m.Objects {
		size += EstimateBytes(&m.Objects[i])
	}
	if size > maxMessageBytes {
		t.Fatalf("message has %d bytes of objects, want at most %d", size, maxMessageBytes)
	}
}

// liveInstances returns the records of instances that are not gone.
func liveInstances(s *State) []declarer.Instance {
	var ins []declarer.Instance
	for _, in := range s.Instances() {
		if in.State != declarer.Gone {
			ins = append(ins, in)
		}
	}
	return ins
}

func sameAddr(a, b netip.AddrPort) bool {
	return a == b
}

func testObject(n int, version uint64) declarer.Object {
	name := fmt.Sprintf("z%d", n)
	return declarer.Object{
		Key:     declarer.Key{Kind: declarer.KindZone, Name: name},
		Version: version,
		Zone:    &declarer.Zone{Name: name, Region: "r", Groups: 1},
	}
}

func largeObject(n int, version uint64) declarer.Object {
	name := fmt.Sprintf("s%d", n)
	s := &declarer.Service{Name: name, Maps: []declarer.ShardMap{{FromVersion: 1}}}
	for i := range 430 {
		u := declarer.Upstream{Name: "u", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Zone: "z"}
		s.Maps[0].Shards = append(s.Maps[0].Shards, declarer.Shard{ID: i, Replicas: []declarer.Upstream{u, u, u}})
	}
	return declarer.Object{Key: declarer.Key{Kind: declarer.KindService, Name: name}, Version: version, Service: s}
}

func testInstance(n int) declarer.Instance {
	return declarer.Instance{
		ID:     fmt.Sprintf("i%d", n),
		Zone:   "z",
		Region: "r",
		Peer:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1),
	}
}
