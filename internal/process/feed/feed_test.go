package feed

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// fakeControl is a fake control process.
type fakeControl struct {
	fleet.Director // its other calls are not made
	mu             sync.Mutex
	calls          int
	// update is the answer; if it is nil the process redirects to lead.
	update *fleet.News
	lead   string
	// hung processes accept calls and never answer.
	hung bool
	// answer overrides update; if it returns nil the call is held. It is called with mu held.
	answer func(*fleet.Report) *fleet.News
}

func (c *fakeControl) Watch(ctx context.Context, q *fleet.Report) (*fleet.News, error) {
	c.mu.Lock()
	c.calls++
	update, lead, hung := c.update, c.lead, c.hung
	if c.answer != nil {
		n := c.answer(q)
		c.mu.Unlock()
		return c.hold(ctx, q, n)
	}
	c.mu.Unlock()
	switch {
	case hung:
		<-ctx.Done()
		return nil, ctx.Err()
	case update == nil:
		return nil, twirp.NewError(twirp.FailedPrecondition, "not the leader").WithMeta(LeaderMeta, lead)
	}
	if q.Catalog >= update.Catalog && q.Roster >= update.Roster {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(q.Waitms) * time.Millisecond):
		}
	}
	return update, nil
}

// hold returns an answer, after a short wait if there is none.
func (c *fakeControl) hold(ctx context.Context, q *fleet.Report, n *fleet.News) (*fleet.News, error) {
	if n == nil {
		select {
		case <-ctx.Done():
		case <-time.After(min(20, time.Duration(q.Waitms)) * time.Millisecond):
		}
		n = &fleet.News{Term: 1, Catalog: q.Catalog}
	}
	return n, nil
}

func (c *fakeControl) set(f func(*fakeControl)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c)
}

func (c *fakeControl) callCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func startControl(t *testing.T) (*fakeControl, string) {
	t.Helper()
	c := &fakeControl{}
	srv := httptest.NewServer(fleet.NewDirectorServer(c))
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return c, strings.TrimPrefix(srv.URL, "http://")
}

func newUpdate(revision, version uint64) *fleet.News {
	public, _ := json.Marshal(catalog.Public{Config: &routing.Config{Version: version}})
	instances, _ := json.Marshal([]roster.Instance{{ID: "i", Addr: "10.0.0.1:80", Slots: 4, State: roster.Ready}})
	return &fleet.News{Term: 1, Catalog: revision, State: public, Roster: revision, Instances: instances, Lead: "store"}
}

