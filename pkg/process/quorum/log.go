package quorum

// raftLog is the in-memory log of a replica: the position of the latest snapshot and the
// entries after it.
type raftLog struct {
	// snap replaces all entries up to and including snap.Index.
	snap Snapshot
	// entries is contiguous: entries[i].Index is snap.Index+1+i.
	entries []Entry
	// members lists the snapshot's membership and then each one in entries, in log order.
	members []membersAt
}

// membersAt is a membership and the index of the log entry that introduced it.
type membersAt struct {
	index   uint64
	members Members
}

func newLog(snap Snapshot, entries []Entry) *raftLog {
	l := &raftLog{snap: snap}
	l.members = []membersAt{{snap.Index, snap.Members}}
	for _, e := range entries {
		l.push(e)
	}
	return l
}

func (l *raftLog) lastIndex() uint64 { return l.snap.Index + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index; ok is false if the index is before the
// snapshot or after the last entry.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	if index == l.snap.Index {
		return l.snap.Term, true
	}
	if index < l.snap.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snap.Index-1].Term, true
}

// slice returns a copy of at most limit entries that starts at index from.
func (l *raftLog) slice(from uint64, limit int) []Entry {
	if from <= l.snap.Index || from > l.lastIndex() {
		return nil
	}
	s := l.entries[from-l.snap.Index-1:]
	if len(s) > limit {
		s = s[:limit]
	}
	return append([]Entry(nil), s...)
}

// sliceBytes returns up to limit entries with at most maxBytes of data from an index on, at least
// one if there is any.
func (l *raftLog) sliceBytes(from uint64, limit, maxBytes int) []Entry {
	all := l.slice(from, limit)
	size := 0
	for i, e := range all {
		if size += len(e.Data); i > 0 && size > maxBytes {
			return all[:i]
		}
	}
	return all
}

func (l *raftLog) push(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind != EntryMembers {
		return
	}
	m, err := DecodeMembers(e.Data)
	if err != nil {
		panic(err) // written by Members.Encode only, and stored with a checksum
	}
	l.members = append(l.members, membersAt{e.Index, m})
}

// truncate removes all entries at and after index from, and their memberships.
func (l *raftLog) truncate(from uint64) {
	l.entries = l.entries[:from-l.snap.Index-1]
	for len(l.members) > 1 && l.members[len(l.members)-1].index >= from {
		l.members = l.members[:len(l.members)-1]
	}
}

// compact replaces the entries up to snap.Index by snap. Later entries are kept only if
// the log has an entry of snap.Term at snap.Index.
func (l *raftLog) compact(snap Snapshot) {
	if t, ok := l.term(snap.Index); ok && t == snap.Term {
		l.entries = append([]Entry(nil), l.entries[snap.Index-l.snap.Index:]...)
	} else {
		l.entries = nil
	}
	var later []membersAt
	for _, m := range l.members {
		if m.index > snap.Index && len(l.entries) > 0 {
			later = append(later, m)
		}
	}
	l.snap = snap
	l.members = append([]membersAt{{snap.Index, snap.Members}}, later...)
}

// latestMembers returns the latest membership in the log, committed or not.
func (l *raftLog) latestMembers() Members { return l.members[len(l.members)-1].members }

// latestMembersIndex returns the log index that introduced the latest membership.
func (l *raftLog) latestMembersIndex() uint64 { return l.members[len(l.members)-1].index }

// membersAtIndex returns the membership in force at index.
func (l *raftLog) membersAtIndex(index uint64) Members {
	m := l.members[0].members
	for _, x := range l.members {
		if x.index <= index {
			m = x.members
		}
	}
	return m
}

// upToDate reports whether a log that ends at (index, term) is at least as up to date as
// this one, which a candidate's log must be to receive this replica's vote.
func (l *raftLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
