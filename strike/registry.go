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

// crashDigest identifies one crash: an incarnation of an engine ends once.
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
	// crashesToConvict is the number of crashes after which content is refused,
	// if it ran alone in one of them.
	crashesToConvict = 2
)

// Numbers of suspects that a strike names.
const (
	suspectsAlone  = 1 // the content had its engine for itself
	suspectsShared = 2 // at least; other content ran there or may have
)

// Options are the settings of a Registry.
type Options struct {
	Decay      time.Duration // a strike counts this long
	MaxRecords int           // strikes remembered at once
}

// Verdict says how content may run.
type Verdict int

// Verdicts.
const (
	Allow   Verdict = iota + 1 // no suspicion
	Spread                     // not beside other suspects, and one copy at a time
	Isolate                    // only alone on its engine, and one copy at a time
	Refuse                     // not at all
)

// String returns the verdict as operators see it.
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

// recordKey identifies one suspicion.
type recordKey struct {
	content Digest
	crash   crashDigest
}

// record is one suspicion. All fields merge by a maximum or minimum.
type record struct {
	time     time.Time // earliest time named
	suspects uint32    // largest number named
	cleared  bool
	sent     int // heartbeats that carried it; local
}

// Registry holds the strikes that one host knows.
type Registry struct {
	options   Options
	records   map[recordKey]*record
	byContent map[Digest]map[crashDigest]bool
	byCrash   map[crashDigest]map[Digest]bool
	trials    map[Digest]Verdict // suspect content that this host runs, and how
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

// SetDecay changes how long strikes count, those known already included.
func (r *Registry) SetDecay(decay time.Duration) {
	r.options.Decay = decay
}

// Len returns the number of strikes remembered.
func (r *Registry) Len() int {
	return len(r.records)
}

// Crash notes that an incarnation of an engine crashed while it ran the given
// contents. Alone says that this host had the whole engine for one isolated
// copy; otherwise other hosts may have run content there as well.
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
	r.shrink()
}

// Finished clears content that an engine ran to its end. Only the strikes that
// this host knows are cleared.
func (r *Registry) Finished(content Digest) {
	for crash := range r.byContent[content] {
		known := r.records[recordKey{content, crash}]
		if !known.cleared {
			known.cleared = true
			known.sent = 0
		}
	}
}

// Judge says how content may run.
func (r *Registry) Judge(now time.Time, content Digest) Verdict {
	crashes, alone := r.strikes(now, content)
	switch {
	case crashes == 0:
		return Allow
	case alone && crashes >= crashesToConvict:
		return Refuse
	case alone || crashes >= crashesToIsolate:
		return Isolate
	default:
		return Spread
	}
}

// strikes counts the crashes that content is suspected of, and tells whether
// it ran alone in one of them.
func (r *Registry) strikes(now time.Time, content Digest) (crashes int, alone bool) {
	for crash := range r.byContent[content] {
		known := r.records[recordKey{content, crash}]
		if known.cleared || r.decayed(now, known.time) {
			continue
		}
		crashes++
		if known.suspects == suspectsAlone && len(r.byCrash[crash]) == 1 {
			alone = true
		}
	}
	return crashes, alone
}

// StartTrial asks for leave to send suspect content as Judge said, Spread or
// Isolate. It returns false while another copy of the content runs at this host.
func (r *Registry) StartTrial(content Digest, verdict Verdict) bool {
	if r.trials[content] != 0 {
		return false
	}
	r.trials[content] = verdict
	return true
}

// Isolated reports whether an isolated copy of the content runs at this host.
func (r *Registry) Isolated(content Digest) bool {
	return r.trials[content] == Isolate
}

// EndTrial reports that the copy that StartTrial admitted ended, after Crash
// or Finished told how.
func (r *Registry) EndTrial(content Digest) {
	delete(r.trials, content)
}

func (r *Registry) decayed(now, at time.Time) bool {
	return now.Sub(at) >= r.options.Decay
}

func countDistinct(contents []Digest) int {
	seen := make(map[Digest]bool, len(contents))
	for _, content := range contents {
		seen[content] = true
	}
	return len(seen)
}
