package reader

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const goodSettings = `
[daemon]
id = a-1
zone = a
region = r
[caller]
listen = 127.0.0.1:1001
[operator]
listen = 127.0.0.1:1002
[peer]
listen = 127.0.0.1:1003
[platform]
url = http://127.0.0.1:1000
`

func TestReadSettings(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"good", goodSettings, nil},
		{"empty", "", []string{
			"daemon/id", "daemon/zone", "daemon/region", "caller/listen", "operator/listen", "peer/listen",
			"platform/url",
		}},
		{"unknown key", goodSettings + "[log]\ncolour = red\n", []string{"log/colour"}},
		{"unknown section", goodSettings + "[logs]\nlevel = info\n", []string{"logs/"}},
		{"key twice", goodSettings + "[log]\nlevel = info\nlevel = info\n", []string{"log/level"}},
		{"section twice", goodSettings + "[daemon]\nid = b\n", []string{"daemon/"}},
		{"key before sections", "id = 3\n" + goodSettings, []string{"DEFAULT/id"}},
		{"bad duration", goodSettings + "[group]\nfence = soon\n", []string{"group/fence"}},
		{"fence above takeover", goodSettings + "[group]\nfence = 3s\n", []string{"group/takeover"}},
		{"bad level", goodSettings + "[log]\nlevel = loud\njson = maybe\n", []string{"log/level", "log/json"}},
		{"bad shutdown times", goodSettings + "[shutdown]\ndrain = -1s\nlag = 1\n", []string{"shutdown/lag", "shutdown/drain"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ReadSettings(writeFile(t, tt.text))
			assertFileErrors(t, err, tt.want)
		})
	}
}

func TestReadSchema(t *testing.T) {
	const zone = "[zone a]\nregion = r\n"
	const service = "[service s]\nslots = 3\nconnections = 30\nshard.0 = s-0@a@127.0.0.1:9000\n"
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"good", zone + service, nil},
		{"second map", zone + service + "[map s 4]\nshard.0 = s-1@a@127.0.0.1:9001\n", nil},
		{"map of an undeclared service", zone + service + "[map x 4]\nshard.0 = s-1@a@127.0.0.1:9001\n", []string{"map x 4/"}},
		{"map out of order", zone + service + "[map s 1]\nshard.0 = s-0@a@127.0.0.1:9000\n", []string{"service s/maps[1].from"}},
		{"unknown zone", zone + service + "shard.1 = s-1@b@127.0.0.1:9001\n", []string{"service s/"}},
		{"bad upstream", zone + service + "shard.1 = s-1\n", []string{"service s/shard.1"}},
		{"host name", zone + service + "shard.1 = s-1@a@localhost:9001\n", []string{"service s/shard.1"}},
		{"no slots", zone + "[service s]\nconnections = 30\nshard.0 = s-0@a@127.0.0.1:9000\n", []string{"service s/slots"}},
		{"cold above slots", zone + service + "cold = 4\n", []string{"service s/capacity.cold"}},
		{"unknown section", "[zones]\na = 1\n", []string{"zones/"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ReadSchema(writeFile(t, tt.text))
			assertFileErrors(t, err, tt.want)
		})
	}
}

func TestFixtures(t *testing.T) {
	for _, site := range []string{"abay", "clydeside"} {
		t.Run(site, func(t *testing.T) {
			base := filepath.Join("..", "..", "..", "_fixtures", site)
			_, err := ReadSettings(base + ".settings.ini")
			assertFileErrors(t, err, nil)
			_, err = ReadSchema(base + ".schema.ini")
			assertFileErrors(t, err, nil)
		})
	}
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// assertFileErrors compares the errors in err with want, each written as SECTION/KEY.
func assertFileErrors(t *testing.T, err error, want []string) {
	t.Helper()
	var got []string
	for _, fe := range FileErrors(err) {
		got = append(got, fe.Section+"/"+fe.Key)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("errors in the file (-want +got):\n%s\nerror: %v", diff, err)
	}
}
