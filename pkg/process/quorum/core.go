package quorum

import (
	"math/rand/v2"
	"slices"
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
	// between Election and twice Election.
	Election time.Duration
	// Lease counts from the send time of a round that a majority answered. It
	// must stay below Election by more than the clocks drift in that period.
	Lease time.Duration
}

// DefaultTiming suits hosts that are a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 200 * time.Millisecond, Election: 900 * time.Millisecond, Lease: 700 * time.Millisecond}
}

// Limits on one message and on the rounds that a leader remembers.
const (
	maxEntriesPerAppend = 256
	maxRounds           = 64
)

// progress is what a leader knows of one peer.
type progress struct {
	// match is the highest index known to be on the peer's disk.
	match uint64
	// next is the next index to send.
	next uint64
	// round is the latest round that the peer answered.
	round uint64
	// heard is the arrival time of the peer's latest answer.
	heard time.Time
}

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
	// leaderHeard is the time of the latest word from a leader; votes are
	// refused for Timing.Election after it, which is what makes a lease safe.
	leaderHeard time.Time
	votes       map[NodeID]bool
	peers       map[NodeID]*progress
	round       uint64
	// roundSent maps the latest rounds to their send times.
	roundSent map[uint64]time.Time
	// termStart is the index of the no-op that opened this leader's term.
	termStart uint64

	hardDirty  bool
	persistLow uint64 // lowest index to persist, or zero
	snapDirty  *Snapshot
	out        []Message
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
	c.commit = p.Snapshot.Index
	c.applied = p.Snapshot.Index
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
	if c.hardDirty {
		h := c.hard
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
	snap := Snapshot{Index: index, Term: term, Members: c.log.membersAtIndex(index), Data: data}
	c.log.compact(snap)
	return snap
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

func (c *Core) tickLeader(now time.Time) {
	if !c.quorumHeard(now) {
		c.becomeFollower(c.hard.Term, 0, now)
		return
	}
	if !now.Before(c.heartbeatDue) {
		c.broadcast(now)
	}
}

// quorumHeard is check-quorum: a leader that lost its majority steps down.
func (c *Core) quorumHeard(now time.Time) bool {
	n := 0
	for _, id := range c.log.current().Voters() {
		p := c.peers[id]
		if id == c.id || (p != nil && now.Sub(p.heard) < c.timing.Election*2) {
			n++
		}
	}
	return n >= c.log.current().Quorum()
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

// refusesVote ignores candidates while a leader may still hold its lease.
func (c *Core) refusesVote(m Message, now time.Time) bool {
	if m.Kind != MsgPreVote && m.Kind != MsgVote {
		return false
	}
	return c.role == Leader || now.Sub(c.leaderHeard) < c.timing.Election
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

func (c *Core) stepVote(m Message, now time.Time) {
	fresh := c.log.upToDate(m.LogIndex, m.LogTerm)
	if m.Kind == MsgPreVote {
		if fresh && m.Term > c.hard.Term {
			c.out = append(c.out, Message{Kind: MsgPreVoteReply, From: c.id, To: m.From, Term: m.Term})
			return
		}
		// The refusal carries this term, so that a candidate with the longer
		// log but the older term can catch up and win.
		c.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
		return
	}
	free := c.hard.Vote == 0 || c.hard.Vote == m.From
	if !fresh || !free || c.leader != 0 {
		c.send(Message{Kind: MsgVoteReply, To: m.From, Reject: true})
		return
	}
	c.setHard(HardState{Term: c.hard.Term, Vote: m.From})
	c.resetElection(now)
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
	for _, id := range c.log.current().Voters() {
		if c.votes[id] {
			n++
		}
	}
	if n < c.log.current().Quorum() {
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
		kind = MsgVote
		c.setHard(HardState{Term: term, Vote: c.id})
	}
	for _, id := range c.log.current().Voters() {
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
		c.resetElection(now)
	}
	c.role = Follower
	c.leader = leader
}

func (c *Core) becomeLeader(now time.Time) {
	c.role = Leader
	c.leader = c.id
	c.round = 0
	c.roundSent = map[uint64]time.Time{}
	c.peers = map[NodeID]*progress{}
	c.syncPeers(now)
	c.termStart = c.log.lastIndex() + 1
	c.append(Entry{Index: c.termStart, Term: c.hard.Term, Kind: EntryNoop})
	c.broadcast(now)
}

// syncPeers makes the progress table follow the membership.
func (c *Core) syncPeers(now time.Time) {
	current := c.log.current()
	for id := range c.peers {
		if _, ok := current.Find(id); !ok {
			delete(c.peers, id)
		}
	}
	for _, m := range current {
		if m.ID != c.id && c.peers[m.ID] == nil {
			c.peers[m.ID] = &progress{next: c.log.lastIndex() + 1, heard: now}
		}
	}
}

// broadcast opens a new round and sends it to every peer.
func (c *Core) broadcast(now time.Time) {
	c.syncPeers(now)
	c.heartbeatDue = now.Add(c.timing.Heartbeat)
	c.round++
	c.roundSent[c.round] = now
	delete(c.roundSent, c.round-maxRounds)
	for id, p := range c.peers {
		c.sendAppend(id, p)
	}
	c.advanceCommit()
}

func (c *Core) sendAppend(to NodeID, p *progress) {
	prev := p.next - 1
	term, ok := c.log.term(prev)
	if !ok {
		snap := c.log.snap
		c.send(Message{Kind: MsgSnapshot, To: to, Round: c.round, Snapshot: &snap})
		p.next = snap.Index + 1
		return
	}
	entries := c.log.slice(p.next, maxEntriesPerAppend)
	c.send(Message{Kind: MsgAppend, To: to, LogIndex: prev, LogTerm: term,
		Entries: entries, Commit: c.commit, Round: c.round})
	p.next += uint64(len(entries))
}

func (c *Core) stepAppend(m Message, now time.Time) {
	c.follow(m, now)
	if m.LogIndex < c.commit {
		c.send(Message{Kind: MsgAppendReply, To: m.From, LogIndex: c.commit, Round: m.Round})
		return
	}
	if t, ok := c.log.term(m.LogIndex); !ok || t != m.LogTerm {
		hint := min(m.LogIndex-1, c.log.lastIndex())
		c.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, LogIndex: hint, Round: m.Round})
		return
	}
	for _, e := range m.Entries {
		c.appendMissing(e)
	}
	last := m.LogIndex + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, last))
	c.send(Message{Kind: MsgAppendReply, To: m.From, LogIndex: last, Round: m.Round})
}

