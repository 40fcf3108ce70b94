package host

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/api/peer/v1/peerv1connect"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/keyed"
	"github.com/citronscale/citronscale/record"
)

const traceTimeout = 2 * time.Second // for the hosts to answer a trace

// peerHandler returns the handler of the peer listener.
func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(&peerService{host: h}, connect.WithReadMaxBytes(maxPeerMessage)))
	return mux
}

// peerService implements peerv1connect.PeerServiceHandler.
type peerService struct {
	host *Host
}

// Heartbeat implements peerv1connect.PeerServiceHandler.
func (s *peerService) Heartbeat(ctx context.Context, r *connect.Request[peerv1.HeartbeatRequest]) (*connect.Response[peerv1.HeartbeatResponse], error) {
	return connect.NewResponse(s.host.receiveHeartbeat(ctx, r.Msg)), nil
}

// FetchConfig implements peerv1connect.PeerServiceHandler.
func (s *peerService) FetchConfig(_ context.Context, r *connect.Request[peerv1.FetchConfigRequest]) (*connect.Response[peerv1.FetchConfigResponse], error) {
	response, ok := s.host.agreement.fetchResponse(r.Msg)
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, code.New(code.HostNotReady, "no configuration in force"))
	}
	return connect.NewResponse(response), nil
}

// FetchHosts implements peerv1connect.PeerServiceHandler.
func (s *peerService) FetchHosts(context.Context, *connect.Request[peerv1.FetchHostsRequest]) (*connect.Response[peerv1.FetchHostsResponse], error) {
	response, ok := s.host.hosts.response(time.Now())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, code.New(code.HostNotReady, "no host list was read"))
	}
	return connect.NewResponse(response), nil
}

// Lease implements peerv1connect.PeerServiceHandler.
func (s *peerService) Lease(ctx context.Context, r *connect.Request[peerv1.LeaseRequest]) (*connect.Response[peerv1.LeaseResponse], error) {
	return connect.NewResponse(s.host.handleLease(ctx, r.Msg)), nil
}

// ForwardKeyed implements peerv1connect.PeerServiceHandler.
func (s *peerService) ForwardKeyed(ctx context.Context, r *connect.Request[peerv1.ForwardKeyedRequest]) (*connect.Response[peerv1.ForwardKeyedResponse], error) {
	response, err := s.host.receiveKeyed(ctx, r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(response), nil
}

// Trace implements peerv1connect.PeerServiceHandler.
func (s *peerService) Trace(_ context.Context, r *connect.Request[peerv1.TraceRequest]) (*connect.Response[peerv1.TraceResponse], error) {
	request, err := ident.ParseRequest(r.Msg.GetRequestId())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, code.Wrap(err, code.BadRequest))
	}
	answer := s.host.records.lookup(request)
	data, err := json.Marshal(answer)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peerv1.TraceResponse{
		Host: string(answer.Host), Incarnation: uint64(answer.Incarnation), Entries: data,
		Found: answer.Result == record.Found, Forgotten: answer.Result == record.Forgotten,
	}), nil
}

// peer returns the client of another host.
func (h *Host) peer(host ident.Host) (peerv1connect.PeerServiceClient, error) {
	member, ok := h.agreement.member(host)
	if !ok || member.PeerAddress == "" {
		return nil, fmt.Errorf("host %q is not known", host)
	}
	return h.peers.clientFor(member.PeerAddress), nil
}

