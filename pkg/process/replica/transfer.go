package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/service/peer"
)

const (
	// chunkBytes is the size of a chunk of a snapshot. Sender and receiver buffer one chunk
	// at a time, so that a state that fills most of a host's memory can be transferred.
	chunkBytes = 256 << 10
	// chunkTimeout bounds the call that sends one chunk. The transfer ends when a call fails.
	chunkTimeout = 2 * time.Second
)

// errOutOfOrder rejects a chunk that is not the next one of the current transfer.
var errOutOfOrder = errors.New("snapshot chunk is not the next one of the current transfer")

// sendSnapshot sends a snapshot message in chunks on another goroutine; write writes its
// state.
func (r *Replica) sendSnapshot(m quorum.Message, write func(io.Writer) error) {
	member, ok := r.node.Status().Members.Find(m.To)
	if !ok {
		return // removed from the group in the meantime
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
			entry.WithError(err).Warn("snapshot not sent")
			return
		}
		entry.Info("snapshot sent")
	}()
}

// chunkWriter sends what is written to it to a peer, in chunks.
type chunkWriter struct {
	to      peer.Peer
	self    string
	message *peer.Message
	buf     []byte
	offset  uint64
	onSent  func()
}

// Write sends full chunks and buffers the remainder.
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

// close sends the remainder as the last chunk.
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

// transferKey identifies one transfer of a snapshot.
type transferKey struct {
	from, term, index, round uint64
}

// snapshotReceiver collects the chunks of a snapshot in a file.
type snapshotReceiver struct {
	disk    *disk.Disk
	deliver func(quorum.Message)

	mu     sync.Mutex
	key    transferKey
	next   uint64
	staged *disk.StagedSnapshot
	// pending is set while the node has a complete snapshot that it has neither installed
	// nor discarded.
	pending bool
}

// receive adds a chunk. After the last one, it delivers the snapshot to the node.
func (x *snapshotReceiver) receive(p *peer.Piece) error {
	m, err := FromWire(p.Message)
	if err != nil {
		return err
	}
	if m.Snapshot == nil {
		return errors.New("snapshot chunk has no snapshot metadata")
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
		Install: func() error { return x.install(s) },
		Discard: func() { defer x.release(); s.Discard() },
	}
	go x.deliver(m) // the node may install or discard the snapshot at once, which locks mu
	return nil
}

// add writes a chunk to the file. The first chunk starts a new file.
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
		return fmt.Errorf("the snapshot at index %d is not installed yet", x.key.index)
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

// install installs a complete snapshot. While the disk is full, the node tries again, and no other
// transfer may write to the file.
func (x *snapshotReceiver) install(s *disk.StagedSnapshot) error {
	err := x.disk.Install(s)
	var full *disk.FullError
	if !errors.As(err, &full) {
		x.release()
	}
	return err
}

func (x *snapshotReceiver) release() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pending = false
}
