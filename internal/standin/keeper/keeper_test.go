package keeper

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
)

// call answers one request and returns its status and body; status 0 means that
// the connection was closed.
func call(t *testing.T, k *Keeper, method, path, body string, header ...string) (status int, text string) {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status, text = 0, ""
		}
	}()
	k.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func assertCall(t *testing.T, k *Keeper, status int, body, method, path, sent string, header ...string) {
	t.Helper()
	gotStatus, gotBody := call(t, k, method, path, sent, header...)
	want := fmt.Sprintf("%d %s", status, body)
	if diff := cmp.Diff(want, fmt.Sprintf("%d %s", gotStatus, gotBody)); diff != "" {
		t.Errorf("%s %s (-want +got):\n%s", method, path, diff)
	}
}

func create(t *testing.T, k *Keeper, name string, version int) {
	t.Helper()
	assertCall(t, k, 200, fmt.Sprintf(`{"version":%d}`, version), "PUT", "/objects/zone/"+name, `{}`, "If-None-Match", "*")
}

func newKeeper(t *testing.T) *Keeper {
	k, cleanup := New(Config{}, hclog.NewNullLogger())
	t.Cleanup(cleanup)
	return k
}

func TestObjects(t *testing.T) {
	k := newKeeper(t)
	create(t, k, "a", 1)
	create(t, k, "b", 2)
	assertCall(t, k, 412, `{"version":1}`, "PUT", "/objects/zone/a", `{}`, "If-None-Match", "*")
	assertCall(t, k, 412, `{"version":1}`, "PUT", "/objects/zone/a", `{}`, "If-Match", `"9"`)
	assertCall(t, k, 412, `{"version":0}`, "PUT", "/objects/zone/c", `{}`, "If-Match", `"9"`)
	assertCall(t, k, 200, `{"version":3}`, "PUT", "/objects/zone/a", `[7]`, "If-Match", `"1"`)
	assertCall(t, k, 200, `{"kind":"zone","name":"a","version":3,"value":[7]}`, "GET", "/objects/zone/a", "")
	assertCall(t, k, 404, `{"reason":"object zone/c does not exist"}`, "GET", "/objects/zone/c", "")
	assertCall(t, k, 200, `{"revision":3,"objects":[]}`, "GET", "/objects?kind=service", "")
	want := `{"revision":3,"objects":[{"kind":"zone","name":"b","version":2,"value":{}},{"kind":"zone","name":"a","version":3,"value":[7]}]}`
	assertCall(t, k, 200, want, "GET", "/objects", "")
	want = `{"list":2,"get":2,"put":6,"watch":0,"instances":0,"written":3,"conflicts":3,"lost":0,"down":0}`
	assertCall(t, k, 200, want, "GET", "/counts", "")
}

func TestBadWrites(t *testing.T) {
	k := newKeeper(t)
	tests := []struct {
		name   string
		body   string
		header []string
		want   int
	}{
		{"no precondition", `{}`, nil, http.StatusPreconditionRequired},
		{"both preconditions", `{}`, []string{"If-Match", `"1"`, "If-None-Match", "*"}, http.StatusPreconditionRequired},
		{"version zero", `{}`, []string{"If-Match", `"0"`}, http.StatusPreconditionRequired},
		{"no JSON", `{`, []string{"If-None-Match", "*"}, http.StatusBadRequest},
		{"too large", `"` + strings.Repeat("x", MaxValueBytes) + `"`, []string{"If-None-Match", "*"}, http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if status, body := call(t, k, "PUT", "/objects/zone/a", tt.body, tt.header...); status != tt.want {
				t.Errorf("status %d, want %d; body %s", status, tt.want, body)
			}
		})
	}
}

func TestUpdateRace(t *testing.T) {
	k := newKeeper(t)
	create(t, k, "a", 1)
	var wg sync.WaitGroup
	statuses := make([]int, 16)
	for i := range statuses {
		wg.Go(func() { statuses[i], _ = call(t, k, "PUT", "/objects/zone/a", `{}`, "If-Match", `"1"`) })
	}
	wg.Wait()
	got := make(map[int]int)
	for _, s := range statuses {
		got[s]++
	}
	if diff := cmp.Diff(map[int]int{200: 1, 412: 15}, got); diff != "" {
		t.Errorf("statuses of racing updates (-want +got):\n%s", diff)
	}
}