func startFeed(t *testing.T, seeds ...string) *Feed {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := New(Config{Role: "entry", Host: "h", Incarnation: 1, Client: &http.Client{}, Log: logrus.NewEntry(log),
		Report: func(*fleet.Report) {}, Changed: func(*State) {}}, seeds)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// TestHungLeader guards against calling a hung leader over and over because the other
// processes still name it. The feed must keep its state, and find the next leader.
func TestHungLeader(t *testing.T) {
	a, addrA := startControl(t)
	b, addrB := startControl(t)
	c, addrC := startControl(t)
	a.set(func(x *fakeControl) { x.update = newUpdate(5, 3) })
	b.set(func(x *fakeControl) { x.lead = addrA })
	c.set(func(x *fakeControl) { x.lead = addrA })
	f := startFeed(t, addrA, addrB, addrC)
	waitFor(t, "the configuration", func() bool { return f.State().Table != nil && f.State().Table.Config.Version == 3 })
	a.set(func(x *fakeControl) { x.hung, x.calls = true, 0 })
	before := b.callCount() + c.callCount()
	waitFor(t, "calls to the others", func() bool { return b.callCount()+c.callCount() > before+4 })
	if n := a.callCount(); n > 4 {
		t.Errorf("the hung process was called %d times", n)
	}
	if f.State().Table.Config.Version != 3 {
		t.Error("the configuration was lost while no leader answers")
	}
	b.set(func(x *fakeControl) { x.update = newUpdate(9, 8) })
	c.set(func(x *fakeControl) { x.lead = addrB })
	waitFor(t, "the next leader's configuration", func() bool { return f.State().Table.Config.Version == 8 })
}

// TestStaleUpdateIsIgnored guards against going back to an older revision when a leader
// that has applied less of the log answers.
func TestStaleUpdateIsIgnored(t *testing.T) {
	a, addr := startControl(t)
	a.set(func(x *fakeControl) { x.update = newUpdate(9, 8) })
	f := startFeed(t, addr)
	waitFor(t, "the configuration", func() bool { return f.State().Catalog == 9 })
	a.set(func(x *fakeControl) { x.update, x.calls = newUpdate(5, 3), 0 })
	waitFor(t, "stale answers", func() bool { return a.callCount() > 1 })
	if s := f.State(); s.Catalog != 9 || s.Table.Config.Version != 8 || s.Roster != 9 {
		t.Fatalf("the state went back to an older revision: %+v", s)
	}
}

func TestNewSeedsAreCalled(t *testing.T) {
	a, addr := startControl(t)
	a.set(func(x *fakeControl) { x.update = newUpdate(2, 1) })
	f := startFeed(t, "127.0.0.1:1")
	f.SetSeeds([]string{addr})
	waitFor(t, "the configuration", func() bool { return f.State().Table != nil })
}

// TestProvisionalUpdate applies the state that a process without leadership found on its
// disk: the host uses it and continues to look for a leader, whose update replaces it.
func TestProvisionalUpdate(t *testing.T) {
	a, addrA := startControl(t)
	b, addrB := startControl(t)
	a.set(func(x *fakeControl) {
		x.update = newUpdate(5, 3)
		x.update.Provisional, x.update.Roster, x.update.Lead = true, 1, ""
	})
	f := startFeed(t, addrA, addrB)
	waitFor(t, "the configuration from disk", func() bool { return f.State().Table != nil && f.State().Table.Config.Version == 3 })
	before := b.callCount()
	waitFor(t, "more calls", func() bool { return b.callCount() > before+2 })
	if s := f.State(); !s.LastContact.IsZero() || s.Roster != 1 {
		t.Fatalf("a provisional update was taken for a leader's: %+v", s)
	}
	leader := newUpdate(9, 8)
	b.set(func(x *fakeControl) { x.update = leader })
	waitFor(t, "the leader's update", func() bool {
		s := f.State()
		return s.Table.Config.Version == 8 && s.Roster == 9 && s.StoreLeader == "store"
	})
	b.set(func(x *fakeControl) { // another one restarts, with an older state on its disk
		x.update = newUpdate(7, 4)
		x.update.Provisional, x.update.Roster, x.update.Lead, x.update.Term = true, 1, "", 0
	})
	before = b.callCount()
	waitFor(t, "more calls", func() bool { return b.callCount() > before+2 })
	if s := f.State(); s.Table.Config.Version != 8 || s.Catalog != 9 || s.Roster != 9 || s.Term != leader.Term {
		t.Errorf("a provisional update replaced what a leader has sent: catalog %d, roster %d, term %d", s.Catalog, s.Roster, s.Term)
	}
}

// TestControlsThatNameEachOther polls two control processes that both have lost the leader and
// name each other. Each retry delay may be followed by maxRedirects further calls.
func TestControlsThatNameEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const period = 2 * time.Second
		other := map[string]string{"c1:1": "c2:1", "c2:1": "c1:1"}
		calls := 0
		client := &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			calls++
			time.Sleep(time.Millisecond)
			w := httptest.NewRecorder()
			_ = twirp.WriteError(w, twirp.NewError(twirp.FailedPrecondition, "not the leader").WithMeta(LeaderMeta, other[r.URL.Host]))
			return w.Result(), nil
		})}
		log := logrus.New()
		log.SetOutput(io.Discard)
		f := New(Config{Host: "h", Incarnation: 1, Client: client, Log: logrus.NewEntry(log), Report: func(*fleet.Report) {},
			Changed: func(*State) {}}, []string{"c1:1", "c2:1"})
		ctx, cancel := context.WithTimeout(context.Background(), period)
		defer cancel()
		f.Run(ctx)
		if most := (1 + maxRedirects) * (1 + int(period/retryMin)); calls > most {
			t.Errorf("%d calls in %v, want at most %d", calls, period, most)
		}
	})
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestQuarantineIsMergedOnce checks that cases are passed on when their revision is new, and
// that the host then reports it.
func TestQuarantineIsMergedOnce(t *testing.T) {
	var got [][]*fleet.Case
	f := New(Config{Changed: func(*State) {}, Quarantine: func(c []*fleet.Case) { got = append(got, c) }}, nil)
	for _, c := range []struct {
		revision uint64
		merged   int
	}{{0, 0}, {5, 1}, {0, 1}, {5, 1}, {4, 1}, {6, 2}} {
		if err := f.apply(&fleet.News{Quarantine: c.revision, Cases: []*fleet.Case{{}}}); err != nil {
			t.Fatal(err)
		}
		if len(got) != c.merged {
			t.Errorf("revision %d: merged %d times, want %d", c.revision, len(got), c.merged)
		}
	}
	if f.State().Quarantine != 6 {
		t.Errorf("revision is %d, want 6", f.State().Quarantine)
	}
}

