package fleet

import (
	"bytes"
	"encoding/gob"

	"github.com/klauspost/compress/s2"

	"clementinetray/api/control"
)

const (
	// packAbove is the number of changed rows from which on a delta is packed: fewer are smaller than the description of
	// their type, which a packed delta carries with it.
	packAbove = 32
	// maxPacked bounds what a packed delta may unpack to, in bytes: some times a full table.
	maxPacked = 64 << 20
)

// Pack moves the changed rows of a large delta into Packed, compressed: all rows repeat the same few services, availability
// zones and versions, and each instance that starts takes the whole table.
func Pack(d control.FleetDelta) (control.FleetDelta, error) {
	if len(d.Changed) < packAbove {
		return d, nil
	}
	var rows bytes.Buffer
	if err := gob.NewEncoder(&rows).Encode(d.Changed); err != nil {
		return d, Error.Wrap(err)
	}
	d.Packed, d.Changed = s2.EncodeBetter(nil, rows.Bytes()), nil
	return d, nil
}

// Unpack restores the changed rows of a delta that Pack returned. Other deltas stay as they are.
func Unpack(d control.FleetDelta) (control.FleetDelta, error) {
	if len(d.Packed) == 0 {
		return d, nil
	}
	size, err := s2.DecodedLen(d.Packed)
	if err != nil || size > maxPacked {
		return d, ErrPacked.New("packed=%d size=%d error=%v", len(d.Packed), size, err)
	}
	rows, err := s2.Decode(nil, d.Packed)
	if err != nil {
		return d, ErrPacked.Wrap(err)
	}
	if err := gob.NewDecoder(bytes.NewReader(rows)).Decode(&d.Changed); err != nil {
		return d, ErrPacked.Wrap(err)
	}
	d.Packed = nil
	return d, nil
}
