// Package capacity holds benchmarks whose slopes docs/CAPACITY.md is worked out
// from and that belong to no single package: memory of state by its size and
// bytes of reports by the work in them.
package capacity
