package gauger

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"
)

// TestMeasure guards against a connection that is not measured, and against a second request that is taken for the one
// that the connection was opened for.
func TestMeasure(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the kernel's figures are read on Linux only")
	}
	var got []Transit
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got = append(got, Measure(r.Context(), time.Now()))
	}))
	srv.Config.ConnContext = ConnContext
	srv.Start()
	defer srv.Close()
	for range 2 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, srv.URL, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		res, err := srv.Client().Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		time.Sleep(5 * time.Millisecond)
	}
	if len(got) != 2 || got[0].RoundTrip <= 0 || got[1].RoundTrip <= 0 {
		t.Fatalf("measured %+v, want two round trips", got)
	}
	if got[1].Connected {
		t.Error("the second request counts as the one that the connection was opened for")
	}
}

func TestTransit(t *testing.T) {
	ms := time.Millisecond
	for _, tt := range []struct {
		name                        string
		transit                     Transit
		wantElapsed, wantReturnTrip time.Duration
	}{
		{"not known", Transit{}, 0, 0},
		{"kept connection", Transit{RoundTrip: 6 * ms}, 3 * ms, 3 * ms},
		{"new connection that waited", Transit{RoundTrip: 6 * ms, Waited: ms, Connected: true}, 10 * ms, 3 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if e, r := tt.transit.Elapsed(), tt.transit.Return(); e != tt.wantElapsed || r != tt.wantReturnTrip {
				t.Errorf("%s before and %s after, want %s and %s", e, r, tt.wantElapsed, tt.wantReturnTrip)
			}
		})
	}
	if (Transit{RoundTrip: minRoundTrip - 1}).Known() {
		t.Error("the round trip to a proxy on this machine counts as that to the client")
	}
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	if got := Measure(ConnContext(t.Context(), a), time.Now()); got.Known() {
		t.Errorf("measured %+v of a connection without a socket", got)
	}
}
