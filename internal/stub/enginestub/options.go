package enginestub

import "time"

// Options describes an engine.
type Options struct {
	Name             string
	Model            string
	Version          string        // loaded at the start
	CapacityTokens   uint64        // KV memory
	PrefillRate      float64       // tokens per second
	ChunkTokens      uint32        // prefill tokens per step
	StepTime         time.Duration // fixed part of a step
	StepTimePerEntry time.Duration // added per stream in the batch
	MaxBatch         int
	MaxWaiting       int
	CacheTokens      uint64 // prefix cache
	CacheEventLag    time.Duration
	CacheEventLoss   float64       // share of cache events that are never published
	ReportLag        time.Duration // greatest age of a report
	LoadTime         time.Duration // to load a version, after its weights were pulled
	WeightStore      string        // IP:port; empty for none
	ChecksFence      bool
	Seed             uint64
	Crash            func() // ends the process
}

// DefaultOptions returns an engine of ordinary size.
func DefaultOptions() Options {
	return Options{
		Name:             "engine-1",
		Model:            "citron-base",
		Version:          "v1",
		CapacityTokens:   480_000,
		PrefillRate:      100_000,
		ChunkTokens:      1024,
		StepTime:         8 * time.Millisecond,
		StepTimePerEntry: 50 * time.Microsecond,
		MaxBatch:         64,
		MaxWaiting:       256,
		CacheTokens:      200_000,
		CacheEventLag:    500 * time.Millisecond,
		CacheEventLoss:   0.1,
		ReportLag:        200 * time.Millisecond,
		LoadTime:         2 * time.Second,
		Seed:             1,
	}
}
