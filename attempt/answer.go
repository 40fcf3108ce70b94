package attempt

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/citronscale/citronscale/upstream"
)

// border is a place in the answer where a frame began.
type border struct {
	offset uint64 // in tokens
	bytes  int    // in the text
}

// take checks a frame of the current attempt against the answer and returns
// the part that the caller lacks, which is empty for a duplicate.
func (a *answer) take(frame upstream.Frame) (Deliver, error) {
	end := frame.Offset + uint64(frame.Tokens)
	switch {
	case end < frame.Offset:
		return Deliver{}, fmt.Errorf("frame at offset %d holds %d tokens", frame.Offset, frame.Tokens)
	case frame.Offset > a.tokens:
		return Deliver{}, fmt.Errorf("frame begins at offset %d, want %d", frame.Offset, a.tokens)
	case frame.Tokens == 0 && frame.Text != "":
		return Deliver{}, fmt.Errorf("frame at offset %d holds text without tokens", frame.Offset)
	case frame.Done && end != a.tokens:
		return Deliver{}, fmt.Errorf("end marker at offset %d, want %d", end, a.tokens)
	case end <= a.tokens:
		return Deliver{}, nil
	}
	text, err := a.trim(frame)
	if err != nil {
		return Deliver{}, err
	}
	piece := Deliver{Offset: a.tokens, Tokens: uint32(end - a.tokens), Text: text}
	a.borders = append(a.borders, border{a.tokens, a.text.Len()})
	a.text.WriteString(text)
	a.tokens = end
	return piece, nil
}

// trim cuts off the text that the caller already has. The overlap must begin
// where an earlier frame began and hold the same text.
func (a *answer) trim(frame upstream.Frame) (string, error) {
	if frame.Offset == a.tokens {
		return frame.Text, nil
	}
	at, ok := slices.BinarySearchFunc(a.borders, frame.Offset, func(b border, offset uint64) int {
		return cmp.Compare(b.offset, offset)
	})
	if !ok {
		return "", fmt.Errorf("frame overlaps the answer from offset %d, where no frame began", frame.Offset)
	}
	overlap := a.text.String()[a.borders[at].bytes:]
	rest, ok := strings.CutPrefix(frame.Text, overlap)
	if !ok {
		return "", fmt.Errorf("frame at offset %d repeats the answer with other text", frame.Offset)
	}
	return rest, nil
}
