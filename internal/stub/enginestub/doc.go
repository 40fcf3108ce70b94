// Package enginestub is a stand-in for a model engine. It waits in place of
// computing: a loop per engine plays the steps of continuous batching with
// chunked prefill, priorities, a bounded KV memory and a bounded prefix cache.
//
// The text of an answer is a pure function of the prompt (see AnswerToken), so
// that a test can tell whether an answer is whole, doubled or mixed. The
// engine records every run. Controls for tests lie under /control/.
//
// The engine does not free memory on its own account when a deadline passes or
// when the reader of a stream is gone: whoever reserved memory or started a
// stream must release or cancel it.
//
// An Engine is safe for concurrent use.
package enginestub
