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
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// control is a stand-in control process.
type control struct {
	mu    sync.Mutex
	calls int
	// news is the answer; without it the process names lead.
	news *fleet.News
	lead string
	// frozen processes take calls and never answer.
	frozen bool
}

func (c *control) Watch(ctx context.Context, q *fleet.Report) (*fleet.News, error) {
	c.mu.Lock()
	c.calls++
	news, lead, frozen := c.news, c.lead, c.frozen
	c.mu.Unlock()
	switch {
	case frozen:
		<-ctx.Done()
		return nil, ctx.Err()
	case news == nil:
		return nil, twirp.NewError(twirp.FailedPrecondition, "not the leader").WithMeta(LeaderMeta, lead)
	}
	if q.Catalog >= news.Catalog && q.Roster >= news.Roster {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(q.Waitms) * time.Millisecond):
		}
	}
	return news, nil
}

func (c *control) set(f func(*control)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c)
}

func (c *control) asked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func serve(t *testing.T) (*control, string) {
	t.Helper()
	c := &control{}
	srv := httptest.NewServer(fleet.NewDirectorServer(c))
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return c, strings.TrimPrefix(srv.URL, "http://")
}

func news(revision, version uint64) *fleet.News {
	public, _ := json.Marshal(catalog.Public{Config: &routing.Config{Version: version}})
	instances, _ := json.Marshal([]roster.Instance{{ID: "i"}})
	return &fleet.News{Term: 1, Catalog: revision, State: public, Roster: revision, Instances: instances, Lead: "store"}
}

func start(t *testing.T, seeds ...string) *Feed {
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

func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("waited in vain for %s", what)
}

// TestFrozenLeader freezes the leader while the others still name it, then
// lets another lead: the frozen one is not asked again and again.
func TestFrozenLeader(t *testing.T) {
	a, addrA := serve(t)
	b, addrB := serve(t)
	c, addrC := serve(t)
	a.set(func(x *control) { x.news = news(5, 3) })
	b.set(func(x *control) { x.lead = addrA })
	c.set(func(x *control) { x.lead = addrA })
	f := start(t, addrA, addrB, addrC)
	until(t, "the configuration", func() bool { return f.State().Table != nil && f.State().Table.Config.Version == 3 })
	a.set(func(x *control) { x.frozen, x.calls = true, 0 })
	before := b.asked() + c.asked()
	until(t, "questions to the others", func() bool { return b.asked()+c.asked() > before+4 })
	if n := a.asked(); n > 4 {
		t.Errorf("the frozen process was asked %d times", n)
	}
	if f.State().Table.Config.Version != 3 {
		t.Error("the configuration is gone without control")
	}
	b.set(func(x *control) { x.news = news(9, 8) })
	c.set(func(x *control) { x.lead = addrB })
	until(t, "the next leader's configuration", func() bool { return f.State().Table.Config.Version == 8 })
}

// TestOlderNewsChangeNothing lets a leader answer that knows less.
func TestOlderNewsChangeNothing(t *testing.T) {
	a, addr := serve(t)
	a.set(func(x *control) { x.news = news(9, 8) })
	f := start(t, addr)
	until(t, "the configuration", func() bool { return f.State().Catalog == 9 })
	a.set(func(x *control) { x.news, x.calls = news(5, 3), 0 })
	until(t, "older answers", func() bool { return a.asked() > 1 })
	if s := f.State(); s.Catalog != 9 || s.Table.Config.Version != 8 || s.Roster != 9 {
		t.Fatalf("went back to %+v", s)
	}
}

func TestNewSeedsAreAsked(t *testing.T) {
	a, addr := serve(t)
	a.set(func(x *control) { x.news = news(2, 1) })
	f := start(t, "127.0.0.1:1")
	f.Reseed([]string{addr})
	until(t, "the configuration", func() bool { return f.State().Table != nil })
}

// TestProvisionalNews learns from a process that does not lead what its disk
// holds: the host serves by that, and goes on looking for a leader, whose news
// replace it.
func TestProvisionalNews(t *testing.T) {
	a, addrA := serve(t)
	b, addrB := serve(t)
	a.set(func(x *control) {
		x.news = news(5, 3)
		x.news.Provisional, x.news.Roster, x.news.Lead = true, 1, ""
	})
	f := start(t, addrA, addrB)
	until(t, "the configuration of the disk", func() bool { return f.State().Table != nil && f.State().Table.Config.Version == 3 })
	before := b.asked()
	until(t, "more questions", func() bool { return b.asked() > before+2 })
	if s := f.State(); !s.LastHeard.IsZero() || s.Roster != 1 {
		t.Fatalf("provisional news count as a leader's: %+v", s)
	}
	leader := news(9, 8)
	b.set(func(x *control) { x.news = leader })
	until(t, "the leader's news", func() bool {
		s := f.State()
		return s.Table.Config.Version == 8 && s.Roster == 9 && s.StoreLeader == "store"
	})
}
