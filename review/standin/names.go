//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

// Names of the platform's protocol. They stand in a data file, because Go code outside
// the adapter doesn't name them.
//
//go:embed names.json
var namesFile []byte

type wireNames struct {
	RequestID    string `json:"request_id"`
	Deadline     string `json:"deadline"`
	Credential   string `json:"credential"`
	Tenant       string `json:"tenant"`
	Expect       string `json:"expect"`
	Seal         string `json:"seal"`
	NotExecuted  string `json:"not_executed"`
	Tokens       string `json:"tokens"`
	LastEvent    string `json:"last_event"`
	RangePath    string `json:"range_path"`
	WatchPath    string `json:"watch_path"`
	ConfigKey    string `json:"config_key"`
	ServerPrefix string `json:"server_prefix"`
	CanResume    string `json:"can_resume"`
	TimeoutMs    string `json:"timeout_ms"`
	GoalMs       string `json:"goal_ms"`
	GapGoalMs    string `json:"gap_goal_ms"`
	APIKeys      string `json:"api_keys"`
	ColdMs       string `json:"cold_ms"`
	MaxBodyBytes string `json:"max_body_bytes"`
	MaxConns     string `json:"max_conns"`
	AsOf         string `json:"as_of"`
	HasMore      string `json:"has_more"`
	WaitMs       string `json:"wait_ms"`
	StaleOK      string `json:"stale_ok"`
}

var names = mustNames()

func mustNames() wireNames {
	var n wireNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic("names.json: " + err.Error())
	}
	return n
}
