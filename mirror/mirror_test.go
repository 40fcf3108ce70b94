package mirror_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/mirror"
)

func at(revision uint64) mirror.Position {
	return mirror.Position{Revision: revision}
}

func entry(key string, revision uint64) mirror.Entry {
	return mirror.Entry{Key: key, Value: []byte(fmt.Sprint(key, revision)), Revision: revision}
}

func TestSinceReturnsChangesAndRemovals(t *testing.T) {
	s := mirror.NewState()
	s.Replace(at(5), []mirror.Entry{entry("a", 3), entry("b", 4)})
	s.Advance(at(8), []mirror.Entry{entry("c", 6), {Key: "a", Revision: 7, Deleted: true}})
	s.Advance(at(9), []mirror.Entry{entry("c", 2)})
	assert.DeepEqual(t, s.Since(at(5)), mirror.Delta{Position: at(9), Entries: []mirror.Entry{{Key: "a", Revision: 7, Deleted: true}, entry("c", 6)}})
	assert.DeepEqual(t, s.Since(at(0)), mirror.Delta{Position: at(9), Complete: true, Entries: []mirror.Entry{entry("b", 4), entry("c", 6)}})
	position, changed := s.Position()
	assert.Equal(t, position, at(9))
	assert.Equal(t, changed, uint64(7))
}

func TestReplaceRemovesWhatIsNotListed(t *testing.T) {
	s := mirror.NewState()
	s.Replace(at(5), []mirror.Entry{entry("a", 3), entry("b", 4)})
	s.Replace(at(9), []mirror.Entry{entry("b", 4)})
	assert.DeepEqual(t, s.Since(at(5)), mirror.Delta{Position: at(9), Entries: []mirror.Entry{{Key: "a", Revision: 9, Deleted: true}}, Keys: []string{"b"}})
	assert.DeepEqual(t, s.Since(at(9)), mirror.Delta{Position: at(9)})
}

// Guards against an entry that is kept for ever by a host that heard of it elsewhere: it came
// and went between two lists.
func TestHostBehindAListHearsOfAllKeys(t *testing.T) {
	reader, follower := mirror.NewState(), mirror.NewState()
	reader.Replace(at(5), []mirror.Entry{entry("a", 3)})
	follower.Replace(at(5), []mirror.Entry{entry("a", 3)})
	follower.Advance(at(6), []mirror.Entry{entry("gone", 6), entry("newer", 12)})
	reader.Replace(at(9), []mirror.Entry{entry("a", 3)})
	_, changed := reader.Position()
	assert.Equal(t, changed, uint64(9))
	delta := reader.Since(at(6))
	assert.Assert(t, !delta.Complete)
	follower.Retain(delta.Position, delta.Keys)
	follower.Advance(delta.Position, delta.Entries)
	var keys []string
	for _, e := range follower.Since(at(0)).Entries {
		keys = append(keys, e.Key)
	}
	assert.DeepEqual(t, keys, []string{"a", "newer"})
	assert.DeepEqual(t, follower.Since(at(6)).Keys, keys)
}

// The pages of a list are no snapshot: an entry may be newer than the position. A peer
// must not be told of a change that it can't fetch up to.
func TestChangedIsNeverAfterThePosition(t *testing.T) {
	s := mirror.NewState()
	s.Replace(at(5), []mirror.Entry{entry("a", 7)})
	_, changed := s.Position()
	assert.Equal(t, changed, uint64(5))
	assert.Equal(t, len(s.Since(at(5)).Entries), 1)
}

func TestHostFarBehindGetsEverything(t *testing.T) {
	s := mirror.NewState()
	for revision := uint64(1); revision <= 5000; revision++ {
		s.Advance(at(revision), []mirror.Entry{{Key: fmt.Sprint("gone-", revision), Revision: revision, Deleted: true}})
	}
	s.Advance(at(5001), []mirror.Entry{entry("a", 5001)})
	assert.Assert(t, s.Since(at(10)).Complete)
	assert.Equal(t, len(s.Since(at(10)).Entries), 1)
	assert.Assert(t, !s.Since(at(4999)).Complete)
	assert.Equal(t, len(s.Since(at(4999)).Entries), 2)
}

