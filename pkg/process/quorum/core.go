package quorum

import (
	"math/rand/v2"
	"time"
)

// Role is the role of a replica in the current term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Timing contains the timeouts of the protocol.
type Timing struct {
	// Heartbeat is the interval between a leader's heartbeat rounds.
	Heartbeat time.Duration
	// Election is the minimum election timeout. Each timeout is chosen at random between
	// Election and 1.6 times Election.
	Election time.Duration
	// Lease is the duration of the leader lease, counted from the send time of a heartbeat
	// round that a majority answered. It must be shorter than Election by more than the
	// clocks can drift in that period.
	Lease time.Duration
}

// DefaultTiming returns timeouts for hosts with a network latency of a few milliseconds.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 200 * time.Millisecond, Election: 900 * time.Millisecond, Lease: 700 * time.Millisecond}
}

// FastFailoverTiming returns timeouts for small groups with a network latency of a few
// milliseconds whose requests wait for the next leader: a leader is elected within a
// second after a restart of all replicas.
func FastFailoverTiming() Timing {
	return Timing{Heartbeat: 100 * time.Millisecond, Election: 500 * time.Millisecond, Lease: 380 * time.Millisecond}
}

// StallTolerantTiming returns timeouts for groups whose leader is busy with other work.
// The leader keeps its lease through a stall of half a second, and a dead leader is
// replaced within 1.5 s.
func StallTolerantTiming() Timing {
	return Timing{Heartbeat: 100 * time.Millisecond, Election: 900 * time.Millisecond, Lease: 750 * time.Millisecond}
}

// Limits and delays of the protocol.
const (
	maxEntriesPerAppend = 256
	// maxBytesPerAppend bounds the data of an append with more than one entry, so that it
	// arrives well within an election timeout.
	maxBytesPerAppend = 256 << 10
	// maxRounds is the number of heartbeat rounds whose send times a leader keeps.
	maxRounds = 64
	// snapshotRetryRounds is the number of heartbeat rounds without progress after which a
	// snapshot is sent again: 2 s with a heartbeat of 100 ms.
	snapshotRetryRounds = 20
	// commitPersistDelay is how long a newer commit index may remain unpersisted. Entries
	// written within this time persist the index with them, which saves a separate sync.
	commitPersistDelay = 500 * time.Millisecond
	// jitterPercent is the maximum random addition to the election timeout, in percent of
	// Timing.Election. It is much longer than the delivery of a vote, so that two
	// replicas rarely become candidates at the same time.
	jitterPercent = 60
)

// Core is the deterministic replicated-log protocol (Ongaro and Ousterhout,
// "In Search of an Understandable Consensus Algorithm", 2014) with pre-vote,
// check-quorum and a leader lease. Core does no I/O: Step and Tick change its state, and
// Ready returns what must be persisted, sent and applied.
//
// A Core is not safe for concurrent use.
type Core struct {
	id     NodeID
	timing Timing
	rng    *rand.Rand
	log    *raftLog
	hard   HardState
	role   Role
	leader NodeID
	// commit is the highest index known to be committed, that is persisted by a majority;
	// it never decreases.
	commit uint64
	// applied is the highest index that the driver has applied; it never exceeds commit.
	applied uint64
	// stable is the highest index that this replica has persisted.
	stable uint64

	electionDue  time.Time
	heartbeatDue time.Time
	// lastLeaderContact is the time of the latest message from a leader, or of the start.
	// Votes are refused for Timing.Election after it; the safety of the lease depends on
	// this.
	lastLeaderContact time.Time
	// lastLeader is the leader that sent that message, zero after this replica has led itself.
	lastLeader NodeID
	// votes contains the replicas that granted their vote or pre-vote to this candidate.
	votes map[NodeID]bool
	// peers and round are valid on the leader only; round is the latest heartbeat round.
	peers map[NodeID]*progress
	round uint64
	// roundSentAt maps the latest maxRounds rounds to their send times.
	roundSentAt map[uint64]time.Time
	// termStart is the index of the no-op entry with which this leader's term began.
	termStart uint64

	// hardDirty is set while the hard state has changes to persist.
	hardDirty bool
	// persistedCommit is the commit index that was persisted last; commitPersistDue is
	// when a newer one must be persisted even if there are no entries to write.
	persistedCommit  uint64
	commitPersistDue time.Time
	// unpersistedFrom is the lowest index to persist, or zero if all entries are persisted.
	unpersistedFrom uint64
	// pendingSnapshot is a snapshot from the leader that Ready has not returned yet.
	pendingSnapshot *Snapshot
	// survey shows whether the log of a replica that has just started is complete.
	survey survey
	// out contains the messages that Ready has not returned yet.
	out []Message
}

