package relay

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// cutServers is the number of different backend servers that direct dials must have failed to reach before an instance takes itself
	// for cut. Two may be dead at once; with a third the paths of the instance are the likelier cause. A fleet with fewer needs all of them,
	// but at least minCutServers.
	cutServers    = 3
	minCutServers = 2
	// cutProbes is the number of probes of other servers that are started when direct dials failed. Dials alone don't show that the
	// instance is cut: the servers that work may be used on kept connections, without a dial.
	cutProbes = 2
	// evidenceWindow is how long a failed dial counts. It covers the dials and probes that follow a first failure.
	evidenceWindow = 2 * time.Second
	// probeInterval is the time between direct probes while paths are down: callers go back to the shorter path within a second.
	probeInterval = 500 * time.Millisecond
	// maxProbeInterval is the time between probes of a single server whose path stays down: each failed one doubles it up to this. It is how
	// long connections to the server may go through relays after its path is back.
	maxProbeInterval = 4 * time.Second
	// restoredProbes is the number of different backend servers that direct dials must reach in a row to end the state, if there are as many.
	restoredProbes = 2
	// confirmedFor is how long a relay's statement about a failed backend server saves asking again.
	confirmedFor = 500 * time.Millisecond
	// reachedFor is how long a direct dial that succeeded shows that the paths work. Dialing others to find out costs them connections.
	reachedFor = time.Second
	// forgetAfter is when an entry without news is dropped.
	forgetAfter = 30 * time.Second
)

// change is a change of the state of all paths.
type change int

const (
	unchanged change = iota
	becameCut
	becameRestored
)

// Paths holds what an entry instance knows of its own network paths to the backend servers. It does no I/O and is safe for concurrent use.
type Paths struct {
	mu      sync.Mutex // guards all fields
	servers map[string]*serverPath
	// lastDirect is when a direct dial last succeeded, zero if none did, and lastReached the server that it reached.
	lastDirect  time.Time
	lastReached string
	cut         bool
	cutSince    time.Time
	// reached holds the backend servers that direct dials reached in a row while cut.
	reached map[string]bool
	// lastProbe is when the last probes were planned, probing their number that has not ended, and candidates that of the servers among
	// which they were chosen.
	lastProbe  time.Time
	probing    int
	candidates int
	// others holds the servers that are probed to find out whether the instance is cut, until their probes end. othersSince is when these
	// were planned.
	others      map[string]bool
	othersSince time.Time
	// dialing is the number of direct dials to each server that have not ended, without probes.
	dialing map[string]int
	// worked is when a direct connection to each server was last opened or delivered bytes. Entries older than forgetAfter are dropped at
	// nextSweep.
	worked    map[string]time.Time
	nextSweep time.Time
	evidence  Evidence
}

// Evidence is what led to a change of state, for the log.
type Evidence struct {
	// Failed are the backend servers that direct dials did not reach, Relayed those of them that relays reached.
	Failed, Relayed []string
	// Lasted is how long the state before lasted.
	Lasted time.Duration
}

// serverPath is what is known of the direct path to one backend server. There is none for servers whose last direct dial succeeded.
type serverPath struct {
	// failed and relayed are when a direct dial or probe last failed and a relayed dial last succeeded. dialFailed is failed without probes,
	// and otherFailed when a probe failed that was planned to find out whether the instance is cut.
	failed, relayed, dialFailed, otherFailed time.Time
	// downSince is since when isDown holds, if it does.
	downSince time.Time
	// news is when a direct dial or probe last failed while the path was not known to be down.
	news time.Time
	// confirmed is when a relay last confirmed that it does not reach the server either.
	confirmed time.Time
	// refused is set when the server refused the relay's connection.
	refused bool
	// failedProbes is the number of probes in a row that failed while the path was down and the instance was not cut, and nextProbe when the
	// next one is due.
	failedProbes int
	nextProbe    time.Time
}

// noteDown sets downSince after a change of the times.
func (s *serverPath) noteDown(now time.Time, wasDown bool) {
	if !wasDown && s.isDown() {
		s.downSince = now
	}
}

// noteFailedProbe sets when the path is probed again.
func (s *serverPath) noteFailedProbe(now time.Time) {
	s.failedProbes++
	s.nextProbe = now.Add(min(probeInterval<<min(s.failedProbes, 8), maxProbeInterval))
}

// isProbeDue reports whether the path is down and to be probed now.
func (s *serverPath) isProbeDue(now time.Time) bool {
	return s.isDown() && now.Sub(s.failed) >= probeInterval && !now.Before(s.nextProbe)
}

