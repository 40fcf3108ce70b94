// Package relayd implements the daemon of cmd/citronrelay: it loads the settings,
// connects the platform feed, the peer node and the relay, opens the listeners
// and performs a planned stop.
package relayd
