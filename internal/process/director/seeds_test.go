package director

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// startHost starts the feed of an entry host with the given seeds.
func startHost(t *testing.T, name string, seeds []string) *feed.Feed {
	t.Helper()
	log := logrus.NewEntry(logrus.New())
	log.Logger.SetOutput(t.Output())
	f := feed.New(feed.Config{Role: settings.RoleEntry, Host: name, Incarnation: 1, Client: &http.Client{Transport: &http.Transport{}}, Log: log,
		Report: func(q *fleet.Report) { q.Host = &fleet.Host{Name: name, Zone: "z0"} }, Changed: func(*feed.State) {},
		Quarantine: func([]*fleet.Case) {}, Limits: func([]*fleet.Limit) {}}, seeds)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

func configVersion(f *feed.Feed) uint64 {
	if table := f.State().Table; table != nil {
		return table.Config.Version
	}
	return 0
}

// awaitReports waits until all running processes have reported to the leader, and the members that run know it.
func (g *testGroup) awaitReports(t *testing.T) {
	t.Helper()
	waitUntil(t, "all control processes to report to the leader", func() bool {
		reported := 0
		g.servers[g.leader(t)].eachHost(settings.RoleControl, func(h *host) {
			if time.Since(h.lastReport) < hostTimeout {
				reported++
			}
		})
		running := 0
		for _, stopped := range g.stopped {
			if !stopped {
				running++
			}
		}
		return reported >= running-1
	})
	time.Sleep(2 * time.Second) // in a site, settings change long after the processes have started
}

// addrsOf returns the addresses of some processes.
func (g *testGroup) addrsOf(numbers []int) []string {
	var out []string
	for _, i := range numbers {
		out = append(out, g.addrs[i])
	}
	return out
}

// TestSettingsOfDifferentAge guards against a control group that hosts do not find, for good: the settings of its
// members are older than those of the other processes, or newer, and all processes are killed.
func TestSettingsOfDifferentAge(t *testing.T) {
	seeds := map[string][]int{"old": {0, 1, 2}, "new": {3, 4, 5}, "mixed": {0, 4, 5}}
	for _, members := range []string{"old", "new", "mixed"} {
		for _, others := range []string{"old", "new", "mixed"} {
			t.Run(fmt.Sprintf("members %s, others %s", members, others), func(t *testing.T) {
				t.Parallel()
				g := startGroup(t, 6)
				g.awaitReports(t)
				if err := g.put(t.Context(), g.leader(t), 1); err != nil {
					t.Fatal(err)
				}
				for i := range g.servers {
					g.stop[i]()
				}
				for i := range g.servers {
					x := seeds[others]
					if i < 3 {
						x = seeds[members]
					}
					g.start(t, i, g.addrsOf(x), nil)
				}
				hosts := map[string]*feed.Feed{}
				for age, x := range seeds {
					hosts[age] = startHost(t, "entry-"+age, g.addrsOf(x))
				}
				for age, f := range hosts {
					waitUntil(t, fmt.Sprintf("a host with %s settings to find the leader", age),
						func() bool { return f.ConfirmedLeader() != "" && configVersion(f) == 1 })
				}
			})
		}
	}
}

// TestSettingsOfDifferentAgeBesideFaults has members with older settings than the other processes, and one more fault
// at the restart.
func TestSettingsOfDifferentAgeBesideFaults(t *testing.T) {
	none := func(*testing.T, *testGroup) {}
	wipe := func(i int) func(t *testing.T, g *testGroup) {
		return func(t *testing.T, g *testGroup) { g.dirs[i] = t.TempDir() }
	}
	full := func(i int) func(t *testing.T, g *testGroup) {
		return func(_ *testing.T, g *testGroup) { g.full[i].Store(true) }
	}
	for _, x := range []struct {
		name string
		// down is called while all processes are down, started as soon as they have started, healed 3 s later.
		down, started, healed func(t *testing.T, g *testGroup)
	}{
		{"a member has lost its disk", wipe(0), none, none},
		{"a seed of the hosts has lost its disk", wipe(3), none, none},
		{"the disk of a seed is full", none, full(4), none},
		{"the disk of a member is full", none, full(1), none},
		{"half of the processes are cut off", func(_ *testing.T, g *testGroup) {
			half := func(addr string) int { return slices.Index(g.addrs, addr) % 2 }
			cut := func(from int, to string) bool { return half(to) != from%2 }
			g.cut.Store(&cut)
		}, none, func(_ *testing.T, g *testGroup) { g.cut.Store(nil) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 6)
			g.awaitReports(t)
			if err := g.put(t.Context(), g.leader(t), 1); err != nil {
				t.Fatal(err)
			}
			for i := range g.servers {
				g.stop[i]()
			}
			x.down(t, g)
			seeds := g.addrsOf([]int{3, 4, 5})
			for i := range g.servers {
				if i < 3 {
					g.start(t, i, g.addrs[:3], nil)
				} else {
					g.start(t, i, seeds, nil)
				}
			}
			x.started(t, g)
			f := startHost(t, "entry-1", seeds)
			time.Sleep(3 * time.Second)
			x.healed(t, g)
			waitUntil(t, "the host to find the leader", func() bool { return f.ConfirmedLeader() != "" && configVersion(f) == 1 })
		})
	}
}

