// Package costmodel predicts how long a model engine takes to prefill a prompt and
// to decode an answer, from the costs that its operator publishes.
//
// The place package uses the predictions to choose the engines of a stream. All
// functions are pure and safe for concurrent use.
package costmodel