// Persisted is the state that a replica reads from its disk at the start.
type Persisted struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// NewCore returns a follower that continues from the persisted state p. It refuses to vote
// for one election timeout after now, since it may have acknowledged a leader's heartbeat
// just before it stopped.
func NewCore(id NodeID, timing Timing, seed uint64, p Persisted, now time.Time) *Core {
	c := &Core{
		id: id, timing: timing, hard: p.Hard,
		rng:    rand.New(rand.NewPCG(seed, uint64(id))),
		log:    newLog(p.Snapshot, p.Entries),
		survey: survey{sentAt: map[uint64]time.Time{}, agreed: map[NodeID]uint64{}},
	}
	c.stable = c.log.lastIndex()
	c.commit = max(p.Snapshot.Index, min(p.Hard.Commit, c.log.lastIndex()))
	c.applied = p.Snapshot.Index
	c.persistedCommit = c.commit
	c.lastLeaderContact = now
	c.resetElectionTimer(now)
	return c
}

// Ready is work for the driver of a Core, to be done in this order: persist Snapshot, Hard
// and Entries; send Messages; apply Committed.
type Ready struct {
	// Hard is nil if the hard state has not changed.
	Hard *HardState
	// Entries replaces all stored entries at and after the index of the first one.
	Entries []Entry
	// Snapshot is a snapshot from the leader, which replaces the state machine.
	Snapshot  *Snapshot
	Messages  []Message
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Hard == nil && len(r.Entries) == 0 && r.Snapshot == nil && len(r.Messages) == 0 && len(r.Committed) == 0
}

// Ready returns the pending work. The driver must complete it and then call Advance with
// the same value.
func (c *Core) Ready() Ready {
	var r Ready
	if c.hardDirty || c.unpersistedFrom != 0 {
		h := c.hard
		h.Commit = c.commit
		c.persistedCommit = c.commit
		r.Hard = &h
		c.hardDirty = false
	}
	r.Snapshot, c.pendingSnapshot = c.pendingSnapshot, nil
	if c.unpersistedFrom != 0 {
		r.Entries = c.log.slice(c.unpersistedFrom, len(c.log.entries))
		c.unpersistedFrom = 0
	}
	r.Messages, c.out = c.out, nil
	if c.commit > c.applied && r.Snapshot == nil {
		r.Committed = c.log.slice(c.applied+1, int(c.commit-c.applied))
	}
	return r
}

