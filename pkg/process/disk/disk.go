// Package disk stores a replica's log and snapshot in a data directory.
//
// The directory contains an identity file, a lock file, one snapshot and numbered segments.
// A segment is a sequence of frames: length, checksum, body. One frame contains everything
// that is synced together, so a crash can damage only the last frame of the last segment.
// Open removes such a torn write; corruption anywhere else makes Open fail with a
// *CorruptError.
package disk

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

// Error wraps failures of the file system.
var Error = errs.Class("disk")

// CorruptError reports corruption that cannot result from a crash.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("data file %s is damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

// LockedError reports that another process uses the data directory.
type LockedError struct{ Dir string }

func (e *LockedError) Error() string {
	return fmt.Sprintf("data directory %s is in use by another process", e.Dir)
}

// BrokenError reports that an earlier write failed. What is on disk is then uncertain, so
// all writes are refused until the process restarts.
type BrokenError struct{ Cause error }

func (e *BrokenError) Error() string { return "disk stopped after a failed write: " + e.Cause.Error() }

func (e *BrokenError) Unwrap() error { return e.Cause }

// FullError reports a write for which the disk had no space. It may be retried. File systems report that
// for a write, or only for a sync; then it is uncertain what of the write is on disk.
type FullError struct{ Cause error }

func (e *FullError) Error() string { return "the disk is full: " + e.Cause.Error() }

func (e *FullError) Unwrap() error { return e.Cause }

// Names and sizes inside a data directory.
const (
	identityFile     = "identity"
	lockFile         = "lock"
	snapshotFile     = "snapshot"
	segmentSuffix    = ".log"
	frameHeaderBytes = 12
	// gobBytes and gobEntryBytes are estimates of what the encoding of a batch and of each entry adds.
	gobBytes, gobEntryBytes = 256, 10
	// streamedBytes is the size from which on a batch is not encoded in memory. A batch of a store host may
	// have 30 MB.
	streamedBytes = 1 << 20
	// collectedBytes is the size from which on the memory of the first encoding is collected before the second.
	collectedBytes = 8 << 20
	maxFrameBytes  = 256 << 20
	segmentBytes   = 16 << 20
)

// Files contains the file operations, so that tests can inject faults into them.
type Files struct {
	Write func(f *os.File, p []byte) (int, error)
	Sync  func(f *os.File) error
	// Truncate and Rename are those of the os package.
	Truncate func(f *os.File, size int64) error
	Rename   func(from, to string) error
}

// RealFiles returns the file operations of the operating system.
func RealFiles() Files {
	return Files{
		Write:    func(f *os.File, p []byte) (int, error) { return f.Write(p) },
		Sync:     func(f *os.File) error { return f.Sync() },
		Truncate: func(f *os.File, size int64) error { return f.Truncate(size) },
		Rename:   os.Rename,
	}
}

// Batch is the content of one frame. The hard state and the entries are opaque to this
// package.
type Batch struct {
	// Hard is the encoded hard state (term, vote, commit index); empty means unchanged.
	Hard []byte
	// First is the index of Entries[0]. All stored entries from First on are replaced. It
	// is zero if there are no entries.
	First   uint64
	Entries [][]byte
}

// Disk is an open data directory. It is not safe for concurrent use, except as documented at
// StreamSnapshot.
type Disk struct {
	dir     string
	files   Files
	lock    *os.File
	id      uint64
	segment *os.File
	// size is the size of the frames in segment that are synced. Behind them is the rest of a failed write
	// while uncut is true.
	size  int64
	uncut bool
	// next is a segment that has been started, but is not synced yet. The disk may have it with the hard
	// state of its start, so nothing is written to the segment before.
	next *os.File
	// filled is true once next had a complete frame.
	filled bool
	hard   []byte
	// closed contains the segments that are no longer written to, oldest first.
	closed []closedSegment
	// number is that of the current segment.
	number uint64
	// last is the highest entry index written so far.
	last uint64
	// broken is the error that stopped all writes.
	broken error
	// snapshotMu guards the snapshot file and snapshotIndex, the last index that it covers.
	snapshotMu    sync.Mutex
	snapshotIndex uint64
	// readOnly leaves a torn write in place.
	readOnly bool
}

// closedSegment is a segment that is no longer written to. No entry in it has an index above
// last.
type closedSegment struct {
	path string
	last uint64
}

// Open locks the directory, creates it if needed and reads its content.
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
		if d.next != nil {
			d.next.Close()
			os.Remove(d.next.Name()) // what remains is read as an empty segment, or repeats the hard state
		}
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

// ID returns the storage number of the directory. It is never zero.
func (d *Disk) ID() uint64 { return d.id }

