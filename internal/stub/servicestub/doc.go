// Package servicestub is a stand-in for a plain service. It records every call
// that it runs, so that a test can count how often a call ran, and offers
// controls for tests under /control/.
//
// A Service is safe for concurrent use.
package servicestub
