// Package disk keeps a replica's log and snapshots in one data folder.
//
// A folder holds an identity file, a lock file, one snapshot and numbered
// segments. A segment is a sequence of frames: length, checksum, body. One
// frame holds everything that is synced together, so a crash can only damage
// the last frame of the last segment. Open cuts such a tail; damage anywhere
// else makes Open fail with a *CorruptError.
package disk

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/zeebo/errs"
)

// Error wraps failures of the file system.
var Error = errs.Class("disk")

// CorruptError reports damage that a crash can not explain.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("data file %s is damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

// LockedError reports a data folder that another process uses.
type LockedError struct{ Dir string }

func (e *LockedError) Error() string {
	return fmt.Sprintf("data folder %s is in use by another process", e.Dir)
}

// BrokenError reports that an earlier write failed, so nothing can be
// promised any more until the process restarts.
type BrokenError struct{ Cause error }

func (e *BrokenError) Error() string { return "disk stopped after a failed write: " + e.Cause.Error() }

func (e *BrokenError) Unwrap() error { return e.Cause }

// FullError reports a write that the disk had no room for. Nothing of it is left,
// and it may be tried again.
type FullError struct{ Cause error }

func (e *FullError) Error() string { return "the disk is full: " + e.Cause.Error() }

func (e *FullError) Unwrap() error { return e.Cause }

// Names and sizes inside a data folder.
const (
	identityFile     = "identity"
	lockFile         = "lock"
	snapshotFile     = "snapshot"
	segmentSuffix    = ".log"
	frameHeaderBytes = 12
	maxFrameBytes    = 256 << 20
	segmentBytes     = 16 << 20
)

// Files are the file operations that faults are injected into.
type Files struct {
	Write func(f *os.File, p []byte) (int, error)
	Sync  func(f *os.File) error
}

// RealFiles returns the operations of the operating system.
func RealFiles() Files {
	return Files{
		Write: func(f *os.File, p []byte) (int, error) { return f.Write(p) },
		Sync:  func(f *os.File) error { return f.Sync() },
	}
}

// Batch is what one frame holds. Bodies are opaque to this package.
type Batch struct {
	// Hard is the encoded vote and term; empty means unchanged.
	Hard []byte
	// First is the index of Entries[0]; entries on disk from First on are
	// replaced. It is zero if there are no entries.
	First   uint64
	Entries [][]byte
}

// Disk is an open data folder. It is not safe for concurrent use.
type Disk struct {
	dir     string
	files   Files
	lock    *os.File
	id      uint64
	segment *os.File
	size    int64
	hard    []byte
	// last is the highest entry index written to each closed segment.
	closed []closedSegment
	number uint64
	last   uint64
	broken error
	// snapshotMu guards the snapshot file; snapshotIndex is what it covers.
	snapshotMu    sync.Mutex
	snapshotIndex uint64
	// readOnly leaves torn tails in place.
	readOnly bool
}

// closedSegment is a full segment and the highest index that it may hold.
type closedSegment struct {
	path string
	last uint64
}

// Open locks the folder, creates it if needed and reads its content.
func Open(dir string, files Files) (*Disk, *Saved, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, Error.Wrap(err)
	}
	d := &Disk{dir: dir, files: files}
	if err := d.takeLock(); err != nil {
		return nil, nil, err
	}
	saved, err := d.load()
	if err != nil {
		d.lock.Close()
		return nil, nil, err
	}
	return d, saved, nil
}

