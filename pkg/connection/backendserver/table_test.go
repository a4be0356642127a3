package backendserver

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

func newTable(policy Policy, servers ...Server) *Table {
	t := New(policy, 1)
	shares := map[string]int{}
	for i := range servers {
		s := &servers[i]
		s.Pool, s.Limit = "p", 8
		shares[s.ID] = 4
	}
	t.Replace(1, servers)
	t.SetShares(shares, nil)
	return t
}

func TestTakeMeetsRequirement(t *testing.T) {
	servers := func() []Server {
		return []Server{
			{ID: "steady", Class: "steady", Zone: "a", Versions: map[string]uint64{"r": 3}},
			{ID: "cheap", Class: "cheap", Zone: "b", Versions: map[string]uint64{"r": 5}},
			{ID: "leaving", Class: "steady", Zone: "a", Leaving: true, Versions: map[string]uint64{"r": 9}},
		}
	}
	for _, c := range []struct {
		name        string
		out         map[string]bool
		requirement Requirement
		want        string
	}{
		{"steady only", nil, Requirement{Steady: true}, "steady"},
		{"version", nil, Requirement{Rollout: "r", Version: 4}, "cheap"},
		{"no such version", nil, Requirement{Rollout: "r", Version: 6}, ""},
		{"zone excluded", map[string]bool{"a": true}, Requirement{}, "cheap"},
		{"all zones excluded", map[string]bool{"a": true, "b": true}, Requirement{}, ""},
		{"steady, but only cheap servers are available", map[string]bool{"a": true}, Requirement{Steady: true}, "cheap"},
		{"avoided server", nil, Requirement{Avoid: map[string]bool{"cheap": true}}, "steady"},
		{"another pool", nil, Requirement{Pool: "other"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(Policy{Choice: "wait"}, servers()...)
			table.SetZonesOut(c.out)
			if c.requirement.Pool == "" {
				c.requirement.Pool = "p"
			}
			for range 4 {
				slot, ok := table.Take(c.requirement)
				if ok != (c.want != "") || slot.ID != c.want {
					t.Fatalf("took %q, want %q", slot.ID, c.want)
				}
			}
			if _, ok := table.Take(c.requirement); ok {
				t.Fatal("took more slots than the share")
			}
		})
	}
}

// TestConnectionLostSuspendsServer loses a connection: the server gets no requests
// until the leader has decided on it.
func TestConnectionLostSuspendsServer(t *testing.T) {
	table := newTable(Policy{Choice: "wait"}, Server{ID: "s"})
	slot, _ := table.Take(Requirement{Pool: "p"})
	table.Release(slot, ConnectionLost)
	if _, ok := table.Take(Requirement{Pool: "p"}); ok {
		t.Fatal("took a server that may have restarted")
	}
	table.SetShares(map[string]int{"s": 4}, nil) // a grant that was requested before the connection was lost
	if _, ok := table.Take(Requirement{Pool: "p"}); ok {
		t.Fatal("a grant requested before the connection was lost ends the suspicion")
	}
	if h := table.Holdings(); len(h) != 1 || !h[0].Suspect {
		t.Fatalf("the server is not reported as suspect: %+v", h)
	}
	table.SetShares(map[string]int{"s": 4}, map[string]bool{"s": true})
	if _, ok := table.Take(Requirement{Pool: "p"}); !ok {
		t.Fatal("server not available after the leader's decision")
	}
}

// TestEjectionIsLimitedPerPool fails requests to all servers of a pool: at most half
// of the servers are ejected, and they return when the ejection ends.
func TestEjectionIsLimitedPerPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(Policy{Choice: "wait"}, Server{ID: "a"}, Server{ID: "b"}, Server{ID: "c"}, Server{ID: "d"})
		for range 200 {
			if slot, ok := table.Take(Requirement{Pool: "p"}); ok {
				table.Release(slot, Failed)
			}
		}
		seen := map[string]bool{}
		for range 100 {
			if slot, ok := table.Take(Requirement{Pool: "p"}); ok {
				seen[slot.ID] = true
				table.Release(slot, Abandoned)
			}
		}
		if len(seen) != 2 {
			t.Fatalf("%d of 4 servers are in use, want half", len(seen))
		}
		time.Sleep(maxEjection)
		for range 200 {
			if slot, ok := table.Take(Requirement{Pool: "p"}); ok {
				seen[slot.ID] = true
				table.Release(slot, Served)
			}
		}
		if len(seen) != 4 {
			t.Fatalf("%d of 4 servers are in use after the ejections, want all", len(seen))
		}
	})
}

// TestPrefixAffinityYieldsToLoad sends requests with one prefix: the server that it
// hashes to is preferred until it is clearly busier than the others.
func TestPrefixAffinityYieldsToLoad(t *testing.T) {
	var servers []Server
	for i := range 5 {
		servers = append(servers, Server{ID: fmt.Sprint("s", i)})
	}
	table := newTable(Policy{Choice: "wait", Affinity: 0.3}, servers...)
	first, _ := table.Take(Requirement{Pool: "p", Prefix: "menu"})
	second, _ := table.Take(Requirement{Pool: "p", Prefix: "menu"})
	if first.ID != second.ID {
		t.Fatalf("the prefix went to %s and %s", first.ID, second.ID)
	}
	for range 8 {
		if slot, ok := table.Take(Requirement{Pool: "p", Prefix: "menu"}); !ok || slot.ID != first.ID {
			return
		}
	}
	t.Fatal("a loaded server is still preferred for its prefix")
}

func TestRestartResetsCounts(t *testing.T) {
	table := newTable(Policy{Choice: "wait"}, Server{ID: "s", Incarnation: 1})
	old, _ := table.Take(Requirement{Pool: "p"})
	table.Replace(2, []Server{{ID: "s", Incarnation: 2, Pool: "p", Limit: 1}})
	table.Release(old, Failed)
	if h := table.Holdings()[0]; h.Counts != (Counts{}) || h.Running != 0 {
		t.Fatalf("the new incarnation has counts of the old one: %+v", h)
	}
}

// TestShareEndsWithIncarnation restarts a server: the share that was granted for the
// previous incarnation is not used, and the server gets requests only after the
// leader has granted a share for the new one.
func TestShareEndsWithIncarnation(t *testing.T) {
	table := newTable(Policy{Choice: "wait"}, Server{ID: "s", Incarnation: 1})
	table.Replace(2, []Server{{ID: "s", Incarnation: 2, Pool: "p", Limit: 1}})
	if slot, ok := table.Take(Requirement{Pool: "p"}); ok {
		t.Fatalf("used the share of the previous incarnation: %+v", slot)
	}
	table.SetShares(map[string]int{"s": 1}, nil)
	if _, ok := table.Take(Requirement{Pool: "p"}); !ok {
		t.Fatal("the new share is not used")
	}
}
