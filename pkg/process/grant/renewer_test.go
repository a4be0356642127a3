package grant

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/pkg/connection/backendserver"
	"github.com/plantainbank/plantainbank/pkg/process/leader"
	"github.com/plantainbank/plantainbank/pkg/version/view"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// fakeControl answers renewals with a function.
type fakeControl struct {
	pb.Control
	mu     sync.Mutex
	answer func(q *pb.RenewRequest) (*pb.Grant, error)
}

func (f *fakeControl) Renew(_ context.Context, q *pb.RenewRequest) (*pb.Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answer(q)
}

func (f *fakeControl) set(answer func(q *pb.RenewRequest) (*pb.Grant, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = answer
}

func newRenewer(t *testing.T, f *fakeControl) (*Renewer, *backendserver.Table) {
	t.Helper()
	srv := httptest.NewServer(pb.NewControlServer(f))
	t.Cleanup(srv.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := backendserver.New(backendserver.Policy{Choice: "wait"}, 1)
	r := New(Config{Host: "h", Incarnation: 1, Wait: 50 * time.Millisecond, Table: table, Log: logrus.NewEntry(log),
		Leader: leader.New([]string{srv.Listener.Addr().String()}, srv.Client(), "http://"),
		Usage:  func() []*pb.Usage { return nil }, Demand: func() []*pb.Demand { return nil },
		Load: func() []*pb.Load { return nil }, Changed: func(*view.View, bool) {}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.Run(ctx)
	return r, table
}

func grantOf(revision uint64, ms uint32) func(*pb.RenewRequest) (*pb.Grant, error) {
	return func(q *pb.RenewRequest) (*pb.Grant, error) {
		g := &pb.Grant{Term: 1, Revision: revision, Full: true, Durationms: ms}
		for i := range revision {
			g.Records = append(g.Records, &pb.Record{Kind: "workspace", Name: fmt.Sprint("w", i), Schema: 2, Revision: i + 1, Spec: []byte(`{"weight":1}`)})
		}
		return g, nil
	}
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timeout waiting for %s", what)
}

func hasRevision(r *Renewer, revision uint64) func() bool {
	return func() bool {
		v, ok := r.View()
		return ok && v.Revision == revision
	}
}

// TestOlderRevisionIsIgnored renews at a leader that answers with an older revision: the
// renewer stays at its revision and accepts the next newer one.
func TestOlderRevisionIsIgnored(t *testing.T) {
	f := &fakeControl{answer: grantOf(5, 60_000)}
	r, _ := newRenewer(t, f)
	await(t, "revision 5", hasRevision(r, 5))
	var answered sync.WaitGroup
	answered.Add(3)
	left := 3
	f.set(func(q *pb.RenewRequest) (*pb.Grant, error) {
		if left > 0 {
			left--
			answered.Done()
		}
		return grantOf(3, 60_000)(q)
	})
	answered.Wait()
	if v, _ := r.View(); v.Revision != 5 || len(v.Workspaces) != 5 {
		t.Fatalf("view went back to revision %d, want 5 with 5 workspaces", v.Revision)
	}
	f.set(grantOf(6, 60_000))
	await(t, "revision 6", hasRevision(r, 6))
}

// TestLeaseEndsWithoutAnswers makes the leader fail all renewals. The lease and the
// shares end, and return with the next grant.
func TestLeaseEndsWithoutAnswers(t *testing.T) {
	answer := func(q *pb.RenewRequest) (*pb.Grant, error) {
		g, _ := grantOf(1, 300)(q)
		g.Table, g.Tablesent = 1, true
		g.Backends = []*pb.Backend{{Announced: &pb.Announcement{Id: "s", Pool: "p"}, Limit: 4}}
		g.Shares = []*pb.Share{{Backend: "s", Share: 2}}
		return g, nil
	}
	f := &fakeControl{answer: answer}
	r, table := newRenewer(t, f)
	await(t, "a share", func() bool { return table.Capacity("p") == 2 })
	f.set(func(*pb.RenewRequest) (*pb.Grant, error) { return nil, context.DeadlineExceeded })
	await(t, "the end of the lease", func() bool { _, ok := r.View(); return !ok })
	await(t, "the end of the shares", func() bool { return table.Capacity("p") == 0 })
	f.set(answer)
	await(t, "the renewed lease", hasRevision(r, 1))
	await(t, "the renewed share", func() bool { return table.Capacity("p") == 2 })
}

// TestNewLeaderReceivesAllAnnouncements announces a server and then changes the leader.
// The new leader receives the announcement although the old one already has it.
func TestNewLeaderReceivesAllAnnouncements(t *testing.T) {
	var mu sync.Mutex
	received := map[uint64]int{}
	term := uint64(1)
	f := &fakeControl{}
	f.set(func(q *pb.RenewRequest) (*pb.Grant, error) {
		mu.Lock()
		defer mu.Unlock()
		received[term] += len(q.Announcements)
		return &pb.Grant{Term: term, Durationms: 60_000}, nil
	})
	r, _ := newRenewer(t, f)
	r.Announce(&pb.Announcement{Id: "s", Incarnation: 1, Seq: 1})
	for _, next := range []uint64{1, 2} {
		mu.Lock()
		term = next
		mu.Unlock()
		await(t, fmt.Sprintf("the server in term %d", next), func() bool {
			mu.Lock()
			defer mu.Unlock()
			return received[next] > 0
		})
	}
}
