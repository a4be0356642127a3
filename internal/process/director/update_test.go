package director

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// testLeader is a control process that leads a group of one.
type testLeader struct {
	*Server
	addr string
	// sent is the number of bytes of all its responses.
	sent atomic.Int64
}

type countingWriter struct {
	http.ResponseWriter
	sent *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.sent.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

func startLeader(t *testing.T) *testLeader {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := ln.Addr().(*net.TCPAddr).Port
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	site := settings.Site{Role: settings.RoleControl, Host: "control-1", Zone: "a", IP: "127.0.0.1", Ports: []int{port, port},
		Seeds: []string{addr}, Bootstrap: true, DataDir: t.TempDir(), MemoryMB: 512,
		Bounds: settings.Bounds{Lease: 3000, Grace: 1000, Window: 10000, ResultRetention: 10000}}
	log := logrus.NewEntry(logrus.New())
	log.Logger.SetOutput(t.Output())
	log.Logger.SetLevel(logrus.WarnLevel)
	s, err := New(Config{Site: site, Log: log, Scope: tally.NoopScope, Files: disk.RealFiles(), Timing: quorum.FastFailoverTiming(),
		Client: &http.Client{}, External: ExternalCalls{
			ReportUsage: func(context.Context, FencingToken, uint64, map[string]uint64) error { return nil }}})
	if err != nil {
		t.Fatal(err)
	}
	l := &testLeader{Server: s, addr: addr}
	handler := s.Handler()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&countingWriter{w, &l.sent}, r)
	})}
	ctx, cancel := context.WithCancel(t.Context())
	served, ran := make(chan struct{}), make(chan struct{})
	go func() { defer close(served); _ = server.Serve(ln) }()
	go func() { defer close(ran); _ = s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		server.Close()
		<-served
		<-ran
		s.Close()
	})
	waitUntil(t, "a leader", func() bool { _, self := s.Leader(); return self })
	return l
}

func (l *testLeader) startHosts(t *testing.T, n int) []*feed.Feed {
	t.Helper()
	log := logrus.NewEntry(logrus.New())
	log.Logger.SetOutput(t.Output())
	log.Logger.SetLevel(logrus.WarnLevel)
	var all []*feed.Feed
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		f := feed.New(feed.Config{Role: settings.RoleEntry, Host: name, Incarnation: 1, Client: &http.Client{}, Log: log,
			Report: func(q *fleet.Report) { q.Host = &fleet.Host{Name: name, Zone: "a"} }, Changed: func(*feed.State) {},
			Quarantine: func([]*fleet.Case) {}, Limits: func([]*fleet.Limit) {}}, []string{l.addr})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		all = append(all, f)
	}
	return all
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// largeConfig returns a configuration with n routes of about 200 bytes each.
func largeConfig(version uint64, n int) *routing.Config {
	c := &routing.Config{Version: version, Services: []routing.Service{{Name: "proofer"}}}
	for i := range n {
		c.Routes = append(c.Routes, routing.Route{Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("host-%d.example", i%50),
			Prefix: fmt.Sprintf("/%x/", i*7919), Kind: routing.Idempotent, Timeout: 5 * time.Second, TargetLatency: time.Second,
			Targets: []routing.Target{{Service: "proofer", Weight: 1}}, MaxAttempts: 3})
	}
	return c
}

