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

// statusAnswer is the JSON form of what one host answered.
type statusAnswer struct {
	Address string          `json:"address"`
	Error   string          `json:"error,omitempty"`
	Status  json.RawMessage `json:"status,omitempty"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	nodes, err := c.app.nodes()
	if err != nil {
		return err
	}
	t := newTable("ADDRESS", "HOST", "DOMAIN", "STATE", "REVISION", "REVISION AGE", "PEERS READY", "UPSTREAMS UP", "REQUESTS", "TOKENS", "STARTED")
	var answers []statusAnswer
	var silent []error
	healthy := true
	for _, n := range nodes {
		s, err := call(c.app, n.client.Status, &operatorv1.StatusRequest{})
		if err != nil {
			silent = append(silent, fmt.Errorf("%s: %w", n.address, err))
			answers = append(answers, statusAnswer{Address: n.address, Error: plain(err)})
			t.add(n.address, "", "", "no answer", "", "", "", "", "", "", "")
			continue
		}
		healthy = healthy && s.GetState() == stateReady
		status, err := raw(s)
		if err != nil {
			return err
		}
		answers = append(answers, statusAnswer{Address: n.address, Status: status})
		addStatus(t, n.address, s)
	}
	if len(silent) == len(nodes) {
		return unreachable(silent)
	}
	if err := c.app.write(answers, t); err != nil {
		return err
	}
	if !healthy || len(silent) > 0 {
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

// dumpCommand writes the state of one host.
type dumpCommand struct {
	app  *app
	Args struct {
		Host string `positional-arg-name:"HOST" description:"name of the host, or IP:port of its operator listener"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	n, err := c.find(c.Args.Host)
	if err != nil {
		return err
	}
	answer, err := call(c.app, n.client.Dump, &operatorv1.DumpRequest{})
	if err != nil {
		return unreachable([]error{fmt.Errorf("%s: %w", n.address, err)})
	}
	return c.app.writeJSON(json.RawMessage(answer.GetJson()))
}

// find returns the host with the name or the address.
func (c *dumpCommand) find(name string) (node, error) {
	if _, err := netip.ParseAddrPort(name); err == nil {
		c.app.Hosts = []string{name}
	}
	nodes, err := c.app.nodes()
	if err != nil {
		return node{}, err
	}
	if len(nodes) == 1 && nodes[0].address == name {
		return nodes[0], nil
	}
	var silent []error
	for _, n := range nodes {
		status, err := call(c.app, n.client.Status, &operatorv1.StatusRequest{})
		if err != nil {
			silent = append(silent, fmt.Errorf("%s: %w", n.address, err))
			continue
		}
		if status.GetHost() == name {
			return n, nil
		}
	}
	if len(silent) > 0 {
		return node{}, unreachable(silent)
	}
	return node{}, notFound("none of the addresses given with --host belongs to %q", name)
}

// hostsCommand shows the membership.
type hostsCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *hostsCommand) Execute([]string) error {
	answer, err := first(c.app, func(n node) (*operatorv1.HostsResponse, error) {
		return call(c.app, n.client.Hosts, &operatorv1.HostsRequest{})
	})
	if err != nil {
		return err
	}
	t := newTable("HOST", "DOMAIN", "STATE", "PEER ADDRESS", "REVISION", "HEARD AGO")
	for _, h := range answer.GetHosts() {
		t.add(h.GetHost(), h.GetFailureDomain(), h.GetState(), h.GetPeerAddress(), h.GetConfigRevision(), milliseconds(h.GetHeardMsAgo()))
	}
	return c.app.show(answer, t)
}

// upstreamsCommand shows engines and plain services.
type upstreamsCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *upstreamsCommand) Execute([]string) error {
	answer, err := first(c.app, func(n node) (*operatorv1.UpstreamsResponse, error) {
		return call(c.app, n.client.Upstreams, &operatorv1.UpstreamsRequest{})
	})
	if err != nil {
		return err
	}
	t := newTable("UPSTREAM", "KIND", "MODEL", "DOMAIN", "STATE", "OWNER", "TOKENS USED", "LEASED", "CAPACITY", "FENCE", "REPORT AGE")
	for _, u := range answer.GetUpstreams() {
		t.add(u.GetUpstream(), u.GetKind(), u.GetModel(), u.GetFailureDomain(), u.GetState(), u.GetOwner(),
			u.GetUsedTokens(), u.GetLeasedTokens(), u.GetCapacityTokens(), u.GetFence(), milliseconds(u.GetReportAgeMs()))
	}
	return c.app.show(answer, t)
}
