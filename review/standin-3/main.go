package main

import (
	"fmt"
	"os"
)

// scenarios holds the cases by the names that their scripts pass. Each returns 1 if the rule was broken and 0 if it held.
var scenarios = map[string]struct {
	cores, fronts int
	run           func(s *site, trouble bool) int
}{
	"switching":    {5, 2, switching},
	"oddstatus":    {5, 2, oddStatus},
	"slash":        {5, 2, encodedSlash},
	"lateping":     {5, 2, latePing},
	"removedvoter": {5, 2, removedVoter},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: review-3 SCENARIO RECORD")
		os.Exit(2)
	}
	c, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Println("no scenario", os.Args[1])
		os.Exit(2)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	s := newSite(root, os.Args[2], c.cores, c.fronts)
	code := c.run(s, os.Getenv("TROUBLE") != "0")
	s.rec.add("exit status %d", code)
	s.stop()
	os.Exit(code)
}
