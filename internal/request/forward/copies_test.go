package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/admission"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// TestSecondCopy guards against copies of requests that may run only once, beyond the budget, or without need, against
// losers that run on, and against an answer that is lost since the other copy ended first.
func TestSecondCopy(t *testing.T) {
	const usual, held = 30 * time.Millisecond, 600 * time.Millisecond
	// slow is the number of next requests that are held; held ones end with their connection or with status.
	var slow, ran, canceled atomic.Int32
	var status atomic.Int32
	var instances []roster.Instance
	for i := range 2 {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ran.Add(1)
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("X-Request", r.Header.Get("X-Request"))
			w.Header().Set("X-Signature", "s")
			if slow.Add(-1) >= 0 {
				select {
				case <-r.Context().Done():
					canceled.Add(1)
					return
				case <-time.After(held):
					w.WriteHeader(int(status.Load()))
				}
			}
			time.Sleep(usual)
			_, _ = w.Write(body)
		}))
		defer srv.Close()
		instances = append(instances, roster.Instance{ID: fmt.Sprint("i-", i), Service: "svc", Addr: strings.TrimPrefix(srv.URL, "http://"), Slots: 6,
			State: roster.Ready, Born: 1})
	}
	for _, c := range []struct {
		name          string
		budget        float64
		kind          routing.Kind
		slow, status  int
		ran, canceled int32
		want          int
		atLeast       time.Duration
	}{
		{"fast", 1, routing.Idempotent, 0, 200, 1, 0, 200, 0},
		{"slow", 1, routing.Idempotent, 1, 200, 2, 1, 200, 0},
		{"slow, no budget", 0.01, routing.Idempotent, 1, 200, 1, 0, 200, held},
		{"slow, once", 1, routing.Once, 1, 200, 1, 0, 200, held},
		{"both slow", 1, routing.Idempotent, 2, 200, 2, 1, 200, held},
		{"both fail", 1, routing.Idempotent, 2, 500, 2, 0, 500, held},
	} {
		f, _, _ := newForwarder(t, 0)
		f.cfg.Table.Update(instances, nil, routing.NewTable(&routing.Config{}), 1)
		do := func(id string) *Response {
			r := newRequest(id, "body of "+id)
			r.Route.Kind, r.Route.MaxAttempts = c.kind, 2
			r.AttemptTimeout = 4 * time.Second
			return f.Do(context.Background(), r)
		}
		for i := range 4 {
			do(fmt.Sprint("learn-", i))
		}
		f.cfg.Copies = admission.NewCopies(c.budget, 0)
		slow.Store(int32(c.slow))
		status.Store(int32(c.status))
		ran.Store(0)
		canceled.Store(0)
		start := time.Now()
		a := do("x")
		took := time.Since(start)
		if a.Response == nil || a.Response.StatusCode() != c.want || c.want == 200 && string(a.Response.Body()) != "body of x" || took < c.atLeast {
			t.Errorf("%s: %+v after %v", c.name, a, took)
		}
		for end := time.Now().Add(10 * time.Second); canceled.Load() < c.canceled && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		if ran.Load() != c.ran || canceled.Load() != c.canceled {
			t.Errorf("%s: ran %d times, %d canceled", c.name, ran.Load(), canceled.Load())
		}
	}
}
