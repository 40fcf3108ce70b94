package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// noPrefix marks an arrival whose prompt shares no prefix.
const noPrefix = -1

// Arrival is one request of a workload.
type Arrival struct {
	Index        int           // within all arrivals, ascending by time
	At           time.Duration // since the start of the run
	Stream       int           // index into Workload.Streams
	Team         int           // index into Workload.TeamWeights
	PromptTokens uint32
	MaxTokens    uint32
	Prefix       int    // index of the shared prefix, or noPrefix
	PromptSeed   uint64 // makes the rest of the prompt
}

// Arrivals returns the requests of the workload for a seed. scale multiplies
// the rates. The arrivals of one stream don't depend on the other streams.
func (w *Workload) Arrivals(seed uint64, scale float64) []Arrival {
	var all []Arrival
	for i := range w.Streams {
		all = append(all, w.streamArrivals(i, seed, scale)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range all {
		all[i].Index = i
	}
	return all
}

// Only returns the arrivals of the named streams.
func (w *Workload) Only(arrivals []Arrival, streams []string) []Arrival {
	var kept []Arrival
	for _, arrival := range arrivals {
		if slices.Contains(streams, w.Streams[arrival.Stream].Name) {
			kept = append(kept, arrival)
		}
	}
	return kept
}

func (w *Workload) streamArrivals(index int, seed uint64, scale float64) []Arrival {
	stream := &w.Streams[index]
	rng := rand.New(rand.NewPCG(seed, uint64(index)))
	var arrivals []Arrival
	for at := stream.next(rng, 0, scale); at < time.Duration(w.Duration); at = stream.next(rng, at, scale) {
		arrival := Arrival{
			At:           at,
			Stream:       index,
			Team:         w.drawTeam(rng, stream),
			PromptTokens: stream.PromptTokens.draw(rng),
			MaxTokens:    stream.MaxTokens.draw(rng),
			Prefix:       noPrefix,
			PromptSeed:   rng.Uint64(),
		}
		if stream.Prefixes.Count > 0 {
			arrival.Prefix = rng.IntN(stream.Prefixes.Count)
		}
		arrivals = append(arrivals, arrival)
	}
	return arrivals
}

// next returns the time of the arrival after at. Arrivals are independent of
// each other (a Poisson process), so a change of the rate starts afresh.
func (s *Stream) next(rng *rand.Rand, at time.Duration, scale float64) time.Duration {
	for {
		rate, until := s.rateAt(at)
		gap := time.Duration(math.MaxInt64)
		if rate > 0 {
			gap = time.Duration(rng.ExpFloat64() / (rate * scale) * float64(time.Second))
		}
		if until == 0 {
			return addClamped(at, gap)
		}
		if gap < until-at {
			return at + gap
		}
		at = until
	}
}

func addClamped(at, gap time.Duration) time.Duration {
	if gap > math.MaxInt64-at {
		return math.MaxInt64
	}
	return at + gap
}

func (r Range) draw(rng *rand.Rand) uint32 {
	low, high := math.Log(float64(r.Min)), math.Log(float64(r.Max))
	value := math.Exp(low + rng.Float64()*(high-low))
	return min(max(uint32(math.Round(value)), r.Min), r.Max)
}

func (w *Workload) drawTeam(rng *rand.Rand, stream *Stream) int {
	total := 0
	for team, weight := range w.TeamWeights {
		if stream.hasTeam(team) {
			total += weight
		}
	}
	point := rng.IntN(max(total, 1))
	for team, weight := range w.TeamWeights {
		if !stream.hasTeam(team) {
			continue
		}
		if point < weight {
			return team
		}
		point -= weight
	}
	return 0
}

func (s *Stream) hasTeam(team int) bool {
	return len(s.Teams) == 0 || slices.Contains(s.Teams, team)
}
