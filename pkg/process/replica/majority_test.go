package replica

import (
	"testing"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// TestCensus guards against a group that has lost its majority for good and looks like one that
// waits for a partition to heal.
func TestCensus(t *testing.T) {
	m := quorum.Members{{ID: 1, Addr: "a"}, {ID: 2, Addr: "b"}, {ID: 3, Addr: "c"}, {ID: 4, Addr: "d", Learner: true}}
	for _, c := range []struct {
		name     string
		answered map[string]quorum.NodeID
		want     Census
		lost     bool
	}{
		{"all answer", map[string]quorum.NodeID{"b": 2, "c": 3, "d": 4}, Census{Voters: 3, Present: 3}, false},
		{"two are silent", nil, Census{Voters: 3, Present: 1, Silent: 2}, false},
		{"one has another disk", map[string]quorum.NodeID{"b": 9}, Census{Voters: 3, Present: 1, Replaced: 1, Silent: 1}, false},
		{"two have other disks", map[string]quorum.NodeID{"b": 9, "c": 8}, Census{Voters: 3, Present: 1, Replaced: 2}, true},
		{"a learner does not count", map[string]quorum.NodeID{"b": 9, "c": 8, "d": 4}, Census{Voters: 3, Present: 1, Replaced: 2}, true},
	} {
		if got := takeCensus(m, 1, c.answered); got != c.want || got.Lost() != c.lost {
			t.Errorf("%s: got %+v, lost %v; want %+v, lost %v", c.name, got, got.Lost(), c.want, c.lost)
		}
	}
}
