// Package lease grants and accounts for leases on the KV memory of engines.
//
// One host owns each engine. Its Owner grants short leases on the tokens of the
// engine to all hosts; a Table on each host admits requests against the leases
// that the host holds, without a message. Both exchange the messages
// LeaseRequest and LeaseResponse of the peer protocol:
//
//	holder                                          owner
//	Table.Take fails
//	Table.Request         ---- LeaseRequest ---->   Owner.Handle
//	Table.HandleResponse  <--- LeaseResponse ----
//	Table.Take
//
// These rules keep the tokens in use within the capacity:
//
//   - A request states the tokens that the holder uses or keeps (held_tokens).
//     The owner records that number plus the grant and replaces its earlier
//     record, so lost, repeated or delayed messages do not accumulate. The
//     owner repeats the response to a repeated sequence number and grants
//     nothing for an older one; the holder ignores all responses but that to its
//     newest request. The sequence number is the time of sending, so that an
//     owner without a record of the newest number can refuse delayed requests.
//   - The holder counts the time to live from when it sent the request and ends
//     the lease Margin early; the owner counts it from when it handled the
//     request. A holder that was paused or partitioned therefore stops before
//     the owner grants the tokens to others. Margin covers the delay between
//     Table.Take and the arrival of the work at the engine.
//   - After a lease expires without being returned, the owner grants its tokens
//     again only after a later report shows what is in use.
//   - A new owner records what the engine reports and what holders claim, and
//     grants nothing else (but SettleShare of the free tokens) until every lease
//     of the former owner has ended.
//
// The tokens in use can exceed the capacity only in these cases: by at most
// SettleShare of the free tokens while a new owner settles; while two hosts both
// act as the owner of one engine, until one report after they agree again; and
// by work that reaches the engine more than Margin after Table.Take, or without a
// lease, until a report shows it. The engine's own admission then queues or
// refuses the excess.
//
// Every clock may differ from the owner's by MaxSkew. A holder whose clock
// differs by more gets no lease, and Owner.RefusedAsMisdated counts its requests.
// The membership package must take longer than MaxTickGap to count a host as
// failed, so that an owner that was frozen while another took over detects its
// pause.
//
// Nothing in this package is safe for concurrent use; the host package holds
// the lock. No function does I/O or reads the clock.
package lease
