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

	"github.com/zeebo/errs"

	"clementinetray/server/controlstate"
)

// Error is the class of all errors of this package.
var Error = errs.Class("ledger")

const (
	filePrefix, fileSuffix = "bills-", ".jsonl"
	dayFormat              = "2006-01-02"
	// bufferBytes is the size of the read and write buffers of a file.
	bufferBytes = 64 << 10
)

// Ledger implements controlstate.Ledger. It is not safe for concurrent use; the goroutine that applies commands calls it.
type Ledger struct {
	folder string
	// lastIndex is the log index of the newest entry in the files and the buffer. Append skips entries up to it, because a
	// restarted replica replays them from its log.
	lastIndex uint64
	// newestFile is the name of the newest file that Open found. Its first completeBytes bytes are complete lines; openFile
	// truncates the rest, a torn write, and then clears the name.
	newestFile    string
	completeBytes int64

	// file is the open file, nil if none; fileName is its name in the folder.
	file     *os.File
	fileName string
	buffer   *bufio.Writer
	// firstErr is the first error of a write or sync. Nothing is written after it.
	firstErr error
}

var _ controlstate.Ledger = (*Ledger)(nil)

// Open finds the last complete entry of the ledger in the folder, which need not exist. It changes no file, because the
// replica takes its folder lock only later, before the first Append.
func Open(folder string) (*Ledger, error) {
	l := &Ledger{folder: folder}
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
		size, last, err := scanFile(filepath.Join(folder, name))
		if err != nil {
			return nil, err
		}
		if l.newestFile == "" {
			l.newestFile, l.completeBytes = name, size
		}
		if size > 0 {
			l.lastIndex = last
			break
		}
	}
	return l, nil
}

// scanFile returns the size of the complete lines of a file in bytes and the log index of the last one.
func scanFile(path string) (size int64, lastIndex uint64, err error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, 0, Error.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewReaderSize(f, bufferBytes)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return size, lastIndex, nil
		}
		if err != nil {
			return 0, 0, Error.Wrap(err)
		}
		var entry struct {
			Index uint64 `json:"index"`
		}
		if err := json.Unmarshal(line, &entry); err != nil {
			// A crash can tear only the end of the file. An invalid line with further lines after it is corruption.
			if rest, _ := io.ReadAll(lines); bytes.IndexByte(rest, '\n') >= 0 {
				return 0, 0, Error.New("%s is damaged at byte %d: %w", path, size, err)
			}
			return size, lastIndex, nil
		}
		size += int64(len(line))
		lastIndex = entry.Index
	}
}

// Append implements controlstate.Ledger.
func (l *Ledger) Append(e controlstate.LedgerEntry) {
	if l.firstErr != nil || e.Index <= l.lastIndex {
		return
	}
	l.firstErr = l.append(e)
}

// append adds the entry as a line to the buffer of the day's file.
func (l *Ledger) append(e controlstate.LedgerEntry) error {
	// The time of the replicated state never decreases, so the newest file also has the largest name.
	if name := filePrefix + e.At.UTC().Format(dayFormat) + fileSuffix; name != l.fileName {
		if err := l.openFile(name); err != nil {
			return err
		}
	}
	line, err := json.Marshal(e)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := l.buffer.Write(append(line, '\n')); err != nil {
		return Error.Wrap(err)
	}
	l.lastIndex = e.Index
	return nil
}

// openFile closes the current file, cuts off a torn write and opens the named file for appending.
func (l *Ledger) openFile(name string) error {
	if err := l.Close(); err != nil {
		return err
	}
	if err := os.MkdirAll(l.folder, 0o700); err != nil {
		return Error.Wrap(err)
	}
	if l.newestFile != "" {
		if err := os.Truncate(filepath.Join(l.folder, l.newestFile), l.completeBytes); err != nil {
			return Error.Wrap(err)
		}
		l.newestFile = ""
	}
	f, err := os.OpenFile(filepath.Join(l.folder, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	l.file, l.fileName, l.buffer = f, name, bufio.NewWriterSize(f, bufferBytes)
	return l.syncFolders()
}

// syncFolders makes the directory entries of the new file and of the folder durable.
func (l *Ledger) syncFolders() error {
	for _, path := range []string{l.folder, filepath.Dir(l.folder)} {
		d, err := os.Open(path)
		if err != nil {
			return Error.Wrap(err)
		}
		err = d.Sync()
		_ = d.Close()
		if err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// Sync implements controlstate.Ledger.
func (l *Ledger) Sync() error {
	if l.firstErr == nil && l.file != nil {
		l.firstErr = l.flush()
	}
	return l.firstErr
}

// flush writes the buffer to the file and syncs the file.
func (l *Ledger) flush() error {
	if err := l.buffer.Flush(); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(l.file.Sync())
}

// Close syncs and closes the current file.
func (l *Ledger) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.Sync()
	_ = l.file.Close()
	l.file, l.fileName, l.buffer = nil, "", nil
	return err
}
