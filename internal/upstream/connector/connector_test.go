package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testCodec uses plain header names.
type testCodec struct{}

func (testCodec) Write(h http.Header, req *Request, left time.Duration) {
	h.Set("Left-Ms", fmt.Sprint(left.Milliseconds()))
	h.Set("Instance", req.Instance)
}

func (testCodec) Read(h http.Header) Meta {
	return Meta{RequestID: h.Get("Id"), Stamp: h.Get("Stamp"), NotRun: h.Get("Not-Run") != ""}
}

// script answers one request; n is the request's number on its connection, from 0.
type script func(w net.Conn, r *http.Request, n int)

// searcher is a server that answers by a script, and counts its connections.
type searcher struct {
	addr  netip.AddrPort
	conns atomic.Int32
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	lis, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return lis
}

func newSearcher(t *testing.T, sc script) *searcher {
	t.Helper()
	lis := listen(t)
	t.Cleanup(func() { lis.Close() })
	s := &searcher{addr: lis.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			t.Cleanup(func() { nc.Close() })
			go s.serve(nc, sc)
		}
	}()
	return s
}

func (s *searcher) serve(nc net.Conn, sc script) {
	br := bufio.NewReader(nc)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		sc(nc, r, n)
	}
}

func answer(id, body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n%sContent-Length: %d\r\n\r\n%s",
		id, strings.Join(headers, ""), len(body), body)
}

// reply returns a script that reads the body and writes the text.
func reply(text string) script {
	return func(w net.Conn, r *http.Request, _ int) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, text)
	}
}

func newConnector(t *testing.T, edit func(cfg *Config)) *Connector {
	t.Helper()
	cfg := Default()
	if edit != nil {
		edit(&cfg)
	}
	c, closer := New(cfg, testCodec{})
	t.Cleanup(closer)
	return c
}

func request(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/a?b=c", Host: "h", ID: id, Instance: "i", Deadline: time.Now().Add(time.Minute)}
}

func do(t *testing.T, c *Connector, s *searcher, id string) (*Reply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	return c.Do(ctx, s.addr, request(id), false)
}

func assertAnswered(t *testing.T, rep *Reply, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("x", string(rep.Body)); diff != "" {
		t.Errorf("body (-want +got):\n%s", diff)
	}
}

func assertConns(t *testing.T, s *searcher, want int32) {
	t.Helper()
	if got := s.conns.Load(); got != want {
		t.Errorf("%d connections, want %d", got, want)
	}
}

func TestRequestLine(t *testing.T) {
	seen := make(chan *http.Request, 1)
	s := newSearcher(t, func(w net.Conn, r *http.Request, _ int) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		seen <- r
		_, _ = io.WriteString(w, answer("1", ""))
	})
	c := newConnector(t, nil)
	req := request("1")
	req.Method, req.Body, req.HasBody = http.MethodPost, []byte("body"), true
	req.Header = http.Header{"X-Own": {"v"}, "Content-Length": {"99"}}
	if _, err := c.Do(t.Context(), s.addr, req, false); err != nil {
		t.Fatal(err)
	}
	r := <-seen
	body, _ := io.ReadAll(r.Body)
	got := []string{r.Method, r.RequestURI, r.Host, r.Header.Get("X-Own"), r.Header.Get("Instance"), string(body)}
	if diff := cmp.Diff([]string{"POST", "/a?b=c", "h", "v", "i", "body"}, got); diff != "" {
		t.Errorf("request (-want +got):\n%s", diff)
	}
	if r.Header.Get("User-Agent") != "" {
		t.Error("a header was added")
	}
}

func TestReuse(t *testing.T) {
	tests := []struct {
		name  string
		text  string
		conns int32
	}{
		{"kept", answer("1", "x"), 1},
		{"closing", answer("1", "x", "Connection: close\r\n"), 2},
		{"second answer after the first", answer("1", "x") + answer("1", "stray"), 2},
		{"Keep-Alive timeout passed", answer("1", "x", "Keep-Alive: timeout=1\r\n"), 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSearcher(t, reply(tt.text))
			c := newConnector(t, nil)
			for i := range 2 {
				rep, err := do(t, c, s, "1")
				assertAnswered(t, rep, err)
				if strings.Contains(tt.text, "timeout=1") && i == 0 {
					time.Sleep(800 * time.Millisecond)
				}
			}
			assertConns(t, s, tt.conns)
		})
	}
}

