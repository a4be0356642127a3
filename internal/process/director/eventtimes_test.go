package director

import (
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// TestEventTimesOutliveTheStoreLeader reports event times as one store host and asks for them as the next
// leader. It guards against a new leader that takes all engines for equally fast, and against figures of an
// engine that has ended.
func TestEventTimesOutliveTheStoreLeader(t *testing.T) {
	x := startLeader(t)
	report := func(name string, edit func(*fleet.Report)) *fleet.News {
		q := &fleet.Report{Host: &fleet.Host{Name: name, Zone: "a", Addr: "127.0.0.1:1"}, Role: settings.RoleStore, Incarnation: 1,
			Replica: &fleet.Replica{Term: 1}}
		edit(q)
		n, err := x.Watch(t.Context(), q)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	report("store-1", func(q *fleet.Report) {
		q.Replica.Leader = true
		q.Replica.EventTimes = []*fleet.EventTime{{Instance: "fast", Born: 1, Micros: 26000}, {Instance: "slow", Born: 2, Micros: 57000}, {Instance: "ended", Born: 3, Micros: 1}}
	})
	err := x.onLeader(t.Context(), func(l *leadership) error {
		l.eventTimes.retain([]roster.Instance{{ID: "fast", Born: 1}, {ID: "slow", Born: 2}, {ID: "ended", Born: 4}})
		if s := l.demand(nil, time.Now()).Speeds; len(s) != 2 || s["fast"] < 2*s["slow"] {
			t.Errorf("speeds %v, want fast twice slow", s)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if n := report("store-2", func(q *fleet.Report) {}); len(n.EventTimes) != 0 {
		t.Errorf("a follower got %v", n.EventTimes)
	}
	n := report("store-2", func(q *fleet.Report) { q.Unmeasured, q.Replica.Leader, q.Replica.Term = true, true, 2 })
	if len(n.EventTimes) != 2 {
		t.Errorf("the next leader got %v, want two engines", n.EventTimes)
	}
}
