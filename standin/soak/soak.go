// Package soak runs the daemons as separate processes under load, injects faults from outside and checks what callers,
// operators and backend servers see. Clock jumps are not among the faults, because changing the clock of a single process
// from outside needs privileges.
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

// Config describes one soak run.
type Config struct {
	Seed uint64
	// Length is the period in which steps begin.
	Length   time.Duration
	Size     Size
	Binaries site.Binaries
	// Dir holds settings, data folders and the logs of the daemons.
	Dir string
	// Log receives each step when it begins.
	Log *slog.Logger
}

const (
	// startTimeout and recoveryTimeout bound the wait until the site serves, at the start and after the last fault.
	startTimeout    = 60 * time.Second
	recoveryTimeout = 30 * time.Second
	// callerDelay is the delay of each read under the fault DelayCallers.
	callerDelay = 150 * time.Millisecond
	// stopTimeout bounds a planned stop, which waits for the longest answer and for bills to be recorded.
	stopTimeout = 30 * time.Second
	// tornRecord is appended to a log by the fault TornTail.
	tornRecord = "\x00\x01unfinished"
	// serviceName is the service that all routes lead to, guestName the workspace whose key is revoked.
	serviceName  = "soak"
	guestName    = "guest"
	pollInterval = 100 * time.Millisecond
	// changeTimeout bounds the attempts to make an operator's change or to read the bills.
	changeTimeout = 20 * time.Second
)

// zoneNames are the availability zones of the site.
var zoneNames = []string{"north", "south"}

// soak is the state of one run.
type soak struct {
	Config
	site        *site.Site
	servers     []*server
	callerLinks []*link.Link
	arrivals    *arrivalLog
	traffic     *traffic
	steps       sync.WaitGroup
	// probeCount is the number of probe requests so far. The ids of these requests contain it.
	probeCount int

	// zoneMu and keyMu are held while a change to a zone or to the guest's key is in force, because the reversal of one change
	// would also end a second one.
	zoneMu, keyMu sync.Mutex

	mu      sync.Mutex // guards the fields below
	history History
	// exitAllowed counts, by instance index, the steps during which the process may exit.
	exitAllowed map[int]int
	// confirmedRevision is the highest revision that was confirmed to an operator.
	confirmedRevision uint64
}

// server is a backend server. link is the forwarder in front of a backend server of the routes; it is nil for an engine that
// serves completions.
type server struct {
	*engine.Engine
	link *link.Link
}

// Run performs one soak run and returns its history. It returns an error only if the site could not be started.
func Run(ctx context.Context, config Config) (*History, error) {
	s := &soak{Config: config, arrivals: newArrivalLog(), exitAllowed: map[int]int{}, history: History{Killed: map[int]bool{}}}
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
	background.Go(func() { s.checkReads(loadCtx) })
	background.Go(func() { s.watchExits(loadCtx) })
	s.runPlan(ctx)
	s.awaitRecovery(ctx)
	endLoad()
	background.Wait()
	s.readBills()
	s.checkPanics()
	s.Log.Info("spoiled answers", "count", s.arrivals.spoiledCount)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Outcomes, s.history.Arrivals, s.history.Refusals = s.traffic.outcomes, s.arrivals.byID, s.arrivals.refusals
	return &s.history, nil
}

func (s *soak) start() error {
	var err error
	if s.site, err = site.New(site.Config{
		Binaries: s.Binaries, Dir: s.Dir, ControlCount: s.Size.Control, EntryCount: s.Size.Entry, Zones: zoneNames, UseLinks: true, MaxViewAge: viewLimit,
	}); err != nil {
		return err
	}
	if err := s.site.Start(); err != nil {
		return err
	}
	if err := s.startServers(); err != nil {
		return err
	}
	if err := s.site.ApplyCatalogue(catalogueWith(guestKey), startTimeout); err != nil {
		return err
	}
	s.traffic = &traffic{}
	for _, i := range s.site.Instances {
		l, err := link.Start(i.Callers)
		if err != nil {
			return err
		}
		s.callerLinks = append(s.callerLinks, l)
		s.traffic.addresses = append(s.traffic.addresses, l.Address())
	}
	if missing := s.awaitServing(startTimeout); missing != "" {
		return Error.New("the site does not serve within %s: %s", startTimeout, missing)
	}
	return nil
}