// TestChangeIsNotSentAsWholeCopies guards against sending the whole catalog or roster to each host
// for a change of a small part: on large fleets the copies kept changes from hosts for seconds.
func TestChangeIsNotSentAsWholeCopies(t *testing.T) {
	const hosts, routes, instances = 8, 3000, 600
	l := startLeader(t)
	ctx := t.Context()
	if err := l.PutConfig(ctx, nil, largeConfig(1, routes)); err != nil {
		t.Fatal(err)
	}
	announce := func(i int, state roster.State, seq uint64) {
		t.Helper()
		x := roster.Instance{ID: fmt.Sprintf("i-%04d", i), Service: "proofer", Addr: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Zone: "a",
			Slots: 4, State: state, Born: 1000, Seq: seq}
		if err := l.Announce(ctx, x); err != nil {
			t.Fatal(err)
		}
	}
	for i := range instances {
		announce(i, roster.Ready, 1)
	}
	all := l.startHosts(t, hosts)
	version := func(v uint64) func() bool {
		return func() bool {
			return !slices.ContainsFunc(all, func(f *feed.Feed) bool {
				table := f.State().Table
				return table == nil || table.Config.Version < v
			})
		}
	}
	waitUntil(t, "the first copies", func() bool {
		return version(1)() && !slices.ContainsFunc(all, func(f *feed.Feed) bool { return len(f.State().Instances) < instances })
	})
	draining := func(i int) func() bool {
		return func() bool {
			return !slices.ContainsFunc(all, func(f *feed.Feed) bool { return f.State().Instances[i].State != roster.Draining })
		}
	}
	moreRoutes := largeConfig(3, routes+10)
	lessRoutes := largeConfig(4, routes+10)
	lessRoutes.Routes = slices.Delete(lessRoutes.Routes, 1000, 1500)
	for _, c := range []struct {
		name   string
		change func() error
		done   func() bool
		// most is the number of bytes that the change may cost for each host.
		most int64
	}{
		{"version only", func() error { return l.PutConfig(ctx, nil, largeConfig(2, routes)) }, version(2), 4 << 10},
		{"ten routes more", func() error { return l.PutConfig(ctx, nil, moreRoutes) }, version(3), 8 << 10},
		{"500 routes removed", func() error { return l.PutConfig(ctx, nil, lessRoutes) }, version(4), 4 << 10},
		{"a server leaves", func() error { announce(17, roster.Draining, 2); return nil }, draining(17), 4 << 10},
	} {
		before := l.sent.Load()
		if err := c.change(); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, c.name, c.done)
		if cost := (l.sent.Load() - before) / hosts; cost > c.most {
			t.Errorf("%s: %d bytes for each host, at most %d", c.name, cost, c.most)
		}
	}
	for _, f := range all {
		if got := f.State().Table.Config; !slices.EqualFunc(got.Routes, lessRoutes.Routes, func(a, b routing.Route) bool { return a.Name == b.Name }) {
			t.Errorf("%d routes at a host, or in another order, want %d", len(got.Routes), len(lessRoutes.Routes))
		}
	}
}

