package config

import (
	"fmt"
	"math"
	"time"
)

// scopeKind is the kind of object that an exception applies to.
type scopeKind string

const (
	scopeTeam     scopeKind = "team"
	scopeModel    scopeKind = "model"
	scopeService  scopeKind = "service"
	scopeUpstream scopeKind = "upstream"
)

var scopeKinds = []scopeKind{scopeTeam, scopeModel, scopeService, scopeUpstream}

// scope is the object that one exception applies to.
type scope struct {
	kind scopeKind
	name string
}

const scopeSeparator = ":"

// String returns the scope in the form kind:name, as in documents.
func (s scope) String() string {
	return string(s.kind) + scopeSeparator + s.name
}

// kind is the type of a field's value.
type kind int

const (
	kindInteger kind = iota
	kindRatio
	kindBool
)

// values holds one value per field, in the order of the table fields.
type values []float64

// field describes one value that defaults and exceptions may set.
type field struct {
	name     string
	kind     kind
	min, max float64
	initial  float64   // built-in default, used if the document does not set the field
	scope    scopeKind // scope of exceptions; empty if the field allows none
}

// fieldID is an index into the table fields.
type fieldID int

const (
	fieldDefaultDeadline fieldID = iota
	fieldMaxDeadline
	fieldTokensPerSecond
	fieldBurstTokens
	fieldWeight
	fieldAcceptWork
	fieldCapacityShare
	fieldShortMaxTokens
	fieldLongMinTokens
	fieldShortShare
	fieldQueueTime
	fieldRetryRatio
	fieldProgressTimeout
	fieldCallTimeout
	fieldLeaseTTL
	fieldLeaseQuantum
	fieldReportPeriod
	fieldHeartbeatPeriod
	fieldSuspectTime
	fieldLeavingGrace
	fieldKeyLifetime
	fieldStrikeLifetime
	fieldWeightPulls
	fieldCount
)

const (
	maxTokens     = 1 << 30
	maxIntervalMS = 24 * 60 * 60 * 1000
)

var fields = [fieldCount]field{
	fieldDefaultDeadline: {"default_deadline_ms", kindInteger, 1, maxIntervalMS, 60_000, scopeTeam},
	fieldMaxDeadline:     {"max_deadline_ms", kindInteger, 1, maxIntervalMS, 600_000, scopeTeam},
	fieldTokensPerSecond: {"tokens_per_second", kindInteger, 1, maxTokens, 50_000, scopeTeam},
	fieldBurstTokens:     {"burst_tokens", kindInteger, 1, maxTokens, 2_000_000, scopeTeam},
	fieldWeight:          {"weight", kindRatio, 0.01, 100, 1, scopeTeam},
	fieldAcceptWork:      {"accept_work", kindBool, 0, 1, 1, scopeUpstream},
	fieldCapacityShare:   {"capacity_share", kindRatio, 0.05, 1, 0.95, scopeUpstream},
	fieldShortMaxTokens:  {"short_max_tokens", kindInteger, 1, maxTokens, 4_096, ""},
	fieldLongMinTokens:   {"long_min_tokens", kindInteger, 1, maxTokens, 100_000, ""},
	fieldShortShare:      {"short_share", kindRatio, 0, 0.9, 0.25, ""},
	fieldQueueTime:       {"queue_time_ms", kindInteger, 0, maxIntervalMS, 5_000, ""},
	fieldRetryRatio:      {"retry_ratio", kindRatio, 0, 1, 0.1, ""},
	fieldProgressTimeout: {"progress_timeout_ms", kindInteger, 50, maxIntervalMS, 10_000, scopeModel},
	fieldCallTimeout:     {"call_timeout_ms", kindInteger, 50, maxIntervalMS, 30_000, scopeService},
	fieldLeaseTTL:        {"lease_ttl_ms", kindInteger, 100, 60_000, 2_000, ""},
	fieldLeaseQuantum:    {"lease_quantum_tokens", kindInteger, 1, maxTokens, 1_048_576, ""},
	fieldReportPeriod:    {"report_period_ms", kindInteger, 20, 10_000, 250, ""},
	fieldHeartbeatPeriod: {"heartbeat_period_ms", kindInteger, 50, 2_000, 500, ""},
	fieldSuspectTime:     {"suspect_time_ms", kindInteger, 100, 60_000, 3_000, ""},
	fieldLeavingGrace:    {"leaving_grace_ms", kindInteger, 0, 60_000, 3_000, ""},
	fieldKeyLifetime:     {"key_lifetime_ms", kindInteger, 1_000, maxIntervalMS, 600_000, ""},
	fieldStrikeLifetime:  {"strike_lifetime_ms", kindInteger, 1_000, maxIntervalMS, 3_600_000, ""},
	fieldWeightPulls:     {"weight_pulls_per_second", kindRatio, 0.001, 10_000, 1, ""},
}

var fieldByName = indexFields()

func indexFields() map[string]fieldID {
	index := make(map[string]fieldID, fieldCount)
	for id, f := range fields {
		index[f.name] = fieldID(id)
	}
	return index
}

func initialValues() values {
	v := make(values, fieldCount)
	for id, f := range fields {
		v[id] = f.initial
	}
	return v
}

// read checks a decoded TOML value against the field's type and bounds.
func (f *field) read(raw any) (float64, error) {
	v, err := f.toNumber(raw)
	if err != nil {
		return 0, err
	}
	if math.IsNaN(v) || v < f.min || v > f.max {
		return 0, fmt.Errorf("must be from %s to %s", f.format(f.min), f.format(f.max))
	}
	return v, nil
}

func (f *field) toNumber(raw any) (float64, error) {
	switch v := raw.(type) {
	case int64:
		if f.kind != kindBool {
			return float64(v), nil
		}
	case float64:
		if f.kind == kindRatio {
			return v, nil
		}
	case bool:
		if f.kind == kindBool && v {
			return 1, nil
		}
		if f.kind == kindBool {
			return 0, nil
		}
	}
	return 0, fmt.Errorf("must be %s", f.kind)
}

// String returns the kind as fault messages spell it.
func (k kind) String() string {
	switch k {
	case kindInteger:
		return "an integer"
	case kindRatio:
		return "a number"
	default:
		return "true or false"
	}
}

// format returns a value of the field in the notation of a document.
func (f *field) format(v float64) string {
	if f.kind == kindBool {
		return fmt.Sprint(v != 0)
	}
	return fmt.Sprint(formatNumber(v))
}

func formatNumber(v float64) any {
	if v == math.Trunc(v) {
		return int64(v)
	}
	return v
}

func (v values) duration(id fieldID) time.Duration {
	return time.Duration(v[id]) * time.Millisecond
}

func (v values) tokens(id fieldID) uint32 {
	return uint32(v[id])
}
