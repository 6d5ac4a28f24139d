// Package soak plays faults against the real daemons, as separate processes, from outside them, and checks what callers,
// operators and backend servers see. Clocks that jump are not among the faults: a process can't be given a clock of its own
// from outside without privileges.
package soak

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/catalogue"
	"clementinetray/standin/engine"
	"clementinetray/standin/link"
	"clementinetray/standin/site"
)

// Config describes one soak.
type Config struct {
	Seed uint64
	// Length is the time in which faults begin.
	Length   time.Duration
	Size     Size
	Binaries site.Binaries
	// Dir holds settings, data folders and the logs of the daemons.
	Dir string
	// Log takes the steps as they happen.
	Log *slog.Logger
}

const (
	// startTime and recoveryLimit bound the wait for a site that serves, at the start and once all faults are over.
	startTime     = 60 * time.Second
	recoveryLimit = 30 * time.Second
	// lateBy is the delay of connections with the fault Delay.
	lateBy = 150 * time.Millisecond
	// stopLimit bounds a planned stop: the longest answer and the wait for bills.
	stopLimit  = 30 * time.Second
	tornBytes  = "\x00\x01unfinished"
	poolName   = "soak"
	guestName  = "guest"
	pollPause  = 100 * time.Millisecond
	orderLimit = 20 * time.Second
)

// zoneNames are the availability zones of the site.
var zoneNames = []string{"north", "south"}

// soak is a running soak.
type soak struct {
	Config
	site    *site.Site
	servers []*server
	callers []*link.Link
	runs    *runs
	traffic *traffic
	steps   sync.WaitGroup
	// probes numbers the requests that ask whether all serve.
	probes int

	// zones and keys are held while an order of their kind is in force, as a second one would end the first.
	zones, keys sync.Mutex

	mu      sync.Mutex // guards the fields below
	history History
	// expected are the instances whose process may end.
	expected map[int]int
	// revision is the highest that was confirmed to an operator.
	revision uint64
}

// server is a backend server behind a forwarder.
type server struct {
	*engine.Engine
	way *link.Link
}

// Run plays one soak and returns what it saw.
func Run(ctx context.Context, config Config) (*History, error) {
	s := &soak{Config: config, runs: newRuns(), expected: map[int]int{}, history: History{Killed: map[int]bool{}}}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	background.Go(func() { s.traffic.run(loadCtx, config.Seed) })
	background.Go(func() { s.readStatus(loadCtx) })
	background.Go(func() { s.watch(loadCtx) })
	s.play(ctx)
	s.awaitRecovery(ctx)
	endLoad()
	background.Wait()
	s.readBills()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Outcomes, s.history.Runs = s.traffic.outcomes, s.runs.byID
	return &s.history, nil
}

func (s *soak) start() error {
	var err error
	if s.site, err = site.New(site.Config{
		Binaries: s.Binaries, Dir: s.Dir, Control: s.Size.Control, Entry: s.Size.Entry, Zones: zoneNames, Links: true, MaxViewAge: viewLimit,
	}); err != nil {
		return err
	}
	if err := s.site.Start(); err != nil {
		return err
	}
	if err := s.startServers(); err != nil {
		return err
	}
	if err := s.site.ApplyCatalogue(catalogueWith(guestKey), startTime); err != nil {
		return err
	}
	s.traffic = &traffic{}
	for _, i := range s.site.Instances {
		l, err := link.Start(i.Callers)
		if err != nil {
			return err
		}
		s.callers = append(s.callers, l)
		s.traffic.addresses = append(s.traffic.addresses, l.Address())
	}
	if left := s.unserved(startTime); left != "" {
		return Error.New("the site does not serve after %s: %s", startTime, left)
	}
	return nil
}

// startServers starts one engine for completions in each zone, and the backend servers of the routes.
func (s *soak) startServers() error {
	for _, zone := range zoneNames {
		e, err := engine.Start(engine.Config{
			ID: "cheap-" + zone, AvailabilityZone: zone, Versions: []catalogue.VersionRef{site.CheapVersion}, Capacity: 64, ColdCapacity: 64,
			FirstToken: workTime, TokenInterval: time.Millisecond, Tokens: 3, AnnounceTo: s.site.AnnounceTo(),
		})
		if err != nil {
			return err
		}
		s.servers = append(s.servers, &server{Engine: e})
	}
	for i := range s.Size.Servers {
		zone, b := zoneNames[i%len(zoneNames)], &server{}
		e, err := engine.Start(engine.Config{
			ID: "soak-" + strconv.Itoa(i), AvailabilityZone: zone, Service: poolName, Handler: s.runs.handler(zone), Capacity: 64, ColdCapacity: 64,
			AnnounceTo: s.site.AnnounceTo(),
			Through: func(address string) (string, error) {
				way, err := link.Start(address)
				if err != nil {
					return "", err
				}
				b.way = way
				return way.Address(), nil
			},
		})
		if err != nil {
			return err
		}
		b.Engine = e
		s.servers = append([]*server{b}, s.servers...)
	}
	return nil
}

