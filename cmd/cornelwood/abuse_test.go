package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cornelwood.example/platform"
)

// machine is what a machine would enforce of the process that runs on it: [process] memory and descriptors.
type machine struct {
	memoryMB, descriptors int
}

// lowMachine makes most faults show with a small crowd. smallestMachine is the smallest one of the deployments' sheets.
var (
	lowMachine      = machine{memoryMB: 96, descriptors: 400}
	smallestMachine = machine{memoryMB: 136, descriptors: 2870}
)

// settings returns the section of a daemon's settings.
func (m machine) settings() string {
	return fmt.Sprintf("[process]\nmemory = %d\ndescriptors = %d\n", m.memoryMB, m.descriptors)
}

// The crowd of abusive clients of each test.
const (
	// crowdSize exceeds the descriptors of lowMachine, and crowdSize bodies of crowdBodyBytes exceed its memory. manySize exceeds
	// the connections that smallestMachine accepts of clients.
	crowdSize      = 480
	manySize       = 700
	crowdBodyBytes = 262_144
	// crowdTime is the time for which a crowd is there before an ordinary caller begins. A client whose connection is closed
	// comes back after crowdPause.
	crowdTime  = 4 * time.Second
	crowdPause = 50 * time.Millisecond
	// abuseHeadBytes is header_bytes of abuseLimits, unreadRequests the number of requests on a connection that is not read.
	abuseHeadBytes = 16_384
	unreadRequests = 60
	// clientReadBytes is the receive buffer of a client.
	clientReadBytes = 4 << 10
	// answerBytes is the size of a searcher's answer, the largest of the deployments' sheets. maxAnswerBytes is one that a few
	// clients suffice for to exceed the memory, while they do not read.
	answerBytes    = 36_000
	largePath      = "/p/large"
	maxAnswerBytes = 2 << 20
	// bodyRest is the part of a body that a client keeps back. One client in crowdWhole sends its whole body.
	bodyRest   = 7
	crowdWhole = 16
	// peerCrowdSize is the number of clients that send an endless message to the address for other daemons: each may make
	// the daemon hold some MB.
	peerCrowdSize = 60
	endlessBytes  = 16 << 20
	// abuseRecovery is the time within which an ordinary request must be answered, beside a crowd that has been there for
	// crowdTime and after it has ended.
	abuseRecovery = 10 * time.Second
)

// abuseLimits are the limits of requests in the desired state.
const abuseLimits = `{"header_bytes":16384,"body_bytes":262144,"header_ms":3000,"idle_ms":15000}`

// crowd is n clients of one kind at one address.
type crowd struct {
	addr string
	n    int
	do   client
}

// usage is the largest use of a process while crowds were there.
type usage struct {
	// rss is the resident set, and held that and the bytes received and not yet read, which count as memory of the process.
	rss, held int
	fds       int
	// isServing is true when an ordinary caller was served beside the crowds.
	isServing bool
}

// runCrowds runs crowds against a process, and after crowdTime an ordinary caller beside them: serve reports whether it was answered.
// The crowds stay until then, abuseRecovery longer at most.
func runCrowds(t *testing.T, p *process, serve func(context.Context) bool, crowds ...crowd) usage {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime+abuseRecovery)
	defer cancel()
	var all sync.WaitGroup
	for _, c := range crowds {
		for i := range c.n {
			all.Go(func() {
				for ctx.Err() == nil {
					runClient(ctx, c.addr, i, c.do)
					time.Sleep(crowdPause)
				}
			})
		}
	}
	var isServing atomic.Bool
	all.Go(func() {
		for time.Sleep(crowdTime); ctx.Err() == nil && !isServing.Load(); time.Sleep(crowdPause) {
			if serve(ctx) {
				isServing.Store(true)
			}
		}
	})
	var u usage
	for ctx.Err() == nil && !isServing.Load() {
		rss, fds := p.resources()
		u.rss, u.fds = max(u.rss, rss), max(u.fds, fds)
		u.held = max(u.held, rss+unread(t, crowds))
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	all.Wait()
	u.isServing = isServing.Load()
	return u
}

// runClient runs one client of a crowd on one connection, which stays open until ctx ends unless the daemon closes it.
func runClient(ctx context.Context, addr string, i int, do client) {
	// The size counts when it is set before the connection is made. Otherwise the kernel takes some MB of answers.
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, clientReadBytes) })
	}}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if do(i, conn) == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// unread returns the bytes that the kernel holds for the addresses of crowds, of connections that were accepted and of those that
