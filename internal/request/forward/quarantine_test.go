package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/internal/request/quarantine"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// newGuardedForwarder returns a forwarder to n fake servers that applies the quarantine.
func newGuardedForwarder(t *testing.T, n int) (*Forwarder, []*fakeServer, *logBuffer, *quarantine.Table) {
	t.Helper()
	f, servers, log := newForwarder(t, n)
	table := quarantine.NewTable(10)
	f.cfg.Guard = quarantine.NewGuard(quarantine.GuardConfig{Table: table, Log: f.cfg.Log, Scope: tally.NoopScope,
		Contact: func() bool { return true }, ReportNow: func() {}})
	return f, servers, log, table
}

// endedEarlier makes three servers have ended under a request some time ago.
func endedEarlier(table *quarantine.Table, r *Request, ago time.Duration) {
	f := newRequestState(r).fingerprint()
	c := &fleet.Case{Fingerprint: f[:]}
	for id := range uint64(quarantine.Limit) {
		c.Ended = append(c.Ended, &fleet.Mark{Id: 100 + id, Age: uint32(ago.Milliseconds())})
	}
	table.Merge([]*fleet.Case{c}, time.Now())
}

// do forwards a request and reads its stream, if there is one. It returns the status.
func do(f *Forwarder, r *Request) (status int, a *Response) {
	a = f.Do(context.Background(), r)
	switch {
	case a.Stream != nil:
		a.Stream.Copy(bufio.NewWriter(io.Discard))
		return a.Response.StatusCode(), a
	case a.Response != nil:
		return a.Response.StatusCode(), a
	}
	return a.Status, a
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	f, servers, log, _ := newGuardedForwarder(t, 6)
	if status, _ := do(f, newRequest("1", crashBody)); status != http.StatusBadGateway || ran(servers) != quarantine.Limit {
		t.Fatalf("first attempt: %d, %d servers got it", status, ran(servers))
	}
	reason := "quarantined: 3 backend servers ended while they ran this request, fingerprint " +
		newRequestState(newRequest("", crashBody)).fingerprint().String()
	for i := range 20 {
		status, a := do(f, newRequest(fmt.Sprint("repeat", i), crashBody))
		if status != http.StatusTooManyRequests || a.RetryAfter <= 0 || a.Reason != reason {
			t.Fatalf("repeat %d: %d %q, retry after %v", i, status, a.Reason, a.RetryAfter)
		}
	}
	if n := ran(servers); n != quarantine.Limit {
		t.Errorf("%d sends, want %d", n, quarantine.Limit)
	}
	other := newRequest("other", crashBody)
	other.Workspace = "v"
	for _, r := range []*Request{newRequest("x", "ok"), other} {
		before := ran(servers)
		if do(f, r); ran(servers) == before {
			t.Errorf("request %s of workspace %s was not sent", r.ID, r.Workspace)
		}
	}
	for message, want := range map[string]int{"server ended under a request": 6, "request quarantined": 2, "quarantined request refused": 1,
		"request answered": 2} {
		if got := log.lines(message); len(got) != want {
			t.Errorf("%d lines %q, want %d: %v", len(got), message, want, got)
		}
	}
}

// TestConcurrentCopiesAreBounded sends copies of a crashing request at once: those in flight at
// the third end are not retried. A server that ends under two copies counts once, so it allows one more.
func TestConcurrentCopiesAreBounded(t *testing.T) {
	const copies = 8
	f, servers, _, _ := newGuardedForwarder(t, 40)
	var wg sync.WaitGroup
	for i := range copies {
		wg.Go(func() { do(f, newRequest(fmt.Sprint(i), crashBody)) })
	}
	wg.Wait()
	repeated := 0
	for _, s := range servers {
		repeated += max(0, int(s.ran.Load())-1)
	}
	if n := ran(servers); n > copies+quarantine.Limit+repeated {
		t.Errorf("%d sends of %d copies, %d to a server that had one, want at most %d", n, copies, repeated, copies+quarantine.Limit+repeated)
	}
	before := ran(servers)
	if status, _ := do(f, newRequest("later", crashBody)); status != http.StatusTooManyRequests || ran(servers) != before {
		t.Errorf("a later copy got %d", status)
	}
}

