package storer

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const zoneA = `{"kind":"zone","name":"a","version":3,"value":{"kind":"zone","name":"a","version":99,"zone":{"name":"a","region":"r","groups":1}}}`

func TestDecodeBatch(t *testing.T) {
	tests := []struct {
		name    string
		entry   string
		version uint64
		faulty  bool
	}{
		{"valid, its own version is not read", zoneA, 3, false},
		{"other name", strings.Replace(zoneA, `"name":"a"`, `"name":"b"`, 1), 0, true},
		{"no version", strings.Replace(zoneA, `"version":3`, `"version":0`, 1), 0, true},
		{"no value", `{"kind":"zone","name":"a","version":3}`, 0, true},
		{"value of another form", `{"kind":"zone","name":"a","version":3,"value":[1]}`, 0, true},
		{"faulty zone", strings.Replace(zoneA, `"groups":1`, `"groups":0`, 1), 0, true},
		{"large value", strings.Replace(zoneA, `"groups":1`, `"groups":1`+strings.Repeat(" ", maxValueBytes), 1), 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			good := strings.ReplaceAll(zoneA, `"a"`, `"z"`)
			objects, revision, err := decodeBatch([]byte(`{"revision":9,"objects":[` + tt.entry + `,` + good + `]}`))
			var faults *FaultsError
			if isFaulty := errors.As(err, &faults); isFaulty != tt.faulty || err != nil && !isFaulty {
				t.Errorf("error %v, want faults: %v", err, tt.faulty)
			}
			versions := []uint64{revision}
			for _, o := range objects {
				versions = append(versions, o.Version)
			}
			want := []uint64{9, 3}
			if !tt.faulty {
				want = []uint64{9, tt.version, 3}
			}
			if diff := cmp.Diff(want, versions); diff != "" {
				t.Errorf("revision and versions (-want +got):\n%s", diff)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision":1,"objects":[` + zoneA + `]}`))
	f.Add([]byte(zoneA))
	f.Add([]byte(`{"version":4}`))
	f.Add([]byte(`{"instances":[{"id":"d1","zone":"z","peer":"10.0.0.1:7","state":"live"},{}]}`))
	f.Add([]byte(`{"revision":null,"objects":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		objects, _, err := decodeBatch(data)
		assertWhole(t, len(objects), err)
		for i := range objects {
			if err := objects[i].Check(); err != nil || objects[i].Version == 0 {
				t.Errorf("a faulty object came through: %+v: %v", objects[i], err)
			}
		}
		if o, err := decodeObject(data); err == nil && (o.Check() != nil || o.Version == 0) {
			t.Errorf("a faulty object came through: %+v", o)
		}
		instances, err := decodeInstances(data)
		assertWhole(t, len(instances), err)
		if v, err := decodeVersion(data); err != nil && v != 0 {
			t.Errorf("version %d with error %v", v, err)
		}
	})
}

// assertWhole checks that an answer that cannot be read yields nothing.
func assertWhole(t *testing.T, n int, err error) {
	t.Helper()
	var faults *FaultsError
	if err != nil && !errors.As(err, &faults) && n > 0 {
		t.Errorf("%d values with error %v", n, err)
	}
}
