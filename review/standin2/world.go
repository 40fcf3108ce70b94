//go:build review2

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds the processes and stand-ins of one case, and its record.
type world struct {
	trouble bool // false: the case runs without its disruption
	store   *store
	dir     string // for settings files
	program string // of this stand-in

	mu        sync.Mutex
	record    *os.File
	began     time.Time
	processes map[*os.Process]bool
	relays    []*relay
}

// newWorld starts the store and opens the record.
func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, program: program, record: record, began: time.Now(),
		processes: map[*os.Process]bool{},
	}
	w.note("trouble: %v", w.trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop // the case takes too long
		_ = w.close(false, errors.New("stopped"))
		os.Exit(exitNotRun)
	}()
	if w.store, err = newStore(w); err != nil {
		return nil, errors.Join(err, w.close(false, err))
	}
	return w, nil
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and completes the record.
func (w *world) close(broken bool, failed error) error {
	w.mu.Lock()
	for p := range w.processes {
		_ = p.Signal(syscall.SIGCONT) // one that is stopped can't end
		_ = p.Kill()
	}
	w.mu.Unlock()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		left := len(w.processes)
		w.mu.Unlock()
		if left == 0 {
			break
		}
	}
	switch {
	case failed != nil:
		w.note("result: the case could not run: %v", failed)
	case broken:
		w.note("result: the rule was broken")
	default:
		w.note("result: the rule held")
	}
	return errors.Join(os.RemoveAll(w.dir), w.record.Close())
}

// start starts a process whose end is awaited. Its output goes to output.
func (w *world) start(output *os.File, program string, args ...string) (*os.Process, <-chan struct{}, error) {
	command := exec.Command(program, args...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return nil, nil, err
	}
	w.mu.Lock()
	w.processes[command.Process] = true
	w.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // it is killed at the end of the case
		w.mu.Lock()
		delete(w.processes, command.Process)
		w.mu.Unlock()
		close(ended)
	}()
	return command.Process, ended, nil
}

// freePort returns a port that is free at a loopback address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// relay is one process of the daemon, with a loopback address of its own.
type relay struct {
	host, ip, front, ready string
	process                *os.Process
	ended                  <-chan struct{}
	settings, log          string
}

// settingsText is the template of the deploy file, filled in for a small deployment.
const settingsText = `host = "%[1]s"
failure_domain = "%[2]s"

[listen]
callers = "%[3]s"
readiness = "%[4]s"
operators = "%[5]s"
metrics = "%[6]s:9464"

[peers]
address = "%[7]s"
seeds = [%[8]s ]

[machine]
memory_mb = 206
cores = 0.272
link_mbps = 700.0

[platform]
store = "%[9]s"

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

// startRelays starts relays in three zones and waits until all are ready.
func (w *world) startRelays(count int) error {
	network := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
	var ports [4]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(network + "1"); err != nil {
			return err
		}
	}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf(`"%s%d:%d"`, network, i+1, ports[2]))
	}
	for i := range count {
		ip := fmt.Sprintf("%s%d", network, i+1)
		at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		r := &relay{host: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), ip: ip, front: at(ports[0]), ready: at(ports[1])}
		text := fmt.Sprintf(settingsText, r.host, zones[i%3], r.front, r.ready, at(ports[2]), ip, at(ports[3]), strings.Join(seeds, ","), w.store.address)
		r.settings, r.log = filepath.Join(w.dir, r.host+".conf"), filepath.Join(w.dir, r.host+".log")
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := w.startRelay(r); err != nil {
			return err
		}
		w.relays = append(w.relays, r)
	}
	for _, r := range w.relays {
		if err := w.awaitReady(r); err != nil {
			return err
		}
	}
	return nil
}

// startRelay starts the daemon with the command of the deploy file.
func (w *world) startRelay(r *relay) error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	r.process, r.ended, err = w.start(log, "target/citronrelay", "--settings", r.settings)
	w.note("relay %s started at %s", r.host, r.front)
	return err
}

// awaitReady waits until a relay says that it is ready.
func (w *world) awaitReady(r *relay) error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if status(r.ready, "/ready") == 200 {
			w.note("relay %s is ready", r.host)
			return nil
		}
	}
	log, _ := os.ReadFile(r.log) // only for the message
	return fmt.Errorf("relay %s is not ready: %s", r.host, log)
}

// noteLog copies lines of the log of a relay to the record.
func (w *world) noteLog(r *relay, containing ...string) {
	log, err := os.ReadFile(r.log)
	if err != nil {
		w.note("log of %s: %v", r.host, err)
		return
	}
	for line := range strings.SplitSeq(string(log), "\n") {
		for _, text := range containing {
			if strings.Contains(line, text) {
				w.note("log of %s: %s", r.host, line)
				break
			}
		}
	}
}
