package main_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/upstream/connector"
	"cornelwood.example/platform"
)

// endlessMachine has little memory, and descriptors for all callers: where they are short, idle connections of clients give way.
var endlessMachine = machine{memoryMB: 96, descriptors: 2870}

// Sizes of the tests with servers that send bytes without end.
const (
	endlessCallers   = 100
	endlessSearchers = 8
	endlessFaulty    = 6
	// endlessTime is how long the callers send requests to the service, of which recognitionTime is not judged.
	endlessTime     = 3 * time.Second
	recognitionTime = time.Second
	// maxEndlessRate bounds what the faulty servers may send in a second, all together, once they are recognized.
	maxEndlessRate = 32 << 20
	// minServed is the least share of the callers' requests that must be answered, with a quarter of the searchers sound.
	minServed = 0.95
)

// behaviour is what a server of a name sends in answer to a request. It ends when a write fails.
type behaviour func(w io.Writer, r *http.Request, name string) error

// endlessServer is a server that answers each request by a behaviour which sends bytes until the connection is closed.
type endlessServer struct {
	addr string
	// sent counts the bytes that were written, including those that the other side has not read.
	sent   atomic.Int64
	name   string
	behave behaviour
}

// startEndless starts a server of a behaviour. It ends with the test.
func startEndless(t *testing.T, name string, behave behaviour) *endlessServer {
	t.Helper()
	s := &endlessServer{name: name, behave: behave}
	s.addr = listen(t, s.serve)
	return s
}

// listen serves connections until the test ends, and returns the address.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	lis, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			// What the process of the test holds unsent is nothing that the daemon has read.
			_ = c.(*net.TCPConn).SetWriteBuffer(clientReadBytes)
			t.Cleanup(func() { c.Close() })
			go serve(c)
		}
	}()
	return lis.Addr().String()
}

func (s *endlessServer) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	// The end of the behaviour is that of the connection.
	_ = s.behave(&countingWriter{c, &s.sent}, r, s.name)
}

// countingWriter counts what was written.
type countingWriter struct {
	io.Writer
	n *atomic.Int64
}

// Write passes b on.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	w.n.Add(int64(n))
	return n, err
}

