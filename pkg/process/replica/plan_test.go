package replica

import (
	"fmt"
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
	stopping    map[quorum.NodeID]bool
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

// addSpare adds a learner that has caught up.
func (g *planInput) addSpare(id quorum.NodeID, zone, addr string) {
	g.addHost(id, zone, addr)
	g.addLearner(id, addr, 100)
}

func (g *planInput) stop(id quorum.NodeID) {
	if g.stopping == nil {
		g.stopping = map[quorum.NodeID]bool{}
	}
	g.stopping[id] = true
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
		{"an available host becomes a spare learner", func(g *planInput) { g.addHost(9, "a", "a2") }, Add, 9, "spare"},
		{"a spare learner in the leader's zone costs least", func(g *planInput) { g.addHost(8, "b", "b2"); g.addHost(9, "a", "a2") }, Add, 9, "spare"},
		{"a second spare learner is not needed", func(g *planInput) { g.addHost(8, "b", "b2"); g.addSpare(9, "a", "a2") }, None, 0, ""},
		{"a learner too many is removed", func(g *planInput) { g.addSpare(8, "b", "b2"); g.addSpare(9, "a", "a2") }, Remove, 8, "surplus"},
		{"a silent voter without a successor is kept", func(g *planInput) { g.lastContact[2] = now.Add(-time.Minute); g.removeHost(2) }, None, 0, ""},
		{"a voter that is silent for a second is kept", func(g *planInput) { g.lastContact[2] = now.Add(-time.Second); g.addSpare(9, "b", "b2") }, None, 0, ""},
		{"a spare learner takes over from a dead voter", func(g *planInput) { g.lastContact[2] = now.Add(-4 * time.Second); g.addSpare(9, "a", "a2") }, Promote, 9, "dead"},
		{"a silent learner does not take over", func(g *planInput) {
			g.lastContact[2] = now.Add(-4 * time.Second)
			g.addSpare(9, "b", "b2")
			g.lastContact[9] = now.Add(-2 * time.Second)
		}, None, 0, ""},
		{"a spare learner takes over from a voter that stops", func(g *planInput) { g.stop(2); g.addSpare(9, "a", "a2") }, Promote, 9, "stopping"},
		{"a voter that stops is kept without a successor", func(g *planInput) { g.stop(2) }, None, 0, ""},
		{"a voter that stops is removed once its successor votes", func(g *planInput) { g.stop(2); g.addVoter(9, "b2") }, Remove, 2, "stopping"},
		{"the leader is removed last", func(g *planInput) {
			g.stop(1)
			g.addVoter(8, "b2")
			g.addVoter(9, "c2")
			g.lastContact[3] = now.Add(-4 * time.Second)
		}, Remove, 3, "dead"},
		{"a learner that stops is removed", func(g *planInput) { g.addSpare(9, "b", "b2"); g.stop(9) }, Remove, 9, "stopping"},
		{"a host that stops is not added", func(g *planInput) { g.addHost(9, "b", "b2"); g.stop(9) }, None, 0, ""},
		{"a host in a zone without a voter is added beside the spare", func(g *planInput) {
			g.hosts[2].Zone = "a"
			g.addSpare(8, "a", "a2")
			g.addHost(9, "c", "c2")
		}, Add, 9, "zone"},
		{"a learner in a zone without a voter takes over", func(g *planInput) {
			g.hosts[2].Zone = "a"
			g.addSpare(8, "a", "a2")
			g.addSpare(9, "c", "c2")
		}, Promote, 9, "zone"},
		{"the voter in the crowded zone is removed then", func(g *planInput) {
			g.hosts[2].Zone = "a"
			g.addVoter(9, "c2")
		}, Remove, 3, "surplus"},
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
		{"a learner that was added since the latest heartbeat is kept", func(g *planInput) {
			g.addHost(9, "b", "b2")
			g.addLearner(9, "b2", 0)
			delete(g.lastContact, 9)
		}, None, 0, ""},
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
			got := Plan(View{Status: st, Hosts: g.hosts, Stopping: g.stopping, Replicas: 3, Now: now})
			if got.Action != c.action || got.Member.ID != c.member || got.Reason != c.reason {
				t.Fatalf("got %+v, want %s of %d for %q", got, c.action, c.member, c.reason)
			}
		})
	}
}