// forwardKeyed forwards a call to the host that issued its key. If that host
// can't be reached, the outcome is unknown, because it may have run an earlier
// copy.
func (h *Host) forwardKeyed(ctx context.Context, call *gateway.ServiceCall, route keyed.Route) (*gateway.ServiceAnswer, error) {
	member, ok := h.agreement.member(route.Host)
	if !ok || member.Incarnation != route.Incarnation {
		return nil, code.New(code.KeyIssuerLost, "host %q, which issued the key, has left or was restarted", route.Host)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	h.records.add(record.Entry{Request: call.Request, Kind: record.Forwarded, Team: call.Team, Peer: route.Host})
	response, err := h.peers.clientFor(member.PeerAddress).ForwardKeyed(ctx, connect.NewRequest(forwardRequest(call)))
	if err != nil {
		return nil, code.Wrap(fmt.Errorf("host %q, which issued the key, can't be reached: %w", route.Host, err), code.KeyIssuerLost)
	}
	return forwardAnswer(response.Msg)
}

func forwardRequest(call *gateway.ServiceCall) *peerv1.ForwardKeyedRequest {
	return &peerv1.ForwardKeyedRequest{
		RequestId: call.Request.String(), Team: call.Team, Key: call.Key, Service: call.Service,
		Method: call.Method, Path: call.Path, Headers: headerFields(call.Header), Body: call.Body,
		DeadlineMs: uint64(call.Deadline.UnixMilli()),
	}
}

func forwardAnswer(m *peerv1.ForwardKeyedResponse) (*gateway.ServiceAnswer, error) {
	if m.GetCode() != 0 {
		return nil, code.New(code.Code(m.GetCode()), "%s", m.GetDetail())
	}
	return &gateway.ServiceAnswer{
		Status: int(m.GetStatus()), Header: headerOf(m.GetHeaders()), Body: m.GetBody(),
		Replayed: m.GetReplayed(), RanAs: m.GetRanAs(), Upstream: m.GetUpstream(),
	}, nil
}

// receiveKeyed runs a call that another host forwarded.
func (h *Host) receiveKeyed(ctx context.Context, m *peerv1.ForwardKeyedRequest) (*peerv1.ForwardKeyedResponse, error) {
	request, err := ident.ParseRequest(m.GetRequestId())
	if err != nil {
		return nil, code.Wrap(err, code.BadRequest)
	}
	call := &gateway.ServiceCall{
		Request: request, Team: m.GetTeam(), Service: m.GetService(), Method: m.GetMethod(), Path: m.GetPath(),
		Header: headerOf(m.GetHeaders()), Body: m.GetBody(), Key: m.GetKey(), Deadline: time.UnixMilli(int64(m.GetDeadlineMs())),
	}
	h.records.add(record.Entry{Request: request, Kind: record.Received, Team: call.Team, Peer: request.Host})
	answer, err := h.runReceived(ctx, call)
	h.records.add(record.Entry{Request: request, Kind: record.Finished, Team: call.Team, Code: code.Of(err), Detail: detailOf(err)})
	if err != nil {
		return &peerv1.ForwardKeyedResponse{Code: uint32(code.Of(err)), Detail: err.Error()}, nil
	}
	return &peerv1.ForwardKeyedResponse{
		Status: uint32(answer.Status), Headers: headerFields(answer.Header), Body: answer.Body,
		Replayed: answer.Replayed, RanAs: answer.RanAs, Upstream: answer.Upstream,
	}, nil
}

// runReceived runs or replays a forwarded call. A leaving host still runs calls
// with its own keys, because no other host may.
func (h *Host) runReceived(ctx context.Context, call *gateway.ServiceCall) (*gateway.ServiceAnswer, error) {
	if _, err := h.serviceConfig(call.Service); err != nil {
		return nil, err
	}
	route, err := h.issuer.route(call.Key)
	if err != nil {
		return nil, err
	}
	if !route.Own {
		return nil, code.New(code.KeyNotIssued, "the key was issued by host %q but the call was forwarded to %q", route.Host, h.self)
	}
	if err := h.lifecycle.beginForwarded(h.settings.Limits.MaxInFlight); err != nil {
		return nil, err
	}
	defer h.lifecycle.end()
	return h.runKeyed(ctx, call)
}

func headerFields(header http.Header) []*peerv1.HeaderField {
	var fields []*peerv1.HeaderField
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, &peerv1.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

func headerOf(fields []*peerv1.HeaderField) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header.Add(field.GetName(), field.GetValue())
	}
	return header
}

// collectTrace reads the records of a request from all hosts. Unreachable lists
// the hosts that did not answer.
func (h *Host) collectTrace(ctx context.Context, request ident.Request) (answers []record.Answer, unreachable []ident.Host) {
	ctx, cancel := context.WithTimeout(ctx, traceTimeout)
	defer cancel()
	answers = []record.Answer{h.records.lookup(request)}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, member := range h.agreement.members() {
		if member.Self {
			continue
		}
		group.Go(func() {
			answer, err := h.fetchTrace(ctx, member.PeerAddress, request)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, member.Host)
				return
			}
			answers = append(answers, *answer)
		})
	}
	group.Wait()
	return answers, unreachable
}

func (h *Host) fetchTrace(ctx context.Context, address string, request ident.Request) (*record.Answer, error) {
	response, err := h.peers.clientFor(address).Trace(ctx, connect.NewRequest(&peerv1.TraceRequest{RequestId: request.String()}))
	if err != nil {
		return nil, err
	}
	var answer record.Answer
	if err := json.Unmarshal(response.Msg.GetEntries(), &answer); err != nil {
		return nil, fmt.Errorf("decode the trace answer of %s: %w", address, err)
	}
	return &answer, nil
}
