package quorum

import (
	"context"
	"sync/atomic"
	"testing"
	"time"
)

// TestSuspendedLeaderHoldsNoLease suspends the machine of a leader: the steady
// clock stands still, so only the difference of the clocks tells.
func TestSuspendedLeaderHoldsNoLease(t *testing.T) {
	var suspended atomic.Int64
	n, err := NewNode(Config{ID: 1, Timing: DefaultTiming(), Persist: func(Ready) error { return nil },
		Send: func([]Message) {}, Apply: func(uint64, []byte) any { return nil },
		Suspended: func() time.Duration { return time.Duration(suspended.Load()) }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.Run(ctx)
	if err := n.Do(ctx, func() { n.core.Form(Members{{ID: 1, Addr: "a"}}) }); err != nil {
		t.Fatal(err)
	}
	for !holds(n) {
		time.Sleep(time.Millisecond)
	}
	term := n.Status().Term
	suspended.Store(int64(2 * time.Second))
	if term2, _, ok := n.Holds(); ok && term2 == term {
		t.Fatal("the lease outlived the suspension")
	}
	for !holds(n) || n.Status().Term == term {
		time.Sleep(time.Millisecond)
	}
}

func holds(n *Node) bool {
	_, _, ok := n.Holds()
	return ok
}