func TestCompressedValueIsUnchanged(t *testing.T) {
	value := bytes.Repeat([]byte("route "), 10000)
	data, err := mirror.Compress(value)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < len(value)/10)
	got, err := mirror.Decompress(data)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, value))
	_, err = mirror.Decompress(data[:len(data)/2])
	assert.Assert(t, err != nil)
}

// A small message must not expand without bound.
func TestDecompressIsBounded(t *testing.T) {
	data, err := mirror.Compress(make([]byte, 32<<20))
	assert.NilError(t, err)
	_, err = mirror.Decompress(data)
	assert.ErrorContains(t, err, "more than")
}

func TestHostsTakeOverOneByOneBeforeTheConfirmationEnds(t *testing.T) {
	const validity = 4500 * time.Millisecond
	starts := func(rank int) time.Duration {
		for age := time.Duration(0); ; age += 10 * time.Millisecond {
			if d := (mirror.Duty{Validity: validity, Readers: 1, Takeover: validity * 3 / 5}); d.Reads(rank, age) {
				return age
			}
		}
	}
	assert.Equal(t, starts(0), time.Duration(0))
	previous := starts(1)
	assert.Assert(t, previous > validity/2)
	for rank := 2; rank < 100; rank++ {
		next := starts(rank)
		assert.Assert(t, next >= previous && next < validity*4/5, "rank %d starts at %v", rank, next)
		previous = next
	}
}

// The less time a change has, the more hosts read the source, for a takeover from one
// that is cut off takes up to two and a half seconds.
func TestReadersFollowFromTheTimeThatChangesHave(t *testing.T) {
	for limit, readers := range map[time.Duration]int{
		500 * time.Millisecond: 3, 2 * time.Second: 3, 2500 * time.Millisecond: 3, 3 * time.Second: 2, 3500 * time.Millisecond: 1, 4 * time.Second: 1, time.Minute: 1,
	} {
		assert.Equal(t, mirror.Readers(limit), readers, "%v", limit)
	}
	d := mirror.Duty{Validity: 4 * time.Second, Readers: 2, Takeover: 2500 * time.Millisecond}
	assert.Assert(t, d.Reads(1, 0))
	assert.Assert(t, !d.Reads(2, time.Second))
	assert.Assert(t, d.Reads(2, 3*time.Second))
}

func TestTakeoverEndsWithAFreshConfirmationByALowerRank(t *testing.T) {
	d := mirror.Duty{Validity: 4 * time.Second, Readers: 1, Takeover: 2500 * time.Millisecond}
	assert.Assert(t, d.Reads(2, 3*time.Second))
	assert.Assert(t, d.Reads(2, 0), "its own confirmation is no reason to stop")
	d.Vouched(2, 3, 0)
	assert.Assert(t, d.Reads(2, 0), "a higher rank")
	d.Vouched(2, 1, 3*time.Second)
	assert.Assert(t, d.Reads(2, 0), "an old confirmation")
	d.Vouched(2, 1, time.Second)
	assert.Assert(t, !d.Reads(2, 0))
}

// A host that starts knows nothing of removals before its start. A peer that was behind
// them must not take its confirmation for the news that nothing has changed.
func TestHostThatStartedLaterDoesNotHideRemovals(t *testing.T) {
	peerPosition := uint64(100) // of a peer that still holds the removed entry "b"
	s := mirror.NewState()
	s.Replace(at(115), []mirror.Entry{entry("a", 95)}) // "b" was removed at 110
	_, changed := s.Position()
	assert.Assert(t, changed > peerPosition)
	assert.Assert(t, s.Since(at(peerPosition)).Complete)
}
