package commander

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/declarer"
)

// service is the body of a service with two upstreams in zone addis-a.
const service = `{"name":"finder","class":"search",` +
	`"contract":{"deadline":"300ms","latency":"120ms","quantile":0.99,"coverage":1,"priority":5,"hedge":true},` +
	`"capacity":{"slots":3,"cold":1,"connections":30},` +
	`"maps":[{"from":1,"shards":[{"id":0,"replicas":[{"name":"f-0","addr":"127.0.0.1:9000","zone":"addis-a"},` +
	`{"name":"f-1","addr":"127.0.0.1:9001","zone":"addis-a"}]}]}]}`

const zone = `{"name":"addis-a","region":"et","groups":1}`

// fixture is a Commander with the fakes that it depends on.
type fixture struct {
	t        *testing.T
	platform *fakePlatform
	c        *Commander
}

func newFixture(t *testing.T) *fixture {
	p, f := newFakePlatform(), newFakeFleet()
	c := New(p, f, f.views, hclog.NewNullLogger(), NewMetrics(prometheus.NewRegistry()))
	return &fixture{t: t, platform: p, c: c}
}

// answer holds the parts of an answer that the tests compare.
type answer struct {
	Status  int
	Version uint64
	Code    string
	Field   string
	Run     string
	Outcome string
}

// call makes a call and returns the answer and its body as text.
func (f *fixture) call(method, path, body string) (answer, string) {
	w := httptest.NewRecorder()
	f.c.ServeHTTP(w, httptest.NewRequestWithContext(f.t.Context(), method, path, strings.NewReader(body)))
	a := answer{}
	if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil {
		f.t.Errorf("%s %s: answer is not JSON: %s", method, path, w.Body)
	}
	a.Status = w.Code
	return a, w.Body.String()
}

// want makes a call, compares the answer and returns its body as text.
func (f *fixture) want(method, path, body string, want answer) string {
	f.t.Helper()
	got, text := f.call(method, path, body)
	if diff := cmp.Diff(want, got); diff != "" {
		f.t.Errorf("%s %s %s (-want +got):\n%s%s", method, path, body, diff, text)
	}
	return text
}

func (f *fixture) create() {
	f.t.Helper()
	f.want("POST", "/v1/services", `{"change":"c1","service":`+service+`}`, answer{Status: 201, Version: 1})
}

func TestServiceLifecycle(t *testing.T) {
	f := newFixture(t)
	f.create()
	f.want("POST", "/v1/services", `{"change":"c1","service":`+service+`}`, answer{Status: 201, Version: 1})
	f.want("POST", "/v1/services", `{"change":"c2","service":`+service+`}`,
		answer{Status: 409, Version: 1, Code: "conflict", Field: "version", Run: "not_run"})
	f.want("POST", "/v1/services/finder/contract", `{"change":"c3","set":{"deadline":"200ms","slots":"2"}}`, answer{Status: 200, Version: 2})
	f.want("POST", "/v1/services/finder/upstreams/f-0/out", `{"change":"c4"}`, answer{Status: 200, Version: 3})
	if text := f.want("GET", "/v1/services/finder", "", answer{Status: 200, Version: 3}); !strings.Contains(text, `"out":["f-0"]`) {
		t.Errorf("upstream f-0 is not out: %s", text)
	}
	f.want("POST", "/v1/services/finder/upstreams/f-0/in", `{"change":"c5"}`, answer{Status: 200, Version: 4})
	f.want("PUT", "/v1/services/finder", `{"change":"c6","version":3,"service":`+service+`}`,
		answer{Status: 409, Version: 4, Code: "conflict", Field: "version", Run: "not_run"})
	f.want("DELETE", "/v1/services/finder", `{"change":"c7","version":4}`, answer{Status: 200, Version: 5})
	f.want("GET", "/v1/services/finder", "", answer{Status: 404, Code: "not_found", Field: "name", Run: "not_run"})
	f.want("POST", "/v1/services", `{"change":"c8","service":`+service+`}`, answer{Status: 201, Version: 6})
	f.want("GET", "/v1/status", "", answer{Status: 200, Version: 6})
}

