// Package wal implements the write-ahead log of a control replica and the lock of its data folder. The log is a sequence
// of opaque records in segment files. The first record of a segment is a checkpoint that replaces all earlier segments.
package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("wal")

var (
	// ErrCorrupt means that synced data has changed or is missing. The replica can't use the folder.
	ErrCorrupt = errs.Class("data folder corrupt")
	// ErrFailed means that an earlier write or sync failed. It is unknown which data reached the disk, so nothing is retried.
	ErrFailed = errs.Class("write-ahead log failed")
	// ErrFull means that the disk is full. Data written earlier is intact, nothing of the failed write is kept, and the call
	// may be repeated.
	ErrFull = errs.Class("disk full")
)

// CorruptionAdvice is the advice to the operator in errors of class ErrCorrupt.
const CorruptionAdvice = "move the data folder away and restart with an empty one: the replica rejoins as a learner"

const (
	segmentSuffix   = ".wal"
	temporarySuffix = ".tmp"
)

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	fs      FS
	folder  string
	file    File
	segment string
	// nextSequence is the sequence number of the next record.
	nextSequence uint64
	segmentBytes int64
	buf          []byte
	failedErr    error
}

// Recovered is the contents of the log that Open read.
type Recovered struct {
	// Records are the payload of the last checkpoint and those of the records after it; empty when the folder has no log.
	Records [][]byte
	// Truncated is the number of bytes of an incomplete record that were removed.
	Truncated int64
	// Segment is the file name of the segment in use.
	Segment string
}

// Open reads the log in folder. If there is none, it creates no file, and the caller must call Checkpoint before Append.
func Open(fs FS, folder string) (*Log, Recovered, error) {
	l := &Log{fs: fs, folder: folder, nextSequence: 1}
	segments, err := l.listSegments()
	if err != nil || len(segments) == 0 {
		return l, Recovered{}, err
	}
	newest := segments[len(segments)-1]
	recovered, err := l.recoverSegment(newest)
	if err != nil {
		return nil, Recovered{}, err
	}
	// Older segments remain after a crash between the creation of the newest one and their removal.
	if err := l.removeFiles(segments[:len(segments)-1]); err != nil {
		return nil, Recovered{}, err
	}
	return l, recovered, nil
}

// listSegments returns the names of the segments, oldest first, and removes temporary files.
func (l *Log) listSegments() ([]string, error) {
	names, err := l.fs.List(l.folder)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var segments []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, segmentSuffix+temporarySuffix):
			if err := l.fs.Remove(filepath.Join(l.folder, name)); err != nil {
				return nil, Error.Wrap(err)
			}
		case strings.HasSuffix(name, segmentSuffix):
			segments = append(segments, name)
		}
	}
	return segments, nil
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%020d%s", sequence, segmentSuffix) }

func (l *Log) recoverSegment(name string) (Recovered, error) {
	path := filepath.Join(l.folder, name)
	var firstSequence uint64
	if _, err := fmt.Sscanf(name, "%020d"+segmentSuffix, &firstSequence); err != nil || segmentName(firstSequence) != name {
		return Recovered{}, ErrCorrupt.New("%s is not the name of a segment; %s", path, CorruptionAdvice)
	}
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return Recovered{}, Error.Wrap(err)
	}
	records, end, result := scanSegment(data, firstSequence)
	if result == corrupt || len(records) == 0 {
		return Recovered{}, ErrCorrupt.New("%s at offset %d: a synced record does not match its checksum; %s", path, end,
			CorruptionAdvice)
	}
	file, err := l.fs.Open(path)
	if err != nil {
		return Recovered{}, Error.Wrap(err)
	}
	if truncated := len(data) - end; truncated > 0 {
		err = errs.Combine(file.Truncate(int64(end)), file.Sync())
		if err != nil {
			return Recovered{}, Error.Wrap(errs.Combine(err, file.Close()))
		}
	}
	l.file, l.segment, l.nextSequence, l.segmentBytes = file, name, firstSequence+uint64(len(records)), int64(end)
	return Recovered{Records: records, Truncated: int64(len(data) - end), Segment: name}, nil
}

// scanSegment decodes the records of a segment up to the first invalid one. end is the offset after the last valid record;
// result is decoded when the segment ends there, and the kind of damage otherwise.
func scanSegment(data []byte, firstSequence uint64) (records [][]byte, end int, result decodeResult) {
	for end < len(data) {
		sequence := firstSequence + uint64(len(records))
		payload, size, result := decodeRecord(data, end, sequence)
		if result == torn && followedByRecord(data, end, sequence) {
			result = corrupt
		}
		if result != decoded {
			return records, end, result
		}
		records = append(records, payload)
		end += size
	}
	return records, end, decoded
}

// Append writes one record and syncs it. It returns ErrFull when the disk is full; after any other failed write or
// sync each later call returns ErrFailed.
func (l *Log) Append(payload []byte) error {
	if l.failedErr != nil {
		return l.failedErr
	}
	if l.file == nil || len(payload) > MaxPayloadBytes {
		return Error.New("a record of %d bytes can't be appended to segment %q", len(payload), l.segment)
	}
	l.buf = appendRecord(l.buf[:0], l.nextSequence, payload)
	if _, err := l.file.Write(l.buf); err != nil {
		return l.removePartialWrite(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.markFailed("sync", err)
	}
	l.nextSequence++
	l.segmentBytes += int64(len(l.buf))
	return nil
}

// removePartialWrite truncates the file to the last complete record after a write failed on a full disk, and syncs the new
// length, so that the next record can't be mixed with the rest of the failed one. It returns the error for Append.
func (l *Log) removePartialWrite(writeErr error) error {
	if !errors.Is(writeErr, syscall.ENOSPC) {
		return l.markFailed("write", writeErr)
	}
	if err := errs.Combine(l.file.Truncate(l.segmentBytes), l.file.Sync()); err != nil {
		return l.markFailed("write", errs.Combine(writeErr, err))
	}
	return ErrFull.New("write in %s: %w", l.folder, writeErr)
}

// Checkpoint starts a new segment with the payload and removes the segments before it. It returns ErrFull when the
// disk is full, and the current segment stays in use. After any other failed file operation each later call returns
// ErrFailed.
func (l *Log) Checkpoint(payload []byte) error {
	if l.failedErr != nil {
		return l.failedErr
	}
	if len(payload) > MaxPayloadBytes {
		return Error.New("a checkpoint of %d bytes is too large", len(payload))
	}
	record := appendRecord(nil, l.nextSequence, payload)
	name := segmentName(l.nextSequence)
	file, err := createAtomic(l.fs, filepath.Join(l.folder, name), record)
	if ErrFull.Has(err) {
		return err
	}
	if err != nil {
		return l.markFailed("create segment", err)
	}
	oldFile, oldSegment := l.file, l.segment
	l.file, l.segment, l.segmentBytes = file, name, int64(len(record))
	l.nextSequence++
	if oldFile == nil {
		return nil
	}
	if err := errs.Combine(oldFile.Close(), l.removeFiles([]string{oldSegment})); err != nil {
		return l.markFailed("remove segment", err)
	}
	return nil
}

func (l *Log) removeFiles(names []string) error {
	for _, name := range names {
		if err := l.fs.Remove(filepath.Join(l.folder, name)); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func (l *Log) markFailed(action string, err error) error {
	l.failedErr = ErrFailed.New("%s in %s: %w", action, l.folder, err)
	return l.failedErr
}

// Size returns the size of the current segment in bytes.
func (l *Log) Size() int64 { return l.segmentBytes }

// Close closes the segment file.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return Error.Wrap(l.file.Close())
}
