package admission

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/place"
)

// ScarceShare is the share of the slots or of the memory of a service from which room is
// scarce. The rest is kept for teams within their share: hosts hear of each other's
// streams up to 0.2 s late, and a team at ten times its load takes about that much in
// this time.
const ScarceShare = 0.93

// TeamDigest returns the short digest of a team in announcements between hosts. It is not
// 0, which means that the team isn't told; a stream without a team has 0. Teams with the
// same digest, one pair in 65,535, share one share.
func TeamDigest(team string) uint16 {
	if team == "" {
		return 0
	}
	return uint16(xxhash.Sum64String(team)%math.MaxUint16) + 1
}

// Level returns the max-min fair level: the amount that each demand gets at most so that
// all together get the capacity. It is infinite if the capacity meets all demands.
func Level(capacity float64, demands []float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	left := capacity
	for i, demand := range sorted {
		even := left / float64(len(sorted)-i)
		if demand > even {
			return max(even, 0)
		}
		left -= demand
	}
	return math.Inf(1)
}

// Utilization returns the share of the slots or of the usable memory of the engines that
// is in use, whichever is larger.
func Utilization(costs *costmodel.Costs, engines []place.Engine) float64 {
	sequences, memory := 0, 0
	for i := range engines {
		if load := engines[i].Load; load != nil {
			sequences += len(load.Sequences)
			memory += load.MemoryTokens
		}
	}
	used := 0.0
	if slots := costs.Slots * len(engines); slots > 0 {
		used = float64(sequences) / float64(slots)
	}
	if tokens := place.UsableMemory(costs) * len(engines); tokens > 0 {
		used = max(used, float64(memory)/float64(tokens))
	}
	return used
}

// TeamWork is the work of the teams of one service, in tokens of prompts and answers over
// all hosts that were heard.
type TeamWork struct {
	running map[uint16]float64
	waiting map[uint16]float64 // at this host
	untold  float64            // of streams without a team
}

// NewTeamWork returns the work of the running streams and of those that wait at this host.
func NewTeamWork(streams []place.Stream, waiting map[uint16]float64) TeamWork {
	w := TeamWork{running: map[uint16]float64{}, waiting: waiting}
	for i := range streams {
		tokens := float64(streams[i].Prompt + streams[i].Answer)
		if streams[i].Team == 0 {
			w.untold += tokens
			continue
		}
		w.running[streams[i].Team] += tokens
	}
	return w
}

// Share returns the work in progress of a team that asks for more, and its max-min fair
// share. The capacity is the work at which the utilization reaches ScarceShare; if room
// ran out below that, it is the work that is running now. What other teams don't use is
// part of the share. Only hosts that wait know what waits, so the demand of a team that
// waits elsewhere counts as what it runs.
func (w TeamWork) Share(team uint16, utilization float64) (running, share float64) {
	total := w.untold
	demands := make([]float64, 0, len(w.running)+1)
	for other, tokens := range w.running {
		total += tokens
		if other != team {
			demands = append(demands, tokens+w.waiting[other])
		}
	}
	for other, tokens := range w.waiting {
		if _, runs := w.running[other]; !runs && other != team {
			demands = append(demands, tokens)
		}
	}
	if len(demands) == 0 && w.untold == 0 {
		return w.running[team], math.MaxFloat64 // nobody else needs room
	}
	demands = append(demands, math.MaxFloat64)
	capacity := total
	if utilization > ScarceShare {
		capacity *= ScarceShare / utilization
	}
	return w.running[team], Level(capacity-w.untold, demands)
}

// Until returns the time until the work of a team falls to its share, by the expected ends
// of its running streams.
func (p *Prediction) Until(team uint16, running, share float64) time.Duration {
	left := running - share
	for _, e := range p.ends {
		if e.stream.Team == team {
			left -= float64(e.stream.Prompt + e.stream.Answer)
		}
		if left <= 0 {
			return costmodel.Millis(e.millis)
		}
	}
	return 0
}
