// Command standin runs one case of the review: it starts the processes of the deploy file on loopback addresses, with stand-ins
// for the platform, the backend servers, the clients and the operator, and checks one rule. Exit codes: 0 the rule held, 1 it was
// broken, 2 the case could not run.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	held = iota
	broken
	notRun
)

// site is a running small system with its stand-ins.
type site struct {
	*platform
	record   *record
	operator *operator
	trouble  bool
	servers  []*server
}

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*site) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	p, err := newPlatform(rec)
	if err != nil {
		rec.say("not run: %v", err)
		return notRun
	}
	defer p.close()
	s := &site{platform: p, record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	s.operator = &operator{record: rec, controls: s.controls}
	rec.say("case %s, trouble: %t", name, s.trouble)
	isBroken, err := cases[name](s)
	for _, b := range s.servers {
		b.close()
	}
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return notRun
	case isBroken:
		rec.say("the rule was BROKEN")
		return broken
	}
	rec.say("the rule held")
	return held
}

// controls returns the addresses of the control nodes that the platform lists.
func (s *site) controls() []string {
	var out []string
	for _, n := range s.cores {
		if n.running() {
			out = append(out, s.controlAddress(n))
		}
	}
	return out
}

// begin starts the system and puts the first manifest in force.
func (s *site) begin(cores, fronts int, kind string, services []string, coldPerS float64) error {
	if err := s.startAll(cores, fronts); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if status, _ := s.operator.order(http.MethodPost, names["replace"], manifest(1, kind, services, coldPerS), 20*time.Second); status != http.StatusOK {
		return errors.New("the first manifest was not accepted")
	}
	s.record.say("the first manifest is in force")
	return nil
}

func (s *site) addServer(id, service, zone string, work, cold time.Duration) (*server, error) {
	b, err := startServer(s.record, id, service, zone, fmt.Sprintf("%s%d", s.prefix, 100+len(s.servers)), work, cold, s.controls)
	if err == nil {
		s.servers = append(s.servers, b)
	}
	return b, err
}

// frontAddresses returns where clients reach the system.
func (s *site) frontAddresses() []string {
	var out []string
	for _, n := range s.fronts {
		out = append(out, s.frontAddress(n))
	}
	return out
}

// warmUp waits until the system serves nearly all requests of a second.
func (s *site) warmUp(l *load, limit time.Duration) error {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		time.Sleep(500 * time.Millisecond)
		now := time.Now()
		if ok, all := l.served(now.Add(-1500*time.Millisecond), now.Add(-500*time.Millisecond)); all > 0 && ok*10 >= all*9 {
			return nil
		}
	}
	return errors.New("the system did not begin to serve")
}
