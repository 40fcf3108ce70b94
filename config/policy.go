package config

import "time"

// FleetPolicy holds the values that are the same on all hosts.
type FleetPolicy struct {
	ShortMaxTokens  uint32        // longest prompt of the short class
	LongMinTokens   uint32        // shortest prompt of the long class
	ShortShare      float64       // share of an engine's memory reserved for short requests
	QueueTime       time.Duration // longest wait for capacity
	RetryRatio      float64       // retries per first attempt
	LeaseTTL        time.Duration // unused leased tokens expire after this time
	LeaseQuantum    uint32        // most tokens of a lease beyond those needed
	ReportPeriod    time.Duration // between two reports read from one engine
	HeartbeatPeriod time.Duration // between two rounds of probes of one host
	SuspectTime     time.Duration // a suspect host is treated as failed after this time
	LeavingGrace    time.Duration // a leaving host still admits requests for this time
	KeyLifetime     time.Duration // an idempotency key can be used for this time
	StrikeLifetime  time.Duration // a strike expires after this time
	WeightPulls     float64       // pulls from the weight store per second, by the whole fleet
}

// TeamPolicy holds the values of one team.
type TeamPolicy struct {
	DefaultDeadline time.Duration // for requests that state no deadline
	MaxDeadline     time.Duration // longest deadline a request may ask for
	TokensPerSecond uint32        // admitted tokens per second over all hosts
	BurstTokens     uint32        // tokens that may be used at once after idling
	Weight          float64       // share among teams that wait for capacity
}

// ModelPolicy holds the values of requests to one model.
type ModelPolicy struct {
	ProgressTimeout time.Duration // longest time without progress in a running stream
}

// ServicePolicy holds the values of calls to one plain service.
type ServicePolicy struct {
	CallTimeout time.Duration // longest time of one call
}

// UpstreamPolicy holds the values of one upstream.
type UpstreamPolicy struct {
	AcceptWork    bool    // false takes the upstream out of service
	CapacityShare float64 // share of the reported memory that may be leased
}

func (v values) fleet() FleetPolicy {
	return FleetPolicy{
		ShortMaxTokens:  v.tokens(fieldShortMaxTokens),
		LongMinTokens:   v.tokens(fieldLongMinTokens),
		ShortShare:      v[fieldShortShare],
		QueueTime:       v.duration(fieldQueueTime),
		RetryRatio:      v[fieldRetryRatio],
		LeaseTTL:        v.duration(fieldLeaseTTL),
		LeaseQuantum:    v.tokens(fieldLeaseQuantum),
		ReportPeriod:    v.duration(fieldReportPeriod),
		HeartbeatPeriod: v.duration(fieldHeartbeatPeriod),
		SuspectTime:     v.duration(fieldSuspectTime),
		LeavingGrace:    v.duration(fieldLeavingGrace),
		KeyLifetime:     v.duration(fieldKeyLifetime),
		StrikeLifetime:  v.duration(fieldStrikeLifetime),
		WeightPulls:     v[fieldWeightPulls],
	}
}

func (v values) team() TeamPolicy {
	return TeamPolicy{
		DefaultDeadline: v.duration(fieldDefaultDeadline),
		MaxDeadline:     v.duration(fieldMaxDeadline),
		TokensPerSecond: v.tokens(fieldTokensPerSecond),
		BurstTokens:     v.tokens(fieldBurstTokens),
		Weight:          v[fieldWeight],
	}
}

func (v values) model() ModelPolicy {
	return ModelPolicy{ProgressTimeout: v.duration(fieldProgressTimeout)}
}

func (v values) service() ServicePolicy {
	return ServicePolicy{CallTimeout: v.duration(fieldCallTimeout)}
}

func (v values) upstream() UpstreamPolicy {
	return UpstreamPolicy{
		AcceptWork:    v[fieldAcceptWork] != 0,
		CapacityShare: v[fieldCapacityShare],
	}
}
