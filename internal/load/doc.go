// Package load sends reproducible open-loop load to entry hosts and reports
// what came back.
//
// A Workload describes streams of requests. Its arrivals and prompts follow
// from a seed alone. A Runner sends them at their times, whatever the answers
// do, and checks each answer against the text that the engine stand-in must
// give. Report summarises a run. The command citronload is the only user.
package load
