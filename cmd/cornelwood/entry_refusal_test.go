package main_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cornelwood.example/platform"
)

// TestRefusalComesAtOnce sends heads of requests that are refused by their head or by the time that they take, and keeps their
// bodies back. Each must be answered, on a connection that closes; a request that was refused must not have run.
func TestRefusalComesAtOnce(t *testing.T) {
	s := withEntry(t)
	const announced, chunked = "Content-Length: 1000\r\n", "Transfer-Encoding: chunked\r\n"
	for _, tt := range []struct {
		name, path, framing string
		timeout             time.Duration
		want                int
	}{
		{"no route", "/none/", announced, 0, http.StatusNotFound},
		{"no route, chunked", "/none/", chunked, 0, http.StatusNotFound},
		{"too large", "/p/1", fmt.Sprintf("Content-Length: %d\r\n", 1<<20+1), 0, http.StatusRequestEntityTooLarge},
		{"client's time is up", "/p/1", announced, 300 * time.Millisecond, http.StatusRequestTimeout},
		{"route's time is up", "/p/1", announced, 0, http.StatusRequestTimeout},
		{"route's time is up, chunked", "/p/1", chunked, 0, http.StatusRequestTimeout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			resp := s.sendHead(t, tt.path, tt.framing, tt.timeout)()
			defer resp.Body.Close()
			if resp.StatusCode != tt.want || !resp.Close {
				t.Errorf("status %d, connection closes: %t; want status %d on one that does", resp.StatusCode, resp.Close, tt.want)
			}
		})
	}
	for name, p := range s.searchers {
		if n := len(p.Starts()); n > 0 {
			t.Errorf("searcher %s ran %d requests, want none", name, n)
		}
	}
}

// TestIncompleteBodyInStop sends the head of a request as a planned stop begins, and keeps its body back. The request must be refused
// as not run once requests are refused, not cut off at the end of the grace period.
func TestIncompleteBodyInStop(t *testing.T) {
	s := withEntry(t)
	answer := s.sendHead(t, "/p/1", "Content-Length: 1000\r\n", 0)
	s.daemon.signal(t, syscall.SIGTERM)
	resp := answer()
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, connection closes: %t, header %v; want status 503 with Retry-After on one that does", resp.StatusCode, resp.Close, resp.Header)
	}
}

// sendHead sends the head of a POST on a connection of its own. The returned function waits for the answer.
func (s *entrySite) sendHead(t *testing.T, path, framing string, timeout time.Duration) func() *http.Response {
	t.Helper()
	conn := s.dial(t)
	header := make(http.Header)
	if timeout > 0 {
		platform.WriteRequestHeaders(header, "head", timeout)
	}
	var fields strings.Builder
	if err := header.Write(&fields); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n", path, entryHost, framing, &fields); err != nil {
		t.Fatal(err)
	}
	return func() *http.Response {
		t.Helper()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		return resp
	}
}
