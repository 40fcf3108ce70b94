// Package host assembles an entry host from the decision packages and their
// adapters.
//
// New provisions a Host from its settings, Run opens the listeners and serves
// until the context ends, and Cleanup closes the remaining listeners and
// connections. The files are organized by responsibility:
//
//	host.go           provision, run, cleanup
//	lifecycle.go      starting, ready, leaving, stopped
//	listeners.go      the three listeners; tls.go their certificates
//	agreement.go      membership, owners of engines, configuration in force
//	configuration.go  configurations of the service and of peers; policy.go their effect
//	platform.go       reads of the platform; hostlist.go the host list and its exchange
//	heartbeats.go     heartbeats to and from other hosts
//	admission.go      checks and limits of a completion
//	placement.go      choice of the engine; leases.go, queue.go, gang.go its parts
//	completion.go     one completion from admission to its end; attempts.go its sends
//	retries.go        the retry rule; strikes.go content that crashes engines
//	engines.go        reports and reclaim for owned engines; orders.go their orders
//	keyed.go          calls of plain services
//	peers.go          requests of other hosts; peerclients.go requests to them
//	operators.go      requests of operators; dump.go, levels.go, records.go their data
//	backend.go        the remaining methods of gateway.Backend
//
// The decision packages hold no locks. Each part of a Host guards its state
// with one mutex and never calls another part while it holds that mutex.
package host
