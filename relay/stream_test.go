package relay

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func readEvents(t *testing.T, text string) (events, ids []string, err error) {
	t.Helper()
	reader := newEventReader(strings.NewReader(text))
	for {
		raw, id, err := reader.next()
		if err != nil {
			return events, ids, err
		}
		events, ids = append(events, string(raw)), append(ids, id)
	}
}

// An engine that sends only comments makes no progress, so they must not restart the
// timeout as an event does.
func TestCommentsAreNoEvents(t *testing.T) {
	events, ids, err := readEvents(t, ": alive\n\n\n: alive\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	assert.ErrorIs(t, err, io.EOF)
	assert.DeepEqual(t, events, []string{": alive\n\n\n: alive\n\nid: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"})
	assert.DeepEqual(t, ids, []string{"1", "2"})
}

func TestCommentsAfterTheLastEventAreReturned(t *testing.T) {
	reader := newEventReader(strings.NewReader("id: 1\ndata: a\n\n: end\n\n"))
	_, _, err := reader.next()
	assert.NilError(t, err)
	raw, _, err := reader.next()
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, string(raw), ": end\n\n")
}

func TestEndlessCommentsAreCut(t *testing.T) {
	events, _, err := readEvents(t, strings.Repeat(": alive\n\n", maxEventBytes/8))
	assert.ErrorIs(t, err, errEventTooLong)
	assert.Equal(t, len(events), 0)
}

func TestStreamThatEndsWithinAnEventIsIncomplete(t *testing.T) {
	const whole = "id: 1\ndata: a\n\n"
	for cut := 1; cut < len(whole); cut++ {
		_, _, err := readEvents(t, whole+whole[:cut])
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "cut after %q", whole[:cut])
	}
}

// Guards against two events that are joined, or an identifier read from the middle of a
// line, where a line fills the buffer of the reader.
func TestLineThatFillsTheBufferEndsNoEvent(t *testing.T) {
	const bufferSize = 4096
	for size := bufferSize - 2; size <= 2*bufferSize+2; size++ {
		data := "data: " + strings.Repeat("a", size)
		first := "id: 1\n" + data[:size] + "\n\n"
		second := "id: 2\n" + data[:size-4] + "id:7\n\n"
		events, ids, err := readEvents(t, first+second)
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, len(events), 2, "lines of %d bytes", size)
		assert.Assert(t, events[0] == first && events[1] == second, "lines of %d bytes", size)
		assert.DeepEqual(t, ids, []string{"1", "2"})
	}
}

// Guards against streams whose events are never passed on: a line may end with a carriage
// return alone.
func TestLinesMayEndWithACarriageReturn(t *testing.T) {
	for _, end := range []string{"\n", "\r", "\r\n"} {
		first := ": alive" + end + "id: 1" + end + "data: a" + end + "data: b" + end + end
		second := "id: 2" + end + "data: c" + end + end
		events, ids, err := readEvents(t, first+second)
		assert.ErrorIs(t, err, io.EOF, "line end %q", end)
		assert.DeepEqual(t, events, []string{first, second})
		assert.DeepEqual(t, ids, []string{"1", "2"})
	}
}

// Events must not wait for the line feed that may follow a carriage return.
func TestEventIsReturnedBeforeTheLineFeedOfItsLastLine(t *testing.T) {
	const stream = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"
	for size := 1; size <= len(stream); size++ {
		reader := newEventReader(&pieces{stream, size})
		var events, ids []string
		raw, id, err := reader.next()
		for ; err == nil; raw, id, err = reader.next() {
			events, ids = append(events, string(raw)), append(ids, id)
		}
		assert.ErrorIs(t, err, io.EOF, "pieces of %d bytes", size)
		assert.Equal(t, strings.Join(events, "")+string(raw), stream, "pieces of %d bytes", size)
		assert.DeepEqual(t, ids, []string{"1", "2"})
	}
}

// pieces is a reader that returns a text in pieces of one size.
type pieces struct {
	text string
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(b, p.text[:min(p.size, len(p.text))])
	p.text = p.text[n:]
	return n, nil
}

func TestEventWithCarriageReturnsIsReturnedAtOnce(t *testing.T) {
	out, in := io.Pipe()
	go func() { _, _ = io.WriteString(in, "id: 1\rdata: a\r\r") }() // and nothing more
	t.Cleanup(func() { _ = in.Close() })
	got := make(chan string)
	go func() {
		raw, _, err := newEventReader(out).next()
		got <- fmt.Sprint(string(raw), err)
	}()
	select {
	case event := <-got:
		assert.Equal(t, event, "id: 1\rdata: a\r\r<nil>")
	case <-time.After(10 * time.Second):
		t.Fatal("the event waits for more bytes")
	}
}
