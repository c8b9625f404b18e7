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

	"cornelwood.example/platform"
)

// call serves one request and returns the status and body of the answer; status 0 means that the connection was closed.
func call(t *testing.T, k *Keeper, method, path, body string) (status int, text string) {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status, text = 0, ""
		}
	}()
	k.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// assertCall sends a request and checks the status and body of the answer.
func assertCall(t *testing.T, k *Keeper, status int, body, method, path, requestBody string) {
	t.Helper()
	gotStatus, gotBody := call(t, k, method, path, requestBody)
	want := fmt.Sprintf("%d %s", status, body)
	if diff := cmp.Diff(want, fmt.Sprintf("%d %s", gotStatus, gotBody)); diff != "" {
		t.Errorf("%s %s (-want +got):\n%s", method, path, diff)
	}
}

// objectsPath is the objectsPath of the objects of one kind.
const objectsPath = platform.ObjectsPath + "zone"

// object returns the JSON of an object.
func object(name string, revision int, spec string) string {
	return fmt.Sprintf(`{"meta":{"name":%q,"revision":%d},"spec":%s}`, name, revision, spec)
}

// event returns the JSON of a watch event that sets an object.
func event(name string, revision int) string {
	return `{"object":` + object(name, revision, `{}`) + `,"removed":false}`
}

// eventsAnswer returns the body of the answer to a watch.
func eventsAnswer(revision int, events ...string) string {
	return fmt.Sprintf(`{"events":[%s],"as_of":%d}`, strings.Join(events, ","), revision) + "\n"
}

// listAnswer returns the body of the answer to a list.
func listAnswer(revision int, objects ...string) string {
	return fmt.Sprintf(`{"items":[%s],"has_more":false,"as_of":%d}`, strings.Join(objects, ","), revision) + "\n"
}

// objectAnswer returns the body of an answer with one object, which ends with a newline.
func objectAnswer(object string) string {
	return object + "\n"
}

// create creates an object and checks that it gets the given revision.
func create(t *testing.T, k *Keeper, name string, revision int) {
	t.Helper()
	assertCall(t, k, 200, objectAnswer(object(name, revision, `{}`)), "POST", objectsPath, `{"meta":{"name":"`+name+`"},"spec":{}}`)
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
	assertCall(t, k, 409, object("a", 1, `{}`), "POST", objectsPath, `{"meta":{"name":"a"},"spec":{}}`)
	assertCall(t, k, 409, object("a", 1, `{}`), "PUT", objectsPath+"/a", `{"meta":{"revision":9},"spec":{}}`)
	assertCall(t, k, 404, ``, "PUT", objectsPath+"/c", `{"meta":{"revision":9},"spec":{}}`)
	assertCall(t, k, 200, objectAnswer(object("a", 3, `[7]`)), "PUT", objectsPath+"/a", `{"meta":{"revision":1},"spec":[7]}`)
	assertCall(t, k, 200, objectAnswer(object("a", 3, `[7]`)), "PUT", objectsPath+"/a", `{"meta":{},"spec":[7]}`)
	assertCall(t, k, 200, objectAnswer(object("a", 3, `[7]`)), "GET", objectsPath+"/a", "")
	assertCall(t, k, 404, ``, "GET", objectsPath+"/c", "")
	assertCall(t, k, 200, listAnswer(3), "GET", platform.ObjectsPath+"service", "")
	assertCall(t, k, 200, listAnswer(3, object("a", 3, `[7]`), object("b", 2, `{}`)), "GET", objectsPath, "")
	want := `{"list":2,"get":2,"put":7,"watch":0,"instances":0,"written":4,"conflicts":3,"lost":0,"down":0}`
	assertCall(t, k, 200, want, "GET", "/counts", "")
}

func TestInvalidWrites(t *testing.T) {
	k := newKeeper(t)
	tests := []struct {
		name string
		body string
		want int
	}{
		{"invalid JSON", `{`, http.StatusBadRequest},
		{"too large", `{"meta":{"name":"a"},"spec":"` + strings.Repeat("x", 1<<20) + `"}`, http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if status, body := call(t, k, "POST", objectsPath, tt.body); status != tt.want {
				t.Errorf("status %d, want %d; body %s", status, tt.want, body)
			}
		})
	}
}

func TestConcurrentUpdates(t *testing.T) {
	k := newKeeper(t)
	create(t, k, "a", 1)
	var wg sync.WaitGroup
	statuses := make([]int, 16)
	for i := range statuses {
		wg.Go(func() {
			statuses[i], _ = call(t, k, "PUT", objectsPath+"/a", fmt.Sprintf(`{"meta":{"revision":1},"spec":[%d]}`, i))
		})
	}
	wg.Wait()
	got := make(map[int]int)
	for _, s := range statuses {
		got[s]++
	}
	if diff := cmp.Diff(map[int]int{200: 1, 409: 15}, got); diff != "" {
		t.Errorf("statuses of concurrent updates (-want +got):\n%s", diff)
	}
}

