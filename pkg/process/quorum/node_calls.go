package quorum

import (
	"context"
	"sync/atomic"
	"time"
)

// call is a function that waits for the node's goroutine. It runs, or is abandoned before that.
type call struct {
	taken atomic.Bool
	f     func()
}

func (c *call) run() {
	if c.taken.CompareAndSwap(false, true) {
		c.f()
	}
}

// abandon reports whether the function will not run.
func (c *call) abandon() bool { return c.taken.CompareAndSwap(false, true) }

// Do runs f on the node's goroutine and waits until it returns. If ctx ends before that has begun, f does
// not run: the goroutine may stand still for as long as the disk is full.
func (n *Node) Do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	c := &call{f: func() { f(); close(ran) }}
	if err := n.enqueue(ctx, c.run); err != nil {
		return err
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		if c.abandon() {
			return ctx.Err()
		}
	case <-n.done:
	}
	select {
	case <-ran:
		return nil
	case <-n.done:
		return &UnknownOutcomeError{Reason: "the replica stopped"}
	}
}

func (n *Node) enqueue(ctx context.Context, f func()) error {
	select {
	case n.calls <- f:
		return nil
	case <-n.done:
		return &NotLeaderError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// outcome is the result of a proposal.
type outcome struct {
	result any
	err    error
}

// Propose commits a command and returns the result of Config.Apply. The error is a
// *NotLeaderError, or that of ctx, if the command was not proposed, and an
// *UnknownOutcomeError if it may still be committed.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	return n.proposeAndWait(ctx, func() (uint64, uint64, error) {
		return n.core.Propose(EntryCommand, data)
	})
}

// ChangeMembers commits the membership that change returns for the latest one. Errors are
// those of Propose, or a *MembershipError if the change is refused.
func (n *Node) ChangeMembers(ctx context.Context, change func(Members) Members) error {
	_, err := n.proposeAndWait(ctx, func() (uint64, uint64, error) {
		return n.core.ProposeMembers(change(n.core.log.latestMembers()))
	})
	return err
}

func (n *Node) proposeAndWait(ctx context.Context, propose func() (index, term uint64, err error)) (any, error) {
	answer := make(chan outcome, 1)
	c := &call{f: func() {
		index, term, err := propose()
		if err != nil {
			answer <- outcome{err: err}
			return
		}
		n.pending[index] = pendingProposal{term, func(r any, err error) { answer <- outcome{r, err} }}
	}}
	if err := n.enqueue(ctx, c.run); err != nil {
		return nil, err
	}
	select {
	case o := <-answer:
		return o.result, o.err
	case <-ctx.Done():
		if c.abandon() {
			return nil, ctx.Err()
		}
		return nil, &UnknownOutcomeError{Reason: ctx.Err().Error()}
	case <-n.done:
		return nil, &UnknownOutcomeError{Reason: "the replica stopped"}
	}
}

// ProposeAsync proposes a command without waiting for the result. It must be called on the
// node's goroutine, on which done then runs too.
func (n *Node) ProposeAsync(data []byte, done func(result any, err error)) {
	index, term, err := n.core.Propose(EntryCommand, data)
	if err != nil {
		done(nil, err)
		return
	}
	n.pending[index] = pendingProposal{term, done}
}

// Settled reports whether this replica, which knows no leader yet, has all committed entries on its disk, as of
// two heartbeat intervals ago or later. rest holds those that are not applied. It needs Config.Survey and must be
// called on the node's goroutine.
func (n *Node) Settled() (rest []Entry, ok bool) {
	if n.wasSuspended() {
		return nil, false
	}
	return n.core.Settled(time.Now())
}

// Bootstrap starts a new group with this replica. It must be called on the node's
// goroutine, through Do, and only if the logs of all members are empty.
func (n *Node) Bootstrap(members Members) error {
	return n.core.Bootstrap(members)
}