// Advance records that the driver has completed r.
func (c *Core) Advance(r Ready) {
	if r.Snapshot != nil {
		c.applied = max(c.applied, r.Snapshot.Index)
		c.stable = max(c.stable, r.Snapshot.Index)
	}
	if n := len(r.Entries); n > 0 {
		c.stable = r.Entries[n-1].Index
	}
	if n := len(r.Committed); n > 0 {
		c.applied = r.Committed[n-1].Index
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact removes the entries up to index from the log and returns the snapshot that
// replaces them. data must be the encoded state machine at index, which must be applied.
func (c *Core) Compact(index uint64, data []byte) Snapshot {
	term, _ := c.log.term(index)
	snap := Snapshot{Index: index, Term: term, Members: c.log.membersAtIndex(index)}
	c.log.compact(snap)
	snap.Data = data
	return snap
}

// snapshotAt returns the description of a snapshot at an applied index. It contains no
// data: the data is as large as the state, so the driver encodes it only for messages
// that are sent.
func (c *Core) snapshotAt(index uint64) Snapshot {
	term, _ := c.log.term(index)
	return Snapshot{Index: index, Term: term, Members: c.log.membersAtIndex(index)}
}

// Bootstrap starts a new group: it appends the initial membership to an empty log.
func (c *Core) Bootstrap(members Members) error {
	if c.log.lastIndex() > 0 || c.hard.Term > 0 {
		return &MembershipError{Reason: "cannot bootstrap a replica whose log is not empty"}
	}
	c.setHard(HardState{Term: 1})
	c.append(Entry{Index: 1, Term: 1, Kind: EntryMembers, Data: members.Encode()})
	return nil
}

// Tick advances the time to now. It sends due heartbeats and starts a due election.
func (c *Core) Tick(now time.Time) {
	c.tickCommit(now)
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	c.tickSurvey(now)
	if now.Before(c.electionDue) {
		return
	}
	c.resetElectionTimer(now)
	if c.log.latestMembers().IsVoter(c.id) {
		c.campaign(PreCandidate, now)
	}
}

// tickCommit requests that a commit index is persisted that has been ahead of the disk for
// commitPersistDelay, so that a replica can apply its log up to there after a restart.
func (c *Core) tickCommit(now time.Time) {
	switch {
	case c.commit == c.persistedCommit:
		c.commitPersistDue = time.Time{}
	case c.commitPersistDue.IsZero():
		c.commitPersistDue = now.Add(commitPersistDelay)
	case !now.Before(c.commitPersistDue):
		c.hardDirty = true
		c.commitPersistDue = time.Time{}
	}
}

func (c *Core) tickLeader(now time.Time) {
	if !c.quorumActive(now) {
		c.becomeFollower(c.hard.Term, 0, now)
		return
	}
	if !now.Before(c.heartbeatDue) {
		c.broadcast(now)
	}
}

// Propose appends an entry if this replica leads, and returns its index and term.
func (c *Core) Propose(kind EntryKind, data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, &NotLeaderError{Leader: c.leader, Addr: c.addr(c.leader)}
	}
	e := Entry{Index: c.log.lastIndex() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	c.append(e)
	return e.Index, e.Term, nil
}

// ProposeMembers appends a new membership. At most one voter may change at a time, and only
// after the previous change and an entry of this leader's term are committed.
func (c *Core) ProposeMembers(m Members) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, &NotLeaderError{Leader: c.leader, Addr: c.addr(c.leader)}
	}
	if c.log.latestMembersIndex() > c.commit || c.commit < c.termStart {
		return 0, 0, &MembershipError{Reason: "an earlier membership change, or the first entry of this term, is not committed yet"}
	}
	if votersChanged(c.log.latestMembers(), m) > 1 {
		return 0, 0, &MembershipError{Reason: "more than one voter would change"}
	}
	if len(m.Voters()) == 0 {
		return 0, 0, &MembershipError{Reason: "no voter would remain"}
	}
	return c.Propose(EntryMembers, m.Encode())
}

// Flush sends new entries to the peers without waiting for the next heartbeat.
func (c *Core) Flush(now time.Time) {
	if c.role != Leader {
		return
	}
	for id, p := range c.peers {
		if p.next <= c.log.lastIndex() {
			c.sendAppend(id, p)
		}
	}
	c.advanceCommit()
}

// Step processes one received message.
func (c *Core) Step(m Message, now time.Time) {
	switch m.Kind {
	case MsgSurvey:
		c.stepSurvey(m)
		return
	case MsgSurveyReply:
		c.stepSurveyReply(m)
		return
	}
	if c.refusesVote(m, now) {
		return
	}
	if m.Term > c.hard.Term && m.Kind != MsgPreVote && (m.Kind != MsgPreVoteReply || m.Reject) {
		c.becomeFollower(m.Term, 0, now)
	}
	if m.Term < c.hard.Term {
		c.rejectStale(m)
		return
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		c.stepVote(m, now)
	case MsgPreVoteReply, MsgVoteReply:
		c.stepVoteReply(m, now)
	case MsgAppend:
		c.stepAppend(m, now)
	case MsgSnapshot:
		c.stepSnapshot(m, now)
	case MsgAppendReply:
		c.stepAppendReply(m, now)
	}
}

// rejectStale rejects a message of an older term, so that its sender learns the current
// term.
func (c *Core) rejectStale(m Message) {
	switch m.Kind {
	case MsgAppend, MsgSnapshot:
		c.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		c.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

func (c *Core) setHard(h HardState) {
	c.hard = h
	c.hardDirty = true
}

func (c *Core) send(m Message) {
	m.From = c.id
	m.Term = c.hard.Term
	c.out = append(c.out, m)
}

func (c *Core) addr(id NodeID) string {
	m, _ := c.log.latestMembers().Find(id)
	return m.Addr
}
