package placement

import (
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// TestFreshWorkIsUsed guards against calls to a server whose machine is slow at the moment, and against a server
// that is avoided for a report that is no longer true.
func TestFreshWorkIsUsed(t *testing.T) {
	for _, c := range []struct {
		name string
		load Load
		age  time.Duration
		want string
	}{
		{"slow now", Load{Work: 2.5}, 100 * time.Millisecond, "s1"},
		{"slow a while ago", Load{Work: 2.5}, 400 * time.Millisecond, "s0"},
		{"no fourth figure", Load{}, 100 * time.Millisecond, "s0"},
		{"as usual", Load{Work: 1}, 100 * time.Millisecond, "s0"},
	} {
		tab := table(servers(2), routing.Service{})
		tab.RecordLoad("s0", c.load, start)
		if slot, ok := tab.Take(Requirement{Service: "p"}, start.Add(c.age)); !ok || slot.ID != c.want {
			t.Errorf("%s: %v, want %s", c.name, slot.ID, c.want)
		}
	}
	if d := (Load{Work: 2}).Usual(100 * time.Millisecond); d != 50*time.Millisecond {
		t.Errorf("usual time %v", d)
	}
}

// TestAllFull guards against taking servers for full for longer than their reports hold, and while one may have room.
func TestAllFull(t *testing.T) {
	tab := table(servers(2), routing.Service{})
	slot, _ := tab.Take(Requirement{Service: "p"}, start)
	tab.Done(slot, Full, 0, start)
	if tab.AllFull("p", start) {
		t.Error("all full while one server has not been asked")
	}
	tab.RecordLoad("s1", Load{Busy: 4, Slots: 4}, start)
	if !tab.AllFull("p", start) {
		t.Error("not all full")
	}
	if tab.AllFull("p", start.Add(loadReportTTL)) || tab.AllFull("q", start) {
		t.Error("all full without fresh reports")
	}
}
