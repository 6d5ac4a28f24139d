// Package ledger stores every bill of a control replica in files of JSON lines, one file for each day in UTC. The
// replicated state holds only totals and the keys of recent bills.
package ledger

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/zeebo/errs"

	"clementinetray/server/controlstate"
	"clementinetray/server/wal"
)

// Error is the class of all errors of this package.
var Error = errs.Class("ledger")

const (
	filePrefix, fileSuffix = "bills-", ".jsonl"
	dayFormat              = "2006-01-02"
	// bufferBytes is the size of the read buffer, and the number of bytes from which on lines are written to their file.
	bufferBytes = 64 << 10
)

// FS is the subset of file system operations that write the ledger; tests implement it to inject faults. Names are paths.
type FS interface {
	MkdirAll(name string) error
	// OpenAppend opens a file for appending and creates it if it is missing.
	OpenAppend(name string) (wal.File, error)
	// SyncFolder makes the creation of files in the folder durable.
	SyncFolder(name string) error
}

// osFS implements FS with the file system of the operating system. Only the owner may read bills.
type osFS struct{}

func (osFS) MkdirAll(name string) error { return os.MkdirAll(name, 0o700) }

func (osFS) OpenAppend(name string) (wal.File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
}

func (osFS) SyncFolder(name string) error { return wal.OS{}.SyncFolder(name) }

// Ledger implements controlstate.Ledger. It is not safe for concurrent use; the goroutine that applies commands calls it.
type Ledger struct {
	fs     FS
	folder string
	// lastIndex is the log index of the newest entry in the files and in unwritten. Append skips entries up to it, because a
	// restarted replica replays them from its log.
	lastIndex uint64
	// newestFile is the name of the newest file that Open found. Its first completeBytes bytes are complete lines; the rest is a
	// write that a crash tore or lost. openFile or Sync cuts it off and then clears the name.
	newestFile    string
	completeBytes int64
	// cutIndex is the log index of the first readable entry in that rest, 0 if there is none. The log must still have it.
	cutIndex uint64

	// file is the open file, nil if none; fileName is its name in the folder, and fileBytes are the bytes of complete lines in it.
	file      wal.File
	fileName  string
	fileBytes int64
	// unwritten holds the lines that are not written to their files yet, in order. While the disk is full it grows by what is
	// still applied, which is little: the log of the replica is on the same disk.
	unwritten []dayLines
	// firstErr is the first error of a write or sync other than a full disk. Nothing is written after it.
	firstErr error
}

// dayLines holds lines of the file with the name.
type dayLines struct {
	fileName string
	lines    []byte
}

var _ controlstate.Ledger = (*Ledger)(nil)

// Open finds the last complete entry of the ledger in the folder, which need not exist. It changes no file, because the
// replica takes its folder lock only later, before the first Append.
func Open(folder string) (*Ledger, error) { return OpenWith(osFS{}, folder) }

// OpenWith is Open with a file system for writing.
func OpenWith(fileSystem FS, folder string) (*Ledger, error) {
	l := &Ledger{fs: fileSystem, folder: folder}
	entries, err := os.ReadDir(folder)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, Error.Wrap(err)
	}
	var names []string
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), filePrefix) && strings.HasSuffix(e.Name(), fileSuffix) {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	// The newest file may hold only a torn line; the last complete entry is then in an older file.
	for _, name := range slices.Backward(names) {
		found, err := scanFile(filepath.Join(folder, name))
		if err != nil {
			return nil, err
		}
		if l.newestFile == "" {
			l.newestFile, l.completeBytes, l.cutIndex = name, found.completeBytes, found.cutIndex
		}
		if found.completeBytes > 0 {
			l.lastIndex = found.lastIndex
			break
		}
	}
	return l, nil
}

// fileScan is the content of a file up to the first line that is torn or lost.
type fileScan struct {
	// completeBytes is the size of the complete lines, lastIndex the log index of the last one.
	completeBytes int64
	lastIndex     uint64
	// cutIndex is the log index of the first readable line after them, 0 if there is none.
	cutIndex uint64
}

func scanFile(path string) (found fileScan, err error) {
	f, err := os.Open(path)
	if err != nil {
		return found, Error.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewReaderSize(f, bufferBytes)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return found, nil
		}
		if err != nil {
			return found, Error.Wrap(err)
		}
		index, err := lineIndex(line)
		if err != nil {
			return found, found.skipLost(path, line, lines, err)
		}
		found.completeBytes += int64(len(line))
		found.lastIndex = index
	}
}

func lineIndex(line []byte) (uint64, error) {
	var entry struct {
		Index uint64 `json:"index"`
	}
	err := json.Unmarshal(line, &entry)
	return entry.Index, err
}

// skipLost reads the rest of a file after an invalid line. A loss of power may lose any of the writes since the last sync and
// keep later ones; zeros then stand in the place of a lost one. JSON has no zero bytes, so any other invalid line that is
// followed by lines is corruption.
func (f *fileScan) skipLost(path string, invalid []byte, lines *bufio.Reader, cause error) error {
	lost := bytes.IndexByte(invalid, 0) >= 0
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return Error.Wrap(err)
		}
		if !lost {
			return Error.New("%s is damaged at byte %d: %w", path, f.completeBytes, cause)
		}
		if index, err := lineIndex(line); err == nil && f.cutIndex == 0 {
			f.cutIndex = index
		}
	}
}

// Append implements controlstate.Ledger.
func (l *Ledger) Append(e controlstate.LedgerEntry) {
	if l.firstErr != nil || e.Index <= l.lastIndex {
		return
	}
	l.firstErr = l.append(e)
}

