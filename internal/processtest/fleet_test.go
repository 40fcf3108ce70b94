package processtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronscale/citronscale/internal/daemon"
	"github.com/citronscale/citronscale/internal/load"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
	"github.com/citronscale/citronscale/internal/stub/platformstub"
	"github.com/citronscale/citronscale/internal/stub/servicestub"
	"github.com/citronscale/citronscale/internal/stub/stubhttp"
	"github.com/citronscale/citronscale/internal/testport"
	"github.com/citronscale/citronscale/internal/testproc"
	"github.com/citronscale/citronscale/source"
	"github.com/citronscale/citronscale/source/httpsource"
)

const (
	loopback     = "127.0.0.1:0"
	testModel    = "citron-base"
	readyTimeout = 30 * time.Second
)

// engineNode is an engine stand-in and its server.
type engineNode struct {
	name   string
	stub   *enginestub.Engine
	server *stubhttp.Server
}

// serviceNode is a stand-in of a plain service and its server.
type serviceNode struct {
	name   string
	stub   *servicestub.Service
	server *stubhttp.Server
}

// hostNode is one entry daemon.
type hostNode struct {
	name      string
	callers   string
	peers     string
	operators string
	command   *exec.Cmd
	exited    chan struct{}
}

// fleet is a set of entry daemons and what lies around them.
type fleet struct {
	directory string
	platform  *platformstub.Platform
	address   string // of the platform
	engines   []*engineNode
	services  []*serviceNode
	hosts     []*hostNode
	caller    *load.Caller
}

// daemonVariable makes the test binary run as an entry daemon.
const daemonVariable = "CITRON_PROCESSTEST_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// startFleet starts a fleet with the configuration of the demo.
func startFleet(t *testing.T, hosts, engines int) *fleet {
	t.Helper()
	f := &fleet{directory: t.TempDir(), caller: load.NewCaller()}
	t.Cleanup(f.caller.Close)
	f.startPlatform(t)
	var list httpsource.List
	for i := range engines {
		list.Entries = append(list.Entries, f.startEngine(t, i+1))
	}
	for i := range 2 {
		list.Entries = append(list.Entries, f.startService(t, i+1))
	}
	for i := range hosts {
		host := newHost(t, i+1)
		f.hosts = append(f.hosts, host)
		list.Entries = append(list.Entries, httpsource.Entry{
			Name: host.name, Role: source.RoleHost, Address: host.callers,
			PeerAddress: host.peers, FailureDomain: domain(i + 1),
		})
	}
	f.platform.SetInitialHosts(list)
	for i, host := range f.hosts {
		f.startHost(t, host, domain(i+1))
	}
	for _, host := range f.hosts {
		host.waitReady(t)
	}
	return f
}

func domain(number int) string {
	const domains = 3
	return fmt.Sprintf("domain-%d", (number-1)%domains+1)
}

func (f *fleet) startPlatform(t *testing.T) {
	document, err := os.ReadFile("../../deploy/demo/fleet.toml")
	assert.NilError(t, err)
	f.platform = platformstub.New()
	f.platform.Publish(1, document)
	server, err := stubhttp.Listen(loopback, f.platform.Handler(), f.platform.Gate)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	f.address = server.Address()
}

func (f *fleet) startEngine(t *testing.T, number int) httpsource.Entry {
	options := enginestub.DefaultOptions()
	options.Name = fmt.Sprintf("engine-%d", number)
	options.Model = testModel
	node := &engineNode{name: options.Name}
	options.Crash = func() { go node.server.Close() }
	node.stub = enginestub.New(options)
	server, err := stubhttp.Listen(loopback, node.stub.Handler(), node.stub.Gate)
	assert.NilError(t, err)
	node.server = server
	t.Cleanup(func() {
		server.Close()
		node.stub.Close()
	})
	f.engines = append(f.engines, node)
	return httpsource.Entry{
		Name: node.name, Role: source.RoleEngine, Address: server.Address(),
		FailureDomain: domain(number), Model: testModel,
	}
}

func (f *fleet) startService(t *testing.T, number int) httpsource.Entry {
	node := &serviceNode{name: fmt.Sprintf("booking-%d", number)}
	node.stub = servicestub.New(node.name, func() { go node.server.Close() })
	server, err := stubhttp.Listen(loopback, node.stub.Handler(), node.stub.Gate)
	assert.NilError(t, err)
	node.server = server
	t.Cleanup(server.Close)
	f.services = append(f.services, node)
	return httpsource.Entry{
		Name: node.name, Role: source.RoleService, Address: server.Address(),
		FailureDomain: domain(number), Service: "booking",
	}
}

