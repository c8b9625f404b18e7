package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cornelwood.example/platform"
)

// The crowd of abusive clients of each test, and the limits of the process that it meets. The bounds are those that a
// machine would enforce: [process] memory and descriptors.
const (
	abuseMemoryMB    = 96
	abuseDescriptors = 400
	// crowdSize exceeds the descriptors, and crowdSize bodies of crowdBodyBytes exceed the memory.
	crowdSize      = 480
	crowdBodyBytes = 262_144
	// crowdTime is the time after which every client of the crowd closes its connection.
	crowdTime = 4 * time.Second
	// crowdDials bounds the connections that one client opens in a row.
	crowdDials = 3
	// bodyRest is the part of a body that a client keeps back. One client in crowdWhole sends its whole body.
	bodyRest   = 7
	crowdWhole = 16
	// peerCrowdSize is the number of clients that send an endless message to the address for other daemons: each may make
	// the daemon hold some MB.
	peerCrowdSize = 60
	endlessBytes  = 16 << 20
	// abuseRecovery is the time within which an ordinary request must be answered after the crowd has ended.
	abuseRecovery = 10 * time.Second
)

// abuseLimits are the limits of requests in the desired state.
const abuseLimits = `{"header_bytes":16384,"body_bytes":262144,"header_ms":3000,"idle_ms":15000}`

// client is the behaviour of one abusive client on a connection. It ends when a write fails or it has sent what it sends.
type client func(i int, w io.Writer) error

var filler = bytes.Repeat([]byte("x"), 64<<10)

// writeMuch writes n bytes in pieces of the given size.
func writeMuch(w io.Writer, n, piece int) error {
	for n > 0 {
		k := min(n, piece, len(filler))
		if _, err := w.Write(filler[:k]); err != nil {
			return err
		}
		n -= k
	}
	return nil
}

