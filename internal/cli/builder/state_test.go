package builder

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/cli/executor"
)

// stateExample is a desired state without findings.
const stateExample = `{"version":4,"routes":[{"name":"p","host":"a.example","path_prefix":"/p/","kind":"idempotent","attempts":1,"service":"t"}],
	"services":[{"name":"t"}],"limits":{"header_bytes":1,"body_bytes":1,"header_ms":1,"idle_ms":1},"tenants":[{"name":"x","api_keys":["sesame-1"]}]}`

// serveState serves a store whose only objects are items, and returns its address.
func serveState(t *testing.T, status int, items string) string {
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			t.Errorf("call %s %s, want reads only", r.Method, r.URL)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"items":[` + items + `],"has_more":false,"as_of":3}`))
	}))
	return strings.TrimPrefix(url, "http://")
}

// TestCheckState guards against an exit code that a program would misread: a check that could not be made must not look like one
// that found nothing or only warnings.
func TestCheckState(t *testing.T) {
	dir := t.TempDir()
	files := map[string]string{
		"good":    stateExample,
		"info":    strings.Replace(stateExample, `"version"`, `"colour":1,"version"`, 1),
		"warning": strings.Replace(stateExample, `"body_bytes":1`, `"body_bytes":0`, 1),
		"error":   strings.Replace(stateExample, `"attempts":1`, `"attempts":0,"colour":"sesame-1"`, 1),
		"broken":  `{"api_keys":[sesame-1]}`,
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	older := serveState(t, http.StatusOK, `{"meta":{"name":"main"},"spec":`+strings.NewReplacer(`"version":4`, `"version":3`, "sesame-1", "sesame-2").Replace(stateExample)+`}`)
	same := serveState(t, http.StatusOK, `{"meta":{"name":"main"},"spec":`+stateExample+`}`)
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no findings", []string{"good"}, 0, "no findings"},
		{"information", []string{"info"}, 0, "info: colour"},
		{"warning", []string{"warning"}, 1, "warning: limits.body_bytes"},
		{"error", []string{"error"}, 2, "error: routes[0].attempts"},
		{"not JSON", []string{"broken"}, 2, "error: document: not valid JSON at line 1, column 14"},
		{"older version in the store", []string{"--store", older, "good"}, 0, `tenants "x": api_keys: 1 key removed, 1 key added`},
		{"same version in the store", []string{"--store", same, "good"}, 2, "error: version"},
		{"empty store", []string{"--store", serveState(t, http.StatusOK, ""), "good"}, 0, "the store has no desired state"},
		{"refusing store", []string{"--store", serveState(t, http.StatusServiceUnavailable, ""), "good"}, 3, "read the version in force"},
		{"no store", []string{"--store", "127.0.0.1:1", "good"}, 3, "read the version in force"},
		{"no file in force", []string{"--against", "nowhere", "good"}, 3, "no such file"},
		{"no file", []string{"nowhere"}, 3, "no such file"},
		{"no argument", nil, 3, `"FILE" is missing`},
		{"two files", []string{"good", "good"}, 3, "want one file"},
		{"unknown flag", []string{"--colour", "good"}, 3, "colour"},
		{"invalid flag", []string{"--timeout", "x", "good"}, 3, "timeout"},
	}
	t.Chdir(dir)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			code := executor.Execute(New(&out, &out), append([]string{"cornelwood", "check", "state"}, tt.args...))
			if diff := cmp.Diff(tt.code, code); diff != "" {
				t.Errorf("exit code (-want +got):\n%s\n%s", diff, out.String())
			}
			if !strings.Contains(out.String(), tt.want) || strings.Contains(out.String(), "sesame") {
				t.Errorf("output is %q, want %q in it and no key", out.String(), tt.want)
			}
		})
	}
}
