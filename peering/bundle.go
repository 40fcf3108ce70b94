package peering

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	loadv1 "github.com/citronscale/citronscale/api/load/v1"
	"github.com/citronscale/citronscale/pace"
	"github.com/citronscale/citronscale/place"
	"github.com/citronscale/citronscale/standing"
	"github.com/citronscale/citronscale/throttle"
)

const (
	// relayInterval is the interval in which a relay sends the news that it has
	// collected.
	relayInterval = 50 * time.Millisecond
	// refreshInterval is the interval of complete news of each host, which makes up
	// for lost bundles and shows that the host is live.
	refreshInterval = 1500 * time.Millisecond
	// coldRepeat is how long bundles repeat a request to a cold upstream, in case that one is
	// lost. It counts for a second only, and there may be many.
	coldRepeat = 2 * relayInterval
	// maxBundleBytes keeps a bundle within one packet on common links.
	maxBundleBytes = 1200
)

// source is what this host knows of one host of its group, and what of it was
// relayed.
type source struct {
	incarnation uint64
	sequence    uint64
	heardAt     time.Duration
	streams     []place.Stream
	capacity    uint32
	domain      uint32
	leaving     bool
	unreachable []uint32
	uses        []throttle.Use
	paces       []pace.Report
	sentPaces   sentPaces // to other groups
	departures  []standing.Departure

	changed     bool
	relayed     map[uint64]bool // identifiers of relayed streams; true if the first event was
	refreshedAt time.Duration
	refreshed   bool
}

// outbox collects the news of the own group, and news of other groups to pass on. It
// does no I/O and is not safe for concurrent use.
type outbox struct {
	sources map[netip.Addr]*source
	passed  []passedNews
}

// passedNews is news of another group that waits to be passed on.
type passedNews struct {
	news       *loadv1.HostNews
	receivedAt time.Duration
}

func newOutbox() *outbox {
	return &outbox{sources: map[netip.Addr]*source{}}
}

// update records the newest state of a host of the group.
func (o *outbox) update(host netip.Addr, incarnation, sequence uint64, streams []place.Stream, now time.Duration) *source {
	s, ok := o.sources[host]
	if !ok {
		s = &source{relayed: map[uint64]bool{}, sentPaces: sentPaces{}}
		o.sources[host] = s
	}
	if s.incarnation != incarnation {
		s.refreshed = false // the complete news replaces the streams of the former process
	}
	s.incarnation, s.sequence, s.heardAt, s.streams, s.changed = incarnation, sequence, now, streams, true
	return s
}

// forget drops the hosts that are no longer in the group.
func (o *outbox) forget(keep func(netip.Addr) bool) {
	for host := range o.sources {
		if !keep(host) {
			delete(o.sources, host)
		}
	}
}

// news returns what changed in the group since the last call.
func (o *outbox) news(now time.Duration) []*loadv1.HostNews {
	var list []*loadv1.HostNews
	for _, host := range slices.SortedFunc(maps.Keys(o.sources), netip.Addr.Compare) {
		s := o.sources[host]
		switch {
		case now-s.heardAt > sourceTimeout:
			// Without news, the other groups count the host as gone.
		case !s.refreshed || now-s.refreshedAt >= refreshInterval:
			list = append(list, s.completeNews(host, now))
		case s.changed:
			if n := s.changes(host, now); n != nil {
				list = append(list, n)
			}
		}
	}
	return list
}

func (s *source) header(host netip.Addr, now time.Duration) *loadv1.HostNews {
	return &loadv1.HostNews{
		Address: packHost(host), Incarnation: shortIncarnation(s.incarnation), Sequence: s.sequence, AgeMs: millis(now - s.heardAt),
	}
}

// shortIncarnation keeps the order of incarnations, which are nanoseconds, for more
// than a day.
func shortIncarnation(incarnation uint64) uint32 {
	return uint32(incarnation >> 20)
}

