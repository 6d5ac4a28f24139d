package replica

import (
	"encoding/binary"

	"github.com/zeebo/errs"

	"clementinetray/server/raft"
	"clementinetray/server/wal"
)

// errInvalidRecord means that a record passed its checksum but can't be decoded.
var errInvalidRecord = errs.Class("record")

type recordKind uint8

const (
	// checkpointRecord holds the complete durable state except for the snapshot.
	checkpointRecord recordKind = 1
	// appendRecord holds the hard state and new entries, which replace all entries from the first one's index on.
	appendRecord recordKind = 2
)

// identity identifies a data folder.
type identity struct {
	// id is the id of the replica.
	id string
	// generation is a random text that is generated when the folder is first used.
	generation string
}

func (i identity) nodeID() raft.NodeID { return raft.NodeID(i.id + "/" + i.generation) }

// record is the decoded content of one record of the write-ahead log.
type record struct {
	kind      recordKind
	hardState raft.HardState
	entries   []raft.Entry
	// The fields below are present in checkpoint records only.
	identity       identity
	base, baseTerm uint64
}

func encodeRecord(buf []byte, r record) []byte {
	buf = append(buf, byte(r.kind))
	buf = binary.AppendUvarint(buf, r.hardState.Term)
	buf = appendString(buf, string(r.hardState.Vote))
	if r.kind == checkpointRecord {
		buf = appendString(buf, r.identity.id)
		buf = appendString(buf, r.identity.generation)
		buf = binary.AppendUvarint(buf, r.base)
		buf = binary.AppendUvarint(buf, r.baseTerm)
	}
	buf = binary.AppendUvarint(buf, uint64(len(r.entries)))
	for _, e := range r.entries {
		buf = binary.AppendUvarint(buf, e.Index)
		buf = binary.AppendUvarint(buf, e.Term)
		buf = append(buf, byte(e.Kind))
		buf = binary.AppendUvarint(buf, uint64(len(e.Data)))
		buf = append(buf, e.Data...)
	}
	return buf
}

func appendString(buf []byte, s string) []byte {
	return append(binary.AppendUvarint(buf, uint64(len(s))), s...)
}

// decoder reads the fields of a record. Its methods return zero values once the data is invalid.
type decoder struct {
	data []byte
	// invalid is set when a field is truncated or malformed.
	invalid bool
}

func (d *decoder) uvarint() uint64 {
	value, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.invalid, d.data = true, nil
		return 0
	}
	d.data = d.data[n:]
	return value
}

func (d *decoder) byte() byte {
	if len(d.data) == 0 {
		d.invalid = true
		return 0
	}
	b := d.data[0]
	d.data = d.data[1:]
	return b
}

func (d *decoder) bytes() []byte {
	size := d.uvarint()
	if size > uint64(len(d.data)) {
		d.invalid, d.data = true, nil
		return nil
	}
	out := d.data[:size:size]
	d.data = d.data[size:]
	return out
}

func decodeRecord(data []byte) (record, error) {
	d := &decoder{data: data}
	r := record{kind: recordKind(d.byte())}
	if r.kind != checkpointRecord && r.kind != appendRecord {
		return record{}, errInvalidRecord.New("unknown kind %d", r.kind)
	}
	r.hardState = raft.HardState{Term: d.uvarint(), Vote: raft.NodeID(d.bytes())}
	if r.kind == checkpointRecord {
		r.identity = identity{string(d.bytes()), string(d.bytes())}
		r.base, r.baseTerm = d.uvarint(), d.uvarint()
	}
	count := d.uvarint()
	for i := uint64(0); i < count && !d.invalid; i++ {
		e := raft.Entry{Index: d.uvarint(), Term: d.uvarint(), Kind: raft.EntryKind(d.byte())}
		if e.Data = d.bytes(); len(e.Data) == 0 {
			e.Data = nil
		}
		r.entries = append(r.entries, e)
	}
	if d.invalid || len(d.data) > 0 {
		return record{}, errInvalidRecord.New("the record is truncated or has %d surplus bytes", len(d.data))
	}
	return r, nil
}

// replayRecords rebuilds the durable state from the last checkpoint record and the append records after it.
func replayRecords(records [][]byte) (identity, raft.State, error) {
	var folder identity
	var state raft.State
	for i, data := range records {
		r, err := decodeRecord(data)
		if err == nil && (r.kind == checkpointRecord) != (i == 0) {
			err = errInvalidRecord.New("kind %d at position %d", r.kind, i)
		}
		if err == nil && i == 0 {
			folder, state.BaseIndex, state.BaseTerm = r.identity, r.base, r.baseTerm
		}
		if err == nil {
			state.HardState = r.hardState
			err = appendEntries(&state, r.entries)
		}
		if err != nil {
			return identity{}, raft.State{}, wal.ErrCorrupt.New("record %d: %w; %s", i, err, wal.CorruptionAdvice)
		}
	}
	return folder, state, nil
}

// appendEntries appends entries to the state and removes all earlier entries from the first one's index on.
func appendEntries(state *raft.State, entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= state.BaseIndex || first > state.BaseIndex+uint64(len(state.Entries))+1 {
		return errInvalidRecord.New("entry %d does not follow entry %d", first, state.BaseIndex+uint64(len(state.Entries)))
	}
	state.Entries = append(state.Entries[:first-state.BaseIndex-1], entries...)
	for i := int(first - state.BaseIndex - 1); i < len(state.Entries); i++ {
		if state.Entries[i].Index != state.BaseIndex+uint64(i)+1 {
			return errInvalidRecord.New("entry %d is in the position of entry %d", state.Entries[i].Index,
				state.BaseIndex+uint64(i)+1)
		}
	}
	return nil
}
