package wal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// encodeSegment returns the bytes of a segment with the given payloads, and the offsets at which its records end.
func encodeSegment(payloads ...[]byte) (data []byte, ends []int) {
	for i, p := range payloads {
		data = appendRecord(data, uint64(i+1), p)
		ends = append(ends, len(data))
	}
	return data, ends
}

func payloadOfSize(size int) []byte { return bytes.Repeat([]byte("abcdefg"), size/7+1)[:size] }

func openSegment(t *testing.T, data []byte) (*Log, Recovered, error) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, segmentName(1)), data, fileMode); err != nil {
		t.Fatal(err)
	}
	return Open(OS{}, folder)
}

// TestTornTail guards against a start that fails after a crash during a write, at any byte of the record, and against bytes
// of the incomplete record that stay in the file.
func TestTornTail(t *testing.T) {
	data, ends := encodeSegment(payloadOfSize(100), payloadOfSize(700), payloadOfSize(900))
	for cut := ends[1]; cut < ends[2]; cut += 13 {
		zeroed := append([]byte{}, data...)
		clear(zeroed[cut:])
		for name, image := range map[string][]byte{"short": data[:cut], "zeros": zeroed} {
			if name == "zeros" && len(data)-cut < tornTailZeroBytes {
				continue
			}
			log, got, err := openSegment(t, image)
			if err != nil || len(got.Records) != 2 || got.Truncated != int64(len(image)-ends[1]) {
				t.Fatalf("%s at %d: %d records, %d bytes truncated, %v", name, cut, len(got.Records), got.Truncated, err)
			}
			if err := log.Append(payloadOfSize(50)); err != nil {
				t.Fatal(err)
			}
			_, got, err = Open(OS{}, log.folder)
			if err != nil || len(got.Records) != 3 || !bytes.Equal(got.Records[2], payloadOfSize(50)) {
				t.Fatalf("%s at %d: %d records after an append, %v", name, cut, len(got.Records), err)
			}
		}
	}
}

// TestFlippedBits guards against flipped bits in synced records that are treated as a torn tail or as valid data.
func TestFlippedBits(t *testing.T) {
	data, _ := encodeSegment(payloadOfSize(60), payloadOfSize(600), payloadOfSize(90))
	for offset := range data {
		flipped := append([]byte{}, data...)
		flipped[offset] ^= 0x10
		if _, got, err := openSegment(t, flipped); !ErrCorrupt.Has(err) {
			t.Fatalf("flipped at %d: %d records, %v", offset, len(got.Records), err)
		}
	}
}

// TestDamageBeforeTail guards against the loss of synced records after a damaged one, even if the damage looks like a torn
// write.
func TestDamageBeforeTail(t *testing.T) {
	data, ends := encodeSegment(payloadOfSize(100), payloadOfSize(2000), payloadOfSize(90))
	clear(data[ends[0] : ends[0]+1500])
	if _, got, err := openSegment(t, data); !ErrCorrupt.Has(err) {
		t.Fatalf("%d records, %v", len(got.Records), err)
	}
}

// TestLock guards against two processes that use the same data folder.
func TestLock(t *testing.T) {
	folder := t.TempDir()
	lock, err := LockFolder(OS{}, folder)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := LockFolder(OS{}, folder); !ErrLocked.Has(err) {
		t.Fatalf("second lock: %v", err)
	}
	if err := lock.Close(); err != nil {
		t.Fatal(err)
	}
	if lock, err = LockFolder(OS{}, folder); err != nil {
		t.Fatalf("lock after release: %v", err)
	}
	_ = lock.Close()
}

// FuzzScanSegment guards against segments that make recovery panic, loop, or return records that were never written.
func FuzzScanSegment(f *testing.F) {
	data, ends := encodeSegment(payloadOfSize(10), payloadOfSize(600), nil)
	f.Add(data)
	f.Add(data[:ends[1]-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		records, end, result := scanSegment(data, 1)
		encoded, _ := encodeSegment(records...)
		if !bytes.Equal(encoded, data[:end]) || (result == decoded) != (end == len(data)) {
			t.Fatalf("%d records up to %d of %d, result %d", len(records), end, len(data), result)
		}
	})
}

// BenchmarkAppend measures the time to append and sync one record.
func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{256, 4096, 65536} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			log, _, err := Open(OS{}, b.TempDir())
			if err == nil {
				err = log.Checkpoint(nil)
			}
			if err != nil {
				b.Fatal(err)
			}
			payload := payloadOfSize(size)
			for b.Loop() {
				if err := log.Append(payload); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
