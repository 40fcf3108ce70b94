// Package throttle keeps the requests of all hosts to an upstream within the rate that
// the upstream names in its answers.
//
// An upstream in need names how many requests it takes a second, from all hosts
// together, for as long as its answers say so. With hundreds of hosts, an equal share of
// such a rate is far below one request for each host. So no host has a share: each tells
// the others what it has sent to upstreams that name a rate (Uses), and an upstream is
// free while the requests of all hosts that are known stay below the rate (Wait). The
// requests of a host that has stopped count until they leave the window. While news is
// late, hosts send a few too many, which the bound on the requests allows.
//
// An upstream that has just started is cold for a while and handles few requests; its
// service publishes how many. The same exchange keeps the requests of all hosts to it within
// that number in each second. Hosts that know nothing of each other, because they have just
// started or hear nobody, use a small share (Options), and the hosts of a partition the part
// of the number that they are of all hosts.
//
// A Book performs no I/O and reads no clock.
package throttle