func TestZones(t *testing.T) {
	f := newFixture(t)
	f.create()
	f.want("POST", "/v1/zones", `{"change":"z1","zone":`+zone+`}`, answer{Status: 201, Version: 2})
	f.want("DELETE", "/v1/zones/addis-a", `{"change":"z2","version":2}`,
		answer{Status: 409, Code: "conflict", Field: "name", Run: "not_run"})
	two := strings.Replace(zone, `"groups":1`, `"groups":2`, 1)
	f.want("PUT", "/v1/zones/addis-a", `{"change":"z3","version":2,"zone":`+two+`}`,
		answer{Status: 400, Code: "bad_field", Field: "zone.groups", Run: "not_run"})
	f.want("POST", "/v1/zones/addis-a/out", `{"change":"z4"}`, answer{Status: 200, Version: 3})
	twoOut := strings.Replace(two, `}`, `,"out":true}`, 1)
	f.want("PUT", "/v1/zones/addis-a", `{"change":"z5","version":3,"zone":`+twoOut+`}`, answer{Status: 200, Version: 4})
	f.want("POST", "/v1/zones/addis-a/in", `{"change":"z6"}`, answer{Status: 200, Version: 5})
}

func TestOneOfConcurrentChangesWins(t *testing.T) {
	f := newFixture(t)
	f.create()
	answers := make([]answer, 16)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			answers[i], _ = f.call("PUT", "/v1/services/finder", fmt.Sprintf(`{"change":"r%d","version":1,"service":%s}`, i, service))
		})
	}
	wg.Wait()
	count := make(map[answer]int)
	for _, a := range answers {
		count[a]++
	}
	want := map[answer]int{
		{Status: 200, Version: 2}: 1,
		{Status: 409, Version: 2, Code: "conflict", Field: "version", Run: "not_run"}: 15,
	}
	if diff := cmp.Diff(want, count); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

func TestLostAnswers(t *testing.T) {
	const path, body = "/v1/services/finder/contract", `{"change":"l1","set":{"priority":"3"}}`
	unsettled := answer{Status: 504, Code: "unsettled", Run: "unknown"}
	tests := []struct {
		name            string
		puts            []behavior
		gets            []behavior
		defaultBehavior behavior
		want            answer
		wantApplied     int
	}{
		{"applied", []behavior{appliedLost}, nil, normal, answer{Status: 200, Version: 2}, 2},
		{"applied, lost twice", []behavior{appliedLost, appliedLost}, nil, normal, answer{Status: 200, Version: 2}, 2},
		{"applied, then stale reads", []behavior{appliedLost}, []behavior{normal, stale, stale}, normal, answer{Status: 200, Version: 2}, 2},
		{"dropped", []behavior{droppedLost}, nil, normal, answer{Status: 200, Version: 2}, 2},
		{"applied, then down", []behavior{appliedLost}, []behavior{normal}, down, unsettled, 2},
		{"dropped, then down", []behavior{droppedLost}, []behavior{normal}, down, unsettled, 1},
		{"down from the start", nil, nil, down, answer{Status: 503, Code: "no_platform", Run: "not_run"}, 1},
		{"down for writes", []behavior{down}, nil, normal, answer{Status: 503, Code: "no_platform", Run: "not_run"}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.create()
				f.platform.puts, f.platform.gets, f.platform.defaultBehavior = tt.puts, tt.gets, tt.defaultBehavior
				text := f.want("POST", path, body, tt.want)
				if f.platform.appliedPuts != tt.wantApplied {
					t.Errorf("%d writes took effect, want %d", f.platform.appliedPuts, tt.wantApplied)
				}
				if tt.want == unsettled && !strings.Contains(text, "cornelwood change settle service finder l1 --after c1") {
					t.Errorf("the refusal does not name the command that settles the change: %s", text)
				}
			})
		})
	}
}

func TestSettle(t *testing.T) {
	const path = "/v1/changes/service/finder/l1"
	tests := []struct {
		name     string
		behavior behavior
		want     answer
	}{
		{"applied", appliedLost, answer{Status: 200, Version: 2, Outcome: "done"}},
		{"dropped", droppedLost, answer{Status: 200, Version: 2, Outcome: "not_run"}},
		{"still in flight", delayed, answer{Status: 200, Version: 2, Outcome: "not_run"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.create()
				f.platform.puts, f.platform.gets, f.platform.defaultBehavior = []behavior{tt.behavior}, []behavior{normal}, down
				f.call("POST", "/v1/services/finder/contract", `{"change":"l1","set":{"priority":"3"}}`)
				f.platform.defaultBehavior = normal
				f.want("POST", path+"?after=c1", "", tt.want)
				f.platform.applyDelayed()
				f.want("POST", path, "", tt.want)
			})
		})
	}
}

