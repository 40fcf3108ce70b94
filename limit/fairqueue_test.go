package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
)

func servesAll(balancer.Class) bool { return true }

func testItem(id uint64, team string, class balancer.Class, tokens uint64) Item {
	return Item{ID: id, Team: team, Class: class, Tokens: tokens, Deadline: epoch.Add(time.Hour)}
}

func TestQueueSharesByTokensAndWeight(t *testing.T) {
	q := NewFairQueue(DefaultQueueOptions())
	var id uint64
	push := func(team string, weight float64, tokens uint64) {
		id++
		item := testItem(id, team, balancer.ClassShort, tokens)
		item.Weight = weight
		_, err := q.Push(epoch, item)
		assert.NilError(t, err)
	}
	for range 600 {
		push("many", 1, 10)
	}
	for range 60 {
		push("large", 1, 100)
		push("heavy", 2, 100)
	}
	served := make(map[string]uint64)
	for range 200 {
		item, ok := q.Pop(epoch, servesAll)
		assert.Assert(t, ok)
		served[item.Team] += item.Tokens
	}
	assert.Assert(t, served["many"] <= served["large"]+100 && served["large"] <= served["many"]+100, "%v", served)
	assert.Assert(t, served["heavy"] <= 2*served["large"]+200 && 2*served["large"] <= served["heavy"]+200, "%v", served)
}

func TestShortRequestsDoNotStarveLongOnes(t *testing.T) {
	options := DefaultQueueOptions()
	options.ShortStreak = 100
	q := NewFairQueue(options)
	for id := range uint64(100) {
		class := balancer.ClassShort
		if id%2 == 1 {
			class = balancer.ClassLong
		}
		_, err := q.Push(epoch, testItem(id, "a", class, 10))
		assert.NilError(t, err)
	}
	for n := range 22 {
		item, _ := q.Pop(epoch, servesAll)
		want := balancer.ClassShort
		if n%11 == 10 {
			want = balancer.ClassLong
		}
		assert.Equal(t, item.Class, want, "item %d", n)
	}
	item, _ := q.Pop(epoch, func(class balancer.Class) bool { return class == balancer.ClassLong })
	assert.Equal(t, item.Class, balancer.ClassLong)
}

func TestFullQueueRefusesTheLargestTeam(t *testing.T) {
	options := DefaultQueueOptions()
	options.MaxItems = 10
	q := NewFairQueue(options)
	for id := range uint64(10) {
		_, err := q.Push(epoch, testItem(id, "flood", balancer.ClassShort, 10))
		assert.NilError(t, err)
	}
	_, err := q.Push(epoch, testItem(10, "flood", balancer.ClassShort, 10))
	assert.Equal(t, code.Of(err), code.NoCapacity)
	evicted, err := q.Push(epoch, testItem(11, "small", balancer.ClassShort, 10))
	assert.NilError(t, err)
	assert.Equal(t, len(evicted), 1)
	assert.Equal(t, evicted[0].ID, uint64(9))
	assert.Equal(t, q.Len(), 10)
}

func TestQueueRefusesByDeadlineOnlyOnceDrainRateIsKnown(t *testing.T) {
	q := NewFairQueue(DefaultQueueOptions())
	now := epoch
	for id := range uint64(100) {
		_, err := q.Push(now, testItem(id, "a", balancer.ClassShort, 100))
		assert.NilError(t, err, "the drain rate is not known yet")
	}
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		q.Pop(now, servesAll)
	}
	item := testItem(1000, "a", balancer.ClassShort, 100)
	item.Deadline = now.Add(time.Second)
	_, err := q.Push(now, item)
	assert.Equal(t, code.Of(err), code.DeadlineTooShort)
	item.Deadline = now.Add(10 * time.Second)
	_, err = q.Push(now, item)
	assert.NilError(t, err)
	for q.Len() > 0 {
		q.Pop(now, servesAll)
	}
	now = now.Add(time.Hour)
	for id := range uint64(20) {
		item = testItem(2000+id, "a", balancer.ClassShort, 100)
		item.Deadline = now.Add(5 * time.Second)
		_, err = q.Push(now, item)
		assert.NilError(t, err, "idle time must not lower the rate")
	}
}

// The oracle is a map of the items that were pushed and have not left the queue.
func TestItemsLeaveTheQueueExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := QueueOptions{MaxItems: 8, MaxTokens: 100, ShortStreak: 20}
		q := NewFairQueue(options)
		queued := make(map[uint64]Item)
		now, id := epoch, uint64(0)
		markRemoved := func(item Item) {
			_, ok := queued[item.ID]
			assert.Assert(t, ok, "item %d left twice", item.ID)
			delete(queued, item.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id++
				team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
				class := balancer.Class(rapid.IntRange(1, balancer.Classes).Draw(t, "class"))
				item := testItem(id, team, class, rapid.Uint64Range(0, 40).Draw(t, "tokens"))
				item.Deadline = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				evicted, err := q.Push(now, item)
				if err == nil {
					queued[id] = item
				}
				for _, victim := range evicted {
					markRemoved(victim)
				}
			},
			"pop": func(*rapid.T) {
				if item, ok := q.Pop(now, servesAll); ok {
					markRemoved(item)
				}
			},
			"remove": func(t *rapid.T) {
				removed := rapid.Uint64Range(0, id).Draw(t, "id")
				_, ok := queued[removed]
				assert.Equal(t, q.Remove(removed), ok)
				delete(queued, removed)
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				for _, item := range q.Expire(now) {
					assert.Assert(t, now.After(item.Deadline))
					markRemoved(item)
				}
			},
			"": func(t *rapid.T) {
				var tokens uint64
				for _, item := range queued {
					tokens += item.Tokens
				}
				assert.Equal(t, q.Len(), len(queued))
				assert.Equal(t, q.tokens, tokens)
				assert.Assert(t, q.Len() <= options.MaxItems && tokens <= options.MaxTokens)
			},
		})
	})
}
