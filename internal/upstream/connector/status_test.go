package connector

import (
	"errors"
	"fmt"
	"testing"
)

// TestInvalidStatus guards against an answer whose status HTTP does not define being passed on as an answer, or being skipped as
// an informational one so that what follows it, such as its body, counts as the answer.
func TestInvalidStatus(t *testing.T) {
	body := answer("1", "x")
	answers := map[string]string{
		"bare":          "\r\n\r\n",
		"with an ID":    "\r\nId: 1\r\nStamp: s\r\nContent-Length: 1\r\n\r\nx",
		"not run":       "\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"before one":    "\r\n\r\n" + body,
		"around one":    fmt.Sprintf("\r\nId: 1\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"without end":   "\r\nId: 1\r\nStamp: s\r\n\r\nx",
		"reason phrase": " OK\r\nId: 1\r\nStamp: s\r\nContent-Length: 1\r\n\r\nx",
	}
	for _, status := range []string{"000", "001", "020", "099", "600", "700", "999", "+20", "-00", "-20", "2 0", "20", "0200", "2000", "101", ""} {
		for name, rest := range answers {
			t.Run(status+" "+name, func(t *testing.T) {
				s := newSearcher(t, reply("HTTP/1.1 "+status+rest))
				c := newConnector(t, nil)
				rep, err := do(t, c, s, "1")
				var ce *Error
				if rep != nil || !errors.As(err, &ce) || !ce.Sent || ce.Dial {
					t.Fatalf("reply %+v, error %#v, want no reply and an error with Sent and without Dial", rep, err)
				}
				if n := c.Open(s.addr); n != 0 {
					t.Errorf("%d open connections, want none: it may carry more of such bytes", n)
				}
			})
		}
	}
}
