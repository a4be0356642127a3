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

// fillSnapshots adds the encoded state to snapshot messages and returns all messages to
// send. If Config.SendSnapshot is set, it passes the snapshot messages to it instead and
// returns only the others. The state is that of the index in the messages, because the
// state machine has applied exactly the entries up to Core.applied.
func (n *Node) fillSnapshots(messages []Message) []Message {
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
	case n.calls <- func() { n.core.stateSent(to) }:
	default: // the queue is full; the report for the next chunk replaces this one
	}
}

// maybeSnapshot stores a snapshot, or starts to write one, if enough entries have been
// applied since the last one.
func (n *Node) maybeSnapshot() error {
	if n.freezing || !n.snapshotDue() {
		return nil
	}
	n.bytes = 0
	if n.cfg.Freeze != nil {
		n.freeze()
		return nil
	}
	snap := n.core.Compact(n.core.applied, n.cfg.Save())
	n.saved = snap.Index
	return n.cfg.SaveSnapshot(snap)
}

// frozen is the result of writing a snapshot on another goroutine.
type frozen struct {
	index uint64
	err   error
}

// freeze starts a goroutine that writes a snapshot of the current state.
func (n *Node) freeze() {
	n.freezing = true
	snap := n.core.snapshotAt(n.core.applied)
	write := n.cfg.Freeze()
	go func() { n.written <- frozen{snap.Index, n.cfg.WriteSnapshot(snap, write)} }()
}

// trim removes the log entries that a written snapshot replaces, or schedules a retry if
// the snapshot could not be written.
func (n *Node) trim(x frozen) error {
	n.freezing = false
	if x.err != nil && n.cfg.SnapshotFailed != nil {
		n.cfg.SnapshotFailed(x.err)
		n.notBefore, n.bytes = time.Now().Add(snapshotPause), max(n.bytes, n.cfg.SnapshotBytes)
		return nil
	}
	if x.err != nil {
		return x.err
	}
	if x.index <= n.saved {
		return nil // a newer snapshot was received from the leader in the meantime
	}
	n.core.Compact(x.index, nil)
	n.saved = x.index
	return n.cfg.Trim(x.index)
}

func (n *Node) snapshotDue() bool {
	if n.core.applied <= n.saved || time.Now().Before(n.notBefore) {
		return false
	}
	many := n.cfg.SnapshotEvery > 0 && n.core.applied >= n.saved+n.cfg.SnapshotEvery
	large := n.cfg.SnapshotBytes > 0 && n.bytes >= n.cfg.SnapshotBytes
	return many || large
}
