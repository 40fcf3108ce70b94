// Package place chooses the engines that prefill and decode a stream.
//
// A Ledger holds the streams that this host and its peers have placed. Loads
// derives from them the remaining prefill and the decoding streams of each
// engine. Decide compares plans for one new stream by their expected cost: first
// events and gaps between events that miss their goals, of the new stream and of
// those already placed. The relay package calls Decide for each stream. The
// policy is designed for many short prompts and few very long ones on shared
// engines.
//
// A Ledger is safe for concurrent use. Loads and Decide are pure.
package place