// catalogueWith returns the catalogue in which the guest has the given keys.
func catalogueWith(guestKeys ...string) *catalogue.Catalogue {
	c := site.SampleCatalogue()
	c.Services = append(c.Services, catalogue.Service{Name: poolName, Owner: "soak"})
	guest := catalogue.Workspace{Name: guestName, Models: []string{"cheap"}}
	for _, key := range guestKeys {
		guest.KeySHA256 = append(guest.KeySHA256, site.Hash(key))
	}
	if len(guestKeys) == 0 {
		guest.KeySHA256 = []string{site.Hash("a key that nobody has")}
	}
	c.Workspaces = append(c.Workspaces, guest)
	route := func(kind RequestKind, as catalogue.RouteKind, attempts int) catalogue.Route {
		return catalogue.Route{
			Name: string(kind), Host: host, PathPrefix: "/" + string(kind) + "/", Kind: as, Resumable: as == catalogue.KindStream,
			Targets: []catalogue.Target{{Service: poolName, Weight: 1}}, MaxAttempts: attempts, TimeLimitMillis: 10_000, TargetMillis: 1_000,
		}
	}
	c.Routes = []catalogue.Route{
		route(Stream, catalogue.KindStream, 4), route(Once, catalogue.KindOnce, 1), route(Again, catalogue.KindIdempotent, 4),
	}
	return c
}

// play begins each step at its time and waits for the end of all.
func (s *soak) play(ctx context.Context) {
	began := time.Now()
	for _, step := range NewPlan(s.Seed, s.Length, s.Size) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(step.At))):
		}
		s.Log.Info("step", "step", step.String())
		s.steps.Go(func() { s.apply(step) })
	}
	s.steps.Wait()
}

func (s *soak) apply(step Step) {
	if !step.Kind.Planned() {
		end := s.begin(&s.history.Faults, Span{Begin: time.Now()})
		defer end()
	}
	i := s.site.Instances[step.Target%len(s.site.Instances)]
	b := s.servers[step.Target%s.Size.Servers]
	switch step.Kind {
	case Kill:
		s.kill(step.Target, step.For, nil)
	case LoseDisk:
		s.kill(step.Target, step.For, func() error { return os.RemoveAll(i.DataDir) })
		s.awaitReplica(step.Target)
	case TornTail:
		s.kill(step.Target, step.For, func() error { return tear(i.DataDir) })
	case KillAll:
		var all sync.WaitGroup
		for target := range s.Size.Control {
			all.Go(func() { s.kill(target, step.For, nil) })
		}
		all.Wait()
	case Pause:
		s.signal(step.Target, syscall.SIGSTOP)
		time.Sleep(step.For)
		s.signal(step.Target, syscall.SIGCONT)
	case Stop:
		s.stop(step.Target)
	case Reload:
		s.signal(step.Target, syscall.SIGHUP)
	case Cut:
		s.site.Cut(i)
		time.Sleep(step.For)
		s.site.Heal(i)
	case CutFrom:
		s.site.CutOutgoing(i)
		time.Sleep(step.For)
		s.site.Heal(i)
	case Delay:
		s.callers[step.Target].SetDelay(lateBy)
		time.Sleep(step.For)
		s.callers[step.Target].SetDelay(0)
	case Reset:
		s.callers[step.Target].Reset()
	case Silence:
		s.callers[step.Target].Silence()
	case Crash:
		b.Kill()
		time.Sleep(step.For)
		s.check(b.Restart())
	case CutBack:
		b.way.CutBack()
		time.Sleep(step.For)
		b.way.Heal()
	case ResetAt:
		b.way.Reset()
	case SilentAt:
		b.way.Silence()
	case Leave:
		b.SetLeaving(true)
		time.Sleep(step.For)
		b.SetLeaving(false)
	case ZoneOut:
		s.takeZoneOut(step)
	case Revoke:
		s.revoke(step)
	case Race:
		s.race(step)
	}
}

// begin adds a span and returns the function that ends it.
func (s *soak) begin(spans *[]Span, span Span) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*spans = append(*spans, span)
	at := len(*spans) - 1
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		(*spans)[at].End = time.Now()
	}
}

func (s *soak) violate(p Promise, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Found = append(s.history.Found, Violation{p, fmt.Sprintf(format, args...)})
}

// check notes a step that the soak itself could not do, as nothing after it would mean what the plan says.
func (s *soak) check(err error) {
	if err != nil {
		s.violate(Recovers, "the soak's own step failed: %v", err)
	}
}

