package ctl

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	operatorv1 "github.com/citronscale/citronscale/api/operator/v1"
)

const stateReady = "ready"

// statusCommand shows a summary of each host.
type statusCommand struct {
	app *app
}

// statusAnswer is the JSON output for one host, with an error if it did not answer.
type statusAnswer struct {
	Address string          `json:"address"`
	Error   string          `json:"error,omitempty"`
	Status  json.RawMessage `json:"status,omitempty"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	clients, err := c.app.hostClients()
	if err != nil {
		return err
	}
	t := newTable("ADDRESS", "HOST", "DOMAIN", "STATE", "REVISION", "REVISION AGE", "PEERS READY", "UPSTREAMS UP", "REQUESTS", "TOKENS", "STARTED")
	var answers []statusAnswer
	var failures []error
	healthy := true
	for _, h := range clients {
		s, err := call(c.app, h.client.Status, &operatorv1.StatusRequest{})
		if err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", h.address, err))
			answers = append(answers, statusAnswer{Address: h.address, Error: errorMessage(err)})
			t.add(h.address, "", "", "no answer", "", "", "", "", "", "", "")
			continue
		}
		healthy = healthy && s.GetState() == stateReady
		status, err := protoJSON(s)
		if err != nil {
			return err
		}
		answers = append(answers, statusAnswer{Address: h.address, Status: status})
		addStatus(t, h.address, s)
	}
	if len(failures) == len(clients) {
		return unreachableError(failures)
	}
	if err := c.app.write(answers, t); err != nil {
		return err
	}
	if !healthy || len(failures) > 0 {
		return errFaultShown
	}
	return nil
}

func addStatus(t *table, address string, s *operatorv1.StatusResponse) {
	t.add(
		address, s.GetHost(), s.GetFailureDomain(), s.GetState(),
		s.GetConfigRevision(), milliseconds(s.GetConfigAgeMs()).Round(time.Second),
		fmt.Sprintf("%d/%d", s.GetPeersReady(), s.GetPeersKnown()),
		fmt.Sprintf("%d/%d", s.GetUpstreamsUp(), s.GetUpstreamsKnown()),
		s.GetRequestsInFlight(), s.GetTokensInFlight(),
		time.UnixMilli(int64(s.GetStartedMs())).UTC().Format(time.RFC3339),
	)
}

// dumpCommand writes the state of all modules of one host as JSON.
type dumpCommand struct {
	app  *app
	Args struct {
		Host string `positional-arg-name:"HOST" description:"name of the host, or IP:port of its operator listener"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	h, err := c.find(c.Args.Host)
	if err != nil {
		return err
	}
	answer, err := call(c.app, h.client.Dump, &operatorv1.DumpRequest{})
	if err != nil {
		return unreachableError([]error{fmt.Errorf("%s: %w", h.address, err)})
	}
	return c.app.writeJSON(json.RawMessage(answer.GetJson()))
}

// find returns the client of the host with the given name or address.
func (c *dumpCommand) find(name string) (hostClient, error) {
	if _, err := netip.ParseAddrPort(name); err == nil {
		c.app.Hosts = []string{name}
	}
	clients, err := c.app.hostClients()
	if err != nil {
		return hostClient{}, err
	}
	if len(clients) == 1 && clients[0].address == name {
		return clients[0], nil
	}
	var failures []error
	for _, h := range clients {
		status, err := call(c.app, h.client.Status, &operatorv1.StatusRequest{})
		if err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", h.address, err))
			continue
		}
		if status.GetHost() == name {
			return h, nil
		}
	}
	if len(failures) > 0 {
		return hostClient{}, unreachableError(failures)
	}
	return hostClient{}, notFound("none of the addresses given with --host belongs to %q", name)
}

// hostsCommand shows the membership as one host sees it.
type hostsCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *hostsCommand) Execute([]string) error {
	answer, err := firstResponse(c.app, func(h hostClient) (*operatorv1.HostsResponse, error) {
		return call(c.app, h.client.Hosts, &operatorv1.HostsRequest{})
	})
	if err != nil {
		return err
	}
	t := newTable("HOST", "DOMAIN", "STATE", "PEER ADDRESS", "REVISION", "HEARD AGO")
	for _, row := range answer.GetHosts() {
		t.add(row.GetHost(), row.GetFailureDomain(), row.GetState(), row.GetPeerAddress(), row.GetConfigRevision(), milliseconds(row.GetHeardMsAgo()))
	}
	return c.app.writeMessage(answer, t)
}

// upstreamsCommand shows the engines and plain services as one host sees them.
type upstreamsCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *upstreamsCommand) Execute([]string) error {
	answer, err := firstResponse(c.app, func(h hostClient) (*operatorv1.UpstreamsResponse, error) {
		return call(c.app, h.client.Upstreams, &operatorv1.UpstreamsRequest{})
	})
	if err != nil {
		return err
	}
	t := newTable("UPSTREAM", "KIND", "MODEL", "DOMAIN", "STATE", "OWNER", "TOKENS USED", "LEASED", "CAPACITY", "FENCE", "REPORT AGE")
	for _, u := range answer.GetUpstreams() {
		t.add(u.GetUpstream(), u.GetKind(), u.GetModel(), u.GetFailureDomain(), u.GetState(), u.GetOwner(),
			u.GetUsedTokens(), u.GetLeasedTokens(), u.GetCapacityTokens(), u.GetFence(), milliseconds(u.GetReportAgeMs()))
	}
	return c.app.writeMessage(answer, t)
}
