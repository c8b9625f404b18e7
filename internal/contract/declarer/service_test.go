package declarer

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestServiceCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Service)
		want   []string
	}{
		{"valid", func(*Service) {}, nil},
		{"bad name", func(s *Service) { s.Name = "Anomaly Finder" }, []string{"name"}},
		{"only dots in the name", func(s *Service) { s.Name = ".." }, []string{"name"}},
		{"bad class", func(s *Service) { s.Class = "write" }, []string{"class"}},
		{"no deadline", func(s *Service) { s.Contract.Deadline = Duration{} }, []string{"contract.deadline", "contract.latency"}},
		{"cold above slots", func(s *Service) { s.Capacity.ColdSlots = 4 }, []string{"capacity.cold"}},
		{"no maps", func(s *Service) { s.Maps = nil }, []string{"maps"}},
		{"unknown upstream out", func(s *Service) { s.Out = []string{"nobody"} }, []string{"out[0]"}},
		{"duplicate shard", func(s *Service) {
			s.Maps[0].Shards = append(s.Maps[0].Shards, s.Maps[0].Shards[0])
		}, []string{"maps[0].shards[1].id"}},
		{"maps out of order", func(s *Service) { s.Maps = append(s.Maps, s.Maps[0]) }, []string{"maps[1].from"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := validService()
			tt.change(&s)
			assertFields(t, s.Check(), tt.want)
		})
	}
}

func TestMapFor(t *testing.T) {
	s := validService()
	s.Maps = append(s.Maps, ShardMap{FromVersion: 9, Shards: s.Maps[0].Shards})
	for v, want := range map[uint64]uint64{1: 1, 8: 1, 9: 9, 100: 9} {
		m, ok := s.MapFor(v)
		if !ok || m.FromVersion != want {
			t.Errorf("MapFor(%d) = %v, %v, want the map from version %d", v, m, ok, want)
		}
	}
	if _, ok := s.MapFor(0); ok {
		t.Error("MapFor(0) found a map older than every map")
	}
}

func validService() Service {
	return Service{
		Name:  "anomaly-finder",
		Class: Search,
		Contract: Contract{
			Deadline: Duration{300 * time.Millisecond},
			Latency:  Duration{120 * time.Millisecond},
			Quantile: 0.99,
			Coverage: 1,
			Priority: 5,
		},
		Capacity: Capacity{Slots: 3, ColdSlots: 1, Connections: 30},
		Maps: []ShardMap{{FromVersion: 1, Shards: []Shard{{
			ID:       0,
			Replicas: []Upstream{{Name: "af-0-a", Addr: netip.MustParseAddrPort("127.0.0.1:9000"), Zone: "addis-a"}},
		}}}},
	}
}

func assertFields(t *testing.T, err error, want []string) {
	t.Helper()
	var got []string
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			var fe *FieldError
			if errors.As(e, &fe) {
				got = append(got, fe.Field)
			}
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("invalid fields (-want +got):\n%s", diff)
	}
}
