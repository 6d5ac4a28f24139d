package main

import (
	"encoding/json"
	"os"
)

// names holds the platform's names of paths, headers and fields. They are kept out of Go files, as only the adapter's may have them.
var names map[string]string

// loadNames reads the names. The program runs in the top folder of the repository.
func loadNames() error {
	raw, err := os.ReadFile("review/standin-2/names.json")
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, &names)
}

// name returns the platform's name of something. An unknown one is a mistake in this program.
func name(of string) string {
	n, ok := names[of]
	if !ok {
		panic("no name of " + of)
	}
	return n
}
