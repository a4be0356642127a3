package replica

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/service/peer"
)

const (
	// pieceBytes is the size of a piece of the state. A sender and a receiver hold
	// one at a time, so that a state that fills most of a host's memory can move.
	pieceBytes = 256 << 10
	// pieceTimeout ends the sending of a state to a peer that does not answer.
	pieceTimeout = 2 * time.Second
)

// errOutOfOrder refuses a piece that does not follow the former one.
var errOutOfOrder = errors.New("the piece does not follow the former one")

// sendState sends a snapshot message bit by bit.
func (r *Replica) sendState(m quorum.Message, write func(io.Writer) error) {
	member, ok := r.node.Status().Members.Find(m.To)
	if !ok {
		return // it left meanwhile
	}
	go func() {
		start := time.Now()
		w := &pieceWriter{to: r.peers.Peer(member.Addr), self: r.cfg.Self, message: ToWire(m),
			sent: func() { r.node.ReportSnapshotProgress(m.To) }}
		err := write(w)
		if err == nil {
			err = w.close()
		}
		entry := r.cfg.Log.WithFields(logrus.Fields{"addr": member.Addr, "replica": uint64(m.To), "index": m.Snapshot.Index,
			"bytes": w.offset, "took_ms": time.Since(start).Milliseconds()})
		if err != nil {
			entry.WithError(err).Warn("state not sent")
			return
		}
		entry.Info("state sent")
	}()
}

// pieceWriter sends what is written to it.
type pieceWriter struct {
	to      peer.Peer
	self    string
	message *peer.Message
	buf     []byte
	offset  uint64
	sent    func()
}

// Write sends whole pieces and keeps the rest.
func (w *pieceWriter) Write(p []byte) (int, error) {
	n := len(p)
	for len(p) > 0 {
		k := min(len(p), pieceBytes-len(w.buf))
		w.buf = append(w.buf, p[:k]...)
		p = p[k:]
		if len(w.buf) < pieceBytes {
			continue
		}
		if err := w.send(false); err != nil {
			return 0, err
		}
	}
	return n, nil
}

func (w *pieceWriter) close() error { return w.send(true) }

func (w *pieceWriter) send(last bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), pieceTimeout)
	defer cancel()
	_, err := w.to.Install(ctx, &peer.Piece{Message: w.message, Addr: w.self, Offset: w.offset, Data: w.buf, Last: last})
	if err != nil {
		return err
	}
	w.offset += uint64(len(w.buf))
	w.buf = w.buf[:0]
	w.sent()
	return nil
}

// pieceKey names one sending of a state.
type pieceKey struct {
	from, term, index, round uint64
}

// receiver gathers the pieces of a state in a file.
type receiver struct {
	disk    *disk.Disk
	deliver func(quorum.Message)

	mu    sync.Mutex
	key   pieceKey
	next  uint64
	stage *disk.StagedSnapshot
	// handed is true while the replica has a whole state that it has not settled.
	handed bool
}

// take adds a piece. The last one hands the state to the replica.
func (x *receiver) take(p *peer.Piece) error {
	m, err := FromWire(p.Message)
	if err != nil {
		return err
	}
	if m.Snapshot == nil {
		return errors.New("a piece without a snapshot")
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if err := x.add(m, p); err != nil {
		return err
	}
	if !p.Last {
		return nil
	}
	s := x.stage
	x.stage = nil
	if err := s.Close(); err != nil {
		s.Discard()
		return err
	}
	x.handed = true
	m.Snapshot.Staged = &quorum.StagedSnapshot{
		Open:    func() (io.ReadCloser, error) { return openState(s.Open) },
		Install: func() error { defer x.settle(); return x.disk.Install(s) },
		Discard: func() { defer x.settle(); s.Discard() },
	}
	go x.deliver(m) // it may settle the state at once, which needs the lock
	return nil
}

// add writes a piece to the file; the first one begins it.
func (x *receiver) add(m quorum.Message, p *peer.Piece) error {
	key := pieceKey{uint64(m.From), m.Term, m.Snapshot.Index, m.Round}
	if p.Offset == 0 {
		if err := x.begin(key, m.Snapshot); err != nil {
			return err
		}
	}
	if x.stage == nil || key != x.key || p.Offset != x.next {
		return errOutOfOrder
	}
	if _, err := x.stage.Write(p.Data); err != nil {
		x.stage.Discard()
		x.stage = nil
		return err
	}
	x.next += uint64(len(p.Data))
	return nil
}

func (x *receiver) begin(key pieceKey, snap *quorum.Snapshot) error {
	if x.handed {
		return errors.New("the former state is not settled yet")
	}
	if x.stage != nil {
		x.stage.Discard()
		x.stage = nil
	}
	head, err := snapshotHead(*snap)
	if err != nil {
		return err
	}
	s, err := x.disk.StageSnapshot(snap.Index)
	if err != nil {
		return err
	}
	if _, err := s.Write(head); err != nil {
		s.Discard()
		return err
	}
	x.key, x.next, x.stage = key, 0, s
	return nil
}

func (x *receiver) settle() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.handed = false
}
