// Package orders decides which orders the owner of an engine gives it.
//
// Orders are level-triggered. Desired is a pure function of the configuration
// and the host list; a Planner compares it with the engine's latest report and
// orders the difference, so two hosts that both believe they own an engine and
// hold the same configuration give it the same order. The revision of the
// configuration is the fencing number.
//
// A host with an old configuration must not win. It gives no order while a peer
// or the engine itself has shown it a higher revision, while its membership is
// not settled after a start or a pause, on a report from before the pause, or to
// an engine that ignores fencing numbers while neither the service nor a peer
// has confirmed its revision lately. An order that was delayed on its way can
// still reach an engine that ignores fencing numbers; the owner sees the
// difference in the next report and orders again. Two sides of a partition that
// hold different revisions and both reach such an engine alternate until the
// partition heals or the engine's report shows the higher number.
//
// Orders that make an engine pull weights keep to the rate of the weight store:
// time is divided into slots and each slot belongs to as many hosts as it has
// pulls. Slots need no messages and no memory, so a restart or a change of
// owner spends nothing twice. Hosts that see different host lists, and clocks
// that differ, can use one slot twice while they differ.
//
// The host package calls Plan for the engines it owns after each round of
// reports and sends the orders before their SendBefore. A Planner does no I/O
// and is not safe for concurrent use.
package orders