// append adds the entry as a line to those of its day, and writes them if there are many. A full disk is no error: the next
// write is tried with the next line.
func (l *Ledger) append(e controlstate.LedgerEntry) error {
	if l.cutIndex > 0 && e.Index > l.cutIndex {
		return Error.New("%s is damaged at byte %d, and the log starts at entry %d, after entry %d of the damaged part",
			filepath.Join(l.folder, l.newestFile), l.completeBytes, e.Index, l.cutIndex)
	}
	l.cutIndex = 0
	line, err := json.Marshal(e)
	if err != nil {
		return Error.Wrap(err)
	}
	// The time of the replicated state never decreases, so the newest file also has the largest name.
	name := filePrefix + e.At.UTC().Format(dayFormat) + fileSuffix
	if n := len(l.unwritten); n == 0 || l.unwritten[n-1].fileName != name {
		l.unwritten = append(l.unwritten, dayLines{fileName: name})
	}
	day := &l.unwritten[len(l.unwritten)-1]
	day.lines = append(append(day.lines, line...), '\n')
	l.lastIndex = e.Index
	if len(l.unwritten) == 1 && len(day.lines) < bufferBytes {
		return nil
	}
	if err := l.write(); !wal.ErrFull.Has(err) {
		return err
	}
	return nil
}

// write writes all lines to their files. It returns wal.ErrFull if the disk is full, and may then be repeated.
func (l *Ledger) write() error {
	for len(l.unwritten) > 0 {
		day := l.unwritten[0]
		if day.fileName != l.fileName {
			if err := l.openFile(day.fileName); err != nil {
				return err
			}
		}
		if _, err := l.file.Write(day.lines); err != nil {
			return l.removePartialWrite(err)
		}
		l.fileBytes += int64(len(day.lines))
		l.unwritten = slices.Delete(l.unwritten, 0, 1)
	}
	return nil
}

// removePartialWrite truncates the file to its complete lines after a write failed on a full disk, and syncs the new length. It
// returns wal.ErrFull then, else the error of the write.
func (l *Ledger) removePartialWrite(writeErr error) error {
	if !errors.Is(writeErr, syscall.ENOSPC) {
		return Error.Wrap(writeErr)
	}
	if err := errs.Combine(l.file.Truncate(l.fileBytes), l.file.Sync()); err != nil {
		return Error.Wrap(errs.Combine(writeErr, err))
	}
	return wal.ErrFull.New("write to %s: %w", filepath.Join(l.folder, l.fileName), writeErr)
}

// openFile closes the current file, cuts off a torn write and opens the named file for appending. All lines of earlier files
// are durable then, so that Open finds the last entry in the newest file with complete lines.
func (l *Ledger) openFile(name string) error {
	if err := l.closeFile(); err != nil {
		return err
	}
	if err := l.fs.MkdirAll(l.folder); err != nil {
		return fullOrError("create", l.folder, err)
	}
	newest, size := l.newestFile, l.completeBytes
	if newest != "" && newest != name {
		if err := l.cutNewest(); err != nil {
			return err
		}
		size = 0
	}
	path := filepath.Join(l.folder, name)
	f, err := l.fs.OpenAppend(path)
	if err != nil {
		return fullOrError("open", path, err)
	}
	l.file, l.fileName, l.fileBytes = f, name, size
	l.newestFile, l.completeBytes = "", 0
	if newest == name {
		// The new length is synced, so that a loss of power can't mix later lines with what was cut off.
		if err := errs.Combine(f.Truncate(size), f.Sync()); err != nil {
			return Error.Wrap(err)
		}
	}
	return l.syncFolders()
}

// cutNewest cuts the torn write off the newest file that Open found and syncs the file. Its last lines may not be durable: a
// process that ended before a sync has left them to the kernel.
func (l *Ledger) cutNewest() error {
	path := filepath.Join(l.folder, l.newestFile)
	f, err := l.fs.OpenAppend(path)
	if err != nil {
		return fullOrError("open", path, err)
	}
	if err := errs.Combine(f.Truncate(l.completeBytes), f.Sync(), f.Close()); err != nil {
		return Error.Wrap(err)
	}
	l.newestFile, l.completeBytes = "", 0
	return nil
}

// fullOrError returns wal.ErrFull if the disk is full, else an error of this package.
func fullOrError(action, path string, err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return wal.ErrFull.New("%s %s: %w", action, path, err)
	}
	return Error.Wrap(err)
}

// syncFolders makes the directory entries of the new file and of the folder durable.
func (l *Ledger) syncFolders() error {
	return Error.Wrap(errs.Combine(l.fs.SyncFolder(l.folder), l.fs.SyncFolder(filepath.Dir(l.folder))))
}

// Sync implements controlstate.Ledger. The error is of class wal.ErrFull while the disk is full; a later Sync may succeed.
func (l *Ledger) Sync() error {
	if l.firstErr != nil {
		return l.firstErr
	}
	err := l.write()
	if err == nil {
		err = l.syncFile()
	}
	if !wal.ErrFull.Has(err) {
		l.firstErr = err
	}
	return err
}

// syncFile makes the written lines durable, also those of an earlier start whose process ended before a sync: no entry of a replay
// may have opened their file again.
func (l *Ledger) syncFile() error {
	if l.file != nil {
		return Error.Wrap(l.file.Sync())
	}
	if l.newestFile != "" {
		return l.openFile(l.newestFile)
	}
	return nil
}

// closeFile syncs and closes the current file.
func (l *Ledger) closeFile() error {
	if l.file == nil {
		return nil
	}
	err := errs.Combine(l.file.Sync(), l.file.Close())
	l.file, l.fileName, l.fileBytes = nil, "", 0
	return Error.Wrap(err)
}

// Close syncs and closes the current file.
func (l *Ledger) Close() error { return errs.Combine(l.Sync(), l.closeFile()) }
