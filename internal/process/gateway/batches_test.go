package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

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
