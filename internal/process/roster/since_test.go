package roster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"
)

// copyOfRoster is the roster as a host has it.
type copyOfRoster struct {
	routing  bool
	revision uint64
	all      []Instance
}

// update brings the copy up to date and returns how many instances that took.
func (c *copyOfRoster) update(t *Table) (cost int) {
	latest := t.Revision
	if c.routing {
		latest = t.RoutingRevision
	}
	if c.revision >= latest {
		return 0
	}
	changed, removed, ok := t.Since(c.revision, c.routing)
	if ok {
		c.all = Merge(c.all, changed, removed)
		cost = len(changed) + len(removed)
	} else if c.all = t.All(); c.routing {
		c.all = t.AllWithoutWeights()
		cost = len(c.all)
	}
	c.revision = latest
	return cost
}

// TestCopiesFollowTheTable replays random announcements, departures, silences, removals of all known
// changes and new leaders. Hosts that update now and then have the same instances as the table.
func TestCopiesFollowTheTable(t *testing.T) {
	for seed := range uint64(5) {
		r := rand.New(rand.NewPCG(seed, 1))
		table, now, term := New(1<<32), start, uint64(1)
		hosts := []*copyOfRoster{{}, {routing: true}, {}, {routing: true}}
		for step := range 1500 {
			now = now.Add(time.Duration(r.IntN(600)) * time.Millisecond)
			id := fmt.Sprintf("i-%d", r.IntN(60))
			switch r.IntN(12) {
			case 0:
				table.Depart(id, 0, now)
			case 1:
				table.Expire(now)
			case 2:
				if r.IntN(100) == 0 {
					term++
					old := table
					table = New(term << 32)
					table.Load(old.All(), now)
				}
			default:
				x := announcement(id, fmt.Sprintf("10.0.0.%d:80", r.IntN(100)), int64(step/400+1), uint64(step+1), Ready)
				if r.IntN(4) == 0 {
					x.State = Draining
				}
				x.Weights = map[string]uint64{"m": uint64(r.IntN(3))}
				table.Announce(x, now)
			}
			for i, h := range hosts {
				if r.IntN(1+20*i) == 0 {
					h.update(table)
					compareCopies(t, table, h)
				}
			}
			if t.Failed() {
				t.Fatalf("seed %d, step %d", seed, step)
			}
		}
	}
}

func compareCopies(t *testing.T, table *Table, h *copyOfRoster) {
	t.Helper()
	got := map[string]Instance{}
	for i, x := range h.all {
		if i > 0 && h.all[i-1].ID >= x.ID {
			t.Errorf("instances are not sorted: %s before %s", h.all[i-1].ID, x.ID)
		}
		if x.State != Gone {
			got[x.ID] = x
		}
	}
	want := table.Live()
	if len(got) != len(want) {
		t.Errorf("%d live instances, want %d", len(got), len(want))
	}
	for _, x := range want {
		y := got[x.ID]
		if !sameForRouting(&x, &y) || !h.routing && !maps.Equal(x.Weights, y.Weights) || h.routing && y.Weights != nil {
			t.Errorf("copy has %+v, the table %+v", y, x)
		}
	}
}

// TestSinceKnowsRemovedInstances guards against a copy that keeps instances whose removal it never
// learned.
func TestSinceKnowsRemovedInstances(t *testing.T) {
	table, h := New(0), &copyOfRoster{routing: true}
	table.Announce(announcement("a", "x", 1, 1, Ready), start)
	h.update(table)
	now := start
	for i := range 2 * maxRemoved {
		table.Announce(announcement(fmt.Sprintf("b-%d", i), fmt.Sprintf("y-%d", i), 1, 1, Ready), now)
	}
	h.update(table)
	now = now.Add(2 * silenceTimeout)
	table.Expire(now)
	if _, _, ok := table.Since(h.revision, true); ok {
		t.Error("changes are said to be known after too many removals")
	}
	h.update(table)
	compareCopies(t, table, h)
	table.Announce(announcement("c", "z", 1, 1, Ready), now)
	if cost := h.update(table); cost != 1 {
		t.Errorf("one change cost %d instances", cost)
	}
	compareCopies(t, table, h)
}