func TestWatch(t *testing.T) {
	event := func(name string, version int) string {
		return fmt.Sprintf(`{"kind":"zone","name":%q,"version":%d,"value":{}}`, name, version)
	}
	tests := []struct {
		name   string
		faults Faults
		want   string
		// waits is whether the watch lasts until its wait is over.
		waits bool
	}{
		{"event", Faults{}, `{"revision":2,"objects":[` + event("b", 2) + `]}`, false},
		{"missed", Faults{Miss: 1}, `{"revision":2,"objects":[]}`, true},
		{"old revision", Faults{OldReads: 1}, `{"revision":1,"objects":[]}`, true},
		{"repeated", Faults{Repeat: 1}, `{"revision":1,"objects":[` + event("a", 1) + `]}`, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newKeeper(t)
				create(t, k, "a", 1)
				k.SetFaults(tt.faults)
				began := time.Now()
				done := make(chan struct{})
				go func() {
					defer close(done)
					assertCall(t, k, 200, tt.want, "GET", "/watch?from=1&wait=20s", "")
				}()
				synctest.Wait()
				create(t, k, "b", 2)
				<-done
				if waits := time.Since(began) == 20*time.Second; waits != tt.waits {
					t.Errorf("watch took %s", time.Since(began))
				}
			})
		})
	}
}

func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeeper(t)
		done := make(chan struct{})
		go func() {
			defer close(done)
			assertCall(t, k, 503, `{"reason":"outage"}`, "GET", "/watch?from=0", "")
		}()
		synctest.Wait()
		assertCall(t, k, 400, `{"reason":"outage: want \"\", \"refuse\" or \"hang\", got \"x\""}`, "POST", "/faults", `{"outage":"x"}`)
		k.SetFaults(Faults{Outage: Refuse})
		<-done
		k.SetFaults(Faults{Outage: Hang})
		hung := make(chan struct{})
		go func() {
			defer close(hung)
			assertCall(t, k, 0, "", "GET", "/objects", "")
		}()
		time.Sleep(time.Hour)
		synctest.Wait()
		select {
		case <-hung:
			t.Error("a call ended amid the outage")
		default:
		}
		k.SetFaults(Faults{})
		<-hung
		assertCall(t, k, 200, `{"revision":0,"objects":[]}`, "GET", "/objects", "")
	})
}

func TestSlowAndLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeeper(t)
		time.Sleep(time.Minute)
		status, _ := call(t, k, "POST", "/faults", `{"slow":"2s","lag":"10s"}`)
		if status != 200 {
			t.Fatalf("faults: status %d", status)
		}
		entry := `{"id":"d1","zone":"addis-a","peer":"10.0.0.1:7","state":"leaving"}`
		assertCall(t, k, 200, entry, "PUT", "/instances/d1", entry)
		began := time.Now()
		assertCall(t, k, 200, `{"instances":[]}`, "GET", "/instances", "")
		if took := time.Since(began); took != 2*time.Second {
			t.Errorf("slow call took %s, want 2s", took)
		}
		time.Sleep(10 * time.Second)
		assertCall(t, k, 200, `{"instances":[`+entry+`]}`, "GET", "/instances", "")
		assertCall(t, k, 200, `{}`, "DELETE", "/instances/d1", "")
		assertCall(t, k, 200, `{"instances":[`+entry+`]}`, "GET", "/instances", "")
		time.Sleep(10 * time.Second)
		assertCall(t, k, 200, `{"instances":[]}`, "GET", "/instances", "")
	})
}

func TestLostAnswer(t *testing.T) {
	k := newKeeper(t)
	srv := httptest.NewServer(k)
	defer srv.Close()
	k.SetFaults(Faults{Lose: 1})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, srv.URL+"/objects/zone/a", strings.NewReader(`{}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("If-None-Match", "*")
	if resp, err := http.DefaultClient.Do(r); err == nil {
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		t.Errorf("lost answer arrived: status %d, body %s", resp.StatusCode, data)
	}
	assertCall(t, k, 200, `{"kind":"zone","name":"a","version":1,"value":{}}`, "GET", "/objects/zone/a", "")
}

func TestOldRevisionBeyondHistory(t *testing.T) {
	s := newStore()
	for i := range uint64(maxHistory + 10) {
		if _, ok := s.write(declarer.Key{Kind: declarer.KindZone, Name: "a"}, i, nil); !ok {
			t.Fatalf("write %d was refused", i)
		}
	}
	for revision, want := range map[uint64]uint64{3: 10, 12: 12, maxHistory + 10: maxHistory + 10} {
		for _, o := range s.at(revision) {
			if o.Version != want {
				t.Errorf("at revision %d: version %d, want %d", revision, o.Version, want)
			}
		}
	}
}
