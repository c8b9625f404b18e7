package forwarder

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/peer/lender"
)

// fakeAllotter grants everything, or refuses with an error, and counts the tokens.
type fakeAllotter struct {
	refused *lender.RefusedError
	taken   int
	version uint64
}

func (f *fakeAllotter) Take(_ context.Context, _ *declarer.Account, version uint64) (lender.Grant, error) {
	f.taken++
	f.version = version
	if f.refused != nil {
		return lender.Grant{}, f.refused
	}
	return lender.Grant{}, nil
}

// TestTokens checks that one token is taken for each request of an account with a limit, whatever its attempts, and that
// a refusal is 429 only when the account is known to be above its limit. Nothing may reach a searcher then.
func TestTokens(t *testing.T) {
	limited, unlimited := &declarer.Account{Name: "a", Rate: 1}, &declarer.Account{Name: "b"}
	for _, tt := range []struct {
		name, path string
		account    *declarer.Account
		refused    *lender.RefusedError
		status     int
		taken      int
		sent       int
		// low and high bound Retry-After.
		low, high time.Duration
	}{
		{"granted", "/get/x", limited, nil, http.StatusOK, 1, 2, 0, 0},
		{"query", "/q/x", limited, nil, http.StatusOK, 1, 5, 0, 0},
		{"exceeded", "/get/x", limited, &lender.RefusedError{Wait: time.Second, Exceeded: true}, http.StatusTooManyRequests, 1, 0, time.Second, time.Second},
		{"not known", "/q/x", limited, &lender.RefusedError{Wait: time.Second}, http.StatusServiceUnavailable, 1, 0, time.Second, 2 * time.Second},
		{"no limit", "/get/x", unlimited, &lender.RefusedError{}, http.StatusOK, 0, 2, 0, 0},
		{"no account", "/get/x", nil, &lender.RefusedError{}, http.StatusOK, 0, 2, 0, 0},
		{"no route", "/none/x", limited, nil, http.StatusNotFound, 0, 0, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				s.fillBudget("1", 100, 100)
				// The first searcher fails, so that the request takes two attempts.
				s.behaviors["1a"] = failWith(true, false)
				allotter := &fakeAllotter{refused: tt.refused}
				s.SetAllotter(allotter)
				req := &Request{ID: "r", Method: http.MethodGet, Host: "h", Path: tt.path, Target: tt.path, ClientTimeout: timeout, Arrived: time.Now()}
				req.Account = tt.account
				a := s.Handle(s.t.Context(), req)
				s.assertAnswer(a, tt.status)
				s.assertSent(tt.sent)
				if diff := cmp.Diff(tt.taken, allotter.taken); diff != "" {
					t.Errorf("tokens (-want +got):\n%s", diff)
				}
				if a.RetryAfter < tt.low || a.RetryAfter > tt.high {
					t.Errorf("Retry-After %s, want %s to %s", a.RetryAfter, tt.low, tt.high)
				}
			})
		})
	}
}
