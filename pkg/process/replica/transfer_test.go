package replica

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/service/peer"
)

// testState is several chunks long, the last of which is not full.
var testState = bytes.Repeat([]byte("menu "), 3*chunkBytes/5+7)

// receivingPeer passes chunks to a receiver. tamper, if set, replaces each chunk first.
type receivingPeer struct {
	peer.Peer
	receiver *snapshotReceiver
	tamper   func(p *peer.Piece) []*peer.Piece
}

func (g *receivingPeer) Install(_ context.Context, p *peer.Piece) (*peer.Empty, error) {
	chunks := []*peer.Piece{p}
	if g.tamper != nil {
		chunks = g.tamper(p)
	}
	for _, p := range chunks {
		if err := g.receiver.receive(p); err != nil {
			return nil, err
		}
	}
	return &peer.Empty{}, nil
}

// newReceivingPeer returns a peer with its own disk and the channel of the messages that it
// delivers.
func newReceivingPeer(t *testing.T, files disk.Files) (*receivingPeer, *disk.Disk, chan quorum.Message) {
	t.Helper()
	d, _, err := disk.Open(t.TempDir(), files)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	delivered := make(chan quorum.Message, 1)
	return &receivingPeer{receiver: &snapshotReceiver{disk: d, deliver: func(m quorum.Message) { delivered <- m }}}, d, delivered
}

func snapshotMessage(index, round uint64) quorum.Message {
	return quorum.Message{Kind: quorum.MsgSnapshot, From: 7, To: 8, Term: 3, Round: round,
		Snapshot: &quorum.Snapshot{Index: index, Term: 3, Members: quorum.Members{{ID: 7, Addr: "a"}}}}
}

func sendTo(g *receivingPeer, m quorum.Message, data []byte) error {
	w := &chunkWriter{to: g, message: ToWire(m), onSent: func() {}}
	if _, err := w.Write(data); err != nil {
		return err
	}
	return w.close()
}

