package retry

import "time"

// BudgetOptions are the limits of a Budget.
type BudgetOptions struct {
	Ratio     float64 // retries added for each first attempt
	PerSecond float64 // retries added each second, independent of the traffic
	Burst     float64 // maximum level
	Initial   float64 // level at the start; 0 for Burst
}

// DefaultBudgetOptions returns the options that apply unless the configuration
// sets others.
func DefaultBudgetOptions() BudgetOptions {
	return BudgetOptions{Ratio: 0.1, PerSecond: 1, Burst: 20}
}

// Budget is a token bucket: first attempts and time fill it, and each retry takes
// one token.
// Over any period it grants at most Burst + Ratio*(first attempts) +
// PerSecond*(seconds) retries.
type Budget struct {
	options BudgetOptions
	level   float64
	updated time.Time
}

// NewBudget returns a budget at its initial level.
func NewBudget(options BudgetOptions, now time.Time) *Budget {
	level := options.Burst
	if options.Initial > 0 {
		level = min(options.Initial, options.Burst)
	}
	return &Budget{options: options, level: level, updated: now}
}

// ShareOptions returns the options of one of several equal budgets that together grant
// at most slack retries in a window, in addition to the ratio. Each can hold a whole
// retry, also where its share of the slack is smaller.
func ShareOptions(ratio, slack float64, window time.Duration, budgets int) BudgetOptions {
	share := slack / float64(max(budgets, 1))
	burst := max(share/2, 1)
	return BudgetOptions{
		Ratio: ratio, Burst: burst, Initial: min(share, burst), PerSecond: max(share-burst, 0) / window.Seconds(),
	}
}

// SetOptions changes the limits. What the budget holds beyond the new burst is lost.
func (b *Budget) SetOptions(options BudgetOptions, now time.Time) {
	b.refill(now)
	b.options = options
	b.add(0)
}

// SetRatio changes the retries that each later first attempt adds.
func (b *Budget) SetRatio(ratio float64) {
	b.options.Ratio = ratio
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst(now time.Time) {
	b.refill(now)
	b.add(b.options.Ratio)
}

// Take takes one retry from the budget. It returns false if the level is below 1.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// Return gives back a retry that was taken and not made.
func (b *Budget) Return() {
	b.add(1)
}

// Level returns the number of retries that the budget allows at present.
func (b *Budget) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.add(b.options.PerSecond * elapsed.Seconds())
}

func (b *Budget) add(tokens float64) {
	b.level = min(b.options.Burst, b.level+tokens)
}