func TestWatch(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		want   string
		// timesOut says that the watch is answered only when its wait of 20s is over.
		timesOut bool
	}{
		{"event", Faults{}, eventsAnswer(2, event("b", 2)), false},
		{"missed", Faults{Miss: 1}, eventsAnswer(2), true},
		{"old revision", Faults{OldReads: 1}, eventsAnswer(1), true},
		{"repeated", Faults{Repeat: 1}, eventsAnswer(1, event("a", 1)), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newKeeper(t)
				create(t, k, "a", 1)
				k.SetFaults(tt.faults)
				started := time.Now()
				done := make(chan struct{})
				go func() {
					defer close(done)
					assertCall(t, k, 200, tt.want, "GET", objectsPath+"?watch=1&wait_ms=20000", "")
				}()
				synctest.Wait()
				create(t, k, "b", 2)
				<-done
				if timesOut := time.Since(started) == 20*time.Second; timesOut != tt.timesOut {
					t.Errorf("watch took %s", time.Since(started))
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
			// The connection of a waiting watch is closed when the outage begins.
			assertCall(t, k, 0, "", "GET", objectsPath+"?watch=0&wait_ms=20000", "")
		}()
		synctest.Wait()
		assertCall(t, k, 400, `{"reason":"outage: want \"\", \"refuse\" or \"hang\", got \"x\""}`, "POST", "/faults", `{"outage":"x"}`)
		k.SetFaults(Faults{Outage: OutageRefuse})
		<-done
		assertCall(t, k, 503, `{"reason":"outage"}`, "GET", objectsPath, "")
		k.SetFaults(Faults{Outage: OutageHang})
		hung := make(chan struct{})
		go func() {
			defer close(hung)
			assertCall(t, k, 0, "", "GET", objectsPath, "")
		}()
		time.Sleep(time.Hour)
		synctest.Wait()
		select {
		case <-hung:
			t.Error("a call ended during the outage, want it to hang")
		default:
		}
		k.SetFaults(Faults{})
		<-hung
		assertCall(t, k, 200, listAnswer(0), "GET", objectsPath, "")
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
		const daemons = platform.ObjectsPath + platform.KindDaemons
		listed := object("d1", 1, `{"zone":"addis-a","peer":"10.0.0.1:7","state":"leaving"}`)
		entry := `{"id":"d1","zone":"addis-a","peer":"10.0.0.1:7","state":"leaving"}`
		assertCall(t, k, 200, entry, "PUT", "/instances/d1", entry)
		started := time.Now()
		assertCall(t, k, 200, listAnswer(0), "GET", daemons, "")
		if took := time.Since(started); took != 2*time.Second {
			t.Errorf("slow call took %s, want 2s", took)
		}
		time.Sleep(10 * time.Second)
		assertCall(t, k, 200, listAnswer(0, listed), "GET", daemons, "")
		assertCall(t, k, 200, `{}`, "DELETE", "/instances/d1", "")
		assertCall(t, k, 200, listAnswer(0, listed), "GET", daemons, "")
		time.Sleep(10 * time.Second)
		assertCall(t, k, 200, listAnswer(0), "GET", daemons, "")
	})
}

func TestLostAnswer(t *testing.T) {
	k := newKeeper(t)
	srv := httptest.NewServer(k)
	defer srv.Close()
	k.SetFaults(Faults{Lose: 1})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+objectsPath, strings.NewReader(`{"meta":{"name":"a"},"spec":{}}`))
	if err != nil {
		t.Fatal(err)
	}
	if resp, err := http.DefaultClient.Do(r); err == nil {
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		t.Errorf("lost answer arrived: status %d, body %s", resp.StatusCode, data)
	}
	assertCall(t, k, 200, objectAnswer(object("a", 1, `{}`)), "GET", objectsPath+"/a", "")
}

// TestOldReads covers the fault OldReads: reads are served from an earlier revision, and writes apply to the present
// one.
func TestOldReads(t *testing.T) {
	k := newKeeper(t)
	create(t, k, "a", 1)
	assertCall(t, k, 200, objectAnswer(object("a", 2, `[7]`)), "PUT", objectsPath+"/a", `{"meta":{},"spec":[7]}`)
	k.SetFaults(Faults{OldReads: 1})
	assertCall(t, k, 200, listAnswer(1, object("a", 1, `{}`)), "GET", objectsPath, "")
	assertCall(t, k, 409, object("a", 2, `[7]`), "PUT", objectsPath+"/a", `{"meta":{"revision":1},"spec":[8]}`)
}
