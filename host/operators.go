package host

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"connectrpc.com/connect"

	operatorv1 "github.com/citronscale/citronscale/api/operator/v1"
	"github.com/citronscale/citronscale/api/operator/v1/operatorv1connect"
	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/membership"
	"github.com/citronscale/citronscale/record"
	"github.com/citronscale/citronscale/upstream"
)

// operatorHandler returns the handler of the operator listener.
func (h *Host) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(&operatorService{host: h}))
	mux.Handle("GET /metrics", h.metrics.Handler())
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", h.serveReady)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	return mux
}

// serveReady answers the readiness check of the balancer. A leaving host is not
// ready from the start of the stop, although it admits requests during its
// grace period.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := h.lifecycle.state()
	if state != chart.ProcessReady {
		http.Error(w, string(state), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// operatorService implements operatorv1connect.OperatorServiceHandler.
type operatorService struct {
	host *Host
}

// Status implements operatorv1connect.OperatorServiceHandler.
func (s *operatorService) Status(context.Context, *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	h := s.host
	requests, tokens := h.lifecycle.inFlight()
	known, up := h.countUpstreams()
	peers := h.agreement.members()
	status := &operatorv1.StatusResponse{
		Host: string(h.self), Incarnation: uint64(h.incarnation), FailureDomain: h.settings.Host.FailureDomain,
		State: string(h.lifecycle.state()), ConfigRevision: h.agreement.revision(),
		ConfigAgeMs: uint64(h.agreement.age(time.Now()).Milliseconds()),
		PeersKnown:  uint32(len(peers)), PeersReady: uint32(countReady(peers)),
		UpstreamsKnown: uint32(known), UpstreamsUp: uint32(up),
		RequestsInFlight: uint32(requests), TokensInFlight: tokens,
		StartedMs: uint64(time.Unix(0, int64(h.incarnation)).UnixMilli()),
	}
	return connect.NewResponse(status), nil
}

// Dump implements operatorv1connect.OperatorServiceHandler.
func (s *operatorService) Dump(context.Context, *connect.Request[operatorv1.DumpRequest]) (*connect.Response[operatorv1.DumpResponse], error) {
	data, err := json.Marshal(s.host.dump(time.Now()))
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&operatorv1.DumpResponse{Json: data}), nil
}

// Trace implements operatorv1connect.OperatorServiceHandler.
func (s *operatorService) Trace(ctx context.Context, r *connect.Request[operatorv1.TraceRequest]) (*connect.Response[operatorv1.TraceResponse], error) {
	request, err := ident.ParseRequest(r.Msg.GetRequestId())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, code.Wrap(err, code.BadRequest))
	}
	answers, unreachable := s.host.collectTrace(ctx, request)
	response := &operatorv1.TraceResponse{Verdict: string(record.Judge(request, answers).Outcome)}
	for _, answer := range answers {
		entries, err := json.Marshal(answer.Entries)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		response.Hosts = append(response.Hosts, &operatorv1.HostTrace{Host: string(answer.Host), Answer: string(answer.Result), Entries: entries})
	}
	for _, host := range unreachable {
		response.Hosts = append(response.Hosts, &operatorv1.HostTrace{Host: string(host), Answer: "unreachable"})
	}
	return connect.NewResponse(response), nil
}

// Hosts implements operatorv1connect.OperatorServiceHandler.
func (s *operatorService) Hosts(context.Context, *connect.Request[operatorv1.HostsRequest]) (*connect.Response[operatorv1.HostsResponse], error) {
	now := time.Now()
	response := &operatorv1.HostsResponse{}
	for _, m := range s.host.agreement.members() {
		response.Hosts = append(response.Hosts, &operatorv1.HostRow{
			Host: string(m.Host), Incarnation: uint64(m.Incarnation), FailureDomain: m.FailureDomain,
			State: stateName(m.State), PeerAddress: m.PeerAddress, ConfigRevision: m.ConfigRevision,
			HeardMsAgo: uint64(sinceLastMessage(now, &m).Milliseconds()),
		})
	}
	return connect.NewResponse(response), nil
}

// Upstreams implements operatorv1connect.OperatorServiceHandler.
func (s *operatorService) Upstreams(context.Context, *connect.Request[operatorv1.UpstreamsRequest]) (*connect.Response[operatorv1.UpstreamsResponse], error) {
	now := time.Now()
	response := &operatorv1.UpstreamsResponse{}
	for _, u := range s.host.directory.All() {
		row := &operatorv1.UpstreamRow{
			Upstream: string(u.Info.Name), Kind: u.Info.Kind.String(), Model: u.Info.Model,
			FailureDomain: u.Info.FailureDomain, State: string(u.State),
		}
		if u.Info.Kind == upstream.KindEngine {
			row.Owner = string(s.host.agreement.owner(u.Info.Name))
			row.LeasedTokens = s.host.placement.leasedTokens(u.Info.Name)
		}
		if u.Report != nil {
			row.CapacityTokens = u.Report.CapacityTokens
			row.UsedTokens = u.Report.UsedTokens
			row.Fence = u.Report.Fence
			row.ReportAgeMs = uint64(now.Sub(u.ReportAt).Milliseconds())
		}
		response.Upstreams = append(response.Upstreams, row)
	}
	return connect.NewResponse(response), nil
}

// Config implements operatorv1connect.OperatorServiceHandler.
func (s *operatorService) Config(_ context.Context, r *connect.Request[operatorv1.ConfigRequest]) (*connect.Response[operatorv1.ConfigResponse], error) {
	cfg, ok := s.host.agreement.config()
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, code.New(code.HostNotReady, "no configuration in force"))
	}
	response := &operatorv1.ConfigResponse{Revision: cfg.Revision}
	for _, v := range cfg.Explain() {
		if r.Msg.GetField() != "" && r.Msg.GetField() != v.Field {
			continue
		}
		response.Rows = append(response.Rows, &operatorv1.ConfigRow{Scope: v.Scope, Field: v.Field, Value: v.Value, Origin: v.Origin, Reason: v.Reason})
	}
	return connect.NewResponse(response), nil
}

// countUpstreams returns how many upstreams are known and how many can get new
// work.
func (h *Host) countUpstreams() (known, up int) {
	for _, u := range h.directory.All() {
		known++
		if u.Usable() {
			up++
		}
	}
	return known, up
}

// sinceLastMessage returns the time since the last message of a member. It is
// zero for the host itself and for a peer whose last message is dated in the
// future.
func sinceLastMessage(now time.Time, m *membership.Member) time.Duration {
	if m.Self {
		return 0
	}
	return max(now.Sub(m.LastContactAt), 0)
}

// countReady returns the number of members that are ready.
func countReady(members []membership.Member) int {
	ready := 0
	for _, m := range members {
		if m.State == membership.Ready {
			ready++
		}
	}
	return ready
}

// stateName returns the name of a host state in operator responses.
func stateName(state membership.State) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "HOST_STATE_"))
}
