package store

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// slowStore is the replica of a store process whose disk syncs take at least syncTime, and which
// gets no calls while cut is set.
type slowStore struct {
	*Server
	syncTime atomic.Int64
	cut      atomic.Bool
}

// startGroup runs the replicas of three store processes that form a group, and returns the leader
// and the others.
func startGroup(t *testing.T) (lead *slowStore, others []*slowStore) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var all []*slowStore
	var members quorum.Members
	for range 3 {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		port := lis.Addr().(*net.TCPAddr).Port
		x := &slowStore{}
		files := disk.RealFiles()
		sync := files.Sync
		files.Sync = func(f *os.File) error {
			time.Sleep(time.Duration(x.syncTime.Load()))
			return sync(f)
		}
		x.Server, err = New(Config{Site: settings.Site{Role: settings.RoleStore, Host: lis.Addr().String(), IP: "127.0.0.1", Ports: []int{port, port},
			DataDir: t.TempDir(), MaxLostHosts: 1}, Log: logrus.NewEntry(log), Scope: tally.NoopScope, Files: files,
			Timing: quorum.StallTolerantTiming(), Client: &http.Client{Transport: &http.Transport{}}, Engines: attempt.NewClient()})
		if err != nil {
			t.Fatal(err)
		}
		handler := x.Handler()
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if x.cut.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			handler.ServeHTTP(w, r)
		})}
		go srv.Serve(lis)
		stopped := make(chan struct{})
		go func() { defer close(stopped); _ = x.replica.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-stopped; srv.Close(); x.Close() })
		all = append(all, x)
		members = append(members, quorum.Member{ID: quorum.NodeID(x.replica.Disk()), Addr: x.cfg.Site.InternalAddr()})
	}
	if err := all[0].replica.Bootstrap(ctx, members); err != nil {
		t.Fatal(err)
	}
	return awaitLeader(t, all)
}

// awaitLeader waits until one of the processes holds the lease, and returns it and the others.
func awaitLeader(t *testing.T, all []*slowStore) (lead *slowStore, others []*slowStore) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, x := range all {
			if _, _, ok := x.replica.Node().HoldsLease(); ok {
				return x, append(all[:i:i], all[i+1:]...)
			}
		}
	}
	t.Fatal("no store process was elected")
	return nil, nil
}

// submitWhileCut cuts all processes off right before a submission to the leader, so that it is in
// the leader's log with an unknown outcome, and returns the leader and the others. A leader that
// loses its lease in between refuses the submission; then the next one is tried.
func submitWhileCut(t *testing.T, all []*slowStore, id string) (lead *slowStore, others []*slowStore) {
	t.Helper()
	for range 10 {
		for _, x := range all {
			x.cut.Store(false)
		}
		lead, others = awaitLeader(t, all)
		for _, x := range all {
			x.cut.Store(true)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
		_, err := lead.Submit(ctx, submissionOf(t, id))
		cancel()
		var e twirp.Error
		switch {
		case errors.As(err, &e) && e.Code() == twirp.Unavailable:
			return lead, others
		case !errors.As(err, &e) || e.Code() != twirp.FailedPrecondition:
			t.Fatalf("the submission has no unknown outcome: %v", err)
		}
	}
	t.Fatal("no leader kept its lease")
	return nil, nil
}

// TestEndOfABatchThatIsBeingAccepted ends a batch while its submission is in the leader's log and
// not committed yet, since the disks of the other replicas are slow. In whichever order the two
// are logged, the batch must not be open afterwards.
func TestEndOfABatchThatIsBeingAccepted(t *testing.T) {
	t.Parallel()
	lead, others := startGroup(t)
	for _, x := range others {
		x.syncTime.Store(int64(300 * time.Millisecond))
	}
	accepted := make(chan error, 1)
	go func() {
		_, err := lead.Submit(context.Background(), submissionOf(t, "b"))
		accepted <- err
	}()
	time.Sleep(100 * time.Millisecond)
	_, endErr := lead.End(context.Background(), &fleet.BatchKey{Batch: "b", Workspace: "w"})
	if err := <-accepted; err != nil {
		t.Fatal(err)
	}
	if n := lead.openItems(t, "b"); n > 0 {
		t.Errorf("%d items are open after the end of their batch (%v)", n, endErr)
	}
}

// TestSubmissionAfterItsEnd accepts a batch whose end was asked for before, as happens when an
// entry host was suspended in between: it must be accepted as ended.
func TestSubmissionAfterItsEnd(t *testing.T) {
	t.Parallel()
	lead, _ := startGroup(t)
	key := &fleet.BatchKey{Batch: "b", Workspace: "w"}
	var e twirp.Error
	if _, err := lead.End(context.Background(), key); !errors.As(err, &e) || e.Code() != twirp.NotFound {
		t.Fatalf("the end of an unknown batch: %v", err)
	}
	if _, err := lead.Submit(context.Background(), submissionOf(t, "b")); err != nil {
		t.Fatal(err)
	}
	if n := lead.openItems(t, "b"); n > 0 {
		t.Errorf("%d items are open after the end of their batch", n)
	}
	if _, err := lead.End(context.Background(), key); err != nil {
		t.Errorf("the repeated end: %v", err)
	}
}

func submissionOf(t *testing.T, id string) *fleet.Submission {
	data, err := testBatch(id, batch.Item{ID: "i", Path: "/"}).Encode()
	if err != nil {
		t.Error(err)
	}
	return &fleet.Submission{Id: id, Batch: data}
}

// openItems returns the number of open items of a batch at the leader.
func (x *slowStore) openItems(t *testing.T, id string) (n int) {
	t.Helper()
	if err := x.onLeader(context.Background(), func() { n = len(x.batches.Get(id).OpenItems()) }); err != nil {
		t.Fatal(err)
	}
	return n
}

// TestUnknownSubmissionIsCommittedLate cuts the leader off right before a submission, which thus
// has an unknown outcome, and ends the batch, which no host can. When the leader and one other
// host reach each other again, the batch is accepted, although nobody submits it again; only an
// end after that ends it. It shows how late a submission can take effect: whoever was told that
// an end failed must repeat it after the group has a leader again.
func TestUnknownSubmissionIsCommittedLate(t *testing.T) {
	t.Parallel()
	lead, others := startGroup(t)
	all := append([]*slowStore{lead}, others...)
	lead, others = submitWhileCut(t, all, "b")
	start := time.Now()
	time.Sleep(2 * time.Second)
	key := &fleet.BatchKey{Batch: "b", Workspace: "w"}
	for _, x := range all {
		if _, err := x.End(context.Background(), key); err == nil {
			t.Fatal("a host without a majority ended the batch")
		}
	}
	lead.cut.Store(false)
	others[0].cut.Store(false)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		open := -1
		err := lead.onLeader(context.Background(), func() {
			if b := lead.batches.Get("b"); b != nil {
				open = len(b.OpenItems())
			}
		})
		if err == nil {
			t.Logf("%d ms after its outcome became unknown the batch is accepted, with %d open items", time.Since(start).Milliseconds(), open)
			if open != 1 {
				t.Errorf("the batch has %d open items", open)
			}
			break
		}
		if time.Now().After(end) {
			t.Fatal("the group has no leader")
		}
	}
	if _, err := lead.End(context.Background(), key); err != nil {
		t.Errorf("the end after the return of the leader failed: %v", err)
	}
}
