package replica

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"sort"
	"strings"
	"syscall"
	"testing"

	"clementinetray/server/raft"
	"clementinetray/server/wal"
)

var errInjected = errors.New("injected fault")

// memFile holds the current data and the data as it was last synced.
type memFile struct{ data, synced []byte }

// memFS is a file system in memory with injected faults and simulated power cuts.
type memFS struct {
	files map[string]*memFile
	// durable is the folder as it was last synced.
	durable map[string]*memFile
	random  *rand.Rand
	// operations counts writes, syncs, truncations, creations, renames and removals; failAt is the number of the first
	// one that fails.
	operations, failAt int
	// transient limits the failure to the operation failAt.
	transient bool
	// full makes writes fail as on a full disk, after a random part of the data was written.
	full bool
}

func newMemFS(random *rand.Rand) *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, random: random}
}

// countOperation counts an operation and returns errInjected when it fails.
func (m *memFS) countOperation() error {
	m.operations++
	if m.failAt > 0 && (m.operations == m.failAt || m.operations > m.failAt && !m.transient) {
		return errInjected
	}
	return nil
}

// powerCut returns the content of the disk after a power cut: a random part of the unsynced bytes and folder changes is
// kept, and some unsynced bytes may be zero.
func (m *memFS) powerCut() *memFS {
	next := newMemFS(m.random)
	for _, name := range sortedNames(m.files, m.durable) {
		file := m.durable[name]
		if m.random.IntN(2) == 0 {
			file = m.files[name]
		}
		if file == nil {
			continue
		}
		data := append([]byte{}, file.synced...)
		if extra := len(file.data) - len(data); extra > 0 {
			data = append(data, file.data[len(data):len(data)+m.random.IntN(extra+1)]...)
			if m.random.IntN(2) == 0 {
				lost := len(file.synced) + m.random.IntN(extra+1)
				data = append(data[:min(lost, len(data))], make([]byte, len(file.data)-min(lost, len(data)))...)
			}
		}
		copied := &memFile{data: data, synced: append([]byte{}, data...)}
		next.files[name], next.durable[name] = copied, copied
	}
	return next
}

