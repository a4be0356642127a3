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
var state = bytes.Repeat([]byte("menu "), 3*pieceBytes/5+7)

// target is a peer that takes pieces in, through a seam that may spoil them.
type target struct {
	peer.Peer
	x     *receiver
	spoil func(p *peer.Piece) []*peer.Piece
}

func (g *target) Install(_ context.Context, p *peer.Piece) (*peer.Empty, error) {
	pieces := []*peer.Piece{p}
	if g.spoil != nil {
		pieces = g.spoil(p)
	}
	for _, p := range pieces {
		if err := g.x.take(p); err != nil {
			return nil, err
		}
	}
	return &peer.Empty{}, nil
}

// newTarget returns a receiver with a disk of its own and what it hands over.
func newTarget(t *testing.T, files disk.Files) (*target, *disk.Disk, chan quorum.Message) {
	t.Helper()
	d, _, err := disk.Open(t.TempDir(), files)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	handed := make(chan quorum.Message, 1)
	return &target{x: &receiver{disk: d, deliver: func(m quorum.Message) { handed <- m }}}, d, handed
}

func snapshotMessage(index, round uint64) quorum.Message {
	return quorum.Message{Kind: quorum.MsgSnapshot, From: 7, To: 8, Term: 3, Round: round,
		Snapshot: &quorum.Snapshot{Index: index, Term: 3, Members: quorum.Members{{ID: 7, Addr: "a"}}}}
}

func sendTo(g *target, m quorum.Message, data []byte) error {
	w := &pieceWriter{to: g, message: ToWire(m), sent: func() {}}
	if _, err := w.Write(data); err != nil {
		return err
	}
	return w.close()
}

func readAll(t *testing.T, s *quorum.Snapshot) []byte {
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
func TestStateMovesInPieces(t *testing.T) {
	dir := t.TempDir()
	d, _, err := disk.Open(dir, disk.RealFiles())
	if err != nil {
		t.Fatal(err)
	}
	handed := make(chan quorum.Message, 1)
	g := &target{x: &receiver{disk: d, deliver: func(m quorum.Message) { handed <- m }}}
	largest := 0
	g.spoil = func(p *peer.Piece) []*peer.Piece { largest = max(largest, len(p.Data)); return []*peer.Piece{p} }
	if err := sendTo(g, snapshotMessage(40, 1), state); err != nil {
		t.Fatal(err)
	}
	m := <-handed
	if !bytes.Equal(readAll(t, m.Snapshot), state) || largest != pieceBytes {
		t.Fatalf("the state differs, largest piece %d", largest)
	}
	if err := Persist(d, quorum.Ready{Snapshot: m.Snapshot}); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(readAll(t, m.Snapshot), state) {
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
	if p.Snapshot.Index != 40 || len(p.Snapshot.Members) != 1 || !bytes.Equal(readAll(t, &p.Snapshot), state) {
		t.Fatalf("after a restart: %+v", p.Snapshot)
	}
}

// TestSpoiltPiecesAreRefused loses, repeats and mixes pieces: the state is never
// handed over, and a new sending succeeds.
func TestSpoiltPiecesAreRefused(t *testing.T) {
	cases := map[string]func(p *peer.Piece) []*peer.Piece{
		"lost": func(p *peer.Piece) []*peer.Piece {
			if p.Offset == pieceBytes {
				return nil
			}
			return []*peer.Piece{p}
		},
		"repeated": func(p *peer.Piece) []*peer.Piece {
			if p.Offset == pieceBytes {
				return []*peer.Piece{p, p}
			}
			return []*peer.Piece{p}
		},
		"of another sending": func(p *peer.Piece) []*peer.Piece {
			if p.Offset == pieceBytes {
				return []*peer.Piece{{Message: ToWire(snapshotMessage(41, 1)), Offset: p.Offset, Data: p.Data}}
			}
			return []*peer.Piece{p}
		},
		"without a description": func(p *peer.Piece) []*peer.Piece {
			return []*peer.Piece{{Message: &peer.Message{}, Offset: p.Offset, Data: p.Data}}
		},
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			g, _, handed := newTarget(t, disk.RealFiles())
			g.spoil = spoil
			if err := sendTo(g, snapshotMessage(40, 1), state); err == nil {
				t.Fatal("a spoilt state was taken")
			}
			g.spoil = nil
			if err := sendTo(g, snapshotMessage(40, 2), state); err != nil {
				t.Fatal(err)
			}
			if m := <-handed; !bytes.Equal(readAll(t, m.Snapshot), state) {
				t.Fatal("the state differs")
			}
		})
	}
}

// TestFullDiskTakesNoState fails writes: the sender hears of it, the log goes on
// and a later sending succeeds.
func TestFullDiskTakesNoState(t *testing.T) {
	files := disk.RealFiles()
	full := false
	write := files.Write
	files.Write = faultyWrite(&full, write)
	g, d, handed := newTarget(t, files)
	full = true
	if err := sendTo(g, snapshotMessage(40, 1), state); err == nil {
		t.Fatal("a full disk took a state")
	}
	full = false
	if err := d.Append(disk.Batch{First: 1, Entries: [][]byte{[]byte("entry")}}); err != nil {
		t.Fatal(err)
	}
	if err := sendTo(g, snapshotMessage(40, 2), state); err != nil {
		t.Fatal(err)
	}
	<-handed
}

// TestOneStateAtATime sends a second state before the first is settled.
func TestOneStateAtATime(t *testing.T) {
	g, _, handed := newTarget(t, disk.RealFiles())
	if err := sendTo(g, snapshotMessage(40, 1), state); err != nil {
		t.Fatal(err)
	}
	m := <-handed
	if err := sendTo(g, snapshotMessage(50, 2), state); err == nil {
		t.Fatal("the file of a state that is not settled was replaced")
	}
	m.Snapshot.Staged.Discard()
	if err := sendTo(g, snapshotMessage(50, 2), state); err != nil {
		t.Fatal(err)
	}
	if m := <-handed; m.Snapshot.Index != 50 {
		t.Fatalf("got %+v", m.Snapshot)
	}
}

// TestStateReachesAWipedReplica runs a group whose log has been cut: a replica
// with an empty disk gets the state in pieces and holds the same.
func TestStateReachesAWipedReplica(t *testing.T) {
	c := newCluster(t, 3)
	want := bytes.Repeat([]byte("menu "), 1<<19) // 2.5 MB, ten pieces
	for range 6 {                                // together more than the log keeps
		c.propose(t, want)
	}
	c.wipe(t, 2)
	c.propose(t, []byte("last"))
	await(t, "the wiped replica holds the state", func() bool {
		return bytes.Equal(c.held(2), c.held(0)) && bytes.HasSuffix(c.held(2), []byte("last"))
	})
}