func (s *source) completeNews(host netip.Addr, now time.Duration) *loadv1.HostNews {
	n := s.header(host, now)
	n.Complete, n.Capacity, n.Domain, n.Leaving, n.Unreachable = true, s.capacity, s.domain, s.leaving, s.unreachable
	n.Uses = packUses(s.uses, now)
	n.Paces = packPaces(s.sentPaces.due(s.paces, now), now)
	n.Departures = packDepartures(s.departures, now)
	clear(s.relayed)
	for _, stream := range s.streams {
		n.Streams = append(n.Streams, packStream(stream, now))
		s.relayed[stream.ID] = stream.Decoding
	}
	s.changed, s.refreshed, s.refreshedAt = false, true, now
	return n
}

func (s *source) changes(host netip.Addr, now time.Duration) *loadv1.HostNews {
	n := s.header(host, now)
	n.Leaving = s.leaving
	current := make(map[uint64]bool, len(s.streams))
	for _, stream := range s.streams {
		current[stream.ID] = true
		if decoding, known := s.relayed[stream.ID]; !known || decoding != stream.Decoding {
			n.Streams = append(n.Streams, packStream(stream, now))
			s.relayed[stream.ID] = stream.Decoding
		}
	}
	for id := range s.relayed {
		if !current[id] {
			n.Ended = append(n.Ended, uint32(id))
			delete(s.relayed, id)
		}
	}
	n.Uses = packUses(s.newUses(now), now)
	n.Paces = packPaces(s.sentPaces.due(s.paces, now), now)
	n.Departures = packDepartures(s.newDepartures(now), now)
	s.changed = false
	if len(n.Streams) == 0 && len(n.Ended) == 0 && len(n.Uses) == 0 && len(n.Paces) == 0 && len(n.Departures) == 0 {
		return nil
	}
	return n
}

// newUses returns the uses that may have changed since the last complete news.
func (s *source) newUses(now time.Duration) []throttle.Use {
	return slices.DeleteFunc(slices.Clone(s.uses), func(use throttle.Use) bool {
		newest, repeat := use.Rate.NamedAt, refreshInterval
		if use.Cold && !use.Rate.Limited {
			repeat = coldRepeat
		}
		for _, at := range slices.Concat(use.Sent, use.Parts) {
			newest = max(newest, at)
		}
		return now-newest > repeat
	})
}

// pass keeps news of another group for the next call of takePassed.
func (o *outbox) pass(news []*loadv1.HostNews, now time.Duration) {
	for _, n := range news {
		o.passed = append(o.passed, passedNews{n, now})
	}
}

// takePassed returns the news to pass on, with ages as of now.
func (o *outbox) takePassed(now time.Duration) []*loadv1.HostNews {
	list := make([]*loadv1.HostNews, 0, len(o.passed))
	for _, p := range o.passed {
		delay := millis(now - p.receivedAt)
		p.news.AgeMs += delay
		for _, stream := range p.news.GetStreams() {
			stream.AgeMs += delay
			if stream.GetWritingMs() > 0 {
				stream.WritingMs += delay
			}
		}
		for _, use := range p.news.GetUses() {
			use.NamedMs += delay
			for i := range use.GetSentMs() {
				use.SentMs[i] += delay
			}
			for i := range use.GetPartMs() {
				use.PartMs[i] += delay
			}
		}
		for _, p := range p.news.GetPaces() {
			p.AgeMs += delay
		}
		for _, d := range p.news.GetDepartures() {
			d.AgeMs += delay
		}
		list = append(list, p.news)
	}
	o.passed = nil
	return list
}

// bundles divides news into bundles of at most maxBundleBytes, unless the news of one
// host is larger.
func bundles(news []*loadv1.HostNews, relayed bool) []*loadv1.Bundle {
	var list []*loadv1.Bundle
	size := 0
	for _, n := range news {
		added := proto.Size(n) + 3 // tag and length
		if len(list) == 0 || size+added > maxBundleBytes {
			list = append(list, &loadv1.Bundle{Relayed: relayed})
			size = 0
		}
		last := list[len(list)-1]
		last.Hosts = append(last.Hosts, n)
		size += added
	}
	return list
}