// TestStrayAnswers checks that late answers to earlier requests, which arrive where the next
// answer is expected, are not taken for it.
func TestStrayAnswers(t *testing.T) {
	t.Run("before the request", func(t *testing.T) {
		s := newSearcher(t, func(w net.Conn, r *http.Request, _ int) {
			_, _ = io.WriteString(w, answer(r.Header.Get("Instance"), "x"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, answer("old", "stray"))
		})
		c := newConnector(t, nil)
		for range 2 {
			rep, err := do(t, c, s, "i")
			assertAnswered(t, rep, err)
			time.Sleep(60 * time.Millisecond)
		}
		assertConns(t, s, 2)
	})
	t.Run("after the request", func(t *testing.T) {
		s := newSearcher(t, reply(answer("old", "stray")+answer("1", "x")))
		rep, err := do(t, newConnector(t, nil), s, "1")
		assertAnswered(t, rep, err)
	})
	t.Run("copy without an ID on a connection in use again", func(t *testing.T) {
		s := newSearcher(t, func(w net.Conn, _ *http.Request, n int) {
			_, _ = io.WriteString(w, answer([]string{"1", ""}[n], "x"))
		})
		c := newConnector(t, nil)
		rep, err := do(t, c, s, "1")
		assertAnswered(t, rep, err)
		if _, err := do(t, c, s, "2"); !errors.Is(err, errNoRequestID) {
			t.Errorf("error %v, want that the answer has no ID", err)
		}
	})
	t.Run("only stray answers", func(t *testing.T) {
		s := newSearcher(t, reply(strings.Repeat(answer("old", "stray"), 4)))
		if _, err := do(t, newConnector(t, nil), s, "1"); !errors.Is(err, errStrayAnswers) {
			t.Errorf("error %v", err)
		}
	})
}

// TestLateCopyOfRefusal covers a searcher that refuses a request and later sends a duplicate of the refusal on the same connection.
// The duplicate has the ID of the request and was accepted as the response to its next attempt, which the searcher ran (review/1).
func TestLateCopyOfRefusal(t *testing.T) {
	refusal := "HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, between := range []int{0, 1, 5} {
		t.Run(fmt.Sprintf("%d requests between", between), func(t *testing.T) {
			var refused atomic.Bool
			var copied sync.Map
			s := newSearcher(t, func(w net.Conn, r *http.Request, _ int) {
				id := strings.TrimPrefix(r.URL.Path, "/")
				switch {
				case refused.CompareAndSwap(false, true):
					copied.Store(w, true)
					_, _ = io.WriteString(w, refusal)
					return
				case id == "1":
					if _, late := copied.LoadAndDelete(w); late {
						_, _ = io.WriteString(w, refusal)
					}
				}
				_, _ = io.WriteString(w, answer(id, "x"))
			})
			c := newConnector(t, nil)
			send := func(id string) (*Reply, error) {
				req := request(id)
				req.Target = "/" + id
				return c.Do(t.Context(), s.addr, req, false)
			}
			rep, err := send("1")
			if err != nil || !rep.Meta.NotRun {
				t.Fatalf("first attempt: reply %+v, error %v; want a refusal", rep, err)
			}
			for i := range between {
				rep, err := send(fmt.Sprint("between", i))
				assertAnswered(t, rep, err)
			}
			rep, err = send("1")
			assertAnswered(t, rep, err)
			// The first connection stays in use for other requests.
			rep, err = send("2")
			assertAnswered(t, rep, err)
			assertConns(t, s, 2)
		})
	}
	t.Run("many refusals", func(t *testing.T) {
		s := newSearcher(t, func(w net.Conn, r *http.Request, _ int) {
			_, _ = io.WriteString(w, strings.Replace(refusal, "Id: 1", "Id: "+strings.TrimPrefix(r.URL.Path, "/"), 1))
		})
		c := newConnector(t, nil)
		for i := range 2*(maxRefusedIDs+1) + 1 {
			req := request(fmt.Sprint(i))
			req.Target = "/" + req.ID
			if _, err := c.Do(t.Context(), s.addr, req, false); err != nil {
				t.Fatal(err)
			}
		}
		assertConns(t, s, 3)
	})
	t.Run("past the deadline", func(t *testing.T) {
		cn := &conn{}
		now := time.Now()
		for i := range 2 * maxRefusedIDs {
			if !cn.remember(fmt.Sprint(i), now.Add(time.Duration(i+1)*time.Second), now.Add(time.Duration(i)*time.Second)) {
				t.Fatalf("the connection cannot be used again after %d refusals, all but one of them past their deadline", i+1)
			}
		}
	})
}

