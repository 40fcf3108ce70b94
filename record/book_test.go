package record

import (
	"encoding/json"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/testseed"
)

var start = time.UnixMilli(1_000_000)

func testBook(host ident.Host) *Book {
	return New(Options{Host: host, Incarnation: 1, MaxRequests: 4, MaxAge: time.Minute, MaxOrigins: 2})
}

func id(host ident.Host, sequence uint64) ident.Request {
	return ident.Request{Host: host, Incarnation: 1, Sequence: sequence}
}

// TestLookupMatchesAddedEntries guards against lookups that deny or invent
// entries. It compares a small book with everything that was added.
func TestLookupMatchesAddedEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := testseed.Drawn{T: t}
		book := testBook("host-0")
		all := map[ident.Request]int{}
		now := start
		issued := uint64(0)
		for range 100 {
			now = now.Add(time.Duration(choose.Pick("tick", 20)) * time.Second)
			request := id("host-0", uint64(choose.Pick("own", int(issued)+1)+1))
			kind := Queued
			switch {
			case request.Sequence > issued:
				issued++
				kind = Admitted
			case choose.Pick("foreign", 3) == 0:
				request = ident.Request{Host: "host-1", Incarnation: ident.Incarnation(choose.Pick("origin", 4)), Sequence: uint64(choose.Pick("sequence", 8) + 1)}
				kind = Received
			}
			book.Add(Entry{Request: request, Time: now, Kind: kind})
			all[request]++
			assert.Assert(t, book.Len() <= 4 && !book.Oldest().Before(now.Add(-time.Minute)))
			checkLookups(t, book, all, issued)
		}
	})
}

func checkLookups(t *rapid.T, book *Book, all map[ident.Request]int, issued uint64) {
	check := func(request ident.Request) {
		answer := book.Lookup(request)
		switch answer.Result {
		case Found:
			assert.Assert(t, answer.Partial || len(answer.Entries) == all[request], "%s has too few entries", request)
		case NotFound:
			assert.Equal(t, all[request], 0, "%s was added but not found", request)
		case Forgotten:
			assert.Assert(t, len(answer.Entries) == 0)
		}
	}
	for sequence := range issued + 3 {
		check(id("host-0", sequence+1))
	}
	for incarnation := range ident.Incarnation(4) {
		for sequence := range uint64(9) {
			check(ident.Request{Host: "host-1", Incarnation: incarnation, Sequence: sequence})
		}
	}
	assert.Equal(t, book.Lookup(id("host-0", issued+1)).Result, NotFound)
}

// writeHistory adds the events of one request at its own host and, if it is
// forwarded, at another one. It returns whether an upstream ran it.
func writeHistory(choose testseed.Chooser, books []*Book, request ident.Request) (ran bool) {
	at := 0
	now := start
	add := func(entry Entry) {
		now = now.Add(time.Millisecond)
		entry.Request, entry.Time = request, now
		books[at].Add(entry)
	}
	add(Entry{Kind: Admitted})
	if choose.Pick("forward", 2) == 0 {
		add(Entry{Kind: Forwarded, Peer: "host-1"})
		at = 1
		add(Entry{Kind: Received, Peer: "host-0"})
	}
	final := code.NoCapacity
	for attempt := range uint64(choose.Pick("attempts", 3)) {
		add(Entry{Kind: Sending, Attempt: attempt + 1, Upstream: "engine-1"})
		switch choose.Pick("end", 5) {
		case 0:
			add(Entry{Kind: Refused, Attempt: attempt + 1})
		case 1:
			add(Entry{Kind: Running, Attempt: attempt + 1})
			ran, final = true, code.OK
		case 2:
			add(Entry{Kind: Broken, Attempt: attempt + 1})
			ran, final = ran || choose.Pick("ran", 2) == 0, code.UpstreamLost
		default:
			return ran || choose.Pick("ran", 2) == 0 // the host fails during the attempt
		}
	}
	if at == 1 && choose.Pick("answer lost", 3) == 0 {
		final = code.KeyIssuerLost
	}
	at = 0
	add(Entry{Kind: Finished, Code: final})
	return ran
}

