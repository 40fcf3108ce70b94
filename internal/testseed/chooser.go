package testseed

import (
	"math/rand/v2"
	"os"
	"strconv"

	"pgregory.net/rapid"
)

// Chooser makes the random choices of a history.
type Chooser interface {
	// Pick returns a number from 0 to n-1.
	Pick(label string, n int) int
}

// Drawn makes choices that rapid records and shrinks.
type Drawn struct {
	T *rapid.T
}

// Pick implements Chooser.
func (d Drawn) Pick(label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(d.T, label)
}

type seeded struct {
	rng *rand.Rand
}

// Pick implements Chooser.
func (s seeded) Pick(_ string, n int) int {
	return s.rng.IntN(n)
}

// Seeded returns the choices of one numbered history under CITRON_SEED. Seeded
// histories run faster than drawn ones and reach longer chains of events.
func Seeded(history uint64) Chooser {
	seed, err := strconv.ParseUint(os.Getenv("CITRON_SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	return seeded{rand.New(rand.NewPCG(seed, history))}
}