// TestAnswersCutAnywhere covers a searcher that closes in the middle of its answer, at each byte of it. No part may pass for a
// whole answer, but for the end of a body whose length only the end of the connection tells.
func TestAnswersCutAnywhere(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n"
	for _, tt := range []struct {
		name, text string
		// isOpen is true when the body ends with the connection, so that any part of it is complete.
		isOpen bool
	}{
		{"length", head + "Content-Length: 16\r\n\r\n0123456789abcdef", false},
		{"length, last header", strings.Replace(head, "\r\n", "\r\nContent-Length: 12\r\n", 1) + "\r\n0123456789ab", false},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false},
		{"no length", head + "\r\nabc", true},
		{"informational answer", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 3\r\n\r\nabc", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			whole := len(tt.text)
			if tt.isOpen {
				whole = strings.Index(tt.text, "\r\n\r\n") + len("\r\n\r\n")
			}
			for n := range len(tt.text) + 1 {
				s := newSearcher(t, func(w net.Conn, _ *http.Request, _ int) {
					_, _ = io.WriteString(w, tt.text[:n])
					w.Close()
				})
				rep, err := do(t, newConnector(t, nil), s, "1")
				if (err == nil) != (n >= whole) {
					t.Errorf("%d bytes of %d: reply %+v, error %v", n, len(tt.text), rep, err)
				}
			}
		})
	}
}

