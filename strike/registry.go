package strike

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronscale/citronscale/upstream"
)

// Digest identifies content for one model.
type Digest uint64

// DigestOf returns the digest of a prompt for a model.
func DigestOf(model, prompt string) Digest {
	hash := xxhash.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(model)))
	_, _ = hash.Write(length[:]) // a hash never fails
	_, _ = hash.WriteString(model)
	_, _ = hash.WriteString(prompt)
	return Digest(hash.Sum64())
}

// crashDigest identifies one crash by engine and incarnation: an incarnation
// crashes at most once.
type crashDigest uint64

func crashOf(name upstream.Name, incarnation uint64) crashDigest {
	hash := xxhash.New()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], incarnation)
	_, _ = hash.Write(number[:]) // a hash never fails
	_, _ = hash.WriteString(string(name))
	return crashDigest(hash.Sum64())
}

const (
	// crashesToIsolate is the number of crashes after which content runs alone.
	crashesToIsolate = 2
	// crashesToRefuse is the number of crashes after which content is refused,
	// if it ran alone in one of them.
	crashesToRefuse = 2
)

// Numbers of suspects in a strike.
const (
	suspectsAlone  = 1 // the content ran alone on its engine
	suspectsShared = 2 // lower bound; other content ran or may have run on the engine
)

// Options are the settings of a Registry.
type Options struct {
	Decay      time.Duration // time for which a strike counts
	MaxRecords int           // strikes stored at once
}

// Verdict is the decision whether and how content may run.
type Verdict int

// Verdicts.
const (
	Allow   Verdict = iota + 1 // no strike that counts
	Spread                     // on an engine without other suspects, one copy at a time
	Isolate                    // only alone on its engine, one copy at a time
	Refuse                     // not at all
)

// String returns the name of the verdict as operator tools show it.
func (v Verdict) String() string {
	switch v {
	case Allow:
		return "allow"
	case Spread:
		return "spread"
	case Isolate:
		return "isolate"
	case Refuse:
		return "refuse"
	default:
		return "unknown"
	}
}

// recordKey identifies the strike of one content for one crash.
type recordKey struct {
	content Digest
	crash   crashDigest
}

// record is one strike. The fields that heartbeats carry merge by maximum or
// minimum.
type record struct {
	time     time.Time // earliest time reported
	suspects uint32    // largest number reported
	cleared  bool
	sent     int // heartbeats of this host that carried it; not merged
}

// Registry stores the strikes that one host recorded or received.
type Registry struct {
	options   Options
	records   map[recordKey]*record
	byContent map[Digest]map[crashDigest]bool
	byCrash   map[crashDigest]map[Digest]bool
	trials    map[Digest]Verdict // verdict under which this host runs suspect content
}

// New returns a registry without strikes.
func New(options Options) *Registry {
	return &Registry{
		options:   options,
		records:   make(map[recordKey]*record),
		byContent: make(map[Digest]map[crashDigest]bool),
		byCrash:   make(map[crashDigest]map[Digest]bool),
		trials:    make(map[Digest]Verdict),
	}
}

// SetDecay changes how long strikes count, including those already stored.
func (r *Registry) SetDecay(decay time.Duration) {
	r.options.Decay = decay
}

// Len returns the number of strikes stored.
func (r *Registry) Len() int {
	return len(r.records)
}

// Crash records that an incarnation of an engine crashed while it ran the given
// contents. Alone means that the content was one isolated copy with the whole
// engine for itself; otherwise other hosts may have run content there as well.
func (r *Registry) Crash(now time.Time, name upstream.Name, incarnation uint64, running []Digest, alone bool) {
	r.expire(now)
	crash := crashOf(name, incarnation)
	suspects := uint32(suspectsAlone)
	if !alone || len(running) != 1 {
		suspects = uint32(max(suspectsShared, countDistinct(running)))
	}
	for _, content := range running {
		r.put(recordKey{content, crash}, record{time: now, suspects: suspects})
	}
	r.evictExcess()
}

// Finished clears content that an engine ran to completion. Only the strikes that
// this host stores are cleared.
func (r *Registry) Finished(content Digest) {
	for crash := range r.byContent[content] {
		stored := r.records[recordKey{content, crash}]
		if !stored.cleared {
			stored.cleared = true
			stored.sent = 0
		}
	}
}

// Judge decides by the strikes of content whether and how it may run.
func (r *Registry) Judge(now time.Time, content Digest) Verdict {
	crashes, alone := r.countStrikes(now, content)
	switch {
	case crashes == 0:
		return Allow
	case alone && crashes >= crashesToRefuse:
		return Refuse
	case alone || crashes >= crashesToIsolate:
		return Isolate
	default:
		return Spread
	}
}

// countStrikes counts the crashes that content is suspected of, and reports
// whether it ran alone in one of them.
func (r *Registry) countStrikes(now time.Time, content Digest) (crashes int, alone bool) {
	for crash := range r.byContent[content] {
		stored := r.records[recordKey{content, crash}]
		if stored.cleared || r.decayed(now, stored.time) {
			continue
		}
		crashes++
		if stored.suspects == suspectsAlone && len(r.byCrash[crash]) == 1 {
			alone = true
		}
	}
	return crashes, alone
}

// StartTrial admits one copy of suspect content with the verdict of Judge, Spread
// or Isolate. It returns false while this host runs another copy of the content.
func (r *Registry) StartTrial(content Digest, verdict Verdict) bool {
	if r.trials[content] != 0 {
		return false
	}
	r.trials[content] = verdict
	return true
}

// Isolated reports whether this host runs an isolated copy of the content.
func (r *Registry) Isolated(content Digest) bool {
	return r.trials[content] == Isolate
}

// EndTrial removes the copy that StartTrial admitted. Crash or Finished is called
// before it, if either applies.
func (r *Registry) EndTrial(content Digest) {
	delete(r.trials, content)
}

func (r *Registry) decayed(now, crashTime time.Time) bool {
	return now.Sub(crashTime) >= r.options.Decay
}

func countDistinct(contents []Digest) int {
	seen := make(map[Digest]bool, len(contents))
	for _, content := range contents {
		seen[content] = true
	}
	return len(seen)
}
