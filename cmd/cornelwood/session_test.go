package main_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"cornelwood.example/internal/cli/requester"
)

// update rewrites the golden sessions: go test ./cmd/cornelwood -run TestSessions -update.
var update = flag.Bool("update", false, "rewrite the golden sessions")

// normalizers replace the parts of the output that differ from run to run.
var normalizers = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`took [0-9.a-zµ]+`), "took TIME"},
	{regexp.MustCompile(`"took":"[^"]*"`), `"took":"TIME"`},
	{regexp.MustCompile(`last answer from the platform: [0-9.a-zµ]+ ago`), "last answer from the platform: TIME ago"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDR"},
	{regexp.MustCompile(`[a-z]-\d+:[0-9a-z]+:[0-9a-z]+:[0-9a-z]+:[0-9a-f]+`), "TICKET"},
	{regexp.MustCompile(`"run":\d+`), `"run":N`},
}

// TestSessions replays sessions of operators and callers against a site of separate processes, and compares every line
// with the golden files in _fixtures/sessions.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "../../_fixtures/sessions",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			s := withSite(t, siteOptions{})
			warmUp(t, s)
			setSiteEnv(env, s)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"clean":  normalizeOutput,
			"fault":  setPlatformFault,
			"ticket": setTicket,
		},
	})
}

func setSiteEnv(env *testscript.Env, s *site) {
	env.Setenv("PLATFORM", s.platformURL)
	env.Setenv("SCHEMA", s.schemaFile)
	for i, d := range s.daemons {
		env.Setenv(fmt.Sprintf("CALLER%d", i+1), "http://"+d.caller)
		env.Setenv(fmt.Sprintf("OPERATOR%d", i+1), "http://"+d.operator)
	}
}

// normalizeOutput writes the output of the last command, with normalizers applied, to the file "out".
func normalizeOutput(ts *testscript.TestScript, _ bool, _ []string) {
	text := ts.ReadFile("stdout") + ts.ReadFile("stderr")
	for _, c := range normalizers {
		text = c.pattern.ReplaceAllString(text, c.replacement)
	}
	ts.Check(os.WriteFile(ts.MkAbs("out"), []byte(text), 0o600))
}

// setPlatformFault sets a fault of the platform, as in "fault outage refuse", or ends it when no value is given.
func setPlatformFault(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 1 {
		ts.Fatalf("usage: fault NAME [VALUE]")
	}
	set := map[string]any{args[0]: ""}
	if len(args) > 1 {
		set[args[0]] = args[1]
	}
	ts.Check(requester.New(ts.Getenv("PLATFORM"), httpClient).Do(context.Background(), http.MethodPost, "/faults", set, nil))
}

// setTicket sets TICKET to the content of the file "ticket".
func setTicket(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Setenv("TICKET", strings.TrimSpace(ts.ReadFile("ticket")))
}