// isDown reports whether a direct dial to the server failed while a relayed one succeeded.
func (s *serverPath) isDown() bool { return !s.failed.IsZero() && s.relayed.After(s.confirmed) }

// isDead reports whether a relay has recently confirmed that it does not reach the server either.
func (s *serverPath) isDead(now time.Time) bool {
	return !s.confirmed.IsZero() && !s.relayed.After(s.confirmed) && now.Sub(s.confirmed) <= evidenceWindow
}

func (s *serverPath) lastNews() time.Time {
	last := s.failed
	for _, at := range []time.Time{s.relayed, s.confirmed} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// NewPaths returns the state of an instance without evidence, which is taken for one with paths.
func NewPaths() *Paths {
	return &Paths{
		servers: map[string]*serverPath{}, reached: map[string]bool{}, others: map[string]bool{}, dialing: map[string]int{},
		worked: map[string]time.Time{}, candidates: restoredProbes,
	}
}

func (p *Paths) entry(server string) *serverPath {
	s := p.servers[server]
	if s == nil {
		s = &serverPath{}
		p.servers[server] = s
	}
	return s
}

// DirectOK records that a direct dial succeeded.
func (p *Paths) DirectOK(now time.Time, server string) change {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, server)
	delete(p.others, server)
	p.noteWorked(now, server)
	p.lastDirect, p.lastReached = now, server
	if !p.cut {
		return unchanged
	}
	p.reached[server] = true
	if len(p.reached) < min(restoredProbes, p.candidates) {
		// Another server is probed at once.
		p.lastProbe = time.Time{}
		return unchanged
	}
	p.evidence = Evidence{Lasted: now.Sub(p.cutSince)}
	p.cut = false
	clear(p.reached)
	p.forgetPathsOfCut()
	return becameRestored
}

// forgetPathsOfCut removes what is known of the servers, but for paths that were down before the failures that showed the cut. These are
// probed soon.
func (p *Paths) forgetPathsOfCut() {
	maps.DeleteFunc(p.servers, func(_ string, s *serverPath) bool {
		s.failedProbes, s.nextProbe = 0, time.Time{}
		return !s.isDown() || p.cutSince.Sub(s.downSince) <= evidenceWindow
	})
}

// Delivered records that a direct connection to the server delivered bytes.
func (p *Paths) Delivered(now time.Time, server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteWorked(now, server)
}

func (p *Paths) noteWorked(now time.Time, server string) {
	p.worked[server] = now
	if now.Before(p.nextSweep) {
		return
	}
	p.nextSweep = now.Add(forgetAfter)
	maps.DeleteFunc(p.worked, func(_ string, at time.Time) bool { return now.Sub(at) > forgetAfter })
}

// DialStarted records that a direct dial to the server started. It must be ended with DialEnded.
func (p *Paths) DialStarted(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing[server]++
}

// DialEnded records that a direct dial ended, whatever its outcome.
func (p *Paths) DialEnded(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialing[server]--; p.dialing[server] <= 0 {
		delete(p.dialing, server)
	}
}

// DirectFailed records that a direct dial failed or took too long. fleetSize is the number of backend servers that are known.
func (p *Paths) DirectFailed(now time.Time, server string, fleetSize int) change {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entry(server).dialFailed = now
	return p.fail(now, server, fleetSize)
}

// ProbeFailed records that a probe which PlanProbes planned failed.
func (p *Paths) ProbeFailed(now time.Time, server string, fleetSize int) change {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; !p.cut && s != nil && s.isDown() {
		s.noteFailedProbe(now)
	}
	if p.others[server] {
		delete(p.others, server)
		// A direct dial that succeeded since the probe started shows as much as the probe.
		if p.othersSince.After(p.lastDirect) {
			p.entry(server).otherFailed = now
		}
	}
	return p.fail(now, server, fleetSize)
}

func (p *Paths) fail(now time.Time, server string, fleetSize int) change {
	s := p.entry(server)
	wasDown := s.isDown()
	if !wasDown {
		s.news = now
	}
	s.failed = now
	s.noteDown(now, wasDown)
	clear(p.reached)
	return p.decide(now, fleetSize)
}

// Relayed records that a relayed dial succeeded.
func (p *Paths) Relayed(now time.Time, server string, fleetSize int) change {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		wasDown := s.isDown()
		s.relayed = now
		s.noteDown(now, wasDown)
	}
	return p.decide(now, fleetSize)
}

// RelayFailed records that a relay with working paths did not reach the server either.
func (p *Paths) RelayFailed(now time.Time, server string, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.entry(server)
	s.confirmed, s.refused = now, refused
}

