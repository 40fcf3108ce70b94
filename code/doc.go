// Package code defines the numbered result codes of citronscale.
//
// Every refusal and failure that leaves a process carries exactly one Code.
// The thousands digit of a code states what is known about the work:
//
//	1xxx  the request was not run
//	2xxx  the request may have run
//	3xxx  the request ran
//
// Callers of this package create errors with New and Wrap and read the code
// back with Of. All functions are safe for concurrent use.
package code
