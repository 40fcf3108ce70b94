package mirror

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Entry is a published value, or the removal of one.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64 // of the source, at the last change
	Deleted  bool
}

// Delta holds the changes after a position.
type Delta struct {
	Position Position // of the source; all changes up to it are applied
	Complete bool     // Entries is the whole content: other keys don't exist
	Entries  []Entry
	// Keys are all keys at the position, if the sender has listed the source since the
	// requested position and may have missed removals; nil otherwise.
	Keys []string
}

// maxTombstones limits the removals that are remembered. A peer that is behind the
// oldest one gets the whole content.
const maxTombstones = 2000

// State is the content of the source as far as this host has applied it, all of one era. It
// is safe for concurrent use.
type State struct {
	mu       sync.Mutex
	era      uint64
	entries  map[string]Entry // with tombstones
	position uint64
	changed  uint64 // revision of the last change that matters
	floor    uint64 // tombstones up to this revision are forgotten
	listed   uint64 // position of the last list; removals before it may be unknown
	// carried holds values that stay in force although the source has others, by key.
	carried map[string][]byte
}

// NewState returns a state without entries.
func NewState() *State {
	return &State{entries: map[string]Entry{}, carried: map[string][]byte{}}
}

// Carry records the value of a key that is in force, whatever the source has: one that came
// back from an older copy has an older value. Whole contents hold it beside the entry of the
// source, so that hosts that have just started get it.
func (s *State) Carry(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carried[key] = value
}

// Advance records changes and the position up to which the host has applied them.
// Changes without an effect need not be passed. Changes of another era are ignored.
func (s *State) Advance(position Position, changes []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if position.Era != s.era {
		return
	}
	for _, e := range changes {
		s.put(e)
	}
	s.position = max(s.position, position.Revision)
	s.forget()
}

// Revision returns the revision of the last known change or removal of a key in the current
// era, or 0.
func (s *State) Revision(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key].Revision
}

// Replace records the whole content of the source at a position. Entries that are newer
// than the position are kept, whether they are listed or not. Nothing is kept of an earlier
// era, and content of an earlier one is ignored.
func (s *State) Replace(position Position, entries []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if position.Era < s.era {
		return
	}
	if position.Era > s.era {
		s.era, s.entries = position.Era, map[string]Entry{}
		s.position, s.changed, s.floor, s.listed = 0, 0, 0, 0
	}
	if s.position == 0 {
		// What was removed before is not known, so peers that are behind need everything.
		s.floor = position.Revision
	}
	keys := make([]string, 0, len(entries))
	for _, e := range entries {
		keys = append(keys, e.Key)
		s.put(e)
	}
	s.retain(position.Revision, keys)
	s.position = max(s.position, position.Revision)
	s.forget()
}

// Retain records that only these keys exist at a position. Entries that are newer are kept,
// and all if the position is of another era.
func (s *State) Retain(position Position, keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if position.Era == s.era {
		s.retain(position.Revision, keys)
	}
}

func (s *State) retain(position uint64, keys []string) {
	exists := make(map[string]bool, len(keys))
	for _, key := range keys {
		exists[key] = true
	}
	for key, e := range s.entries {
		if !exists[key] && !e.Deleted && e.Revision <= position {
			s.entries[key] = Entry{Key: key, Revision: position, Deleted: true}
		}
	}
	// Peers may know keys that came and went unnoticed here since the previous position.
	s.listed, s.changed = max(s.listed, position), max(s.changed, position)
}

func (s *State) put(e Entry) {
	if known, ok := s.entries[e.Key]; ok && known.Revision >= e.Revision {
		return
	}
	s.entries[e.Key] = e
	s.changed = max(s.changed, e.Revision)
}

// forget drops the oldest half of the tombstones once there are too many.
func (s *State) forget() {
	var revisions []uint64
	for _, e := range s.entries {
		if e.Deleted {
			revisions = append(revisions, e.Revision)
		}
	}
	if len(revisions) <= maxTombstones {
		return
	}
	slices.Sort(revisions)
	s.floor = revisions[len(revisions)/2]
	for key, e := range s.entries {
		if e.Deleted && e.Revision <= s.floor {
			delete(s.entries, key)
		}
	}
}

// Position returns the position up to which all changes are applied, and the revision
// of the last one. A host that has applied all changes up to that revision has the
// same content.
func (s *State) Position() (position Position, changed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Position{Era: s.era, Revision: s.position}, min(s.changed, s.position)
}

// Since returns the changes after a position. A caller whose position is of another era gets
// the whole content.
func (s *State) Since(after Position) Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := after.Revision
	if after.Era != s.era {
		position = 0
	}
	d := Delta{Position: Position{Era: s.era, Revision: s.position}, Complete: position < s.floor || position == 0}
	missed := !d.Complete && position < s.listed
	for _, e := range s.entries {
		if missed && !e.Deleted {
			d.Keys = append(d.Keys, e.Key)
		}
		needed := e.Revision > position
		if d.Complete {
			needed = !e.Deleted
		}
		if needed {
			d.Entries = append(d.Entries, e)
		}
	}
	slices.SortFunc(d.Entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	slices.Sort(d.Keys)
	if d.Complete {
		d.Entries = s.appendCarried(d.Entries)
	}
	return d
}

func (s *State) appendCarried(entries []Entry) []Entry {
	for _, key := range slices.Sorted(maps.Keys(s.carried)) {
		published, ok := s.entries[key]
		if !ok || published.Deleted || !bytes.Equal(published.Value, s.carried[key]) {
			entries = append(entries, Entry{Key: key, Value: s.carried[key]})
		}
	}
	return entries
}

// maxValueBytes bounds an uncompressed value.
const maxValueBytes = 8 << 20

// Compress returns a value in compressed form.
func Compress(value []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress a value: %w", err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, fmt.Errorf("compress a value: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress a value: %w", err)
	}
	return out.Bytes(), nil
}

// Decompress returns the value that Compress was called with.
func Decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decompress a value: %w", err)
	}
	value, err := io.ReadAll(io.LimitReader(r, maxValueBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress a value: %w", err)
	}
	if len(value) > maxValueBytes {
		return nil, fmt.Errorf("decompress a value: more than %d bytes", maxValueBytes)
	}
	return value, nil
}