// decide sets the state cut when enough servers failed since the last direct dial that succeeded, a relay reached one of them, and a probe
// failed at one that was not dialled otherwise, if there is one.
func (p *Paths) decide(now time.Time, fleetSize int) change {
	if p.cut {
		return unchanged
	}
	failed := p.recentlyFailed(now)
	var relayed []string
	for _, id := range failed {
		if p.servers[id].isDown() && now.Sub(p.servers[id].relayed) <= evidenceWindow {
			relayed = append(relayed, id)
		}
	}
	if len(failed) < neededServers(fleetSize) || len(relayed) == 0 || !p.othersFailed(now, failed, fleetSize) {
		return unchanged
	}
	p.cut, p.cutSince, p.lastProbe = true, now, now
	p.evidence = Evidence{Failed: failed, Relayed: relayed}
	clear(p.reached)
	return becameCut
}

func neededServers(fleetSize int) int { return max(minCutServers, min(cutServers, fleetSize)) }

// othersFailed reports whether probes failed at servers that no dial failed to reach, and all that were planned have ended, or no others
// are left to probe but dead ones.
func (p *Paths) othersFailed(now time.Time, failed []string, fleetSize int) bool {
	known := len(failed)
	for id, s := range p.servers {
		switch {
		case len(p.others) == 0 && p.isRecent(now, s.otherFailed) && !p.isRecent(now, s.dialFailed) && !s.isDead(now):
			return true
		case s.isDead(now) && !slices.Contains(failed, id):
			known++
		}
	}
	return known >= fleetSize
}

// isRecent reports whether a failure counts: direct dials have not succeeded since, and it is not long past.
func (p *Paths) isRecent(now, failed time.Time) bool {
	return failed.After(p.lastDirect) && now.Sub(failed) <= evidenceWindow
}

// hasNews reports whether one of the failed servers was not known to be unreachable before.
func (p *Paths) hasNews(now time.Time, failed []string) bool {
	return slices.ContainsFunc(failed, func(id string) bool { return p.isRecent(now, p.servers[id].news) })
}

// recentlyFailed returns the servers that direct dials failed to reach after the last one that succeeded, without those that relays did
// not reach either.
func (p *Paths) recentlyFailed(now time.Time) []string {
	var failed []string
	for id, s := range p.servers {
		if p.isRecent(now, s.failed) && !s.confirmed.After(s.failed.Add(-confirmedFor)) {
			failed = append(failed, id)
		}
	}
	return failed
}

// Cut reports whether the instance takes itself for cut off from all backend servers.
func (p *Paths) Cut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// Evidence returns what led to the last change of state.
func (p *Paths) Evidence() Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evidence
}

// RelayedFirst reports whether new connections to the server go through a relay before they are tried directly.
func (p *Paths) RelayedFirst(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	return p.cut || s != nil && s.isDown()
}

// SomeDown reports whether the path to some backend server is down.
func (p *Paths) SomeDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return true
	}
	for _, s := range p.servers {
		if s.isDown() {
			return true
		}
	}
	return false
}

// Doubted reports whether direct dials have failed and none has succeeded since, without those to servers that relays don't reach either.
func (p *Paths) Doubted(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut || len(p.recentlyFailed(now)) > 0
}

// Confirmed reports whether a relay confirmed shortly before that it does not reach the server either, and none has reached it since. It
// also reports whether it was refused.
func (p *Paths) Confirmed(now time.Time, server string) (confirmed, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	if s == nil || s.confirmed.IsZero() || s.relayed.After(s.confirmed) || now.Sub(s.confirmed) > confirmedFor {
		return false, false
	}
	return true, s.refused
}

// WorkedSince reports whether a direct connection to the server was opened or delivered bytes after the given time.
func (p *Paths) WorkedSince(since time.Time, server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.worked[server].After(since)
}

// ReachedAnother reports whether the last direct dial that succeeded shows that the paths work, although one to the given server failed:
// it is recent, reached another server, and none has failed to reach a third one since.
func (p *Paths) ReachedAnother(now time.Time, server string) bool {
	return p.ReachedAnotherSince(now.Add(-reachedFor), server)
}

// ReachedAnotherSince is ReachedAnother for a dial that succeeded at the given time or later.
func (p *Paths) ReachedAnotherSince(since time.Time, server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut || p.lastReached == "" || p.lastReached == server || p.lastDirect.Before(since) {
		return false
	}
	for id, s := range p.servers {
		if id != server && s.failed.After(p.lastDirect) {
			return false
		}
	}
	return true
}

