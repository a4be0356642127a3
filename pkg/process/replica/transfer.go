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
	chunkBytes = 256 << 10
	// pieceTimeout ends the sending of a state to a peer that does not answer.
	chunkTimeout = 2 * time.Second
)

// errOutOfOrder refuses a piece that does not follow the former one.
var errOutOfOrder = errors.New("the piece does not follow the former one")

// sendState sends a snapshot message bit by bit.
func (r *Replica) sendSnapshot(m quorum.Message, write func(io.Writer) error) {
	member, ok := r.node.Status().Members.Find(m.To)
	if !ok {
		return // it left meanwhile
	}
	go func() {
		start := time.Now()
		w := &chunkWriter{to: r.peers.Peer(member.Addr), self: r.cfg.Self, message: ToWire(m),
			onSent: func() { r.node.ReportSnapshotProgress(m.To) }}
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
type chunkWriter struct {
	to      peer.Peer
	self    string
	message *peer.Message
	buf     []byte
	offset  uint64
	onSent  func()
}

// Write sends whole pieces and keeps the rest.
func (w *chunkWriter) Write(p []byte) (int, error) {
	n := len(p)
	for len(p) > 0 {
		k := min(len(p), chunkBytes-len(w.buf))
		w.buf = append(w.buf, p[:k]...)
		p = p[k:]
		if len(w.buf) < chunkBytes {
			continue
		}
		if err := w.send(false); err != nil {
			return 0, err
		}
	}
	return n, nil
}

func (w *chunkWriter) close() error { return w.send(true) }

func (w *chunkWriter) send(last bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), chunkTimeout)
	defer cancel()
	_, err := w.to.Install(ctx, &peer.Piece{Message: w.message, Addr: w.self, Offset: w.offset, Data: w.buf, Last: last})
	if err != nil {
		return err
	}
	w.offset += uint64(len(w.buf))
	w.buf = w.buf[:0]
	w.onSent()
	return nil
}

// pieceKey names one sending of a state.
type transferKey struct {
	from, term, index, round uint64
}

// receiver gathers the pieces of a state in a file.
type snapshotReceiver struct {
	disk    *disk.Disk
	deliver func(quorum.Message)

	mu     sync.Mutex
	key    transferKey
	next   uint64
	staged *disk.StagedSnapshot
	// handed is true while the replica has a whole state that it has not settled.
	pending bool
}

// take adds a piece. The last one hands the state to the replica.
func (x *snapshotReceiver) receive(p *peer.Piece) error {
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
	s := x.staged
	x.staged = nil
	if err := s.Close(); err != nil {
		s.Discard()
		return err
	}
	x.pending = true
	m.Snapshot.Staged = &quorum.StagedSnapshot{
		Open:    func() (io.ReadCloser, error) { return openState(s.Open) },
		Install: func() error { defer x.release(); return x.disk.Install(s) },
		Discard: func() { defer x.release(); s.Discard() },
	}
	go x.deliver(m) // it may settle the state at once, which needs the lock
	return nil
}

// add writes a piece to the file; the first one begins it.
func (x *snapshotReceiver) add(m quorum.Message, p *peer.Piece) error {
	key := transferKey{uint64(m.From), m.Term, m.Snapshot.Index, m.Round}
	if p.Offset == 0 {
		if err := x.begin(key, m.Snapshot); err != nil {
			return err
		}
	}
	if x.staged == nil || key != x.key || p.Offset != x.next {
		return errOutOfOrder
	}
	if _, err := x.staged.Write(p.Data); err != nil {
		x.staged.Discard()
		x.staged = nil
		return err
	}
	x.next += uint64(len(p.Data))
	return nil
}

func (x *snapshotReceiver) begin(key transferKey, snap *quorum.Snapshot) error {
	if x.pending {
		return errors.New("the former state is not settled yet")
	}
	if x.staged != nil {
		x.staged.Discard()
		x.staged = nil
	}
	header, err := encodeHeader(*snap)
	if err != nil {
		return err
	}
	s, err := x.disk.StageSnapshot(snap.Index)
	if err != nil {
		return err
	}
	if _, err := s.Write(header); err != nil {
		s.Discard()
		return err
	}
	x.key, x.next, x.staged = key, 0, s
	return nil
}

func (x *snapshotReceiver) release() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pending = false
}
