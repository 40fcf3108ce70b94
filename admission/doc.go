// Package admission decides in which order streams get engines, whether one without room
// waits or is refused, and which share of the work in progress each team gets.
//
// Ranks orders streams by team priority, route priority and goal. Predict forecasts when
// running streams leave room. Queue holds the streams of one host that wait for it.
// TeamWork holds the work in progress of the teams, from which max-min fair shares
// follow.
//
// The policy is designed for engines whose slots run out for about a second at a time,
// many short streams and few long ones, one team that sends up to ten times its usual
// load, and hosts that hear of each other's streams 0 to 0.2 s late. The tests apply that
// load without a network.
//
// No function does I/O or reads the clock. Times are readings of the clock of this host.
// A Queue is not safe for concurrent use; package relay holds the lock.
package admission
