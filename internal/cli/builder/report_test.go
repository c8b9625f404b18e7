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

// serveDaemon serves the series of a daemon that gave good answers to 99 queries and refused one, and returns its URL.
func serveDaemon(t *testing.T, instance string) string {
	rec, closer := recorder.New(time.Now)
	t.Cleanup(closer)
	contract := declarer.Contract{Latency: declarer.Duration{Duration: time.Second}, Quantile: 0.9, Coverage: 1}
	for range 99 {
		rec.Record("anomaly-finder", contract, time.Millisecond, 1)
	}
	rec.RecordRefusal("anomaly-finder", answerer.CodeOverloaded)
	return serve(t, rec.Handler(instance, http.NotFoundHandler()))
}

func serve(t *testing.T, h http.Handler) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.URL
}

func respondWith(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }
}

// executeBurn runs "report burn", checks its exit code, and returns its standard output.
func executeBurn(t *testing.T, code int, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	got := executor.Execute(New(&out, &errs), append([]string{"cornelwood", "report", "burn"}, args...))
	if got != code {
		t.Fatalf("exit code %d, want %d; errors: %s", got, code, errs.String())
	}
	return out.String()
}

// assertContains checks that the text contains each of wants, where any white space counts as one space.
func assertContains(t *testing.T, text string, wants ...string) {
	t.Helper()
	text = strings.Join(strings.Fields(text), " ")
	for _, want := range wants {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
}

// TestBurnReport checks the report of two daemons, one of them named twice, and three that do not give a valid answer.
func TestBurnReport(t *testing.T) {
	a, b := serveDaemon(t, "a"), serveDaemon(t, "b")
	stopped := httptest.NewServer(http.NotFoundHandler())
	stopped.Close()
	invalid := serve(t, respondWith(`{"recorded":"1h","services":[{"name":"s","buckets":[[1,1,2,0,0]]}]}`))
	unsupported := serve(t, http.NotFoundHandler())
	args := []string{"--operator", a, "--operator", stopped.URL, "--operator", b, "--operator", invalid, "--operator", unsupported, "--operator", a}

	t.Run("table", func(t *testing.T) {
		assertContains(t, executeBurn(t, 0, args...),
			"90% within 1s 200 2 2 99% 90%", "no alerts", "0% of 3 d", "no valid answer from "+stopped.URL,
			`field "s.buckets[0]"`, "status 404", "same instance as "+a)
	})
	t.Run("JSON", func(t *testing.T) {
		var rep burner.Report
		if err := json.Unmarshal([]byte(executeBurn(t, 0, append(args, "--json")...)), &rep); err != nil {
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
		executeBurn(t, 0, append(args, "--html", path)...)
		page, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		assertContains(t, string(page), "2 of 5 daemons answered", "<svg role=\"img\"")
	})
}

// TestBurnTimeout checks that the timeout holds for all daemons together: there are more of them than are called
// concurrently, and none answers.
func TestBurnTimeout(t *testing.T) {
	silent := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }))
	args := []string{"--timeout", "50ms"}
	for range 3 * maxConcurrentFetches {
		args = append(args, "--operator", silent)
	}
	assertContains(t, executeBurn(t, 1, args...), "deadline exceeded")
}
