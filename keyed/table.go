package keyed

import (
	"container/heap"
	"container/list"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/ident"
)

// Digest identifies the content of a call.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a call to a service.
func DigestOf(service, method, path string, body []byte) Digest {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(method), []byte(path), body} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return Digest(hash.Sum(nil))
}

var keyedChart = chart.MustLoad(chart.Keyed)

// entry is one used key.
type entry struct {
	sequence      uint64
	tag           string
	expires       time.Time
	digest        Digest
	machine       *chart.Machine
	run           uint64
	ticketCopy    ident.Request // copy that has or had the ticket
	waitingCopies int           // copies that wait for the end of the run
	outcome       Outcome
	answer        *list.Element // element in the list of recorded answers
	heapSlot      int
}

// addKey adds a key that is used for the first time, or again after a call
// that was not run.
func (i *Issuer) addKey(key Key, call Call) (*entry, error) {
	i.runs++
	used := &entry{
		sequence:   key.Sequence,
		tag:        key.tag,
		expires:    key.Expires,
		digest:     call.Digest,
		machine:    keyedChart.New(),
		run:        i.runs,
		ticketCopy: call.Request,
	}
	if _, err := used.machine.Fire(chart.KeyedBegin); err != nil {
		return nil, err
	}
	i.table[key.Sequence] = used
	i.teamKeys[key.tag]++
	heap.Push(&i.expiry, used)
	return used, nil
}

// releaseKey removes a key whose call was not run.
func (i *Issuer) releaseKey(used *entry) error {
	if _, err := used.machine.Fire(chart.KeyedRefused); err != nil {
		return err
	}
	heap.Remove(&i.expiry, used.heapSlot)
	i.removeKey(used)
	return nil
}

// removeExpired removes the keys that Verify refuses from now on.
func (i *Issuer) removeExpired(now time.Time) {
	for len(i.expiry) > 0 && !now.Before(i.expiry[0].expires) {
		used := heap.Pop(&i.expiry).(*entry)
		_, _ = used.machine.Fire(chart.KeyedExpire) // possible in every state
		i.removeKey(used)
	}
}

func (i *Issuer) removeKey(used *entry) {
	i.answers.remove(used)
	delete(i.table, used.sequence)
	i.teamKeys[used.tag]--
	if i.teamKeys[used.tag] == 0 {
		delete(i.teamKeys, used.tag)
	}
}

// record stores the answer of a call unless it is too large, and drops the oldest
// answers over the limit.
func (i *Issuer) record(used *entry, outcome Outcome) error {
	if _, err := used.machine.Fire(chart.KeyedAnswer); err != nil {
		return err
	}
	used.outcome = outcome
	i.answers.add(used)
	if outcome.size() > i.options.MaxAnswerBytes {
		return i.drop(used)
	}
	for i.answers.bytes > i.options.MaxOutcomeBytes {
		if err := i.drop(i.answers.oldest()); err != nil {
			return err
		}
	}
	return nil
}

func (i *Issuer) drop(used *entry) error {
	_, err := used.machine.Fire(chart.KeyedDrop)
	i.answers.remove(used)
	return err
}

// answerList contains the recorded answers, oldest first.
type answerList struct {
	order *list.List
	bytes int
}

func newAnswerList() answerList {
	return answerList{order: list.New()}
}

func (l *answerList) add(used *entry) {
	used.answer = l.order.PushBack(used)
	l.bytes += used.outcome.size()
}

func (l *answerList) oldest() *entry {
	return l.order.Front().Value.(*entry)
}

func (l *answerList) remove(used *entry) {
	if used.answer == nil {
		return
	}
	l.order.Remove(used.answer)
	l.bytes -= used.outcome.size()
	used.answer = nil
	used.outcome = Outcome{}
}

// expiryHeap orders used keys by their expiry.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(a, b int) bool { return h[a].expires.Before(h[b].expires) }

func (h expiryHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapSlot = a
	h[b].heapSlot = b
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	used := x.(*entry)
	used.heapSlot = len(*h)
	*h = append(*h, used)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	used := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return used
}
