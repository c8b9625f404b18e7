package dispatcher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/upstream/prober"
)

// do runs a task and waits for its result.
func (fx *fixture) do(t testing.TB, task exchanger.Task) exchanger.Result {
	t.Helper()
	got := make(chan exchanger.Result, 1)
	fx.Do(t.Context(), task, func(r exchanger.Result) { got <- r })
	return <-got
}

func TestSearchOverHTTP(t *testing.T) {
	fx := newFixture(t, Default(), startEchoServer(t), DialHTTP)
	got := fx.do(t, search(1, 10*time.Second))
	want := exchanger.Result{ID: 1, Sent: true, Version: 7}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("result (-want +got):\n%s", d)
	}
}

func TestMetrics(t *testing.T) {
	fx := newFixture(t, Default(), startEchoServer(t), DialHTTP)
	fx.do(t, search(1, 10*time.Second))
	fx.Hint("finder", "u", prober.Pages{})
	families, err := fx.reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]float64)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			got[f.GetName()] += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	want := map[string]float64{
		"cornelwood_upstream_cold":                      1,
		"cornelwood_upstream_connections":               1,
		"cornelwood_upstream_connections_opened_total":  1,
		"cornelwood_upstream_in_flight":                 0,
		"cornelwood_upstream_invalid_answers_total":     0,
		"cornelwood_upstream_late_total":                0,
		"cornelwood_upstream_limit":                     1,
		"cornelwood_upstream_resets_total":              0,
		"cornelwood_upstream_sheds_total":               0,
		"cornelwood_upstream_silent_connections_total":  0,
		"cornelwood_upstream_temperature_changes_total": 0,
		"cornelwood_upstream_waiting":                   0,
		"cornelwood_upstream_wasted_total":              0,
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("metrics (-want +got):\n%s", d)
	}
}

// BenchmarkSubRequest measures one sub-request at the owner, over TCP to an upstream in
// the same process.
func BenchmarkSubRequest(b *testing.B) {
	d := newFixture(b, Default(), startEchoServer(b), DialHTTP)
	b.ReportAllocs()
	for b.Loop() {
		d.do(b, search(1, 10*time.Second))
	}
}

// BenchmarkAdmission measures one sub-request at the owner with a Client that answers at
// once.
func BenchmarkAdmission(b *testing.B) {
	d := newFixture(b, Default(), "192.0.2.1:80", (&fakeClient{instant: true}).dial)
	b.ReportAllocs()
	for b.Loop() {
		d.do(b, search(1, 10*time.Second))
	}
}
