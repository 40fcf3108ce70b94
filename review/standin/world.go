//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An incomplete record doesn't change the result of the case.
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// world holds the stand-ins and processes of a case.
type world struct {
	log     *recorder
	trouble bool
	folder  string // temporary
	relays  []*relay

	mu     sync.Mutex // guards the processes of relays
	closed bool
}

// listen serves a handler on a free loopback port and returns its address.
func (w *world) listen(handler http.Handler) (string, *http.Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server, nil
}

// freePorts returns ports that are free at all the given addresses.
func freePorts(count int, ips ...string) ([]int, error) {
	var ports []int
	for range 1000 {
		if len(ports) == count {
			return ports, nil
		}
		first, err := net.Listen("tcp4", ips[0]+":0")
		if err != nil {
			return nil, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		free := true
		for _, ip := range ips[1:] {
			other, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				continue
			}
			defer func() { _ = other.Close() }()
		}
		defer func() { _ = first.Close() }()
		if free {
			ports = append(ports, port)
		}
	}
	return nil, errors.New("no free ports")
}

// relay is one process of the system.
type relay struct {
	w            *world
	name, ip     string
	settings     string
	front, ready string
	process      *exec.Cmd
	exited       chan struct{}
	startedAt    time.Time
}

// settingsText has the fields of the template of the deploy file, with the bounds of the
// small deployments.
const settingsText = `host = %q
failure_domain = "zone-a"

[listen]
callers = "%[2]s:%[3]d"
readiness = "%[2]s:%[4]d"
operators = "%[2]s:%[5]d"
metrics = "%[2]s:%[6]d"

[peers]
address = "%[2]s:%[7]d"
seeds = [%[8]s]

[machine]
memory_mb = 206
cores = 0.272
link_mbps = 700.0

[platform]
store = %[9]q

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
slack = 217
window_s = 10
`

// addRelays writes the settings of hosts at 127.0.0.2 and following.
func (w *world) addRelays(count int, store string) error {
	var ips, seeds []string
	for i := range count {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", i+2))
	}
	ports, err := freePorts(5, ips...)
	if err != nil {
		return err
	}
	for _, ip := range ips[:min(count, 3)] {
		seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", ip, ports[2]))
	}
	for i, ip := range ips {
		r := &relay{w: w, name: fmt.Sprintf("front-zone-a-%d", i+1), ip: ip, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
		r.settings = filepath.Join(w.folder, r.name+".toml")
		text := fmt.Sprintf(settingsText, r.name, ip, ports[0], ports[1], ports[2], ports[3], ports[4], strings.Join(seeds, ", "), store)
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.relays = append(w.relays, r)
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (r *relay) start() error {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	if r.w.closed {
		return errors.New("the case has ended")
	}
	output, err := os.OpenFile(filepath.Join(r.w.folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command("target/citronrelay", "--settings", r.settings)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	r.process, r.exited, r.startedAt = cmd, make(chan struct{}), time.Now()
	exited := r.exited
	go func() { _ = cmd.Wait(); close(exited) }()
	r.w.log.printf("%s: started, callers at %s", r.name, r.front)
	return nil
}

func (r *relay) kill() {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	if r.process == nil {
		return
	}
	_ = r.process.Process.Kill() // it may have ended
	<-r.exited
	r.w.log.printf("%s: killed", r.name)
	r.process = nil
}

// awaitReady waits until the host says that it is ready.
func (r *relay) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.ready+"/ready", http.NoBody)
		if err != nil {
			cancel()
			return err
		}
		response, err := http.DefaultClient.Do(request)
		cancel()
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.w.log.printf("%s: ready", r.name)
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after %v", r.name, timeout)
}

func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, r := range w.relays {
		r.kill()
	}
	if w.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}