// Append writes a batch and returns after it is synced. After a *FullError, the same batch
// may be written again; after any other error, every later call returns a *BrokenError.
func (d *Disk) Append(b Batch) error {
	if d.broken != nil {
		return &BrokenError{Cause: d.broken}
	}
	if d.size > segmentBytes || d.next != nil {
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
	if err := d.cut(); err != nil {
		return err
	}
	d.uncut = true
	n, err := d.writeFrame(d.segment, b)
	if err == nil {
		err = Error.Wrap(d.files.Sync(d.segment))
	}
	if IsFull(err) {
		if cutErr := d.cut(); cutErr != nil && !IsFull(cutErr) {
			return Error.Wrap(errs.Combine(err, cutErr))
		}
	}
	if err != nil {
		return asFull(err)
	}
	d.size += n
	d.uncut = false
	if len(b.Hard) > 0 {
		d.hard = b.Hard
	}
	if len(b.Entries) > 0 {
		d.last = max(d.last, b.First+uint64(len(b.Entries))-1)
	}
	return nil
}

// cut removes the rest of a failed write.
func (d *Disk) cut() error {
	if !d.uncut {
		return nil
	}
	if err := d.files.Truncate(d.segment, d.size); err != nil {
		return asFull(Error.Wrap(err))
	}
	d.uncut = false
	return nil
}

// writeFrame writes a batch as a frame and returns the number of bytes written.
func (d *Disk) writeFrame(f *os.File, b Batch) (int64, error) {
	size := frameHeaderBytes + len(b.Hard) + gobBytes
	for _, e := range b.Entries {
		size += len(e) + gobEntryBytes
	}
	if size > streamedBytes {
		return d.streamFrame(f, b)
	}
	buf := bytes.NewBuffer(make([]byte, frameHeaderBytes, size))
	if err := gob.NewEncoder(buf).Encode(b); err != nil {
		return 0, Error.Wrap(err)
	}
	p := buf.Bytes()
	putHeader(p, p[frameHeaderBytes:])
	n, err := d.files.Write(f, p)
	return int64(n), Error.Wrap(err)
}

// streamFrame writes a large batch, which it encodes twice rather than holding the encoded form: the header has
// the size and the checksum. A write that was interrupted leaves an invalid frame, as in writeFrame.
func (d *Disk) streamFrame(f *os.File, b Batch) (int64, error) {
	x := &frameWriter{write: func(p []byte) (int, error) { return len(p), nil }, hash: xxh3.New()}
	if err := gob.NewEncoder(x).Encode(b); err != nil {
		return 0, Error.Wrap(err)
	}
	n, err := d.files.Write(f, x.header())
	if err != nil {
		return int64(n), Error.Wrap(err)
	}
	if x.size > collectedBytes {
		runtime.GC() // the encoder's buffer of the first pass would otherwise stay beside that of the second
	}
	y := &frameWriter{write: func(p []byte) (int, error) { return d.files.Write(f, p) }, hash: xxh3.New()}
	err = gob.NewEncoder(y).Encode(b)
	return int64(n + y.size), Error.Wrap(err)
}

// fail records err, unless it is a *FullError, so that all later writes are refused.
func (d *Disk) fail(err error) error {
	var full *FullError
	if !errors.As(err, &full) {
		d.broken = err
	}
	return err
}

// IsFull reports whether err means that the disk, or the share of it that this process may use, has no
// space left.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// asFull returns err as a *FullError if it means that the disk has no space left.
func asFull(err error) error {
	var full *FullError
	if IsFull(err) && !errors.As(err, &full) {
		return &FullError{Cause: err}
	}
	return err
}

// rotate starts a new segment whose first frame repeats the hard state. If the disk has no
// space for its frame, the current segment remains in use.
func (d *Disk) rotate() error {
	path := filepath.Join(d.dir, fmt.Sprintf("%012d%s", d.number+1, segmentSuffix))
	if d.next == nil {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return asFull(Error.Wrap(err))
		}
		d.next, d.filled = f, false
	}
	if err := d.files.Truncate(d.next, 0); err != nil {
		return asFull(Error.Wrap(err))
	}
	size, err := d.writeFrame(d.next, Batch{Hard: d.hard})
	if IsFull(err) && !d.filled {
		return d.dropNext(err)
	}
	if err == nil {
		d.filled = true
		err = errs.Combine(d.files.Sync(d.next), d.syncDir())
	}
	if err != nil {
		return asFull(Error.Wrap(err))
	}
	if d.segment != nil {
		d.closed = append(d.closed, closedSegment{d.segment.Name(), d.last})
		d.segment.Close()
	}
	d.number++
	d.segment, d.size, d.uncut, d.next = d.next, size, false, nil
	return nil
}

// dropNext removes a started segment that has no complete frame. One that cannot be removed is started
// again by the next write.
func (d *Disk) dropNext(cause error) error {
	if os.Remove(d.next.Name()) == nil {
		d.next.Close()
		d.next = nil
	}
	return &FullError{Cause: cause}
}

// Trim removes the segments without entries after index. A snapshot up to index must have
// been stored.
func (d *Disk) Trim(index uint64) error {
	if d.broken != nil {
		return &BrokenError{Cause: d.broken}
	}
	var full *FullError
	if err := d.rotate(); err != nil && !errors.As(err, &full) {
		return d.fail(err)
	}
	d.removeCovered(index) // if the disk is full, the current segment is removed by a later call
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

// replaceFile replaces a file atomically: after a crash it has the old or the new content.
func (d *Disk) replaceFile(name string, data []byte) error {
	return d.replaceFileWith(name, func(f *os.File) error {
		_, err := d.files.Write(f, data)
		return err
	})
}

// replaceFileWith is replaceFile for content that is written by fill.
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
	if err := d.files.Rename(path+".new", path); err != nil {
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

// Close releases the directory.
func (d *Disk) Close() error {
	if d.next != nil {
		d.next.Close()
	}
	return Error.Wrap(errs.Combine(d.segment.Close(), d.lock.Close()))
}
