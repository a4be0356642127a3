package quorum

import "time"

// restore replaces the state machine by the state in a snapshot, if it contains one.
func restore(cfg Config, s *Snapshot) error {
	r, err := s.Reader()
	if r == nil || err != nil {
		return err
	}
	defer r.Close()
	return cfg.Restore(r)
}

// attachSnapshots adds the encoded state to snapshot messages and returns all messages to
// send. If Config.SendSnapshot is set, it passes the snapshot messages to it instead and
// returns only the others. The state is that of the index in the messages, because the
// state machine has applied exactly the entries up to Core.applied.
func (n *Node) attachSnapshots(messages []Message) []Message {
	out := messages[:0]
	var data []byte
	for _, m := range messages {
		if m.Kind == MsgSnapshot && n.cfg.SendSnapshot != nil {
			n.cfg.SendSnapshot(m, n.cfg.Freeze())
			continue
		}
		if m.Kind == MsgSnapshot {
			if data == nil {
				data = n.cfg.Save()
			}
			m.Snapshot.Data = data
		}
		out = append(out, m)
	}
	return out
}

// ReportSnapshotProgress records that a chunk of a snapshot has reached a peer, so that
// the snapshot is not sent again while it makes progress. It may be called on any
// goroutine.
func (n *Node) ReportSnapshotProgress(to NodeID) {
	select {
	case n.calls <- func() { n.core.recordSnapshotProgress(to) }:
	default: // the queue is full; the report for the next chunk replaces this one
	}
}

// maybeSnapshot stores a snapshot, or starts to write one, if enough entries have been
// applied since the last one.
func (n *Node) maybeSnapshot() error {
	if n.writingSnapshot || !n.snapshotDue() {
		return nil
	}
	n.bytesSinceSnapshot = 0
	if n.cfg.Freeze != nil {
		n.startSnapshot()
		return nil
	}
	snap := n.core.Compact(n.core.applied, n.cfg.Save())
	n.snapshotIndex = snap.Index
	return n.cfg.SaveSnapshot(snap)
}

// snapshotResult is the result of writing a snapshot on another goroutine.
type snapshotResult struct {
	index uint64
	err   error
}

// startSnapshot starts a goroutine that writes a snapshot of the current state.
func (n *Node) startSnapshot() {
	n.writingSnapshot = true
	snap := n.core.snapshotAt(n.core.applied)
	write := n.cfg.Freeze()
	go func() { n.snapshotResults <- snapshotResult{snap.Index, n.cfg.WriteSnapshot(snap, write)} }()
}

// finishSnapshot removes the log entries that a written snapshot replaces, or schedules a
// retry if the snapshot could not be written.
func (n *Node) finishSnapshot(x snapshotResult) error {
	n.writingSnapshot = false
	if x.err != nil && n.cfg.SnapshotFailed != nil {
		n.cfg.SnapshotFailed(x.err)
		n.nextSnapshotTime, n.bytesSinceSnapshot = time.Now().Add(snapshotRetryDelay), max(n.bytesSinceSnapshot, n.cfg.SnapshotBytes)
		return nil
	}
	if x.err != nil {
		return x.err
	}
	if x.index <= n.snapshotIndex {
		return nil // a newer snapshot was received from the leader in the meantime
	}
	n.core.Compact(x.index, nil)
	n.snapshotIndex = x.index
	return n.cfg.Trim(x.index)
}

func (n *Node) snapshotDue() bool {
	if n.core.applied <= n.snapshotIndex || time.Now().Before(n.nextSnapshotTime) {
		return false
	}
	many := n.cfg.SnapshotEvery > 0 && n.core.applied >= n.snapshotIndex+n.cfg.SnapshotEvery
	large := n.cfg.SnapshotBytes > 0 && n.bytesSinceSnapshot >= n.cfg.SnapshotBytes
	return many || large
}
