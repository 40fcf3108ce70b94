package attempt

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/citronscale/citronscale/upstream"
)

// frameStart is the position in the answer at which a frame began.
type frameStart struct {
	offset uint64 // in tokens
	bytes  int    // in the text
}

// accept checks a frame of the current attempt against the answer and returns
// the part not yet delivered to the caller, which is empty for a duplicate.
func (a *answer) accept(frame upstream.Frame) (Deliver, error) {
	end := frame.Offset + uint64(frame.Tokens)
	switch {
	case end < frame.Offset:
		return Deliver{}, fmt.Errorf("frame at offset %d with %d tokens overflows the offset", frame.Offset, frame.Tokens)
	case frame.Offset > a.tokens:
		return Deliver{}, fmt.Errorf("frame begins at offset %d, want %d", frame.Offset, a.tokens)
	case frame.Tokens == 0 && frame.Text != "":
		return Deliver{}, fmt.Errorf("frame at offset %d has text but no tokens", frame.Offset)
	case frame.Done && end != a.tokens:
		return Deliver{}, fmt.Errorf("end marker at offset %d, want %d", end, a.tokens)
	case end <= a.tokens:
		return Deliver{}, nil
	}
	text, err := a.trimOverlap(frame)
	if err != nil {
		return Deliver{}, err
	}
	delivery := Deliver{Offset: a.tokens, Tokens: uint32(end - a.tokens), Text: text}
	a.frameStarts = append(a.frameStarts, frameStart{a.tokens, a.text.Len()})
	a.text.WriteString(text)
	a.tokens = end
	return delivery, nil
}

// trimOverlap removes the text already delivered to the caller. The overlap must
// begin where an earlier frame began and contain the same text.
func (a *answer) trimOverlap(frame upstream.Frame) (string, error) {
	if frame.Offset == a.tokens {
		return frame.Text, nil
	}
	at, ok := slices.BinarySearchFunc(a.frameStarts, frame.Offset, func(b frameStart, offset uint64) int {
		return cmp.Compare(b.offset, offset)
	})
	if !ok {
		return "", fmt.Errorf("frame overlaps the answer from offset %d, where no frame began", frame.Offset)
	}
	overlap := a.text.String()[a.frameStarts[at].bytes:]
	rest, ok := strings.CutPrefix(frame.Text, overlap)
	if !ok {
		return "", fmt.Errorf("frame at offset %d overlaps the answer with different text", frame.Offset)
	}
	return rest, nil
}
