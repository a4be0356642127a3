package quorum

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// Config contains the settings of a Node and the functions through which it uses the disk,
// the transport and the state machine. Functions are called by NewNode or on the node's
// goroutine unless stated otherwise.
type Config struct {
	ID     NodeID
	Timing Timing
	// Seed is the seed of the random election timeouts.
	Seed uint64
	// Persisted is the state on disk from which the node continues.
	Persisted Persisted
	// Persist writes Snapshot, Hard and Entries and returns after they are synced. An
	// error stops the node permanently.
	Persist func(Ready) error
	// Send passes messages to the transport. It must not block.
	Send func([]Message)
	// Apply applies one committed command. The result is returned to the proposer.
	Apply func(index uint64, data []byte) any
	// Save returns the encoded state machine.
	Save func() []byte
	// Restore replaces the state machine by the encoded one in r.
	Restore func(r io.Reader) error
	// SaveSnapshot stores a snapshot that replaces the log up to its index.
	SaveSnapshot func(Snapshot) error
	// Freeze captures the state machine as it is now and returns a function that encodes it
	// to a writer. The function runs on another goroutine while further commands are
	// applied. If Freeze is nil, snapshots are made with Save.
	Freeze func() (write func(io.Writer) error)
	// SendSnapshot sends a snapshot message in chunks on another goroutine; write writes
	// the message's data. Progress is reported with ReportSnapshotProgress. SendSnapshot
	// needs Freeze. If it is nil, a snapshot is sent as one message.
	SendSnapshot func(m Message, write func(io.Writer) error)
	// WriteSnapshot stores a snapshot captured with Freeze; write writes its data. It runs
	// on another goroutine, concurrently with Persist.
	WriteSnapshot func(s Snapshot, write func(io.Writer) error) error
	// Trim removes the stored log up to index after WriteSnapshot has succeeded.
	Trim func(index uint64) error
	// SnapshotFailed is called with an error of WriteSnapshot, which is then retried. If it
	// is nil, the error stops the node.
	SnapshotFailed func(error)
	// SnapshotEvery is the number of applied entries after which a snapshot is made; zero
	// disables this limit.
	SnapshotEvery uint64
	// Suspended returns the total time for which the machine has been suspended; nil means
	// never. It may be called on any goroutine.
	Suspended func() time.Duration
	// Survey makes the node ask the other voters after its start where their logs end, which Settled needs.
	Survey bool
	// SnapshotBytes is the size of the applied entries after which a snapshot is made; zero
	// disables this limit.
	SnapshotBytes int
	// Changed is called by NewNode, and when the role, the term or the leader changes. It
	// may be nil.
	Changed func(Status)
}

// Status is an immutable copy of a node's state.
type Status struct {
	ID         NodeID
	Role       Role
	Term       uint64
	Leader     NodeID
	LeaderAddr string
	// Commit, Applied and LastIndex are the highest index that is committed, applied and
	// in the log.
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// Members is the latest membership, committed or not.
	Members Members
	// LeaseUntil is the end of the leader lease, or zero if this node has no valid lease.
	LeaseUntil time.Time
	// Match is the highest index known to be persisted by each peer, on the leader only.
	Match map[NodeID]uint64
	// LastContact is the time of each peer's latest answer, on the leader only. For a
	// peer that has not answered yet, it is the time at which it became a peer of this
	// leader, and for the leader before that of its latest message.
	LastContact map[NodeID]time.Time
}

// Node drives a Core with a clock, a disk and a transport. The goroutine of Run, called the
// node's goroutine, owns all state; Do runs functions on it.
type Node struct {
	cfg   Config
	core  *Core
	inbox chan Message
	// calls contains functions to run on the node's goroutine.
	calls  chan func()
	status atomic.Pointer[Status]
	// pending contains the proposals that are not applied yet, by index.
	pending map[uint64]pendingProposal
	// done is closed when Run returns.
	done chan struct{}
	// snapshotIndex is the index of the latest stored snapshot.
	snapshotIndex uint64
	// bytesSinceSnapshot is the size of the entries applied since the last snapshot.
	bytesSinceSnapshot int
	// writingSnapshot is set while another goroutine writes a snapshot, whose result it
	// sends to snapshotResults.
	writingSnapshot bool
	snapshotResults chan snapshotResult
	// nextSnapshotTime is the earliest time of the next snapshot after one has failed.
	nextSnapshotTime time.Time
	// suspendedTime is the last result of Config.Suspended.
	suspendedTime atomic.Int64
}

