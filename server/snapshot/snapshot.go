// Package snapshot keeps snapshots of the replicated state in the data folder of a control replica.
package snapshot

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strings"
	"sync"

	"github.com/zeebo/errs"

	"clementinetray/server/wal"
)

// Error is the class of all errors of this package.
var Error = errs.Class("snapshot")

const (
	suffix          = ".snapshot"
	temporarySuffix = ".tmp"
	magic           = "CTSNAP01"
	// headerSize is the size of the file header in bytes: magic (8), index (8), term (8), length of the metadata (4),
	// length of the data (8), CRC-32C of metadata and data (4), CRC-32C of the fields before it (4).
	headerSize = 44
)

// Snapshot is the state up to and including the entry Index of Term.
type Snapshot struct {
	Index, Term uint64
	// Meta is the encoded membership.
	Meta []byte
	Data []byte
}

// Store keeps the newest snapshot of a folder. It is safe for concurrent use.
type Store struct {
	fs     wal.FS
	folder string

	mu     sync.Mutex // guards the fields below and the files
	newest string
	index  uint64
	failed error
}

// Open reads the newest snapshot in folder; nil without one. A damaged one is refused with wal.ErrCorrupt, as the log
// no longer holds what an older one lacks.
func Open(fs wal.FS, folder string) (*Store, *Snapshot, error) {
	s := &Store{fs: fs, folder: folder}
	names, err := fs.List(folder)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	var files []string
	for _, name := range names {
		if strings.HasSuffix(name, suffix+temporarySuffix) {
			if err := fs.Remove(filepath.Join(folder, name)); err != nil {
				return nil, nil, Error.Wrap(err)
			}
		}
		if strings.HasSuffix(name, suffix) {
			files = append(files, name)
		}
	}
	if len(files) == 0 {
		return s, nil, nil
	}
	s.newest = files[len(files)-1]
	snap, err := s.Load()
	if err != nil {
		return nil, nil, err
	}
	s.index = snap.Index
	return s, snap, s.remove(files[:len(files)-1])
}

func fileName(index uint64) string { return fmt.Sprintf("%020d%s", index, suffix) }

// Save makes the snapshot durable and removes older ones. A snapshot that is not newer than the stored one is ignored.
// It returns wal.ErrFull when there is no room: the newest one stays. After any other error each later call returns
// wal.ErrFailed.
func (s *Store) Save(snap Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if snap.Index <= s.index && s.newest != "" {
		return nil
	}
	name := fileName(snap.Index)
	if err := wal.WriteFileAtomic(s.fs, filepath.Join(s.folder, name), header(snap), snap.Meta, snap.Data); wal.ErrFull.Has(err) {
		return err
	} else if err != nil {
		s.failed = wal.ErrFailed.New("write snapshot %s: %w", name, err)
		return s.failed
	}
	old := s.newest
	s.newest, s.index = name, snap.Index
	if old != "" && old != name {
		return s.remove([]string{old})
	}
	return nil
}

// Load reads the newest snapshot; nil without one.
func (s *Store) Load() (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest == "" {
		return nil, nil
	}
	path := filepath.Join(s.folder, s.newest)
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	snap, err := decode(data)
	if err != nil {
		return nil, wal.ErrCorrupt.New("%s: %w; %s", path, err, wal.Remedy)
	}
	return snap, nil
}

func (s *Store) remove(names []string) error {
	for _, name := range names {
		if err := s.fs.Remove(filepath.Join(s.folder, name)); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func header(snap Snapshot) []byte {
	body := append(append([]byte{}, snap.Meta...), snap.Data...)
	h := append(make([]byte, 0, headerSize), magic...)
	h = binary.LittleEndian.AppendUint64(h, snap.Index)
	h = binary.LittleEndian.AppendUint64(h, snap.Term)
	h = binary.LittleEndian.AppendUint32(h, uint32(len(snap.Meta)))
	h = binary.LittleEndian.AppendUint64(h, uint64(len(snap.Data)))
	h = binary.LittleEndian.AppendUint32(h, wal.Checksum(body))
	return binary.LittleEndian.AppendUint32(h, wal.Checksum(h))
}

func decode(data []byte) (*Snapshot, error) {
	if len(data) < headerSize || string(data[:len(magic)]) != magic {
		return nil, Error.New("the file is not a snapshot")
	}
	h, body := data[:headerSize], data[headerSize:]
	if wal.Checksum(h[:headerSize-4]) != binary.LittleEndian.Uint32(h[headerSize-4:]) {
		return nil, Error.New("the header doesn't match its checksum")
	}
	metaSize := uint64(binary.LittleEndian.Uint32(h[24:]))
	dataSize := binary.LittleEndian.Uint64(h[28:])
	if uint64(len(body)) != metaSize+dataSize || wal.Checksum(body) != binary.LittleEndian.Uint32(h[36:]) {
		return nil, Error.New("the content doesn't match its checksum")
	}
	return &Snapshot{
		Index: binary.LittleEndian.Uint64(h[8:]), Term: binary.LittleEndian.Uint64(h[16:]),
		Meta: body[:metaSize:metaSize], Data: body[metaSize:],
	}, nil
}