func (c *Core) follow(m Message, now time.Time) {
	c.becomeFollower(m.Term, m.From, now)
	c.leaderHeard = now
	c.resetElection(now)
}

// appendMissing adds e unless the log holds it; a conflict drops the tail.
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
	if c.persistLow == 0 || e.Index < c.persistLow {
		c.persistLow = e.Index
	}
}

func (c *Core) stepSnapshot(m Message, now time.Time) {
	c.follow(m, now)
	snap := m.Snapshot
	if snap.Index > c.commit {
		c.log.compact(*snap)
		c.commit = snap.Index
		c.snapDirty = snap
		c.persistLow = 0
		if c.log.lastIndex() > snap.Index {
			c.persistLow = snap.Index + 1
		}
	}
	c.send(Message{Kind: MsgAppendReply, To: m.From, LogIndex: c.commit, Round: m.Round})
}

func (c *Core) stepAppendReply(m Message, now time.Time) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.heard = now
	p.round = max(p.round, m.Round)
	if m.Reject {
		p.next = max(p.match+1, min(p.next, m.LogIndex+1))
		return
	}
	p.match = max(p.match, m.LogIndex)
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if p.next <= c.log.lastIndex() {
		c.sendAppend(m.From, p)
	}
}

// advanceCommit commits what a majority of the voters has persisted.
func (c *Core) advanceCommit() {
	var match []uint64
	for _, id := range c.log.current().Voters() {
		match = append(match, c.matchOf(id))
	}
	index := nthHighest(match, c.log.current().Quorum())
	if term, ok := c.log.term(index); ok && term == c.hard.Term && index > c.commit {
		c.commit = index
		if !c.log.current().Voter(c.id) && c.log.currentIndex() <= c.commit {
			c.role, c.leader = Follower, 0
		}
	}
}

func (c *Core) matchOf(id NodeID) uint64 {
	if id == c.id {
		return c.stable
	}
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// LeaseStart returns the send time from which a majority has followed this
// leader; ok is false if there is none.
func (c *Core) LeaseStart(now time.Time) (start time.Time, ok bool) {
	if c.role != Leader {
		return time.Time{}, false
	}
	var rounds []uint64
	for _, id := range c.log.current().Voters() {
		if id == c.id {
			rounds = append(rounds, c.round)
		} else if p := c.peers[id]; p != nil {
			rounds = append(rounds, p.round)
		}
	}
	start, ok = c.roundSent[nthHighest(rounds, c.log.current().Quorum())]
	if len(c.log.current().Voters()) == 1 {
		return now, true
	}
	return start, ok
}

// LeaseUntil returns the end of the leader lease; ok is false without one.
func (c *Core) LeaseUntil(now time.Time) (until time.Time, ok bool) {
	start, ok := c.LeaseStart(now)
	if !ok || c.applied < c.termStart {
		return time.Time{}, false
	}
	until = start.Add(c.timing.Lease)
	return until, now.Before(until)
}

func (c *Core) resetElection(now time.Time) {
	jitter := time.Duration(c.rng.Int64N(int64(c.timing.Election)))
	c.electionDue = now.Add(c.timing.Election + jitter)
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

// nthHighest returns the n-th highest value, or zero.
func nthHighest(values []uint64, n int) uint64 {
	if len(values) < n {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-n]
}
