//go:build review3

package main

import (
	_ "embed" // of the platform's names and of a configuration
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

//go:embed config.json
var configFile []byte

// names holds the names of the platform's protocol.
var names = decode[map[string]string](namesFile)

// Names of the configuration.
const (
	hostName  = "ficu95.example"
	appName   = "wuno96b"
	modelName = "huvo11a"

	notePath    = "/lohu930/2f" // stock-note, a stream that may be resumed
	ledgerPath  = "/pufi791/2f" // returns-ledger, a stream that may be resumed
	reservePath = "/puxa403/2f" // pallet-reserve, non_idempotent
	checkPath   = "/cufi504/2f" // stock-check, idempotent
)

func decode[T any](data []byte) T {
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		panic(err) // the files are part of the program
	}
	return value
}

// configuration returns a configuration with the keys of one tenant.
func configuration(version int, keys ...string) map[string]any {
	c := decode[map[string]any](configFile)
	c["version"] = version
	c["tenants"] = []any{map[string]any{"name": "hule930", names["keys_field"]: keys, "priority": 1}}
	return c
}