func TestIncompleteAnswers(t *testing.T) {
	writeAndClose := func(text string) script {
		return func(w net.Conn, _ *http.Request, _ int) {
			_, _ = io.WriteString(w, text)
			w.Close()
		}
	}
	writeAndReset := func(text string) script {
		return func(w net.Conn, _ *http.Request, _ int) {
			_, _ = io.WriteString(w, text)
			time.Sleep(20 * time.Millisecond)
			_ = w.(*net.TCPConn).SetLinger(0)
			w.Close()
		}
	}
	noLength := "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\nwhole"
	tests := []struct {
		name string
		sc   script
		ok   bool
	}{
		{"no answer", writeAndClose(""), false},
		{"cut body", writeAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"), false},
		{"no HTTP", writeAndClose("hello\r\n\r\n"), false},
		{"cut chunks", writeAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"), false},
		{"no length, ended", writeAndClose(noLength), true},
		{"no length, reset", writeAndReset(noLength), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSearcher(t, tt.sc)
			_, err := do(t, newConnector(t, nil), s, "1")
			if tt.ok {
				if err != nil {
					t.Error(err)
				}
				return
			}
			var ce *Error
			if !errors.As(err, &ce) || !ce.Sent || ce.Dial {
				t.Errorf("error %#v, want one with Sent and without Dial", err)
			}
		})
	}
}

// TestConnectionClosedWhileIdle checks that a request is sent once, on another connection,
// when the searcher closed the idle one.
func TestConnectionClosedWhileIdle(t *testing.T) {
	served := atomic.Int32{}
	s := newSearcher(t, func(w net.Conn, _ *http.Request, _ int) {
		served.Add(1)
		_, _ = io.WriteString(w, answer("1", "x"))
		w.Close()
	})
	c := newConnector(t, nil)
	for range 3 {
		rep, err := do(t, c, s, "1")
		assertAnswered(t, rep, err)
		time.Sleep(30 * time.Millisecond)
	}
	if served.Load() != 3 {
		t.Errorf("%d requests served, want 3", served.Load())
	}
}

func TestMaxFreshIdle(t *testing.T) {
	s := newSearcher(t, reply(answer("1", "x")))
	c := newConnector(t, func(cfg *Config) { cfg.MaxFreshIdle = 10 * time.Millisecond })
	for range 2 {
		if _, err := c.Do(t.Context(), s.addr, request("1"), true); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	assertConns(t, s, 2)
}

func TestUnreachable(t *testing.T) {
	lis := listen(t)
	addr := lis.Addr().(*net.TCPAddr).AddrPort()
	lis.Close()
	_, err := newConnector(t, nil).Do(t.Context(), addr, request("1"), false)
	var ce *Error
	if !errors.As(err, &ce) || !ce.Dial || ce.Sent {
		t.Errorf("error %#v, want one with Dial and without Sent", err)
	}
}

func TestCancelled(t *testing.T) {
	s := newSearcher(t, func(net.Conn, *http.Request, int) {})
	c := newConnector(t, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, s.addr, request("1"), false)
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want the context's", err)
	}
	if n := c.Open(s.addr); n != 0 {
		t.Errorf("%d connections open, want none", n)
	}
}

// TestEarlyAnswer checks that a connection is not reused when the searcher answered before
// it had read a long body.
func TestEarlyAnswer(t *testing.T) {
	s := newSearcher(t, func(w net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(w, answer("1", "x"))
		time.Sleep(time.Second)
	})
	c := newConnector(t, nil)
	req := request("1")
	req.Body = make([]byte, 16<<20)
	rep, err := c.Do(t.Context(), s.addr, req, false)
	assertAnswered(t, rep, err)
	if n := c.Open(s.addr); n != 0 {
		t.Errorf("%d connections open, want none", n)
	}
}

func TestSweep(t *testing.T) {
	s := newSearcher(t, reply(answer("1", "x")))
	c := newConnector(t, nil)
	rep, err := do(t, c, s, "1")
	assertAnswered(t, rep, err)
	c.Sweep(time.Now())
	if n := c.Open(s.addr); n != 1 {
		t.Errorf("%d connections after an early sweep, want 1", n)
	}
	c.Sweep(time.Now().Add(c.cfg.IdleTimeout + time.Second))
	if n := c.Open(s.addr); n != 0 {
		t.Errorf("%d connections after a late sweep, want none", n)
	}
}

// TestMaxIdle checks that a daemon closes idle connections above MaxIdle early, because other
// daemons need them, but can reuse them for SurplusTimeout.
func TestMaxIdle(t *testing.T) {
	const together = 4
	var gate sync.WaitGroup
	gate.Add(together)
	s := newSearcher(t, func(w net.Conn, _ *http.Request, _ int) {
		gate.Done()
		gate.Wait()
		_, _ = io.WriteString(w, answer("1", "x"))
	})
	c := newConnector(t, nil)
	done := make(chan error, together)
	for range together {
		go func() {
			req := request("1")
			req.MaxIdle = 2
			_, err := c.Do(t.Context(), s.addr, req, false)
			done <- err
		}()
	}
	for range together {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	assertOpen := func(after time.Duration, want int) {
		t.Helper()
		c.Sweep(time.Now().Add(after))
		if n := c.Open(s.addr); n != want {
			t.Errorf("%d connections %s later, want %d", n, after, want)
		}
	}
	assertOpen(0, together)
	assertOpen(c.cfg.SurplusTimeout, 2)
	assertOpen(c.cfg.IdleTimeout, 0)
}

// TestDialPause checks that after a searcher at its limit of connections has reset a new one,
// no other is opened for DialPause, and the existing ones are used.
func TestDialPause(t *testing.T) {
	const pause = 300 * time.Millisecond
	atLimit := atomic.Bool{}
	s := newSearcher(t, func(w net.Conn, _ *http.Request, n int) {
		if atLimit.Load() && n == 0 {
			_ = w.(*net.TCPConn).SetLinger(0)
			w.Close()
			return
		}
		_, _ = io.WriteString(w, answer("1", "x"))
	})
	c := newConnector(t, func(cfg *Config) { cfg.DialPause = pause })
	rep, err := do(t, c, s, "1")
	assertAnswered(t, rep, err)
	atLimit.Store(true)
	idle := c.popIdle(s.addr, "")
	if _, err := do(t, c, s, "1"); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("error %v, want a reset", err)
	}
	var ce *Error
	if _, err := do(t, c, s, "1"); !errors.As(err, &ce) || !errors.Is(err, ErrConnectionLimit) || ce.Sent {
		t.Errorf("error %v, want %v", err, ErrConnectionLimit)
	}
	assertConns(t, s, 2)
	c.putIdle(s.addr, idle, 0)
	rep, err = do(t, c, s, "1")
	assertAnswered(t, rep, err)
	atLimit.Store(false)
	time.Sleep(pause)
	c.discard(s.addr, c.popIdle(s.addr, ""))
	rep, err = do(t, c, s, "1")
	assertAnswered(t, rep, err)
}

// signedHead is the start of the head of a signed answer to request 1.
const signedHead = "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n"

// TestEndlessAnswers checks that bytes without end in place of an answer end the exchange soon, close the connection and
// take little memory.
func TestEndlessAnswers(t *testing.T) {
	chunk := strings.Repeat("x", 1<<12)
	for _, tt := range []struct {
		name, start, repeat string
		want                error
	}{
		{"no status line", "", chunk, errNoStatusLine},
		{"empty lines", "", "\r\n", errNoStatusLine},
		{"status line", "HTTP/1.1 200 ", chunk, errHeadTooLong},
		{"header value", "HTTP/1.1 200 OK\r\nA: ", chunk, errHeadTooLong},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n", errHeadTooLong},
		{"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\n", errInformational},
		{"answers to others", "", answer("old", "x"), errStrayAnswers},
		{"body without a length", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", chunk, &http.MaxBytesError{}},
		{"body in chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + chunk + "\r\n", &http.MaxBytesError{}},
		{"signed body", signedHead + "\r\n", chunk, &http.MaxBytesError{}},
		{"body that is too long", signedHead + "Content-Length: 9000000\r\n\r\n", chunk, &http.MaxBytesError{}},
		{"chunks of a byte", signedHead + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1000), errWireTooLong},
	} {
		t.Run(tt.name, func(t *testing.T) {
			closed := make(chan struct{})
			s := newSearcher(t, func(w net.Conn, _ *http.Request, _ int) {
				defer close(closed)
				_, err := io.WriteString(w, tt.start)
				for err == nil {
					_, err = io.WriteString(w, tt.repeat)
				}
			})
			c := newConnector(t, nil)
			_, err := do(t, c, s, "1")
			var tooLarge *http.MaxBytesError
			bothTooLarge := errors.As(tt.want, &tooLarge) && errors.As(err, &tooLarge)
			if !errors.Is(err, tt.want) && !bothTooLarge {
				t.Errorf("error %v, want %v", err, tt.want)
			}
			var malformed *MalformedError
			if !errors.As(err, &malformed) {
				t.Errorf("error %v, want a *MalformedError", err)
			}
			<-closed
			if n := c.memory.used.Load(); n != 0 {
				t.Errorf("%d bytes count as read after the exchange, want 0", n)
			}
		})
	}
}

// TestMaxBuffered checks that many endless bodies at once take no more memory than the bound, while small answers are
// still read.
func TestMaxBuffered(t *testing.T) {
	endless := newSearcher(t, func(w net.Conn, _ *http.Request, _ int) {
		_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(w, strings.Repeat("x", 1<<12))
		}
	})
	small := newSearcher(t, reply(answer("1", "x")))
	c := newConnector(t, func(cfg *Config) { cfg.MaxBuffered = 1 << 20 })
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			if _, err := do(t, c, endless, "1"); !errors.Is(err, errBuffered) {
				t.Errorf("error %v, want that too many bytes are read at once", err)
			}
		})
		rep, err := do(t, c, small, "1")
		assertAnswered(t, rep, err)
	}
	wg.Wait()
	// A searcher is not faulty because there is no more room, however often that happens.
	for range fullBoundInterval {
		if _, err := do(t, c, endless, "1"); !errors.Is(err, errBuffered) {
			t.Errorf("error %v of a body alone, want that too many bytes are read at once", err)
		}
	}
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// TestManyEndlessBodies guards against a daemon that reads megabytes of each of many bodies without end of one searcher: of all together
// it reads little more than the longest that an answer may have, and less of those that follow.
func TestManyEndlessBodies(t *testing.T) {
	s := newSearcher(t, func(w net.Conn, _ *http.Request, _ int) {
		_, err := io.WriteString(w, signedHead+"\r\n")
		for err == nil {
			_, err = io.WriteString(w, strings.Repeat("x", 1<<12))
		}
	})
	var read atomic.Int64
	c := newConnector(t, func(cfg *Config) {
		dial := newDialFunc(cfg.UserTimeout)
		cfg.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			nc, err := dial(ctx, addr)
			return &countingConn{nc, &read}, err
		}
	})
	const callers = 20
	for _, most := range []int64{maxReplyBytes, maxReplyBytes / 2, maxReplyBytes / 4} {
		before := read.Load()
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() { _, _ = do(t, c, s, "1") })
		}
		wg.Wait()
		// Each reads what needs no admission, and some begin after the first has failed.
		if n := read.Load() - before; n > 2*most+callers*2*freeReplyBytes {
			t.Errorf("%d bytes read of %d bodies, want %d at most of one", n, callers, most)
		}
	}
}

