package replica

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/service/peer"
)

// state is longer than several pieces and ends within one.
var testState = bytes.Repeat([]byte("menu "), 3*chunkBytes/5+7)

// target is a peer that takes pieces in, through a seam that may spoil them.
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

// newTarget returns a receiver with a disk of its own and what it hands over.
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

// TestStateMovesInPieces sends a state, adopts it and finds it again after a
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
		t.Fatalf("the state differs, largest piece %d", largest)
	}
	if err := Persist(d, quorum.Ready{Snapshot: m.Snapshot}); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(readState(t, m.Snapshot), testState) {
		t.Fatal("the adopted state differs")
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

// TestSpoiltPiecesAreRefused loses, repeats and mixes pieces: the state is never
// handed over, and a new sending succeeds.
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
		"of another sending": func(p *peer.Piece) []*peer.Piece {
			if p.Offset == chunkBytes {
				return []*peer.Piece{{Message: ToWire(snapshotMessage(41, 1)), Offset: p.Offset, Data: p.Data}}
			}
			return []*peer.Piece{p}
		},
		"without a description": func(p *peer.Piece) []*peer.Piece {
			return []*peer.Piece{{Message: &peer.Message{}, Offset: p.Offset, Data: p.Data}}
		},
	}
	for name, tamper := range cases {
		t.Run(name, func(t *testing.T) {
			g, _, delivered := newReceivingPeer(t, disk.RealFiles())
			g.tamper = tamper
			if err := sendTo(g, snapshotMessage(40, 1), testState); err == nil {
				t.Fatal("a spoilt state was taken")
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

// TestFullDiskTakesNoState fails writes: the sender hears of it, the log goes on
// and a later sending succeeds.
func TestSnapshotTransferToFullDisk(t *testing.T) {
	files := disk.RealFiles()
	full := false
	write := files.Write
	files.Write = writeUnlessFull(&full, write)
	g, d, delivered := newReceivingPeer(t, files)
	full = true
	if err := sendTo(g, snapshotMessage(40, 1), testState); err == nil {
		t.Fatal("a full disk took a state")
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

// TestOneStateAtATime sends a second state before the first is settled.
func TestOneSnapshotTransferAtATime(t *testing.T) {
	g, _, delivered := newReceivingPeer(t, disk.RealFiles())
	if err := sendTo(g, snapshotMessage(40, 1), testState); err != nil {
		t.Fatal(err)
	}
	m := <-delivered
	if err := sendTo(g, snapshotMessage(50, 2), testState); err == nil {
		t.Fatal("the file of a state that is not settled was replaced")
	}
	m.Snapshot.Staged.Discard()
	if err := sendTo(g, snapshotMessage(50, 2), testState); err != nil {
		t.Fatal(err)
	}
	if m := <-delivered; m.Snapshot.Index != 50 {
		t.Fatalf("got %+v", m.Snapshot)
	}
}

// TestStateReachesAWipedReplica runs a group whose log has been cut: a replica
// with an empty disk gets the state in pieces and holds the same.
func TestSnapshotTransferToWipedReplica(t *testing.T) {
	c := newCluster(t, 3)
	want := bytes.Repeat([]byte("menu "), 1<<19) // 2.5 MB, ten pieces
	for range 6 {                                // together more than the log keeps
		c.propose(t, want)
	}
	c.wipe(t, 2)
	c.propose(t, []byte("last"))
	waitUntil(t, "the wiped replica holds the state", func() bool {
		return bytes.Equal(c.stateOf(2), c.stateOf(0)) && bytes.HasSuffix(c.stateOf(2), []byte("last"))
	})
}
