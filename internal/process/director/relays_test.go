package director

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// TestRelaysAreSpread lets 60% of 300 hosts lose their links. Each host learns of others that have
// theirs, and no host is named much more often than others.
func TestRelaysAreSpread(t *testing.T) {
	l, now := newLeadership(1, time.Now()), time.Now()
	report := func(i int, unlinked, leaving bool) {
		l.recordReport(&fleet.Report{Role: settings.RoleEntry, Incarnation: 1, Unlinked: unlinked, Leaving: leaving,
			Host: &fleet.Host{Name: fmt.Sprintf("entry-%03d", i), Addr: fmt.Sprint(i)}}, now)
	}
	cut := func(i int) bool { return i%5 < 3 }
	for i := range 300 {
		report(i, false, i == 4)
	}
	if n := len(l.relaysFor("entry-000", now)); n != maxRelays {
		t.Errorf("%d relays before the cut", n)
	}
	for i := range 300 {
		report(i, cut(i), i == 4)
	}
	named := map[string]int{}
	for i := range 300 {
		name := fmt.Sprintf("entry-%03d", i)
		relays := l.relaysFor(name, now)
		if len(relays) < maxRelays-1 {
			t.Errorf("%s got %d relays", name, len(relays))
		}
		for _, h := range relays {
			var k int
			fmt.Sscan(h.Addr, &k)
			if h.Name == name || cut(k) || k == 4 {
				t.Errorf("%s is to send requests through %s", name, h.Name)
			}
			if cut(i) {
				named[h.Name]++
			}
		}
	}
	for name, n := range named {
		if n > 2*180*maxRelays/len(named) {
			t.Errorf("%s is named %d times, on average %d", name, n, 180*maxRelays/len(named))
		}
	}
	for i := range 300 {
		report(i, true, false)
	}
	if n := len(l.relaysFor("entry-007", now)); n != 0 {
		t.Errorf("%d relays while no host has links", n)
	}
}