func newHost(t *testing.T, number int) *hostNode {
	return &hostNode{
		name:      fmt.Sprintf("host-%d", number),
		callers:   freeAddress(t),
		peers:     freeAddress(t),
		operators: freeAddress(t),
		exited:    make(chan struct{}),
	}
}

// freeAddress returns an address that nothing listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := testport.Address()
	assert.NilError(t, err)
	return address
}

func (f *fleet) startHost(t *testing.T, host *hostNode, failureDomain string) {
	path := filepath.Join(f.directory, host.name+".toml")
	text := fmt.Sprintf(`[host]
name = %q
failure_domain = %q

[listen]
callers = %q
peers = %q
operators = %q

[platform]
config = [%q]
host_list = [%q]
`, host.name, failureDomain, host.callers, host.peers, host.operators, f.address, f.address)
	const fileMode = 0o600
	assert.NilError(t, os.WriteFile(path, []byte(text), fileMode))
	log, err := os.Create(filepath.Join(f.directory, host.name+".log"))
	assert.NilError(t, err)
	binary, err := os.Executable()
	assert.NilError(t, err)
	host.command = testproc.Command(binary, "--settings", path)
	host.command.Env = append(os.Environ(), daemonVariable+"=1")
	host.command.Stdout = log
	host.command.Stderr = log
	assert.NilError(t, host.command.Start())
	go func() {
		_ = host.command.Wait()
		_ = log.Close()
		close(host.exited)
	}()
	t.Cleanup(func() {
		host.kill()
		if t.Failed() {
			t.Logf("last log lines of %s:\n%s", host.name, lastLines(log.Name()))
		}
	})
}

// lastLines returns the end of a log file.
func lastLines(path string) string {
	const shown = 2 << 10
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-shown):])
}

// logOf returns the log lines of all hosts that name a request.
func (f *fleet) logOf(requestID string) string {
	if requestID == "" {
		return ""
	}
	var found strings.Builder
	for _, host := range f.hosts {
		data, err := os.ReadFile(filepath.Join(f.directory, host.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, requestID+".") || strings.Contains(line, requestID+`"`) {
				found.WriteString(line)
			}
		}
	}
	return found.String()
}

// kill ends the daemon at once and waits until it is gone.
func (h *hostNode) kill() {
	_ = h.command.Process.Kill()
	<-h.exited
}

func (h *hostNode) waitReady(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + h.operators + "/readyz")
		if err != nil {
			return poll.Continue("%s: %v", h.name, err)
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("%s: status %d: %s", h.name, resp.StatusCode, body)
		}
		return poll.Success()
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(readyTimeout))
}

func (f *fleet) hostAddresses() []string {
	addresses := make([]string, 0, len(f.hosts))
	for _, host := range f.hosts {
		addresses = append(addresses, host.callers)
	}
	return addresses
}

// runsOf returns the attempts of a request that engines accepted.
func (f *fleet) runsOf(requestID string) []enginestub.Run {
	var runs []enginestub.Run
	for _, engine := range f.engines {
		for _, run := range engine.stub.Runs() {
			if requestID != "" && strings.HasPrefix(run.Attempt, requestID+".") {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// waitMemoryFree waits until no engine holds memory.
func (f *fleet) waitMemoryFree(t *testing.T, within time.Duration) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, engine := range f.engines {
			if state := engine.stub.State(); state.UsedTokens != 0 {
				return poll.Continue("%s: %+v", engine.name, state)
			}
		}
		return poll.Success()
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(within))
}

var demoTeams = []load.Team{
	{Name: "pallets", Token: "demo-token-pallets"},
	{Name: "returns", Token: "demo-token-returns"},
	{Name: "resurfacing", Token: "demo-token-resurfacing"},
}

// runMix sends the requests of a workload to the hosts.
func (f *fleet) runMix(ctx context.Context, w *load.Workload, seed uint64) []load.Result {
	runner := &load.Runner{
		Workload: w,
		Seed:     seed,
		Model:    testModel,
		Teams:    load.AssignTeams(demoTeams, len(w.TeamWeights)),
		Hosts:    f.hostAddresses(),
		Caller:   f.caller,
	}
	return runner.Run(ctx, w.Arrivals(seed, 1))
}