// TestPressuresAreReplaced guards against shares that outlive the pressure, and against a process without leadership that
// ends them. A leader of the build before names none.
func TestPressuresAreReplaced(t *testing.T) {
	services := -1
	f := New(Config{Changed: func(*State) {}, Pressures: func(all []*fleet.Pressure) { services = len(all) }}, nil)
	for _, c := range []struct {
		news *fleet.News
		want int
	}{
		{&fleet.News{Pressures: []*fleet.Pressure{{Service: "a"}}}, 1},
		{&fleet.News{Provisional: true}, 1},
		{&fleet.News{}, 0},
	} {
		if err := f.apply(c.news); err != nil || services != c.want {
			t.Errorf("%d services, want %d; %v", services, c.want, err)
		}
	}
}

// TestReportNowDuringReport calls ReportNow after the report of a call was made and before the
// call is sent: the call must not wait without the news.
func TestReportNowDuringReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := fleet.NewDirectorServer(&fakeControl{update: &fleet.News{Term: 1}})
		client := &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			w := httptest.NewRecorder()
			control.ServeHTTP(w, r)
			return w.Result(), r.Context().Err()
		})}
		f := New(Config{Role: "entry", Host: "h", Incarnation: 1, Client: client, Changed: func(*State) {}}, []string{"control:1"})
		f.cfg.Report = func(*fleet.Report) {}
		f.Poll(t.Context())
		f.cfg.Report = func(*fleet.Report) { f.ReportNow() }
		start := time.Now()
		f.Poll(t.Context())
		if took := time.Since(start); took > 0 {
			t.Errorf("the call waited for %v", took)
		}
	})
}

// TestMismatchIsFollowedByAFullCopy guards against a host that keeps an old catalog for good because
// the differences it gets do not apply to it.
func TestMismatchIsFollowedByAFullCopy(t *testing.T) {
	c := catalog.New()
	for version := range uint64(4) {
		x := &catalog.Command{Config: &catalog.ConfigChange{Config: &routing.Config{Version: version + 1}}}
		if _, err := c.Apply(version+1, x.Encode()); err != nil {
			t.Fatal(err)
		}
	}
	changes, _ := c.Since(2)
	control, addr := startControl(t)
	control.set(func(x *fakeControl) {
		x.update = newUpdate(1, 1)
		x.answer = func(q *fleet.Report) *fleet.News {
			if q.Catalog == 0 {
				return &fleet.News{Term: 1, Catalog: 1, State: newUpdate(1, 1).State}
			}
			return nil
		}
	})
	f := startFeed(t, addr)
	waitFor(t, "the first copy", func() bool { return f.State().Catalog == 1 })
	control.set(func(x *fakeControl) {
		x.answer = func(q *fleet.Report) *fleet.News {
			switch q.Catalog {
			case 0:
				return &fleet.News{Term: 1, Catalog: 4, State: c.Public.Encode()}
			case 1:
				return &fleet.News{Term: 1, Catalog: 4, Compressed: true, Changes: changes}
			}
			return nil
		}
	})
	waitFor(t, "the full copy", func() bool { return f.State().Catalog == 4 && f.State().Table.Config.Version == 4 })
}

// TestDifferencesAreApplied follows a leader that sends only what has changed.
func TestDifferencesAreApplied(t *testing.T) {
	c := catalog.New()
	put := func(version uint64) {
		x := &catalog.Command{Config: &catalog.ConfigChange{Config: &routing.Config{Version: version,
			Routes: []routing.Route{{Name: "r", Prefix: "/"}, {Name: "s", Prefix: "/s/"}}[:version%2+1]}}}
		if _, err := c.Apply(version, x.Encode()); err != nil {
			t.Error(err)
		}
	}
	put(1)
	control, addr := startControl(t)
	var full, partial int
	control.set(func(x *fakeControl) {
		x.answer = func(q *fleet.Report) *fleet.News {
			n := &fleet.News{Term: 1, Catalog: c.Revision, Roster: 7}
			changes, known := c.Since(q.Catalog)
			switch {
			case q.Catalog == c.Revision:
				return nil
			case known:
				partial++
				n.Compressed, n.Changes = true, changes
			default:
				full++
				n.State = c.Public.Encode()
			}
			return n
		}
	})
	f := startFeed(t, addr)
	for version := uint64(1); version <= 6; version++ {
		control.set(func(*fakeControl) {
			if version > 1 {
				put(version)
			}
		})
		waitFor(t, "a version", func() bool {
			s := f.State()
			return s.Catalog == version && s.Table.Config.Version == version && len(s.Table.Config.Routes) == int(version%2)+1
		})
	}
	control.set(func(*fakeControl) {
		if full != 1 || partial != 5 {
			t.Errorf("%d full copies and %d differences, want 1 and 5", full, partial)
		}
	})
}
