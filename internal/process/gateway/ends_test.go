package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/endqueue"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// storeGroup is a store group whose leader ends batches once it is up.
type storeGroup struct {
	fleet.Batches
	up    atomic.Bool
	known map[string]bool
	ended map[string]int
	// requests counts the requests while the group is down.
	requests atomic.Int32
}

func (g *storeGroup) End(_ context.Context, q *fleet.BatchKey) (*fleet.Nothing, error) {
	if !g.known[q.Batch] {
		return nil, twirp.NotFoundError("no such batch")
	}
	g.ended[q.Batch]++
	return &fleet.Nothing{}, nil
}

// RoundTrip serves a call, or fails to connect while the group is down.
func (g *storeGroup) RoundTrip(r *http.Request) (*http.Response, error) {
	if !g.up.Load() {
		g.requests.Add(1)
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	w := httptest.NewRecorder()
	fleet.NewBatchesServer(g).ServeHTTP(w, r)
	return w.Result(), nil
}

func newTestServer(group *storeGroup) *Server {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s := &Server{log: logrus.NewEntry(log)}
	s.feed = feed.New(feed.Config{}, nil)
	s.stores = &storeClient{client: &http.Client{Transport: group}, log: s.log,
		state: func() *feed.State { return &feed.State{StoreLeader: "store:1"} }}
	s.ends = newEndSender(s.stores, s.log, tally.NoopScope)
	return s
}

// TestEndsAreDeliveredAfterAnOutage ends batches while the store group is down, each once. They
// must be delivered when it is back, once each, and the queue must be empty then.
func TestEndsAreDeliveredAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &storeGroup{known: map[string]bool{"a": true, "b": true}, ended: map[string]int{}}
		s := newTestServer(group)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go s.ends.run(ctx)
		for _, id := range []string{"a", "b", "unknown"} {
			if err := s.End(ctx, &fleet.BatchKey{Batch: id, Workspace: "w"}); !errors.Is(err, ErrOutcomeUnknown) {
				t.Fatalf("end of %s: %v", id, err)
			}
		}
		before := group.requests.Load()
		const outage = time.Minute
		time.Sleep(outage)
		if n, most := int(group.requests.Load()-before), 2*int(outage/endqueue.MaxDelay)+8; n > most {
			t.Errorf("%d requests in %v, want at most %d", n, outage, most)
		}
		group.up.Store(true)
		s.ends.await(ctx)
		if group.ended["a"] != 1 || group.ended["b"] != 1 || s.ends.queue.Len() != 0 {
			t.Fatalf("ended %v, %d ends left", group.ended, s.ends.queue.Len())
		}
	})
}

// TestAwaitEndsIsBounded stops waiting for ends when the grace period of the process is over.
func TestAwaitEndsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(&storeGroup{})
		s.ends.add(endqueue.End{Batch: "a", Asked: time.Now()})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.ends.await(ctx)
		if s.ends.queue.Len() != 1 {
			t.Fatal("the end was dropped")
		}
	})
}

// TestCallsWithoutValidID guards against IDs that no message can carry: such calls took the whole
// search for the store leader. They must be answered at once, and an end must not be queued.
func TestCallsWithoutValidID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(&storeGroup{})
		ctx, start := context.Background(), time.Now()
		for _, id := range []string{"", "\xff"} {
			if err := s.End(ctx, &fleet.BatchKey{Batch: id}); !errors.Is(err, ErrNoBatch) || s.ends.queue.Len() != 0 {
				t.Errorf("end of %q: %v, %d ends queued", id, err, s.ends.queue.Len())
			}
			if _, err := s.Read(ctx, &fleet.Position{Batch: id}); !errors.Is(err, ErrNoBatch) {
				t.Errorf("read of %q: %v", id, err)
			}
			if _, err := s.Body(ctx, &fleet.ItemKey{Batch: id, Item: "i"}); !errors.Is(err, ErrNoBatch) {
				t.Errorf("body of an item of %q: %v", id, err)
			}
		}
		if _, err := s.Body(ctx, &fleet.ItemKey{Batch: "b", Item: "\xff"}); !errors.Is(err, ErrNoBatch) {
			t.Errorf("body of an item: %v", err)
		}
		var invalid *batch.EncodeError
		if err := s.Submit(ctx, &batch.Batch{ID: "\xff"}, func() bool { return false }); !errors.As(err, &invalid) {
			t.Errorf("submission: %v", err)
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("the calls took %v", took)
		}
	})
}