// TestLargeUnframedBodies checks that large bodies of unknown length are all read where they have an end.
func TestLargeUnframedBodies(t *testing.T) {
	const callers, size = 20, 1 << 20
	s := newSearcher(t, func(w net.Conn, _ *http.Request, _ int) {
		defer w.Close()
		_, _ = io.WriteString(w, signedHead+"\r\n"+strings.Repeat("x", size))
	})
	c := newConnector(t, nil)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			if rep, err := do(t, c, s, "1"); err != nil || len(rep.Body) != size {
				t.Errorf("error %v, want a body of %d bytes", err, size)
			}
		})
	}
	wg.Wait()
}

// TestBodyGivenUp guards against a searcher whose large bodies of unknown length are cut off because callers had given up earlier ones.
func TestBodyGivenUp(t *testing.T) {
	const size = 2 << 20
	var isSlow atomic.Bool
	s := newSearcher(t, func(w net.Conn, _ *http.Request, _ int) {
		defer w.Close()
		_, err := io.WriteString(w, signedHead+"\r\n"+strings.Repeat("x", size/2))
		if err == nil && isSlow.Load() {
			time.Sleep(100 * time.Millisecond)
		}
		_, _ = io.WriteString(w, strings.Repeat("x", size/2))
	})
	c := newConnector(t, nil)
	isSlow.Store(true)
	for range fullBoundInterval - 1 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		if _, err := c.Do(ctx, s.addr, request("1"), false); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v, want that the answer was given up", err)
		}
		cancel()
	}
	isSlow.Store(false)
	if rep, err := do(t, c, s, "1"); err != nil || len(rep.Body) != size {
		t.Errorf("error %v, want a body of %d bytes", err, size)
	}
}

// TestUnneededBody checks that the body of an answer that cannot be passed on is not read when it is large, and that bytes after an answer
// are told.
func TestUnneededBody(t *testing.T) {
	unsigned := newSearcher(t, reply("HTTP/1.1 500 Failed\r\nId: 1\r\nContent-Length: 8000000\r\n\r\n"))
	rep, err := do(t, newConnector(t, nil), unsigned, "1")
	if err != nil || rep.Status != http.StatusInternalServerError || rep.Body != nil {
		t.Errorf("reply %+v, error %v, want the status without a body", rep, err)
	}
	more := newSearcher(t, reply(answer("1", "x")+"more"))
	rep, err = do(t, newConnector(t, nil), more, "1")
	assertAnswered(t, rep, err)
	if !rep.Surplus {
		t.Error("bytes after the answer not told")
	}
}
