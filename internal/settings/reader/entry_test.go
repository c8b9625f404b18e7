package reader

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const goodEntry = `
[daemon]
id = a-1
zone = a
region = r
[caller]
listen = 127.0.0.1:1001
checks = 127.0.0.1:1002
peers = 127.0.0.1:1003
[store]
address = 127.0.0.1:1000
`

func TestReadEntrySettings(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"good", goodEntry, nil},
		{"empty", "", []string{
			"daemon/id", "daemon/zone", "daemon/region", "caller/listen", "caller/checks", "caller/peers", "store/address",
		}},
		{"one address twice", strings.Replace(goodEntry, "1002", "1001", 1), []string{"caller/checks"}},
		{"unknown key", goodEntry + "[extra]\nbudget = 3\n", []string{"extra/budget"}},
		{
			"bad values", goodEntry + "[extra]\nratio = x\nslack = -1\nwindow = 0s\n[shutdown]\ngrace = 6\n[process]\nmemory = much\n",
			[]string{"process/memory", "shutdown/grace", "extra/ratio", "extra/slack", "extra/window"},
		},
		{"ratio that is no number", goodEntry + "[extra]\nratio = NaN\n", []string{"extra/ratio"}},
		{"ratio below 0", goodEntry + "[extra]\nratio = -1\n", []string{"extra/ratio"}},
		{"ratio above 1", goodEntry + "[extra]\nratio = 1.1\n", []string{"extra/ratio"}},
		{"strict without a time", goodEntry + "[account]\nstrict = true\n", []string{"account/revoke"}},
		{"strict", goodEntry + "[account]\nstrict = true\nrevoke = 5s\n", nil},
		{"section of another daemon", goodEntry + "[group]\nfence = 1s\n", []string{"group/"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ReadEntrySettings(writeFile(t, tt.text))
			assertFileErrors(t, err, tt.want)
		})
	}
}

// TestEntryTemplate checks that the deployment template is valid once its placeholders are filled in as the platform
// does it.
func TestEntryTemplate(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/entry.ini")
	if err != nil {
		t.Fatal(err)
	}
	filled := strings.NewReplacer(
		"{{node_name}}", "front-addis-a-1", "{{zone}}", "addis-a", "{{region}}", "et-central",
		"{{listen.front_addr}}", "10.1.0.39:8226", "{{listen.ready_addr}}", "10.1.0.39:8227",
		"{{ip}}:{{port_range.0}}", "10.1.0.39:7740", "{{platform.address}}", "10.200.1.7:8229",
		"{{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/bootstrap}}", "true", "{{limits.memory_mb}}", "284", "{{limits.cpu_share}}", "0.4", "{{bounds.grace_s}}", "6", "{{bounds.retry_budget_ratio}}", "0.2",
		"{{bounds.retry_slack}}", "56", "{{bounds.budget_window_s}}", "10", "{{limits.max_fds}}", "4100",
		"{{#bounds.strict_revoke}}strict = true{{/bounds.strict_revoke}}", "strict = true",
		"{{#bounds.revoke_ms}}revoke = {{bounds.revoke_ms}}ms{{/bounds.revoke_ms}}", "revoke = 5000ms",
		"{{#bounds.quota_window_s}}window = {{bounds.quota_window_s}}s{{/bounds.quota_window_s}}", "window = 5s",
		"{{#bounds.quota_overage}}overage = {{bounds.quota_overage}}{{/bounds.quota_overage}}", "overage = 0.1",
		"{{#bounds.quota_slack}}slack = {{bounds.quota_slack}}{{/bounds.quota_slack}}", "slack = 20",
		// A placeholder without a value leaves an empty line.
		"{{#bounds.canary_share}}share = {{bounds.canary_share}}{{/bounds.canary_share}}", "",
		"{{#bounds.canary_slack}}slack = {{bounds.canary_slack}}{{/bounds.canary_slack}}", "",
		"{{#bounds.rollback_ms}}rollback = {{bounds.rollback_ms}}ms{{/bounds.rollback_ms}}", "",
	).Replace(string(text))
	path := writeFile(t, filled)
	set, err := ReadEntrySettings(path)
	if err != nil {
		t.Fatal(err)
	}
	if !IsEntrySettings(path) {
		t.Error("file not recognized as the settings of an entry daemon")
	}
	want := RetryBudget{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	if diff := cmp.Diff(want, set.Extra); diff != "" {
		t.Errorf("retry budget (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(AccountKeys{Strict: true, Revoke: 5 * time.Second}, set.Account); diff != "" {
		t.Errorf("keys of client accounts (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(Allotment{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, set.Allotment); diff != "" {
		t.Errorf("allotment (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(Rollout{}, set.Rollout); diff != "" {
		t.Errorf("roll-outs (-want +got):\n%s", diff)
	}
	if set.Process.Descriptors != 4100 || set.Shutdown.Grace != 6*time.Second || set.Process.MemoryMB != 284 || set.Process.Share != 0.4 || !set.Store.Bootstrap || !set.Log.JSON {
		t.Errorf("settings %+v", set)
	}
}