// wait for it.
func unread(t *testing.T, crowds []crowd) int {
	t.Helper()
	ports := make(map[uint16]bool)
	for _, c := range crowds {
		ports[netip.MustParseAddrPort(c.addr).Port()] = true
	}
	return receiveQueues(t, func(local, _ uint16) bool { return ports[local] })
}

// receiveQueues returns the bytes that the kernel holds unread of the connections whose ports isWanted.
func receiveQueues(t *testing.T, isWanted func(local, remote uint16) bool) int {
	t.Helper()
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	port := func(addr string) uint16 {
		_, hex, _ := strings.Cut(addr, ":")
		n, _ := strconv.ParseUint(hex, 16, 16)
		return uint16(n)
	}
	total := 0
	for line := range strings.Lines(string(text)) {
		// The fields are: number, local address, remote address, state, sizes of the queues as sent:received.
		f := strings.Fields(line)
		const listening = "0A"
		if len(f) < 5 || f[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(f[4], ":")
		if n, err := strconv.ParseInt(received, 16, 64); err == nil && isWanted(port(f[1]), port(f[2])) {
			total += int(n)
		}
	}
	return total
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

// assertBounded checks that the process lives, that it stayed within the limits, and that an ordinary caller was served.
func (p *process) assertBounded(t *testing.T, m machine, u usage) {
	t.Helper()
	t.Logf("%s: resident set %.1f MB at most, %.1f MB with what was not read, %d descriptors at most", p.name, float64(u.rss)/(1<<20), float64(u.held)/(1<<20), u.fds)
	if p.hasEnded() {
		t.Fatalf("%s has ended", p.name)
	}
	if u.held > m.memoryMB<<20 {
		t.Errorf("%s: %.1f MB held, want at most %d", p.name, float64(u.held)/(1<<20), m.memoryMB)
	}
	if u.fds > m.descriptors {
		t.Errorf("%s: %d descriptors, want at most %d", p.name, u.fds, m.descriptors)
	}
	if !u.isServing {
		t.Errorf("%s: no ordinary request was answered beside the crowd", p.name)
	}
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
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

// withBoundedEntry starts an entry daemon with the limits of a machine.
func withBoundedEntry(t *testing.T, m machine) *entrySite {
	t.Helper()
	s := newEntrySite(t)
	s.declareLimits(1, abuseLimits)
	s.machine = m
	s.settingsText += m.settings()
	if err := os.WriteFile(s.settings, []byte(s.settingsText), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, p := range s.searchers {
		p.SetAnswerBytes("/p/", answerBytes)
		p.SetAnswerBytes(largePath, maxAnswerBytes)
	}
	s.daemon = startProcess(t, "entry", buildProgram(t), "entry", "--settings", s.settings)
	s.eventually("ready", entryTimeout, func() bool { return s.readyStatus() == http.StatusOK })
	return s
}

// declareLimits writes a version of the desired state with the limits of requests.
func (s *entrySite) declareLimits(version int, limits string) {
	s.declarePrefix(version, "/p/", limits)
}

// declarePrefix is declareLimits with another prefix of the route's path.
func (s *entrySite) declarePrefix(version int, prefix, limits string) {
	s.store.Set(platform.KindConfig, platform.ConfigName, json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"p","host":%q,"path_prefix":%q,"kind":"non_idempotent","timeout_ms":2000,"goal_ms":200,"attempts":2,"service":"a"}],"limits":%s}`,
		version, entryHost, prefix, limits)))
}

// newConnClient returns a client that opens a connection for each request, as one that is refused does.
func newConnClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: abuseRecovery / 4}
}

// dial opens a connection to the address for clients, with a deadline after abuseRecovery. It is closed when the test ends.
func (s *entrySite) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.callerAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(abuseRecovery)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// serves reports whether an ordinary request is answered, and the readiness check passes.
func (s *entrySite) serves(context.Context) bool {
	a, ready := s.send(newConnClient(), http.MethodPost, "/p/1"), s.readyStatus()
	isServing := a.status == http.StatusOK && ready == http.StatusOK
	if !isServing {
		s.t.Logf("ordinary request: status %d, error %v, body %.30q; readiness check: status %d", a.status, a.err, a.body, ready)
	}
	return isServing
}

// assertWithstands runs crowds against the daemon, and checks that it stayed within its limits and serves beside and after them.
func (s *entrySite) assertWithstands(crowds ...crowd) {
	s.t.Helper()
	u := runCrowds(s.t, s.daemon, s.serves, crowds...)
	s.daemon.assertBounded(s.t, s.machine, u)
	s.eventually("serving after the crowd", abuseRecovery, func() bool { return s.serves(s.t.Context()) })
	for _, c := range crowds {
		s.eventually("admitting connections after the crowd", abuseRecovery, func() bool { return staysOpen(s.t, c.addr) })
	}
}

// staysOpen reports whether a new connection is kept for longer than one may wait for room.
func staysOpen(t *testing.T, addr string) bool {
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	time.Sleep(abuseRecovery / 20)
	return isOpen(conn.(*net.TCPConn))
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
		"many headers": manyHeaders, "endless extensions": endlessExtensions, "endless trailer": endlessTrailer,
		"expectations": expectation, "half closed": halfClosed, "refused before the body": refusedEarly,
		"unread answers": unreadAnswers, "endless requests": endlessRequests,
	} {
		t.Run(name, func(t *testing.T) {
			s := withBoundedEntry(t, lowMachine)
			s.assertWithstands(crowd{s.callerAddr, crowdSize, do})
		})
	}
}

// TestAbusiveClientsOfSmallestMachine runs crowds that make each of the connections that this machine accepts hold as much as it can.
func TestAbusiveClientsOfSmallestMachine(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   client
	}{
		{"many headers", manyHeaders},
		{"unread large answers", unreadLargeAnswers},
		{"endless requests", endlessRequests},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := withBoundedEntry(t, smallestMachine)
			s.assertWithstands(crowd{s.callerAddr, manySize, tt.do})
		})
	}
}

// TestAbusiveClientsOfOneProcessor runs crowds that take all the time of a process that has one processor.
func TestAbusiveClientsOfOneProcessor(t *testing.T) {
	t.Setenv("GOMAXPROCS", "1")
	for name, do := range map[string]client{"small chunks": smallChunks, "endless extensions": endlessExtensions, "many headers": manyHeaders} {
		t.Run(name, func(t *testing.T) {
			s := withBoundedEntry(t, smallestMachine)
			s.assertWithstands(crowd{s.callerAddr, manySize, do})
		})
	}
}

// TestAbusiveClientsOfTwoKinds runs two crowds at once, of which one alone would take what the other leaves.
func TestAbusiveClientsOfTwoKinds(t *testing.T) {
	for _, tt := range []struct {
		name string
		a, b client
	}{
		{"bodies and unread answers", wholeBody, unreadAnswers},
		{"small chunks and many headers", smallChunks, manyHeaders},
		{"silent and refused before the body", silent, refusedEarly},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := withBoundedEntry(t, lowMachine)
			s.assertWithstands(crowd{s.callerAddr, crowdSize / 2, tt.a}, crowd{s.callerAddr, crowdSize / 2, tt.b})
		})
	}
}

// target is a crowd at one of an entry daemon's listeners.
type target struct {
	listener string
	n        int
	do       client
}

// crowds returns the crowds at the addresses of the daemon.
func (s *entrySite) crowds(targets ...target) []crowd {
	addrs := map[string]string{"callers": s.callerAddr, "checks": s.checkAddr, "peers": s.peerAddr()}
	var out []crowd
	for _, c := range targets {
		out = append(out, crowd{addrs[c.listener], c.n, c.do})
	}
	return out
}

// TestAbusiveClientsUnreadOfAllListeners runs crowds that read nothing against all addresses of an entry daemon at once.
func TestAbusiveClientsUnreadOfAllListeners(t *testing.T) {
	s := withBoundedEntry(t, smallestMachine)
	s.assertWithstands(s.crowds(target{"callers", manySize, endlessRequests}, target{"checks", crowdSize, unreadMetrics}, target{"peers", manySize, fullFrames})...)
}

// TestAbusiveClientsOfOtherListeners runs crowds against an entry daemon's addresses for checks and for other daemons, and against
// all addresses at once.
func TestAbusiveClientsOfOtherListeners(t *testing.T) {
	for _, tt := range []struct {
		name    string
		machine machine
		targets []target
	}{
		{"checks: endless heads", lowMachine, []target{{"checks", crowdSize, endlessHead}}},
		{"checks: bodies", lowMachine, []target{{"checks", crowdSize, wholeBody}}},
		{"checks: silent", lowMachine, []target{{"checks", crowdSize, silent}}},
		{"checks: unread metrics", lowMachine, []target{{"checks", crowdSize, unreadMetrics}}},
		{"peers: endless messages", lowMachine, []target{{"peers", peerCrowdSize, endlessMessage}}},
		{"peers: silent", lowMachine, []target{{"peers", crowdSize, silent}}},
		{"peers: unread", smallestMachine, []target{{"peers", manySize, fullFrames}}},
		{"all: bodies", smallestMachine, []target{{"callers", manySize, wholeBody}, {"checks", crowdSize, wholeBody}, {"peers", manySize, endlessMessage}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := withBoundedEntry(t, tt.machine)
			s.assertWithstands(s.crowds(tt.targets...)...)
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
		{"callers: unread metrics", "caller", crowdSize, unreadMetrics},
		{"operators: endless heads", "operator", crowdSize, endlessHead},
		{"operators: silent", "operator", crowdSize, silent},
		{"peers: endless messages", "peer", peerCrowdSize, endlessMessage},
		{"peers: silent", "peer", crowdSize, silent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := startBoundedDaemon(t)
			addr := map[string]string{"caller": d.caller, "operator": d.operator, "peer": d.peer}[tt.listener]
			u := runCrowds(t, d.process, d.isLive, crowd{addr, tt.n, tt.do})
			d.assertBounded(t, lowMachine, u)
			eventually(t, abuseRecovery, func() error {
				if !d.isLive(t.Context()) {
					return errors.New("not live")
				}
				return nil
			})
		})
	}
}

// isLive reports whether the daemon answers its check of liveness on a new connection.
func (d *daemon) isLive(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.caller+"/live", nil)
	if err != nil {
		return false
	}
	resp, err := newConnClient().Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

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
	if _, err := file.WriteString(lowMachine.settings()); err != nil {
		t.Fatal(err)
	}
	d.process = startProcess(t, d.id, buildProgram(t), "daemon", "--settings", d.settings)
	line := d.nextLine(t)
	if _, err := fmt.Sscanf(line, "listening caller=%s operator=%s peer=%s", &d.caller, &d.operator, &d.peer); err != nil {
		t.Fatalf("unexpected output of %s: %q", d.id, line)
	}
	return d
}

// TestAbusiveClientsBesideChanges runs a crowd of two kinds while the desired state changes, the store is out, and the daemon stops as
// planned: the change must come into force, requests must be served during the outage, and the process must end by itself.
func TestAbusiveClientsBesideChanges(t *testing.T) {
	s := withBoundedEntry(t, lowMachine)
	client := newConnClient()
	serves := func(path string) func(context.Context) bool {
		return func(context.Context) bool { return s.send(client, http.MethodPost, path).status == http.StatusOK }
	}
	crowds := []crowd{{s.callerAddr, crowdSize / 2, wholeBody}, {s.callerAddr, crowdSize / 2, unreadAnswers}}
	for _, tt := range []struct {
		name   string
		change func()
		path   string
	}{
		{"new desired state", func() { s.declarePrefix(2, "/new/", abuseLimits) }, "/new/1"},
		{"outage of the store", func() { s.store.SetDown(true) }, "/new/1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			time.AfterFunc(crowdTime/2, tt.change)
			s.daemon.assertBounded(t, s.machine, runCrowds(t, s.daemon, serves(tt.path), crowds...))
		})
	}
	s.store.SetDown(false)
	t.Run("planned stop", func(t *testing.T) {
		stopped := make(chan struct{})
		time.AfterFunc(crowdTime/2, func() {
			defer close(stopped)
			s.daemon.signal(t, syscall.SIGTERM)
			select {
			case <-s.daemon.done:
			case <-time.After(stopTimeout):
			}
		})
		runCrowds(t, s.daemon, func(context.Context) bool { return s.daemon.hasEnded() }, crowds...)
		<-stopped
		if !s.daemon.hasEnded() || s.daemon.cmd.ProcessState.ExitCode() != 0 {
			t.Errorf("ended %t with %v, want exit code 0 after a planned stop", s.daemon.hasEnded(), s.daemon.cmd.ProcessState)
		}
	})
}

// TestLargestLegalRequest sends single requests at the limits of the desired state to an entry daemon that has little memory:
// each must be served, and what exceeds the limits must be refused with the status that says so.
func TestLargestLegalRequest(t *testing.T) {
	s := withBoundedEntry(t, lowMachine)
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
	s := withBoundedEntry(t, lowMachine)
	s.declareLimits(2, `{"header_bytes":16384,"body_bytes":262144,"header_ms":500,"idle_ms":2000}`)
	request := headStart("GET") + "\r\n"
	// dial opens a connection whose first request is answered.
	dial := func(t *testing.T) (net.Conn, func() error) {
		t.Helper()
		conn := s.dial(t)
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
