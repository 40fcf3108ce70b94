// Package orders decides which orders the owner of an engine sends to it.
//
// Orders are level-triggered. Desired is a pure function of the configuration
// and the host list; a Planner compares it with the engine's latest report and
// plans an order if they differ. So two hosts that both act as the owner of an
// engine and have the same configuration send it the same order. The revision of
// the configuration is the fencing token.
//
// A host with an outdated configuration must not override a newer one. It sends
// no order while it knows of a higher revision from a peer or the engine, while
// its membership is not settled after a start or a pause, based on a report from
// before the pause, or to an engine that ignores fencing tokens while neither
// the service nor a peer has recently confirmed its revision. A delayed order can
// still take effect on an engine that ignores fencing tokens; the owner finds
// the difference in the next report and sends its order again. If two sides of a
// partition have different revisions and both reach such an engine, their orders
// alternate until the partition heals or the engine reports the higher revision.
//
// Orders that make an engine pull weights are limited to the pull rate of the
// weight store: time is divided into slots, and the pulls of each slot are
// assigned to the hosts in turn. The assignment needs no messages and no stored
// state, so a restart or a change of owner uses no pull twice. While host lists
// or clocks of hosts differ, a pull can be used twice.
//
// The host package calls Plan for the engines it owns after each round of
// reports and sends the orders before their SendBefore. A Planner does no I/O
// and is not safe for concurrent use.
package orders
