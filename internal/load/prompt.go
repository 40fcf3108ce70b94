package load

import "math/rand/v2"

const (
	bytesPerToken  = 4
	lettersPerWord = 15
	bitsPerLetter  = 4
	letterMask     = 1<<bitsPerLetter - 1
	prefixSeed     = 0x5eed
)

// Prompt returns the prompt of an arrival. It depends on the arrival and, for
// the shared prefix, on the seed of the run.
func (w *Workload) Prompt(arrival Arrival, seed uint64) string {
	text := make([]byte, 0, int(arrival.PromptTokens)*bytesPerToken)
	if arrival.Prefix != noPrefix {
		stream := uint64(arrival.Stream)
		rng := rand.New(rand.NewPCG(seed^prefixSeed, stream<<32|uint64(arrival.Prefix)))
		text = appendWords(text, rng, int(w.Streams[arrival.Stream].Prefixes.Tokens)*bytesPerToken)
	}
	rng := rand.New(rand.NewPCG(arrival.PromptSeed, seed))
	return string(appendWords(text, rng, cap(text)))
}

// appendWords extends text to the given length.
func appendWords(text []byte, rng *rand.Rand, length int) []byte {
	for len(text) < length {
		bits := rng.Uint64()
		for range min(lettersPerWord, length-len(text)) {
			text = append(text, 'a'+byte(bits&letterMask))
			bits >>= bitsPerLetter
		}
		if len(text) < length {
			text = append(text, ' ')
		}
	}
	return text
}
