package receiver

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/answerer"
)

func TestBadInput(t *testing.T) {
	tests := []struct {
		name   string
		method string
		path   string
		body   string
		status int
		code   answerer.Code
		field  string
	}{
		{"wrong method", "GET", "/v1/query", "", 405, answerer.CodeBadMethod, "method"},
		{"unknown path", "POST", "/v2/query", "{}", 404, answerer.CodeNotFound, "path"},
		{"empty body", "POST", "/v1/query", "", 400, answerer.CodeBadBody, ""},
		{"not JSON", "POST", "/v1/query", "{", 400, answerer.CodeBadBody, ""},
		{"two values", "POST", "/v1/query", `{"service":"s"} {}`, 400, answerer.CodeBadBody, ""},
		{"unknown field", "POST", "/v1/query", `{"servce":"s"}`, 400, answerer.CodeBadField, "servce"},
		{"wrong type", "POST", "/v1/query", `{"service":3}`, 400, answerer.CodeBadField, "service"},
		{"no service", "POST", "/v1/query", `{}`, 400, answerer.CodeBadField, "service"},
		{"negative limit", "POST", "/v1/query", `{"service":"s","limit":-1}`, 400, answerer.CodeBadField, "limit"},
		{"deadline in the past", "POST", "/v1/query", `{"service":"s","deadline":"-1s"}`, 400, answerer.CodeBadField, "deadline"},
		{"long terms", "POST", "/v1/query", `{"service":"s","terms":"` + strings.Repeat("x", 5000) + `"}`, 400, answerer.CodeBadField, "terms"},
		{"large body", "POST", "/v1/query", `{"service":"` + strings.Repeat("x", 70_000) + `"}`, 413, answerer.CodeTooLarge, ""},
		{"run without a ticket", "POST", "/v1/run", `{"service":"s","action":1}`, 400, answerer.CodeBadField, "ticket"},
		{"run without an action", "POST", "/v1/run", `{"ticket":"t","service":"s"}`, 400, answerer.CodeBadField, "action"},
	}
	h := New(fake{}, fake{}, fake{}, http.NotFoundHandler())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := serve(h, tt.method, tt.path, tt.body)
			assertRefusal(t, w, tt.status, answerer.RefusalError{Code: tt.code, Field: tt.field, Outcome: answerer.NotRun})
		})
	}
}

func TestQuery(t *testing.T) {
	h := New(fake{}, fake{}, fake{}, http.NotFoundHandler())
	w := serve(h, "POST", "/v1/query", `{"request":"r","service":"s"}`)
	var got answerer.Answer
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(answerer.Answer{Request: "r", Service: "s"}, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

func FuzzBody(f *testing.F) {
	for _, seed := range []string{`{}`, `{"service":"s"}`, `{"service":"s","deadline":"1h"}`, `[`, `null`, `{"limit":1e9}`} {
		f.Add("/v1/query", seed)
		f.Add("/v1/run", seed)
		f.Add("/v1/ticket", seed)
	}
	h := New(fake{}, fake{}, fake{}, http.NotFoundHandler())
	f.Fuzz(func(t *testing.T, path, body string) {
		if !strings.HasPrefix(path, "/v1/") || strings.ContainsAny(path, " \x7f%?#") || !isPrintable(path) {
			t.Skip("not a path")
		}
		w := serve(h, "POST", path, body)
		if w.Code >= 500 {
			t.Errorf("status %d for body %q", w.Code, body)
		}
	})
}

func isPrintable(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r < ' ' || r > '~' }) < 0
}

// fake is a Querier, Ticketer and Checker that accepts every call.
type fake struct{}

func (fake) Query(_ context.Context, q *answerer.Query) (*answerer.Answer, error) {
	return &answerer.Answer{Request: q.Request, Service: q.Service}, nil
}

func (fake) Issue(service string) (answerer.Ticket, error) {
	return answerer.Ticket{Service: service}, nil
}

func (fake) Run(_ context.Context, r answerer.Run) (answerer.RunResult, error) {
	return answerer.RunResult{Ticket: r.Ticket}, nil
}

func (fake) Ready() (bool, string)     { return true, "" }
func (fake) Live(context.Context) bool { return true }

func serve(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body)))
	return w
}

func assertRefusal(t *testing.T, w *httptest.ResponseRecorder, status int, want answerer.RefusalError) {
	t.Helper()
	var got answerer.RefusalError
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatalf("body %q: %v", w.Body, err)
	}
	got.Reason, got.Request = "", ""
	if diff := cmp.Diff(want, got); diff != "" || w.Code != status {
		t.Errorf("status %d, want %d; refusal (-want +got):\n%s", w.Code, status, diff)
	}
}
