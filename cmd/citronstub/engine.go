package main

import (
	"time"

	"github.com/citronscale/citronscale/internal/stub/enginestub"
)

type engineCommand struct {
	Listen         string        `long:"listen" required:"true" value-name:"IP:PORT" description:"Address to listen at"`
	Name           string        `long:"name" default:"engine-1" description:"Name of the engine"`
	Model          string        `long:"model" default:"citron-base" description:"Model that the engine serves"`
	Version        string        `long:"version" default:"v1" description:"Version of the model loaded at the start"`
	Capacity       uint64        `long:"capacity" default:"480000" description:"KV memory in tokens"`
	PrefillRate    float64       `long:"prefill-rate" default:"100000" description:"Prefill in tokens per second"`
	Chunk          uint32        `long:"chunk" default:"1024" description:"Prefill tokens per step"`
	StepTime       time.Duration `long:"step-time" default:"8ms" description:"Fixed part of a step"`
	StepTimeEntry  time.Duration `long:"step-time-per-entry" default:"50us" description:"Part of a step per stream in the batch"`
	MaxBatch       int           `long:"max-batch" default:"64" description:"Streams in the batch"`
	Cache          uint64        `long:"cache" default:"200000" description:"Prefix cache in tokens"`
	CacheEventLag  time.Duration `long:"cache-event-lag" default:"500ms" description:"Age at which a cache event is published"`
	CacheEventLoss float64       `long:"cache-event-loss" default:"0.1" description:"Share of cache events that are never published"`
	ReportLag      time.Duration `long:"report-lag" default:"200ms" description:"Greatest age of a report"`
	LoadTime       time.Duration `long:"load-time" default:"2s" description:"Time to load a version after its weights were pulled"`
	WeightStore    string        `long:"weight-store" value-name:"IP:PORT" description:"Address of the weight store"`
	ChecksFence    bool          `long:"checks-fence" description:"Refuse orders that carry an old fencing number"`
	Seed           uint64        `long:"seed" default:"1" description:"Seed of the lost cache events"`
}

// Execute runs the engine.
func (c *engineCommand) Execute([]string) error {
	options := enginestub.DefaultOptions()
	options.Name = c.Name
	options.Model = c.Model
	options.Version = c.Version
	options.CapacityTokens = c.Capacity
	options.PrefillRate = c.PrefillRate
	options.ChunkTokens = c.Chunk
	options.StepTime = c.StepTime
	options.StepTimePerEntry = c.StepTimeEntry
	options.MaxBatch = c.MaxBatch
	options.CacheTokens = c.Cache
	options.CacheEventLag = c.CacheEventLag
	options.CacheEventLoss = c.CacheEventLoss
	options.ReportLag = c.ReportLag
	options.LoadTime = c.LoadTime
	options.WeightStore = c.WeightStore
	options.ChecksFence = c.ChecksFence
	options.Seed = c.Seed
	options.Crash = crash
	engine := enginestub.New(options)
	defer engine.Close()
	return serve(c.Name, c.Listen, engine.Handler(), engine.Gate)
}
