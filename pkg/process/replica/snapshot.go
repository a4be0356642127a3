package replica

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// lengthBytes is the size of the length before a snapshot's description.
const headerLengthBytes = 4

// descriptionMost is the largest description of a snapshot in bytes.
const maxMetadataBytes = 1 << 20

// takeSnapshot stores a snapshot that came from the leader.
func installSnapshot(d *disk.Disk, snap *quorum.Snapshot) error {
	if snap.Staged != nil {
		return snap.Staged.Install()
	}
	return SaveSnapshot(d, *snap)
}

// SaveSnapshot stores a snapshot: the length of its description, the
// description in JSON, the state.
func SaveSnapshot(d *disk.Disk, snap quorum.Snapshot) error {
	header, err := encodeHeader(snap)
	if err != nil {
		return err
	}
	return d.SaveSnapshot(snap.Index, header, snap.Data)
}

// WriteSnapshot is SaveSnapshot for another goroutine: it leaves the log as it
// is, and write writes the state bit by bit.
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

// snapshotHead encodes the description of a snapshot after its length.
func encodeHeader(snap quorum.Snapshot) ([]byte, error) {
	snap.Data, snap.Staged = nil, nil
	meta, err := json.Marshal(snap)
	return append(binary.LittleEndian.AppendUint32(nil, uint32(len(meta))), meta...), err
}

// describeSnapshot reads the description of a stored snapshot. Its state is read
// when it is needed.
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

// openState opens the state behind the description of a snapshot.
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

// stateReader reads a state through a buffer.
type stateReader struct {
	io.Reader
	io.Closer
}

// readHead reads the description of a snapshot. Snapshots of the first release
// are one JSON object with the state in it.
func readHeader(in *bufio.Reader) (snap quorum.Snapshot, size int, err error) {
	length, err := in.Peek(headerLengthBytes)
	if err != nil {
		return snap, 0, errors.New("the snapshot's description is cut")
	}
	size = int(binary.LittleEndian.Uint32(length))
	if size > maxMetadataBytes && length[0] == '{' {
		err = json.NewDecoder(in).Decode(&snap)
		return snap, 0, err
	}
	if size > maxMetadataBytes {
		return snap, 0, errors.New("the snapshot's description is too long")
	}
	meta := make([]byte, headerLengthBytes+size)
	if _, err := io.ReadFull(in, meta); err != nil {
		return snap, 0, errors.New("the snapshot's description is cut")
	}
	err = json.Unmarshal(meta[headerLengthBytes:], &snap)
	return snap, size, err
}
