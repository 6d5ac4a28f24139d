package wal

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// headerBytes is the size of a record header. Its fields, with their size in bytes, are: payload length (4), sequence
	// number (8), CRC-32C of the payload (4), CRC-32C of the preceding fields (4).
	headerBytes = 20
	// MaxPayloadBytes is the largest size of a record's payload.
	MaxPayloadBytes = 1 << 30
	// sectorBytes is the unit in which a disk writes: an interrupted write leaves whole sectors unwritten.
	sectorBytes = 512
	// tornTailZeroBytes is the number of zero bytes at the end of a file that indicate an interrupted write.
	tornTailZeroBytes = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of data.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// appendRecord appends the encoded record to buf.
func appendRecord(buf []byte, sequence uint64, payload []byte) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint64(buf, sequence)
	buf = binary.LittleEndian.AppendUint32(buf, Checksum(payload))
	buf = binary.LittleEndian.AppendUint32(buf, Checksum(buf[start:]))
	return append(buf, payload...)
}

type decodeResult uint8

const (
	decoded decodeResult = iota
	// torn means that a crash interrupted the write of the record.
	torn
	// corrupt means that the record was written completely and changed afterwards.
	corrupt
)

// decodeRecord decodes the record at offset, which must have the sequence number. size is that of header and payload in
// bytes.
func decodeRecord(data []byte, offset int, sequence uint64) (payload []byte, size int, result decodeResult) {
	rest := data[offset:]
	if len(rest) < headerBytes {
		return nil, 0, torn
	}
	header := rest[:headerBytes]
	if Checksum(header[:headerBytes-4]) != binary.LittleEndian.Uint32(header[headerBytes-4:]) {
		return nil, 0, classifyDamage(data, offset, offset+headerBytes)
	}
	length := int(binary.LittleEndian.Uint32(header))
	if length > MaxPayloadBytes || binary.LittleEndian.Uint64(header[4:]) != sequence {
		return nil, 0, corrupt
	}
	if len(rest) < headerBytes+length {
		return nil, 0, torn
	}
	payload = rest[headerBytes : headerBytes+length]
	if Checksum(payload) != binary.LittleEndian.Uint32(header[12:]) {
		return nil, 0, classifyDamage(data, offset, offset+headerBytes+length)
	}
	return payload, headerBytes + length, decoded
}

// classifyDamage returns torn or corrupt for a record whose bytes data[from:to] don't match their checksum. A write
// that a crash interrupted leaves zeros at the end of the file or in a whole sector; flipped bits do not.
func classifyDamage(data []byte, from, to int) decodeResult {
	if allZero(data[max(from, len(data)-tornTailZeroBytes):]) {
		return torn
	}
	for start := from; start < to; {
		end := min(start-start%sectorBytes+sectorBytes, to)
		if allZero(data[start:end]) {
			return torn
		}
		start = end
	}
	return corrupt
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}

// followedByRecord reports whether a valid header with a higher sequence number exists anywhere after offset. A record
// is written only after the previous one was synced, so such a header proves that the record at offset was synced.
func followedByRecord(data []byte, offset int, sequence uint64) bool {
	for start := offset + 1; start+headerBytes <= len(data); start++ {
		header := data[start : start+headerBytes]
		foundSequence := binary.LittleEndian.Uint64(header[4:])
		if foundSequence <= sequence || foundSequence > sequence+uint64(len(data)) {
			continue
		}
		if Checksum(header[:headerBytes-4]) == binary.LittleEndian.Uint32(header[headerBytes-4:]) {
			return true
		}
	}
	return false
}
