package roster

import (
	"testing"
	"time"
)

// TestSoleSoftware counts departed instances too: a stream that one of them began may be taken up
// later.
func TestSoleSoftware(t *testing.T) {
	now := time.Unix(1000, 0)
	x := New(0)
	announce := func(id, service, software string, seq uint64) {
		x.Announce(Instance{ID: id, Service: service, Software: software, Addr: id, State: Ready, Born: 1, Seq: seq}, now)
	}
	if _, ok := x.SoleSoftware("s", now); ok {
		t.Error("a service without instances has a software version")
	}
	announce("a", "s", "v1", 1)
	announce("b", "other", "v2", 1)
	if v, ok := x.SoleSoftware("s", now); !ok || v != "v1" {
		t.Errorf("got %q, %v", v, ok)
	}
	announce("c", "s", "v2", 1)
	x.Depart("a", 1, now)
	if v, ok := x.SoleSoftware("s", now); ok {
		t.Errorf("got %q although an instance of v1 has departed only now", v)
	}
	now = now.Add(softwareRetention + time.Second)
	x.Expire(now)
	announce("c", "s", "v2", 2)
	if v, ok := x.SoleSoftware("s", now); !ok || v != "v2" {
		t.Errorf("got %q, %v after the retention", v, ok)
	}
	before := x.RoutingRevision
	announce("c", "s", "v3", 3)
	if x.RoutingRevision == before {
		t.Error("hosts are not told of another software version")
	}
}

// TestFormerSoftwareIsNotForgotten guards against a stream that is joined from two software versions
// since the only version known is taken for the one that began it.
func TestFormerSoftwareIsNotForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	instance := func(id, software string, born int64) Instance {
		return Instance{ID: id, Service: "s", Software: software, Addr: id, State: Ready, Born: born, Seq: 1}
	}
	for _, c := range []struct {
		name string
		// change ends v1 and starts v2 in a table; it may return another one.
		change func(x *Table) *Table
	}{
		{"a server restarts with another version under its ID", func(x *Table) *Table {
			x.Announce(instance("a", "v2", 2), now)
			return x
		}},
		{"another server takes the address", func(x *Table) *Table {
			y := instance("b", "v2", 2)
			y.Addr = "a"
			for y.Seq = 1; y.Seq <= 2; y.Seq++ {
				now = now.Add(interval)
				x.Announce(y, now)
			}
			return x
		}},
		{"the server falls silent and is dropped", func(x *Table) *Table {
			now = now.Add(silenceTimeout + time.Second)
			x.Announce(instance("b", "v2", 2), now)
			x.Expire(now)
			return x
		}},
		{"a departed server is dropped", func(x *Table) *Table {
			x.Depart("a", 1, now)
			now = now.Add(goneRetention + time.Second)
			x.Announce(instance("b", "v2", 2), now)
			x.Expire(now)
			return x
		}},
		{"a new leader loads what the one before has saved", func(x *Table) *Table {
			x.Announce(instance("a", "v2", 2), now)
			y := New(1 << 32)
			y.Load(x.All(), now)
			y.LoadSoftware(x.Software(), now)
			return y
		}},
		{"a new leader whose clock is behind", func(x *Table) *Table {
			x.Announce(instance("a", "v2", 2), now)
			y := New(1 << 32)
			y.Load(x.All(), now.Add(-3*time.Second))
			y.LoadSoftware(x.Software(), now.Add(-3*time.Second))
			return y
		}},
	} {
		x := New(0)
		x.Announce(instance("a", "v1", 1), now)
		x = c.change(x)
		if v, ok := x.SoleSoftware("s", now); ok {
			t.Errorf("%s: %q is taken for the only version", c.name, v)
		}
		now = now.Add(softwareRetention)
		x.Announce(instance("b", "v2", 9), now)
		x.Announce(instance("a", "v2", 9), now)
		now = now.Add(softwareRetention/2 + time.Second)
		if v, ok := x.SoleSoftware("s", now); !ok || v != "v2" {
			t.Errorf("%s: got %q, %v long after the change", c.name, v, ok)
		}
	}
}
