// Package proctest holds failure tests over real processes.
//
// The tests build citrond and citronstub, start a small fleet on loopback and
// end, freeze or silence its processes. The oracle is the record of the
// stand-ins: what the engines and services ran, how often and for whom. The
// package has no code outside its tests.
package proctest