// repeatForever writes text until that fails.
func repeatForever(w io.Writer, text string) error {
	text = strings.Repeat(text, max(1, len(filler)/len(text)))
	for {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
}

// endlessAfter returns a behaviour that sends the head of a sound answer to the request with further header lines, then start once and
// text without end.
func endlessAfter(headers, start, text string) behaviour {
	return func(w io.Writer, r *http.Request, name string) error {
		return endlessText(soundHead(r, name)+headers+start, text)(w, r, name)
	}
}

// soundHead returns the head of a sound answer to a request, to which header lines can be added.
func soundHead(r *http.Request, name string) string {
	h := make(http.Header)
	platform.WriteAnswerHeaders(h, connector.Meta{RequestID: platform.ReadRequestHeaders(r.Header).RequestID, Instance: name, Stamp: name})
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	// A write to a strings.Builder never fails.
	_ = h.Write(&head)
	return head.String()
}

// endlessText returns a behaviour that sends start once and text without end.
func endlessText(start, text string) behaviour {
	return func(w io.Writer, _ *http.Request, _ string) error {
		if _, err := io.WriteString(w, start); err != nil {
			return err
		}
		return repeatForever(w, text)
	}
}

// endlessWhileIdle sends a sound answer, and bytes without end once the connection is kept for another request.
func endlessWhileIdle(w io.Writer, r *http.Request, name string) error {
	if _, err := io.WriteString(w, soundHead(r, name)+"Content-Length: 1\r\n\r\nx"); err != nil {
		return err
	}
	time.Sleep(10 * time.Millisecond)
	return repeatForever(w, "x")
}

// largeAnswers is the case of complete answers that callers get, with more bytes after them.
const largeAnswers = "large answers"

// isAnswered holds the cases in which callers get sound answers, with more bytes after them.
var isAnswered = map[string]bool{"after answer": true, "while idle": true, largeAnswers: true}

// endlessBehaviours are the ways in which a server sends bytes without end in place of an answer, in one, or after one.
var endlessBehaviours = map[string]behaviour{
	"status line":   endlessText("", "x"),
	"empty lines":   endlessText("", "\r\n"),
	"status text":   endlessText("HTTP/1.1 200 ", "x"),
	"header":        endlessText("HTTP/1.1 200 OK\r\nX-Filler: ", "x"),
	"header lines":  endlessText("HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"),
	"informational": endlessText("", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"),
	"body":          endlessAfter("", "\r\n", "x"),
	"long body":     endlessAfter("Content-Length: 8000000000\r\n", "\r\n", "x"),
	"chunk":         endlessAfter("Transfer-Encoding: chunked\r\n", "\r\nfffffffff\r\n", "x"),
	"chunks":        endlessAfter("Transfer-Encoding: chunked\r\n", "\r\n", "1\r\nx\r\n"),
	"extension":     endlessAfter("Transfer-Encoding: chunked\r\n", "\r\n1;", "x"),
	"extensions":    endlessAfter("Transfer-Encoding: chunked\r\n", "\r\n", "1;"+strings.Repeat("x", 1000)+"\r\nx\r\n"),
	"trailer":       endlessAfter("Transfer-Encoding: chunked\r\n", "\r\n1\r\nx\r\n0\r\n", "X-Filler: x\r\n"),
	"after answer":  endlessAfter("Content-Length: 1\r\n", "\r\nx", "x"),
	"while idle":    endlessWhileIdle,
	"answers":       endlessText("", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
	"unsigned body": endlessText("HTTP/1.1 200 OK\r\n\r\n", "x"),
	largeAnswers:    endlessAfter("Content-Length: 8000000\r\n", "\r\n", "x"),
}

// endlessSite is an entry daemon with the limits of a small machine, a service of which most searchers are faulty, and another service.
type endlessSite struct {
	*entrySite
	faulty []*endlessServer
}

// newEndlessSite makes a site whose daemon has the limits of endlessMachine.
func newEndlessSite(t *testing.T) *endlessSite {
	t.Helper()
	s := &endlessSite{entrySite: newEntrySite(t)}
	s.machine = endlessMachine
	s.settingsText += s.machine.settings()
	return s
}

// start starts the daemon and waits until it is ready.
func (s *endlessSite) start() {
	s.t.Helper()
	if err := os.WriteFile(s.settings, []byte(s.settingsText), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.daemon = startProcess(s.t, "entry", buildProgram(s.t), "entry", "--settings", s.settings)
	s.eventually("ready", entryTimeout, func() bool { return s.readyStatus() == http.StatusOK })
}

// withEndless starts a site whose service "e" has searchers of which some behave as given. "a" is the service of other clients.
func withEndless(t *testing.T, behave behaviour) *endlessSite {
	t.Helper()
	s := newEndlessSite(t)
	for i := range endlessSearchers {
		name := fmt.Sprint("e", i)
		if i >= endlessFaulty {
			s.addSearcher(name)
			// It runs as many requests at once as there are callers.
			s.store.Set(platform.KindServers, name, platform.EncodeSearcher("e", strings.TrimPrefix(s.searcherURLs[name], "http://"), "z", endlessCallers, false))
			continue
		}
		f := startEndless(t, name, behave)
		s.faulty = append(s.faulty, f)
		s.searcherURLs[name] = "http://" + f.addr
		s.register(name, 0)
	}
	s.store.Set(platform.KindConfig, platform.ConfigName, fmt.Appendf(nil, `{"version":1,"routes":[
		{"name":"e","host":%q,"path_prefix":"/e/","kind":"idempotent","timeout_ms":2000,"goal_ms":200,"attempts":3,"service":"e"},
		{"name":"p","host":%q,"path_prefix":"/p/","kind":"non_idempotent","timeout_ms":2000,"goal_ms":200,"attempts":2,"service":"a"}]}`, entryHost, entryHost))
	s.start()
	return s
}

// faultyAddrs returns the addresses of the faulty searchers.
func (s *endlessSite) faultyAddrs() []string {
	var out []string
	for _, f := range s.faulty {
		out = append(out, f.addr)
	}
	return out
}

// sentBytes returns what the faulty servers have sent so far.
func (s *endlessSite) sentBytes() int64 {
	n := int64(0)
	for _, f := range s.faulty {
		n += f.sent.Load()
	}
	return n
}

// tally counts the answers to the requests of one path.
type tally struct {
	mu       sync.Mutex
	statuses map[int]int
	all      int
}

func (c *tally) add(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[status]++
	c.all++
}

// served returns the share of the requests that were answered with success.
func (c *tally) served() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.statuses[http.StatusOK]) / float64(max(1, c.all))
}

// callers runs n callers of a path until ctx ends, and counts the answers to the requests that were sent after recognitionTime.
func (s *endlessSite) callers(ctx context.Context, running *sync.WaitGroup, n int, method, path string) *tally {
	c := &tally{statuses: make(map[int]int)}
	judged := time.Now().Add(recognitionTime)
	for range n {
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: abuseRecovery}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				sentAt := time.Now()
				a := s.send(client, method, path)
				if sentAt.After(judged) {
					c.add(a.status)
				}
				if a.err != nil {
					s.t.Logf("request to %s: %v", path, a.err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return c
}

// unreadFrom returns the bytes that the kernel holds unread of what was sent from addresses.
func unreadFrom(t *testing.T, addrs []string) int {
	t.Helper()
	ports := make(map[uint16]bool)
	for _, addr := range addrs {
		ports[netip.MustParseAddrPort(addr).Port()] = true
	}
	return receiveQueues(t, func(_, remote uint16) bool { return ports[remote] })
}

// watch records the use of a process until ctx ends. addrs are those of faulty servers.
func watch(ctx context.Context, t *testing.T, p *process, addrs []string) usage {
	t.Helper()
	var u usage
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		rss, fds := p.resources()
		u.rss, u.fds, u.held = max(u.rss, rss), max(u.fds, fds), max(u.held, rss+unreadFrom(t, addrs))
	}
	return u
}

// TestEndlessSearchers runs callers of a service most of whose searchers send bytes without end. In a report a machine kept them all and
// ran out of memory, with the requests of other clients; in a trial a daemon read up to 1.4 GB of them a second, and callers of that
// service lost up to more than half of their requests.
func TestEndlessSearchers(t *testing.T) {
	for name, behave := range endlessBehaviours {
		t.Run(name, func(t *testing.T) {
			s := withEndless(t, behave)
			ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
			defer cancel()
			var running sync.WaitGroup
			own := s.callers(ctx, &running, endlessCallers, http.MethodGet, "/e/1")
			others := s.callers(ctx, &running, endlessCallers/10, http.MethodPost, "/p/1")
			var first atomic.Int64
			time.AfterFunc(recognitionTime, func() { first.Store(s.sentBytes()) })
			u := watch(ctx, t, s.daemon, s.faultyAddrs())
			rate := float64(s.sentBytes()-first.Load()) / (endlessTime - recognitionTime).Seconds()
			running.Wait()
			u.isServing = others.served() == 1
			s.daemon.assertBounded(t, s.machine, u)
			t.Logf("%.1f MB in the first second, then %.1f MB a second; served %.4f of %d, others %.4f of %d; statuses %v, %v", float64(first.Load())/(1<<20),
				rate/(1<<20), own.served(), own.all, others.served(), others.all, own.statuses, others.statuses)
			if rate > maxEndlessRate && name != largeAnswers {
				t.Errorf("%.1f MB read a second of faulty searchers, want %d at most", rate/(1<<20), maxEndlessRate>>20)
			}
			if !isAnswered[name] && !s.hasLogged("searcher gets no requests for a time: its answers are malformed") {
				t.Error("not logged that a searcher is left out")
			}
			if served := own.served(); served < minServed {
				t.Errorf("%.3f of the requests to the service served, want %.2f at least", served, minServed)
			}
		})
	}
}

// assertServesBeside runs callers of sound searchers while servers at addrs send bytes without end.
func (s *endlessSite) assertServesBeside(addrs []string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), endlessTime)
	defer cancel()
	var running sync.WaitGroup
	others := s.callers(ctx, &running, endlessCallers/2, http.MethodPost, "/p/1")
	u := watch(ctx, s.t, s.daemon, addrs)
	running.Wait()
	s.t.Logf("statuses %v", others.statuses)
	u.isServing = others.served() == 1
	s.daemon.assertBounded(s.t, s.machine, u)
}

// TestEndlessStore makes the store send bytes without end in place of its answers. The daemon must go on serving by its cached state, within
// its memory, and apply changes once the store answers again.
func TestEndlessStore(t *testing.T) {
	for name, behave := range endlessBehaviours {
		t.Run(name, func(t *testing.T) {
			s := newEndlessSite(t)
			var isFaulty atomic.Bool
			front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !isFaulty.Load() {
					s.store.ServeHTTP(w, r)
					return
				}
				if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
					defer c.Close()
					_ = behave(c, r, "store")
				}
			}))
			t.Cleanup(front.CloseClientConnections)
			addr := front.Listener.Addr().String()
			s.settingsText = regexp.MustCompile(`address = \S+`).ReplaceAllString(s.settingsText, "address = "+addr)
			s.start()
			isFaulty.Store(true)
			s.assertServesBeside([]string{addr})
			isFaulty.Store(false)
			s.declarePrefix(2, "/new/", "{}")
			s.eventually("applying a change", entryTimeout+entryApplyLimit, func() bool {
				return s.send(http.DefaultClient, http.MethodPost, "/new/1").status == http.StatusOK
			})
		})
	}
}

