package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

var (
	// ErrLocked means that another process uses the data folder.
	ErrLocked = errs.Class("data folder in use")
	// ErrNotWritable means that the data folder can't be created or written.
	ErrNotWritable = errs.Class("data folder not writable")
)

const (
	lockFile   = "LOCK"
	probeFile  = "probe.tmp"
	folderMode = 0o750
	fileMode   = 0o640
)

// FS is the subset of file system operations that the data folder needs; tests implement it to inject faults. Names are
// paths.
type FS interface {
	MkdirAll(name string) error
	// List returns the names of the files in a folder, sorted.
	List(name string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create opens a file for appending, after creating it or truncating it to zero length.
	Create(name string) (File, error)
	// Open opens an existing file for appending.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes creations, renames and removals in the folder durable.
	SyncFolder(name string) error
	// Lock takes an exclusive lock that is held until the result is closed. It returns ErrLocked when it is already held.
	Lock(name string) (io.Closer, error)
}

// File is a file open for appending.
type File interface {
	io.WriteCloser
	Sync() error
	// Truncate shortens the file; later writes append to the new end.
	Truncate(size int64) error
}

// OS implements FS with the file system of the operating system.
type OS struct{}

var _ FS = OS{}

// MkdirAll implements FS.
func (OS) MkdirAll(name string) error { return os.MkdirAll(name, folderMode) }

// List implements FS.
func (OS) List(name string) ([]string, error) {
	entries, err := os.ReadDir(name)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
}

// Open implements FS.
func (OS) Open(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncFolder implements FS.
func (OS) SyncFolder(name string) error {
	folder, err := os.Open(name)
	if err != nil {
		return err
	}
	err = folder.Sync()
	return errs.Combine(err, folder.Close())
}

// Lock implements FS with flock, which the kernel releases when the process ends.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked.New("another process holds %s", name)
		}
		return nil, err
	}
	return f, nil
}

// LockFolder creates the data folder if it is missing, locks it against other processes and checks that files can be
// written to it. The lock is held until the result is closed. Errors are ErrLocked or ErrNotWritable.
func LockFolder(fs FS, folder string) (io.Closer, error) {
	if err := fs.MkdirAll(folder); err != nil {
		return nil, ErrNotWritable.New("create %s: %w", folder, err)
	}
	lock, err := fs.Lock(filepath.Join(folder, lockFile))
	if ErrLocked.Has(err) {
		return nil, err
	}
	if err != nil {
		return nil, ErrNotWritable.New("lock %s: %w", folder, err)
	}
	if err := checkWritable(fs, filepath.Join(folder, probeFile)); err != nil {
		_ = lock.Close()
		return nil, ErrNotWritable.New("write to %s: %w", folder, err)
	}
	return lock, nil
}

func checkWritable(fs FS, name string) error {
	f, err := fs.Create(name)
	if err != nil {
		return err
	}
	_, err = f.Write([]byte("probe"))
	if err = errs.Combine(err, f.Close()); err != nil {
		return err
	}
	return fs.Remove(name)
}

// WriteFileAtomic writes a file that is durable on return and whose name never refers to incomplete data: it writes and
// syncs a temporary file, renames it and syncs the folder. It returns ErrFull when the disk is full.
func WriteFileAtomic(fs FS, name string, chunks ...[]byte) error {
	f, err := createAtomic(fs, name, chunks...)
	if err != nil {
		return err
	}
	return f.Close()
}

func createAtomic(fs FS, name string, chunks ...[]byte) (File, error) {
	temporary := name + temporarySuffix
	f, err := fs.Create(temporary)
	if errors.Is(err, syscall.ENOSPC) {
		return nil, ErrFull.New("create %s: %w", temporary, err)
	}
	if err != nil {
		return nil, err
	}
	for _, chunk := range chunks {
		if _, err := f.Write(chunk); err != nil {
			err = errs.Combine(err, f.Close(), fs.Remove(temporary))
			if errors.Is(err, syscall.ENOSPC) {
				return nil, ErrFull.New("write %s: %w", temporary, err)
			}
			return nil, err
		}
	}
	if err := f.Sync(); err != nil {
		return nil, errs.Combine(err, f.Close())
	}
	if err := fs.Rename(temporary, name); err != nil {
		return nil, errs.Combine(err, f.Close())
	}
	if err := fs.SyncFolder(filepath.Dir(name)); err != nil {
		return nil, errs.Combine(err, f.Close())
	}
	return f, nil
}
