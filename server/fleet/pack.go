package fleet

import (
	"bytes"
	"encoding/gob"

	"github.com/klauspost/compress/s2"

	"clementinetray/api/control"
)

const (
	// minPackedRows is the smallest number of changed rows that is packed. Fewer rows are smaller than the gob type
	// description that a packed delta contains.
	minPackedRows = 32
	// maxUnpackedBytes is the maximum size of unpacked rows, several times that of a full table.
	maxUnpackedBytes = 64 << 20
)

// PackRows compresses the changed rows of a large delta into Packed. Rows compress well because they repeat the same few
// services, availability zones and versions, and each instance that starts receives the whole table.
func PackRows(d control.FleetDelta) (control.FleetDelta, error) {
	if len(d.Changed) < minPackedRows {
		return d, nil
	}
	var rows bytes.Buffer
	if err := gob.NewEncoder(&rows).Encode(d.Changed); err != nil {
		return d, Error.Wrap(err)
	}
	d.Packed, d.Changed = s2.EncodeBetter(nil, rows.Bytes()), nil
	return d, nil
}

// UnpackRows restores the changed rows of a delta that PackRows returned. It returns a delta without packed rows unchanged.
// Its errors are of class ErrUnpack.
func UnpackRows(d control.FleetDelta) (control.FleetDelta, error) {
	if len(d.Packed) == 0 {
		return d, nil
	}
	size, err := s2.DecodedLen(d.Packed)
	if err != nil || size > maxUnpackedBytes {
		return d, ErrUnpack.New("packed=%d size=%d error=%v", len(d.Packed), size, err)
	}
	rows, err := s2.Decode(nil, d.Packed)
	if err != nil {
		return d, ErrUnpack.Wrap(err)
	}
	if err := gob.NewDecoder(bytes.NewReader(rows)).Decode(&d.Changed); err != nil {
		return d, ErrUnpack.Wrap(err)
	}
	d.Packed = nil
	return d, nil
}