// TestEndlessPeers registers daemons of the own zone that send bytes without end to the daemon that polls them.
func TestEndlessPeers(t *testing.T) {
	const peers = 20
	for name, text := range map[string][2]string{
		"no messages":           {"", "x"},
		"message without end":   {"\x04\x01\x01\x80\x80\x80\x08", "x"},
		"messages without end":  {"", "\x04\x01\x01\x01x"},
		"bytes of the own kind": {"", "\x05\x01\x01\x01x"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEndlessSite(t)
			var addrs []string
			for i := range peers {
				addr := listen(t, func(c net.Conn) {
					defer c.Close()
					_, _ = c.Read(make([]byte, 1))
					_ = endlessText(text[0], text[1])(c, nil, "")
				})
				s.store.Set(platform.KindDaemons, fmt.Sprint("peer", i), platform.EncodeMember("z", netip.MustParseAddrPort(addr), false))
				addrs = append(addrs, addr)
			}
			s.start()
			s.assertServesBeside(addrs)
		})
	}
}

// TestEndlessUpstreams runs callers of a daemon of the product whose upstreams all send bytes without end, to queries and to checks.
func TestEndlessUpstreams(t *testing.T) {
	serveHTTP2 := func(t *testing.T, answer func(w http.ResponseWriter)) string {
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
		srv.Config.Protocols = &http.Protocols{}
		srv.Config.Protocols.SetUnencryptedHTTP2(true)
		srv.Start()
		t.Cleanup(srv.CloseClientConnections)
		return srv.Listener.Addr().String()
	}
	for name, serve := range map[string]func(t *testing.T) string{
		"no HTTP": func(t *testing.T) string {
			return listen(t, func(c net.Conn) {
				defer c.Close()
				_ = repeatForever(c, "x")
			})
		},
		"body": func(t *testing.T) string {
			return serveHTTP2(t, func(w http.ResponseWriter) { _ = repeatForever(w, "x") })
		},
		"header": func(t *testing.T) string {
			return serveHTTP2(t, func(w http.ResponseWriter) { w.Header().Set("X-Filler", strings.Repeat("x", maxAnswerBytes)) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := startBoundedDaemon(t)
			sv := newService("finder", declarer.Search, 4)
			var addrs []string
			for _, sh := range sv.Maps[0].Shards {
				for i := range sh.Replicas {
					addrs = append(addrs, serve(t))
					sh.Replicas[i].Addr = netip.MustParseAddrPort(addrs[len(addrs)-1])
				}
			}
			s := &site{dir: t.TempDir(), daemons: []*daemon{d}, services: []declarer.Service{sv}}
			s.createServices(t)
			ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
			defer cancel()
			var running sync.WaitGroup
			for range endlessCallers {
				running.Go(func() {
					for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
						// Without a sound upstream no query can succeed.
						_, _ = d.query(t, answerer.Query{Service: sv.Name, Limit: 5})
					}
				})
			}
			u := watch(ctx, t, d.process, addrs)
			running.Wait()
			u.isServing = d.isLive(t.Context())
			d.assertBounded(t, lowMachine, u)
		})
	}
}