func sortedNames(maps ...map[string]*memFile) []string {
	seen := map[string]bool{}
	for _, files := range maps {
		for name := range files {
			seen[name] = true
		}
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (m *memFS) MkdirAll(string) error          { return nil }
func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }
func (m *memFS) ReadFile(name string) ([]byte, error) {
	return append([]byte{}, m.files[name].data...), nil
}

func (m *memFS) List(string) ([]string, error) {
	names := sortedNames(m.files)
	for i := range names {
		names[i] = filepath.Base(names[i])
	}
	return names, nil
}

func (m *memFS) Create(name string) (wal.File, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	m.files[name] = &memFile{}
	return &memHandle{m, m.files[name]}, nil
}

func (m *memFS) Open(name string) (wal.File, error) { return &memHandle{m, m.files[name]}, nil }

func (m *memFS) Rename(from, to string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memFS) SyncFolder(string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.durable = map[string]*memFile{}
	for name, file := range m.files {
		m.durable[name] = file
	}
	return nil
}

type memHandle struct {
	fs   *memFS
	file *memFile
}

func (h *memHandle) Write(p []byte) (int, error) {
	err := h.fs.countOperation()
	if h.fs.full {
		err = syscall.ENOSPC
	}
	if err != nil {
		n := h.fs.random.IntN(len(p) + 1)
		h.file.data = append(h.file.data, p[:n]...)
		return n, err
	}
	h.file.data = append(h.file.data, p...)
	return len(p), nil
}

func (h *memHandle) Sync() error {
	if err := h.fs.countOperation(); err != nil {
		return err
	}
	h.file.synced = append([]byte{}, h.file.data...)
	return nil
}

func (h *memHandle) Truncate(size int64) error {
	if err := h.fs.countOperation(); err != nil {
		return err
	}
	h.file.data = h.file.data[:size]
	return nil
}

func (h *memHandle) Close() error { return nil }

// durableState is the expected durable state: term and vote, all entries from index 1 on, and the index of the snapshot.
type durableState struct {
	hardState raft.HardState
	entries   []raft.Entry
	snapshot  uint64
}

// withEntries returns the state after entries were appended.
func (s durableState) withEntries(hardState raft.HardState, entries []raft.Entry) durableState {
	s.hardState = hardState
	if len(entries) > 0 {
		s.entries = append(append([]raft.Entry{}, s.entries[:entries[0].Index-1]...), entries...)
	}
	return s
}

// runWorkload appends, overwrites, snapshots and compacts until an operation fails. It returns whether the folder was
// opened, the acknowledged state, and the state that the failed operation may have reached.
func runWorkload(fs wal.FS, random *rand.Rand) (opened bool, acknowledged, attempted durableState) {
	s, _, err := openStorage(fs, "data", "c1")
	if err != nil {
		return false, acknowledged, acknowledged
	}
	for step := range 12 {
		acknowledged.hardState.Term++
		attempted = acknowledged
		next := uint64(len(acknowledged.entries)) + 1
		if next > acknowledged.snapshot+2 && random.IntN(4) == 0 {
			next--
		}
		var batch []raft.Entry
		for range 1 + random.IntN(3) {
			batch = append(batch, raft.Entry{Index: next, Term: acknowledged.hardState.Term, Data: []byte(strings.Repeat(
				fmt.Sprint(step, "-"), 1+random.IntN(300)))})
			next++
		}
		hardState := raft.HardState{Term: acknowledged.hardState.Term, Vote: "c2/1"}
		attempted = acknowledged.withEntries(hardState, batch)
		acknowledged.hardState.Term--
		if err := s.append(hardState, batch); err != nil {
			return true, acknowledged, attempted
		}
		acknowledged = attempted
		if step == 6 {
			for range 5 {
				e := raft.Entry{Index: uint64(len(attempted.entries)) + 1, Term: acknowledged.hardState.Term}
				attempted.entries = append(attempted.entries[:len(attempted.entries):len(attempted.entries)], e)
			}
			attempted.snapshot = uint64(len(attempted.entries))
			if err := installSnapshot(s, attempted); err != nil {
				return true, acknowledged, attempted
			}
			acknowledged = attempted
		}
		if step%4 != 3 {
			continue
		}
		attempted.snapshot = uint64(len(acknowledged.entries)) - 1
		if err := compactStorage(s, acknowledged, attempted.snapshot); err != nil {
			return true, acknowledged, attempted
		}
		acknowledged = attempted
	}
	return true, acknowledged, acknowledged
}

// installSnapshot performs the writes of a replica that replaces its log by a received snapshot.
func installSnapshot(s *storage, next durableState) error {
	meta := raft.SnapshotMeta{Index: next.snapshot, Term: next.hardState.Term}
	if err := s.saveSnapshot(meta, []byte(fmt.Sprint("state at ", meta.Index))); err != nil {
		return err
	}
	return s.checkpoint(raft.State{HardState: next.hardState, BaseIndex: meta.Index, BaseTerm: meta.Term})
}

// compactStorage performs the writes of a replica that saves a snapshot at index and compacts its log.
func compactStorage(s *storage, now durableState, index uint64) error {
	members := raft.Membership{{Node: "c1/1", ID: "c1", Voter: true}}
	meta := raft.SnapshotMeta{Index: index, Term: now.entries[index-1].Term, Members: members}
	if err := s.saveSnapshot(meta, []byte(fmt.Sprint("state at ", index))); err != nil {
		return err
	}
	base := index - 1
	return s.checkpoint(raft.State{HardState: now.hardState, BaseIndex: base, BaseTerm: now.entries[base-1].Term,
		Entries: now.entries[base:]})
}

// matches reports whether the recovered state equals s, from the recovered snapshot on.
func (s durableState) matches(recovered recovery) bool {
	state := recovered.state
	if state.HardState != s.hardState || state.BaseIndex+uint64(len(state.Entries)) != uint64(len(s.entries)) {
		return false
	}
	if recovered.snapshot == nil {
		return s.snapshot == 0 && (len(state.Entries) == 0 && len(s.entries) == 0 ||
			reflect.DeepEqual(state.Entries, s.entries))
	}
	return string(recovered.snapshot.Data) == fmt.Sprint("state at ", recovered.snapshot.Index) &&
		(len(state.Entries) == 0 || reflect.DeepEqual(state.Entries, s.entries[state.BaseIndex:]))
}

// TestPowerCutAtEachOperation guards against loss of acknowledged data, or a folder that can't be opened, after a
// power cut at any write, sync, truncation, rename or removal, followed by another power cut during the recovery.
func TestPowerCutAtEachOperation(t *testing.T) {
	total := newMemFS(rand.New(rand.NewPCG(1, 1)))
	runWorkload(total, rand.New(rand.NewPCG(1, 2)))
	points := 0
	for failAt := 1; failAt <= total.operations; failAt++ {
		for seed := range uint64(12) {
			fs := newMemFS(rand.New(rand.NewPCG(seed, uint64(failAt))))
			fs.failAt = failAt
			opened, acknowledged, attempted := runWorkload(fs, rand.New(rand.NewPCG(1, 2)))
			restarted := fs.powerCut()
			restarted.failAt = 1 + restarted.random.IntN(12)
			_, _, _ = openStorage(restarted, "data", "c1")
			_, recovered, err := openStorage(restarted.powerCut(), "data", "c1")
			if err != nil {
				t.Fatalf("operation %d, seed %d: %v", failAt, seed, err)
			}
			if !acknowledged.matches(recovered) && !attempted.matches(recovered) {
				t.Fatalf("operation %d, seed %d: recovered %+v\nacknowledged %+v", failAt, seed, recovered.state, acknowledged)
			}
			if _, err := raft.New(raft.Config{Node: "c1/1", Rand: rand.IntN}, recovered.state); err != nil {
				t.Fatalf("operation %d, seed %d: %v", failAt, seed, err)
			}
			if opened && recovered.created {
				t.Fatalf("operation %d, seed %d: the folder was treated as empty", failAt, seed)
			}
			points++
		}
	}
	t.Logf("%d operations, %d power cuts", total.operations, points)
}

// TestUnsyncedRecovery guards against a replica that, restarted after a failed sync, reads data from the page cache that is
// not on the disk, acts on it and loses it in a power cut.
func TestUnsyncedRecovery(t *testing.T) {
	for failAt := 1; failAt <= 80; failAt++ {
		fs := newMemFS(rand.New(rand.NewPCG(3, uint64(failAt))))
		fs.failAt = failAt
		runWorkload(fs, rand.New(rand.NewPCG(1, 2)))
		fs.failAt = 0
		_, seen, err := openStorage(fs, "data", "c1")
		if err != nil {
			t.Fatalf("operation %d: %v", failAt, err)
		}
		_, kept, err := openStorage(fs.powerCut(), "data", "c1")
		if err != nil || !reflect.DeepEqual(seen.state, kept.state) {
			t.Fatalf("operation %d: the replica saw %+v, then %+v, %v", failAt, seen.state, kept.state, err)
		}
	}
}

// TestFailedOperation guards against operations on the log after a failed write or sync.
func TestFailedOperation(t *testing.T) {
	fs := newMemFS(rand.New(rand.NewPCG(1, 1)))
	s, _, err := openStorage(fs, "data", "c1")
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		fs.failAt, fs.transient = fs.operations+2, true
		err := s.append(raft.HardState{Term: 1}, nil)
		if !wal.ErrFailed.Has(err) || !errors.Is(err, errInjected) {
			t.Fatalf("append with a failing sync: %v", err)
		}
		before := fs.operations
		for range 3 {
			if err := s.append(raft.HardState{Term: 2}, nil); !wal.ErrFailed.Has(err) {
				t.Fatalf("append after a failed sync: %v", err)
			}
			if err := s.checkpoint(raft.State{}); !wal.ErrFailed.Has(err) {
				t.Fatalf("checkpoint after a failed sync: %v", err)
			}
		}
		if fs.operations != before {
			t.Fatalf("%d operations after the failed sync", fs.operations-before)
		}
		if s, _, err = openStorage(fs, "data", "c1"); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range sortedNames(fs.files) {
		if strings.HasSuffix(name, ".wal") {
			delete(fs.files, name)
		}
	}
	if err := s.saveSnapshot(raft.SnapshotMeta{Index: 1, Term: 1}, nil); err != nil {
		t.Fatal(err)
	}
	if _, _, err := openStorage(fs, "data", "c1"); !wal.ErrCorrupt.Has(err) {
		t.Fatalf("open with a snapshot but no log: %v", err)
	}
}

// FuzzDecodeRecord guards against records that make recovery panic or allocate without bound.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(encodeRecord(nil, record{kind: checkpointRecord, identity: identity{"c1", "g"}, base: 4, baseTerm: 2,
		entries: []raft.Entry{{Index: 5, Term: 2, Data: []byte("x")}}}))
	f.Add(encodeRecord(nil, record{kind: appendRecord, hardState: raft.HardState{Term: 3, Vote: "c2/1"}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeRecord(data)
		if err != nil {
			return
		}
		again, err := decodeRecord(encodeRecord(nil, r))
		if err != nil || !reflect.DeepEqual(r, again) {
			t.Fatalf("%+v becomes %+v, %v", r, again, err)
		}
	})
}