// TestHostsOfTheReleaseBeforeGetPlainCopies guards updates host by host: such hosts read neither
// differences nor compressed copies.
func TestHostsOfTheReleaseBeforeGetPlainCopies(t *testing.T) {
	l := startLeader(t)
	for v := range uint64(3) {
		if err := l.PutConfig(t.Context(), nil, largeConfig(v+1, 20)); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Announce(t.Context(), roster.Instance{ID: "i", Service: "proofer", Addr: "10.0.0.1:80", Slots: 4, State: roster.Ready, Born: 1, Seq: 1}); err != nil {
		t.Fatal(err)
	}
	var n *fleet.News
	waitUntil(t, "an update", func() bool {
		var err error
		n, err = l.Watch(t.Context(), &fleet.Report{Host: &fleet.Host{Name: "entry-1"}, Role: settings.RoleEntry, Incarnation: 1})
		return err == nil && n.Roster > 0
	})
	public, err := catalog.DecodePublic(n.State, false)
	if err != nil || n.Compressed || n.Partial || len(n.Changes) > 0 || public.Config.Version != 3 {
		t.Errorf("got compressed %v, partial %v, %d differences, error %v", n.Compressed, n.Partial, len(n.Changes), err)
	}
	var instances []roster.Instance
	if err := json.Unmarshal(n.Instances, &instances); err != nil || len(instances) != 1 {
		t.Errorf("got %d instances, error %v", len(instances), err)
	}
}

// TestSearchGetsNoFullCopies guards against a host that cannot find the leader, since each call ends
// before a full copy has arrived.
func TestSearchGetsNoFullCopies(t *testing.T) {
	l := startLeader(t)
	if err := l.PutConfig(t.Context(), nil, largeConfig(1, 20)); err != nil {
		t.Fatal(err)
	}
	ask := func(waitMS uint32) *fleet.News {
		t.Helper()
		n, err := l.Watch(t.Context(), &fleet.Report{Host: &fleet.Host{Name: "entry-1"}, Role: settings.RoleEntry, Incarnation: 1,
			Differences: true, Waitms: waitMS})
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	if n := ask(0); n.Catalog == 0 || len(n.State) > 0 || n.Roster > 0 {
		t.Errorf("a search got catalog %d with %d bytes, roster %d", n.Catalog, len(n.State), n.Roster)
	}
	if n := ask(800); len(n.State) == 0 || !n.Compressed {
		t.Errorf("the call after it got %d bytes, compressed %v", len(n.State), n.Compressed)
	}
}

// TestCopiesAreEncodedOnce counts how often a full copy is encoded for many hosts.
func TestCopiesAreEncodedOnce(t *testing.T) {
	var c copyCache
	encoded := 0
	get := func(revision uint64) string {
		return string(c.get(copyKey{kind: fullCatalog}, revision, func() []byte {
			encoded++
			return []byte(fmt.Sprint(revision))
		}))
	}
	for revision := range uint64(5) {
		for range 300 {
			if got := get(revision); got != fmt.Sprint(revision) {
				t.Fatalf("got the copy of revision %s, want %d", got, revision)
			}
		}
	}
	if encoded != 5 {
		t.Errorf("encoded %d times, want 5", encoded)
	}
	if get(2) != "2" || get(4) != "4" || encoded != 6 {
		t.Errorf("a late call for an earlier revision replaced the latest copy: encoded %d times", encoded)
	}
}

// TestLeavingServerIsToldToAllHosts lets one host report what a server has said in a response. The
// server's own announcements do not change that until it starts again.
func TestLeavingServerIsToldToAllHosts(t *testing.T) {
	l := startLeader(t)
	ctx := t.Context()
	announce := func(born int64, seq uint64) {
		t.Helper()
		x := roster.Instance{ID: "i", Service: "proofer", Addr: "10.0.0.1:80", Zone: "a", Slots: 4, State: roster.Ready, Born: born, Seq: seq}
		if err := l.Announce(ctx, x); err != nil {
			t.Fatal(err)
		}
	}
	report := func(born int64) {
		t.Helper()
		_, err := l.Watch(ctx, &fleet.Report{Host: &fleet.Host{Name: "entry-9"}, Role: settings.RoleEntry, Incarnation: 1, Differences: true,
			LeavingServers: []*fleet.Incarnation{{Instance: "i", Born: born}, {Instance: "unknown", Born: 1}}})
		if err != nil {
			t.Fatal(err)
		}
	}
	announce(5, 1)
	hosts := l.startHosts(t, 3)
	await := func(what string, state roster.State, born int64) {
		t.Helper()
		waitUntil(t, what, func() bool {
			return !slices.ContainsFunc(hosts, func(f *feed.Feed) bool {
				all := f.State().Instances
				return len(all) != 1 || all[0].State != state || all[0].Born != born
			})
		})
	}
	await("the server", roster.Ready, 5)
	report(4)
	report(5)
	await("the server to leave", roster.Draining, 5)
	announce(5, 2)
	report(5)
	err := l.onLeader(ctx, func(l *leadership) error {
		if x, _ := l.roster.Get("i"); x.State != roster.Draining || x.Seq != 2 {
			t.Errorf("after another announcement the leader has %+v", x)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	announce(6, 1) // anyone can say so: the server that leaves must be silent until the next announcement
	report(5)
	await("one announcement of a server that has started again", roster.Draining, 5)
	time.Sleep(1100 * time.Millisecond)
	announce(6, 2)
	await("the server that has started again", roster.Ready, 6)
}

// TestInvalidInstanceStopsNoHost guards against a stored entry whose ID no message can carry: once it
// was removed, the leader could answer no host that had the roster of before. A leader that finds odd
// entries in the log, which an older version has stored, must leave them out.
func TestInvalidInstanceStopsNoHost(t *testing.T) {
	now := time.Now()
	good := roster.Instance{ID: "good", Service: "proofer", Addr: "10.0.0.1:80", Zone: "a", Slots: 4, State: roster.Ready, Born: 1, Seq: 1}
	odd := func(change func(x *roster.Instance)) roster.Instance {
		x := good
		x.ID = "odd"
		change(&x)
		return x
	}
	for name, x := range map[string]roster.Instance{
		"id":    odd(func(x *roster.Instance) { x.ID = "\xff\xfe" }),
		"port":  odd(func(x *roster.Instance) { x.Addr = "10.0.0.2:99999" }),
		"slots": odd(func(x *roster.Instance) { x.Slots = math.MaxInt }),
		"cold":  odd(func(x *roster.Instance) { x.ColdUntil = math.MaxInt64 }),
	} {
		l := newLeadership(1, now)
		if invalid := l.loadRoster([]roster.Instance{x, good}, nil); len(invalid) != 1 || invalid[x.ID] == nil {
			t.Errorf("%s: dropped %v", name, invalid)
		}
		revision := l.roster.Revision
		l.roster.Expire(now.Add(time.Hour))
		changed, removed, ok := l.roster.Since(revision, false)
		if _, err := proto.Marshal(&fleet.News{Removed: removed}); err != nil || !ok || len(changed) > 0 || !slices.Equal(removed, []string{"good"}) {
			t.Errorf("%s: removed %q, error %v", name, removed, err)
		}
	}
}

// TestAnnouncementOfAnUnknownService guards against another writer that names a service of no
// configuration and the address of a server: the server must not be taken for gone.
func TestAnnouncementOfAnUnknownService(t *testing.T) {
	l := startLeader(t)
	ctx := t.Context()
	if err := l.PutConfig(ctx, nil, largeConfig(1, 1)); err != nil {
		t.Fatal(err)
	}
	server := roster.Instance{ID: "i", Service: "proofer", Addr: "10.0.0.1:80", Zone: "a", Slots: 4, State: roster.Ready, Born: 1, Seq: 1}
	odd := server
	odd.ID, odd.Service, odd.Born = "w", "another", 1<<40
	if err := l.Announce(ctx, server); err != nil {
		t.Fatal(err)
	}
	var invalid *routing.FieldError
	if err := l.Announce(ctx, odd); !errors.As(err, &invalid) || invalid.Field != "service" {
		t.Errorf("the odd announcement: %v", err)
	}
	err := l.onLeader(ctx, func(l *leadership) error {
		if all := l.roster.All(); len(all) != 1 || all[0].State != roster.Ready {
			t.Errorf("the roster has %+v", all)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestDepartureIsInTheLog guards against a departure that is acknowledged and forgotten, since all
// control processes end before the roster is next saved.
func TestDepartureIsInTheLog(t *testing.T) {
	l := startLeader(t)
	ctx := t.Context()
	for i := range 5 {
		x := roster.Instance{ID: fmt.Sprint("i-", i), Service: "proofer", Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "a", Slots: 4,
			State: roster.Ready, Born: 1, Seq: 1}
		if err := l.Announce(ctx, x); err != nil {
			t.Fatal(err)
		}
	}
	var g errgroup.Group
	for i := range 5 {
		g.Go(func() error {
			id := fmt.Sprint("i-", i)
			if err := l.Depart(ctx, id, 1); err != nil {
				return err
			}
			return l.do(ctx, func() {
				at := slices.IndexFunc(l.catalog.Instances, func(x roster.Instance) bool { return x.ID == id })
				if at < 0 || l.catalog.Instances[at].State != roster.Gone {
					t.Errorf("%s: the log has %+v", id, l.catalog.Instances)
				}
			})
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if err := l.Depart(ctx, "i-1", 1); err != nil || time.Since(start) > time.Second {
		t.Errorf("a repeated departure: %v after %v", err, time.Since(start))
	}
}
