package controlstate

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"unique"

	"github.com/zeebo/errs"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

// ErrRefused is the class of errors of commands that the current state does not allow. Such a command changes nothing.
var ErrRefused = errs.Class("refused")

// Bounds of the replicated state.
const (
	// MaxCatalogues bounds the catalogue revisions that are kept in full, with their content.
	MaxCatalogues = 64
	// MaxChanges bounds the operator changes whose author and diff are kept, to report them in conflicts.
	MaxChanges = 256
	// MaxDiffLines bounds the diff lines kept for one change.
	MaxDiffLines = 200
	// MaxSessions and SessionTTL bound session pins. A pin expires SessionTTL after its last renewal.
	MaxSessions = 200_000
	SessionTTL  = 12 * time.Hour
	// MaxCalls and CallTTL bound idempotency records.
	MaxCalls = 200_000
	CallTTL  = 24 * time.Hour
	// MaxAnswerBytes bounds the total size of the stored answer bodies. Without it, 200,000 answers of 64 KiB would need
	// 13 GB.
	MaxAnswerBytes = 64 << 20
	// MaxCancelled and CancelledTTL bound the request ids of cancelled calls. They are kept to reject a BeginCall that
	// arrives after the cancellation.
	MaxCancelled = 10_000
	CancelledTTL = 10 * time.Minute
	// MaxBillingKeys and BillingKeyTTL bound each deduplication window of bills; a full window evicts its oldest key.
	// Caller-chosen keys and request ids have separate windows.
	MaxBillingKeys = 200_000
	BillingKeyTTL  = 24 * time.Hour
	// MaxBatches and BatchTTL bound the boots of entry instances whose last batch of bills is kept.
	MaxBatches = 10_000
	BatchTTL   = 24 * time.Hour
	// MaxBilledWorkspaces bounds the workspaces with a bill total of their own.
	MaxBilledWorkspaces = 10_000
	// MaxRequestIDs and RequestIDTTL bound the stored first results of operator changes; a full table evicts the oldest.
	MaxRequestIDs = 10_000
	RequestIDTTL  = 24 * time.Hour
	// MaxPhases bounds the backend servers with a recorded phase. When the table is full, servers whose phase has been
	// control.PhaseGone for PhaseTTL are removed.
	MaxPhases = 10_000
	PhaseTTL  = 24 * time.Hour
	// MaxServers bounds the backend servers whose announcement is recorded. It is not below the bound of the fleet table: an
	// announcement is acknowledged once it is recorded.
	MaxServers = 12_000
	// MaxOrders bounds the availability zones, and separately the backend servers, that are ordered out of service.
	MaxOrders = 10_000
)

// CatalogueRevision is one accepted catalogue.
type CatalogueRevision struct {
	Revision  uint64
	By        string
	At        time.Time
	Catalogue *catalogue.Catalogue
	// Number and Document are those of control.ApplyCatalogueRequest. Documents of earlier revisions are not kept.
	Number   uint64
	Document []byte
}

// Change is one accepted operator change. Revision is the configuration revision that it created.
type Change struct {
	Revision  uint64
	By        string
	At        time.Time
	RequestID string
	Diff      []string
	Kind      ChangeKind
	// Subject is the availability zone, backend server, model or fingerprint; empty for a catalogue.
	Subject string
}

// ChangeKind is the kind of an operator change.
type ChangeKind string

// Kinds of operator changes. They are also the kinds of the events in the timeline.
const (
	ChangeCatalogue      ChangeKind = "catalogue_applied"
	ChangeZoneOut        ChangeKind = "zone_out"
	ChangeZoneIn         ChangeKind = "zone_in"
	ChangeServerOut      ChangeKind = "server_out"
	ChangeServerIn       ChangeKind = "server_in"
	ChangeRollout        ChangeKind = "rollout_ordered"
	ChangeServiceRollout ChangeKind = "service_rollout_ordered"
	ChangeQuarantineLift ChangeKind = "quarantine_lifted"
)

// PhaseRecord is the durable phase of a backend server.
type PhaseRecord struct {
	Boot   string
	Phase  control.Phase
	Limit  int
	Reason string
	// Since is the time at which the phase or the boot last changed.
	Since time.Time
}

// Holder identifies one boot of an entry instance, which holds the calls that it began.
type Holder struct{ Instance, Boot string }

// firstResult is the result of the first change with a request id. Content is the hash of that change, by which a resend
// is distinguished from another change under the same id.
type firstResult struct {
	Content tableKey
	Reply   control.ChangeReply
}

// publishedView is the part of the state that is read without a lock.
type publishedView struct {
	view                 *control.View
	catalogueModRevision uint64
}

// State is the replicated state. Apply, Snapshot and Restore are called by one goroutine; every other method is safe
// for concurrent use.
type State struct {
	published atomic.Pointer[publishedView]
	ledger    Ledger

	mu                   sync.RWMutex // guards all fields below
	nowMillis            int64        // largest At of all applied commands, in Unix milliseconds
	revision             uint64
	configRevision       uint64
	catalogueModRevision uint64
	catalogues           []CatalogueRevision
	changes              []Change
	orders               *control.Orders
	rollouts             *control.Rollouts
	quarantine           *control.Quarantine
	phases               map[string]PhaseRecord
	servers              map[string]RecordedServer
	fence                Fence
	firstResults         *table[firstResult]
	sessions             *table[unique.Handle[catalogue.VersionRef]]
	calls                *callTable
	bills                *billTable
	crashes              *table[crashRecord]
}

