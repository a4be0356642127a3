package replica

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// headerLengthBytes is the size of the length field before a snapshot's metadata.
const headerLengthBytes = 4

// maxMetadataBytes is the maximum size of a snapshot's metadata.
const maxMetadataBytes = 1 << 20

// installSnapshot stores a snapshot received from the leader.
func installSnapshot(d *disk.Disk, snap *quorum.Snapshot) error {
	if snap.Staged != nil {
		return snap.Staged.Install()
	}
	return SaveSnapshot(d, *snap)
}

// SaveSnapshot stores a snapshot: the length of its metadata, the metadata in JSON, the
// state.
func SaveSnapshot(d *disk.Disk, snap quorum.Snapshot) error {
	header, err := encodeHeader(snap)
	if err != nil {
		return err
	}
	return d.SaveSnapshot(snap.Index, header, snap.Data)
}

// WriteSnapshot stores a snapshot whose state is streamed by write. Unlike SaveSnapshot, it
// does not change the log, so it may run on another goroutine.
func WriteSnapshot(d *disk.Disk, snap quorum.Snapshot, write func(io.Writer) error) error {
	header, err := encodeHeader(snap)
	if err != nil {
		return err
	}
	return d.StreamSnapshot(snap.Index, func(w io.Writer) error {
		if _, err := w.Write(header); err != nil {
			return err
		}
		return write(w)
	})
}

// encodeHeader returns the header of a snapshot: the length of its metadata and the metadata.
func encodeHeader(snap quorum.Snapshot) ([]byte, error) {
	snap.Data, snap.Staged = nil, nil
	meta, err := json.Marshal(snap)
	return append(binary.LittleEndian.AppendUint32(nil, uint32(len(meta))), meta...), err
}

// loadSnapshotMetadata reads the metadata of a stored snapshot. The state is read when the
// snapshot is opened.
func loadSnapshotMetadata(open func() (io.ReadCloser, error)) (snap quorum.Snapshot, err error) {
	r, err := open()
	if err != nil {
		return snap, err
	}
	defer r.Close()
	snap, _, err = readHeader(bufio.NewReader(r))
	if err == nil && snap.Data == nil {
		snap.Staged = &quorum.StagedSnapshot{Open: func() (io.ReadCloser, error) { return openState(open) }}
	}
	return snap, err
}

// openState opens the state that follows the header of a snapshot.
func openState(open func() (io.ReadCloser, error)) (io.ReadCloser, error) {
	r, err := open()
	if err != nil {
		return nil, err
	}
	in := bufio.NewReader(r)
	if _, _, err := readHeader(in); err != nil {
		r.Close()
		return nil, err
	}
	return &stateReader{in, r}, nil
}

// stateReader reads through a buffer and closes the underlying file.
type stateReader struct {
	io.Reader
	io.Closer
}

// readHeader reads the header of a snapshot. Snapshots of the first release are one JSON
// object that includes the state; its first bytes, read as a length, exceed the maximum.
func readHeader(in *bufio.Reader) (snap quorum.Snapshot, size int, err error) {
	length, err := in.Peek(headerLengthBytes)
	if err != nil {
		return snap, 0, errors.New("snapshot header is truncated")
	}
	size = int(binary.LittleEndian.Uint32(length))
	if size > maxMetadataBytes && length[0] == '{' {
		err = json.NewDecoder(in).Decode(&snap)
		return snap, 0, err
	}
	if size > maxMetadataBytes {
		return snap, 0, fmt.Errorf("snapshot metadata is too long: %d bytes, maximum %d", size, maxMetadataBytes)
	}
	meta := make([]byte, headerLengthBytes+size)
	if _, err := io.ReadFull(in, meta); err != nil {
		return snap, 0, fmt.Errorf("snapshot metadata of %d bytes is truncated", size)
	}
	err = json.Unmarshal(meta[headerLengthBytes:], &snap)
	return snap, size, err
}