// startServers starts one engine for completions in each zone, and the backend servers of the routes.
func (s *soak) startServers() error {
	for _, zone := range zoneNames {
		e, err := engine.Start(engine.Config{
			ID: "cheap-" + zone, AvailabilityZone: zone, Versions: []catalogue.VersionRef{site.CheapVersion}, Capacity: 64, ColdCapacity: 64,
			FirstTokenDelay: requestDuration, TokenInterval: time.Millisecond, AnswerTokens: 3, AnnounceTo: s.site.AnnouncementAddresses(),
		})
		if err != nil {
			return err
		}
		s.servers = append(s.servers, &server{Engine: e})
	}
	for i := range s.Size.Servers {
		zone, backend := zoneNames[i%len(zoneNames)], &server{}
		e, err := engine.Start(engine.Config{
			ID: "soak-" + strconv.Itoa(i), AvailabilityZone: zone, Service: serviceName, Handler: s.arrivals.handler(zone, i), Capacity: 64, ColdCapacity: 64,
			AnnounceTo: s.site.AnnouncementAddresses(),
			AnnouncedAddress: func(address string) (string, error) {
				forwarder, err := link.Start(address)
				if err != nil {
					return "", err
				}
				backend.link = forwarder
				return forwarder.Address(), nil
			},
		})
		if err != nil {
			return err
		}
		backend.Engine = e
		s.servers = append([]*server{backend}, s.servers...)
	}
	return nil
}

// catalogueWith returns a catalogue in which the guest workspace has the given keys. Without keys no caller can use it.
func catalogueWith(guestKeys ...string) *catalogue.Catalogue {
	c := site.SampleCatalogue()
	c.Services = append(c.Services, catalogue.Service{Name: serviceName, Owner: "soak"})
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
			Name: string(kind), Host: routeHost, PathPrefix: "/" + string(kind) + "/", Kind: as, Resumable: as == catalogue.KindStream,
			Targets: []catalogue.Target{{Service: serviceName, Weight: 1}}, MaxAttempts: attempts, TimeLimitMillis: int(timeLimit.Milliseconds()), TargetMillis: 1_000,
		}
	}
	c.Routes = []catalogue.Route{
		route(Stream, catalogue.KindStream, 4), route(NonIdempotent, catalogue.KindNonIdempotent, 1), route(Idempotent, catalogue.KindIdempotent, 4),
	}
	return c
}

// runPlan starts each step at its time and waits until all have finished.
func (s *soak) runPlan(ctx context.Context) {
	began := time.Now()
	for _, step := range NewPlan(s.Seed, s.Length, s.Size) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(step.At))):
		}
		s.Log.Info("step", "step", step.String())
		s.steps.Go(func() { s.runStep(step) })
	}
	s.steps.Wait()
}

