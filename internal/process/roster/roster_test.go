package roster

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// interval is the time between two announcements of a server.
const interval = 1200 * time.Millisecond

func announcement(id, addr string, born int64, seq uint64, s State) Instance {
	return Instance{ID: id, Service: "p", Addr: addr, Born: born, Seq: seq, State: s}
}

func TestAnnouncementsOutOfOrder(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls []Instance // 1.2 s apart
		want  State
		seq   uint64
	}{
		{"in order", []Instance{announcement("i", "a", 1, 1, Ready), announcement("i", "a", 1, 2, Draining)}, Draining, 2},
		{"late announcement", []Instance{announcement("i", "a", 1, 2, Draining), announcement("i", "a", 1, 1, Ready)}, Draining, 2},
		{"restart under the same name", []Instance{announcement("i", "a", 1, 9, Ready), announcement("i", "a", 5, 1, Ready)}, Ready, 1},
		{"restart of one that drains", []Instance{announcement("i", "a", 1, 9, Draining), announcement("i", "a", 5, 1, Ready),
			announcement("i", "a", 5, 2, Ready)}, Ready, 2},
		{"late announcement after a restart", []Instance{announcement("i", "a", 1, 9, Draining), announcement("i", "a", 5, 1, Ready),
			announcement("i", "a", 5, 2, Ready), announcement("i", "a", 1, 10, Draining)}, Ready, 2},
		{"late announcement of an earlier incarnation", []Instance{announcement("i", "a", 5, 1, Ready), announcement("i", "a", 1, 9, Draining)}, Ready, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New(0)
			for i, x := range c.calls {
				table.Announce(x, start.Add(time.Duration(i)*interval))
			}
			if got, _ := table.Get("i"); got.State != c.want || got.Seq != c.seq {
				t.Fatalf("got %+v", got)
			}
		})
	}
}

func TestDepartedInstancesStayGone(t *testing.T) {
	table := New(0)
	table.Announce(announcement("i", "a", 5, 1, Ready), start)
	table.Depart("i", 3, start)
	if len(table.Live()) != 1 {
		t.Fatal("a departure of an earlier incarnation marked the current one as gone")
	}
	table.Depart("i", 5, start)
	table.Announce(announcement("i", "a", 5, 2, Ready), start.Add(12*time.Second))
	if len(table.Live()) != 0 {
		t.Fatal("a late announcement made a departed instance live again")
	}
	table.Depart("j", 0, start)
	if _, ok := table.Get("j"); !ok {
		t.Fatal("a departure before any announcement was not recorded")
	}
}

// TestIDOfAnotherService guards against an announcement of another writer under the ID of a server: the
// server holds its ID as long as it announces itself, also when the other start time is later.
func TestIDOfAnotherService(t *testing.T) {
	odd := announcement("i", "b", 1<<50, 1, Ready)
	odd.Service = "another"
	for _, c := range []struct {
		name    string
		silence time.Duration
		state   State
		want    string
	}{
		{"between two announcements", time.Second, Ready, "p"},
		{"while it drains", time.Second, Draining, "p"},
		{"after it has departed", time.Second, Gone, "another"},
		{"after it has been silent", 6 * time.Second, Ready, "another"},
	} {
		table := New(0)
		table.Announce(announcement("i", "a", 1, 1, Ready), start)
		if c.state == Gone {
			table.Depart("i", 1, start)
		} else {
			table.Announce(announcement("i", "a", 1, 2, c.state), start)
		}
		table.Announce(odd, start.Add(c.silence))
		if got, _ := table.Get("i"); got.Service != c.want {
			t.Errorf("%s: got %+v", c.name, got)
		}
	}
}

func TestAddressIsUsedAgain(t *testing.T) {
	table := New(0)
	table.Announce(announcement("old", "a", 1, 1, Ready), start)
	for seq := uint64(1); seq <= 5; seq++ {
		now := start.Add(2*time.Second + time.Duration(seq)*interval)
		table.Announce(announcement("new", "a", 5, seq, Ready), now)
		if live := table.Live(); seq >= 2 && (len(live) != 1 || live[0].ID != "new") {
			t.Fatalf("live instances are %+v at announcement %d, want only the new one", live, seq)
		}
		if seq == 2 || seq == 4 { // delayed announcements of the old one
			table.Announce(announcement("old", "a", 1, seq, Ready), now.Add(time.Duration(seq)*interval/6))
			if live := table.Live(); len(live) != 1 || live[0].ID != "new" {
				t.Fatalf("live instances are %+v after a delayed announcement, want only the new one", live)
			}
		}
	}
}

func TestSilenceAndRevisions(t *testing.T) {
	table := New(0)
	table.Announce(announcement("i", "a", 1, 1, Ready), start)
	before := table.Revision
	table.Announce(announcement("i", "a", 1, 2, Ready), start.Add(time.Second))
	if table.Revision != before {
		t.Fatal("an announcement without changes raised the revision")
	}
	table.Expire(start.Add(silenceTimeout))
	if len(table.Live()) != 1 {
		t.Fatal("an instance was removed before the timeout")
	}
	table.Expire(start.Add(silenceTimeout + 2*time.Second))
	if len(table.Live()) != 0 || table.Revision == before {
		t.Fatal("a silent instance was not removed, or the revision did not grow")
	}
}

// TestWeightChangesDoNotAffectRouting checks that a change of weights alone raises only
// Revision, that a change of state and a removal for silence raise RoutingRevision too,
// and that AllWithoutWeights returns no weights.
func TestWeightChangesDoNotAffectRouting(t *testing.T) {
	table := New(7)
	engine := func(seq, version uint64, s State) Instance {
		x := announcement("i", "a", 1, seq, s)
		x.Weights = map[string]uint64{"m": version}
		return x
	}
	steps := []struct {
		name              string
		do                func()
		revision, routing bool
	}{
		{"appears", func() { table.Announce(engine(1, 1, Ready), start) }, true, true},
		{"repeats itself", func() { table.Announce(engine(2, 1, Ready), start) }, false, false},
		{"loads a version", func() { table.Announce(engine(3, 2, Ready), start) }, true, false},
		{"drains with a new version", func() { table.Announce(engine(4, 3, Draining), start) }, true, true},
		{"is silent", func() { table.Expire(start.Add(silenceTimeout + time.Second)) }, true, true},
	}
	for _, x := range steps {
		revision, routing := table.Revision, table.RoutingRevision
		x.do()
		if (table.Revision > revision) != x.revision || (table.RoutingRevision > routing) != x.routing {
			t.Errorf("%s: revision %d to %d, routing revision %d to %d", x.name, revision, table.Revision, routing, table.RoutingRevision)
		}
		for _, i := range table.AllWithoutWeights() {
			if i.Weights != nil {
				t.Errorf("%s: %v", x.name, i.Weights)
			}
		}
	}
}
