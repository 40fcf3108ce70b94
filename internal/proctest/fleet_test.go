package proctest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/internal/testport"
	"github.com/citronscale/citronscale/internal/testproc"
	"github.com/citronscale/citronscale/source/httpsource"
)

const (
	fleetHosts   = 3
	fleetEngines = 3
	model        = "citron-base"
	token        = "demo-token-pallets"
	otherToken   = "demo-token-returns"
	startTime    = time.Minute // until a process answers
	configText   = `format = 1
[defaults]
default_deadline_ms = 30_000
max_deadline_ms = 120_000
tokens_per_second = 2_000_000
burst_tokens = 20_000_000
progress_timeout_ms = 2_000
leaving_grace_ms = 1_000
[teams]
pallets = "mt4Xdhla5uOuGdZtRvZ_Vg"
returns = "3ckh8R-wVWVvB_kmDfQWtg"
[models.citron-base]
version = "v1"
replicas = 3
context_tokens = 1_000_000
[services.booking]
non_idempotent = ["POST /bookings"]
`
)

var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proctest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/citrond", "../../cmd/citronstub")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one process of the fleet.
type process struct {
	t       *testing.T
	name    string
	args    []string
	command *exec.Cmd
	output  bytes.Buffer
	ended   chan struct{}
}

func (p *process) start() {
	p.command = testproc.Command(p.args[0], p.args[1:]...)
	p.command.Stdout = &p.output
	p.command.Stderr = &p.output
	assert.NilError(p.t, p.command.Start())
	ended := make(chan struct{})
	p.ended = ended
	command := p.command
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

func (p *process) signal(s syscall.Signal) {
	assert.NilError(p.t, p.command.Process.Signal(s))
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// fleet is a platform, engines, a plain service and entry hosts on loopback.
type fleet struct {
	t         *testing.T
	dir       string
	hosts     [fleetHosts]*process
	engines   [fleetEngines]*process
	platform  *process
	callers   [fleetHosts]string // addresses
	operators [fleetHosts]string
	engineAt  [fleetEngines]string
	bookingAt string
	platAt    string
	entries   httpsource.List
}

// freeAddress returns an address that nothing listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := testport.Address()
	assert.NilError(t, err)
	return address
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), platAt: freeAddress(t), bookingAt: freeAddress(t)}
	var settings [fleetHosts]string
	for n := range fleetHosts {
		f.callers[n], f.operators[n] = freeAddress(t), freeAddress(t)
		peers := freeAddress(t)
		settings[n] = f.hostSettings(n, peers)
		f.entries.Entries = append(f.entries.Entries, httpsource.Entry{
			Name: hostName(n), Role: "host", Address: f.callers[n], PeerAddress: peers, FailureDomain: domain(n),
		})
	}
	for n := range fleetEngines {
		f.engineAt[n] = freeAddress(t)
		f.entries.Entries = append(f.entries.Entries, httpsource.Entry{
			Name: engineName(n), Role: "engine", Address: f.engineAt[n], FailureDomain: domain(n), Model: model,
		})
	}
	f.entries.Entries = append(f.entries.Entries, httpsource.Entry{
		Name: "booking-1", Role: "service", Address: f.bookingAt, FailureDomain: domain(0), Service: "booking",
	})
	f.startAll(settings)
	return f
}

func hostName(n int) string   { return fmt.Sprintf("host-%d", n+1) }
func engineName(n int) string { return fmt.Sprintf("engine-%d", n+1) }
func domain(n int) string     { return fmt.Sprintf("domain-%d", n+1) }

func (f *fleet) hostSettings(n int, peers string) string {
	return f.write(hostName(n)+".toml", fmt.Sprintf(`[host]
name = %q
failure_domain = %q
[listen]
callers = %q
peers = %q
operators = %q
[platform]
config = [%q]
host_list = [%q]
`, hostName(n), domain(n), f.callers[n], peers, f.operators[n], f.platAt, f.platAt))
}

func (f *fleet) write(name, text string) string {
	path := filepath.Join(f.dir, name)
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (f *fleet) startAll(settings [fleetHosts]string) {
	list, err := json.Marshal(f.entries)
	assert.NilError(f.t, err)
	stub := filepath.Join(binaries, "citronstub")
	config, hosts := f.write("fleet.toml", configText), f.write("hosts.json", string(list))
	f.platform = f.run("platform", stub, "platform", "--listen", f.platAt, "--config", config, "--hosts", hosts)
	for n := range fleetEngines {
		f.engines[n] = f.run(engineName(n), stub, "engine", "--listen", f.engineAt[n], "--name", engineName(n), "--model", model, "--weight-store", f.platAt)
	}
	f.run("booking-1", stub, "service", "--listen", f.bookingAt, "--name", "booking-1")
	for n := range fleetHosts {
		f.hosts[n] = f.run(hostName(n), filepath.Join(binaries, "citrond"), "--settings", settings[n])
	}
	for n := range fleetHosts {
		f.waitReady(n)
	}
}

func (f *fleet) run(name string, args ...string) *process {
	p := &process{t: f.t, name: name, args: args}
	p.start()
	f.t.Cleanup(func() {
		p.kill()
		if f.t.Failed() {
			lines := p.output.Bytes()
			f.t.Logf("last output of %s:\n%s", name, lines[max(0, len(lines)-2000):])
		}
	})
	return p
}

// linesOf returns what the hosts have logged of a request.
func (f *fleet) linesOf(id string) string {
	var lines strings.Builder
	for _, host := range f.hosts {
		for line := range strings.Lines(host.output.String()) {
			if strings.Contains(line, id) {
				lines.WriteString(line)
			}
		}
	}
	return lines.String()
}

// waitReady waits until a host admits requests and has heard its engines.
func (f *fleet) waitReady(n int) {
	for end := time.Now().Add(startTime); ; time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + f.operators[n] + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		assert.Assert(f.t, time.Now().Before(end), "%s is not ready: %v", hostName(n), err)
	}
	for end := time.Now().Add(startTime); ; time.Sleep(50 * time.Millisecond) {
		if f.complete(n, 1, "ready "+hostName(n), 4, false, 5*time.Second).whole {
			return
		}
		assert.Assert(f.t, time.Now().Before(end), "%s serves nothing", hostName(n))
	}
}

// control changes the behaviour of a stand-in.
func (f *fleet) control(method, address, path string, body any) {
	data, err := json.Marshal(body)
	assert.NilError(f.t, err)
	request, err := http.NewRequest(method, "http://"+address+"/control/"+path, bytes.NewReader(data))
	assert.NilError(f.t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(f.t, err)
	text, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	assert.Equal(f.t, response.StatusCode/100, 2, "%s: %s", path, text)
}

// log reads the record of a stand-in into records.
func (f *fleet) log(address string, records any) {
	response, err := http.Get("http://" + address + "/control/log")
	assert.NilError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(f.t, json.NewDecoder(response.Body).Decode(records))
}
