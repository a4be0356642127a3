package quorum

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// Config holds what a Node needs. Function fields are its seams.
type Config struct {
	ID     NodeID
	Timing Timing
	// Seed makes the election timeouts repeatable.
	Seed      uint64
	Persisted Persisted
	// Persist must return only after the data is synced. After an error the
	// node stops for good.
	Persist func(Ready) error
	// Send hands messages to the transport. It must not block.
	Send func([]Message)
	// Apply runs one committed command. Its result goes to the proposer.
	Apply func(index uint64, data []byte) any
	// Save encodes the state machine.
	Save func() []byte
	// Restore replaces the state machine.
	Restore func(r io.Reader) error
	// SaveSnapshot stores a snapshot that replaces the log up to its index.
	SaveSnapshot func(Snapshot) error
	// Freeze returns what writes the state as it is now; another goroutine calls
	// it while commands go on. It may be nil; then Save is used on the node's
	// goroutine.
	Freeze func() (write func(io.Writer) error)
	// SendState sends a snapshot message whose data write writes, bit by bit, on
	// another goroutine. It reports with StateSent. It may be nil; then the state
	// goes as one message.
	SendState func(m Message, write func(io.Writer) error)
	// WriteSnapshot stores a frozen snapshot, whose data write writes. It runs on
	// another goroutine than Persist. Trim then drops the log that it replaces.
	WriteSnapshot func(s Snapshot, write func(io.Writer) error) error
	Trim          func(index uint64) error
	// SnapshotFailed hears of a frozen snapshot that could not be stored; it is
	// tried again. It may be nil; then the failure stops the node.
	SnapshotFailed func(error)
	// SnapshotEvery is the number of applied entries between two snapshots.
	SnapshotEvery uint64
	// Suspended returns how long the machine has been suspended in all; nil
	// means never.
	Suspended func() time.Duration
	// SnapshotBytes is the size of the applied commands between two snapshots;
	// zero means that only their number counts.
	SnapshotBytes int
	// Changed is called on the node's goroutine when the role, the term, the
	// leader or the membership changes. It may be nil.
	Changed func(Status)
}

// Status is an immutable view of a node.
type Status struct {
	ID         NodeID
	Role       Role
	Term       uint64
	Leader     NodeID
	LeaderAddr string
	Commit     uint64
	Applied    uint64
	Last       uint64
	Members    Members
	// LeaseUntil is zero unless this node leads and holds a lease.
	LeaseUntil time.Time
	// Match is the persisted index of each peer, on the leader only.
	Match map[NodeID]uint64
	// Heard is the time of each peer's latest answer, on the leader only. A
	// peer that has not answered yet has the time since which it is a peer.
	Heard map[NodeID]time.Time
}

// Node drives a Core with a clock, a disk and a transport. All state is owned
// by the goroutine of Run; Do lets callers run on it.
type Node struct {
	cfg     Config
	core    *Core
	inbox   chan Message
	calls   chan func()
	status  atomic.Pointer[Status]
	waiting map[uint64]waiter
	done    chan struct{}
	saved   uint64
	// bytes is the size of the commands applied since the last snapshot.
	bytes int
	// freezing is true while another goroutine writes a snapshot; written
	// carries its outcome.
	freezing bool
	written  chan frozen
	// notBefore delays another snapshot after a failure.
	notBefore time.Time
	// suspended is what Config.Suspended told last.
	suspended atomic.Int64
}

// waiter is a proposal that is not yet applied.
type waiter struct {
	term uint64
	done func(result any, err error)
}

// Sizes and periods of the driver.
const (
	inboxSize  = 4096
	callsSize  = 1024
	batchMost  = 512
	tickPeriod = 50 * time.Millisecond
	// snapshotPause is the time until a snapshot that failed is tried again.
	snapshotPause = 2 * time.Second
	// suspendedLeast is the shortest suspension that ends a leadership; the
	// election timeout exceeds the lease by more.
	suspendedLeast = 100 * time.Millisecond
)

// NewNode returns a node; Run starts it.
func NewNode(cfg Config) (*Node, error) {
	if err := restore(cfg, &cfg.Persisted.Snapshot); err != nil {
		return nil, err
	}
	cfg.Persisted.Snapshot.Data, cfg.Persisted.Snapshot.Staged = nil, nil
	if cfg.Suspended == nil {
		cfg.Suspended = func() time.Duration { return 0 }
	}
	n := &Node{
		cfg:     cfg,
		core:    NewCore(cfg.ID, cfg.Timing, cfg.Seed, cfg.Persisted, time.Now()),
		inbox:   make(chan Message, inboxSize),
		calls:   make(chan func(), callsSize),
		waiting: map[uint64]waiter{},
		done:    make(chan struct{}),
		written: make(chan frozen, 1),
		saved:   cfg.Persisted.Snapshot.Index,
	}
	n.cfg.Persisted = Persisted{} // the core has taken it over and drops it in time
	n.suspended.Store(int64(cfg.Suspended()))
	n.publish()
	return n, nil
}

