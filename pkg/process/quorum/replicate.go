package quorum

import (
	"slices"
	"time"
)

// progress is the replication state of one peer, on the leader.
type progress struct {
	// match is the highest index known to be persisted by the peer.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// round is the latest heartbeat round that the peer answered.
	round uint64
	// snapshotRound is the round in which a snapshot, or a chunk of it, was sent last, or
	// zero.
	snapshotRound uint64
	// lastContact is the arrival time of the peer's latest answer, or the time at which it
	// became a peer of this leader. For the leader before it is the time of its latest message.
	lastContact time.Time
}

// syncPeers adds and removes entries of peers to match the latest membership.
func (c *Core) syncPeers(now time.Time) {
	current := c.log.latestMembers()
	for id := range c.peers {
		if _, ok := current.Find(id); !ok {
			delete(c.peers, id)
		}
	}
	for _, m := range current {
		if m.ID != c.id && c.peers[m.ID] == nil {
			c.peers[m.ID] = &progress{next: c.log.lastIndex() + 1, lastContact: now}
		}
	}
}

// broadcast starts a new heartbeat round and sends an append to each peer.
func (c *Core) broadcast(now time.Time) {
	c.syncPeers(now)
	c.heartbeatDue = now.Add(c.timing.Heartbeat)
	c.round++
	c.roundSentAt[c.round] = now
	delete(c.roundSentAt, c.round-maxRounds)
	for id, p := range c.peers {
		c.sendAppend(id, p)
	}
	c.advanceCommit()
}

func (c *Core) sendAppend(to NodeID, p *progress) {
	prev := p.next - 1
	term, ok := c.log.term(prev)
	if !ok {
		c.sendSnapshot(to, p)
		return
	}
	entries := c.log.sliceBytes(p.next, maxEntriesPerAppend, maxBytesPerAppend)
	c.send(Message{Kind: MsgAppend, To: to, LogIndex: prev, LogTerm: term,
		Entries: entries, Commit: c.commit, Round: c.round})
	p.next += uint64(len(entries))
}

// sendSnapshot requests that the driver sends a snapshot to a peer. While another one is in
// flight, the peer receives only heartbeats.
func (c *Core) sendSnapshot(to NodeID, p *progress) {
	if c.snapshotInFlight(p) {
		c.send(Message{Kind: MsgAppend, To: to, LogIndex: c.log.snap.Index, LogTerm: c.log.snap.Term, Commit: 0, Round: c.round})
		return
	}
	p.snapshotRound = c.round
	snap := c.snapshotAt(c.applied)
	c.send(Message{Kind: MsgSnapshot, To: to, Round: c.round, Snapshot: &snap})
}

// snapshotInFlight reports whether a snapshot is in flight to p or to another peer that has
// not caught up. Only one is sent at a time, because each needs as much memory as the
// complete state.
func (c *Core) snapshotInFlight(p *progress) bool {
	for _, x := range c.peers {
		behind := x == p || x.match < c.log.snap.Index
		if behind && x.snapshotRound != 0 && c.round-x.snapshotRound < snapshotRetryRounds {
			return true
		}
	}
	return false
}

// recordSnapshotProgress records that a chunk of a snapshot has reached a peer.
func (c *Core) recordSnapshotProgress(to NodeID) {
	if p := c.peers[to]; c.role == Leader && p != nil && p.snapshotRound != 0 {
		p.snapshotRound = c.round
	}
}

func (c *Core) stepAppend(m Message, now time.Time) {
	c.followLeader(m, now)
	if m.LogIndex < c.commit {
		c.send(Message{Kind: MsgAppendReply, To: m.From, LogIndex: c.commit, Round: m.Round})
		return
	}
	if t, ok := c.log.term(m.LogIndex); !ok || t != m.LogTerm {
		c.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, LogIndex: c.matchHint(m.LogIndex), Round: m.Round})
		return
	}
	for _, e := range m.Entries {
		c.appendMissing(e)
	}
	last := m.LogIndex + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, last))
	c.send(Message{Kind: MsgAppendReply, To: m.From, LogIndex: last, Round: m.Round})
}

// matchHint returns the highest index at which the log may match that of the leader, whose entry
// at index does not match. It skips all entries of the conflicting term at once (Ongaro, "Consensus:
// Bridging Theory and Practice", section 3.5): a deposed leader may have hundreds of them.
func (c *Core) matchHint(index uint64) uint64 {
	if index > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	conflicting, _ := c.log.term(index)
	for index > c.commit {
		if t, ok := c.log.term(index); !ok || t != conflicting {
			break
		}
		index--
	}
	return index
}

func (c *Core) followLeader(m Message, now time.Time) {
	c.becomeFollower(m.Term, m.From, now)
	c.survey.over = true
	c.lastLeaderContact, c.lastLeader = now, m.From
	c.resetElectionTimer(now)
}

// appendMissing appends e unless the log already contains it. If the entry at e.Index is of
// another term, it and all later ones are removed first.
func (c *Core) appendMissing(e Entry) {
	if t, ok := c.log.term(e.Index); ok {
		if t == e.Term {
			return
		}
		c.log.truncate(e.Index)
		c.stable = min(c.stable, e.Index-1)
	}
	c.append(e)
}

func (c *Core) append(e Entry) {
	c.log.push(e)
	if c.unpersistedFrom == 0 || e.Index < c.unpersistedFrom {
		c.unpersistedFrom = e.Index
	}
}

func (c *Core) stepSnapshot(m Message, now time.Time) {
	c.followLeader(m, now)
	snap := m.Snapshot
	if snap.Index > c.commit {
		c.log.compact(Snapshot{Index: snap.Index, Term: snap.Term, Members: snap.Members})
		c.commit = snap.Index
		c.pendingSnapshot = snap
		c.unpersistedFrom = 0
		if c.log.lastIndex() > snap.Index {
			c.unpersistedFrom = snap.Index + 1
		}
	}
	c.send(Message{Kind: MsgAppendReply, To: m.From, LogIndex: c.commit, Round: m.Round})
}

func (c *Core) stepAppendReply(m Message, now time.Time) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.lastContact = now
	p.round = max(p.round, m.Round)
	if m.Reject {
		if next := max(p.match+1, m.LogIndex+1); next < p.next {
			p.next = next
			c.sendAppend(m.From, p)
		}
		return
	}
	p.match = max(p.match, m.LogIndex)
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if p.next <= c.log.lastIndex() {
		c.sendAppend(m.From, p)
	}
}

// advanceCommit sets the commit index to the highest index that a majority of the voters
// has persisted, if that entry is of the current term. A leader that is no longer a voter
// steps down once the membership without it is committed.
func (c *Core) advanceCommit() {
	var match []uint64
	for _, id := range c.log.latestMembers().Voters() {
		match = append(match, c.matchIndex(id))
	}
	index := nthHighest(match, c.log.latestMembers().Quorum())
	if term, ok := c.log.term(index); ok && term == c.hard.Term && index > c.commit {
		c.commit = index
		if !c.log.latestMembers().IsVoter(c.id) && c.log.latestMembersIndex() <= c.commit {
			c.role, c.leader = Follower, 0
		}
	}
}

func (c *Core) matchIndex(id NodeID) uint64 {
	if id == c.id {
		return c.stable
	}
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// nthHighest returns the n-th highest value, or zero if there are fewer. It sorts values.
func nthHighest(values []uint64, n int) uint64 {
	if len(values) < n {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-n]
}
