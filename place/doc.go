// Package place decides which engines read and write a stream.
//
// A Ledger holds the streams that this host and its peers have placed; Loads
// turns it into what each engine still has to read and who writes there.
// Decide weighs the candidates for one new stream by the harm that it expects:
// a late first event or a late pause, of the new stream and of those that write
// already. The relay package calls it for each stream; the load it answers is
// many short prompts together with few very long ones on shared engines.
//
// A Ledger is safe for concurrent use. Loads and Decide are pure.
package place
