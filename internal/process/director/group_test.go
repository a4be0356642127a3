package director

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
)

// testGroup is a group of control processes, of which three vote.
type testGroup struct {
	servers []*Server
	// dirs and addrs are the data directory and the address of each process.
	dirs, addrs []string
	// full says of each process whether its disk is full.
	full    []atomic.Bool
	stop    []func()
	stopped []bool
	// cut reports whether a process cannot reach the one at an address; nil if all reach each other.
	cut atomic.Pointer[func(from int, to string) bool]
	// timing is that of the processes that are started next.
	timing quorum.Timing
}

var groups atomic.Int64

// partitionedTransport makes the calls of a process, except those to processes that it cannot reach.
type partitionedTransport struct {
	g    *testGroup
	from int
	*http.Transport
}

func (x *partitionedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if cut := x.g.cut.Load(); cut != nil && (*cut)(x.from, r.URL.Host) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return x.Transport.RoundTrip(r)
}

// startGroup starts n control processes on loopback addresses. The first three are the seeds.
func startGroup(t *testing.T, n int) *testGroup {
	t.Helper()
	g := &testGroup{servers: make([]*Server, n), full: make([]atomic.Bool, n), stop: make([]func(), n), stopped: make([]bool, n),
		timing: quorum.FastFailoverTiming()}
	prefix := fmt.Sprintf("127.%d.%d", 60+os.Getpid()%40, groups.Add(1))
	var lns []net.Listener
	port := 0
	for i := range n {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, i+1, port))
		if err != nil {
			t.Fatal(err)
		}
		port = ln.Addr().(*net.TCPAddr).Port
		lns, g.addrs, g.dirs = append(lns, ln), append(g.addrs, ln.Addr().String()), append(g.dirs, t.TempDir())
	}
	for i, ln := range lns {
		g.start(t, i, g.addrs[:3], ln)
	}
	g.leader(t)
	return g
}

// start starts a process, or starts it again, with the given seeds. If ln is nil, it listens at its address.
func (g *testGroup) start(t *testing.T, i int, seeds []string, ln net.Listener) {
	t.Helper()
	if ln == nil {
		var err error
		if ln, err = net.Listen("tcp", g.addrs[i]); err != nil {
			t.Fatal(err)
		}
	}
	addr := ln.Addr().(*net.TCPAddr)
	site := settings.Site{Role: settings.RoleControl, Host: fmt.Sprint("control-", i), Zone: fmt.Sprint("z", i%3), IP: addr.IP.String(),
		Ports: []int{addr.Port, addr.Port}, Seeds: seeds, Bootstrap: g.servers[i] == nil, DataDir: g.dirs[i], MemoryMB: 512, MaxLostHosts: 1,
		Bounds: settings.Bounds{Lease: 3000, Grace: 1000, Window: 10000, ResultRetention: 10000}}
	log := logrus.NewEntry(logrus.New()).WithField("host", site.Host)
	log.Logger.SetOutput(t.Output())
	files := disk.RealFiles()
	files.Write = func(f *os.File, p []byte) (int, error) {
		if g.full[i].Load() {
			return 0, syscall.ENOSPC
		}
		return f.Write(p)
	}
	s, err := New(Config{Site: site, Log: log, Scope: tally.NoopScope, Files: files, Timing: g.timing,
		Client: &http.Client{Transport: &partitionedTransport{g: g, from: i, Transport: &http.Transport{}}}, External: ExternalCalls{
			ReportUsage: func(context.Context, FencingToken, uint64, map[string]uint64) error { return nil }}})
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: s.Handler()}
	ctx, cancel := context.WithCancel(t.Context())
	served, ran := make(chan struct{}), make(chan struct{})
	go func() { defer close(served); _ = server.Serve(ln) }()
	go func() { defer close(ran); _ = s.Run(ctx) }()
	g.servers[i], g.stopped[i] = s, false
	g.stop[i] = func() {
		if g.stopped[i] {
			return
		}
		g.stopped[i] = true
		cancel()
		server.Close()
		<-served
		<-ran
		s.Close()
	}
	t.Cleanup(g.stop[i])
}