func (d *Disk) takeLock() error {
	f, err := os.OpenFile(filepath.Join(d.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return &LockedError{Dir: d.dir}
	}
	d.lock = f
	return nil
}

// ID returns the storage number of the folder. It is never zero.
func (d *Disk) ID() uint64 { return d.id }

// Append writes a batch and returns once it is synced. After a *FullError the
// same batch may be written again; after any other error every later call
// returns a *BrokenError.
func (d *Disk) Append(b Batch) error {
	if d.broken != nil {
		return &BrokenError{Cause: d.broken}
	}
	if d.size > segmentBytes {
		if err := d.rotate(); err != nil {
			return d.fail(err)
		}
	}
	if err := d.write(b); err != nil {
		return d.fail(err)
	}
	return nil
}

func (d *Disk) write(b Batch) error {
	n, err := d.writeFrame(d.segment, b)
	if isDiskFull(err) {
		if truncateErr := d.segment.Truncate(d.size); truncateErr != nil {
			return Error.Wrap(errs.Combine(err, truncateErr))
		}
		return &FullError{Cause: err}
	}
	d.size += n
	if err != nil {
		return err
	}
	if len(b.Hard) > 0 {
		d.hard = b.Hard
	}
	if len(b.Entries) > 0 {
		d.last = max(d.last, b.First+uint64(len(b.Entries))-1)
	}
	return Error.Wrap(d.files.Sync(d.segment))
}

// writeTo writes the frame of a batch and returns its size.
func (d *Disk) writeFrame(f *os.File, b Batch) (int64, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(b); err != nil {
		return 0, Error.Wrap(err)
	}
	n, err := d.files.Write(f, frame(buf.Bytes()))
	return int64(n), Error.Wrap(err)
}

// fail remembers an error after which nothing can be promised.
func (d *Disk) fail(err error) error {
	var full *FullError
	if !errors.As(err, &full) {
		d.broken = err
	}
	return err
}

// full reports whether an error says that the disk has no room.
func isDiskFull(err error) bool { return errors.Is(err, syscall.ENOSPC) }

// rotate starts a new segment whose first frame repeats the hard state. The former
// one stays in use if the disk has no room for it.
func (d *Disk) rotate() error {
	path := filepath.Join(d.dir, fmt.Sprintf("%012d%s", d.number+1, segmentSuffix))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if isDiskFull(err) {
		return &FullError{Cause: err}
	}
	if err != nil {
		return Error.Wrap(err)
	}
	size, err := d.writeFrame(f, Batch{Hard: d.hard})
	if isDiskFull(err) {
		if cleanupErr := errs.Combine(f.Close(), os.Remove(path)); cleanupErr != nil {
			return Error.Wrap(errs.Combine(err, cleanupErr))
		}
		return &FullError{Cause: err}
	}
	if err := errs.Combine(err, d.files.Sync(f)); err != nil {
		return Error.Wrap(errs.Combine(err, f.Close()))
	}
	if d.segment != nil {
		d.closed = append(d.closed, closedSegment{d.segment.Name(), d.last})
		d.segment.Close()
	}
	d.number++
	d.segment, d.size = f, size
	return d.syncDir()
}

// Trim removes the segments that hold nothing after index. A snapshot up to
// index must have been stored.
func (d *Disk) Trim(index uint64) error {
	if d.broken != nil {
		return &BrokenError{Cause: d.broken}
	}
	var full *FullError
	if err := d.rotate(); err != nil && !errors.As(err, &full) {
		return d.fail(err)
	}
	d.removeCovered(index) // without a new segment the latest one goes later
	return nil
}

func (d *Disk) removeCovered(index uint64) {
	for len(d.closed) > 0 && d.closed[0].last <= index {
		if os.Remove(d.closed[0].path) != nil {
			return
		}
		d.closed = d.closed[1:]
	}
}

// replaceFile writes a file whole: the old or the new content survives.
func (d *Disk) replaceFile(name string, data []byte) error {
	return d.replaceFileWith(name, func(f *os.File) error {
		_, err := d.files.Write(f, data)
		return err
	})
}

// replaceWith is replaceFile for content that fill writes.
func (d *Disk) replaceFileWith(name string, fill func(f *os.File) error) error {
	path := filepath.Join(d.dir, name)
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := fill(f); err != nil {
		f.Close()
		return Error.Wrap(err)
	}
	if err := errs.Combine(d.files.Sync(f), f.Close()); err != nil {
		return Error.Wrap(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return Error.Wrap(err)
	}
	return d.syncDir()
}

func (d *Disk) syncDir() error {
	f, err := os.Open(d.dir)
	if err != nil {
		return Error.Wrap(err)
	}
	defer f.Close()
	return Error.Wrap(d.files.Sync(f))
}

// Close releases the folder.
func (d *Disk) Close() error {
	return Error.Wrap(errs.Combine(d.segment.Close(), d.lock.Close()))
}
