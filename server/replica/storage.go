package replica

import (
	"crypto/rand"
	"io"

	"github.com/zeebo/errs"

	"clementinetray/server/raft"
	"clementinetray/server/snapshot"
	"clementinetray/server/wal"
)

// generationLength is the length of a generation in characters. A character has 5 random bits, so this is the shortest
// length with 64 random bits. Short generations keep the messages small, which contain node ids.
const generationLength = 13

// storage is the data folder of a replica.
type storage struct {
	lock      io.Closer
	log       *wal.Log
	snapshots *snapshot.Store
	identity  identity
	// buf is the encoding buffer that append reuses.
	buf []byte
	// checkpointSize is the size of the log right after the last checkpoint, in bytes.
	checkpointSize int64
}

// recovery is the content that openStorage recovered from the data folder.
type recovery struct {
	state    raft.State
	snapshot *snapshot.Snapshot
	// truncated is the number of bytes of an incomplete record that were removed from the end of segment.
	truncated int64
	segment   string
	// created is true when the folder was empty and a new generation was written to it.
	created bool
}

// openStorage locks the data folder and recovers its content. It returns wal.ErrLocked, wal.ErrNotWritable,
// wal.ErrCorrupt or ErrIdentity when the replica can't use the folder.
func openStorage(fs wal.FS, folder, id string) (*storage, recovery, error) {
	lock, err := wal.LockFolder(fs, folder)
	if err != nil {
		return nil, recovery{}, err
	}
	s := &storage{lock: lock}
	recovered, err := s.load(fs, folder, id)
	if err != nil {
		return nil, recovery{}, errs.Combine(err, s.close())
	}
	return s, recovered, nil
}

func (s *storage) load(fs wal.FS, folder, id string) (recovery, error) {
	store, snap, err := snapshot.Open(fs, folder)
	if err != nil {
		return recovery{}, err
	}
	s.snapshots = store
	log, recovered, err := wal.Open(fs, folder)
	if err != nil {
		return recovery{}, err
	}
	s.log = log
	result := recovery{snapshot: snap, truncated: recovered.Truncated, segment: recovered.Segment}
	if len(recovered.Records) == 0 {
		if snap != nil {
			return recovery{}, wal.ErrCorrupt.New("%s holds a snapshot but no log; %s", folder, wal.CorruptionAdvice)
		}
		s.identity = identity{id: id, generation: rand.Text()[:generationLength]}
		result.created = true
		return result, s.checkpoint(raft.State{})
	}
	if s.identity, result.state, err = replayRecords(recovered.Records); err != nil {
		return recovery{}, err
	}
	if s.identity.id != id {
		return recovery{}, ErrIdentity.New("%s belongs to replica %q, not to %q", folder, s.identity.id, id)
	}
	if err := mergeSnapshot(&result.state, snap); err != nil {
		return recovery{}, err
	}
	// The state is written and synced again: after a crash or a failed sync, the page cache may contain data that is not
	// on the disk.
	return result, s.checkpoint(result.state)
}

// mergeSnapshot combines the state from the log with the newest snapshot. The log may end before the snapshot when the
// process crashed after a received snapshot was saved and before the checkpoint that follows it.
func mergeSnapshot(state *raft.State, snap *snapshot.Snapshot) error {
	if snap == nil {
		if state.BaseIndex > 0 {
			return wal.ErrCorrupt.New("the log starts after entry %d but there is no snapshot; %s", state.BaseIndex,
				wal.CorruptionAdvice)
		}
		return nil
	}
	if state.BaseIndex > snap.Index {
		return wal.ErrCorrupt.New("the log starts after entry %d but the snapshot ends at %d; %s", state.BaseIndex, snap.Index,
			wal.CorruptionAdvice)
	}
	members, err := raft.DecodeMembership(snap.Meta)
	if err != nil {
		return wal.ErrCorrupt.New("snapshot: %w; %s", err, wal.CorruptionAdvice)
	}
	state.Snapshot = raft.SnapshotMeta{Index: snap.Index, Term: snap.Term, Members: members}
	if term, ok := entryTerm(*state, snap.Index); !ok || term != snap.Term {
		state.BaseIndex, state.BaseTerm, state.Entries = snap.Index, snap.Term, nil
	}
	return nil
}

// entryTerm returns the term of the entry at index; false when the state does not have that entry.
func entryTerm(state raft.State, index uint64) (uint64, bool) {
	if index == state.BaseIndex {
		return state.BaseTerm, true
	}
	if index < state.BaseIndex || index > state.BaseIndex+uint64(len(state.Entries)) {
		return 0, false
	}
	return state.Entries[index-state.BaseIndex-1].Term, true
}

// append makes the hard state and entries durable.
func (s *storage) append(hardState raft.HardState, entries []raft.Entry) error {
	s.buf = encodeRecord(s.buf[:0], record{kind: appendRecord, hardState: hardState, entries: entries})
	return s.log.Append(s.buf)
}

// checkpoint replaces the content of the log by the state.
func (s *storage) checkpoint(state raft.State) error {
	err := s.log.Checkpoint(encodeRecord(nil, record{
		kind: checkpointRecord, hardState: state.HardState, entries: state.Entries,
		identity: s.identity, base: state.BaseIndex, baseTerm: state.BaseTerm,
	}))
	s.checkpointSize = s.log.Size()
	return err
}

// bytesSinceCheckpoint returns the number of bytes appended since the last checkpoint.
func (s *storage) bytesSinceCheckpoint() int64 { return s.log.Size() - s.checkpointSize }

func (s *storage) saveSnapshot(meta raft.SnapshotMeta, data []byte) error {
	members, err := meta.Members.Encode()
	if err != nil {
		return err
	}
	return s.snapshots.Save(snapshot.Snapshot{Index: meta.Index, Term: meta.Term, Meta: members, Data: data})
}

// close closes the log and unlocks the data folder.
func (s *storage) close() error {
	var err error
	if s.log != nil {
		err = s.log.Close()
	}
	return errs.Combine(err, s.lock.Close())
}
