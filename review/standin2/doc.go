//go:build review2

// Command standin2 runs the cases of the second independent review. It starts the project's
// daemon as separate processes, and plays the platform's store, the replicas and the clients
// on loopback addresses.
package main
