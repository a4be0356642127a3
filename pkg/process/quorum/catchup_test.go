package quorum

import (
	"testing"
	"time"
)

// TestDeposedLeaderCatchesUp isolates a leader that appends hundreds of entries which no other
// replica gets, while its successor commits others. After the partition it must replace them
// within a few heartbeats, not one entry in each.
func TestDeposedLeaderCatchesUp(t *testing.T) {
	const entries = 400
	withGroup(t, 3, func(g *group) {
		g.runFor(3 * time.Second)
		old := g.mustLeader()
		for id := range g.replicas {
			g.partitioned[[2]NodeID{old, id}], g.partitioned[[2]NodeID{id, old}] = true, true
		}
		for range entries {
			g.propose(old, true)
		}
		g.runFor(3 * time.Second)
		leader := g.mustLeader()
		if leader == old {
			g.t.Fatal("the isolated leader was not replaced")
		}
		for range entries / 4 {
			g.propose(leader, true)
		}
		g.runFor(time.Second)
		want := g.replicas[leader].core.commit
		clear(g.partitioned)
		g.runFor(10 * g.replicas[leader].core.timing.Heartbeat)
		if got := g.replicas[old].core.commit; got < want {
			g.t.Fatalf("the deposed leader has committed up to %d a second after the partition, want %d", got, want)
		}
	})
}

// TestSliceBytes bounds appends by their size, and always returns an entry if there is one.
func TestSliceBytes(t *testing.T) {
	var l raftLog
	for i := range 10 {
		l.push(Entry{Index: uint64(i + 1), Term: 1, Data: make([]byte, 100)})
	}
	for _, c := range []struct {
		from            uint64
		limit, maxBytes int
		want            int
	}{
		{1, 256, 1000, 10}, {1, 4, 1000, 4}, {1, 256, 350, 3}, {1, 256, 50, 1}, {10, 256, 50, 1}, {11, 256, 50, 0},
	} {
		if got := len(l.sliceBytes(c.from, c.limit, c.maxBytes)); got != c.want {
			t.Errorf("from %d, %d entries, %d bytes: got %d, want %d", c.from, c.limit, c.maxBytes, got, c.want)
		}
	}
}