// leader returns the number of the leader.
func (g *testGroup) leader(t *testing.T) (leader int) {
	t.Helper()
	waitUntil(t, "a leader", func() bool {
		for i, s := range g.servers {
			if _, self := s.Leader(); self && !g.stopped[i] {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// put submits a configuration to a process and follows two redirects, as operators do.
func (g *testGroup) put(ctx context.Context, to int, version uint64) error {
	for redirects := 0; ; redirects++ {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := g.servers[to].PutConfig(callCtx, nil, largeConfig(version, 1))
		cancel()
		var other *NotLeaderError
		if !errors.As(err, &other) || redirects == 2 {
			return err
		}
		next := -1
		for i, s := range g.servers {
			if s.cfg.Site.InternalAddr() == other.Addr {
				next = i
			}
		}
		if next < 0 {
			return err
		}
		to = next
	}
}

// TestProcessWithoutAVoteNamesTheLeader guards against control processes that are no members of the group,
// and refuse each change since they know no leader.
func TestProcessWithoutAVoteNamesTheLeader(t *testing.T) {
	g := startGroup(t, 5)
	for round := range uint64(2) {
		leader := g.leader(t)
		want := g.servers[leader].cfg.Site.InternalAddr()
		for i := 3; i < 5; i++ {
			waitUntil(t, fmt.Sprintf("process %d to name the leader", i), func() bool { addr, _ := g.servers[i].Leader(); return addr == want })
			if err := g.put(t.Context(), i, 10*round+uint64(i)); err != nil {
				t.Errorf("a change at process %d: %v", i, err)
			}
		}
		if round == 0 {
			g.stop[leader]()
		}
	}
}

// TestChangesAfterFullDisksInSeries fills the disks of the voters one after another, each for longer than a
// voter may be silent, so that other processes take their votes. Later each process, in the group or not, must
// take changes or name one that does.
func TestChangesAfterFullDisksInSeries(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 5)
	version := uint64(1)
	for range 3 {
		i := g.leader(t)
		g.full[i].Store(true)
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			version++
			_ = g.put(t.Context(), int(version)%5, version) // may fail meanwhile
		}
		g.full[i].Store(false)
		time.Sleep(300 * time.Millisecond)
	}
	room := time.Now()
	for i := range g.servers {
		waitUntil(t, fmt.Sprintf("process %d to take a change", i), func() bool {
			version++
			return g.put(t.Context(), i, version) == nil
		})
	}
	// 3 s after the last fault the group must be stable, and has 4 s for a change.
	if took := time.Since(room); took > 7*time.Second {
		t.Errorf("changes were taken at all processes only %v after the last disk had room", took)
	}
	for i := range g.servers {
		for n := range 3 {
			version++
			if err := g.put(t.Context(), i, version); err != nil {
				t.Errorf("change %d at process %d: %v", n, i, err)
			}
		}
	}
}

// TestSeedsWithoutAVoteFindTheLeader guards against a control group that no other process finds, for good: the
// seeds of the settings are exchanged for processes without a vote, and all processes are killed.
func TestSeedsWithoutAVoteFindTheLeader(t *testing.T) {
	t.Parallel()
	for _, voters := range []struct {
		name  string
		seeds []int
	}{{"no seed has a vote", []int{3, 4, 5}}, {"one seed, without a vote", []int{4}}, {"one seed has a vote", []int{0, 4, 5}}} {
		t.Run(voters.name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 6)
			if err := g.put(t.Context(), g.leader(t), 1); err != nil {
				t.Fatal(err)
			}
			var seeds []string
			for _, i := range voters.seeds {
				seeds = append(seeds, g.addrs[i])
			}
			for _, s := range g.servers {
				s.SetSeeds(seeds)
			}
			for i := range g.servers {
				g.stop[i]()
			}
			for i := range g.servers {
				g.start(t, i, seeds, nil)
			}
			leader := g.leader(t)
			for i, s := range g.servers {
				waitUntil(t, fmt.Sprintf("process %d to name the leader", i), func() bool {
					addr, self := s.Leader()
					return self || addr == g.addrs[leader]
				})
			}
		})
	}
}
