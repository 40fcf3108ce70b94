package peering

import (
	"net/netip"
	"slices"
	"time"

	loadv1 "github.com/citronscale/citronscale/api/load/v1"
	"github.com/citronscale/citronscale/strike"
)

// Evidence about requests that crash engines has to reach all hosts within a second,
// also while hosts that relay news are lost. So it spreads as a rumor: a host sends what
// is new to it to its group or to some hosts drawn at random, and so do those. What that
// misses is made up for by a repetition to one host with each heartbeat, and a host that
// has started is told by all that hear it first.
const (
	// rumorRounds is how often a host sends new evidence, at intervals of relayInterval.
	rumorRounds = 2
	// rumorHosts is the number of hosts that get it in each round.
	rumorHosts = 4
	// maxToldLosses is the number of losses in a repetition, the newest ones. They fill
	// two or three packets.
	maxToldLosses = 64
	// lossesPerDatagram keeps a datagram within one packet on common links.
	lossesPerDatagram = 16
)

// EvidenceStore holds the evidence of a host.
type EvidenceStore interface {
	// MergeEvidence adds evidence and returns what of it was new.
	MergeEvidence(now time.Duration, e strike.Evidence) strike.Evidence
	// Evidence returns the stored evidence, at most n losses.
	Evidence(n int) strike.Evidence
}

// rumors holds evidence that is being sent.
type rumors []rumor

type rumor struct {
	evidence strike.Evidence
	rounds   int // left
}

// ShareEvidence implements relay.Peers. The hosts of the group get the evidence at once.
func (n *Node) ShareEvidence(e strike.Evidence) {
	now := n.now()
	n.mu.Lock()
	n.rumors = append(n.rumors, rumor{e, rumorRounds})
	own := n.members.groups(now).own
	n.mu.Unlock()
	n.sendEvidence(own, e, now)
}

// spreadEvidence sends the evidence that is new to this host to some hosts.
func (n *Node) spreadEvidence() {
	now := n.now()
	n.mu.Lock()
	var news strike.Evidence
	for i := range n.rumors {
		n.rumors[i].rounds--
		news.Losses = append(news.Losses, n.rumors[i].evidence.Losses...)
		news.Starts = append(news.Starts, n.rumors[i].evidence.Starts...)
		news.LatestStart = max(news.LatestStart, n.rumors[i].evidence.LatestStart)
	}
	n.rumors = slices.DeleteFunc(n.rumors, func(r rumor) bool { return r.rounds <= 0 })
	var targets []netip.Addr
	if !news.Empty() {
		targets = n.members.sample(rumorHosts, now, n.parts.Rng)
	}
	n.mu.Unlock()
	n.sendEvidence(targets, news, now)
}

// repeatEvidence sends the stored evidence to one host.
func (n *Node) repeatEvidence() {
	if e := n.parts.Evidence.Evidence(1); e.Empty() {
		return
	}
	now := n.now()
	n.mu.Lock()
	targets := n.members.sample(1, now, n.parts.Rng)
	n.mu.Unlock()
	n.tellEvidence(targets)
}

// tellEvidence sends the stored evidence to hosts.
func (n *Node) tellEvidence(hosts []netip.Addr) {
	if len(hosts) > 0 {
		n.sendEvidence(hosts, n.parts.Evidence.Evidence(maxToldLosses), n.now())
	}
}

func (n *Node) sendEvidence(hosts []netip.Addr, e strike.Evidence, now time.Duration) {
	for first := true; len(hosts) > 0 && (len(e.Losses)+len(e.Starts) > 0 || first && !e.Empty()); first = false {
		losses := e.Losses[:min(len(e.Losses), lossesPerDatagram)]
		starts := e.Starts[:min(len(e.Starts), lossesPerDatagram)]
		e.Losses, e.Starts = e.Losses[len(losses):], e.Starts[len(starts):]
		part := strike.Evidence{Losses: losses, Starts: starts, LatestStart: e.LatestStart}
		n.sendTo(hosts, &loadv1.Datagram{Content: &loadv1.Datagram_Evidence{Evidence: packEvidence(part, now)}})
	}
}

func (n *Node) handleEvidence(m *loadv1.Evidence, from netip.Addr, now time.Duration) {
	n.markHeard(from, now)
	fresh := n.parts.Evidence.MergeEvidence(now, unpackEvidence(m, now))
	if fresh.Empty() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rumors = append(n.rumors, rumor{fresh, rumorRounds})
}

func packEvidence(e strike.Evidence, now time.Duration) *loadv1.Evidence {
	m := &loadv1.Evidence{}
	for _, loss := range e.Losses {
		m.Losses = append(m.Losses, &loadv1.Loss{
			Engine: loss.Engine, AgeMs: millis(now - loss.At), Content: loss.Request.Content, Parts: loss.Request.Parts,
		})
	}
	for _, start := range e.Starts {
		m.Starts = append(m.Starts, &loadv1.Start{Id: start.ID, AgeMs: millis(now - start.At)})
	}
	if e.LatestStart > 0 {
		m.LatestStartMs = millis(now-e.LatestStart) + 1
	}
	return m
}

func unpackEvidence(m *loadv1.Evidence, now time.Duration) strike.Evidence {
	at := func(age uint32) time.Duration { return now - time.Duration(age)*time.Millisecond }
	var e strike.Evidence
	for _, loss := range m.GetLosses() {
		e.Losses = append(e.Losses, strike.Loss{
			Engine: loss.GetEngine(), At: at(loss.GetAgeMs()), Request: strike.Request{Content: loss.GetContent(), Parts: loss.GetParts()},
		})
	}
	for _, start := range m.GetStarts() {
		e.Starts = append(e.Starts, strike.Start{ID: start.GetId(), At: at(start.GetAgeMs())})
	}
	if ms := m.GetLatestStartMs(); ms > 0 {
		e.LatestStart = at(ms - 1)
	}
	return e
}
