// Package gang runs a prompt that exceeds the memory of one engine on several
// engines at once.
//
// The host package calls Plan with the loads of the engines of a model, then
// drives one Machine per attempt: it passes events to Handle and carries out the
// actions that Handle returns. All members but the last in prompt order compute
// and export their parts; the last one, the lead, computes its part and
// generates the answer.
//
// Reservations are all or nothing. Each Machine reserves in ascending order of
// the engine names and waits for one member at a time, so Machines can't
// deadlock. After any failure a release is sent to every member that may hold
// memory. Memory that remains held after a host failure or a lost message is
// freed by the owners of the engines, see package reclaim.
//
// A Machine is not safe for concurrent use; the host package holds the lock. No
// function does I/O or reads the clock.
package gang
