package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	operatorv1 "github.com/citronscale/citronscale/api/operator/v1"
	"github.com/citronscale/citronscale/api/operator/v1/operatorv1connect"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/record"
)

var request = ident.Request{Host: "host-1", Incarnation: 77, Sequence: 5}

// fakeHost implements the operator service with fixed responses.
type fakeHost struct {
	operatorv1connect.UnimplementedOperatorServiceHandler
	name, state, verdict string
}

func (f *fakeHost) Status(context.Context, *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	return connect.NewResponse(&operatorv1.StatusResponse{Host: f.name, State: f.state, FailureDomain: "south-1", ConfigRevision: 42, PeersReady: 2, PeersKnown: 3}), nil
}

func (f *fakeHost) Dump(context.Context, *connect.Request[operatorv1.DumpRequest]) (*connect.Response[operatorv1.DumpResponse], error) {
	return connect.NewResponse(&operatorv1.DumpResponse{Json: []byte(`{"host":"` + f.name + `"}`)}), nil
}

func (f *fakeHost) Trace(context.Context, *connect.Request[operatorv1.TraceRequest]) (*connect.Response[operatorv1.TraceResponse], error) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	entries, err := json.Marshal([]record.Entry{
		{Request: request, Time: start.Add(1500 * time.Millisecond), Kind: record.Broken, Attempt: 1, Upstream: "engine-4", Code: code.UpstreamLost, Detail: "reset"},
		{Request: request, Time: start, Kind: record.Admitted, Team: "depot"},
	})
	return connect.NewResponse(&operatorv1.TraceResponse{Verdict: f.verdict, Hosts: []*operatorv1.HostTrace{
		{Host: "host-2", Answer: "unreachable"},
		{Host: "host-1", Answer: "found", Entries: entries},
	}}), err
}

func (f *fakeHost) Hosts(context.Context, *connect.Request[operatorv1.HostsRequest]) (*connect.Response[operatorv1.HostsResponse], error) {
	return connect.NewResponse(&operatorv1.HostsResponse{Hosts: []*operatorv1.HostRow{{Host: "host-2", State: "suspect", HeardMsAgo: 2500}}}), nil
}

func (f *fakeHost) Upstreams(context.Context, *connect.Request[operatorv1.UpstreamsRequest]) (*connect.Response[operatorv1.UpstreamsResponse], error) {
	return connect.NewResponse(&operatorv1.UpstreamsResponse{Upstreams: []*operatorv1.UpstreamRow{{Upstream: "engine-4", Kind: "engine", Owner: "host-2", Fence: 42}}}), nil
}

func (f *fakeHost) Config(_ context.Context, r *connect.Request[operatorv1.ConfigRequest]) (*connect.Response[operatorv1.ConfigResponse], error) {
	response := &operatorv1.ConfigResponse{Revision: 42}
	if field := r.Msg.GetField(); field == "" || field == "weight" {
		response.Rows = []*operatorv1.ConfigRow{{Scope: "team:depot", Field: "weight", Value: "3", Origin: "exception", Reason: "month end ledgers"}}
	}
	return connect.NewResponse(response), nil
}

// serve starts a fake host and returns the address of its operator listener.
func serve(t *testing.T, f *fakeHost) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(f))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// closedAddress returns an address without a listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

// run runs citronctl and returns its exit code and output.
func run(args ...string) (exit int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	exit = Main(args, &stdout, &stderr)
	return exit, stdout.String(), stderr.String()
}

