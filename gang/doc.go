// Package gang places a prompt that exceeds the memory of one engine on several
// engines at once.
//
// The host package calls Plan with the loads of the engines of a model, then
// drives one Machine per attempt: it feeds in events and carries out the
// actions that Handle returns. All members but the last in prompt order compute
// and export their parts; the last one, the lead, computes its part and
// generates the answer.
//
// Reservations are all or nothing. Each Machine reserves in ascending order of
// the engine names and waits for one member at a time, so Machines that wait
// for each other never form a circle. After any failure every member that may
// hold memory is told to release it. What a dead host or a lost message leaves
// behind is freed by the owners of the engines, see package reclaim.
//
// A Machine is not safe for concurrent use; the host package holds the lock. No
// function does I/O or reads the clock.
package gang
