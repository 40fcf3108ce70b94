package strike

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashesToQuarantine is the number of crashes after which an identifier is refused.
	crashesToQuarantine = 3
	// crashesIfSound replaces it for an identifier that has run before. Parts that are in
	// many prompts take part in crashes by chance, so they must also be in at least
	// shareIfSound of all crashes, and for settleTime after the last one needed no
	// request with them may start while others do.
	crashesIfSound = 6
	shareIfSound   = 0.5
	// crashesOfOneRequest is the number of crashes after which a request is refused itself.
	// The attempts of one request may all meet engines that are killed.
	crashesOfOneRequest = 4
	// contentsToQuarantine is the number of different requests with a part that have to
	// crash engines, and crashesOfContent bounds the crashes that count of each. Repeats of
	// one request say nothing about which part is bad.
	contentsToQuarantine = 2
	crashesOfContent     = 2
	// unexplainedCrashes is the number of crashes that no narrower combination explains.
	unexplainedCrashes = 2
	// settleTime is the time after the first crash in which the parts that requests share
	// are cleared, here and at other hosts.
	settleTime = 500 * time.Millisecond
	// holdFactor multiplies the time of the refusals after each crash beyond those needed.
	holdFactor = 4
	// outageTime is the time without an answer that begins after which the next one may
	// be the first on engines that were all down. Requests with other parts get settleTime
	// to begin as well.
	outageTime = 2 * time.Second
	// simultaneous is the time within which crashes count as one: engines that are killed
	// together crash together, and each holds other requests.
	simultaneous = 50 * time.Millisecond
)

// Quarantine is a combination of identifiers. Requests that hold all of them are
// refused.
type Quarantine struct {
	ID       uint64   // that crashes engines, as far as known
	Common   []uint64 // what all requests with it had in common, itself included
	Crashes  int
	Contents int // different requests
	First    time.Duration
	Last     time.Duration
	Until    time.Duration // end of the refusals unless there is another crash
}

// holds reports whether a request is refused.
func (q *Quarantine) holds(request Request) bool {
	for _, id := range q.Common {
		if id != request.Content && !slices.Contains(request.Parts, id) {
			return false
		}
	}
	return true
}

// Judge returns the reason to refuse a request, or nil.
func (r *PartRegistry) Judge(now time.Duration, request Request) *Quarantine {
	r.Refresh(now)
	for i := range r.quarantines {
		if r.quarantines[i].holds(request) {
			return &r.quarantines[i]
		}
	}
	return nil
}

// Quarantines returns the combinations that are refused at present.
func (r *PartRegistry) Quarantines(now time.Duration) []Quarantine {
	r.Refresh(now)
	return slices.Clone(r.quarantines)
}

// Refresh brings the quarantines up to date. It returns those that were added, or cover
// other requests than before, and those that were lifted.
func (r *PartRegistry) Refresh(now time.Duration) (added, lifted []Quarantine) {
	if !r.stale && (r.checkAt == 0 || now < r.checkAt) {
		return nil, nil
	}
	r.expire(now)
	before := r.quarantines
	r.quarantines, r.checkAt = r.derive(now)
	r.stale = false
	return without(r.quarantines, before), without(before, r.quarantines)
}

// refuses reports whether requests with an identifier are refused until now.
func (r *PartRegistry) refuses(id uint64) bool {
	return slices.ContainsFunc(r.quarantines, func(q Quarantine) bool { return q.ID == id })
}

// without returns the quarantines of a list that cover other requests than those of
// another one.
func without(list, other []Quarantine) []Quarantine {
	return slices.DeleteFunc(slices.Clone(list), func(q Quarantine) bool {
		return slices.ContainsFunc(other, func(o Quarantine) bool { return o.ID == q.ID && slices.Equal(o.Common, q.Common) })
	})
}

// candidate is an identifier with the crashes that count against it.
type candidate struct {
	id       uint64
	whole    bool                    // a whole request, not a part
	prompt   bool                    // of a request with a prompt
	crashes  map[int]bool            // numbers of the crashes
	contents map[uint64]map[int]bool // crashes by request
	common   []uint64                // identifiers in all of its losses
	first    time.Duration
	last     time.Duration
	times    []time.Duration // of the crashes

	strength      int           // crashes that count
	needed        int           // of these
	othersStarted time.Duration // after which a start of another prompt must be known
}

// derive returns the quarantines, and when they change without new evidence. It goes
// from narrow combinations to wide ones: a part that all requests share is refused only
// if it crashes engines also without the narrower ones.
func (r *PartRegistry) derive(now time.Duration) ([]Quarantine, time.Duration) {
	var quarantines []Quarantine
	var checkAt time.Duration
	checkAgain := func(at time.Duration) {
		if at > now && (checkAt == 0 || at < checkAt) {
			checkAt = at
		}
	}
	if len(r.losses) > 0 {
		checkAgain(r.losses[0].At + r.options.Memory)
	}
	explained := map[int]bool{}
	r.awaitsStart = false
	for _, c := range r.candidates() {
		if !c.whole && c.countOthers(explained) < unexplainedCrashes {
			continue
		}
		if c.prompt && r.latestStart <= c.othersStarted {
			r.awaitsStart = true
			continue // no engine works, whatever it runs
		}
		settled := c.first + settleTime
		if c.prompt && !r.refuses(c.id) {
			settled = max(settled, r.resumedAt+settleTime)
		}
		if now < settled {
			checkAgain(settled)
			continue
		}
		for crash := range c.crashes {
			explained[crash] = explained[crash] || !c.whole
		}
		q := Quarantine{
			ID: c.id, Common: c.common, Crashes: len(c.crashes), Contents: len(c.contents), First: c.first, Last: c.last,
			Until: c.last + r.holdTime(c),
		}
		if now < q.Until {
			checkAgain(q.Until)
			quarantines = append(quarantines, q)
		}
	}
	return quarantines, checkAt
}