// New returns the empty state: revision 1 with an empty catalogue and configuration revision 0.
func New() *State {
	s := &State{}
	s.reset()
	s.publish()
	return s
}

func (s *State) reset() {
	s.nowMillis, s.revision, s.configRevision, s.catalogueModRevision = 0, 1, 0, 1
	s.catalogues = []CatalogueRevision{{Catalogue: &catalogue.Catalogue{}}}
	s.changes = nil
	s.orders = &control.Orders{ModRevision: 1, ZonesOut: map[string]control.Order{}, ServersOut: map[string]control.Order{}}
	s.rollouts = &control.Rollouts{ModRevision: 1, Progress: map[string]control.RolloutProgress{}, Services: map[string]control.ServiceRollout{}}
	s.quarantine = &control.Quarantine{ModRevision: 1, Crashes: map[string]int{}}
	s.phases = map[string]PhaseRecord{}
	s.servers = map[string]RecordedServer{}
	s.fence = Fence{}
	s.firstResults = newTable[firstResult](MaxRequestIDs)
	s.sessions = newTable[unique.Handle[catalogue.VersionRef]](MaxSessions)
	s.calls = newCallTable()
	s.bills = newBillTable()
	s.crashes = newTable[crashRecord](MaxCrashRecords)
}

func (s *State) publish() {
	s.published.Store(&publishedView{catalogueModRevision: s.catalogueModRevision, view: &control.View{
		Revision:       s.revision,
		ConfigRevision: s.configRevision,
		Catalogue:      s.currentCatalogue().Catalogue,
		Orders:         s.orders,
		Rollouts:       s.rollouts,
		Quarantine:     s.quarantine,
	}})
}

func (s *State) currentCatalogue() CatalogueRevision { return s.catalogues[len(s.catalogues)-1] }

// View returns the current view with all sections. It must not be modified.
func (s *State) View() *control.View { return s.published.Load().view }

// ViewSince returns the current view and its revision. Sections that have not changed since the given revision are nil;
// the view itself is nil when no section has changed.
func (s *State) ViewSince(revision uint64) (*control.View, uint64) {
	p := s.published.Load()
	if revision >= p.view.Revision {
		return nil, p.view.Revision
	}
	v := *p.view
	if p.catalogueModRevision <= revision {
		v.Catalogue = nil
	}
	if v.Orders.ModRevision <= revision {
		v.Orders = nil
	}
	if v.Rollouts.ModRevision <= revision {
		v.Rollouts = nil
	}
	if v.Quarantine.ModRevision <= revision {
		v.Quarantine = nil
	}
	return &v, v.Revision
}

// Phase returns the recorded phase of a backend server, and false when none is recorded.
func (s *State) Phase(server string) (PhaseRecord, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.phases[server]
	return r, ok
}

// Phases returns a copy of all recorded phases by backend server id.
func (s *State) Phases() map[string]PhaseRecord {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.phases)
}

// Server returns what is recorded of a backend server, and false when nothing is.
func (s *State) Server(id string) (RecordedServer, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.servers[id]
	return r, ok
}

// Servers returns the recorded backend servers, ordered by id.
func (s *State) Servers() []RecordedServer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]RecordedServer, 0, len(s.servers))
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		out = append(out, s.servers[id])
	}
	return out
}

func (s *State) recordServers(c *RecordServers) {
	for _, id := range c.Remove {
		delete(s.servers, id)
	}
	for _, a := range c.Put {
		if _, known := s.servers[a.ID]; known || len(s.servers) < MaxServers {
			s.servers[a.ID] = a
		}
	}
}

// Catalogue returns the current catalogue with its author.
func (s *State) Catalogue() CatalogueRevision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.currentCatalogue()
}

// Catalogues returns the kept catalogue revisions, oldest first.
func (s *State) Catalogues() []CatalogueRevision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.catalogues)
}

// Changes returns the kept operator changes, oldest first.
func (s *State) Changes() []Change {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.changes)
}