// runStep carries out one step and returns when the fault or operation is over.
func (s *soak) runStep(step Step) {
	if !step.Kind.Planned() {
		end := s.beginSpan(&s.history.Faults, Span{Begin: time.Now(), Name: string(step.Kind)})
		defer end()
	}
	if disablesInstance(step.Kind) {
		for target := range s.site.Instances {
			if target == step.Target || step.Kind == KillAll {
				defer s.beginSpan(&s.history.Interrupted, Span{Begin: time.Now(), Instance: target})()
			}
		}
	}
	i := s.site.Instances[step.Target%len(s.site.Instances)]
	backend := s.servers[step.Target%s.Size.Servers]
	// The backend servers are in reverse order of their numbers.
	number := s.Size.Servers - 1 - step.Target%s.Size.Servers
	switch step.Kind {
	case Kill:
		s.killAndRestart(step.Target, step.Duration, nil)
	case LoseDisk:
		s.killAndRestart(step.Target, step.Duration, func() error { return os.RemoveAll(i.DataDir) })
		s.awaitReplica(step.Target)
	case TornTail:
		s.killAndRestart(step.Target, step.Duration, func() error { return appendTornRecord(i.DataDir) })
	case KillAll:
		var wg sync.WaitGroup
		for target := range s.Size.Control {
			wg.Go(func() { s.killAndRestart(target, step.Duration, nil) })
		}
		wg.Wait()
	case Pause:
		s.sendSignal(step.Target, syscall.SIGSTOP)
		time.Sleep(step.Duration)
		s.sendSignal(step.Target, syscall.SIGCONT)
	case Stop:
		s.stopAndRestart(step.Target)
	case Reload:
		s.sendSignal(step.Target, syscall.SIGHUP)
	case Cut:
		s.site.Cut(i)
		time.Sleep(step.Duration)
		s.site.Heal(i)
	case CutOutgoing:
		s.site.CutOutgoing(i)
		time.Sleep(step.Duration)
		s.site.Heal(i)
	case DelayCallers:
		s.callerLinks[step.Target].SetDelay(callerDelay)
		time.Sleep(step.Duration)
		s.callerLinks[step.Target].SetDelay(0)
	case ResetCallers:
		s.callerLinks[step.Target].Reset()
	case DropCallerData:
		s.callerLinks[step.Target].DropData()
	case CrashServer:
		backend.Kill()
		time.Sleep(step.Duration)
		s.recordStepError(backend.Restart())
	case CutServerAnswers:
		backend.link.CutFromTarget()
		time.Sleep(step.Duration)
		backend.link.Heal()
	case ResetServer:
		backend.link.Reset()
	case DropServerData:
		backend.link.DropData()
	case SayLeaving:
		stop := s.arrivals.sayLeaving(number)
		time.Sleep(step.Duration)
		backend.Kill()
		stop()
		s.recordStepError(backend.Restart())
	case AskToSpare:
		s.arrivals.askToSpare(number, step.Duration)
		time.Sleep(step.Duration)
	case SpoilAnswers:
		stop := s.arrivals.startSpoiling(number, s.Seed)
		time.Sleep(step.Duration)
		stop()
	case DrainServer:
		backend.SetLeaving(true)
		time.Sleep(step.Duration)
		backend.SetLeaving(false)
	case ZoneOut:
		s.takeZoneOut(step)
	case RevokeKey:
		s.revokeKey(step)
	case RaceOperators:
		s.raceOperators(step)
	}
}

