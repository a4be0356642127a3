package quorum

import (
	"math/rand/v2"
	"time"
)

// Role is the part that a replica plays in its term.
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

// Timing holds the periods of the protocol.
type Timing struct {
	Heartbeat time.Duration
	// Election is the shortest election timeout; a replica draws its timeout
	// between Election and 1.6 times Election.
	Election time.Duration
	// Lease counts from the send time of a round that a majority answered. It
	// must stay below Election by more than the clocks drift in that period.
	Lease time.Duration
}

// DefaultTiming suits hosts that are a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 200 * time.Millisecond, Election: 900 * time.Millisecond, Lease: 700 * time.Millisecond}
}

// QuickTiming suits small groups whose hosts are a few milliseconds apart and
// whose requests wait for the next leader: after a restart of all replicas a
// leader is there within a second.
func QuickTiming() Timing {
	return Timing{Heartbeat: 100 * time.Millisecond, Election: 500 * time.Millisecond, Lease: 380 * time.Millisecond}
}

// SteadyTiming suits groups whose leader has much other work: it keeps its lease
// over a stall of half a second, and a dead leader is replaced within 1.5 s.
func SteadyTiming() Timing {
	return Timing{Heartbeat: 100 * time.Millisecond, Election: 900 * time.Millisecond, Lease: 750 * time.Millisecond}
}

// Limits on one message and on the rounds that a leader remembers.
const (
	maxEntriesPerAppend = 256
	maxRounds           = 64
	// snapshotRounds is the heartbeat rounds for which a snapshot may be under
	// way before it is sent again: 2 s with a heartbeat of 100 ms.
	snapshotRounds = 20
	// commitPause is how long the commit index may be ahead of the disk: entries
	// that follow within it carry the index without a sync of its own.
	commitPause = 500 * time.Millisecond
	// jitterPercent spreads the election timeouts: far more than the way of a
	// vote, so that two candidates seldom meet.
	jitterPercent = 60
)

// Core is the deterministic replicated-log protocol (Ongaro and Ousterhout,
// "In Search of an Understandable Consensus Algorithm", 2014) with pre-vote,
// check-quorum and a leader lease. Core does no input or output: Step and Tick
// change it, and Ready hands out what must be persisted, sent and applied.
//
// Core is not safe for concurrent use.
type Core struct {
	id     NodeID
	timing Timing
	rng    *rand.Rand
	log    *raftLog
	hard   HardState
	role   Role
	leader NodeID
	// commit never decreases and never passes what a majority has persisted.
	commit uint64
	// applied never passes commit.
	applied uint64
	// stable is the highest index that this replica has persisted.
	stable uint64

	electionDue  time.Time
	heartbeatDue time.Time
	// leaderHeard is the time of the latest message from a leader; votes are
	// refused for Timing.Election after it, which is what makes a lease safe.
	leaderHeard time.Time
	votes       map[NodeID]bool
	peers       map[NodeID]*progress
	round       uint64
	// roundSent maps the latest rounds to their send times.
	roundSent map[uint64]time.Time
	// termStart is the index of the no-op that opened this leader's term.
	termStart uint64

	hardDirty bool
	// savedCommit is the commit index that was persisted last, commitDue when a
	// newer one is persisted without entries.
	savedCommit uint64
	commitDue   time.Time
	persistLow  uint64 // lowest index to persist, or zero
	snapDirty   *Snapshot
	out         []Message
}

// Persisted is the state that a replica finds on its disk.
type Persisted struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// NewCore returns a follower that continues from the persisted state. It
// refuses to vote for one election timeout after now.
func NewCore(id NodeID, timing Timing, seed uint64, p Persisted, now time.Time) *Core {
	c := &Core{
		id: id, timing: timing, hard: p.Hard,
		rng: rand.New(rand.NewPCG(seed, uint64(id))),
		log: newLog(p.Snapshot, p.Entries),
	}
	c.stable = c.log.lastIndex()
	c.commit = max(p.Snapshot.Index, min(p.Hard.Commit, c.log.lastIndex()))
	c.applied = p.Snapshot.Index
	c.savedCommit = c.commit
	c.leaderHeard = now
	c.resetElection(now)
	return c
}

// Ready is the work that Core asks of its driver, in this order: persist
// Snapshot, Hard and Entries; send Messages; apply Committed.
type Ready struct {
	// Hard is nil when it has not changed.
	Hard *HardState
	// Entries replace everything on disk from their first index on.
	Entries []Entry
	// Snapshot was received from the leader and replaces the state machine.
	Snapshot  *Snapshot
	Messages  []Message
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Hard == nil && len(r.Entries) == 0 && r.Snapshot == nil && len(r.Messages) == 0 && len(r.Committed) == 0
}

