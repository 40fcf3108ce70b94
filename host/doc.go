// Package host assembles an entry host from the decision packages and their
// adapters.
//
// New provisions a Host from its settings, Run opens the listeners and serves
// until the context ends, and Cleanup closes what is left. The files follow the
// jobs of a host:
//
//	host.go           provision, run, cleanup
//	lifecycle.go      starting, ready, leaving, stopped
//	listeners.go      the three listeners; tls.go their certificates
//	agreement.go      membership, owners of engines, configuration in force
//	configuration.go  offers of the service and of peers; policy.go what they change
//	platform.go       reads of the platform; hostlist.go the list between hosts
//	heartbeats.go     heartbeats to and from other hosts
//	admission.go      checks and limits of a completion
//	placement.go      where a completion goes; leases.go, queue.go, gang.go its parts
//	completion.go     one completion from admission to its end; attempts.go its sends
//	retries.go        the retry rule; strikes.go content that crashes engines
//	engines.go        reports and reclaim for owned engines; orders.go their orders
//	keyed.go          calls of plain services
//	peers.go          what other hosts ask; peerclients.go asking them
//	operators.go      what operators ask; dump.go, levels.go, records.go the answers
//	backend.go        the rest of what the caller face needs
//
// The decision packages hold no locks; each part of a Host guards its own with
// one mutex and never calls another part while it holds it.
package host
