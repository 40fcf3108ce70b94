//go:build review2

package main

import (
	_ "embed" // of the platform's names
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

//go:embed config.json
var configFile []byte

// names are the platform's names, which Go files outside its adapter don't contain.
var names = mustDecode[map[string]string](namesFile)

func mustDecode[T any](data []byte) T {
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		panic(err) // the files are part of the program
	}
	return value
}
