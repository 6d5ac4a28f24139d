package snapshot

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"clementinetray/server/wal"
)

// TestDamage guards against restoring a damaged snapshot and against replacing a snapshot by an older one.
func TestDamage(t *testing.T) {
	folder := t.TempDir()
	store, none, err := Open(wal.OS{}, folder)
	if err != nil || none != nil {
		t.Fatalf("empty folder: %v, %v", none, err)
	}
	for _, index := range []uint64{3, 9, 5} {
		if err := store.Save(Snapshot{Index: index, Term: 2, Meta: []byte("m"), Data: []byte("data")}); err != nil {
			t.Fatal(err)
		}
	}
	_, snap, err := Open(wal.OS{}, folder)
	if err != nil || snap.Index != 9 || snap.Term != 2 || string(snap.Meta) != "m" || string(snap.Data) != "data" {
		t.Fatalf("%+v, %v", snap, err)
	}
	path := filepath.Join(folder, fileName(9))
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for at := range data {
		flipped := append([]byte{}, data...)
		flipped[at] ^= 4
		if err := os.WriteFile(path, flipped, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(wal.OS{}, folder); !wal.ErrCorrupt.Has(err) {
			t.Fatalf("flipped at %d: %v", at, err)
		}
	}
}

// FuzzDecode guards against snapshot files that cause a panic at startup or decode to a snapshot that was never saved.
func FuzzDecode(f *testing.F) {
	snap := Snapshot{Index: 4, Term: 2, Meta: []byte("meta"), Data: []byte("data")}
	f.Add(append(append(encodeHeader(snap), snap.Meta...), snap.Data...))
	f.Fuzz(func(t *testing.T, data []byte) {
		snap, err := decode(data)
		if err == nil && !bytes.Equal(append(append(encodeHeader(*snap), snap.Meta...), snap.Data...), data) {
			t.Fatalf("%+v does not encode to the same bytes", snap)
		}
	})
}
