// Package platformstub is a stand-in for the platform: the configuration
// service, the lagging host list and the weight store, with controls for
// tests under /control/.
//
// A Platform is safe for concurrent use.
package platformstub
