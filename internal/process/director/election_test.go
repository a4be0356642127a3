package director

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestCallsWaitForAnElection stops the leader and publishes a weight version at another process again and again,
// until one is taken or redirected to the next leader. It guards against calls that fail at once during an
// election: their callers return seconds later.
func TestCallsWaitForAnElection(t *testing.T) {
	g := startGroup(t, 3)
	if err := g.put(t.Context(), 0, 1); err != nil {
		t.Fatal(err)
	}
	leader := g.leader(t)
	before := g.servers[leader].cfg.Site.InternalAddr()
	asked := g.servers[(leader+1)%3]
	go g.stop[leader]()
	waitUntil(t, "the next leader", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		start := time.Now()
		err := asked.PutWeight(ctx, "m", 2)
		var other *NotLeaderError
		if errors.As(err, &other) && other.Addr == "" && time.Since(start) < electionWait {
			t.Errorf("a call failed after %v: %v", time.Since(start), err)
			return true
		}
		return err == nil || other != nil && other.Addr != "" && other.Addr != before
	})
}

// TestCutOffProcessAnswersAtOnce asks a process that has known no leader for longer than an election takes.
// It guards against callers that wait at a process which is cut off.
func TestCutOffProcessAnswersAtOnce(t *testing.T) {
	g := startGroup(t, 3)
	last := g.servers[2]
	g.stop[0]()
	g.stop[1]()
	waitUntil(t, "a process without a leader for long", func() bool {
		addr, self := last.Leader()
		return addr == "" && !self && last.leaderlessFor() > leaderlessTime
	})
	least := electionWait
	for range 3 { // a busy machine may delay one of them
		start := time.Now()
		_ = last.PutWeight(t.Context(), "m", 2)
		least = min(least, time.Since(start))
	}
	if least > electionWait/2 {
		t.Fatalf("each call waited for %v or more", least)
	}
}
