package director

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestCallsWaitForAnElection stops the leader and publishes a weight version at a process that has just
// noticed. It guards against calls that fail at once during an election: their callers return seconds
// later.
func TestCallsWaitForAnElection(t *testing.T) {
	g := startGroup(t, 3)
	if err := g.put(t.Context(), 0, 1); err != nil {
		t.Fatal(err)
	}
	leader := g.leader(t)
	g.stop[leader]()
	asked := (leader + 1) % 3
	waitUntil(t, "a process without a leader", func() bool {
		addr, self := g.servers[asked].Leader()
		return addr == "" && !self
	})
	ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
	defer cancel()
	err := g.servers[asked].PutWeight(ctx, "m", 2)
	var other *NotLeaderError
	if err != nil && (!errors.As(err, &other) || other.Addr == "") {
		t.Fatalf("got %v, want no error or the new leader", err)
	}
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
		return addr == "" && !self && time.Since(time.Unix(0, last.leaderless.Load())) > leaderlessTime
	})
	least := electionWait
	for range 3 { // a busy machine may delay one of them
		start := time.Now()
		last.awaitLeader(t.Context())
		least = min(least, time.Since(start))
	}
	if least > electionWait/2 {
		t.Fatalf("each call waited for %v or more", least)
	}
}
