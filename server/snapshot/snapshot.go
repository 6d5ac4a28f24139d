// Package snapshot stores snapshots of the replicated state in the data folder of a control replica.
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
	// headerBytes is the size of the file header: magic (8), index (8), term (8), length of the metadata (4),
	// length of the data (8), CRC-32C of metadata and data (4), CRC-32C of the fields before it (4).
	headerBytes = 44
)

// Snapshot is the replicated state after a log entry.
type Snapshot struct {
	// Index and Term are those of the last log entry in the state.
	Index, Term uint64
	// Meta is the encoded membership of the control group.
	Meta []byte
	// Data is the encoded state.
	Data []byte
}

// Store keeps the newest snapshot in a folder. It is safe for concurrent use.
type Store struct {
	fs     wal.FS
	folder string

	mu          sync.Mutex // guards the fields below and the files
	newestName  string     // file name of the newest snapshot, empty without one
	newestIndex uint64     // log index of the newest snapshot
	writeErr    error      // error of a failed write, returned by each later Save
}

// Open returns a store for the folder and its newest snapshot, or nil if there is none. It removes older snapshots and
// unfinished files. If the newest snapshot is damaged, it returns wal.ErrCorrupt instead of an older snapshot, because the
// log no longer has the entries between the two.
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
	s.newestName = files[len(files)-1]
	snap, err := s.Load()
	if err != nil {
		return nil, nil, err
	}
	s.newestIndex = snap.Index
	return s, snap, s.removeFiles(files[:len(files)-1])
}

// fileName pads the log index with zeros, so that names sort by it.
func fileName(index uint64) string { return fmt.Sprintf("%020d%s", index, suffix) }

// Save writes the snapshot durably and removes the previous one. It ignores a snapshot that is not newer than the stored
// one. If the disk is full, it returns wal.ErrFull and keeps the stored one. After any other write error, this and each
// later call return wal.ErrFailed.
func (s *Store) Save(snap Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr != nil {
		return s.writeErr
	}
	if snap.Index <= s.newestIndex && s.newestName != "" {
		return nil
	}
	name := fileName(snap.Index)
	if err := wal.WriteFileAtomic(s.fs, filepath.Join(s.folder, name), encodeHeader(snap), snap.Meta, snap.Data); wal.ErrFull.Has(err) {
		return err
	} else if err != nil {
		s.writeErr = wal.ErrFailed.New("write snapshot %s: %w", name, err)
		return s.writeErr
	}
	previous := s.newestName
	s.newestName, s.newestIndex = name, snap.Index
	if previous != "" && previous != name {
		return s.removeFiles([]string{previous})
	}
	return nil
}

// Load reads the newest snapshot. It returns nil without an error if there is none.
func (s *Store) Load() (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newestName == "" {
		return nil, nil
	}
	path := filepath.Join(s.folder, s.newestName)
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	snap, err := decode(data)
	if err != nil {
		return nil, wal.ErrCorrupt.New("%s: %w; %s", path, err, wal.CorruptionAdvice)
	}
	return snap, nil
}

func (s *Store) removeFiles(names []string) error {
	for _, name := range names {
		if err := s.fs.Remove(filepath.Join(s.folder, name)); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// encodeHeader returns the file header of the snapshot, with the checksum of its content.
func encodeHeader(snap Snapshot) []byte {
	body := append(append([]byte{}, snap.Meta...), snap.Data...)
	h := append(make([]byte, 0, headerBytes), magic...)
	h = binary.LittleEndian.AppendUint64(h, snap.Index)
	h = binary.LittleEndian.AppendUint64(h, snap.Term)
	h = binary.LittleEndian.AppendUint32(h, uint32(len(snap.Meta)))
	h = binary.LittleEndian.AppendUint64(h, uint64(len(snap.Data)))
	h = binary.LittleEndian.AppendUint32(h, wal.Checksum(body))
	return binary.LittleEndian.AppendUint32(h, wal.Checksum(h))
}

// decode parses the content of a snapshot file.
func decode(data []byte) (*Snapshot, error) {
	if len(data) < headerBytes || string(data[:len(magic)]) != magic {
		return nil, Error.New("the file is not a snapshot")
	}
	h, body := data[:headerBytes], data[headerBytes:]
	if wal.Checksum(h[:headerBytes-4]) != binary.LittleEndian.Uint32(h[headerBytes-4:]) {
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
