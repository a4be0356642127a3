package roster

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(id, addr string, born int64, seq uint64, s State) Instance {
	return Instance{ID: id, Service: "p", Addr: addr, Born: born, Seq: seq, State: s}
}

func TestAnnouncementsOutOfOrder(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls []Instance
		want  State
		seq   uint64
	}{
		{"in order", []Instance{at("i", "a", 1, 1, Ready), at("i", "a", 1, 2, Draining)}, Draining, 2},
		{"late one", []Instance{at("i", "a", 1, 2, Draining), at("i", "a", 1, 1, Ready)}, Draining, 2},
		{"restart under the same name", []Instance{at("i", "a", 1, 9, Draining), at("i", "a", 5, 1, Ready)}, Ready, 1},
		{"late one of an earlier start", []Instance{at("i", "a", 5, 1, Ready), at("i", "a", 1, 9, Draining)}, Ready, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New(0)
			for _, x := range c.calls {
				table.Announce(x, start)
			}
			if got, _ := table.Get("i"); got.State != c.want || got.Seq != c.seq {
				t.Fatalf("got %+v", got)
			}
		})
	}
}

func TestDepartedInstancesStayGone(t *testing.T) {
	table := New(0)
	table.Announce(at("i", "a", 5, 1, Ready), start)
	table.Depart("i", 3, start)
	if len(table.Live()) != 1 {
		t.Fatal("a departure of an earlier start ended this one")
	}
	table.Depart("i", 5, start)
	table.Announce(at("i", "a", 5, 2, Ready), start.Add(12*time.Second))
	if len(table.Live()) != 0 {
		t.Fatal("a late announcement brought an instance back")
	}
	table.Depart("j", 0, start)
	if _, ok := table.Get("j"); !ok {
		t.Fatal("a departure before any announcement was forgotten")
	}
}

func TestAddressIsUsedAgain(t *testing.T) {
	table := New(0)
	table.Announce(at("old", "a", 1, 1, Ready), start)
	table.Announce(at("new", "a", 5, 1, Ready), start)
	table.Announce(at("old", "a", 1, 2, Ready), start)
	if live := table.Live(); len(live) != 1 || live[0].ID != "new" {
		t.Fatalf("live are %+v", live)
	}
}

func TestSilenceAndRevisions(t *testing.T) {
	table := New(0)
	table.Announce(at("i", "a", 1, 1, Ready), start)
	before := table.Revision
	table.Announce(at("i", "a", 1, 2, Ready), start.Add(time.Second))
	if table.Revision != before {
		t.Fatal("a mere sign of life is news")
	}
	table.Expire(start.Add(silentLongest))
	if len(table.Live()) != 1 {
		t.Fatal("dropped too early")
	}
	table.Expire(start.Add(silentLongest + 2*time.Second))
	if len(table.Live()) != 0 || table.Revision == before {
		t.Fatal("a silent instance is still listed")
	}
}

// TestWeightsAreNoTraffic changes weights, state and silence: hosts that do not
// look at weights need to learn of the latter two only, without the weights.
func TestWeightsAreNoTraffic(t *testing.T) {
	table := New(7)
	engine := func(seq, version uint64, s State) Instance {
		x := at("i", "a", 1, seq, s)
		x.Weights = map[string]uint64{"m": version}
		return x
	}
	steps := []struct {
		name              string
		do                func()
		revision, traffic bool
	}{
		{"appears", func() { table.Announce(engine(1, 1, Ready), start) }, true, true},
		{"repeats itself", func() { table.Announce(engine(2, 1, Ready), start) }, false, false},
		{"loads a version", func() { table.Announce(engine(3, 2, Ready), start) }, true, false},
		{"drains with a new version", func() { table.Announce(engine(4, 3, Draining), start) }, true, true},
		{"is silent", func() { table.Expire(start.Add(silentLongest + time.Second)) }, true, true},
	}
	for _, x := range steps {
		revision, traffic := table.Revision, table.RoutingRevision
		x.do()
		if (table.Revision > revision) != x.revision || (table.RoutingRevision > traffic) != x.traffic {
			t.Errorf("%s: revision %d to %d, traffic %d to %d", x.name, revision, table.Revision, traffic, table.RoutingRevision)
		}
		for _, i := range table.AllWithoutWeights() {
			if i.Weights != nil {
				t.Errorf("%s: %v", x.name, i.Weights)
			}
		}
	}
}
