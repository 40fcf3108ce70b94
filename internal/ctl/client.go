package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"

	"connectrpc.com/connect"

	"github.com/citronscale/citronscale/api/operator/v1/operatorv1connect"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/tlsfiles"
)

// hostClient is a client of one host given with --host.
type hostClient struct {
	address string
	client  operatorv1connect.OperatorServiceClient
}

// hostClients returns a client for each host given with --host.
func (a *app) hostClients() ([]hostClient, error) {
	transport, scheme, err := a.transport()
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: transport}
	list := make([]hostClient, 0, len(a.Hosts))
	for _, address := range a.Hosts {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, code.New(code.UsageInvalid, "--host %q is not IP:port", address)
		}
		service := operatorv1connect.NewOperatorServiceClient(client, scheme+"://"+address)
		list = append(list, hostClient{address: address, client: service})
	}
	return list, nil
}

func (a *app) transport() (*http.Transport, string, error) {
	if a.Certificate == "" && a.Key == "" && a.CA == "" {
		return &http.Transport{}, "http", nil
	}
	if a.Certificate == "" || a.Key == "" || a.CA == "" {
		return nil, "", code.New(code.UsageInvalid, "--certificate, --key and --ca belong together")
	}
	pair, err := tlsfiles.Open(tlsfiles.Files{Certificate: a.Certificate, Key: a.Key, CA: a.CA}, tlsfiles.Options{})
	if err != nil {
		return nil, "", code.Wrap(err, code.UsageInvalid)
	}
	return &http.Transport{TLSClientConfig: pair.ClientConfig(), ForceAttemptHTTP2: true}, "https", nil
}

// call sends a request to one host and waits for at most the --timeout option.
func call[Q, A any](a *app, method func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), request *Q) (*A, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	response, err := method(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// firstResponse queries the hosts in the order given and returns the first
// response. It stops at a host that rejects the request, since the others would
// reject it too.
func firstResponse[A any](a *app, query func(hostClient) (*A, error)) (*A, error) {
	clients, err := a.hostClients()
	if err != nil {
		return nil, err
	}
	var failures []error
	for _, h := range clients {
		answer, err := query(h)
		if err == nil {
			return answer, nil
		}
		if rejected(err) {
			return nil, fmt.Errorf("host at %s: %w", h.address, err)
		}
		failures = append(failures, fmt.Errorf("%s: %w", h.address, err))
	}
	return nil, unreachableError(failures)
}

// rejected reports whether the host rejected the request, as opposed to being
// unreachable or timing out.
func rejected(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeUnknown:
		return false
	default:
		return true
	}
}

func unreachableError(failures []error) error {
	lines := make([]string, 0, len(failures))
	for _, err := range failures {
		lines = append(lines, err.Error())
	}
	return code.New(code.NoHostReachable, "no host answered:\n  %s", strings.Join(lines, "\n  "))
}

// errorMessage returns the message of err without the Connect code that precedes it.
func errorMessage(err error) string {
	var remote *connect.Error
	if errors.As(err, &remote) {
		return remote.Message()
	}
	return err.Error()
}
