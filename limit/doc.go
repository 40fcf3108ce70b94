// Package limit keeps each team to its token rate over all hosts, and shares
// the capacity of a host fairly among the teams that wait for it.
//
// The gateway asks Limiter.Allow before it admits a request, and the host
// package feeds the Limiter with the TeamUsage of the membership records. The
// rate of a team on one host is its fleet rate times the share of this host in
// the advertised demand, where each host counts an equal small demand besides,
// so that a team without recent demand has its rate divided evenly. A host
// counts its own demand as the smallest that it advertised in the last Spread.
// So if each record reaches every host within Spread, no host counts more for
// itself than the others count for it, and the rates of all hosts add up to
//
//	sum of rates <= rate * (1 + unknownHosts/hosts)
//
// where unknownHosts counts the hosts that some others don't know yet. Over any
// period T all hosts together admit at most
//
//	(rate*T + burst) * (1 + unknownHosts/hosts) + one request for each host
//
// because a request larger than the bucket of its host leaves it in debt. A
// partition into p parts that lasts longer than the membership keeps a lost
// host multiplies the rate by at most p.
//
// Waiting requests stand in a FairQueue: start-time fair queueing among teams
// by tokens and weight, short requests first.
//
// Nothing in this package is safe for concurrent use; the host package holds
// the lock. No function does I/O or reads the clock.
package limit
