package quorum

import "time"

// restore replaces the state machine by what a snapshot holds.
func restore(cfg Config, s *Snapshot) error {
	r, err := s.Reader()
	if r == nil || err != nil {
		return err
	}
	defer r.Close()
	return cfg.Restore(r)
}

// fillSnapshots puts the state into the messages that carry it, or sends these
// bit by bit and returns the others. The state machine has applied exactly what
// the core calls applied.
func (n *Node) fillSnapshots(messages []Message) []Message {
	out := messages[:0]
	var data []byte
	for _, m := range messages {
		if m.Kind == MsgSnapshot && n.cfg.SendState != nil {
			n.cfg.SendState(m, n.cfg.Freeze())
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

// StateSent tells that a piece of the state has reached a peer, so that the
// state is not sent again meanwhile.
func (n *Node) StateSent(to NodeID) {
	select {
	case n.calls <- func() { n.core.stateSent(to) }:
	default: // the next piece tells the same
	}
}

// maybeSnapshot stores the state when enough has been applied since the last time.
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

// frozen is a snapshot that was written, or why it was not.
type frozen struct {
	index uint64
	err   error
}

// freeze starts to write a snapshot of the state as it is now.
func (n *Node) freeze() {
	n.freezing = true
	snap := n.core.snapshotAt(n.core.applied)
	write := n.cfg.Freeze()
	go func() { n.written <- frozen{snap.Index, n.cfg.WriteSnapshot(snap, write)} }()
}

// trim drops the log that a written snapshot replaces.
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
		return nil // a newer one came from the leader meanwhile
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