// expect says that the process of an instance may end, until done is called.
func (s *soak) expect(target int, killed bool) (done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected[target]++
	if killed {
		s.history.Killed[target] = true
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expected[target]--
	}
}

func (s *soak) signal(target int, signal syscall.Signal) {
	if i := s.site.Instances[target]; i.Running() {
		s.check(i.Signal(signal))
	}
}

// kill ends a process at once, does something to its folder, and starts it again.
func (s *soak) kill(target int, down time.Duration, meanwhile func() error) {
	defer s.expect(target, true)()
	i := s.site.Instances[target]
	i.Kill()
	if meanwhile != nil {
		s.check(meanwhile())
		s.check(s.site.WriteSettings(i, false))
	}
	time.Sleep(down)
	s.check(s.site.StartInstance(i))
}

func (s *soak) stop(target int) {
	defer s.expect(target, false)()
	i := s.site.Instances[target]
	end := s.begin(&s.history.Stops, Span{Begin: time.Now(), Instance: target})
	s.signal(target, syscall.SIGTERM)
	select {
	case <-i.Done():
	case <-time.After(stopLimit):
		s.violate(Recovers, "instance %s still runs %s after it was told to stop", i.ID, stopLimit)
		i.Kill()
	}
	end()
	s.check(s.site.StartInstance(i))
}

// tear adds the begin of a record that was never written whole to the newest segment of the log.
func tear(folder string) error {
	var segments []string
	err := filepath.WalkDir(folder, func(path string, _ os.DirEntry, err error) error {
		if filepath.Ext(path) == ".wal" {
			segments = append(segments, path)
		}
		return err
	})
	if err != nil || len(segments) == 0 {
		return Error.New("segments=%d error=%v", len(segments), err)
	}
	file, err := os.OpenFile(slices.Max(segments), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = io.WriteString(file, tornBytes)
	return Error.Wrap(errs.Combine(err, file.Close()))
}

// awaitReplica waits until a replica that lost its disk votes again, so that no second one loses its disk before.
func (s *soak) awaitReplica(target int) {
	id := s.site.Instances[target].ID
	ok := s.until(recoveryLimit, func() bool {
		status, err := s.status()
		if err != nil {
			return false
		}
		_, votes := site.Voters(status)[id]
		return votes
	})
	if !ok {
		s.violate(Recovers, "replica %s does not vote %s after it lost its disk", id, recoveryLimit)
	}
}

func (s *soak) until(limit time.Duration, done func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollPause) {
		if done() {
			return true
		}
	}
	return false
}

// watch notes processes that end although nobody ended them.
func (s *soak) watch(ctx context.Context) {
	gone := map[int]bool{}
	for ctx.Err() == nil {
		s.mu.Lock()
		for target, i := range s.site.Instances {
			ended := !i.Running() && s.expected[target] == 0
			if ended && !gone[target] {
				s.history.Found = append(s.history.Found, Violation{NoOwnExit, i.ID + " ended; its log is " + i.LogFile})
			}
			gone[target] = ended
		}
		s.mu.Unlock()
		time.Sleep(pollPause)
	}
}

// awaitRecovery waits until each instance answers each kind of request and each replica votes.
func (s *soak) awaitRecovery(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if left := s.unserved(recoveryLimit); left != "" {
		s.violate(Recovers, "%s after %s", left, recoveryLimit)
	}
	voters := 0
	if !s.until(recoveryLimit, func() bool {
		status, err := s.status()
		if err != nil {
			return false
		}
		voters = len(site.Voters(status))
		return voters == s.Size.Control
	}) {
		s.violate(Recovers, "%d of %d replicas vote after %s", voters, s.Size.Control, recoveryLimit)
	}
}

// unserved waits until each instance answers each kind of request, and says what is missing at the end.
func (s *soak) unserved(limit time.Duration) string {
	left := ""
	s.until(limit, func() bool {
		left = ""
		var all sync.WaitGroup
		var mu sync.Mutex
		for target, address := range s.traffic.addresses {
			for _, kind := range requestKinds {
				s.probes++
				o := Outcome{ID: fmt.Sprintf("probe-%d", s.probes), Kind: kind, Instance: target}
				all.Go(func() {
					callOnce(address, &o)
					s.traffic.add(o)
					if o.Status != 200 || !o.Ended {
						mu.Lock()
						defer mu.Unlock()
						left = fmt.Sprintf("%s does not answer %s: status %d %.200q", s.site.Instances[target].ID, kind, o.Status, o.Body)
					}
				})
			}
		}
		all.Wait()
		return left == ""
	})
	return left
}

func (s *soak) close() {
	if s.site == nil {
		return
	}
	s.site.Close()
	for _, b := range s.servers {
		b.Stop()
		if b.way != nil {
			b.way.Close()
		}
	}
	for _, l := range s.callers {
		l.Close()
	}
}
