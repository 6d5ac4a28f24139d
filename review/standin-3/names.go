package main

import (
	_ "embed"
	"encoding/json"
)

// The platform's names and the operator's documents stand in files of their own, as no Go file outside the adapter holds them.
var (
	//go:embed names.json
	namesFile []byte
	//go:embed manifest.json
	baseManifest []byte
	//go:embed manifest-orders.json
	ordersManifest []byte

	wireNames = map[string]string{}
)

func init() {
	if err := json.Unmarshal(namesFile, &wireNames); err != nil {
		panic(err)
	}
}

// wire returns a name of the platform's interfaces.
func wire(what string) string {
	name, ok := wireNames[what]
	if !ok {
		panic("no name for " + what)
	}
	return name
}
