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

// snapshotFormat is the number of the layout of image; Restore refuses any other.
const snapshotFormat = 1

// image is the serialized state. It holds sorted slices in place of maps, so that equal states have equal snapshots.
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
	Servers        []named[control.Announcement]
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

type named[V any] struct {
	Name  string
	Value V
}

// records is a small table in the order of its list. Keys holds 16 bytes for each record.
type records[V any] struct {
	Keys   []byte
	At     []int64
	Values []V
}

func sorted[V any](m map[string]V) []named[V] {
	out := make([]named[V], 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, named[V]{name, m[name]})
	}
	return out
}

func unsorted[V any](items []named[V]) map[string]V {
	out := make(map[string]V, len(items))
	for _, item := range items {
		out[item.Name] = item.Value
	}
	return out
}

func save[V any](t *table[V]) records[V] {
	r := records[V]{Keys: make([]byte, 0, t.len()*len(tableKey{})), At: make([]int64, 0, t.len())}
	t.each(func(k tableKey, v *V, at int64) {
		r.Keys = append(r.Keys, k[:]...)
		r.At = append(r.At, at)
		r.Values = append(r.Values, *v)
	})
	return r
}

func load[V any](limit int, r records[V]) (*table[V], error) {
	t := newTable[V](limit)
	n := len(r.At)
	if len(r.Keys) != n*len(tableKey{}) || len(r.Values) != n || n > limit {
		return nil, Error.New("a table of the snapshot has %d times, %d bytes of keys and %d values, at most %d records",
			n, len(r.Keys), len(r.Values), limit)
	}
	for i := range n {
		k := tableKey(r.Keys[i*len(tableKey{}):])
		if t.get(k) != nil || i > 0 && r.At[i] < r.At[i-1] {
			return nil, Error.New("record %d of a table of the snapshot is repeated or out of order", i)
		}
		t.put(k, r.Values[i], r.At[i])
	}
	return t, nil
}

// Snapshot returns the whole state. Equal states have equal snapshots. The ledger is synced first, as the log entries that
// the snapshot replaces are the other place that holds the bills.
func (s *State) Snapshot() ([]byte, error) {
	if s.ledger != nil {
		if err := s.ledger.Sync(); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	img := image{
		Format: snapshotFormat, Now: s.now, Revision: s.revision, ConfigRevision: s.configRevision,
		CatalogueMod: s.catalogueMod, Catalogues: s.catalogues, Changes: s.changes,
		OrdersMod: s.orders.ModRevision, ZonesOut: sorted(s.orders.ZonesOut), ServersOut: sorted(s.orders.ServersOut),
		RolloutsMod: s.rollouts.ModRevision, Progress: sorted(s.rollouts.Progress),
		ServiceRollout: sorted(s.rollouts.Services),
		QuarantineMod:  s.quarantine.ModRevision, Phases: sorted(s.phases), Servers: sorted(s.servers), Fence: s.fence,
		Results:     save(s.results),
		Sessions:    pack(s.sessions, sessionCodec),
		Calls:       pack(s.calls.records, callCodec),
		Cancelled:   pack(s.calls.cancelled, nil),
		CallerKeys:  pack(s.bills.callerKeys, nil),
		RequestKeys: pack(s.bills.requestKeys, nil),
		Batches:     save(s.bills.batches),
		Totals:      sorted(s.bills.totals),
		BillCount:   s.bills.count,
		Crashes:     save(s.crashes),
	}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(&img); err != nil {
		return nil, Error.Wrap(err)
	}
	return buf.Bytes(), nil
}

// Restore replaces the whole state by a snapshot. On an error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var img image
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&img); err != nil {
		return Error.Wrap(err)
	}
	if img.Format != snapshotFormat || len(img.Catalogues) == 0 {
		return Error.New("snapshot format %d with %d catalogues; this version reads format %d",
			img.Format, len(img.Catalogues), snapshotFormat)
	}
	next := &State{}
	next.reset()
	if err := next.loadTables(&img); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now, s.revision, s.configRevision, s.catalogueMod = img.Now, img.Revision, img.ConfigRevision, img.CatalogueMod
	s.catalogues, s.changes = img.Catalogues, img.Changes
	for i := range s.catalogues {
		s.catalogues[i].At = s.catalogues[i].At.UTC()
		if s.catalogues[i].Catalogue == nil {
			s.catalogues[i].Catalogue = &catalogue.Catalogue{}
		}
	}
	s.orders = &control.Orders{
		ModRevision: img.OrdersMod, ZonesOut: unsorted(img.ZonesOut), ServersOut: unsorted(img.ServersOut),
	}
	s.rollouts = &control.Rollouts{ModRevision: img.RolloutsMod, Progress: unsorted(img.Progress), Services: unsorted(img.ServiceRollout)}
	s.phases, s.servers, s.fence = unsorted(img.Phases), unsorted(img.Servers), img.Fence
	s.results, s.sessions, s.calls, s.bills, s.crashes = next.results, next.sessions, next.calls, next.bills, next.crashes
	s.bills.totals, s.bills.count = unsorted(img.Totals), img.BillCount
	s.quarantine = &control.Quarantine{ModRevision: img.QuarantineMod, Crashes: s.crashCounts()}
	s.publish()
	return nil
}

func (s *State) crashCounts() map[string]int {
	crashes := make(map[string]int, s.crashes.len())
	s.crashes.each(func(_ tableKey, r *crashRecord, _ int64) { crashes[r.Fingerprint] = len(r.Pairs) })
	return crashes
}

func (s *State) loadTables(img *image) error {
	var errors [8]error
	s.results, errors[0] = load(MaxRequestIDs, img.Results)
	s.sessions, errors[1] = unpack(MaxSessions, img.Sessions, sessionCodec)
	s.calls.records, errors[2] = unpack(MaxCalls, img.Calls, callCodec)
	s.calls.cancelled, errors[3] = unpack[struct{}](MaxCancelled, img.Cancelled, nil)
	s.bills.callerKeys, errors[4] = unpack[struct{}](MaxBillingKeys, img.CallerKeys, nil)
	s.bills.requestKeys, errors[5] = unpack[struct{}](MaxBillingKeys, img.RequestKeys, nil)
	s.bills.batches, errors[6] = load(MaxBatches, img.Batches)
	s.crashes, errors[7] = load(MaxCrashRecords, img.Crashes)
	if err := cmp.Or(errors[:]...); err != nil {
		return err
	}
	// A record is touched when its answer is stored, so the order of the table is also the order of the answers.
	s.calls.records.each(func(k tableKey, r *callRecord, _ int64) {
		if r.state == control.CallInProgress {
			s.calls.open[r.holder]++
		}
		if r.answer != nil && len(r.answer.Body) > 0 {
			s.calls.answered = append(s.calls.answered, k)
			s.calls.answerBytes += len(r.answer.Body)
		}
	})
	return nil
}

// Time returns the state's time: the largest time of any command.
func (s *State) Time() time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.time()
}
