package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"cornelwood.example/internal/standin/keeper"
	"cornelwood.example/platform"
)

const (
	// host is the host of all routes.
	host = "leno12.example"
	// startTime bounds the time until all daemons are ready.
	startTime = 15 * time.Second
)

// site is a small deployment: the metadata store and the searchers in this process, the daemons in processes of their own.
type site struct {
	dir string
	// ip is a loopback address of this site's own: the ports of clients' connections, which begin at another, do not clash with its ports.
	ip        string
	store     *keeper.MemoryStore
	storeAddr string
	daemons   []*daemon
	bounds    map[string]any
	record    *record
}

// daemon is an entry daemon, started as the deploy file says.
type daemon struct {
	site     *site
	name     string
	zone     string
	settings string
	front    string
	ready    string
	peers    string
	// cmd is nil until the process has been started; end is closed when it has ended.
	cmd *exec.Cmd
	end chan struct{}
}

// newSite serves an empty store. Its files are in a temporary folder.
func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), rand.IntN(250))
	s := &site{dir: dir, ip: ip, store: keeper.NewMemoryStore(), record: rec, bounds: map[string]any{
		"grace_s": 6, "retry_budget_ratio": 0.2, "retry_slack": 54, "budget_window_s": 10,
	}}
	lis, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = lis.Addr().String()
	srv := &http.Server{Handler: &fastStore{s.store}, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(lis) }()
	return s, nil
}

// close ends all daemons and removes the files.
func (s *site) close() {
	for _, d := range s.daemons {
		d.kill()
	}
	os.RemoveAll(s.dir)
}

// declare writes a version of the desired state.
func (s *site) declare(spec string) {
	s.store.Set(platform.KindConfig, platform.ConfigName, json.RawMessage(spec))
}

// freeAddr returns an address and port of the site that was free a moment ago.
func (s *site) freeAddr() (string, error) {
	lis, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		return "", err
	}
	defer lis.Close()
	return lis.Addr().String(), nil
}

// addDaemon adds a daemon of a zone without starting it.
func (s *site) addDaemon(name, zone string) (*daemon, error) {
	d := &daemon{site: s, name: name, zone: zone, settings: filepath.Join(s.dir, name+".ini")}
	for _, at := range []*string{&d.front, &d.ready, &d.peers} {
		addr, err := s.freeAddr()
		if err != nil {
			return nil, err
		}
		*at = addr
	}
	s.daemons = append(s.daemons, d)
	return d, d.writeSettings()
}

// writeSettings fills the deployment's template.
func (d *daemon) writeSettings() error {
	template, err := os.ReadFile("deploy/entry.ini")
	if err != nil {
		return err
	}
	ip, port, _ := net.SplitHostPort(d.peers)
	fields := map[string]any{
		"node_name": d.name, "zone": d.zone, "region": "r", "ip": ip, "port_range.0": port, "bootstrap": true,
		"listen.front_addr": d.front, "listen.ready_addr": d.ready, "platform.address": d.site.storeAddr,
		"limits.memory_mb": 284, "limits.cpu_share": 0.4, "limits.max_fds": 4100,
	}
	for name, v := range d.site.bounds {
		fields["bounds."+name] = v
	}
	return os.WriteFile(d.settings, []byte(fill(string(template), fields)), 0o600)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{([#^])([a-z0-9_.]+)\}\}(.*?)\{\{/[a-z0-9_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)
)

// fill fills a template as the platform does, as far as the deployment's template needs it.
func fill(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		m := section.FindStringSubmatch(text)
		v, ok := fields[m[2]]
		isSet := ok && v != false
		if isSet == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		if v, ok := fields[text[2:len(text)-2]]; ok {
			return fmt.Sprint(v)
		}
		return ""
	})
}

// start starts the process.
func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.site.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.CommandContext(context.Background(), "target/cornelwood", "entry", "--settings", d.settings)
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(), "CORNELWOOD_CONFIG="+d.settings)
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.end = cmd, make(chan struct{})
	go func() {
		// The status of a process that was killed says nothing.
		_ = cmd.Wait()
		close(d.end)
	}()
	return nil
}

// kill ends the process at once, if it was started, and waits for its end.
func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	// An error means that the process has ended.
	_ = d.cmd.Process.Kill()
	<-d.end
}

// isReady makes the load balancer's check.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.ready + "/cornelwood/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all daemons and waits until they are ready.
func (s *site) startAll() error {
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTime)
	for _, d := range s.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon %s is not ready after %s", d.name, startTime)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	// Until all have registered, each takes the others for fewer than they are.
	time.Sleep(3 * time.Second)
	return nil
}

// logLines returns the lines of a daemon's log that hold a text.
func (d *daemon) logLines(text string) []string {
	raw, _ := os.ReadFile(filepath.Join(d.site.dir, d.name+".log"))
	var out []string
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}