// repeatText writes text again and again, n times.
func repeatText(w io.Writer, text string, n int) error {
	for range n {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// headStart returns the start of a head to which headers can be added.
func headStart(method string) string {
	return method + " /p/1 HTTP/1.1\r\nHost: " + entryHost + "\r\n"
}

// largeHead sends a head of many headers that is longer than each limit.
func largeHead(_ int, w io.Writer) error {
	if _, err := io.WriteString(w, headStart("GET")); err != nil {
		return err
	}
	line := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
	if err := repeatText(w, line, 200); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

// endlessHead sends a head that never ends: half of the clients send one header without end, the others stop just short
// of the limits that the code had before, and stay open.
func endlessHead(i int, w io.Writer) error {
	if _, err := io.WriteString(w, headStart("GET")+"X-Filler: "); err != nil {
		return err
	}
	if i%2 == 0 {
		return writeMuch(w, endlessBytes, 8<<10)
	}
	return writeMuch(w, 60<<10, 8<<10)
}

// emptyLines sends empty lines without end before a request. Most clients leave out the line feeds, so that the first line does
// not end, stop just short of the limit that the code had before, and stay open.
func emptyLines(i int, w io.Writer) error {
	if i%8 == 0 {
		return repeatText(w, strings.Repeat("\r\n", 512), endlessBytes/1024)
	}
	return repeatText(w, strings.Repeat("\r", 1024), 60)
}

// wholeBody sends a body of the largest legal size at once. Most stop just short of its end.
func wholeBody(i int, w io.Writer) error {
	return plainBody(i, w, crowdBodyBytes)
}

// pieceBody is wholeBody in pieces.
func pieceBody(i int, w io.Writer) error {
	return plainBody(i, w, 4<<10)
}

func plainBody(i int, w io.Writer, piece int) error {
	if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", headStart("POST"), crowdBodyBytes); err != nil {
		return err
	}
	n := crowdBodyBytes
	if i%crowdWhole != 0 {
		n -= bodyRest
	}
	return writeMuch(w, n, piece)
}

// largeChunks sends a chunked body in few chunks.
func largeChunks(i int, w io.Writer) error {
	return chunkedBody(i, w, 32<<10, crowdBodyBytes)
}

// smallChunks sends a chunked body in chunks of one byte.
func smallChunks(i int, w io.Writer) error {
	return chunkedBody(i, w, 1, crowdBodyBytes)
}

func chunkedBody(i int, w io.Writer, chunk, size int) error {
	if _, err := io.WriteString(w, headStart("POST")+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	// Small chunks are sent many at once: a write for each would take the time of the test.
	each := max(1, 4096/chunk)
	text = strings.Repeat(text, each)
	if err := repeatText(w, text, (size-bodyRest)/chunk/each); err != nil {
		return err
	}
	if i%crowdWhole != 0 {
		return nil
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// silent opens a connection and sends nothing.
func silent(int, io.Writer) error { return nil }

// endlessMessage sends a message of the protocol between daemons that never ends: a frame (kind message, stream 1, message
// 1) that is longer than the daemon accepts.
func endlessMessage(_ int, w io.Writer) error {
	if _, err := w.Write([]byte{2 << 1, 1, 1, 0x80, 0x80, 0x80, 0x08}); err != nil {
		return err
	}
	// It stops just short of the longest message that the daemon accepts.
	return writeMuch(w, 2_500_000, 16<<10)
}

// runCrowd runs n clients against an address of the process and returns its largest resident set, in bytes, and its largest
// number of descriptors. It lasts crowdTime.
func runCrowd(t *testing.T, p *process, addr string, n int, do client) (rss, fds int) {
	t.Helper()
	end := time.Now().Add(crowdTime)
	ctx, cancel := context.WithDeadline(t.Context(), end)
	defer cancel()
	var crowd sync.WaitGroup
	for i := range n {
		crowd.Go(func() {
			for range crowdDials {
				runClient(ctx, addr, end, i, do)
				if ctx.Err() != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end) {
		r, f := p.resources()
		rss, fds = max(rss, r), max(fds, f)
		time.Sleep(10 * time.Millisecond)
	}
	crowd.Wait()
	return rss, fds
}

// runClient runs one client of a crowd on one connection, which stays open until the end unless the daemon closes it.
func runClient(ctx context.Context, addr string, end time.Time, i int, do client) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	// An error shows with the first read.
	_ = conn.SetDeadline(end)
	if do(i, conn) == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// resources returns the resident set of the process, in bytes, and its number of descriptors; 0 if it has ended.
func (p *process) resources() (rss, fds int) {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	if text, err := os.ReadFile(filepath.Join(dir, "statm")); err == nil {
		if f := strings.Fields(string(text)); len(f) > 1 {
			pages, _ := strconv.Atoi(f[1])
			rss = pages * os.Getpagesize()
		}
	}
	if entries, err := os.ReadDir(filepath.Join(dir, "fd")); err == nil {
		fds = len(entries)
	}
	return rss, fds
}

// assertBounded checks that the process lives and that it stayed within the limits.
func (p *process) assertBounded(t *testing.T, rss, fds int) {
	t.Helper()
	t.Logf("%s: resident set %.1f MB at most, %d descriptors at most", p.name, float64(rss)/(1<<20), fds)
	if p.cmd.Process.Signal(syscall.Signal(0)) != nil {
		t.Fatalf("%s has ended", p.name)
	}
	if rss > abuseMemoryMB<<20 {
		t.Errorf("%s: resident set of %.1f MB, want at most %d", p.name, float64(rss)/(1<<20), abuseMemoryMB)
	}
	if fds > abuseDescriptors {
		t.Errorf("%s: %d descriptors, want at most %d", p.name, fds, abuseDescriptors)
	}
}

// buildProgram builds the program without the race detector, which multiplies the memory that a process uses.
func buildProgram(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "cornelwood")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", file, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return file
}

// withBoundedEntry starts an entry daemon with low limits of memory and descriptors.
func withBoundedEntry(t *testing.T) *entrySite {
	t.Helper()
	s := newEntrySite(t)
	s.declareLimits(1, abuseLimits)
	s.settingsText += fmt.Sprintf("[process]\nmemory = %d\ndescriptors = %d\n", abuseMemoryMB, abuseDescriptors)
	if err := os.WriteFile(s.settings, []byte(s.settingsText), 0o600); err != nil {
		t.Fatal(err)
	}
	s.daemon = startProcess(t, "entry", buildProgram(t), "entry", "--settings", s.settings)
	s.eventually("ready", entryTimeout, func() bool { return s.readyStatus() == http.StatusOK })
	return s
}

// declareLimits writes a version of the desired state with the limits of requests.
func (s *entrySite) declareLimits(version int, limits string) {
	s.store.Set(platform.KindConfig, platform.ConfigName, json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"p","host":%q,"path_prefix":"/p/","kind":"non_idempotent","timeout_ms":2000,"goal_ms":200,"attempts":2,"service":"a"}],"limits":%s}`,
		version, entryHost, limits)))
}

// assertServes checks that one ordinary request is answered.
func (s *entrySite) assertServes() {
	s.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: abuseRecovery / 4}
	s.eventually("serving an ordinary request", abuseRecovery, func() bool {
		return s.send(client, http.MethodPost, "/p/1").status == http.StatusOK
	})
	s.eventually("answering the readiness check", abuseRecovery, func() bool { return s.readyStatus() == http.StatusOK })
}

// peerAddr returns the address for other daemons.
func (s *entrySite) peerAddr() string {
	for line := range strings.Lines(s.settingsText) {
		if addr, ok := strings.CutPrefix(strings.TrimSpace(line), "peers = "); ok {
			return addr
		}
	}
	s.t.Fatal("no address for other daemons in the settings")
	return ""
}

// TestAbusiveClients runs a crowd of each kind of abusive client against an entry daemon's address for clients. In a trial such
// crowds ended a process: out of memory.
func TestAbusiveClients(t *testing.T) {
	for name, do := range map[string]client{
		"large heads": largeHead, "endless heads": endlessHead, "empty lines": emptyLines, "whole bodies": wholeBody,
		"bodies in pieces": pieceBody, "large chunks": largeChunks, "small chunks": smallChunks, "silent": silent,
	} {
		t.Run(name, func(t *testing.T) {
			s := withBoundedEntry(t)
			rss, fds := runCrowd(t, s.daemon, s.callerAddr, crowdSize, do)
			s.daemon.assertBounded(t, rss, fds)
			s.assertServes()
		})
	}
}

// TestAbusiveClientsOfOtherListeners runs crowds against an entry daemon's addresses for checks and for other daemons.
func TestAbusiveClientsOfOtherListeners(t *testing.T) {
	for _, tt := range []struct {
		name string
		peer bool
		n    int
		do   client
	}{
		{"checks: endless heads", false, crowdSize, endlessHead},
		{"checks: bodies", false, crowdSize, wholeBody},
		{"checks: silent", false, crowdSize, silent},
		{"peers: endless messages", true, peerCrowdSize, endlessMessage},
		{"peers: silent", true, crowdSize, silent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := withBoundedEntry(t)
			addr := s.checkAddr
			if tt.peer {
				addr = s.peerAddr()
			}
			rss, fds := runCrowd(t, s.daemon, addr, tt.n, tt.do)
			s.daemon.assertBounded(t, rss, fds)
			s.assertServes()
		})
	}
}

// TestAbusiveClientsOfDaemon runs crowds against the addresses of the product's own daemon.
func TestAbusiveClientsOfDaemon(t *testing.T) {
	for _, tt := range []struct {
		name, listener string
		n              int
		do             client
	}{
		{"callers: endless heads", "caller", crowdSize, endlessHead},
		{"callers: silent", "caller", crowdSize, silent},
		{"callers: bodies", "caller", crowdSize, wholeBody},
		{"operators: endless heads", "operator", crowdSize, endlessHead},
		{"operators: silent", "operator", crowdSize, silent},
		{"peers: endless messages", "peer", peerCrowdSize, endlessMessage},
		{"peers: silent", "peer", crowdSize, silent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := startBoundedDaemon(t)
			addr := map[string]string{"caller": d.caller, "operator": d.operator, "peer": d.peer}[tt.listener]
			rss, fds := runCrowd(t, d.process, addr, tt.n, tt.do)
			d.assertBounded(t, rss, fds)
			eventually(t, abuseRecovery, func() error {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.caller+"/live", nil)
				if err != nil {
					return err
				}
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					return err
				}
				defer resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					return fmt.Errorf("status %d", resp.StatusCode)
				}
				return nil
			})
		})
	}
}

// daemonLimits is the part of the settings that bounds a daemon's process.
var daemonLimits = fmt.Sprintf("[process]\nmemory = %d\ndescriptors = %d\n", abuseMemoryMB, abuseDescriptors)

// startBoundedDaemon starts a daemon of the product alone, with low limits of memory and descriptors.
func startBoundedDaemon(t *testing.T) *daemon {
	t.Helper()
	s := &site{dir: t.TempDir(), options: siteOptions{balancerLag: "50ms", drainLimit: "1s"}}
	s.platformProcess = startProcess(t, "platform", "standin", "platform")
	s.platformURL = "http://" + strings.TrimPrefix(s.platformProcess.nextLine(t), "listening ")
	d := &daemon{id: "a-1", zone: "a", settings: filepath.Join(s.dir, "a-1.ini")}
	s.writeSettings(t, d, "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", nil)
	file, err := os.OpenFile(d.settings, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if _, err := file.WriteString(daemonLimits); err != nil {
		t.Fatal(err)
	}
	d.process = startProcess(t, d.id, buildProgram(t), "daemon", "--settings", d.settings)
	line := d.nextLine(t)
	if _, err := fmt.Sscanf(line, "listening caller=%s operator=%s peer=%s", &d.caller, &d.operator, &d.peer); err != nil {
		t.Fatalf("unexpected output of %s: %q", d.id, line)
	}
	return d
}

// TestLargestLegalRequest sends single requests at the limits of the desired state to an entry daemon that has little memory:
// each must be served, and what exceeds the limits must be refused with the status that says so.
func TestLargestLegalRequest(t *testing.T) {
	s := withBoundedEntry(t)
	c := &http.Client{}
	body := func(n int) io.Reader { return bytes.NewReader(bytes.Repeat([]byte("x"), n)) }
	t.Run("largest body", func(t *testing.T) {
		s.assertStatus(s.sendBody(c, http.MethodPost, "/p/1", body(crowdBodyBytes)), http.StatusOK)
	})
	t.Run("largest chunked body", func(t *testing.T) {
		s.assertStatus(s.sendBody(c, http.MethodPost, "/p/1", io.MultiReader(body(crowdBodyBytes))), http.StatusOK)
	})
	t.Run("body beyond the limit", func(t *testing.T) {
		s.assertStatus(s.sendBody(c, http.MethodPost, "/p/1", body(crowdBodyBytes+1)), http.StatusRequestEntityTooLarge)
	})
	t.Run("large head", func(t *testing.T) {
		s.assertStatus(s.send(c, http.MethodGet, "/p/"+strings.Repeat("x", 15_900)), http.StatusOK)
	})
	t.Run("head beyond the limit", func(t *testing.T) {
		s.assertStatus(s.send(c, http.MethodGet, "/p/"+strings.Repeat("x", 16_400)), http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("head beyond a new limit", func(t *testing.T) {
		s.declareLimits(2, `{"header_bytes":4096,"body_bytes":262144,"header_ms":3000,"idle_ms":15000}`)
		s.eventually("refusing by the new limit", entryApplyLimit, func() bool {
			return s.send(c, http.MethodGet, "/p/"+strings.Repeat("x", 5000)).status == http.StatusRequestHeaderFieldsTooLarge
		})
		s.assertStatus(s.send(c, http.MethodGet, "/p/"+strings.Repeat("x", 3000)), http.StatusOK)
	})
}

// TestConnectionTimeLimits checks the desired state's limits of time: a head that does not end and a connection that is not used
// are closed after them, and a connection that has been idle for four fifths of the limit is used again.
func TestConnectionTimeLimits(t *testing.T) {
	s := withBoundedEntry(t)
	s.declareLimits(2, `{"header_bytes":16384,"body_bytes":262144,"header_ms":500,"idle_ms":2000}`)
	request := headStart("GET") + "\r\n"
	// dial opens a connection whose first request is answered.
	dial := func(t *testing.T) (net.Conn, func() error) {
		t.Helper()
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.callerAddr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if err := conn.SetDeadline(time.Now().Add(abuseRecovery)); err != nil {
			t.Fatal(err)
		}
		return conn, func() error {
			if _, err := io.WriteString(conn, request); err != nil {
				return err
			}
			buf := make([]byte, 4096)
			_, err := conn.Read(buf)
			return err
		}
	}
	isClosed := func(conn net.Conn) bool {
		_, err := io.Copy(io.Discard, conn)
		return err == nil || strings.Contains(err.Error(), "reset")
	}
	time.Sleep(entryApplyLimit)
	t.Run("head", func(t *testing.T) {
		conn, _ := dial(t)
		if _, err := io.WriteString(conn, headStart("GET")); err != nil {
			t.Fatal(err)
		}
		if !isClosed(conn) {
			t.Error("connection with an incomplete head still open")
		}
	})
	t.Run("idle", func(t *testing.T) {
		conn, send := dial(t)
		if err := send(); err != nil {
			t.Fatal(err)
		}
		if !isClosed(conn) {
			t.Error("idle connection still open")
		}
	})
	t.Run("reused", func(t *testing.T) {
		_, send := dial(t)
		for range 3 {
			if err := send(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1600 * time.Millisecond)
		}
	})
}

// TestRefusedBodyHasNotRun uses up the memory for bodies with some that stop just short of their end. A body that arrives then must
// be served, and each of the others that gives way must be refused with 503 on a connection that closes, must not have run, and
// must be named in the log.
func TestRefusedBodyHasNotRun(t *testing.T) {
	const stalled = 6
	s := newEntrySite(t)
	s.declareLimits(1, abuseLimits)
	// The memory holds three of the bodies.
	s.settingsText += "[process]\nbuffer = 1\n"
	if err := os.WriteFile(s.settings, []byte(s.settingsText), 0o600); err != nil {
		t.Fatal(err)
	}
	s.daemon = startProcess(t, "entry", "cornelwood", "entry", "--settings", s.settings)
	s.eventually("ready", entryTimeout, func() bool { return s.readyStatus() == http.StatusOK })
	answers := make(chan response, stalled)
	var ends []*io.PipeWriter
	for range stalled {
		r, w := io.Pipe()
		ends = append(ends, w)
		go func() { answers <- s.sendBody(&http.Client{Transport: &http.Transport{}}, http.MethodPost, "/p/1", r) }()
		if err := writeMuch(w, crowdBodyBytes-bodyRest, 16<<10); err != nil {
			t.Fatal(err)
		}
	}
	closeAll := func() {
		for _, w := range ends {
			w.Close()
		}
	}
	// A client whose connection was closed waits for its own body.
	defer time.AfterFunc(abuseRecovery, closeAll).Stop()
	s.assertStatus(s.sendBody(&http.Client{}, http.MethodPost, "/p/1", bytes.NewReader(filler)), http.StatusOK)
	s.eventually("refusing bodies", abuseRecovery, func() bool { return len(answers) >= stalled-4 })
	s.eventually("logged", entryTimeout, func() bool { return s.hasLogged("connection gave way") })
	closeAll()
	refused := 0
	for range stalled {
		a := <-answers
		if a.status == http.StatusOK {
			continue
		}
		refused++
		s.assertStatus(a, http.StatusServiceUnavailable)
		if !a.closing {
			t.Error("the refusal does not close the connection")
		}
		for name, p := range s.searchers {
			if p.Runs()[a.id] > 0 {
				t.Errorf("request %s was refused and ran at searcher %s", a.id, name)
			}
		}
	}
	if refused < stalled-4 || refused == stalled {
		t.Errorf("%d of %d bodies refused, want those beyond the memory", refused, stalled)
	}
}
