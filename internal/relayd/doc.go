// Package relayd is the daemon behind cmd/citronrelay: it reads the settings,
// connects the platform's feed, the peers and the relay, opens the listeners and
// carries out a planned stop.
package relayd
