package main

import (
	"strings"
	"testing"
)

// Guards against output that leaves out a kind of request or a placement, and against invalid input that is accepted.
func TestRun(t *testing.T) {
	const arrivals = "at,kind,entry,prompt_tokens,output_tokens,target,gap,worth,parts\n" +
		"0,draft,0,50000,20,2000,1000,4,\n1,tag,1,500,20,300,1000,1,\n2,tag,2,500,20,300,1000,1,\n"
	out := &strings.Builder{}
	if err := run(arguments{Arrivals: "-", Engines: 2, Entries: 3, Seed: 1}, strings.NewReader(arrivals), out); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 1+4*2 {
		t.Errorf("printed %d lines:\n%s", lines, out)
	}
	if err := run(arguments{Arrivals: "-", Engines: 2, Entries: 2}, strings.NewReader(arrivals), out); err == nil {
		t.Error("an entry instance that does not exist was accepted")
	}
	if err := run(arguments{Arrivals: "/nowhere"}, nil, out); err == nil {
		t.Error("a missing file was accepted")
	}
}