// pendingProposal is a proposal that is not applied yet.
type pendingProposal struct {
	term uint64
	done func(result any, err error)
}

// Sizes and intervals of the driver.
const (
	inboxSize = 4096
	callsSize = 1024
	// maxBatch is the maximum number of queued messages or calls to run before the
	// resulting work is processed.
	maxBatch     = 512
	tickInterval = 50 * time.Millisecond
	// snapshotRetryDelay is the delay before a failed snapshot is retried.
	snapshotRetryDelay = 2 * time.Second
	// minSuspension is the shortest suspension that ends a leadership. It must be shorter
	// than the difference between the election timeout and the lease.
	minSuspension = 100 * time.Millisecond
)

// NewNode restores the state machine from the stored snapshot and returns a node, which
// Run starts.
func NewNode(cfg Config) (*Node, error) {
	if err := restore(cfg, &cfg.Persisted.Snapshot); err != nil {
		return nil, err
	}
	cfg.Persisted.Snapshot.Data, cfg.Persisted.Snapshot.Staged = nil, nil
	if cfg.Suspended == nil {
		cfg.Suspended = func() time.Duration { return 0 }
	}
	n := &Node{
		cfg:             cfg,
		core:            NewCore(cfg.ID, cfg.Timing, cfg.Seed, cfg.Persisted, time.Now()),
		inbox:           make(chan Message, inboxSize),
		calls:           make(chan func(), callsSize),
		pending:         map[uint64]pendingProposal{},
		done:            make(chan struct{}),
		snapshotResults: make(chan snapshotResult, 1),
		snapshotIndex:   cfg.Persisted.Snapshot.Index,
	}
	n.core.survey.over = !cfg.Survey
	n.cfg.Persisted = Persisted{} // the core owns the entries and releases them on compaction
	n.suspendedTime.Store(int64(cfg.Suspended()))
	n.publishStatus()
	return n, nil
}

// Run drives the node until ctx ends, the disk fails or a snapshot cannot be restored.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	defer n.failPending("the replica is stopping")
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.checkSuspension()
			n.core.Tick(time.Now())
		case m := <-n.inbox:
			n.step(m)
			n.drainInbox()
		case f := <-n.calls:
			f()
			n.drainCalls()
		case x := <-n.snapshotResults:
			if err := n.finishSnapshot(x); err != nil {
				return err
			}
		}
		if err := n.process(); err != nil {
			return err
		}
	}
}

// checkSuspension steps down if the machine was suspended: the lease is measured with the
// monotonic clock, which stops during a suspension, so it may have expired unnoticed.
func (n *Node) checkSuspension() {
	if !n.wasSuspended() {
		return
	}
	n.suspendedTime.Store(int64(n.cfg.Suspended()))
	if n.core.role == Leader {
		n.core.becomeFollower(n.core.hard.Term, 0, time.Now())
	}
}

// wasSuspended reports whether the machine was suspended since the last call of
// checkSuspension.
func (n *Node) wasSuspended() bool {
	d := n.cfg.Suspended() - time.Duration(n.suspendedTime.Load())
	return d > minSuspension || d < -minSuspension
}

// step passes one message to the core. A staged snapshot that the core does not use is
// discarded.
func (n *Node) step(m Message) {
	n.core.Step(m, time.Now())
	if m.Snapshot != nil && m.Snapshot.Staged != nil && n.core.pendingSnapshot != m.Snapshot {
		m.Snapshot.Staged.Discard()
	}
}

