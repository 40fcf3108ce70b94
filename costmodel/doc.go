// Package costmodel predicts how long a model engine takes to read a prompt
// and to write an answer, from the laws that its operator publishes.
//
// The place package asks it before a stream is sent. Laws are values without
// state; all functions are pure and safe for concurrent use.
package costmodel
