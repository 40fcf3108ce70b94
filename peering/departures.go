package peering

import (
	"slices"
	"time"

	loadv1 "github.com/citronscale/citronscale/api/load/v1"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/standing"
)

func packDepartures(departures []standing.Departure, now time.Duration) []*loadv1.Departure {
	list := make([]*loadv1.Departure, 0, len(departures))
	for _, d := range departures {
		list = append(list, &loadv1.Departure{Upstream: d.Process.Key, Started: d.Process.Started, AgeMs: millis(now - d.At)})
	}
	return list
}

func unpackDepartures(list []*loadv1.Departure, now time.Duration) []standing.Departure {
	departures := make([]standing.Departure, 0, len(list))
	for _, d := range list {
		departures = append(departures, standing.Departure{
			Process: standing.Process{Key: d.GetUpstream(), Started: d.GetStarted()},
			At:      now - time.Duration(d.GetAgeMs())*time.Millisecond,
		})
	}
	return departures
}

// applyDepartures records which upstreams leave, as a peer knows from their answers.
func (n *Node) applyDepartures(departures []standing.Departure, peer string, now time.Duration) {
	learned := n.parts.Standing.SetPeer(departures, now)
	if len(learned) == 0 {
		return
	}
	for _, id := range n.parts.Upstreams.IDs() {
		for _, process := range learned {
			if uint32(n.parts.Key(id)) == process.Key {
				n.parts.Log.Emit(event.UpstreamDeparting).Str("upstream", id).Uint32("started", process.Started).Str("peer", peer).Msg("")
			}
		}
	}
}

// freshTime is how long each announcement names a departure; heartbeats name it longer. The
// announcements of placed streams are so many that departures of a whole failure domain would
// otherwise take more than all other news.
const freshTime = 300 * time.Millisecond

// freshDepartures returns the departures that an announcement names.
func freshDepartures(departures []standing.Departure, heartbeat bool, now time.Duration) []standing.Departure {
	if heartbeat {
		return departures
	}
	return slices.DeleteFunc(slices.Clone(departures), func(d standing.Departure) bool { return now-d.At > freshTime })
}

// newDepartures returns the departures that may not be known since the last complete news.
func (s *source) newDepartures(now time.Duration) []standing.Departure {
	return slices.DeleteFunc(slices.Clone(s.departures), func(d standing.Departure) bool { return now-d.At > refreshInterval })
}
