// Package limit enforces the token rate of each team over all hosts, and shares
// the capacity of a host fairly among the teams that wait for it.
//
// The gateway calls Limiter.Allow before it admits a request, and the host
// package passes the TeamUsage of the membership records to the Limiter. The
// rate of a team on one host is its rate over all hosts times the share of this
// host in the advertised demand. A small equal demand is added for each host, so
// that the rate of a team without recent demand is divided evenly. A host counts
// as its own demand the minimum that it advertised in the last PropagationTime.
// So if each record reaches every host within PropagationTime, no host counts
// more for itself than the others count for it, and the rates of all hosts add
// up to
//
//	sum of rates <= rate * (1 + unknownHosts/hosts)
//
// where unknownHosts is the number of hosts that are missing in the membership
// of some other host. Over any period T all hosts together admit at most
//
//	(rate*T + burst) * (1 + unknownHosts/hosts) + one request for each host
//
// because a request larger than the bucket of its host makes the level of the
// bucket negative. A partition into p parts that lasts longer than the
// membership keeps a failed host multiplies the rate by at most p.
//
// Waiting requests are queued in a FairQueue: start-time fair queueing among
// teams by tokens and weight, short requests first.
//
// Nothing in this package is safe for concurrent use; the host package holds
// the lock. No function does I/O or reads the clock.
package limit
