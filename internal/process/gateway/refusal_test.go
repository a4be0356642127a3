package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// TestRefusalsAreDefinite guards against a 503 for a submission that a store host may have stored, and against a
// search for a leader after a refusal.
func TestRefusalsAreDefinite(t *testing.T) {
	refused := twirp.NewError(twirp.ResourceExhausted, "full").WithMeta(feed.RetryMeta, "1500")
	for _, c := range []struct {
		name     string
		answers  []error
		definite bool
		calls    int
	}{
		{"refused", []error{refused}, true, 1},
		{"refused by the next leader", []error{twirp.NewError(twirp.FailedPrecondition, "not the leader"), refused}, true, 2},
		{"refused after a call without a clear answer", []error{twirp.NewError(twirp.Unavailable, "timeout"), refused}, false, 2},
		{"an answer of something else", []error{twirp.NewError(twirp.ResourceExhausted, "too many"), refused}, false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				s := &storeClient{log: logrus.NewEntry(logrus.New()), state: func() *feed.State { return &feed.State{StoreLeader: "store:1"} }}
				s.client = &http.Client{Transport: roundTripper(func(*http.Request) (*http.Response, error) {
					w := httptest.NewRecorder()
					_ = twirp.WriteError(w, c.answers[min(calls, len(c.answers)-1)])
					calls++
					return w.Result(), nil
				})}
				o, err := s.call(context.Background(), 0, func(ctx context.Context, c fleet.Batches) error {
					_, err := c.Submit(ctx, &fleet.Submission{Id: "b"})
					return err
				})
				if r := refusedError(err); r == nil || r.RetryAfter != 1500*time.Millisecond || o.Definite != c.definite || calls != c.calls {
					t.Fatalf("refusal %v, definite %v after %d calls", r, o.Definite, calls)
				}
			})
		})
	}
	for meta, want := range map[string]time.Duration{"x": defaultRefusalRetry, "1": minRefusalRetry, "60000": maxRefusalRetry} {
		if r := refusedError(errors.Join(twirp.NewError(twirp.ResourceExhausted, "full").WithMeta(feed.RetryMeta, meta))); r == nil || r.RetryAfter != want {
			t.Errorf("%s ms: %+v, want %v", meta, r, want)
		}
	}
}
