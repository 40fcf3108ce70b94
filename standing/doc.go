// Package standing keeps what upstream processes say of themselves in their answers: that
// they are leaving, or that they want no requests from this host for a while.
//
// A record belongs to one process, that is an identifier and a start time. Its state follows
// the chart "standing". An upstream that is leaving gets new requests only while no other
// upstream of its service is usable, and none at all from three quarters of the drain time on;
// only another process ends that. An upstream that rests gets none until the pause ends, then
// one at a time until one is answered without another pause.
//
// The load it handles: all upstreams of a service that leave or rest at the same moment, with
// requests on their way to them, answers that arrive late, and peers that repeat old news. A
// host that is paused or cut off from its peers learns the same from its own answers.
//
// A Book performs no I/O and reads no clock.
package standing
