package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
)

var start = time.Unix(1000, 0)

func servers(n int) []roster.Instance {
	var out []roster.Instance
	for i := range n {
		out = append(out, roster.Instance{ID: fmt.Sprintf("s%d", i), Addr: fmt.Sprintf("a%d", i), Service: "p", Slots: 4,
			State: roster.Ready, Born: 1, Zone: "a", Weights: map[string]uint64{"m": 2}})
	}
	return out
}

func table(all []roster.Instance, service routing.Service) *Table {
	t := NewTable()
	service.Name = "p"
	t.Update(all, nil, routing.NewTable(&routing.Config{Services: []routing.Service{service}}), 1)
	return t
}

func TestTakeSkipsIneligibleServers(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(x *roster.Instance)
		req    Requirement
		taken  bool
	}{
		{"ready", func(*roster.Instance) {}, Requirement{Service: "p", Strict: true}, true},
		{"draining", func(x *roster.Instance) { x.State = roster.Draining }, Requirement{Service: "p"}, false},
		{"gone", func(x *roster.Instance) { x.State = roster.Gone }, Requirement{Service: "p"}, false},
		{"another service", func(x *roster.Instance) { x.Service = "q" }, Requirement{Service: "p"}, false},
		{"old weights", func(*roster.Instance) {}, Requirement{Service: "p", Model: "m", MinVersion: 3}, false},
		{"new enough weights", func(*roster.Instance) {}, Requirement{Service: "p", Model: "m", MinVersion: 2}, true},
		{"avoided", func(*roster.Instance) {}, Requirement{Service: "p", Avoid: map[string]bool{"s0": true}}, false},
	} {
		all := servers(1)
		c.change(&all[0])
		if _, ok := table(all, routing.Service{}).Take(c.req, start); ok != c.taken {
			t.Errorf("%s: taken %v", c.name, ok)
		}
	}
	out := table(servers(1), routing.Service{})
	out.Update(servers(1), map[string]bool{"a": true}, nil, 1)
	if _, ok := out.Take(Requirement{Service: "p"}, start); ok {
		t.Error("took a server of an excluded zone")
	}
}

// TestSlowServerGetsSmallerShare runs 600 items of 40 ms on four servers, one of
// which takes four times as long: it gets far less than a quarter of them, but some.
func TestSlowServerGetsSmallerShare(t *testing.T) {
	tab := table(servers(4), routing.Service{})
	type running struct {
		slot Slot
		end  time.Time
		pace time.Duration
	}
	var all []running
	count := map[string]int{}
	now := start
	for done := 0; done < 600; now = now.Add(5 * time.Millisecond) {
		kept := all[:0]
		for _, x := range all {
			if now.Before(x.end) {
				kept = append(kept, x)
				continue
			}
			tab.Done(x.slot, Served, x.pace, now)
			done++
		}
		all = kept
		for len(all) < 8 {
			slot, ok := tab.Take(Requirement{Service: "p", Strict: true}, now)
			if !ok {
				break
			}
			pace := 40 * time.Millisecond
			if slot.ID == "s0" {
				pace *= 4
			}
			count[slot.ID]++
			all = append(all, running{slot, now.Add(pace), pace})
		}
	}
	if count["s0"] > 75 || count["s0"] == 0 {
		t.Fatalf("the slow server got %d of 600, others %v", count["s0"], count)
	}
}

