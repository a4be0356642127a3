package replica

import (
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

var now = time.Unix(1000, 0)

// planInput is the input of one Plan call.
type planInput struct {
	members     quorum.Members
	lastContact map[quorum.NodeID]time.Time
	match       map[quorum.NodeID]uint64
	hosts       []Host
}

// threeVoters returns a group of three voters in three zones.
func threeVoters() *planInput {
	g := &planInput{lastContact: map[quorum.NodeID]time.Time{}, match: map[quorum.NodeID]uint64{}}
	for i, zone := range []string{"a", "b", "c"} {
		g.addVoter(quorum.NodeID(i+1), zone)
	}
	return g
}

func (g *planInput) addVoter(id quorum.NodeID, zone string) {
	g.members = append(g.members, quorum.Member{ID: id, Addr: zone + "1"})
	g.lastContact[id], g.match[id] = now, 100
	g.addHost(id, zone, zone+"1")
}

func (g *planInput) addHost(id quorum.NodeID, zone, addr string) {
	g.hosts = append(g.hosts, Host{Name: addr, Zone: zone, Addr: addr, Disk: uint64(id), LastContact: now})
}

func (g *planInput) addLearner(id quorum.NodeID, addr string, match uint64) {
	g.members = append(g.members, quorum.Member{ID: id, Addr: addr, Learner: true})
	g.lastContact[id], g.match[id] = now, match
}

func (g *planInput) removeHost(id quorum.NodeID) {
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
		change func(g *planInput)
		action Action
		member quorum.NodeID
		reason string
	}{
		{"nothing to do", func(*planInput) {}, None, 0, ""},
		{"a spare host is not needed", func(g *planInput) { g.addHost(9, "a", "a2") }, None, 0, ""},
		{"a silent voter without a successor is kept", func(g *planInput) { g.lastContact[2] = now.Add(-time.Minute); g.removeHost(2) }, None, 0, ""},
		{"a voter that is silent for a second is kept", func(g *planInput) { g.lastContact[2] = now.Add(-time.Second); g.addHost(9, "b", "b2") }, None, 0, ""},
		{"the successor of a dead voter is added as a learner", func(g *planInput) {
			g.lastContact[2] = now.Add(-time.Minute)
			g.removeHost(2)
			g.addHost(8, "a", "a2")
			g.addHost(9, "b", "b2")
		}, Add, 9, "missing"},
		{"a wiped voter is added as a learner at once", func(g *planInput) { g.removeHost(2); g.addHost(9, "b", "b1") }, Add, 9, "missing"},
		{"a learner that lags is not promoted", func(g *planInput) {
			g.removeHost(2)
			g.addHost(9, "b", "b1")
			g.addLearner(9, "b1", 50)
		}, None, 0, ""},
		{"a learner that has caught up is promoted", func(g *planInput) {
			g.removeHost(2)
			g.addHost(9, "b", "b1")
			g.addLearner(9, "b1", 99)
		}, Promote, 9, "replaced"},
		{"a replaced voter is removed after its successor is a voter", func(g *planInput) {
			g.removeHost(2)
			g.addHost(9, "b", "b1")
			g.members = append(g.members, quorum.Member{ID: 9, Addr: "b1"})
			g.lastContact[9], g.match[9] = now, 100
		}, Remove, 2, "replaced"},
		{"a leaving voter without a successor is kept", func(g *planInput) { g.hosts[1].Leaving = true }, None, 0, ""},
		{"a leaving voter is removed after its successor is a voter", func(g *planInput) {
			g.addVoter(9, "b2")
			g.hosts[1].Leaving = true
		}, Remove, 2, "leaving"},
		{"a dead learner is removed", func(g *planInput) {
			g.addLearner(9, "b2", 10)
			g.lastContact[9] = now.Add(-time.Minute)
		}, Remove, 9, "dead"},
		{"a leaving leader is removed too", func(g *planInput) {
			g.addVoter(9, "a2")
			g.hosts[0].Leaving = true
		}, Remove, 1, "leaving"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := threeVoters()
			c.change(g)
			st := quorum.Status{ID: 1, Role: quorum.Leader, LastIndex: 100, Members: g.members, LastContact: g.lastContact, Match: g.match}
			got := Plan(st, g.hosts, 3, now)
			if got.Action != c.action || got.Member.ID != c.member || got.Reason != c.reason {
				t.Fatalf("got %+v, want %s of %d for %q", got, c.action, c.member, c.reason)
			}
		})
	}
}