// Ready takes the pending work. The driver must carry it out and then call
// Advance with the same value.
func (c *Core) Ready() Ready {
	var r Ready
	if c.hardDirty || c.persistLow != 0 {
		h := c.hard
		h.Commit = c.commit
		c.savedCommit = c.commit
		r.Hard = &h
		c.hardDirty = false
	}
	r.Snapshot, c.snapDirty = c.snapDirty, nil
	if c.persistLow != 0 {
		r.Entries = c.log.slice(c.persistLow, len(c.log.entries))
		c.persistLow = 0
	}
	r.Messages, c.out = c.out, nil
	if c.commit > c.applied && r.Snapshot == nil {
		r.Committed = c.log.slice(c.applied+1, int(c.commit-c.applied))
	}
	return r
}

// Advance reports that r was carried out.
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

// Compact drops the entries that snap covers. snap must have been made from
// the state machine at an applied index.
func (c *Core) Compact(index uint64, data []byte) Snapshot {
	term, _ := c.log.term(index)
	snap := Snapshot{Index: index, Term: term, Members: c.log.membersAtIndex(index)}
	c.log.compact(snap)
	snap.Data = data
	return snap
}

// snapshotAt describes the state at an applied index. The data is missing: it
// is as large as the state, so it is made when a message needs it.
func (c *Core) snapshotAt(index uint64) Snapshot {
	term, _ := c.log.term(index)
	return Snapshot{Index: index, Term: term, Members: c.log.membersAtIndex(index)}
}

// Form writes the first entry of a new group into an empty log.
func (c *Core) Form(members Members) error {
	if c.log.lastIndex() > 0 || c.hard.Term > 0 {
		return &MembershipError{Reason: "the log is not empty"}
	}
	c.setHard(HardState{Term: 1})
	c.append(Entry{Index: 1, Term: 1, Kind: EntryMembers, Data: members.Encode()})
	return nil
}

// Tick lets time pass up to now.
func (c *Core) Tick(now time.Time) {
	c.tickCommit(now)
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionDue) {
		return
	}
	c.resetElection(now)
	if c.log.current().Voter(c.id) {
		c.campaign(PreCandidate, now)
	}
}

// tickCommit persists the commit index some time after it has grown, so that a
// replica which starts again applies all that it could.
func (c *Core) tickCommit(now time.Time) {
	switch {
	case c.commit == c.savedCommit:
		c.commitDue = time.Time{}
	case c.commitDue.IsZero():
		c.commitDue = now.Add(commitPause)
	case !now.Before(c.commitDue):
		c.hardDirty = true
		c.commitDue = time.Time{}
	}
}

func (c *Core) tickLeader(now time.Time) {
	if !c.quorumHeard(now) {
		c.becomeFollower(c.hard.Term, 0, now)
		return
	}
	if !now.Before(c.heartbeatDue) {
		c.broadcast(now)
	}
}

// Propose appends data if this replica leads, and returns its position.
func (c *Core) Propose(kind EntryKind, data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, &NotLeaderError{Leader: c.leader, Addr: c.addr(c.leader)}
	}
	e := Entry{Index: c.log.lastIndex() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	c.append(e)
	return e.Index, e.Term, nil
}

// ProposeMembers appends a new membership. Only one voter may change at a
// time, and only after the former change is committed in this term.
func (c *Core) ProposeMembers(m Members) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, &NotLeaderError{Leader: c.leader, Addr: c.addr(c.leader)}
	}
	if c.log.currentIndex() > c.commit || c.commit < c.termStart {
		return 0, 0, &MembershipError{Reason: "an earlier change is not committed yet"}
	}
	if votersChanged(c.log.current(), m) > 1 {
		return 0, 0, &MembershipError{Reason: "more than one voter changes"}
	}
	if len(m.Voters()) == 0 {
		return 0, 0, &MembershipError{Reason: "no voter is left"}
	}
	return c.Propose(EntryMembers, m.Encode())
}

// Flush sends what was proposed without waiting for the next heartbeat.
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

// Step takes in one message.
func (c *Core) Step(m Message, now time.Time) {
	if c.refusesVote(m, now) {
		return
	}
	if m.Term > c.hard.Term && m.Kind != MsgPreVote && (m.Kind != MsgPreVoteReply || m.Reject) {
		c.becomeFollower(m.Term, 0, now)
	}
	if m.Term < c.hard.Term {
		c.answerStale(m)
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

// answerStale tells the sender of an old term what the term is now.
func (c *Core) answerStale(m Message) {
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
	m, _ := c.log.current().Find(id)
	return m.Addr
}
