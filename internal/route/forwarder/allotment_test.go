package forwarder

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/peer/lender"
)

// fakeAllotter grants everything, or refuses with an error, and counts the tokens.
type fakeAllotter struct {
	refused *lender.RefusedError
	// meanwhile is called while a request waits for its token.
	meanwhile func()
	taken     int
	version   uint64
}

func (f *fakeAllotter) Take(_ context.Context, _ *declarer.Account, version uint64) (lender.Grant, error) {
	f.taken++
	f.version = version
	if f.meanwhile != nil {
		f.meanwhile()
	}
	if f.refused != nil {
		return lender.Grant{}, f.refused
	}
	return lender.Grant{}, nil
}

// declareLimited adds an account with the key "k", and makes all routes public for requests without one.
func (s *setup) declareLimited(account *declarer.Account) {
	routing := testRouting(4)
	routing.Version = 2
	for i := range routing.Routes {
		routing.Routes[i].Public = true
	}
	if account != nil {
		declared := *account
		declared.Keys = []string{"k"}
		routing.Accounts = []declarer.Account{declared}
	}
	s.locator.Routings().Replace([]follower.Item[*declarer.Routing]{{Name: "main", Value: routing}}, 2)
	synctest.Wait()
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
				s.declareLimited(tt.account)
				if tt.account != nil {
					req.Key = "k"
				}
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

// TestKeyWithdrawnDuringTake covers a key that is withdrawn while its request waits for a token: it must not be sent.
func TestKeyWithdrawnDuringTake(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.declareAccounts(2, "k2")
		routing := *s.locator.View().Matcher.Routing()
		routing.Version = 3
		routing.Accounts = []declarer.Account{{Name: "other", Keys: []string{"k2"}, Rate: 1}}
		s.locator.Routings().Replace([]follower.Item[*declarer.Routing]{{Name: "main", Value: &routing}}, 3)
		synctest.Wait()
		s.SetAllotter(&fakeAllotter{meanwhile: func() { s.declareAccounts(4) }})
		s.assertAnswer(s.Handle(s.t.Context(), requestWith("k2", "/get/x")), http.StatusUnauthorized)
		s.assertSent(0)
	})
}