// TestVerdictMatchesExecution guards against a verdict that contradicts what ran.
// It combines the answers of some hosts, some of which have removed the entries.
func TestVerdictMatchesExecution(t *testing.T) {
	seen := map[Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		choose := testseed.Drawn{T: t}
		books := []*Book{testBook("host-0"), testBook("host-1")}
		request := id("host-0", 1)
		ran := writeHistory(choose, books, request)
		var answers []Answer
		for at, book := range books {
			for n := range choose.Pick("later requests", 6) {
				book.Add(Entry{Request: id(ident.Host([]string{"host-0", "host-1"}[at]), uint64(n+2)), Time: start.Add(time.Second), Kind: Admitted})
			}
			if choose.Pick("dead", 3) > 0 {
				answers = append(answers, book.Lookup(request))
			}
		}
		verdict := Judge(request, answers)
		seen[verdict.Outcome]++
		assert.Assert(t, verdict.Outcome != Ran || ran, "%s: %s", verdict.Outcome, verdict.Reason)
		assert.Assert(t, verdict.Outcome != NotRun || !ran, "%s: %s", verdict.Outcome, verdict.Reason)
	})
	for _, outcome := range []Outcome{Ran, NotRun, Unknown} {
		assert.Assert(t, seen[outcome] > 0, "no verdict was %s", outcome)
	}
	t.Logf("verdicts: %v", seen)
}

func TestNeverIssuedIsNotRun(t *testing.T) {
	book := testBook("host-0")
	request := id("host-0", 5)
	assert.Equal(t, Judge(request, []Answer{book.Lookup(request)}).Outcome, NotRun)
	assert.Equal(t, Judge(request, nil).Outcome, Unknown)
}

// TestUnknownCodeGivesUnknownVerdict checks that a code which this version does
// not define gives no definite verdict.
func TestUnknownCodeGivesUnknownVerdict(t *testing.T) {
	var entry Entry
	assert.NilError(t, json.Unmarshal([]byte(`{"request":"host-0.1.1","time":"2026-01-01T00:00:00Z","kind":"finished","code":9999}`), &entry))
	answer := Answer{Host: "host-0", Incarnation: 1, Result: Found, Entries: []Entry{entry}}
	assert.Equal(t, Judge(entry.Request, []Answer{answer}).Outcome, Unknown)
}

func TestLongHistoryIsPartial(t *testing.T) {
	book := testBook("host-0")
	request := id("host-0", 1)
	for n := range uint64(MaxEntries + 1) {
		book.Add(Entry{Request: request, Time: start, Kind: Sending, Attempt: n})
	}
	answer := book.Lookup(request)
	assert.Assert(t, answer.Partial)
	assert.Equal(t, len(answer.Entries), MaxEntries)
	data, err := json.Marshal(answer)
	assert.NilError(t, err)
	var back Answer
	assert.NilError(t, json.Unmarshal(data, &back))
	assert.Assert(t, slices.EqualFunc(back.Entries, answer.Entries, func(a, b Entry) bool {
		return a.Request == b.Request && a.Time.Equal(b.Time) && a.Kind == b.Kind && a.Attempt == b.Attempt
	}))
}

// FuzzEntry passes arbitrary data to UnmarshalJSON and Judge, because entries come
// from peers.
func FuzzEntry(f *testing.F) {
	f.Add([]byte(`{"request":"host-0.1.1","time":"2026-01-01T00:00:00Z","kind":"finished","code":1010}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var entry Entry
		if json.Unmarshal(data, &entry) != nil {
			return
		}
		Judge(entry.Request, []Answer{{Host: entry.Request.Host, Incarnation: entry.Request.Incarnation, Result: Found, Entries: []Entry{entry}}})
	})
}

// BenchmarkAdd measures the time and memory to add an entry to a full book.
func BenchmarkAdd(b *testing.B) {
	book := New(Options{Host: "host-0", Incarnation: 1, MaxRequests: 10_000, MaxAge: time.Hour, MaxOrigins: 16})
	for n := uint64(1); b.Loop(); n++ {
		book.Add(Entry{Request: id("host-0", n), Time: start, Kind: Admitted, Team: "team-1"})
	}
}

// BenchmarkRequestMemory reports the bytes that a full book uses for each
// request that was admitted, sent, answered and finished.
func BenchmarkRequestMemory(b *testing.B) {
	const requests = 65_536
	for b.Loop() {
		before := heapBytes()
		book := New(Options{Host: "host-0", Incarnation: 1, MaxRequests: requests, MaxAge: time.Hour, MaxOrigins: 16})
		for n := range uint64(requests) {
			for _, kind := range []Kind{Admitted, Sending, Running, Finished} {
				book.Add(Entry{Request: id("host-0", n+1), Time: start, Kind: kind, Attempt: 1, Team: "team-1", Upstream: "engine-1"})
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/requests, "B/request")
		runtime.KeepAlive(book)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