// TestStopsLeaveAMajority guards against a voter that stops at a moment at which the loss of as many others as
// must be borne leaves no majority: one host after another is replaced, its successor first.
func TestStopsLeaveAMajority(t *testing.T) {
	for _, tolerate := range []int{1, 2} {
		replicas := 2*tolerate + 1
		g := &planInput{lastContact: map[quorum.NodeID]time.Time{}, match: map[quorum.NodeID]uint64{}}
		for i := range replicas {
			g.addVoter(quorum.NodeID(i+1), string(rune('a'+i)))
		}
		leader := quorum.NodeID(1)
		for n := range 4 * replicas {
			old := g.hosts[0]
			successor := quorum.NodeID(100 + n)
			g.addHost(successor, old.Zone, fmt.Sprint(old.Zone, n))
			g.stopping = map[quorum.NodeID]bool{}
			view := func() View {
				st := quorum.Status{ID: leader, Role: quorum.Leader, LastIndex: 100, Members: g.members, LastContact: g.lastContact, Match: g.match}
				return View{Status: st, Hosts: g.hosts, Stopping: g.stopping, Replicas: replicas, Now: now}
			}
			apply := func() bool {
				c := Plan(view())
				g.members = c.Apply(g.members)
				g.lastContact[c.Member.ID], g.match[c.Member.ID] = now, 100
				voters := g.members.Voters()
				if len(voters)-tolerate < g.members.Quorum() {
					t.Fatalf("%d: %d voters, %d losses leave no majority", n, len(voters), tolerate)
				}
				return c.Action != None
			}
			for apply() {
			}
			g.stop(quorum.NodeID(old.Disk))
			for CanHandOver(view(), quorum.NodeID(old.Disk)) {
				if !apply() {
					t.Fatalf("%d: the voter waits and nothing is done: %+v", n, g.members)
				}
			}
			if g.members.IsVoter(quorum.NodeID(old.Disk)) || len(g.members.Voters()) != replicas {
				t.Fatalf("%d: host %s stopped while the voters are %v", n, old.Name, g.members)
			}
			g.removeHost(quorum.NodeID(old.Disk))
			if leader == quorum.NodeID(old.Disk) {
				leader = g.members.Voters()[0]
			}
		}
	}
}

// TestCanHandOver guards against a voter that stops without handing over its vote, or waits for a host that there is not.
func TestCanHandOver(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(g *planInput)
		want   bool
	}{
		{"no other host", func(*planInput) {}, false},
		{"a spare learner", func(g *planInput) { g.addSpare(9, "b", "b2") }, true},
		{"a learner that restores a large state", func(g *planInput) {
			g.addSpare(9, "b", "b2")
			g.lastContact[9], g.match[9] = now.Add(-4*time.Second), 0
		}, true},
		{"a learner that is down", func(g *planInput) { g.addSpare(9, "b", "b2"); g.lastContact[9] = now.Add(-time.Minute) }, false},
		{"a learner that stops too", func(g *planInput) { g.addSpare(9, "b", "b2"); g.stop(9) }, false},
		{"a host that is not a member yet", func(g *planInput) { g.addHost(9, "b", "b2") }, true},
		{"a host that is to be drained", func(g *planInput) { g.addHost(9, "b", "b2"); g.hosts[3].Leaving = true }, false},
		{"enough other voters", func(g *planInput) { g.addVoter(9, "b2") }, true},
		{"not a voter", func(g *planInput) { g.members = g.members.Without(2); g.addHost(9, "b", "b2") }, false},
	} {
		g := threeVoters()
		g.stop(2)
		c.change(g)
		st := quorum.Status{ID: 1, Role: quorum.Leader, LastIndex: 100, Members: g.members, LastContact: g.lastContact, Match: g.match}
		if got := CanHandOver(View{Status: st, Hosts: g.hosts, Stopping: g.stopping, Replicas: 3, Now: now}, 2); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}
