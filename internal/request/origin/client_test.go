package origin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/service/fleet"
)

// fakeLeader is a control leader that knows the streams that it was told of.
type fakeLeader struct {
	fleet.Director
	told map[string]bool
}

func (l *fakeLeader) Began(_ context.Context, q *fleet.Streams) (*fleet.Nothing, error) {
	for _, x := range q.Streams {
		l.told[x.Request] = true
	}
	return &fleet.Nothing{}, nil
}

func (l *fakeLeader) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	fleet.NewDirectorServer(l).ServeHTTP(w, r)
	return w.Result(), nil
}

// TestStreamThatCannotBeTold guards against a request ID that is not UTF-8: no message can carry it,
// so control was told of none of the streams that began with it or after it.
func TestStreamThatCannotBeTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, log := &fakeLeader{told: map[string]bool{}}, logrus.New()
		c := New(Config{Table: NewTable(10), Client: &http.Client{Transport: leader}, Leader: func() string { return "control:1" },
			Log: logrus.NewEntry(log), Scope: tally.NoopScope})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go c.Run(ctx)
		for _, id := range []string{"a", "\xff", "b"} {
			c.cfg.Table.Add(Key{"w", id}, Origin{"s", "v1"}, time.Now())
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if !leader.told["a"] || !leader.told["b"] {
			t.Errorf("control was told of %v", leader.told)
		}
		start := time.Now()
		if _, _, err := c.Find(ctx, Key{"w", "\xff"}, "s", start.Add(time.Second)); !errors.Is(err, ErrUnknown) || time.Since(start) > 0 {
			t.Errorf("found after %v: %v", time.Since(start), err)
		}
	})
}