// holdTime returns how long requests are refused after the last crash. The next request
// is a trial: another crash multiplies the time, and a start ends the refusals. So a
// sound part that was in the crashes by chance is back soon, and a bad one costs few
// engines more.
func (r *PartRegistry) holdTime(c *candidate) time.Duration {
	hold := r.options.Hold
	for range c.strength - c.needed {
		hold = min(holdFactor*hold, r.options.Memory)
	}
	return hold + time.Duration(r.options.HoldExtra*float64(hold))
}

// candidates returns the identifiers with enough crashes, those with the fewest first.
func (r *PartRegistry) candidates() []*candidate {
	numbers := r.crashNumbers()
	byID := map[uint64]*candidate{}
	for i := range r.losses {
		loss := &r.losses[i]
		for _, id := range loss.ids() {
			if at, ok := r.cleared[id]; ok && at >= loss.At {
				continue
			}
			c, ok := byID[id]
			if !ok {
				c = &candidate{id: id, crashes: map[int]bool{}, contents: map[uint64]map[int]bool{}, common: commonOf(id, loss), first: loss.At}
				byID[id] = c
			}
			c.add(loss, numbers[i])
		}
	}
	list := slices.DeleteFunc(slices.Collect(maps.Values(byID)), func(c *candidate) bool { return !r.enough(c, numbers) })
	slices.SortFunc(list, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(len(a.crashes), len(b.crashes)), cmp.Compare(a.id, b.id))
	})
	return list
}

func (c *candidate) add(loss *Loss, crash int) {
	if !c.crashes[crash] {
		c.crashes[crash] = true
		c.times = append(c.times, loss.At)
	}
	c.whole = c.whole || c.id == loss.Request.Content
	c.prompt = c.prompt || len(loss.Request.Parts) > 0
	if c.contents[loss.Request.Content] == nil {
		c.contents[loss.Request.Content] = map[int]bool{}
	}
	c.contents[loss.Request.Content][crash] = true
	c.common = slices.DeleteFunc(c.common, func(id uint64) bool { return id != loss.Request.Content && !slices.Contains(loss.Request.Parts, id) })
	c.last = loss.At
}

// enough reports whether an identifier was in enough crashes, and sets what else is
// needed to refuse it.
func (r *PartRegistry) enough(c *candidate, numbers []int) bool {
	sound := r.wasSound(c.id)
	switch {
	case sound:
		c.needed = crashesIfSound
	case c.whole:
		c.needed = crashesOfOneRequest
	default:
		c.needed = crashesToQuarantine
	}
	c.strength = c.countCrashes()
	if c.strength < c.needed || !c.whole && len(c.contents) < contentsToQuarantine {
		return false
	}
	c.othersStarted = c.times[c.needed-1]
	if !sound {
		return true
	}
	c.othersStarted += settleTime
	all := map[int]bool{}
	for i := range r.losses {
		if r.losses[i].At >= c.first && r.losses[i].At <= c.last {
			all[numbers[i]] = true
		}
	}
	return float64(len(c.crashes)) >= shareIfSound*float64(len(all))
}

// countCrashes returns the number of crashes that count.
func (c *candidate) countCrashes() int {
	if c.whole {
		return len(c.crashes)
	}
	count := 0
	for _, crashes := range c.contents {
		count += min(len(crashes), crashesOfContent)
	}
	return min(count, len(c.crashes))
}

// countOthers returns the number of crashes that are not in a set.
func (c *candidate) countOthers(set map[int]bool) int {
	count := 0
	for crash := range c.crashes {
		if !set[crash] {
			count++
		}
	}
	return count
}

// wasSound reports whether a request with the identifier is known to have run.
func (r *PartRegistry) wasSound(id uint64) bool {
	_, startedHere := r.starts.get(id)
	_, started := r.cleared[id]
	return started || startedHere
}

// commonOf returns the sorted identifiers that a quarantine may consist of after the
// first loss. The digest of a whole request covers its parts.
func commonOf(id uint64, loss *Loss) []uint64 {
	if id == loss.Request.Content {
		return []uint64{id}
	}
	return slices.Compact(slices.Sorted(slices.Values(loss.Request.Parts)))
}

// crashNumbers returns the number of the crash of each loss. Simultaneous crashes have
// the same one.
func (r *PartRegistry) crashNumbers() []int {
	numbers := make([]int, len(r.losses))
	lastOf := map[uint32]int{} // index of the latest loss on an engine
	last, lastAt := -1, time.Duration(0)
	for i := range r.losses {
		loss := &r.losses[i]
		previous, known := lastOf[loss.Engine]
		switch {
		case known && loss.At-r.losses[previous].At < sameCrash:
			numbers[i] = numbers[previous]
		case last >= 0 && loss.At-lastAt < simultaneous:
			numbers[i] = last
		default:
			last, lastAt = last+1, loss.At
			numbers[i] = last
		}
		lastOf[loss.Engine] = i
	}
	return numbers
}
