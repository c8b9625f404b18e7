package commander

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/platform"
)

// start runs a command and returns the lines that it announces, and a function that stops it and returns its error.
func start(t *testing.T, args ...string) (string, func() error) {
	t.Helper()
	r, w := io.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		err := New(w, io.Discard).Run(ctx, append([]string{"standin"}, args...))
		w.CloseWithError(err)
		done <- err
	}()
	buf := make([]byte, 4096)
	// A command that fails announces nothing.
	n, _ := r.Read(buf)
	return string(buf[:n]), func() error {
		cancel()
		return <-done
	}
}

// get returns the body of the answer to a GET request.
func get(t *testing.T, url string) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// assertServes checks that the command announces an address, serves the wanted body at path there, and stops without an
// error.
func assertServes(t *testing.T, announced string, stop func() error, path, want string) {
	t.Helper()
	fields := strings.Fields(announced)
	if len(fields) < 2 || fields[0] != "listening" {
		t.Fatalf("announced %q, want a line with listening and an address; stopped with error %v", announced, stop())
	}
	if diff := cmp.Diff(want, get(t, "http://"+fields[1]+path)); diff != "" {
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
	if err := stop(); err != nil {
		t.Errorf("stop: %v", err)
	}
}

func TestPlatform(t *testing.T) {
	announced, stop := start(t, "platform")
	assertServes(t, announced, stop, platform.ObjectsPath+platform.KindConfig, `{"items":[],"has_more":false,"as_of":0}`+"\n")
}

func TestSearcher(t *testing.T) {
	ready := filepath.Join(t.TempDir(), "ready")
	announced, stop := start(t, "searcher", "--service", "weld-gallery", "--versions", "2-4", "--warm", "--ready-file", ready)
	assertServes(t, announced, stop, "/health", `{"state":"warm","oldest":2,"newest":4}`)
	data, err := os.ReadFile(ready)
	if err != nil || string(data) != announced {
		t.Errorf("ready file contains %q, error %v, want %q", data, err, announced)
	}
}

func TestFleet(t *testing.T) {
	path := filepath.Join(t.TempDir(), "objects.json")
	data, err := json.Marshal([]declarer.Object{weldGallery()})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	announced, stop := start(t, "fleet", "--objects", path, "--any-port", "--connect", "weld-gallery=0s")
	assertServes(t, announced, stop, "/load", `{"inflight":0,"slots":2}`)
}

func TestInvalidFlags(t *testing.T) {
	for name, args := range map[string][]string{
		"versions: want a range": {"searcher", "--service", "a", "--versions", "3-1"},
		"listen: want an IP":     {"platform", "--listen", "localhost"},
		"cold: want 1":           {"searcher", "--service", "a", "--slots", "1", "--cold", "2"},
		"objects: open":          {"fleet", "--objects", "/does/not/exist"},
		"connect: service":       {"fleet", "--objects", "x", "--connect", "a=soon"},
	} {
		t.Run(name, func(t *testing.T) {
			_, stop := start(t, args...)
			if err := stop(); err == nil || !strings.Contains(err.Error(), name) {
				t.Errorf("error %v, want %q in it", err, name)
			}
		})
	}
}

// weldGallery returns a service with one shard and one upstream.
func weldGallery() declarer.Object {
	up := declarer.Upstream{Name: "wg-0", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "addis-a"}
	return declarer.Object{
		Key: declarer.Key{Kind: declarer.KindService, Name: "weld-gallery"},
		Service: &declarer.Service{
			Name: "weld-gallery", Class: declarer.Search,
			Contract: declarer.Contract{
				Deadline: declarer.Duration{Duration: 1e9}, Latency: declarer.Duration{Duration: 1e8},
				Quantile: 0.9, Coverage: 1,
			},
			Capacity: declarer.Capacity{Slots: 2, ColdSlots: 1, Connections: 110},
			Maps:     []declarer.ShardMap{{FromVersion: 1, Shards: []declarer.Shard{{ID: 0, Replicas: []declarer.Upstream{up}}}}},
		},
	}
}
