package disk

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Saved is the content of a data directory.
type Saved struct {
	Hard []byte
	// Snapshot opens the data of the snapshot. It is nil if there is no snapshot.
	Snapshot      func() (io.ReadCloser, error)
	SnapshotIndex uint64
	// Entries[i] has index First+i.
	First   uint64
	Entries [][]byte
	// TornBytes is the size of the torn write at the end of the log, which Open removes.
	TornBytes int64
}

func (d *Disk) load() (*Saved, error) {
	if err := d.loadIdentity(); err != nil {
		return nil, err
	}
	d.removeUnfinished()
	saved := &Saved{}
	if err := d.loadSnapshot(saved); err != nil {
		return nil, err
	}
	if err := d.loadSegments(saved); err != nil {
		return nil, err
	}
	if err := d.syncLoaded(); err != nil {
		return nil, err
	}
	if err := d.rotate(); err != nil {
		return nil, err
	}
	return saved, nil
}

// loadIdentity reads the storage number, or generates one for an empty directory.
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
		return &CorruptError{File: path, Reason: "missing although segments exist"}
	}
	d.id = rand.Uint64() | 1
	return d.replaceFile(identityFile, []byte(strconv.FormatUint(d.id, 16)+"\n"))
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
			saved.TornBytes = int64(len(data) - offset)
			if d.readOnly {
				return nil
			}
			return d.truncate(path, int64(offset))
		}
		var b Batch
		if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&b); err != nil {
			return &CorruptError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		if err := saved.apply(b); err != nil {
			return &CorruptError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		if len(b.Entries) > 0 {
			d.last = max(d.last, b.First+uint64(len(b.Entries))-1)
		}
		offset += n
	}
	return nil
}

// syncLoaded makes everything that was read durable. A killed process may have left writes
// that only the operating system's cache holds: the caller acts on what it reads, so a later
// power loss must not remove it. Segments before the last one were synced when their
// successor was created.
func (d *Disk) syncLoaded() error {
	if len(d.closed) > 0 {
		if err := d.syncPath(d.closed[len(d.closed)-1].path); err != nil {
			return err
		}
	}
	return d.syncDir()
}

// syncPath syncs a file that is not open.
func (d *Disk) syncPath(path string) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return Error.Wrap(err)
	}
	defer f.Close()
	return Error.Wrap(d.files.Sync(f))
}

func (d *Disk) truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return Error.Wrap(err)
	}
	defer f.Close()
	if err := d.files.Truncate(f, size); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(d.files.Sync(f))
}

// apply adds a batch. Batches must be applied in the order in which they were written.
func (s *Saved) apply(b Batch) error {
	if len(b.Hard) > 0 {
		s.Hard = b.Hard
	}
	if len(b.Entries) == 0 {
		return nil
	}
	end := s.First + uint64(len(s.Entries))
	if b.First > end {
		return fmt.Errorf("gap in the log: want entry %d, got %d", end, b.First)
	}
	for i, e := range b.Entries {
		s.put(b.First+uint64(i), e, i == 0)
	}
	return nil
}

// put stores one entry and removes all entries after it. An entry that the snapshot covers
// is not stored, but the first one of a batch still removes all entries.
func (s *Saved) put(index uint64, e []byte, first bool) {
	if index < s.First {
		if first {
			s.Entries = nil
		}
		return
	}
	s.Entries = append(s.Entries[:index-s.First], e)
}