// PreferWorking returns the candidates but one server, first those that direct dials have not failed to reach.
func (p *Paths) PreferWorking(without string, candidates []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var working, failed []string
	for _, id := range candidates {
		switch {
		case id == without:
		case p.servers[id] == nil:
			working = append(working, id)
		default:
			failed = append(failed, id)
		}
	}
	return append(working, failed...)
}

// NeedsProbes reports whether direct probes are due now.
func (p *Paths) NeedsProbes(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.needsProbes(now)
}

func (p *Paths) needsProbes(now time.Time) bool {
	if p.probing > 0 {
		return false
	}
	if now.Sub(p.lastProbe) < probeInterval {
		// Whether the instance is cut is found out at once.
		failed := p.recentlyFailed(now)
		if p.cut || len(failed) < neededServers(p.candidates) || !p.hasNews(now, failed) {
			return false
		}
	}
	if p.cut {
		return true
	}
	someDown := false
	for id, s := range p.servers {
		if now.Sub(s.lastNews()) > forgetAfter {
			delete(p.servers, id)
			continue
		}
		if s.isProbeDue(now) {
			return true
		}
		someDown = someDown || s.isDown()
	}
	return someDown && p.hasNews(now, p.recentlyFailed(now))
}

// PlanProbes returns the backend servers to dial directly now. candidates are those known, in random order. While cut it is one after the
// other; when the direct path to some server is down, that server and as many others as decide whether the instance is cut. Each probe
// must be ended with ProbeEnded.
func (p *Paths) PlanProbes(now time.Time, candidates []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.needsProbes(now) {
		return nil
	}
	var out []string
	wanted := 1
	p.candidates = len(candidates)
	clear(p.others)
	if p.cut && !slices.ContainsFunc(candidates, func(id string) bool { return !p.reached[id] }) {
		// The others have left the fleet. One that is reached again ends the state.
		clear(p.reached)
	}
	if !p.cut {
		failed := map[string]bool{}
		for _, id := range p.recentlyFailed(now) {
			failed[id] = true
		}
		if p.hasNews(now, slices.Collect(maps.Keys(failed))) {
			wanted = max(neededServers(len(candidates))-len(failed), cutProbes)
		} else {
			wanted = 0
		}
		for id, s := range p.servers {
			if s.isProbeDue(now) {
				out = append(out, id)
				break
			}
		}
	}
	if !p.cut {
		candidates = p.byLastDelivery(now, candidates)
	}
	// Servers that relays don't reach either tell nothing, unless there are no others. A dial that has not ended may be about to fail, and its
	// server would be one of those that dials fail to reach.
	for _, class := range []probeClass{probeFirst, probeDialed, probeDead} {
		for _, id := range candidates {
			if wanted == 0 {
				break
			}
			s := p.servers[id]
			known := !p.cut && s != nil && now.Sub(s.failed) <= evidenceWindow
			if p.reached[id] || known || p.probeClass(now, id) != class {
				continue
			}
			out = append(out, id)
			if !p.cut {
				p.others[id] = true
			}
			wanted--
		}
	}
	if len(out) > 0 {
		p.lastProbe, p.probing, p.othersSince = now, len(out), now
	}
	return out
}

// probeClass is the order in which servers are probed.
type probeClass int

const (
	probeFirst probeClass = iota
	probeDialed
	probeDead
)

func (p *Paths) probeClass(now time.Time, server string) probeClass {
	s := p.servers[server]
	switch {
	case s != nil && s.isDead(now):
		return probeDead
	case !p.cut && p.dialing[server] > 0:
		return probeDialed
	}
	return probeFirst
}

// byLastDelivery returns the servers with those first whose direct connections worked last, the others in the given order. If an instance has
// lost the paths to a part of the servers only, these are most likely the others, so that the probes find it out.
func (p *Paths) byLastDelivery(now time.Time, servers []string) []string {
	out := slices.Clone(servers)
	slices.SortStableFunc(out, func(a, b string) int {
		return p.recentlyWorked(now, b).Compare(p.recentlyWorked(now, a))
	})
	return out
}

// recentlyWorked returns when a direct connection to the server last worked, the zero time if that is not recent.
func (p *Paths) recentlyWorked(now time.Time, server string) time.Time {
	if at := p.worked[server]; now.Sub(at) <= evidenceWindow {
		return at
	}
	return time.Time{}
}

// ProbeEnded ends one probe. The first probe that succeeds while cut is followed by another one at once.
func (p *Paths) ProbeEnded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = max(p.probing-1, 0)
	if p.probing == 0 {
		clear(p.others)
	}
}
