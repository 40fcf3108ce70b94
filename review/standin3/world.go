//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds the processes of one case and its record.
type world struct {
	trouble bool
	dir     string
	store   *store
	relays  []*relay
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	running map[int]*process // by process identifier
}

// process is a process that the case started.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), record: record, running: map[int]*process{}}
	w.note("with the disruption: %v", w.trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.note("result: the case was interrupted")
		w.close()
		os.Exit(exitNotRun)
	}()
	w.store, err = newStore(w)
	return w, err
}

// note writes a line to the record, with the seconds since the start of the case.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case started.
func (w *world) close() {
	w.mu.Lock()
	var left []*process
	for _, p := range w.running {
		left = append(left, p)
	}
	w.mu.Unlock()
	for _, p := range left {
		_ = p.command.Process.Kill() // it may have ended
		<-p.ended
	}
	_ = os.RemoveAll(w.dir)
}

// start starts a process that writes its output to the end of a file.
func (w *world) start(output, program string, args ...string) (*process, error) {
	file, err := os.OpenFile(output, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	p := &process{command: exec.Command(program, args...), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = file, file
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	id := p.command.Process.Pid
	w.mu.Lock()
	w.running[id] = p
	w.mu.Unlock()
	go func() {
		_ = p.command.Wait() // killed or crashed, as the case wants
		w.mu.Lock()
		delete(w.running, id)
		w.mu.Unlock()
		close(p.ended)
	}()
	return p, nil
}

// kill ends a process as SIGKILL does.
func (p *process) kill() {
	_ = p.command.Process.Kill() // it may have ended
	<-p.ended
}

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// relay is one host that runs the daemon, at a loopback address of its own.
type relay struct {
	w            *world
	name         string
	front, ready string
	settings     string
	log          string
	process      *process
}

// settingsText is the template of the deploy file with the bounds of a small deployment.
const settingsText = `host = "%s"
failure_domain = "%s"

[listen]
callers = "%s"
readiness = "%s"
operators = "%s"
metrics = "%s:9464"

[peers]
address = "%s"
seeds = [%s ]

[machine]
memory_mb = 206
cores = 0.272
link_mbps = 700.0

[platform]
store = "%s"

[stop]
grace_s = 8

[changes]
config_ms = 2000
drain_ms = 2000

[keys]
fail_closed = true
revoke_ms = 5000

[retries]
ratio = 0.2
slack = 234
window_s = 10

[cold]
`

var zones = []string{"newport-a", "cardiff-b", "swansea-c"}

// startRelays starts hosts, one in each zone in turn, and waits until all are ready.
func (w *world) startRelays(count int) error {
	network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
	ip := func(i int) string { return fmt.Sprintf("%s.%d", network, i+1) }
	ports := make([]int, 4)
	for i := range ports {
		port, err := freePort(ip(0))
		if err != nil {
			return err
		}
		ports[i] = port
	}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip(i), ports[2])))
	}
	for i := range count {
		at := func(port int) string { return fmt.Sprintf("%s:%d", ip(i), ports[port]) }
		zone := zones[i%len(zones)]
		name := fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1)
		r := &relay{w: w, name: name, front: at(0), ready: at(1), settings: filepath.Join(w.dir, name+".toml"), log: filepath.Join(w.dir, name+".log")}
		text := fmt.Sprintf(settingsText, name, zone, at(0), at(1), at(2), ip(i), at(3), strings.Join(seeds, ", "), w.store.address)
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := r.start(); err != nil {
			return err
		}
		w.relays = append(w.relays, r)
	}
	for _, r := range w.relays {
		if err := r.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// start starts the daemon with the command of the deploy file.
func (r *relay) start() error {
	var err error
	r.process, err = r.w.start(r.log, "target/citronrelay", "--settings", r.settings)
	r.w.note("%s: process starts", r.name)
	return err
}

// isReady asks the readiness address as the platform does.
func (r *relay) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *relay) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if r.isReady() {
			r.w.note("%s: ready", r.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", r.name, limit)
}

// noteLog copies the lines of the daemon's log that hold one of the texts to the record.
func (r *relay) noteLog(texts ...string) {
	data, err := os.ReadFile(r.log)
	if err != nil {
		r.w.note("%s: log: %v", r.name, err)
		return
	}
	for line := range strings.Lines(string(data)) {
		for _, text := range texts {
			if strings.Contains(line, text) {
				r.w.note("%s: log: %s", r.name, strings.TrimSpace(line))
				break
			}
		}
	}
}