// FuzzReplay guards against sequences of records from which recovery builds a log with gaps.
func FuzzReplay(f *testing.F) {
	first := encodeRecord(nil, record{kind: checkpointRecord, identity: identity{"c1", "g"}})
	second := encodeRecord(nil, record{kind: appendRecord, entries: []raft.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}})
	f.Add(first, second, second)
	f.Fuzz(func(t *testing.T, a, b, c []byte) {
		_, state, err := replayRecords([][]byte{a, b, c})
		if err != nil {
			if !wal.ErrCorrupt.Has(err) {
				t.Fatalf("error %v", err)
			}
			return
		}
		for i, e := range state.Entries {
			if e.Index != state.BaseIndex+uint64(i)+1 {
				t.Fatalf("entry %d at position %d after %d", e.Index, i, state.BaseIndex)
			}
		}
	})
}

// TestAppendAfterFullDisk guards against a data folder that is unusable after the disk was full, and against records that
// are mixed with the partial data of a failed write after a later power cut.
func TestAppendAfterFullDisk(t *testing.T) {
	for seed := range uint64(200) {
		fs := newMemFS(rand.New(rand.NewPCG(4, seed)))
		s, _, err := openStorage(fs, "data", "c1")
		if err != nil {
			t.Fatal(err)
		}
		var expected durableState
		for step := range 8 {
			entry := raft.Entry{Index: uint64(step) + 1, Term: 1, Data: []byte(strings.Repeat(fmt.Sprint(step, "-"), 1+fs.random.IntN(300)))}
			hard := raft.HardState{Term: 1, Vote: "c2/1"}
			for fs.full = fs.random.IntN(2) == 0; fs.full; fs.full = fs.random.IntN(2) == 0 {
				refused := entry
				refused.Data = []byte(strings.Repeat("refused", 1+fs.random.IntN(300)))
				if err := s.append(hard, []raft.Entry{refused}); !wal.ErrFull.Has(err) {
					t.Fatalf("seed %d: append on a full disk: %v", seed, err)
				}
				if step == 0 {
					continue
				}
				if err := compactStorage(s, expected, uint64(step)); !wal.ErrFull.Has(err) {
					t.Fatalf("seed %d: compaction on a full disk: %v", seed, err)
				}
			}
			if err := s.append(hard, []raft.Entry{entry}); err != nil {
				t.Fatalf("seed %d: append after the disk was full: %v", seed, err)
			}
			expected = expected.withEntries(hard, []raft.Entry{entry})
		}
		_, kept, err := openStorage(fs.powerCut(), "data", "c1")
		if err != nil || !reflect.DeepEqual(kept.state.Entries, expected.entries) {
			t.Fatalf("seed %d: %v, %d entries of %d are left", seed, err, len(kept.state.Entries), len(expected.entries))
		}
	}
}