func (n *Node) drainInbox() {
	for range maxBatch {
		select {
		case m := <-n.inbox:
			n.step(m)
		default:
			return
		}
	}
}

func (n *Node) drainCalls() {
	for range maxBatch {
		select {
		case f := <-n.calls:
			f()
		default:
			return
		}
	}
}

// process completes all pending work of the core.
func (n *Node) process() error {
	n.core.Flush(time.Now())
	for {
		r := n.core.Ready()
		if r.Empty() {
			break
		}
		if err := n.handleReady(r); err != nil {
			return err
		}
		n.core.Advance(r)
	}
	n.failPendingUnlessLeader()
	n.publishStatus()
	return n.maybeSnapshot()
}

func (n *Node) handleReady(r Ready) error {
	if r.Hard != nil || len(r.Entries) > 0 || r.Snapshot != nil {
		if err := n.cfg.Persist(r); err != nil {
			return err
		}
	}
	if r.Snapshot != nil {
		n.snapshotIndex = r.Snapshot.Index
		if err := restore(n.cfg, r.Snapshot); err != nil {
			return err
		}
	}
	if len(r.Messages) > 0 {
		n.cfg.Send(n.attachSnapshots(r.Messages))
	}
	for _, e := range r.Committed {
		n.apply(e)
	}
	return nil
}

func (n *Node) apply(e Entry) {
	var result any
	n.bytesSinceSnapshot += len(e.Data)
	if e.Kind == EntryCommand {
		result = n.cfg.Apply(e.Index, e.Data)
	}
	w, ok := n.pending[e.Index]
	if !ok {
		return
	}
	delete(n.pending, e.Index)
	if w.term != e.Term {
		w.done(nil, &UnknownOutcomeError{Reason: "an entry of another term replaced it in the log"})
		return
	}
	w.done(result, nil)
}

// failPendingUnlessLeader fails the pending proposals if this node does not lead.
func (n *Node) failPendingUnlessLeader() {
	if n.core.role == Leader {
		return
	}
	n.failPending("leadership was lost")
}

func (n *Node) failPending(reason string) {
	for i, w := range n.pending {
		delete(n.pending, i)
		w.done(nil, &UnknownOutcomeError{Reason: reason})
	}
}

func (n *Node) publishStatus() {
	c := n.core
	s := Status{ID: c.id, Role: c.role, Term: c.hard.Term, Leader: c.leader, LeaderAddr: c.addr(c.leader),
		Commit: c.commit, Applied: c.applied, LastIndex: c.log.lastIndex(), Members: c.log.latestMembers()}
	if until, ok := c.LeaseUntil(time.Now()); ok {
		s.LeaseUntil = until
	}
	if c.role == Leader {
		s.Match = map[NodeID]uint64{}
		s.LastContact = map[NodeID]time.Time{}
		for id, p := range c.peers {
			s.Match[id] = p.match
			s.LastContact[id] = p.lastContact
		}
	}
	old := n.status.Swap(&s)
	if n.cfg.Changed != nil && (old == nil || old.Role != s.Role || old.Term != s.Term || old.Leader != s.Leader) {
		n.cfg.Changed(s)
	}
}

// Status returns the latest state of the node. It may be called on any goroutine.
func (n *Node) Status() Status { return *n.status.Load() }

// HoldsLease reports in ok whether this node leads with a valid lease, in which term, and
// how much of the lease is left. It may be called on any goroutine.
func (n *Node) HoldsLease() (term uint64, remaining time.Duration, ok bool) {
	s := n.status.Load()
	remaining = time.Until(s.LeaseUntil)
	return s.Term, remaining, s.Role == Leader && remaining > 0 && !n.wasSuspended()
}

// Deliver queues a message from the transport. If the queue is full, the message is
// dropped.
func (n *Node) Deliver(m Message) {
	select {
	case n.inbox <- m:
	default:
		if m.Snapshot != nil && m.Snapshot.Staged != nil {
			m.Snapshot.Staged.Discard()
		}
	}
}
