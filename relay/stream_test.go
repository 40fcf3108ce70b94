package relay

import (
	"io"
	"strings"
	"testing"

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
