package replica

import (
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

var now = time.Unix(1000, 0)

// group is a table row: three voters in three zones, one leader.
type group struct {
	members quorum.Members
	heard   map[quorum.NodeID]time.Time
	match   map[quorum.NodeID]uint64
	hosts   []Host
}

func three() *group {
	g := &group{heard: map[quorum.NodeID]time.Time{}, match: map[quorum.NodeID]uint64{}}
	for i, zone := range []string{"a", "b", "c"} {
		g.voter(quorum.NodeID(i+1), zone)
	}
	return g
}

func (g *group) voter(id quorum.NodeID, zone string) {
	g.members = append(g.members, quorum.Member{ID: id, Addr: zone + "1"})
	g.heard[id], g.match[id] = now, 100
	g.host(id, zone, zone+"1")
}

func (g *group) host(id quorum.NodeID, zone, addr string) {
	g.hosts = append(g.hosts, Host{Name: addr, Zone: zone, Addr: addr, Disk: uint64(id), LastContact: now})
}

func (g *group) learner(id quorum.NodeID, addr string, match uint64) {
	g.members = append(g.members, quorum.Member{ID: id, Addr: addr, Learner: true})
	g.heard[id], g.match[id] = now, match
}

func (g *group) drop(id quorum.NodeID) {
	for i, h := range g.hosts {
		if h.Disk == uint64(id) {
			g.hosts = append(g.hosts[:i:i], g.hosts[i+1:]...)
			return
		}
	}
}

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(g *group)
		action Action
		member quorum.NodeID
		reason string
	}{
		{"nothing to do", func(*group) {}, None, 0, ""},
		{"a spare host is not needed", func(g *group) { g.host(9, "a", "a2") }, None, 0, ""},
		{"a silent voter without a successor stays", func(g *group) { g.heard[2] = now.Add(-time.Minute); g.drop(2) }, None, 0, ""},
		{"a voter that is silent for a moment stays", func(g *group) { g.heard[2] = now.Add(-time.Second); g.host(9, "b", "b2") }, None, 0, ""},
		{"a dead voter's successor learns", func(g *group) {
			g.heard[2] = now.Add(-time.Minute)
			g.drop(2)
			g.host(8, "a", "a2")
			g.host(9, "b", "b2")
		}, Add, 9, "missing"},
		{"a wiped voter learns at once", func(g *group) { g.drop(2); g.host(9, "b", "b1") }, Add, 9, "missing"},
		{"a learner that is behind waits", func(g *group) {
			g.drop(2)
			g.host(9, "b", "b1")
			g.learner(9, "b1", 50)
		}, None, 0, ""},
		{"a learner that caught up votes", func(g *group) {
			g.drop(2)
			g.host(9, "b", "b1")
			g.learner(9, "b1", 99)
		}, Promote, 9, "replaced"},
		{"the voter that was replaced goes last", func(g *group) {
			g.drop(2)
			g.host(9, "b", "b1")
			g.members = append(g.members, quorum.Member{ID: 9, Addr: "b1"})
			g.heard[9], g.match[9] = now, 100
		}, Remove, 2, "replaced"},
		{"a leaving voter without a successor stays", func(g *group) { g.hosts[1].Leaving = true }, None, 0, ""},
		{"a leaving voter goes after its successor votes", func(g *group) {
			g.voter(9, "b2")
			g.hosts[1].Leaving = true
		}, Remove, 2, "leaving"},
		{"a dead learner is dropped", func(g *group) {
			g.learner(9, "b2", 10)
			g.heard[9] = now.Add(-time.Minute)
		}, Remove, 9, "dead"},
		{"the leader leaves too", func(g *group) {
			g.voter(9, "a2")
			g.hosts[0].Leaving = true
		}, Remove, 1, "leaving"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := three()
			c.change(g)
			st := quorum.Status{ID: 1, Role: quorum.Leader, LastIndex: 100, Members: g.members, LastContact: g.heard, Match: g.match}
			got := Plan(st, g.hosts, 3, now)
			if got.Action != c.action || got.Member.ID != c.member || got.Reason != c.reason {
				t.Fatalf("got %+v, want %s of %d for %q", got, c.action, c.member, c.reason)
			}
		})
	}
}
