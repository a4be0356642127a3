package director

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// TestCapacityIsDivided guards against shares that reach no host, that are sent in normal operation or to hosts that call no
// server, or that stay when the hosts report no pressure any more.
func TestCapacityIsDivided(t *testing.T) {
	l := startLeader(t)
	l.cfg.Site.Plain.Share = true
	watch := func(role string, i int, incarnation uint64, plain ...*fleet.PlainLoad) *fleet.News {
		t.Helper()
		n, err := l.Watch(t.Context(), &fleet.Report{Role: role, Incarnation: incarnation, Host: &fleet.Host{Name: fmt.Sprint(role, i), Zone: "a"}, Plain: plain})
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	if err := l.do(t.Context(), func() {
		l.leadership.roster.Load([]roster.Instance{{ID: "i", Service: "plain", Addr: "127.0.0.1:1", Slots: 6, State: roster.Ready, Born: 1, Zone: "a"}}, time.Now())
	}); err != nil {
		t.Fatal(err)
	}
	calm := proto.Size(watch(settings.RoleEntry, 0, 2))
	load := func(flood uint32) *fleet.PlainLoad {
		return &fleet.PlainLoad{Service: "plain", Spanms: 1000, Served: 100, Meanus: 25000, Full: 500, Failed: 100, Busy: 95,
			Flows: []*fleet.PlainFlow{{Workspace: "flood", Begun: flood}, {Workspace: "small", Begun: 1}}}
	}
	var n *fleet.News
	waitUntil(t, "a share of the flood", func() bool {
		watch(settings.RoleEntry, 0, 1, &fleet.PlainLoad{Service: "stale", Spanms: 1000, Capacity: 1}) // of an incarnation that has ended
		watch(settings.RoleEntry, 1, 1, load(300))
		n = watch(settings.RoleEntry, 2, 1, load(300))
		return len(n.Pressures) == 1 && !n.Pressures[0].Keep
	})
	p := n.Pressures[0]
	if p.Service != "plain" || p.Capacity < 100 || p.Capacity > 300 || len(p.Shares) != 1 || p.Shares[0].Workspace != "flood" || p.Shares[0].Demand != 600 {
		t.Errorf("%v", p)
	}
	if old := watch(settings.RoleEntry, 3, 1); len(old.Pressures) != 1 {
		t.Error("a host that reports nothing is not told")
	}
	if s := watch(settings.RoleStore, 0, 1); len(s.Pressures) != 0 {
		t.Error("a store host is told")
	}
	waitUntil(t, "the end of the pressure", func() bool {
		time.Sleep(50 * time.Millisecond)
		watch(settings.RoleEntry, 1, 1)
		return len(watch(settings.RoleEntry, 2, 1).Pressures) == 0
	})
	if err := l.do(t.Context(), func() { l.leadership.hosts = map[string]map[string]*host{}; l.leadership.ranks = nil }); err != nil {
		t.Fatal(err)
	}
	if size := proto.Size(watch(settings.RoleEntry, 0, 2)); size != calm {
		t.Errorf("answers of %d bytes in normal operation, %d before", size, calm)
	}
}
