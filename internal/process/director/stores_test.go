package director

import (
	"testing"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// TestNeverBootstrapped guards against replacing initial voters that may have accepted
// entries: others are chosen only if the first voter has lost its disk and no majority
// can have accepted anything.
func TestNeverBootstrapped(t *testing.T) {
	voters := []catalog.InitialVoter{{Disk: 1, Addr: "a"}, {Disk: 2, Addr: "b"}, {Disk: 3, Addr: "c"}}
	at := func(addr string, disk uint64, empty bool) *host {
		return &host{Host: &fleet.Host{Addr: addr, Disk: disk, Empty: empty}}
	}
	for _, c := range []struct {
		name string
		live []*host
		want bool
	}{
		{"all unchanged", []*host{at("a", 1, true), at("b", 2, true), at("c", 3, true)}, false},
		{"the first is not live", []*host{at("b", 2, true), at("c", 3, true)}, false},
		{"the first lost its disk", []*host{at("a", 9, true), at("b", 2, true), at("c", 3, true)}, true},
		{"the first lost its disk, another host is new", []*host{at("a", 9, true), at("b", 2, true), at("d", 4, true)}, false},
		{"the first lost its disk, one has entries", []*host{at("a", 9, true), at("b", 2, false), at("c", 3, true)}, false},
		{"another lost its disk", []*host{at("a", 1, true), at("b", 9, true), at("c", 3, true)}, false},
		{"two lost their disks", []*host{at("a", 9, true), at("b", 8, true), at("c", 3, true)}, false},
	} {
		if got := neverBootstrapped(voters, c.live, 1); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}
