package disk

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

const (
	// snapshotMagic is the start of a snapshot's body. The index in eight bytes and the
	// data follow. Bodies without it are of the first release; see legacyBody.
	snapshotMagic = "pbsnap2\x00"
	// snapshotHeaderBytes is the offset of the data in a snapshot file.
	snapshotHeaderBytes = frameHeaderBytes + len(snapshotMagic) + 8
	// writeBufferBytes is the size of the buffer that combines the small writes of a
	// snapshot.
	writeBufferBytes = 64 << 10
	// stagedFile is the snapshot that is being received from another process.
	stagedFile = snapshotFile + ".stage"
)

// legacyBody is the body of a snapshot file of the first release, encoded with gob.
type legacyBody struct {
	Index uint64
	Data  []byte
}

// SaveSnapshot stores a snapshot that covers the entries up to index, then removes the
// segments without later entries. Its data is the concatenation of parts, which are written
// one by one, because a copy of the data would be as large as the state.
func (d *Disk) SaveSnapshot(index uint64, parts ...[]byte) error {
	if d.broken != nil {
		return &BrokenError{Cause: d.broken}
	}
	err := d.StreamSnapshot(index, func(w io.Writer) error {
		for _, part := range parts {
			if _, err := w.Write(part); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return d.fail(asFull(err))
	}
	return d.Trim(index)
}

// StreamSnapshot stores a snapshot whose data is streamed by write, so that it is never
// completely in memory. It does not remove any segments. It may run concurrently with Append,
// but not with SaveSnapshot.
func (d *Disk) StreamSnapshot(index uint64, write func(io.Writer) error) error {
	d.snapshotMu.Lock()
	defer d.snapshotMu.Unlock()
	if index < d.snapshotIndex {
		return nil // a newer snapshot is already stored
	}
	s, err := d.createSnapshot(snapshotFile+".new", index)
	if err != nil {
		return err
	}
	if err := errs.Combine(write(s), s.Close()); err != nil {
		s.Discard()
		return Error.Wrap(err)
	}
	return d.replaceSnapshot(s)
}

// replaceSnapshot makes a complete file the stored snapshot.
func (d *Disk) replaceSnapshot(s *StagedSnapshot) error {
	path := filepath.Join(d.dir, snapshotFile)
	if err := d.files.Rename(s.path, path); err != nil {
		return Error.Wrap(err)
	}
	s.path = path
	d.snapshotIndex = s.index
	return d.syncDir()
}

// StagedSnapshot is a snapshot file that has not replaced the stored snapshot yet.
type StagedSnapshot struct {
	d     *Disk
	path  string
	index uint64
	file  *os.File
	frame *frameWriter
	out   *bufio.Writer
}

// StageSnapshot starts the file of a snapshot received from another process. There is one
// such file; a new one replaces it.
func (d *Disk) StageSnapshot(index uint64) (*StagedSnapshot, error) {
	return d.createSnapshot(stagedFile, index)
}

func (d *Disk) createSnapshot(name string, index uint64) (*StagedSnapshot, error) {
	s := &StagedSnapshot{d: d, path: filepath.Join(d.dir, name), index: index}
	var err error
	if s.file, err = os.OpenFile(s.path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	s.frame = &frameWriter{write: func(p []byte) (int, error) { return d.files.Write(s.file, p) }, hash: xxh3.New()}
	s.out = bufio.NewWriterSize(s.frame, writeBufferBytes)
	if _, err := d.files.Write(s.file, make([]byte, frameHeaderBytes)); err != nil {
		s.Discard()
		return nil, Error.Wrap(err)
	}
	head := binary.LittleEndian.AppendUint64([]byte(snapshotMagic), index)
	if _, err := s.out.Write(head); err != nil {
		s.Discard()
		return nil, Error.Wrap(err)
	}
	return s, nil
}

// Write appends to the data.
func (s *StagedSnapshot) Write(p []byte) (int, error) { return s.out.Write(p) }

// Close completes the file and returns after it is synced.
func (s *StagedSnapshot) Close() error {
	err := s.out.Flush()
	if err == nil {
		_, err = s.file.WriteAt(s.frame.header(), 0) // the size and checksum are not known earlier
	}
	if err == nil {
		err = s.d.files.Sync(s.file)
	}
	return Error.Wrap(errs.Combine(err, s.file.Close()))
}

// Open opens the data of a closed StagedSnapshot for reading, also after Install.
func (s *StagedSnapshot) Open() (io.ReadCloser, error) { return openData(s.path) }

// Discard deletes the file.
func (s *StagedSnapshot) Discard() {
	s.file.Close()
	os.Remove(s.path) // if this fails, the next start deletes it
}

// Install makes a closed StagedSnapshot the stored snapshot and removes the segments without
// later entries. After a *FullError it may be called again.
func (d *Disk) Install(s *StagedSnapshot) error {
	if d.broken != nil {
		return &BrokenError{Cause: d.broken}
	}
	if err := d.install(s); err != nil {
		return d.fail(asFull(err))
	}
	return d.Trim(s.index)
}

func (d *Disk) install(s *StagedSnapshot) error {
	d.snapshotMu.Lock()
	defer d.snapshotMu.Unlock()
	return d.replaceSnapshot(s)
}

// removeUnfinished deletes the snapshot files that an earlier process did not complete.
func (d *Disk) removeUnfinished() {
	for _, name := range []string{stagedFile, snapshotFile + ".new"} {
		os.Remove(filepath.Join(d.dir, name)) // a file that remains is overwritten
	}
}

// openData opens the data of a snapshot file.
func openData(path string) (io.ReadCloser, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := f.Seek(int64(snapshotHeaderBytes), io.SeekStart); err != nil {
		f.Close()
		return nil, Error.Wrap(err)
	}
	return f, nil
}

// loadSnapshot verifies the snapshot file and reads its header.
func (d *Disk) loadSnapshot(saved *Saved) error {
	path := filepath.Join(d.dir, snapshotFile)
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return Error.Wrap(err)
	}
	defer f.Close()
	head, reason := checkFrame(f)
	if reason != "" {
		return &CorruptError{File: path, Reason: "snapshot " + reason}
	}
	if rest, ok := bytes.CutPrefix(head, []byte(snapshotMagic)); ok && len(rest) >= 8 {
		saved.SnapshotIndex = binary.LittleEndian.Uint64(rest)
		saved.Snapshot = func() (io.ReadCloser, error) { return openData(path) }
	} else if err := loadLegacy(f, saved); err != nil {
		return &CorruptError{File: path, Reason: err.Error()}
	}
	d.last, d.snapshotIndex = saved.SnapshotIndex, saved.SnapshotIndex
	return nil
}

// loadLegacy reads a snapshot file of the first release.
func loadLegacy(f *os.File, saved *Saved) error {
	if _, err := f.Seek(frameHeaderBytes, io.SeekStart); err != nil {
		return err
	}
	var old legacyBody
	if err := gob.NewDecoder(f).Decode(&old); err != nil {
		return err
	}
	saved.SnapshotIndex = old.Index
	saved.Snapshot = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(old.Data)), nil }
	return nil
}

// checkFrame verifies a file that consists of one frame. It returns the first bytes of the
// body, or the reason why the frame is invalid.
func checkFrame(f *os.File) (head []byte, reason string) {
	header := make([]byte, frameHeaderBytes)
	if _, err := io.ReadFull(f, header); err != nil {
		return nil, "short frame header"
	}
	hash := xxh3.New()
	head = make([]byte, snapshotHeaderBytes-frameHeaderBytes)
	n, _ := io.ReadFull(f, head) // legacy bodies may be shorter
	head = head[:n]
	if _, err := hash.Write(head); err != nil {
		return nil, err.Error()
	}
	rest, err := io.Copy(hash, f)
	switch {
	case err != nil:
		return nil, err.Error()
	case uint64(n)+uint64(rest) != uint64(binary.LittleEndian.Uint32(header)):
		return nil, "bad frame length"
	case hash.Sum64() != binary.LittleEndian.Uint64(header[4:]):
		return nil, "checksum mismatch"
	}
	return head, ""
}
