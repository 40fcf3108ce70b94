// Package pace estimates how slow each engine is, as a factor on its published times.
//
// Engines may become several times slower for some seconds while their health checks
// pass. A Stream follows the events of one stream of this host, and a Book keeps an
// estimate for each engine from three kinds of evidence:
//
//   - the time between events, without the longest gap, against the predicted passes and
//     the prefill that may have run in between (Book.Span);
//   - silence well beyond the prediction while streams wait for an event (Book.Check);
//   - late first events, which count only together, as work that this host doesn't know of
//     also makes one late (Book.First).
//
// Peers tell each other about slow engines (Book.Reports, Book.SetPeer), and the median of
// their estimates and the own one holds. The relay package feeds the observations;
// package place uses the factors.
//
// Load: engines of which a third become 4 to 8 times slower for some seconds, at hosts that
// have one or two streams on each, read events late and in bursts, and hear of each other's
// streams 0.2 s late.
//
// A Book and a Stream perform no I/O and read no clock.
package pace
