package builder

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/cli/executor"
	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/report/burner"
	"cornelwood.example/internal/report/recorder"
)

// burnServer serves the series of a daemon that answered 99 queries well and
// refused one.
func burnServer(t *testing.T, instance string) string {
	rec, closer := recorder.New(time.Now)
	t.Cleanup(closer)
	contract := declarer.Contract{Latency: declarer.Duration{Duration: time.Second}, Quantile: 0.9, Coverage: 1}
	for range 99 {
		rec.Record("anomaly-finder", contract, time.Millisecond, 1)
	}
	rec.RecordRefusal("anomaly-finder", answerer.CodeOverloaded)
	return serveBurn(t, rec.Handler(instance, http.NotFoundHandler()))
}

func serveBurn(t *testing.T, h http.Handler) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.URL
}

func text(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }
}

// burn runs the command, checks its exit code, and returns what it printed.
func burn(t *testing.T, code int, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	got := executor.Execute(New(&out, &errs), append([]string{"cornelwood", "report", "burn"}, args...))
	if got != code {
		t.Fatalf("exit code %d, want %d; errors: %s", got, code, errs.String())
	}
	return out.String()
}

// assertHas looks for words in a row, however far apart they stand.
func assertHas(t *testing.T, text string, wants ...string) {
	t.Helper()
	text = strings.Join(strings.Fields(text), " ")
	for _, want := range wants {
		if !strings.Contains(text, want) {
			t.Errorf("%q does not stand in:\n%s", want, text)
		}
	}
}

func TestBurnOfDaemons(t *testing.T) {
	a, b := burnServer(t, "a"), burnServer(t, "b")
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	faulty := serveBurn(t, text(`{"recorded":"1h","services":[{"name":"s","buckets":[[1,1,2,0,0]]}]}`))
	old := serveBurn(t, http.NotFoundHandler())
	args := []string{"--operator", a, "--operator", gone.URL, "--operator", b, "--operator", faulty, "--operator", old, "--operator", a}

	t.Run("table", func(t *testing.T) {
		assertHas(t, burn(t, 0, args...),
			"90% within 1s 200 2 2 99% 90%", "no alerts", "0% of 3 d", "no answer from "+gone.URL,
			`field "s.buckets[0]"`, "status 404", "same instance as "+a)
	})
	t.Run("JSON", func(t *testing.T) {
		var rep burner.Report
		if err := json.Unmarshal([]byte(burn(t, 0, append(args, "--json")...)), &rep); err != nil {
			t.Fatal(err)
		}
		got := []any{rep.Asked, rep.Answered, rep.Services[0].Counts}
		want := []any{5, 2, burner.Counts{Total: 200, Refused: 2}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("report (-want +got):\n%s", diff)
		}
	})
	t.Run("page", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "burn.html")
		burn(t, 0, append(args, "--html", path)...)
		page, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		assertHas(t, string(page), "2 of 5 daemons answered", "<svg role=\"img\"")
	})
}

// More daemons than are asked at once, none of which answers: the time is bounded.
func TestBurnOfSilentDaemons(t *testing.T) {
	silent := serveBurn(t, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }))
	args := []string{"--timeout", "50ms"}
	for range 3 * maxAsks {
		args = append(args, "--operator", silent)
	}
	assertHas(t, burn(t, 1, args...), "deadline exceeded")
}