// TestMembersReplacedWhileAProcessIsDown guards against a process that nobody finds: it was down while members of
// the group were replaced, and comes back with settings that name only processes without a vote.
func TestMembersReplacedWhileAProcessIsDown(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 6)
	g.awaitReports(t)
	g.stop[5]()
	g.stop[0]() // one of 3 and 4 gets its vote
	waitUntil(t, "another process to get the vote", func() bool {
		for _, m := range g.servers[g.leader(t)].replica.Node().Status().Members {
			if m.Addr == g.addrs[0] {
				return false
			}
		}
		return g.servers[3].replica.Voter() || g.servers[4].replica.Voter()
	})
	g.start(t, 0, g.addrs[:3], nil)
	g.awaitReports(t)
	if err := g.put(t.Context(), g.leader(t), 7); err != nil {
		t.Fatal(err)
	}
	for i := range g.servers {
		g.stop[i]()
	}
	alone := []string{g.addrs[5]}
	for i := range g.servers {
		x := g.addrs[:3]
		if i == 5 {
			x = alone
		}
		g.start(t, i, x, nil)
	}
	f := startHost(t, "entry-1", alone)
	waitUntil(t, "the host to find the leader", func() bool { return f.ConfirmedLeader() != "" && configVersion(f) == 7 })
}

// TestCallsForAnotherProcess guards against believing an address that was given to another process: a leader
// introduces itself to the processes that it knew, one of which may have been replaced.
func TestCallsForAnotherProcess(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 4)
	outsider := g.servers[3]
	stranger := &fleet.Report{Host: &fleet.Host{Name: "control-9", Addr: "127.0.0.1:9", Disk: 99}, Role: settings.RoleControl, Incarnation: 1,
		To: outsider.replica.Disk() + 1}
	_, err := outsider.Watch(t.Context(), stranger)
	var e twirp.Error
	if !errors.As(err, &e) || e.Code() != twirp.NotFound {
		t.Errorf("a call for another process ended with %v, want %s", err, twirp.NotFound)
	}
	if slices.Contains(outsider.feed.Candidates(time.Now()), "127.0.0.1:9") {
		t.Error("the process takes a caller that meant another one for a process of its group")
	}
	stranger.To = outsider.replica.Disk()
	if _, err := outsider.Watch(t.Context(), stranger); err == nil || !slices.Contains(outsider.feed.Candidates(time.Now()), "127.0.0.1:9") {
		t.Errorf("a call for this process ended with %v, and is not known", err)
	}
}

func TestMergeControls(t *testing.T) {
	host := func(name, addr string, disk uint64) catalog.ControlHost {
		return catalog.ControlHost{Name: name, Addr: addr, Disk: disk}
	}
	a, b, c := host("a", "1:1", 1), host("b", "1:2", 2), host("c", "1:3", 3)
	var many []catalog.ControlHost
	for i := range uint64(maxControls) {
		many = append(many, host(fmt.Sprintf("m%02d", i), fmt.Sprintf("2:%d", i), i+10))
	}
	for _, x := range []struct {
		name               string
		stored, live, want []catalog.ControlHost
	}{
		{"the first ones", nil, []catalog.ControlHost{b, a}, []catalog.ControlHost{a, b}},
		{"nothing new", []catalog.ControlHost{a, b}, []catalog.ControlHost{a}, nil},
		{"a silent one is kept", []catalog.ControlHost{a, b}, []catalog.ControlHost{a, c}, []catalog.ControlHost{b, a, c}},
		{"a lost disk", []catalog.ControlHost{a, b}, []catalog.ControlHost{host("a", "1:1", 9)}, []catalog.ControlHost{b, host("a", "1:1", 9)}},
		{"another address", []catalog.ControlHost{a, b}, []catalog.ControlHost{host("a", "1:9", 1)}, []catalog.ControlHost{b, host("a", "1:9", 1)}},
		{"an address of a former process", []catalog.ControlHost{a, b}, []catalog.ControlHost{host("c", "1:1", 3)}, []catalog.ControlHost{b, host("c", "1:1", 3)}},
		{"more than are kept", many, []catalog.ControlHost{a, many[0]}, append(slices.Clone(many[2:]), a, many[0])},
	} {
		if got := mergeControls(x.stored, x.live); !slices.Equal(got, x.want) {
			t.Errorf("%s: got %v, want %v", x.name, got, x.want)
		}
	}
}

func TestIntroductions(t *testing.T) {
	stored := []catalog.ControlHost{{Name: "a", Addr: "1:1", Disk: 1}, {Name: "b", Addr: "1:2", Disk: 2}, {Name: "c", Addr: "1:3", Disk: 3}}
	got := introductions([]string{"1:1", "1:3", "1:4"}, stored, map[string]bool{"1:1": true})
	want := map[string]uint64{"1:2": 2, "1:3": 0, "1:4": 0}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