// TestCooldownAfterConnectFailure fails ten requests to one server at once: they
// count as one failure, the server returns with one request, and the next cooldown
// is longer.
func TestCooldownAfterConnectFailure(t *testing.T) {
	tab := table(servers(1), routing.Service{})
	req := Requirement{Service: "p"}
	var slots []Slot
	for range 10 {
		slot, _ := tab.Take(req, start)
		slots = append(slots, slot)
	}
	for _, slot := range slots {
		tab.Done(slot, ConnectFailed, 0, start)
	}
	if _, ok := tab.Take(req, start.Add(minCooldown-time.Millisecond)); ok {
		t.Fatal("took a server in cooldown")
	}
	if _, ok := tab.Take(Requirement{Service: "p", IgnoreCooldown: true}, start); !ok {
		t.Fatal("IgnoreCooldown did not take a server in cooldown")
	}
	tab.Done(slots[0], Abandoned, 0, start)
	now := start.Add(minCooldown)
	probe, ok := tab.Take(req, now)
	if !ok {
		t.Fatal("not available after the cooldown")
	}
	if _, ok := tab.Take(req, now); ok {
		t.Fatal("took a second request while the probe was in flight")
	}
	tab.Done(probe, ConnectFailed, 0, now)
	if _, ok := tab.Take(req, now.Add(minCooldown)); ok {
		t.Fatal("the second cooldown is not longer than the first")
	}
	probe, _ = tab.Take(req, now.Add(2*minCooldown))
	tab.Done(probe, Served, 0, now)
	if _, ok := tab.Take(req, now); !ok {
		t.Fatal("not available after a served request")
	}
}

func TestInterruptedRequestsAtHealthyServer(t *testing.T) {
	tab := table(servers(1), routing.Service{})
	req := Requirement{Service: "p"}
	interrupted1, _ := tab.Take(req, start)
	interrupted2, _ := tab.Take(req, start)
	good, _ := tab.Take(req, start)
	tab.Done(good, Served, 0, start.Add(time.Millisecond))
	tab.Done(interrupted1, Interrupted, 0, start.Add(time.Second))
	tab.Done(interrupted2, Interrupted, 0, start.Add(time.Second))
	if _, ok := tab.Take(req, start.Add(time.Second)); !ok {
		t.Fatal("a server that serves other requests is in cooldown")
	}
	now := start.Add(2 * time.Second)
	interrupted1, _ = tab.Take(req, now)
	interrupted2, _ = tab.Take(req, now)
	tab.Done(interrupted1, Interrupted, 0, now.Add(time.Millisecond))
	tab.Done(interrupted2, Interrupted, 0, now.Add(time.Millisecond))
	if _, ok := tab.Take(req, now.Add(2*time.Millisecond)); ok {
		t.Fatal("took a server whose requests were all interrupted")
	}
}

// TestIntermittentInterruptionsCauseNoCooldown interrupts every third request to a
// server: the server stays in use.
func TestIntermittentInterruptionsCauseNoCooldown(t *testing.T) {
	tab := table(servers(1), routing.Service{})
	now := start
	for i := range 60 {
		now = now.Add(10 * time.Millisecond)
		slot, ok := tab.Take(Requirement{Service: "p"}, now)
		if !ok {
			t.Fatalf("no server for request %d", i)
		}
		outcome := Served
		if i%3 == 0 {
			outcome = Interrupted
		}
		tab.Done(slot, outcome, 0, now.Add(5*time.Millisecond))
	}
}

// TestColdRateLimitAcrossHosts lets seven hosts send as much as they may to one cold
// server with a rate of 14 requests per second: it gets at most 14 x 1.5 + 5 requests
// in any second.
func TestColdRateLimitAcrossHosts(t *testing.T) {
	const hosts, rate = 7, 14.0
	all := servers(1)
	all[0].ColdUntil = start.Add(3 * time.Second).UnixMilli()
	service := routing.Service{Name: "p", ColdStart: 3 * time.Second, ColdRate: rate}
	config := routing.NewTable(&routing.Config{Services: []routing.Service{service}})
	var tables []*Table
	for range hosts {
		tab := NewTable()
		tab.Update(all, nil, config, hosts)
		tables = append(tables, tab)
	}
	var sent []time.Time
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for _, tab := range tables {
			if slot, ok := tab.Take(Requirement{Service: "p"}, now); ok {
				sent = append(sent, now)
				tab.Done(slot, Served, 0, now)
			}
		}
	}
	for i, at := range sent {
		n := 0
		for _, x := range sent[i:] {
			if x.Sub(at) < time.Second {
				n++
			}
		}
		if float64(n) > rate*1.5+5 {
			t.Fatalf("%d requests in a second", n)
		}
	}
	if len(sent) < 25 {
		t.Fatalf("only %d requests in 3 s", len(sent))
	}
}