// Apply executes a committed command. The result has the type given in the command's doc comment. If it is an error, of
// class ErrRefused, control.ErrTableFull or Error, the command changed nothing.
func (s *State) Apply(index uint64, data []byte) any {
	c, err := Decode(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.revision
	s.nowMillis = max(s.nowMillis, c.At.UnixMilli())
	s.expireRecords()
	result := s.execute(index, c)
	s.appendToLedger(index)
	if s.revision != before {
		s.publish()
	}
	return result
}

func (s *State) timeLocked() time.Time { return time.UnixMilli(s.nowMillis).UTC() }

func (s *State) execute(index uint64, c *Command) any {
	switch {
	case c.ApplyCatalogue != nil, c.SetOrder != nil, c.LiftQuarantine != nil, c.StartServiceRollout != nil:
		return s.applyChange(c)
	case c.AdvanceServiceRollout != nil:
		s.advanceServiceRollout(c.AdvanceServiceRollout.Progress)
		return nil
	case c.SetRollout != nil && c.SetRollout.RequestID != "":
		return s.applyChange(c)
	case c.SetRollout != nil:
		return s.advanceRollout(c.SetRollout)
	case c.RecordServers != nil:
		s.recordServers(c.RecordServers)
		return nil
	case c.SetPhase != nil:
		return s.setPhase(c.SetPhase)
	case c.NextFence != nil:
		return s.nextFence(c.NextFence.Term, index)
	case c.PinSession != nil:
		return s.pinSession(c.PinSession)
	case c.InstanceGone != nil:
		return s.calls.markOutcomesUnknown(Holder{c.InstanceGone.Instance, c.InstanceGone.Boot})
	case c.RecordBills != nil:
		return s.bills.recordBatch(c.RecordBills, s.nowMillis)
	case c.ReportCrash != nil:
		return s.recordCrash(c.ReportCrash)
	case c.ClearParts != nil:
		s.clearParts(c.ClearParts)
		return nil
	case len(c.BeginCalls)+len(c.FinishCalls)+len(c.BillBatches) > 0:
		return s.applyBatch(c)
	}
	return Error.New("the command is empty")
}

func (s *State) applyBatch(c *Command) BatchResult {
	result := BatchResult{}
	for i := range c.FinishCalls {
		s.calls.finishCall(&c.FinishCalls[i], s.nowMillis)
	}
	for i := range c.BeginCalls {
		result.Begins = append(result.Begins, s.calls.beginCall(&c.BeginCalls[i], s.nowMillis))
	}
	for i := range c.BillBatches {
		result.Bills = append(result.Bills, s.bills.recordBatch(&c.BillBatches[i], s.nowMillis))
	}
	return result
}

func (s *State) expireRecords() {
	s.firstResults.expire(s.nowMillis-RequestIDTTL.Milliseconds(), nil)
	s.sessions.expire(s.nowMillis-SessionTTL.Milliseconds(), nil)
	s.calls.expire(s.nowMillis)
	s.bills.expire(s.nowMillis)
	countBefore := s.crashes.len()
	s.crashes.expire(s.nowMillis-CrashTTL.Milliseconds(), nil)
	if s.crashes.len() != countBefore || s.hasExpiredPart() {
		s.publishQuarantine()
	}
}

func (s *State) nextFence(term, index uint64) Fence {
	f := Fence{Term: term, Index: index}
	if f.Term > s.fence.Term || f.Term == s.fence.Term && f.Index > s.fence.Index {
		s.fence = f
	}
	return f
}

func (s *State) setPhase(c *SetPhase) any {
	old, ok := s.phases[c.BackendServer]
	if !ok && len(s.phases) >= MaxPhases {
		s.removeExpiredPhases()
		if len(s.phases) >= MaxPhases {
			return control.ErrTableFull.New("%d backend servers have a recorded phase", len(s.phases))
		}
	}
	r := PhaseRecord{Boot: c.Boot, Phase: c.Phase, Limit: c.Limit, Reason: c.Reason, Since: s.timeLocked()}
	if ok && old.Boot == r.Boot && old.Phase == r.Phase {
		r.Since = old.Since
	}
	s.phases[c.BackendServer] = r
	return nil
}

// removeExpiredPhases removes the backend servers whose phase has been control.PhaseGone for more than PhaseTTL.
func (s *State) removeExpiredPhases() {
	before := s.timeLocked().Add(-PhaseTTL)
	maps.DeleteFunc(s.phases, func(_ string, r PhaseRecord) bool {
		return r.Phase == control.PhaseGone && r.Since.Before(before)
	})
}

// pinSession pins a session that has no pin to the proposed version. An existing pin is replaced only if Replace is the
// pinned version and that version takes no new work any more. The result holds the version
// that the session is then pinned to.
func (s *State) pinSession(c *control.PinRequest) any {
	k := keyOf(c.Workspace, c.Session)
	proposed := unique.Make(c.Proposed)
	pinned := s.sessions.get(k)
	if pinned == nil {
		if s.sessions.put(k, proposed, s.nowMillis) == nil {
			return control.ErrTableFull.New("%d sessions are pinned", s.sessions.len())
		}
		return control.PinReply{Pinned: c.Proposed}
	}
	if pinned.Value() == c.Replace && c.Replace != (catalogue.VersionRef{}) && s.closedToNewWork(c.Replace) {
		*pinned = proposed
	}
	s.sessions.touch(k, s.nowMillis)
	return control.PinReply{Pinned: pinned.Value()}
}

// closedToNewWork reports whether the version takes no new work: it is withdrawn, not in the catalogue, or rolled back.
func (s *State) closedToNewWork(ref catalogue.VersionRef) bool {
	v := s.currentCatalogue().Catalogue.FindVersion(ref)
	if v == nil || v.Withdrawn {
		return true
	}
	p, ok := s.rollouts.Progress[ref.Model]
	return ok && p.State == control.RolloutRolledBack && p.To == ref.Version
}
