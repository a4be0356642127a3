package quorum

import (
	"time"
)

// quorumActive reports whether a majority of the voters has answered this leader within two
// election timeouts. A leader without such a majority steps down (check-quorum).
func (c *Core) quorumActive(now time.Time) bool {
	n := 0
	for _, id := range c.log.latestMembers().Voters() {
		p := c.peers[id]
		if id == c.id || (p != nil && now.Sub(p.lastContact) < c.timing.Election*2) {
			n++
		}
	}
	return n >= c.log.latestMembers().Quorum()
}

// refusesVote reports whether m is a vote request that must be ignored because a leader may
// still have a valid lease.
func (c *Core) refusesVote(m Message, now time.Time) bool {
	if m.Kind != MsgPreVote && m.Kind != MsgVote {
		return false
	}
	return c.role == Leader || now.Sub(c.lastLeaderContact) < c.timing.Election
}

func (c *Core) stepVote(m Message, now time.Time) {
	logUpToDate := c.log.upToDate(m.LogIndex, m.LogTerm)
	if m.Kind == MsgPreVote {
		if logUpToDate && m.Term > c.hard.Term {
			c.out = append(c.out, Message{Kind: MsgPreVoteReply, From: c.id, To: m.From, Term: m.Term})
			return
		}
		// The rejection contains this replica's term, so that a candidate with a longer
		// log but an older term can adopt the term and win a later election.
		c.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
		return
	}
	canVote := c.hard.Vote == 0 || c.hard.Vote == m.From
	if !logUpToDate || !canVote || c.leader != 0 {
		c.send(Message{Kind: MsgVoteReply, To: m.From, Reject: true})
		return
	}
	c.setHard(HardState{Term: c.hard.Term, Vote: m.From})
	c.resetElectionTimer(now)
	c.send(Message{Kind: MsgVoteReply, To: m.From})
}

func (c *Core) stepVoteReply(m Message, now time.Time) {
	switch {
	case m.Reject:
		return
	case m.Kind == MsgPreVoteReply && (c.role != PreCandidate || m.Term != c.hard.Term+1):
		return
	case m.Kind == MsgVoteReply && c.role != Candidate:
		return
	}
	c.votes[m.From] = true
	c.countVotes(now)
}

func (c *Core) countVotes(now time.Time) {
	n := 0
	for _, id := range c.log.latestMembers().Voters() {
		if c.votes[id] {
			n++
		}
	}
	if n < c.log.latestMembers().Quorum() {
		return
	}
	if c.role == PreCandidate {
		c.campaign(Candidate, now)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) campaign(role Role, now time.Time) {
	c.role = role
	c.leader = 0
	c.votes = map[NodeID]bool{c.id: true}
	term, kind := c.hard.Term+1, MsgPreVote
	if role == Candidate {
		c.survey.over = true
		kind = MsgVote
		c.setHard(HardState{Term: term, Vote: c.id})
	}
	for _, id := range c.log.latestMembers().Voters() {
		if id != c.id {
			c.out = append(c.out, Message{Kind: kind, From: c.id, To: id, Term: term,
				LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm()})
		}
	}
	c.countVotes(now)
}

func (c *Core) becomeFollower(term uint64, leader NodeID, now time.Time) {
	if term > c.hard.Term {
		c.setHard(HardState{Term: term})
	}
	if c.role == Leader {
		c.resetElectionTimer(now)
	}
	c.role = Follower
	c.leader = leader
}

func (c *Core) becomeLeader(now time.Time) {
	c.role = Leader
	c.leader = c.id
	c.round = 0
	c.roundSentAt = map[uint64]time.Time{}
	c.peers = map[NodeID]*progress{}
	c.syncPeers(now)
	if p := c.peers[c.lastLeader]; p != nil {
		p.lastContact = c.lastLeaderContact // it may have ended, which led to the election
	}
	c.lastLeader = 0
	c.termStart = c.log.lastIndex() + 1
	c.append(Entry{Index: c.termStart, Term: c.hard.Term, Kind: EntryNoop})
	c.broadcast(now)
}

func (c *Core) resetElectionTimer(now time.Time) {
	jitter := time.Duration(c.rng.Int64N(int64(c.timing.Election * jitterPercent / 100)))
	c.electionDue = now.Add(c.timing.Election + jitter)
}
