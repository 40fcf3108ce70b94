// Package revision decides which published configuration is in force on one
// host, and how hosts fetch a newer one from each other.
//
// The rules:
//
//   - The highest valid revision wins. A document with a lower revision than
//     the one in force is ignored, even if the service was restored to it; the
//     operator publishes the wanted text again under a higher revision.
//   - Whether a document is valid is a pure function of its bytes
//     (config.Parse), so all hosts reach the same decision. A rejected document
//     does not change the one in force.
//   - Two documents under one revision are a fault of the service. The greater
//     digest wins, so that all hosts converge on the same document.
//   - Heartbeats carry the revision and digest in force. A host that is behind
//     fetches the chunks it lacks from the host that is ahead. Chunk boundaries
//     depend on the content of lines, so a change of one line transfers only a
//     few chunks.
//   - A few hosts of each failure domain watch the service (Watches); the others
//     poll it at a longer interval.
//   - A host starts without a configuration. It is ready once a document is in
//     force, enough peers have answered and none of them is ahead (Ready). A host
//     that receives no answer from a peer within PeerWaitTimeout uses the document
//     of the service, which may be stale; the first heartbeat from a peer corrects
//     it.
//
// The host package holds the lock; nothing here is safe for concurrent use,
// performs I/O or reads the clock.
package revision
