package director

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// watchVersions collects the versions of the configuration that a host has, until the test ends.
func watchVersions(t *testing.T, f *feed.Feed) (seen func() map[uint64]bool) {
	t.Helper()
	var mu sync.Mutex
	all := map[uint64]bool{}
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			mu.Lock()
			all[configVersion(f)] = true
			mu.Unlock()
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() { close(done); <-stopped })
	return func() map[uint64]bool {
		mu.Lock()
		defer mu.Unlock()
		out := map[uint64]bool{}
		for v := range all {
			out[v] = true
		}
		return out
	}
}

// TestOldDiskIsNotServed guards against a withdrawn key that works again: after a restart of all processes a host
// finds a control process first that was not there when the configuration was changed.
func TestOldDiskIsNotServed(t *testing.T) {
	const withKey, withoutKey = 1, 2
	for _, x := range []struct {
		name string
		// away lets process 0 miss the change, which change makes.
		away func(t *testing.T, g *testGroup, change func())
		// alone is how long process 0 runs before the others after the restart.
		alone time.Duration
	}{
		{"another process has its vote, and it was back when the key was withdrawn", func(t *testing.T, g *testGroup, change func()) {
			g.stop[0]()
			waitUntil(t, "another process to get the vote", func() bool {
				for _, m := range g.servers[g.leader(t)].replica.Node().Status().Members {
					if m.Addr == g.addrs[0] {
						return false
					}
				}
				return true
			})
			g.start(t, 0, g.addrs[:3], nil)
			g.awaitReports(t)
			change()
		}, 0},
		{"a member that was down when the key was withdrawn, and starts first", func(t *testing.T, g *testGroup, change func()) {
			g.stop[0]()
			change()
		}, 2 * time.Second},
		{"a member that was cut off when the key was withdrawn, and starts first", func(t *testing.T, g *testGroup, change func()) {
			cut := func(from int, to string) bool { return (from == 0) != (to == g.addrs[0]) }
			g.cut.Store(&cut)
			waitUntil(t, "another leader", func() bool { return g.leader(t) != 0 })
			change()
		}, 2 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 5)
			g.awaitReports(t)
			if err := g.put(t.Context(), g.leader(t), withKey); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second) // the commit index is on all disks
			x.away(t, g, func() {
				waitUntil(t, "the key to be withdrawn", func() bool { return g.put(t.Context(), g.leader(t), withoutKey) == nil })
			})
			for i := range g.servers {
				g.stop[i]()
			}
			g.cut.Store(nil)
			seeds := g.addrs[:1]
			f := startHost(t, "entry-1", seeds)
			seen := watchVersions(t, f)
			g.start(t, 0, seeds, nil)
			time.Sleep(x.alone)
			for i := 1; i < 5; i++ {
				g.start(t, i, seeds, nil)
			}
			waitUntil(t, "the host to find the leader", func() bool { return f.ConfirmedLeader() != "" && configVersion(f) == withoutKey })
			if seen()[withKey] {
				t.Error("the host had the configuration in which the key was valid")
			}
		})
	}
}

// TestStateBeforeElection guards service after a restart of all processes: a majority of the members serves the
// configuration that was acknowledged last, and the backend servers, before it has a leader; fewer serve nothing.
func TestStateBeforeElection(t *testing.T) {
	for _, x := range []struct {
		members []int
		served  bool
	}{{[]int{0, 1, 2}, true}, {[]int{1, 2}, true}, {[]int{0, 2}, true}, {[]int{0}, false}, {[]int{2, 3, 4}, false}} {
		t.Run(fmt.Sprint(x.members), func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 5)
			if err := g.put(t.Context(), g.leader(t), 1); err != nil {
				t.Fatal(err)
			}
			lead := g.servers[g.leader(t)]
			if err := lead.Announce(t.Context(), roster.Instance{ID: "i", Service: "proofer", Addr: "10.0.0.1:80", Zone: "a", Slots: 4,
				State: roster.Ready, Born: 1, Seq: 1}); err != nil {
				t.Fatal(err)
			}
			waitUntil(t, "the backend server to be in the log", func() (saved bool) {
				if err := lead.do(t.Context(), func() { saved = len(lead.catalog.Instances) == 1 }); err != nil {
					t.Fatal(err)
				}
				return saved
			})
			for v := uint64(2); v <= 3; v++ {
				if err := g.put(t.Context(), g.leader(t), v); err != nil {
					t.Fatal(err)
				}
			}
			for i := range g.servers {
				g.stop[i]()
			}
			g.timing = quorum.Timing{Heartbeat: 100 * time.Millisecond, Election: time.Minute, Lease: 50 * time.Second}
			for _, i := range x.members {
				g.start(t, i, g.addrs[:3], nil)
			}
			f := startHost(t, "entry-1", g.addrsOf(x.members))
			seen := watchVersions(t, f)
			if x.served {
				waitUntil(t, "the configuration", func() bool { return seen()[3] })
			} else {
				time.Sleep(provisionalPeriod + time.Second)
			}
			versions := seen()
			if delete(versions, 0); len(versions) > 1 || versions[3] != x.served {
				t.Errorf("the host had versions %v, want the latest one: %v", versions, x.served)
			}
			if n := len(f.State().Instances); x.served && n != 1 {
				t.Errorf("the host has %d backend servers, want 1", n)
			}
			if f.ConfirmedLeader() != "" {
				t.Error("the group has a leader, which this test is not about")
			}
		})
	}
}
