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

// node is one host that the operator named.
type node struct {
	address string
	client  operatorv1connect.OperatorServiceClient
}

// nodes returns clients of all hosts that the operator named.
func (a *app) nodes() ([]node, error) {
	transport, scheme, err := a.transport()
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: transport}
	list := make([]node, 0, len(a.Hosts))
	for _, address := range a.Hosts {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, code.New(code.UsageInvalid, "--host %q is not IP:port", address)
		}
		service := operatorv1connect.NewOperatorServiceClient(client, scheme+"://"+address)
		list = append(list, node{address: address, client: service})
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

// call asks one host within the timeout.
func call[Q, A any](a *app, method func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), request *Q) (*A, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	response, err := method(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// first asks the hosts in the order given until one answers. A host that
// refuses the question ends the search, since the others would refuse it too.
func first[A any](a *app, ask func(node) (*A, error)) (*A, error) {
	nodes, err := a.nodes()
	if err != nil {
		return nil, err
	}
	var silent []error
	for _, n := range nodes {
		answer, err := ask(n)
		if err == nil {
			return answer, nil
		}
		if refused(err) {
			return nil, fmt.Errorf("host at %s: %w", n.address, err)
		}
		silent = append(silent, fmt.Errorf("%s: %w", n.address, err))
	}
	return nil, unreachable(silent)
}

// refused reports whether a host answered with a refusal.
func refused(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeUnknown:
		return false
	default:
		return true
	}
}

func unreachable(silent []error) error {
	lines := make([]string, 0, len(silent))
	for _, err := range silent {
		lines = append(lines, err.Error())
	}
	return code.New(code.NoHostReachable, "no host answered:\n  %s", strings.Join(lines, "\n  "))
}

// plain returns the message of err without the prefix of its connect code.
func plain(err error) string {
	var remote *connect.Error
	if errors.As(err, &remote) {
		return remote.Message()
	}
	return err.Error()
}
