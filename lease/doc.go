// Package lease keeps the account of the KV memory of each engine.
//
// One host owns each engine. Its Owner lends the tokens of the engine to the
// other hosts for a short time; a Book on each host admits requests against
// what it holds, without asking anyone. Both speak the messages LeaseRequest
// and LeaseResponse of the peer protocol:
//
//	holder                                   owner
//	Book.Take fails
//	Book.Request  ---- LeaseRequest ---->    Owner.Handle
//	Book.Response <--- LeaseResponse ----
//	Book.Take
//
// The rules that keep the sum of all use within the capacity:
//
//   - A request states the tokens that the holder uses or keeps (held_tokens).
//     The owner books that number plus the grant, in place of what it booked
//     before. A lost, repeated or late message therefore never adds up: the
//     sequence number lets the owner repeat the answer to a repeated request
//     and ignore an older one, and the holder ignores all answers but that to
//     its newest request. The number is the time of sending, so that an owner
//     that does not know the newest number refuses what was under way too long.
//   - The holder counts the time to live from when it sent the request and ends
//     Margin early; the owner counts it from when it handled the request. So a
//     holder that was paused or cut off stops before the owner lends the tokens
//     to others. Margin covers the delay between Book.Take and the arrival of
//     the work at the engine.
//   - After a lease ended without being given back, the owner lends its tokens
//     again only once a report that was taken later shows what is in use.
//   - A new owner books what the engine reports and what holders claim, and
//     lends nothing else (but SettleShare of the free tokens) until every lease
//     of the former owner has ended.
//
// The sum of tokens in use can exceed the capacity in these windows only: by at
// most SettleShare of the free tokens while a new owner settles; while two
// hosts take themselves for the owner of one engine, until one report after
// they agree again; and by work that reaches the engine more than Margin after
// Book.Take, or without a lease, until a report shows it. The engine's own admission then queues or refuses the excess.
//
// All clocks may differ from the owner's by MaxSkew. A holder whose clock is
// further off gets no lease, and Owner.RefusedAsMisdated counts its requests. The
// membership must take longer than MaxTickGap to call a host failed, so that an
// owner that was frozen while another took over notices its pause.
//
// Nothing in this package is safe for concurrent use; the host package holds
// the lock. No function does I/O or reads the clock.
package lease