// Run drives the node until ctx ends or the disk fails.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	defer n.failWaiting("the replica stops")
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.noticeSuspension()
			n.core.Tick(time.Now())
		case m := <-n.inbox:
			n.step(m)
			n.drainInbox()
		case f := <-n.calls:
			f()
			n.drainCalls()
		case x := <-n.written:
			if err := n.trim(x); err != nil {
				return err
			}
		}
		if err := n.process(); err != nil {
			return err
		}
	}
}

// noticeSuspension gives up the leadership after the machine was suspended:
// the lease ran on while the steady clock stood still.
func (n *Node) noticeSuspension() {
	if !n.wasSuspended() {
		return
	}
	n.suspended.Store(int64(n.cfg.Suspended()))
	if n.core.role == Leader {
		n.core.becomeFollower(n.core.hard.Term, 0, time.Now())
	}
}

// wasSuspended reports whether the machine was suspended since the last look.
func (n *Node) wasSuspended() bool {
	d := n.cfg.Suspended() - time.Duration(n.suspended.Load())
	return d > suspendedLeast || d < -suspendedLeast
}

// step takes in one message. A staged state that the core does not want is given
// up.
func (n *Node) step(m Message) {
	n.core.Step(m, time.Now())
	if m.Snapshot != nil && m.Snapshot.Staged != nil && n.core.snapDirty != m.Snapshot {
		m.Snapshot.Staged.Drop()
	}
}

func (n *Node) drainInbox() {
	for range batchMost {
		select {
		case m := <-n.inbox:
			n.step(m)
		default:
			return
		}
	}
}

func (n *Node) drainCalls() {
	for range batchMost {
		select {
		case f := <-n.calls:
			f()
		default:
			return
		}
	}
}

// process carries out all pending work of the core.
func (n *Node) process() error {
	n.core.Flush(time.Now())
	for {
		r := n.core.Ready()
		if r.Empty() {
			break
		}
		if err := n.carryOut(r); err != nil {
			return err
		}
		n.core.Advance(r)
	}
	n.failOvertaken()
	n.publish()
	return n.maybeSnapshot()
}

func (n *Node) carryOut(r Ready) error {
	if r.Hard != nil || len(r.Entries) > 0 || r.Snapshot != nil {
		if err := n.cfg.Persist(r); err != nil {
			return err
		}
	}
	if r.Snapshot != nil {
		n.saved = r.Snapshot.Index
		if err := restore(n.cfg, r.Snapshot); err != nil {
			return err
		}
	}
	if len(r.Messages) > 0 {
		n.cfg.Send(n.fillSnapshots(r.Messages))
	}
	for _, e := range r.Committed {
		n.apply(e)
	}
	return nil
}

func (n *Node) apply(e Entry) {
	var result any
	n.bytes += len(e.Data)
	if e.Kind == EntryCommand {
		result = n.cfg.Apply(e.Index, e.Data)
	}
	w, ok := n.waiting[e.Index]
	if !ok {
		return
	}
	delete(n.waiting, e.Index)
	if w.term != e.Term {
		w.done(nil, &UnknownOutcomeError{Reason: "another entry took the position"})
		return
	}
	w.done(result, nil)
}

// failOvertaken answers the proposals of a term that this node lost.
func (n *Node) failOvertaken() {
	if n.core.role == Leader {
		return
	}
	n.failWaiting("leadership was lost")
}

func (n *Node) failWaiting(reason string) {
	for i, w := range n.waiting {
		delete(n.waiting, i)
		w.done(nil, &UnknownOutcomeError{Reason: reason})
	}
}

func (n *Node) publish() {
	c := n.core
	s := Status{ID: c.id, Role: c.role, Term: c.hard.Term, Leader: c.leader, LeaderAddr: c.addr(c.leader),
		Commit: c.commit, Applied: c.applied, Last: c.log.lastIndex(), Members: c.log.current()}
	if until, ok := c.LeaseUntil(time.Now()); ok {
		s.LeaseUntil = until
	}
	if c.role == Leader {
		s.Match = map[NodeID]uint64{}
		s.Heard = map[NodeID]time.Time{}
		for id, p := range c.peers {
			s.Match[id] = p.match
			s.Heard[id] = p.heard
		}
	}
	old := n.status.Swap(&s)
	if n.cfg.Changed != nil && (old == nil || old.Role != s.Role || old.Term != s.Term || old.Leader != s.Leader) {
		n.cfg.Changed(s)
	}
}

// Status returns the latest view of the node.
func (n *Node) Status() Status { return *n.status.Load() }

// Holds reports whether this node leads with a valid lease, and for how long.
// It may be called from any goroutine.
func (n *Node) Holds() (term uint64, left time.Duration, ok bool) {
	s := n.status.Load()
	left = time.Until(s.LeaseUntil)
	return s.Term, left, s.Role == Leader && left > 0 && !n.wasSuspended()
}

// Deliver takes in a message from the transport. A full inbox drops it.
func (n *Node) Deliver(m Message) {
	select {
	case n.inbox <- m:
	default:
		if m.Snapshot != nil && m.Snapshot.Staged != nil {
			m.Snapshot.Staged.Drop()
		}
	}
}
