// Command review-2 plays the cases of the second review that need a script: a small site of the project's own programs on
// loopback addresses, with stand-ins for platform, operator, clients and servers.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(rec *record, trouble bool) int{
	"late-order": lateOrder, "late-rollout": lateRollout, "first-start": firstStart, "first-start-removed": firstStartRemoved, "early-answer": earlyAnswer, "popular": popular,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	if err := loadNames(); err != nil {
		os.Exit(notRun(rec, "no names: %v", err))
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %t", os.Args[1], trouble)
	code := cases[os.Args[1]](rec, trouble)
	result := map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitNotRun: "the case could not run"}[code]
	rec.add("result: %s (exit %d)", result, code)
	fmt.Println(result)
	os.Exit(code)
}

// notRun records why a case could not run.
func notRun(rec *record, layout string, args ...any) int {
	rec.add(layout, args...)
	return exitNotRun
}

const (
	testHost = "desk.example"
	testKey  = "n2ctnfzs989anu6wsjnb"
)

// manifest returns a manifest with one idempotent route to one service.
func manifest(version int) []byte {
	raw, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-lookup", "host": testHost, name("prefix"): "/lookup/", "kind": "idempotent", "timeoutMs": 2500, name("target time"): 150,
			"priority": 2, "service": "desk", "maxAttempts": 3, "allowAnonymous": false, "sticky": false,
		}},
		"services": []any{map[string]any{
			"name": "desk", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", name("keys"): []any{testKey}, "priority": 1}},
	})
	return raw
}

// serveUntilOK sends requests until each front serves one.
func serveUntilOK(c *client, path string, limit time.Duration) bool {
	for _, f := range c.s.fronts {
		served := false
		for end := time.Now().Add(limit); !served && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			served = c.send(f, http.MethodGet, path, nil, 2500*time.Millisecond).status == http.StatusOK
		}
		if !served {
			return false
		}
	}
	return true
}
