// Package host assembles an entry host from the decision packages and their
// adapters.
//
// New provisions a Host from its settings, Run opens the listeners and serves
// until the context ends, and Cleanup closes what is left. The files follow the
// jobs of a host:
//
//	host.go        provision, run, cleanup
//	lifecycle.go   starting, ready, leaving, stopped
//	listeners.go   the three listeners
//	agreement.go   configuration in force and membership
//	platform.go    reads of the configuration service and the host list
//	engines.go     reports, reclaim and orders for owned engines
//	placement.go   where a completion goes
//	completion.go  one completion from admission to its end
//	keyed.go       calls of plain services
//	peers.go       what other hosts ask
//	operators.go   what operators ask
//
// The decision packages hold no locks; each part of a Host guards its own with
// one mutex and never calls another part while it holds it.
package host
