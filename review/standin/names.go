package main

import (
	_ "embed"
	"encoding/json"
)

// namesFile holds the platform's names that no Go file outside the adapter may contain (platform/boundary_test.go).
//
//go:embed names.json
var namesFile []byte

var names = func() (out map[string]string) {
	if err := json.Unmarshal(namesFile, &out); err != nil {
		panic(err)
	}
	return out
}()
