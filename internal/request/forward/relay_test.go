package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/internal/connection/links"
	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

// lostLinks returns a monitor that has found the links lost.
func lostLinks(t *testing.T) *links.Monitor {
	t.Helper()
	var m *links.Monitor
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(t.Output())
		log.SetLevel(logrus.ErrorLevel)
		cut := func(context.Context, string) (net.Conn, error) { return nil, errors.New("cut") }
		m = links.New(links.Config{Servers: func() []links.Server { return []links.Server{{ID: "i", Addr: "a"}} },
			Dial: cut, DialSentinel: cut, Changed: func(links.Change) {}, Log: logrus.NewEntry(log), Scope: tally.NoopScope})
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		time.Sleep(3 * time.Second)
		cancel()
		synctest.Wait()
	})
	if !m.Lost() {
		t.Fatal("the links are not lost")
	}
	return m
}

// TestRelayOutcomes sends requests through hosts that take them, refuse them or end the connection.
func TestRelayOutcomes(t *testing.T) {
	type answer func(w http.ResponseWriter, r *http.Request)
	served := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Relay-Config-Version") != "7" || r.Header.Get("Authorization") != "Bearer k" || r.Host != "h.example" ||
			r.Header.Get("X-Remaining") == "" {
			t.Errorf("a relayed request has the header %v, host %s", r.Header, r.Host)
		}
		w.Header().Set("X-Signature", "s")
		w.Write([]byte("ok"))
	}
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Relay-Refused", "links lost")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	limited := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusTooManyRequests)
	}
	crash := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, c := range []struct {
		name   string
		kind   routing.Kind
		hosts  []answer
		status int
		calls  int32
	}{
		{"served", routing.Once, []answer{served, served}, http.StatusOK, 1},
		{"refused by the first", routing.Once, []answer{refuse, served}, http.StatusOK, 2},
		{"refused by both", routing.Once, []answer{refuse, refuse, served}, http.StatusServiceUnavailable, 2},
		{"refused for the caller's sake", routing.Once, []answer{limited, served}, http.StatusTooManyRequests, 1},
		{"lost, may have run", routing.Once, []answer{crash, served}, http.StatusBadGateway, 1},
		{"lost, may run again", routing.Idempotent, []answer{crash, served}, http.StatusOK, 2},
		{"nobody answers", routing.Once, []answer{nil, served}, http.StatusOK, 1},
		{"no host is known", routing.Once, nil, http.StatusServiceUnavailable, 0},
	} {
		var calls atomic.Int32
		var hosts []RelayHost
		for _, a := range c.hosts {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				a(w, r)
			}))
			if a == nil {
				srv.Close()
			}
			defer srv.Close()
			hosts = append(hosts, RelayHost{Name: "h", Addr: strings.TrimPrefix(srv.URL, "http://")})
		}
		log := logrus.New()
		log.SetOutput(t.Output())
		log.SetLevel(logrus.ErrorLevel)
		started := 0
		f := New(Config{Table: placement.NewTable(), Client: attempt.NewClient(), Headers: headers, Log: logrus.NewEntry(log), Scope: tally.NoopScope,
			OnStart: func(string) { started++ }, Links: lostLinks(t),
			Relays: Relays{Client: attempt.NewClient(), Hosts: func() []RelayHost { return hosts }}})
		r := newRequest("r", "ok")
		r.Route.Kind, r.ConfigVersion = c.kind, 7
		r.Raw.Header.Set("Authorization", "Bearer k")
		a := f.Do(context.Background(), r)
		status := a.Status
		if a.Response != nil {
			status = a.Response.StatusCode()
		}
		if status != c.status || calls.Load() != c.calls || started > 0 {
			t.Errorf("%s: status %d, want %d; %d calls, want %d; %d counted", c.name, status, c.status, calls.Load(), c.calls, started)
		}
		if status == http.StatusServiceUnavailable && a.RetryAfter == 0 {
			t.Errorf("%s: refused without a time to retry", c.name)
		}
		relayed := newRequest("s", "ok")
		relayed.Relayed = true
		before := calls.Load()
		if a := f.Do(context.Background(), relayed); a.Status != http.StatusServiceUnavailable || calls.Load() != before {
			t.Errorf("%s: a relayed request was relayed again: status %d", c.name, a.Status)
		}
	}
}
