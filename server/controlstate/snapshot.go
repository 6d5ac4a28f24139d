package controlstate

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"maps"
	"slices"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

// snapshotFormat is the version of the layout of image. Restore refuses snapshots of other versions.
const snapshotFormat = 1

// image is the state as encoded with gob. It holds sorted slices instead of maps, so that equal states have equal
// snapshots.
type image struct {
	Format         int
	Now            int64
	Revision       uint64
	ConfigRevision uint64
	CatalogueMod   uint64
	Catalogues     []CatalogueRevision
	Changes        []Change
	OrdersMod      uint64
	ZonesOut       []named[control.Order]
	ServersOut     []named[control.Order]
	RolloutsMod    uint64
	Progress       []named[control.RolloutProgress]
	ServiceRollout []named[control.ServiceRollout]
	QuarantineMod  uint64
	Phases         []named[PhaseRecord]
	Servers        []named[RecordedServer]
	Fence          Fence
	Results        records[firstResult]
	Sessions       packed
	Calls          packed
	Cancelled      packed
	CallerKeys     packed
	RequestKeys    packed
	Batches        records[lastBatch]
	Totals         []named[control.WorkspaceBill]
	BillCount      uint64
	Crashes        records[crashRecord]
}

// named is one entry of a map.
type named[V any] struct {
	Name  string
	Value V
}

// records is the serialized form of a small table, in the order of last touch. Keys holds 16 bytes for each record, At
// the time of its last touch in Unix milliseconds.
type records[V any] struct {
	Keys   []byte
	At     []int64
	Values []V
}

func sortedByName[V any](m map[string]V) []named[V] {
	out := make([]named[V], 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, named[V]{name, m[name]})
	}
	return out
}

func mapByName[V any](items []named[V]) map[string]V {
	out := make(map[string]V, len(items))
	for _, item := range items {
		out[item.Name] = item.Value
	}
	return out
}

func exportTable[V any](t *table[V]) records[V] {
	r := records[V]{Keys: make([]byte, 0, t.len()*len(tableKey{})), At: make([]int64, 0, t.len())}
	t.each(func(k tableKey, v *V, at int64) {
		r.Keys = append(r.Keys, k[:]...)
		r.At = append(r.At, at)
		r.Values = append(r.Values, *v)
	})
	return r
}

func importTable[V any](limit int, r records[V]) (*table[V], error) {
	t := newTable[V](limit)
	n := len(r.At)
	if len(r.Keys) != n*len(tableKey{}) || len(r.Values) != n || n > limit {
		return nil, Error.New("snapshot table has %d times, %d bytes of keys and %d values, at most %d records allowed",
			n, len(r.Keys), len(r.Values), limit)
	}
	for i := range n {
		k := tableKey(r.Keys[i*len(tableKey{}):])
		if t.get(k) != nil || i > 0 && r.At[i] < r.At[i-1] {
			return nil, Error.New("record %d of a snapshot table is repeated or out of order", i)
		}
		t.put(k, r.Values[i], r.At[i])
	}
	return t, nil
}

