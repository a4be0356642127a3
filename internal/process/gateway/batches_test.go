package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// TestCallWithoutStoreAddressFails calls while control has named no store host: nothing was
// sent, so the call must fail as definitely not executed instead of succeeding.
func TestCallWithoutStoreAddressFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &storeClient{client: http.DefaultClient, log: logrus.NewEntry(logrus.New()), state: func() *feed.State { return &feed.State{} }}
		o, err := c.call(context.Background(), 0, func(context.Context, fleet.Batches) error {
			t.Error("a call was sent without an address")
			return nil
		})
		if !o.Definite || !errors.Is(err, errNoStoreAddress) {
			t.Fatalf("definite %v, error %v", o.Definite, err)
		}
	})
}

// TestCallOutcomes checks what a failed call says about its execution.
func TestCallOutcomes(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	for _, c := range []struct {
		name     string
		err      error
		definite bool
	}{
		{"no such batch", twirp.NotFoundError("no such batch"), true},
		{"invalid", twirp.InvalidArgumentError("id", "is empty"), true},
		{"outcome unknown", twirp.NewError(twirp.Unavailable, "timeout"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := &storeClient{client: http.DefaultClient, log: logrus.NewEntry(logrus.New()),
				state: func() *feed.State { return &feed.State{StoreLeader: addr} }}
			o, err := s.call(ctx, 0, func(context.Context, fleet.Batches) error {
				cancel()
				return c.err
			})
			if err == nil || o.Definite != c.definite {
				t.Fatalf("definite %v, error %v", o.Definite, err)
			}
		})
	}
}

// TestRedirectsEndWithTheCall calls two store hosts that name each other as the leader, as hosts do
// that both have lost it. The call must end with its caller and with its search.
func TestRedirectsEndWithTheCall(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout time.Duration
	}{
		{"search", time.Hour},
		{"caller", time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
				defer cancel()
				var calls atomic.Int32
				var elected atomic.Bool
				done := make(chan struct{})
				other := map[string]string{"store:1": "store:2", "store:2": "store:1"}
				s := &storeClient{log: logrus.NewEntry(logrus.New()), state: func() *feed.State { return &feed.State{StoreLeader: "store:1"} }}
				s.client = &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
					calls.Add(1)
					time.Sleep(time.Millisecond)
					w := httptest.NewRecorder()
					if !elected.Load() {
						_ = twirp.WriteError(w, notLeader(other[r.URL.Host]))
					}
					return w.Result(), nil
				})}
				go func() {
					_, _ = s.end(ctx, &fleet.BatchKey{Batch: "b"})
					close(done)
				}()
				time.Sleep(min(c.timeout, leaderSearchTimeout) + 2*leaderRetryDelay)
				select {
				case <-done:
				default:
					t.Errorf("the call still goes round after %d requests", calls.Load())
				}
				elected.Store(true)
				<-done
			})
		})
	}
}

// TestCallFindsTheLeaderBesideASilentHost ends a batch while the host that control names as the
// leader accepts connections and never answers, as a frozen one does, and another store host
// leads already. The call must reach it, whichever of the hosts is the silent one.
func TestCallFindsTheLeaderBesideASilentHost(t *testing.T) {
	stores := []string{"s0", "s1", "s2"}
	for silent, old := range stores {
		t.Run("silent "+old, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lead := stores[(silent+1)%3]
				var called []string
				start := time.Now()
				st := &feed.State{StoreLeader: old}
				for _, addr := range stores {
					st.Stores = append(st.Stores, &fleet.Host{Name: addr, Addr: addr})
				}
				c := &storeClient{log: logrus.NewEntry(logrus.New()), state: func() *feed.State { return st }}
				c.client = &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
					called = append(called, fmt.Sprintf("%s at %d ms", r.URL.Host, time.Since(start).Milliseconds()))
					w := httptest.NewRecorder()
					switch r.URL.Host {
					case old:
						<-r.Context().Done()
						return nil, r.Context().Err()
					case lead:
						w.Header().Set("Content-Type", "application/protobuf")
					default:
						_ = twirp.WriteError(w, notLeader(lead))
					}
					return w.Result(), nil
				})}
				if _, err := c.end(context.Background(), &fleet.BatchKey{Batch: "b"}); err != nil {
					t.Errorf("the call failed after %d ms, calls %v: %v", time.Since(start).Milliseconds(), called, err)
				}
			})
		})
	}
}

// notLeader is the error of a store host that names another one as the leader.
func notLeader(lead string) error {
	return twirp.NewError(twirp.FailedPrecondition, "not the leader").WithMeta(feed.LeaderMeta, lead)
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
