// Package hedge decides when a request that is slow gets a second send to another upstream.
//
// It answers the load of a service in which a few requests take many times longer than the
// others: an upstream that is several times slower for some seconds, one that accepts
// connections and never answers, or a queue that a burst has left at one upstream. A second
// send after the time within which most requests are answered cuts that tail for a few per
// cent of extra work. When all upstreams are slow, a second send only adds load: the recent
// times grow, so the delay does too, and the budget bounds what is sent until then.
//
// Delays come from the recent times of one host by route and size of the prompt, the budget
// from the requests of the same host. Hosts need no messages: if each keeps its extra sends
// within a share of its own requests, all of them together do.
//
// The package has no I/O and no clock. A Hedger is safe for concurrent use.
package hedge
