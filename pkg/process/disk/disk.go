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
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
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

// Names and sizes inside a data folder.
const (
	identityFile  = "identity"
	lockFile      = "lock"
	snapshotFile  = "snapshot"
	segmentSuffix = ".log"
	headerBytes   = 12
	maxFrameBytes = 256 << 20
	segmentBytes  = 16 << 20
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

// Saved is the content of a data folder.
type Saved struct {
	Hard []byte
	// Snapshot is nil if there is none.
	Snapshot      []byte
	SnapshotIndex uint64
	// Entries[i] has index First+i.
	First   uint64
	Entries [][]byte
	// CutBytes is the size of the torn tail that was removed.
	CutBytes int64
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
	// readOnly leaves torn tails in place.
	readOnly bool
}

// closedSegment is a full segment and the highest index that it may hold.
type closedSegment struct {
	path string
	last uint64
}

// snapshotBody is the content of the snapshot file.
type snapshotBody struct {
	Index uint64
	Data  []byte
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

func (d *Disk) load() (*Saved, error) {
	if err := d.loadIdentity(); err != nil {
		return nil, err
	}
	saved := &Saved{}
	if err := d.loadSnapshot(saved); err != nil {
		return nil, err
	}
	if err := d.loadSegments(saved); err != nil {
		return nil, err
	}
	if err := d.rotate(); err != nil {
		return nil, err
	}
	return saved, nil
}

// loadIdentity reads the storage number, or draws one for an empty folder.
func (d *Disk) loadIdentity() error {
	path := filepath.Join(d.dir, identityFile)
	text, err := os.ReadFile(path)
	if err == nil {
		d.id, err = strconv.ParseUint(strings.TrimSpace(string(text)), 16, 64)
		if err != nil || d.id == 0 {
			return &CorruptError{File: path, Reason: "not a storage number"}
		}
		return nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return Error.Wrap(err)
	}
	if names, _ := filepath.Glob(filepath.Join(d.dir, "*"+segmentSuffix)); len(names) > 0 {
		return &CorruptError{File: path, Reason: "missing beside existing segments"}
	}
	d.id = rand.Uint64() | 1
	return d.replaceFile(identityFile, []byte(strconv.FormatUint(d.id, 16)+"\n"))
}

func (d *Disk) loadSnapshot(saved *Saved) error {
	path := filepath.Join(d.dir, snapshotFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return Error.Wrap(err)
	}
	body, n, reason := readFrame(data)
	if reason != "" || n != len(data) {
		return &CorruptError{File: path, Reason: "snapshot " + reason}
	}
	var s snapshotBody
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&s); err != nil {
		return &CorruptError{File: path, Reason: err.Error()}
	}
	saved.Snapshot, saved.SnapshotIndex = s.Data, s.Index
	d.last = s.Index
	return nil
}

func (d *Disk) loadSegments(saved *Saved) error {
	paths, err := filepath.Glob(filepath.Join(d.dir, "*"+segmentSuffix))
	if err != nil {
		return Error.Wrap(err)
	}
	slices.Sort(paths)
	saved.First = saved.SnapshotIndex + 1
	for i, path := range paths {
		if err := d.loadSegment(path, i == len(paths)-1, saved); err != nil {
			return err
		}
		d.closed = append(d.closed, closedSegment{path, d.last})
		fmt.Sscanf(filepath.Base(path), "%d", &d.number)
	}
	d.hard = saved.Hard
	return nil
}

func (d *Disk) loadSegment(path string, final bool, saved *Saved) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	for offset := 0; offset < len(data); {
		body, n, reason := readFrame(data[offset:])
		if reason != "" {
			if !final || !tornTail(data[offset:]) {
				return &CorruptError{File: path, Offset: int64(offset), Reason: reason}
			}
			saved.CutBytes = int64(len(data) - offset)
			if d.readOnly {
				return nil
			}
			return d.cut(path, int64(offset))
		}
		var b Batch
		if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&b); err != nil {
			return &CorruptError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		if err := saved.take(b); err != nil {
			return &CorruptError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		if len(b.Entries) > 0 {
			d.last = max(d.last, b.First+uint64(len(b.Entries))-1)
		}
		offset += n
	}
	return nil
}

func (d *Disk) cut(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return Error.Wrap(err)
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(d.files.Sync(f))
}

// take adds a batch in the order in which it was written.
func (s *Saved) take(b Batch) error {
	if len(b.Hard) > 0 {
		s.Hard = b.Hard
	}
	if len(b.Entries) == 0 {
		return nil
	}
	end := s.First + uint64(len(s.Entries))
	if b.First > end {
		return fmt.Errorf("entries jump from %d to %d", end, b.First)
	}
	for i, e := range b.Entries {
		s.put(b.First+uint64(i), e, i == 0)
	}
	return nil
}

// put stores one entry; the first of a batch drops everything after it.
func (s *Saved) put(index uint64, e []byte, first bool) {
	if index < s.First {
		if first {
			s.Entries = nil
		}
		return
	}
	s.Entries = append(s.Entries[:index-s.First], e)
}

// readFrame returns the first frame's body and size, or why it is not whole.
func readFrame(data []byte) (body []byte, size int, reason string) {
	if len(data) < headerBytes {
		return nil, 0, "short frame header"
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n == 0 || n > maxFrameBytes {
		return nil, 0, "bad frame length"
	}
	if len(data) < headerBytes+n {
		return nil, 0, "short frame"
	}
	body = data[headerBytes : headerBytes+n]
	if xxh3.Hash(body) != binary.LittleEndian.Uint64(data[4:]) {
		return nil, 0, "checksum mismatch"
	}
	return body, headerBytes + n, ""
}

// tornTail reports whether a write that was cut by a crash explains data,
// which starts with a bad frame: no whole frame follows it.
func tornTail(data []byte) bool {
	if len(data) < headerBytes {
		return true
	}
	for i := 1; i+headerBytes < len(data); i++ {
		if _, _, reason := readFrame(data[i:]); reason == "" {
			return false
		}
	}
	return true
}

func frame(body []byte) []byte {
	p := make([]byte, headerBytes, headerBytes+len(body))
	binary.LittleEndian.PutUint32(p, uint32(len(body)))
	binary.LittleEndian.PutUint64(p[4:], xxh3.Hash(body))
	return append(p, body...)
}

// ID returns the storage number of the folder. It is never zero.
func (d *Disk) ID() uint64 { return d.id }

// Append writes a batch and returns once it is synced. After an error every
// later call returns a *BrokenError.
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
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(b); err != nil {
		return Error.Wrap(err)
	}
	if len(b.Hard) > 0 {
		d.hard = b.Hard
	}
	if len(b.Entries) > 0 {
		d.last = max(d.last, b.First+uint64(len(b.Entries))-1)
	}
	p := frame(buf.Bytes())
	n, err := d.files.Write(d.segment, p)
	d.size += int64(n)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(d.files.Sync(d.segment))
}

func (d *Disk) fail(err error) error {
	d.broken = err
	return err
}

// rotate starts a new segment whose first frame repeats the hard state.
func (d *Disk) rotate() error {
	if d.segment != nil {
		d.closed = append(d.closed, closedSegment{d.segment.Name(), d.last})
		d.segment.Close()
	}
	d.number++
	path := filepath.Join(d.dir, fmt.Sprintf("%012d%s", d.number, segmentSuffix))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	d.segment, d.size = f, 0
	if err := d.write(Batch{Hard: d.hard}); err != nil {
		return err
	}
	return d.syncDir()
}

// SaveSnapshot stores a snapshot that covers the entries up to index, then
// removes the segments that hold nothing after it.
func (d *Disk) SaveSnapshot(index uint64, data []byte) error {
	if d.broken != nil {
		return &BrokenError{Cause: d.broken}
	}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(snapshotBody{index, data}); err != nil {
		return Error.Wrap(err)
	}
	if err := d.replaceFile(snapshotFile, frame(buf.Bytes())); err != nil {
		return d.fail(err)
	}
	if err := d.rotate(); err != nil {
		return d.fail(err)
	}
	d.dropCovered(index)
	return nil
}

func (d *Disk) dropCovered(index uint64) {
	for len(d.closed) > 0 && d.closed[0].last <= index {
		if os.Remove(d.closed[0].path) != nil {
			return
		}
		d.closed = d.closed[1:]
	}
}

// replaceFile writes a file whole: the old or the new content survives.
func (d *Disk) replaceFile(name string, data []byte) error {
	path := filepath.Join(d.dir, name)
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := d.files.Write(f, data); err != nil {
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