// TestStreamsThatBreakCount breaks streams that may not be repeated. A server that runs on after
// it has ended a connection counts once.
func TestStreamsThatBreakCount(t *testing.T) {
	f, servers, _, _ := newGuardedForwarder(t, 6)
	status := 0
	for i := 0; i < 50 && status != http.StatusTooManyRequests; i++ {
		r := newRequest(fmt.Sprint(i), streamBody)
		r.Route = &routing.Route{Name: "r", Kind: routing.Once, Streaming: true, MaxAttempts: 4}
		status, _ = do(f, r)
	}
	reached := 0
	for _, s := range servers {
		reached += int(min(1, s.ran.Load()))
	}
	if status != http.StatusTooManyRequests || reached != quarantine.Limit {
		t.Errorf("status %d after %d servers got it, want 429 after %d", status, reached, quarantine.Limit)
	}
}

// TestResumedStreamIsBounded breaks a resumable stream at every server.
func TestResumedStreamIsBounded(t *testing.T) {
	f, servers, _, _ := newGuardedForwarder(t, 6)
	r := newRequest("1", streamBody)
	r.Route = &routing.Route{Name: "r", Kind: routing.Idempotent, Streaming: true, Resumable: true, MaxAttempts: 6}
	do(f, r)
	if n := ran(servers); n != quarantine.Limit {
		t.Errorf("%d sends, want %d", n, quarantine.Limit)
	}
}

func TestTrial(t *testing.T) {
	const held, over = time.Second, 2 * time.Minute
	for _, c := range []struct {
		name   string
		body   string
		ago    time.Duration
		served bool
		// servers is the number of servers.
		servers int
		// sends is the number of sends of the first attempt; second is the status of the
		// second one.
		status, sends, second int
	}{
		{name: "during the hold", body: crashBody, ago: held, servers: 3, status: 429, sends: 0, second: 429},
		{name: "server ends", body: crashBody, ago: over, servers: 3, status: 502, sends: 1, second: 429},
		{name: "served", body: crashBody, ago: over, served: true, servers: 3, status: 200, sends: 1, second: 200},
		{name: "stream breaks", body: streamBody, ago: over, servers: 3, status: 200, sends: 1, second: 429},
		{name: "no server", body: crashBody, ago: over, servers: 0, status: 503, sends: 0, second: 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, servers, _, table := newGuardedForwarder(t, c.servers)
			for _, s := range servers {
				s.serveAll.Store(c.served)
			}
			endedEarlier(table, newRequest("0", c.body), c.ago)
			if status, _ := do(f, newRequest("1", c.body)); status != c.status || ran(servers) != c.sends {
				t.Errorf("first attempt: %d with %d sends, want %d with %d", status, ran(servers), c.status, c.sends)
			}
			if status, _ := do(f, newRequest("2", c.body)); status != c.second {
				t.Errorf("second attempt: %d, want %d", status, c.second)
			}
		})
	}
}

// TestServedRequestClears ends two servers under a request, then serves it.
func TestServedRequestClears(t *testing.T) {
	f, servers, log, table := newGuardedForwarder(t, 3)
	servers[0].serveAll.Store(true)
	for i := range 10 {
		if status, _ := do(f, newRequest(fmt.Sprint(i), crashBody)); status != http.StatusOK {
			t.Fatalf("copy %d: %d", i, status)
		}
	}
	if table.Suspects() {
		t.Error("the request is still under suspicion")
	}
	if ran(servers) > 10 && len(log.lines("request cleared, a server has served it")) == 0 {
		t.Error("no line tells that the request was cleared")
	}
}

// TestNoGuardAdmitsAll shows that requests that are no callers', such as calls of scorers, are
// not subject to the quarantine.
func TestNoGuardAdmitsAll(t *testing.T) {
	f, servers, _ := newForwarder(t, 6)
	for range 2 {
		if status, _ := do(f, newRequest("1", crashBody)); status != http.StatusBadGateway {
			t.Errorf("status %d", status)
		}
	}
	if n := ran(servers); n != 8 {
		t.Errorf("%d sends, want 8", n)
	}
}