// beginSpan appends a span and returns a function that sets its end.
func (s *soak) beginSpan(spans *[]Span, span Span) (end func()) {
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

func (s *soak) addViolation(guarantee Guarantee, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.ViolationsDuringRun = append(s.history.ViolationsDuringRun, Violation{guarantee, fmt.Sprintf(format, args...)})
}

// recordStepError records an error of the soak itself as a violation, because after it the run no longer follows the plan.
func (s *soak) recordStepError(err error) {
	if err != nil {
		s.addViolation(Recovers, "the soak could not carry out a step: %v", err)
	}
}

// allowExit marks the process of an instance as allowed to exit until done is called.
func (s *soak) allowExit(target int, killed bool) (done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exitAllowed[target]++
	if killed {
		s.history.Killed[target] = true
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.exitAllowed[target]--
	}
}

func (s *soak) sendSignal(target int, signal syscall.Signal) {
	if i := s.site.Instances[target]; i.Running() {
		s.recordStepError(i.Signal(signal))
	}
}

// killAndRestart kills a process, calls whileDown if it isn't nil, and restarts the process after the time down. After
// whileDown, which may have removed the data folder, the replica must not bootstrap a new group.
func (s *soak) killAndRestart(target int, down time.Duration, whileDown func() error) {
	defer s.allowExit(target, true)()
	i := s.site.Instances[target]
	i.Kill()
	if whileDown != nil {
		s.recordStepError(whileDown())
		s.recordStepError(s.site.WriteSettings(i, false))
	}
	time.Sleep(down)
	s.recordStepError(s.site.StartInstance(i))
}

// stopAndRestart stops a process with SIGTERM and restarts it.
func (s *soak) stopAndRestart(target int) {
	defer s.allowExit(target, false)()
	i := s.site.Instances[target]
	end := s.beginSpan(&s.history.Stops, Span{Begin: time.Now(), Instance: target})
	s.sendSignal(target, syscall.SIGTERM)
	select {
	case <-i.Done():
	case <-time.After(stopTimeout):
		s.addViolation(Recovers, "instance %s still runs %s after SIGTERM", i.ID, stopTimeout)
		i.Kill()
	}
	end()
	s.recordStepError(s.site.StartInstance(i))
}

// appendTornRecord appends the beginning of a record to the newest log segment, as an interrupted write leaves it.
func appendTornRecord(folder string) error {
	var segments []string
	err := filepath.WalkDir(folder, func(path string, _ os.DirEntry, err error) error {
		if filepath.Ext(path) == ".wal" {
			segments = append(segments, path)
		}
		return err
	})
	if err != nil || len(segments) == 0 {
		return Error.New("search for log segments: %d found, error %v", len(segments), err)
	}
	file, err := os.OpenFile(slices.Max(segments), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = io.WriteString(file, tornRecord)
	return Error.Wrap(errs.Combine(err, file.Close()))
}

// awaitReplica waits until a replica that lost its disk votes again. Until then no second replica may lose its disk.
func (s *soak) awaitReplica(target int) {
	id := s.site.Instances[target].ID
	ok := s.waitUntil(recoveryTimeout, func() bool {
		status, err := s.status()
		if err != nil {
			return false
		}
		_, votes := site.Voters(status)[id]
		return votes
	})
	if !ok {
		s.addViolation(Recovers, "replica %s does not vote within %s of losing its disk", id, recoveryTimeout)
	}
}

// waitUntil polls done and reports whether it returned true within limit.
func (s *soak) waitUntil(limit time.Duration, done func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if done() {
			return true
		}
	}
	return false
}

// watchExits records processes that exit although no step stops them, until ctx ends.
func (s *soak) watchExits(ctx context.Context) {
	reported := map[int]bool{}
	for ctx.Err() == nil {
		s.mu.Lock()
		for target, i := range s.site.Instances {
			exited := !i.Running() && s.exitAllowed[target] == 0
			if exited && !reported[target] {
				s.history.ViolationsDuringRun = append(s.history.ViolationsDuringRun, Violation{NoUnexpectedExit, i.ID + " exited unexpectedly; its log is " + i.LogFile})
			}
			reported[target] = exited
		}
		s.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// awaitRecovery waits until each instance answers each kind of request and each replica votes, and records a violation if that
// takes longer than recoveryTimeout.
func (s *soak) awaitRecovery(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if missing := s.awaitServing(recoveryTimeout); missing != "" {
		s.addViolation(Recovers, "%s; not recovered within %s", missing, recoveryTimeout)
	}
	voters := 0
	if !s.waitUntil(recoveryTimeout, func() bool {
		status, err := s.status()
		if err != nil {
			return false
		}
		voters = len(site.Voters(status))
		return voters == s.Size.Control
	}) {
		s.addViolation(Recovers, "%d of %d replicas vote within %s", voters, s.Size.Control, recoveryTimeout)
	}
}

// awaitServing waits until each instance answers each kind of request. It returns "" on success, otherwise a description of
// a request that was not answered in the last attempt.
func (s *soak) awaitServing(limit time.Duration) string {
	missing := ""
	s.waitUntil(limit, func() bool {
		missing = ""
		var wg sync.WaitGroup
		var mu sync.Mutex
		for target, address := range s.traffic.addresses {
			for _, kind := range requestKinds {
				s.probeCount++
				o := Outcome{ID: fmt.Sprintf("probe-%d", s.probeCount), Kind: kind, Instance: target}
				wg.Go(func() {
					sendOnNewConnection(address, &o)
					s.traffic.record(o)
					if o.Status != 200 || !o.BodyRead {
						mu.Lock()
						defer mu.Unlock()
						missing = fmt.Sprintf("%s does not answer %s: status %d %.200q", s.site.Instances[target].ID, kind, o.Status, o.Body)
					}
				})
			}
		}
		wg.Wait()
		return missing == ""
	})
	return missing
}

func (s *soak) close() {
	if s.site == nil {
		return
	}
	s.site.Close()
	for _, b := range s.servers {
		b.Stop()
		if b.link != nil {
			b.link.Close()
		}
	}
	for _, l := range s.callerLinks {
		l.Close()
	}
}