func TestCommandsAgainstAHost(t *testing.T) {
	ready := serve(t, &fakeHost{name: "host-1", state: "ready", verdict: "ran"})
	leaving := serve(t, &fakeHost{name: "host-2", state: "leaving", verdict: "unknown"})
	closed := closedAddress(t)
	id := request.String()
	cases := []struct {
		name string
		args []string
		exit int
		want []string // in this order on standard output, then on standard error
	}{
		{"status", []string{"--host", ready, "status"}, ExitOK, []string{"STATE", "host-1", "south-1", "ready", "42", "2/3"}},
		{"status of a leaving host", []string{"--host", ready, "--host", leaving, "status"}, ExitFault, []string{"ready", "host-2", "leaving"}},
		{"status with an unreachable host", []string{"--host", closed, "--host", ready, "status"}, ExitFault, []string{"no answer", "host-1"}},
		{"status as JSON", []string{"--host", closed, "--host", ready, "--json", "status"}, ExitFault, []string{`"error"`, `"failure_domain": "south-1"`}},
		{"status without a reachable host", []string{"--host", closed, "status"}, ExitUnreachable, []string{"1905 NoHostReachable", closed}},
		{"hosts from the second host", []string{"--host", closed, "--host", ready, "hosts"}, ExitOK, []string{"host-2", "suspect", "2.5s"}},
		{"hosts without a reachable host", []string{"--host", closed, "hosts"}, ExitUnreachable, []string{"1905"}},
		{"upstreams", []string{"--host", ready, "upstreams"}, ExitOK, []string{"engine-4", "engine", "host-2", "42"}},
		{"upstreams as JSON", []string{"--host", ready, "--json", "upstreams"}, ExitOK, []string{`"upstream": "engine-4"`, `"used_tokens": "0"`}},
		{"dump by name", []string{"--host", ready, "--host", leaving, "dump", "host-2"}, ExitOK, []string{`"host": "host-2"`}},
		{"dump by address", []string{"dump", ready}, ExitOK, []string{`"host": "host-1"`}},
		{"dump of an unknown host", []string{"--host", ready, "dump", "host-9"}, ExitNotFound, []string{"1025 NotFound", "host-9"}},
		{"dump of an unknown host with one unreachable", []string{"--host", ready, "--host", closed, "dump", "host-9"}, ExitUnreachable, []string{"1905"}},
		{"trace", []string{"--host", ready, "trace", id}, ExitOK, []string{
			"request " + id + " of team depot: ran", "host-1", "found", "host-2", "unreachable", "admitted", "1.5s", "broken", "engine-4", "2001 UpstreamLost", "reset",
		}},
		{"trace as JSON", []string{"--host", ready, "--json", "trace", id}, ExitOK, []string{`"verdict": "ran"`, `"code_name": "UpstreamLost"`}},
		{"trace with unknown verdict", []string{"--host", leaving, "trace", id}, ExitNotFound, []string{": unknown", "is unknown; look"}},
		{"trace of an invalid identifier", []string{"trace", "nonsense"}, ExitUsage, []string{"1903 UsageInvalid", "nonsense"}},
		{"config show", []string{"--host", ready, "config", "show"}, ExitOK, []string{"revision 42", "team:depot", "weight", "3", "exception", "month end ledgers"}},
		{"config show of a field", []string{"--host", ready, "config", "show", "weight"}, ExitOK, []string{"weight"}},
		{"config show of an unknown field", []string{"--host", ready, "config", "show", "colour"}, ExitNotFound, []string{`no field "colour"`}},
		{"host name instead of an address", []string{"--host", "localhost:1", "status"}, ExitUsage, []string{`--host "localhost:1" is not IP:port`}},
		{"incomplete TLS options", []string{"--key", "a.pem", "status"}, ExitUsage, []string{"belong together"}},
		{"unknown command", []string{"explode"}, ExitUsage, []string{"1903 UsageInvalid"}},
		{"no command", nil, ExitUsage, []string{"1903 UsageInvalid"}},
		{"unknown code", []string{"codes", "9999"}, ExitNotFound, []string{"9999"}},
		{"unknown event", []string{"events", "9999"}, ExitNotFound, []string{"9999"}},
		{"code by name", []string{"codes", "NoCapacity"}, ExitOK, []string{"1010", "not run", "503"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			exit, out, errOut := run(c.args...)
			assert.Equal(t, exit, c.exit, "%s%s", out, errOut)
			rest := out + errOut
			for _, want := range c.want {
				_, after, found := strings.Cut(rest, want)
				assert.Assert(t, found, "%q is not in order in\n%s%s", want, out, errOut)
				rest = after
			}
		})
	}
}

func TestRejectionByAHostEndsTheSearch(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(operatorv1connect.UnimplementedOperatorServiceHandler{}))
	server := httptest.NewServer(mux)
	defer server.Close()
	ready := serve(t, &fakeHost{name: "host-1", state: "ready"})
	exit, _, errOut := run("--host", strings.TrimPrefix(server.URL, "http://"), "--host", ready, "hosts")
	assert.Equal(t, exit, ExitFault)
	assert.Assert(t, strings.Contains(errOut, "unimplemented"), errOut)
}

func TestConfigCheckNamesLineFieldAndValue(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	document := "format = 1\n[defaults]\nshort_share = 7\ntea_time = 5\n"
	assert.NilError(t, os.WriteFile(path, []byte(document), 0o600))
	exit, out, _ := run("config", "check", path)
	assert.Equal(t, exit, ExitFault)
	assert.Assert(t, strings.Contains(out, path+":3: defaults.short_share = 7: "), out)
	assert.Assert(t, strings.Contains(out, path+":4: defaults.tea_time = 5: "), out)

	exit, out, _ = run("--json", "config", "check", path)
	assert.Equal(t, exit, ExitFault)
	var result checkResult
	assert.NilError(t, json.Unmarshal([]byte(out), &result))
	assert.Equal(t, result.Faults[0].Line, 3)
	assert.Equal(t, result.Faults[0].Field, "defaults.short_share")
	assert.Equal(t, result.Faults[0].Value, "7")

	assert.NilError(t, os.WriteFile(path, []byte("format = 1\n"), 0o600))
	exit, out, _ = run("config", "check", path)
	assert.Equal(t, exit, ExitOK, out)
	exit, _, errOut := run("config", "check", path+".none")
	assert.Equal(t, exit, ExitUsage, errOut)
}

func TestCataloguesListAllCodesAndEvents(t *testing.T) {
	_, out, _ := run("--json", "codes")
	var codes []codeRow
	assert.NilError(t, json.Unmarshal([]byte(out), &codes))
	assert.Equal(t, len(codes), len(code.Table()))
	_, out, _ = run("--json", "events")
	var events []eventRow
	assert.NilError(t, json.Unmarshal([]byte(out), &events))
	assert.Equal(t, len(events), len(event.Catalogue()))
}

func TestHelpOfEachCommandHasAnExample(t *testing.T) {
	commands := [][]string{{"config", "check"}, {"config", "show"}}
	for _, c := range new(app).commands() {
		commands = append(commands, []string{c.name})
	}
	for _, command := range commands {
		exit, out, errOut := run(append(command, "--help")...)
		assert.Equal(t, exit, ExitOK, errOut)
		assert.Assert(t, strings.Contains(out, "\nExample: citronctl "), out)
	}
}

func TestUnreachableHostIsNoRejection(t *testing.T) {
	assert.Assert(t, !rejected(connect.NewError(connect.CodeUnavailable, errors.New("down"))))
	assert.Assert(t, rejected(connect.NewError(connect.CodeInvalidArgument, errors.New("bad"))))
}