// TestSettleAfterManyChanges checks that the outcome of a change is unknown when the object no longer records every
// change since it.
func TestSettleAfterManyChanges(t *testing.T) {
	f := newFixture(t)
	f.create()
	for i := range declarer.MaxChanges {
		f.call("POST", "/v1/services/finder/contract", fmt.Sprintf(`{"change":"m%d","set":{"priority":"%d"}}`, i, i))
	}
	f.want("GET", "/v1/changes/service/finder/c1", "", answer{Status: 200, Version: 9, Outcome: "unknown"})
	f.want("POST", "/v1/changes/service/finder/c1", "", answer{Status: 200, Version: 10, Outcome: "unknown"})
	f.want("POST", "/v1/changes/service/finder/other?after=m7", "", answer{Status: 200, Version: 11, Outcome: "not_run"})
}

func TestInvalidCalls(t *testing.T) {
	bad := func(field string) answer {
		return answer{Status: 400, Code: "bad_field", Field: field, Run: "not_run"}
	}
	tests := []struct {
		name, method, path, body string
		want                     answer
	}{
		{"unknown field", "POST", "/v1/services", `{"change":"c","servise":{}}`, bad("servise")},
		{"wrong type", "POST", "/v1/services/s/contract", `{"change":7}`, bad("change")},
		{"no change", "POST", "/v1/zones/z/out", `{}`, bad("change")},
		{"bad change", "POST", "/v1/zones/z/out", `{"change":"a:b"}`, bad("change")},
		{"field of another call", "POST", "/v1/zones/z/out", `{"change":"c","version":1}`, bad("version")},
		{"no version", "DELETE", "/v1/services/s", `{"change":"c"}`, bad("version")},
		{"bad service", "POST", "/v1/services", `{"change":"c","service":{"name":"A"}}`, bad("service.name")},
		{"unknown setting", "POST", "/v1/services/s/contract", `{"change":"c","set":{"latncy":"1s"}}`, bad("set.latncy")},
		{"bad setting", "POST", "/v1/services/s/contract", `{"change":"c","set":{"slots":"x"}}`, bad("set.slots")},
		{"two values", "POST", "/v1/zones/z/out", `{"change":"c"}{}`, answer{Status: 400, Code: "bad_body", Run: "not_run"}},
		{"too large", "POST", "/v1/zones/z/out", `{"change":"` + strings.Repeat("c", maxBodyBytes) + `"}`, answer{Status: 413, Code: "too_large", Run: "not_run"}},
		{"bad method", "PATCH", "/v1/services", "", answer{Status: 405, Code: "bad_method", Run: "not_run"}},
		{"no such path", "GET", "/v2", "", answer{Status: 404, Code: "not_found", Run: "not_run"}},
		{"no such service", "DELETE", "/v1/services/s", `{"change":"c","version":1}`, answer{Status: 404, Code: "not_found", Field: "name", Run: "not_run"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				newFixture(t).want(tt.method, tt.path, tt.body, tt.want)
			})
		})
	}
}

func FuzzDecodeRequest(f *testing.F) {
	f.Add(`{"change":"c","service":` + service + `}`)
	f.Add(`{"change":"c","version":1,"zone":` + zone + `,"set":{"slots":"1"}}`)
	f.Add(`{"change":"c","x":1}`)
	f.Fuzz(func(t *testing.T, body string) {
		req, err := decodeRequest(strings.NewReader(body), fields{version: optional, service: optional, zone: optional, set: optional})
		if err != nil {
			return
		}
		if checkChange(req.Change) != nil {
			t.Errorf("decodeRequest accepted the change id %q", req.Change)
		}
		if req.Service != nil && req.Service.Check() == nil {
			o := declarer.Object{Key: declarer.Key{Kind: declarer.KindService, Name: req.Service.Name}, Service: req.Service}
			if _, err := json.Marshal(o); err != nil || o.Check() != nil {
				t.Errorf("object of a valid service is invalid: %v", err)
			}
		}
		if req.Set != nil && checkSettings(req.Set) == nil && len(sortedKeys(req.Set)) == 0 {
			t.Error("an empty set was accepted")
		}
	})
}
