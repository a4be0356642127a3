package placement

import (
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/ratelimit"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/service/fleet"
)

func nameLimit(x *Table, id string, rate float64, now time.Time) {
	x.Limits.Observe(ratelimit.Key{ID: id, Born: 1}, ratelimit.Limit{Named: true, Rate: rate}, now, now)
}

func grantPermits(x *Table, id string, n uint32, retry time.Duration, now time.Time) {
	x.Limits.Answered(&fleet.Permits{Grants: []*fleet.Grant{{Instance: id, Born: 1, Count: n, Retryms: uint32(retry.Milliseconds()), Backlog: 5}}}, now)
}

// TestRequestsAvoidLimitedServers sends all requests to the server without a limit, at once, and
// to the others with permits only.
func TestRequestsAvoidLimitedServers(t *testing.T) {
	x := table(servers(3), routing.Service{})
	nameLimit(x, "s0", 1, start)
	nameLimit(x, "s1", 1, start)
	for range 20 {
		if slot, ok := x.Take(Requirement{Service: "p"}, start); !ok || slot.ID != "s2" {
			t.Fatalf("taken %v at %q", ok, slot.ID)
		}
	}
	if d := x.LimitDelay(Requirement{Service: "p"}, start); d.Limited {
		t.Error("limits delay a request that a server without a limit can take")
	}
	grantPermits(x, "s0", 2, 0, start)
	for range 2 {
		if slot, _ := x.Take(Requirement{Service: "p"}, start); slot.ID != "s0" {
			t.Fatalf("a permit of the server with the lowest load was not used, taken at %q", slot.ID)
		}
	}
	if slot, _ := x.Take(Requirement{Service: "p"}, start); slot.ID != "s2" {
		t.Fatalf("taken at %q without a permit", slot.ID)
	}
}

// TestLimitDelayOfAllServers gives the time until the first server may allow a request, and a time
// to retry after which the requests that wait have been sent.
func TestLimitDelayOfAllServers(t *testing.T) {
	x := table(servers(2), routing.Service{})
	req := Requirement{Service: "p", Asked: map[string]time.Time{}}
	for _, id := range []string{"s0", "s1"} {
		nameLimit(x, id, 2, start)
	}
	if _, ok := x.Take(req, start); ok {
		t.Fatal("taken without a permit")
	}
	if d := x.LimitDelay(req, start); !d.Limited || d.Wait != 0 {
		t.Errorf("before control has answered: %+v", d)
	}
	first, second := "s0", "s1"
	if _, asked := req.Asked[first]; !asked { // of two that cost the same
		first, second = second, first
	}
	if len(req.Asked) != 1 {
		t.Errorf("permits were asked for at once at %v", req.Asked)
	}
	grantPermits(x, first, 0, 700*time.Millisecond, start)
	x.Take(req, start)
	if n := len(req.Asked); n != 2 {
		t.Errorf("a permit was asked for at %d servers", n)
	}
	grantPermits(x, second, 0, 300*time.Millisecond, start)
	d := x.LimitDelay(req, start)
	if d.Wait != 300*time.Millisecond || d.RetryAfter != 1500*time.Millisecond {
		t.Errorf("six requests wait for 4 permits a second: %+v", d)
	}
	// The end of a cooldown may come before a permit.
	cooling := table(servers(2), routing.Service{})
	nameLimit(cooling, "s0", 2, start)
	slot, _ := cooling.Take(req, start)
	cooling.Done(slot, Full, 0, start)
	if d := cooling.LimitDelay(req, start); d.Limited {
		t.Error("limits delay a request that a server in cooldown may take")
	}
	// A server that takes nothing at all is not a reason to wait for a permit.
	none := table(nil, routing.Service{})
	if d := none.LimitDelay(req, start); d.Limited {
		t.Error("a service without servers is delayed by limits")
	}
}

// TestRestartEndsLimit forgets the limit of an incarnation that has ended.
func TestRestartEndsLimit(t *testing.T) {
	all := servers(1)
	x := table(all, routing.Service{})
	nameLimit(x, "s0", 1, start)
	all[0].Born = 2
	x.Update(all, nil, nil, 1)
	if _, ok := x.Take(Requirement{Service: "p"}, start); !ok {
		t.Error("the limit of the incarnation before holds")
	}
}