func readState(t *testing.T, s *quorum.Snapshot) []byte {
	t.Helper()
	r, err := s.Reader()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	data, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestSnapshotTransferInChunks transfers a snapshot, installs it and loads it again after a
// restart.
func TestSnapshotTransferInChunks(t *testing.T) {
	dir := t.TempDir()
	d, _, err := disk.Open(dir, disk.RealFiles())
	if err != nil {
		t.Fatal(err)
	}
	delivered := make(chan quorum.Message, 1)
	g := &receivingPeer{receiver: &snapshotReceiver{disk: d, deliver: func(m quorum.Message) { delivered <- m }}}
	largest := 0
	g.tamper = func(p *peer.Piece) []*peer.Piece { largest = max(largest, len(p.Data)); return []*peer.Piece{p} }
	if err := sendTo(g, snapshotMessage(40, 1), testState); err != nil {
		t.Fatal(err)
	}
	m := <-delivered
	if !bytes.Equal(readState(t, m.Snapshot), testState) || largest != chunkBytes {
		t.Fatalf("the state differs, or the largest chunk is %d bytes", largest)
	}
	if err := Persist(d, quorum.Ready{Snapshot: m.Snapshot}); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(readState(t, m.Snapshot), testState) {
		t.Fatal("the installed state differs")
	}
	d.Close()
	d, saved, err := disk.Open(dir, disk.RealFiles())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	p, err := DecodeSaved(saved)
	if err != nil {
		t.Fatal(err)
	}
	if p.Snapshot.Index != 40 || len(p.Snapshot.Members) != 1 || !bytes.Equal(readState(t, &p.Snapshot), testState) {
		t.Fatalf("after a restart: %+v", p.Snapshot)
	}
}

// TestInvalidChunksAreRefused loses, repeats and mixes chunks. The incomplete snapshot must
// not be delivered, and a new transfer must succeed.
func TestInvalidChunksAreRefused(t *testing.T) {
	cases := map[string]func(p *peer.Piece) []*peer.Piece{
		"lost": func(p *peer.Piece) []*peer.Piece {
			if p.Offset == chunkBytes {
				return nil
			}
			return []*peer.Piece{p}
		},
		"repeated": func(p *peer.Piece) []*peer.Piece {
			if p.Offset == chunkBytes {
				return []*peer.Piece{p, p}
			}
			return []*peer.Piece{p}
		},
		"of another transfer": func(p *peer.Piece) []*peer.Piece {
			if p.Offset == chunkBytes {
				return []*peer.Piece{{Message: ToWire(snapshotMessage(41, 1)), Offset: p.Offset, Data: p.Data}}
			}
			return []*peer.Piece{p}
		},
		"without metadata": func(p *peer.Piece) []*peer.Piece {
			return []*peer.Piece{{Message: &peer.Message{}, Offset: p.Offset, Data: p.Data}}
		},
	}
	for name, tamper := range cases {
		t.Run(name, func(t *testing.T) {
			g, _, delivered := newReceivingPeer(t, disk.RealFiles())
			g.tamper = tamper
			if err := sendTo(g, snapshotMessage(40, 1), testState); err == nil {
				t.Fatal("a transfer with invalid chunks succeeded")
			}
			g.tamper = nil
			if err := sendTo(g, snapshotMessage(40, 2), testState); err != nil {
				t.Fatal(err)
			}
			if m := <-delivered; !bytes.Equal(readState(t, m.Snapshot), testState) {
				t.Fatal("the state differs")
			}
		})
	}
}

// TestSnapshotTransferToFullDisk fails the receiver's writes. The sender must get an error,
// the receiver's log must stay writable, and a later transfer must succeed.
func TestSnapshotTransferToFullDisk(t *testing.T) {
	files := disk.RealFiles()
	full := false
	write := files.Write
	files.Write = writeUnlessFull(&full, write)
	g, d, delivered := newReceivingPeer(t, files)
	full = true
	if err := sendTo(g, snapshotMessage(40, 1), testState); err == nil {
		t.Fatal("a transfer to a full disk succeeded")
	}
	full = false
	if err := d.Append(disk.Batch{First: 1, Entries: [][]byte{[]byte("entry")}}); err != nil {
		t.Fatal(err)
	}
	if err := sendTo(g, snapshotMessage(40, 2), testState); err != nil {
		t.Fatal(err)
	}
	<-delivered
}

// TestSnapshotWaitsForRoom lets the disk be full when a snapshot that has come is installed. Until there is
// room, another transfer must not write to its file.
func TestSnapshotWaitsForRoom(t *testing.T) {
	files := disk.RealFiles()
	full := true
	files.Rename = func(from, to string) error {
		if full && filepath.Base(to) == "snapshot" {
			return syscall.ENOSPC
		}
		return os.Rename(from, to)
	}
	g, _, delivered := newReceivingPeer(t, files)
	if err := sendTo(g, snapshotMessage(40, 1), testState); err != nil {
		t.Fatal(err)
	}
	m := <-delivered
	var noRoom *disk.FullError
	if err := m.Snapshot.Staged.Install(); !errors.As(err, &noRoom) {
		t.Fatalf("installed on a full disk: %v", err)
	}
	if err := sendTo(g, snapshotMessage(50, 2), testState[:10]); err == nil {
		t.Error("a second transfer replaced the file of a snapshot that waits for room")
	}
	full = false
	if err := m.Snapshot.Staged.Install(); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(readState(t, m.Snapshot), testState) {
		t.Error("the state differs")
	}
	if err := sendTo(g, snapshotMessage(60, 3), testState); err != nil {
		t.Fatal(err)
	}
	<-delivered
}

// TestOneSnapshotTransferAtATime starts a second transfer before the first snapshot is
// installed or discarded. It must fail, because both use the same file.
func TestOneSnapshotTransferAtATime(t *testing.T) {
	g, _, delivered := newReceivingPeer(t, disk.RealFiles())
	if err := sendTo(g, snapshotMessage(40, 1), testState); err != nil {
		t.Fatal(err)
	}
	m := <-delivered
	if err := sendTo(g, snapshotMessage(50, 2), testState); err == nil {
		t.Fatal("a second transfer replaced the file of a pending snapshot")
	}
	m.Snapshot.Staged.Discard()
	if err := sendTo(g, snapshotMessage(50, 2), testState); err != nil {
		t.Fatal(err)
	}
	if m := <-delivered; m.Snapshot.Index != 50 {
		t.Fatalf("got %+v", m.Snapshot)
	}
}

// TestSnapshotTransferToWipedReplica wipes the disk of a replica after its group has trimmed
// the log. The replica must get the state as a snapshot in chunks.
func TestSnapshotTransferToWipedReplica(t *testing.T) {
	c := newCluster(t, 3)
	want := bytes.Repeat([]byte("menu "), 1<<19) // 2.5 MB, ten chunks
	for range 6 {                                // together more than snapshotBytes
		c.propose(t, want)
	}
	c.wipe(t, 2)
	c.propose(t, []byte("last"))
	waitUntil(t, "the wiped replica has the complete state", func() bool {
		return bytes.Equal(c.stateOf(2), c.stateOf(0)) && bytes.HasSuffix(c.stateOf(2), []byte("last"))
	})
}
