// Package revision decides which published configuration is in force on one
// host, and how a newer one travels between hosts.
//
// The rules:
//
//   - The highest valid revision wins. A document with a lower revision than
//     the one in force is ignored, also if the service was restored to it; the
//     operator publishes the wanted text again under a higher number.
//   - Whether a document is valid is a pure function of its bytes
//     (config.Parse), so all hosts accept or reject it alike. A rejected document
//     leaves the one in force as it is.
//   - Two documents under one revision are a fault of the service. The greater
//     digest wins, so that all hosts end with the same one.
//   - Revision and digest travel in heartbeats. A host that is behind pulls the
//     chunks it lacks from the host that is ahead. Chunks end at lines chosen by
//     their content, so a change of one line moves a few chunks only.
//   - Few hosts of each failure domain watch the service (Watches); the others
//     look at it rarely.
//   - A host that starts knows nothing. It is ready once a document is in force,
//     enough peers have answered and none of them is ahead (Ready). A host that
//     hears nobody for LoneStart goes on with what the service says, which may
//     be stale; the first heartbeat from a peer corrects it.
//
// The host package holds the lock; nothing here is safe for concurrent use, does
// I/O or reads the clock.
package revision
