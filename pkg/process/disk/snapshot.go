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
	// snapshotMagic begins the body of a snapshot; eight bytes with its index and
	// the data follow. Bodies without it are of the first release, see legacyBody.
	snapshotMagic = "pbsnap2\x00"
	// snapshotHead is the size of a snapshot file before its data.
	snapshotHead = headerBytes + len(snapshotMagic) + 8
	// streamBuffer gathers the small writes of a snapshot.
	streamBuffer = 64 << 10
	// stageFile is the snapshot that another process sends.
	stageFile = snapshotFile + ".stage"
)

// legacyBody is the content of a snapshot file of the first release.
type legacyBody struct {
	Index uint64
	Data  []byte
}

// SaveSnapshot stores a snapshot that covers the entries up to index, then
// removes the segments that hold nothing after it. The data is written part by
// part: it may be as large as the state, and is not copied.
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
		return d.fail(err)
	}
	return d.Trim(index)
}

// StreamSnapshot stores a snapshot that is written bit by bit, so that it is
// never in memory as a whole, and leaves the segments as they are. It may run
// beside Append, but not beside SaveSnapshot.
func (d *Disk) StreamSnapshot(index uint64, write func(io.Writer) error) error {
	d.snapshotMu.Lock()
	defer d.snapshotMu.Unlock()
	if index < d.snapshotIndex {
		return nil // a newer one is there
	}
	s, err := d.create(snapshotFile+".new", index)
	if err != nil {
		return err
	}
	if err := errs.Combine(write(s), s.Close()); err != nil {
		s.Discard()
		return Error.Wrap(err)
	}
	return d.replaceSnapshot(s)
}

// replaceSnapshot makes a file that was written the snapshot.
func (d *Disk) replaceSnapshot(s *StagedSnapshot) error {
	path := filepath.Join(d.dir, snapshotFile)
	if err := os.Rename(s.path, path); err != nil {
		return Error.Wrap(err)
	}
	s.path = path
	d.snapshotIndex = s.index
	return d.syncDir()
}

// StagedSnapshot is a snapshot file that is not in force yet.
type StagedSnapshot struct {
	d     *Disk
	path  string
	index uint64
	file  *os.File
	frame *frameWriter
	out   *bufio.Writer
}

// StageSnapshot begins a snapshot that another process sends. There is one at a time: a
// new one replaces the former one.
func (d *Disk) StageSnapshot(index uint64) (*StagedSnapshot, error) {
	return d.create(stageFile, index)
}

func (d *Disk) create(name string, index uint64) (*StagedSnapshot, error) {
	s := &StagedSnapshot{d: d, path: filepath.Join(d.dir, name), index: index}
	var err error
	if s.file, err = os.OpenFile(s.path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	s.frame = &frameWriter{write: func(p []byte) (int, error) { return d.files.Write(s.file, p) }, hash: xxh3.New()}
	s.out = bufio.NewWriterSize(s.frame, streamBuffer)
	if _, err := d.files.Write(s.file, make([]byte, headerBytes)); err != nil {
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

// Write adds a part of the data.
func (s *StagedSnapshot) Write(p []byte) (int, error) { return s.out.Write(p) }

// Close completes the file and returns once it is synced.
func (s *StagedSnapshot) Close() error {
	err := s.out.Flush()
	if err == nil {
		_, err = s.file.WriteAt(s.frame.header(), 0) // known only when the body is
	}
	if err == nil {
		err = s.d.files.Sync(s.file)
	}
	return Error.Wrap(errs.Combine(err, s.file.Close()))
}

// Open reads the data of a closed stage, also after Install.
func (s *StagedSnapshot) Open() (io.ReadCloser, error) { return openData(s.path) }

// Discard removes the file.
func (s *StagedSnapshot) Discard() {
	s.file.Close()
	os.Remove(s.path) // else the next start does it
}

// Install makes a closed stage the snapshot and removes the segments that hold
// nothing after it.
func (d *Disk) Install(s *StagedSnapshot) error {
	if d.broken != nil {
		return &BrokenError{Cause: d.broken}
	}
	if err := d.install(s); err != nil {
		return d.fail(err)
	}
	return d.Trim(s.index)
}

func (d *Disk) install(s *StagedSnapshot) error {
	d.snapshotMu.Lock()
	defer d.snapshotMu.Unlock()
	return d.replaceSnapshot(s)
}

// dropStages removes what a former process did not complete.
func (d *Disk) dropStages() {
	for _, name := range []string{stageFile, snapshotFile + ".new"} {
		os.Remove(filepath.Join(d.dir, name)) // a file that stays is written anew
	}
}

// openData opens a snapshot file behind its head.
func openData(path string) (io.ReadCloser, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := f.Seek(int64(snapshotHead), io.SeekStart); err != nil {
		f.Close()
		return nil, Error.Wrap(err)
	}
	return f, nil
}

// loadSnapshot checks the snapshot file and reads its head.
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
	if _, err := f.Seek(headerBytes, io.SeekStart); err != nil {
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

// checkFrame reads a file that is one frame, and returns the first bytes of its
// body or why it is not whole.
func checkFrame(f *os.File) (head []byte, reason string) {
	header := make([]byte, headerBytes)
	if _, err := io.ReadFull(f, header); err != nil {
		return nil, "short frame header"
	}
	hash := xxh3.New()
	head = make([]byte, snapshotHead-headerBytes)
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
