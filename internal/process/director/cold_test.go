package director

import (
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/pkg/process/clock"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// TestColdTimesOfTheFormerLeader guards against times by the clock of the leader before in the roster of the next.
func TestColdTimesOfTheFormerLeader(t *testing.T) {
	now, steady := time.Now(), time.Now().Add(-5*time.Second)
	former := now.Add(2 * time.Second).Add(3 * time.Second) // its clock was 2 s ahead
	all := []roster.Instance{{ID: "cold", ColdUntil: former.UnixMilli(), Cold: now.Add(3 * time.Second)}, {ID: "unknown", ColdUntil: 7}, {ID: "warm"}}
	got := byOwnClock(all, now, steady)
	if want := steady.Add(3 * time.Second).UnixMilli(); got[0].ColdUntil != want || !got[0].Cold.IsZero() || got[1].ColdUntil != 7 || got[2].ColdUntil != 0 {
		t.Errorf("got %+v, want %d, 7 and 0", got, want)
	}
	if all[0].ColdUntil != former.UnixMilli() {
		t.Error("the host's own copy was changed")
	}
}

// TestLeaderSaysItsClock guards against updates from which a host cannot tell for how long a server is cold.
func TestLeaderSaysItsClock(t *testing.T) {
	l := startLeader(t)
	if err := l.PutConfig(t.Context(), nil, largeConfig(1, 1)); err != nil {
		t.Fatal(err)
	}
	const left = 3 * time.Second
	if err := l.Announce(t.Context(), roster.Instance{ID: "i", Service: "proofer", Addr: "10.0.0.1:80", Slots: 4, State: roster.Ready, Born: 1, Seq: 1,
		ColdUntil: clock.Steady().Add(left).UnixMilli()}); err != nil {
		t.Fatal(err)
	}
	f := startHost(t, "entry-1", []string{l.addr})
	waitUntil(t, "the server", func() bool { return len(f.State().Instances) == 1 })
	if d := time.Until(f.State().Instances[0].Cold); d <= left-time.Second || d > left+time.Second {
		t.Errorf("the host takes the server for cold for %v, want about %v", d, left)
	}
	n, err := l.Watch(t.Context(), &fleet.Report{Host: &fleet.Host{Name: "entry-2"}, Role: settings.RoleEntry, Incarnation: 1})
	if err != nil || n.Clock == 0 {
		t.Errorf("the leader's clock is missing: %v", err)
	}
}