// Snapshot returns the serialized state. Equal states have equal snapshots. The ledger is synced first: the log entries
// that the snapshot covers may be deleted afterwards, and bills are stored only in them and in the ledger.
func (s *State) Snapshot() ([]byte, error) {
	if s.ledger != nil {
		if err := s.ledger.Sync(); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	img := image{
		Format: snapshotFormat, Now: s.nowMillis, Revision: s.revision, ConfigRevision: s.configRevision,
		CatalogueMod: s.catalogueModRevision, Catalogues: s.catalogues, Changes: s.changes,
		OrdersMod: s.orders.ModRevision, ZonesOut: sortedByName(s.orders.ZonesOut), ServersOut: sortedByName(s.orders.ServersOut),
		RolloutsMod: s.rollouts.ModRevision, Progress: sortedByName(s.rollouts.Progress),
		ServiceRollout: sortedByName(s.rollouts.Services),
		QuarantineMod:  s.quarantine.ModRevision, Phases: sortedByName(s.phases), Servers: sortedByName(s.servers), Fence: s.fence,
		Results:     exportTable(s.firstResults),
		Sessions:    packTable(s.sessions, sessionCodec),
		Calls:       packTable(s.calls.records, callCodec),
		Cancelled:   packTable(s.calls.cancelled, nil),
		CallerKeys:  packTable(s.bills.callerKeys, nil),
		RequestKeys: packTable(s.bills.requestKeys, nil),
		Batches:     exportTable(s.bills.lastBatches),
		Totals:      sortedByName(s.bills.totals),
		BillCount:   s.bills.recordedCount,
		Crashes:     exportTable(s.crashes),
	}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(&img); err != nil {
		return nil, Error.Wrap(err)
	}
	return buf.Bytes(), nil
}

// Restore replaces the state with that of a snapshot. On an error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var img image
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&img); err != nil {
		return Error.Wrap(err)
	}
	if img.Format != snapshotFormat || len(img.Catalogues) == 0 {
		return Error.New("snapshot has format %d and %d catalogues; this version reads format %d with at least one",
			img.Format, len(img.Catalogues), snapshotFormat)
	}
	next := &State{}
	next.reset()
	if err := next.restoreTables(&img); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nowMillis, s.revision, s.configRevision, s.catalogueModRevision = img.Now, img.Revision, img.ConfigRevision, img.CatalogueMod
	s.catalogues, s.changes = img.Catalogues, img.Changes
	for i := range s.catalogues {
		s.catalogues[i].At = s.catalogues[i].At.UTC()
		if s.catalogues[i].Catalogue == nil {
			s.catalogues[i].Catalogue = &catalogue.Catalogue{}
		}
	}
	s.orders = &control.Orders{
		ModRevision: img.OrdersMod, ZonesOut: mapByName(img.ZonesOut), ServersOut: mapByName(img.ServersOut),
	}
	s.rollouts = &control.Rollouts{ModRevision: img.RolloutsMod, Progress: mapByName(img.Progress), Services: mapByName(img.ServiceRollout)}
	s.phases, s.servers, s.fence = mapByName(img.Phases), mapByName(img.Servers), img.Fence
	s.firstResults, s.sessions, s.calls, s.bills, s.crashes = next.firstResults, next.sessions, next.calls, next.bills, next.crashes
	s.bills.totals, s.bills.recordedCount = mapByName(img.Totals), img.BillCount
	s.quarantine = s.quarantineAt(img.QuarantineMod)
	s.publish()
	return nil
}

func (s *State) restoreTables(img *image) error {
	var errors [8]error
	s.firstResults, errors[0] = importTable(MaxRequestIDs, img.Results)
	s.sessions, errors[1] = unpackTable(MaxSessions, img.Sessions, sessionCodec)
	s.calls.records, errors[2] = unpackTable(MaxCalls, img.Calls, callCodec)
	s.calls.cancelled, errors[3] = unpackTable[struct{}](MaxCancelled, img.Cancelled, nil)
	s.bills.callerKeys, errors[4] = unpackTable[struct{}](MaxBillingKeys, img.CallerKeys, nil)
	s.bills.requestKeys, errors[5] = unpackTable[struct{}](MaxBillingKeys, img.RequestKeys, nil)
	s.bills.lastBatches, errors[6] = importTable(MaxBatches, img.Batches)
	s.crashes, errors[7] = importTable(MaxCrashRecords, img.Crashes)
	if err := cmp.Or(errors[:]...); err != nil {
		return err
	}
	// A record is touched when its answer is stored, so the records are in the order in which their answers were stored.
	s.calls.records.each(func(k tableKey, r *callRecord, _ int64) {
		if r.state == control.CallInProgress {
			s.calls.openCalls[r.holder]++
		}
		if r.answer != nil && len(r.answer.Body) > 0 {
			s.calls.keysWithBody = append(s.calls.keysWithBody, k)
			s.calls.answerBytes += len(r.answer.Body)
		}
	})
	return nil
}

// Time returns the time of the state machine: the largest Command.At applied so far.
func (s *State) Time() time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.timeLocked()
}
