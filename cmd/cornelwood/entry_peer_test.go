package main_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/peer/linker"
)

// TestTaskOfUnknownKind sends a task of the product's own daemons to an entry daemon, which has none to run it. The process must live
// and refuse the task.
func TestTaskOfUnknownKind(t *testing.T) {
	s := withEntry(t)
	l, closer := linker.New(linker.Config{Self: netip.MustParseAddrPort("127.0.0.1:1")}, nil, hclog.NewNullLogger(), prometheus.NewRegistry())
	defer closer()
	results := make(chan exchanger.Result, 1)
	task := exchanger.Task{ID: 1, Request: "r", Service: "a", Upstream: "a1", Remaining: time.Second}
	l.Exchange(t.Context(), netip.MustParseAddrPort(s.peerAddr()), []exchanger.Task{task}, func(r exchanger.Result) { results <- r })
	if r := <-results; r.Status == exchanger.OK {
		t.Errorf("task got result %+v, want a failure", r)
	}
	s.assertStatus(s.send(&http.Client{}, http.MethodPost, "/p/1"), http.StatusOK)
}