// TestColdRateLimitOfASharedService guards against two allowances for one server: the entry hosts send
// plain requests to it, the leader of the store group items of batches.
func TestColdRateLimitOfASharedService(t *testing.T) {
	const entryHosts, rate = 9, 14.0
	all := servers(1)
	all[0].ColdUntil = start.Add(3 * time.Second).UnixMilli()
	targets := []routing.Target{{Service: "p", Weight: 1}}
	config := routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "p", ColdStart: 3 * time.Second, ColdRate: rate}},
		Routes: []routing.Route{{Name: "items", Host: "h", Prefix: "/i/", Kind: routing.Batch, Targets: targets},
			{Name: "plain", Host: "h", Prefix: "/p/", Kind: routing.Idempotent, Targets: targets}}})
	var tables []*Table
	for i := range entryHosts + 1 {
		tab := NewTable()
		hosts := entryHosts
		if i == entryHosts {
			hosts = 1 // the leader of the store group
		}
		tab.Update(all, nil, config, hosts)
		tables = append(tables, tab)
	}
	var sent []time.Time
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for _, tab := range tables {
			if slot, ok := tab.Take(Requirement{Service: "p"}, now); ok {
				sent = append(sent, now)
				tab.Done(slot, Served, 0, now)
			}
		}
	}
	most := 0
	for i, at := range sent {
		n := 0
		for _, x := range sent[i:] {
			if x.Sub(at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	if float64(most) > rate*1.5+5 || len(sent) < 25 {
		t.Fatalf("%d requests in a second, %d in 3 s", most, len(sent))
	}
}

func TestPreferredServerYieldsToLoad(t *testing.T) {
	tab := table(servers(3), routing.Service{})
	for range 2 {
		if slot, _ := tab.Take(Requirement{Service: "p", Prefer: "s2"}, start); slot.ID != "s2" {
			t.Fatalf("went to %s", slot.ID)
		}
	}
	for range 4 {
		tab.Take(Requirement{Service: "p", Prefer: "s2"}, start)
	}
	if slot, _ := tab.Take(Requirement{Service: "p", Prefer: "s2"}, start); slot.ID == "s2" {
		t.Fatal("a loaded server is still preferred")
	}
}

// TestForgivenServersAreUsedAtOnce lets all servers of a host fail, as in a cut of its own links: once that
// is forgiven, no cooldown and no cold start holds them back. A server that failed before is not forgiven.
func TestForgivenServersAreUsedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	var all []roster.Instance
	for _, id := range []string{"a", "b", "c"} {
		all = append(all, roster.Instance{ID: id, Service: "s", Addr: id, Slots: 4, State: roster.Ready, Born: 1})
	}
	table.Update(all, nil, routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "s", ColdStart: 10 * time.Second, ColdRate: 1}}}), 1)
	req := Requirement{Service: "s"}
	fail := func(id string, at time.Time) {
		t.Helper()
		avoid := map[string]bool{"a": true, "b": true, "c": true}
		delete(avoid, id)
		slot, ok := table.Take(Requirement{Service: "s", Avoid: avoid}, at)
		if !ok {
			t.Fatalf("no slot at %s", id)
		}
		table.Done(slot, ConnectFailed, 0, at)
	}
	fail("c", now)
	cut := now.Add(100 * time.Millisecond)
	fail("a", cut)
	fail("b", cut)
	later := cut.Add(50 * time.Millisecond)
	if table.Available(req, later) {
		t.Fatal("a server that has failed is available")
	}
	table.Forgive(cut)
	for range 4 {
		slot, ok := table.Take(req, later)
		if !ok || slot.ID == "c" || slot.Cold {
			t.Fatalf("after the cut: %+v, %v", slot, ok)
		}
	}
}
