package controlstate

import (
	"encoding/binary"
	"unique"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

// packed is the serialized form of a large table, in the order of last touch. Records are not encoded one by one with gob:
// its reflection would block commands for 0.3 s when the tables are full. N is the number of records.
type packed struct {
	N int
	// Keys holds 16 bytes for each record. At holds the difference of each record's time (Unix milliseconds) from the one
	// before as a varint. Values holds the output of the table's codec.
	Keys, At, Values []byte
}

// codec writes and reads the values of a table. A nil codec is used for tables without values.
type codec[V any] struct {
	write func(w *valueWriter, v *V)
	read  func(r *valueReader) V
}

// packTable serializes a table.
func packTable[V any](t *table[V], c *codec[V]) packed {
	p := packed{N: t.len(), Keys: make([]byte, 0, t.len()*len(tableKey{})), At: make([]byte, 0, 2*t.len())}
	w := &valueWriter{internedNumbers: map[string]uint64{}}
	last := int64(0)
	t.each(func(k tableKey, v *V, at int64) {
		p.Keys = append(p.Keys, k[:]...)
		p.At = binary.AppendVarint(p.At, at-last)
		last = at
		if c != nil {
			c.write(w, v)
		}
	})
	p.Values = w.data
	return p
}

// unpackTable restores a table. It returns an error when the parts are inconsistent or hold more than limit records.
func unpackTable[V any](limit int, p packed, c *codec[V]) (*table[V], error) {
	t := newTable[V](limit)
	if p.N < 0 || p.N > limit || len(p.Keys) != p.N*len(tableKey{}) {
		return nil, Error.New("snapshot table has %d records, at most %d allowed, and %d bytes of keys", p.N, limit, len(p.Keys))
	}
	t.slots = make([]slot[V], 0, p.N)
	t.index = make(map[tableKey]int32, p.N)
	times, values := &valueReader{data: p.At}, &valueReader{data: p.Values}
	last := int64(0)
	for i := range p.N {
		k := tableKey(p.Keys[i*len(tableKey{}):])
		var v V
		if c != nil {
			v = c.read(values)
		}
		delta := times.readVarint()
		if times.corrupt || values.corrupt || i > 0 && delta < 0 || t.get(k) != nil {
			return nil, Error.New("record %d of a snapshot table is truncated, repeated or out of order", i)
		}
		last += delta
		t.put(k, v, last)
	}
	return t, nil
}

// valueWriter appends encoded values to data. writeInterned writes a string in full the first time and as a number later.
type valueWriter struct {
	data            []byte
	internedNumbers map[string]uint64
}

func (w *valueWriter) writeBytes(b []byte) {
	w.data = binary.AppendUvarint(w.data, uint64(len(b)))
	w.data = append(w.data, b...)
}

func (w *valueWriter) writeString(s string) {
	w.data = binary.AppendUvarint(w.data, uint64(len(s)))
	w.data = append(w.data, s...)
}

func (w *valueWriter) writeInterned(s string) {
	n, ok := w.internedNumbers[s]
	if !ok {
		n = uint64(len(w.internedNumbers)) + 1
		w.internedNumbers[s] = n
		w.data = append(w.data, 0)
		w.writeString(s)
		return
	}
	w.data = binary.AppendUvarint(w.data, n)
}

// valueReader reads the values that a valueWriter appended. On malformed data it sets corrupt, and all further values are
// zero.
type valueReader struct {
	data     []byte
	interned []string
	corrupt  bool
}

func (r *valueReader) readUvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	return advanceReader(r, v, n)
}

func (r *valueReader) readVarint() int64 {
	v, n := binary.Varint(r.data)
	return advanceReader(r, v, n)
}

func advanceReader[T int64 | uint64](r *valueReader, v T, n int) T {
	if r.corrupt || n <= 0 {
		r.corrupt = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *valueReader) readRaw(n uint64) []byte {
	if r.corrupt || n > uint64(len(r.data)) {
		r.corrupt = true
		return nil
	}
	out := r.data[:n:n]
	r.data = r.data[n:]
	return out
}

func (r *valueReader) readBytes() []byte {
	return append([]byte(nil), r.readRaw(r.readUvarint())...)
}

func (r *valueReader) readString() string { return string(r.readRaw(r.readUvarint())) }

func (r *valueReader) readInterned() string {
	n := r.readUvarint()
	switch {
	case r.corrupt:
		return ""
	case n == 0:
		s := r.readString()
		r.interned = append(r.interned, s)
		return s
	case n > uint64(len(r.interned)):
		r.corrupt = true
		return ""
	}
	return r.interned[n-1]
}

var sessionCodec = &codec[unique.Handle[catalogue.VersionRef]]{
	write: func(w *valueWriter, v *unique.Handle[catalogue.VersionRef]) {
		w.writeInterned(v.Value().Model)
		w.writeInterned(v.Value().Version)
	},
	read: func(r *valueReader) unique.Handle[catalogue.VersionRef] {
		return unique.Make(catalogue.VersionRef{Model: r.readInterned(), Version: r.readInterned()})
	},
}

var callCodec = &codec[callRecord]{
	write: func(w *valueWriter, c *callRecord) {
		w.data = append(w.data, c.bodyHash[:]...)
		w.writeString(c.requestID)
		w.writeInterned(c.holder.Value().Instance)
		w.writeInterned(c.holder.Value().Boot)
		w.writeInterned(string(c.state))
		if c.state != control.CallDone {
			return
		}
		w.data = binary.AppendVarint(w.data, int64(c.answer.Status))
		w.writeInterned(c.answer.ContentType)
		w.writeBytes(c.answer.Body)
		truncated := byte(0)
		if c.answer.Truncated {
			truncated = 1
		}
		w.data = append(w.data, truncated)
	},
	read: func(r *valueReader) callRecord {
		var c callRecord
		copy(c.bodyHash[:], r.readRaw(uint64(len(c.bodyHash))))
		c.requestID = r.readString()
		c.holder = unique.Make(Holder{Instance: r.readInterned(), Boot: r.readInterned()})
		c.state = control.CallState(r.readInterned())
		if c.state != control.CallDone {
			return c
		}
		c.answer = &control.CallAnswer{Status: int(r.readVarint()), ContentType: r.readInterned(), Body: r.readBytes()}
		c.answer.Truncated = string(r.readRaw(1)) == "\x01"
		return c
	},
}
