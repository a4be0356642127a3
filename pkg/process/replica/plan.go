package replica

import (
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// Host is a process that can run a replica.
type Host struct {
	Name string
	Zone string
	// Addr is the address for messages between replicas.
	Addr string
	// Disk is the storage number of the process's data directory.
	Disk uint64
	// LastContact is the time of the process's latest report.
	LastContact time.Time
	// Leaving is set if the host is to be drained of replicas.
	Leaving bool
}

// Timeouts and limits of membership changes.
const (
	// hostTimeout is how long a host counts as available after its latest report. Hosts
	// report every second.
	hostTimeout = 3 * time.Second
	// voterTimeout is how long a voter may be silent before another host replaces it. It
	// is longer than a restart, which takes about 2 s.
	voterTimeout = 3 * time.Second
	// contactTimeout is how long ago a learner may have answered when it is promoted. With a
	// silent one among them, the voters may be too few to commit the next change.
	contactTimeout = time.Second
	// learnerTimeout is how long a learner may be silent before it is removed.
	learnerTimeout = 6 * time.Second
	// maxPromotionLag is the maximum number of entries by which a learner may lag behind
	// when it is promoted.
	maxPromotionLag = 16
	// spareLearners is the number of learners that a group keeps besides its voters, so that
	// one of them takes over the vote of a host that leaves without delay.
	spareLearners = 1
)

// Action is a kind of membership change.
type Action string

// Actions of a plan.
const (
	None    Action = ""
	Add     Action = "add"
	Promote Action = "promote"
	Remove  Action = "remove"
)

// Change is one step of a plan: at most one membership change.
type Change struct {
	Action Action
	Member quorum.Member
	// Reason is "missing", "spare", "zone", "dead", "replaced", "leaving", "stopping" or "surplus".
	Reason string
}

// Apply returns the membership after the change.
func (c Change) Apply(m quorum.Members) quorum.Members {
	switch c.Action {
	case Add:
		return m.With(quorum.Member{ID: c.Member.ID, Addr: c.Member.Addr, Learner: true})
	case Promote:
		return m.With(quorum.Member{ID: c.Member.ID, Addr: c.Member.Addr})
	case Remove:
		return m.Without(c.Member.ID)
	}
	return m
}

// View is the input of a plan.
type View struct {
	// Status is that of the leader.
	Status quorum.Status
	Hosts  []Host
	// Stopping contains the replicas whose processes are about to stop.
	Stopping map[quorum.NodeID]bool
	// Replicas is the number of voters that the group should have.
	Replicas int
	Now      time.Time
}

// planner contains a view, with the available hosts by storage number and by address.
type planner struct {
	View
	hosts  map[quorum.NodeID]Host
	byAddr map[string]Host
}

func newPlanner(v View) *planner {
	p := &planner{v, map[quorum.NodeID]Host{}, map[string]Host{}}
	for _, h := range v.Hosts {
		if v.Now.Sub(h.LastContact) < hostTimeout {
			p.hosts[quorum.NodeID(h.Disk)] = h
			p.byAddr[h.Addr] = h
		}
	}
	return p
}

// Plan returns the next step towards the given number of live voters in different
// availability zones, and a learner that can take over from any of them.
//
// A host may lose its disk, or disappear while a new host appears, and the next failure may
// follow as soon as the new replica has had time to catch up; if the new host came first, at
// once. Therefore a host that is available is a learner before it is needed, a voter is removed
// only after its successor has become a voter, and a silent voter without a successor remains a
// member.
func Plan(v View) Change {
	p := newPlanner(v)
	for _, step := range []func() Change{p.removeLearner, p.removeVoter, p.promote, p.add, p.removeSpare} {
		if c := step(); c.Action != None {
			return c
		}
	}
	return Change{}
}

// CanHandOver reports whether a stopping voter is to wait until another host has its vote.
func CanHandOver(v View, id quorum.NodeID) bool {
	p := newPlanner(v)
	if !v.Status.Members.IsVoter(id) {
		return false
	}
	healthy, _ := p.classifyVoters()
	if len(healthy) >= v.Replicas {
		return true
	}
	for _, m := range v.Status.Members {
		// A learner that restores a large state does not answer meanwhile.
		if m.Learner && p.fault(m, learnerTimeout) == "" {
			return true
		}
	}
	return p.bestHost(healthy) != nil
}

// fault returns the reason why a member does not count as healthy, or an empty string.
// limit is how long it may be silent.
func (v *planner) fault(m quorum.Member, limit time.Duration) string {
	h, known := v.byAddr[m.Addr]
	// A member without a last contact has been added since the latest heartbeat.
	contact, called := v.Status.LastContact[m.ID]
	switch {
	case m.ID == v.Status.ID:
	case known && quorum.NodeID(h.Disk) != m.ID:
		return "replaced"
	case called && v.Now.Sub(contact) > limit:
		return "dead"
	}
	switch {
	case v.Stopping[m.ID]:
		return "stopping"
	case v.hosts[m.ID].Leaving:
		return "leaving"
	}
	return ""
}

// classifyVoters returns the healthy voters, and for each faulty voter its removal with the
// reason.
func (v *planner) classifyVoters() (healthy []quorum.Member, faulty []Change) {
	for _, m := range v.Status.Members {
		if m.Learner {
			continue
		}
		if reason := v.fault(m, voterTimeout); reason != "" {
			faulty = append(faulty, Change{Remove, m, reason})
			continue
		}
		healthy = append(healthy, m)
	}
	// The leader removes itself last, since it then steps down.
	slices.SortStableFunc(faulty, func(a, b Change) int { return v.selfLast(a.Member.ID) - v.selfLast(b.Member.ID) })
	return healthy, faulty
}

// selfLast returns 1 for the leader and 0 for other members.
func (v *planner) selfLast(id quorum.NodeID) int {
	if id == v.Status.ID {
		return 1
	}
	return 0
}

// removeLearner removes a faulty learner.
func (v *planner) removeLearner() Change {
	for _, m := range v.Status.Members {
		if !m.Learner {
			continue
		}
		if reason := v.fault(m, learnerTimeout); reason != "" {
			return Change{Remove, m, reason}
		}
	}
	return Change{}
}

// removeVoter removes a faulty or surplus voter once there are enough healthy ones.
func (v *planner) removeVoter() Change {
	healthy, faulty := v.classifyVoters()
	if len(healthy) < v.Replicas {
		return Change{}
	}
	if len(faulty) > 0 {
		return faulty[0]
	}
	if len(healthy) > v.Replicas {
		return Change{Remove, v.surplusVoter(healthy), "surplus"}
	}
	return Change{}
}

// surplusVoter selects a voter of the zone with the most voters, and never the leader if
// there is another voter.
func (v *planner) surplusVoter(healthy []quorum.Member) quorum.Member {
	count := map[string]int{}
	for _, m := range healthy {
		count[v.hosts[m.ID].Zone]++
	}
	return slices.MaxFunc(healthy, func(a, b quorum.Member) int {
		rank := func(m quorum.Member) int {
			n := 2 * count[v.hosts[m.ID].Zone]
			if m.ID == v.Status.ID {
				n -= 3
			}
			return n
		}
		return rank(a) - rank(b)
	})
}

// promote makes a learner that has caught up a voter, if a voter is missing or the learner is
// in a zone that has too few. It prefers a zone without a healthy voter.
func (v *planner) promote() Change {
	healthy, faulty := v.classifyVoters()
	if len(healthy) > v.Replicas {
		return Change{}
	}
	best := Change{}
	for _, m := range v.Status.Members {
		if !m.Learner || !v.caughtUp(m.ID) || v.fault(m, contactTimeout) != "" {
			continue
		}
		if best.Action == None || v.zoneWithoutVoter(m.ID, healthy) && !v.zoneWithoutVoter(best.Member.ID, healthy) {
			best = Change{Promote, m, "missing"}
		}
	}
	switch {
	case best.Action == None:
	case len(healthy) == v.Replicas:
		if len(faulty) > 0 || !v.improvesZones(best.Member.ID, healthy) {
			return Change{}
		}
		best.Reason = "zone"
	case len(faulty) > 0:
		best.Reason = faulty[0].Reason
	}
	return best
}

// caughtUp reports whether a learner lags behind by so little that it can be promoted.
func (v *planner) caughtUp(id quorum.NodeID) bool {
	match := v.Status.Match[id]
	return match != 0 && match+maxPromotionLag >= v.Status.LastIndex
}

// zoneWithoutVoter reports whether the zone of a host has no healthy voter.
func (v *planner) zoneWithoutVoter(id quorum.NodeID, healthy []quorum.Member) bool {
	return !slices.ContainsFunc(healthy, func(m quorum.Member) bool { return v.hosts[m.ID].Zone == v.hosts[id].Zone })
}

// improvesZones reports whether the voters would be spread over more zones with a host in
// place of one of them. It is false if the zone of one of them is not known.
func (v *planner) improvesZones(id quorum.NodeID, healthy []quorum.Member) bool {
	h, ok := v.hosts[id]
	if !ok || !v.zoneWithoutVoter(id, healthy) {
		return false
	}
	zones := map[string]bool{h.Zone: true}
	for _, m := range healthy {
		x, ok := v.hosts[m.ID]
		if !ok {
			return false
		}
		zones[x.Zone] = true
	}
	return len(zones) <= len(healthy)
}

// learners returns the learners without a fault.
func (v *planner) learners() []quorum.Member {
	return slices.DeleteFunc(slices.Clone(v.Status.Members), func(m quorum.Member) bool {
		return !m.Learner || v.fault(m, learnerTimeout) != ""
	})
}

// add adds a host as a learner while voters or spare learners are missing, or if the voters
// can be spread over more zones with it.
func (v *planner) add() Change {
	healthy, _ := v.classifyVoters()
	learners := v.learners()
	best := v.bestHost(healthy)
	if best == nil {
		return Change{}
	}
	c := Change{Add, quorum.Member{ID: quorum.NodeID(best.Disk), Addr: best.Addr}, "missing"}
	spread := slices.ContainsFunc(learners, func(m quorum.Member) bool { return v.improvesZones(m.ID, healthy) })
	switch n := len(healthy) + len(learners); {
	case n < v.Replicas:
	case n < v.Replicas+spareLearners:
		c.Reason = "spare"
	case n == v.Replicas+spareLearners && len(healthy) == v.Replicas && !spread && v.improvesZones(c.Member.ID, healthy):
		c.Reason = "zone"
	default:
		return Change{}
	}
	return c
}

// removeSpare removes a learner that the group does not need any more.
func (v *planner) removeSpare() Change {
	healthy, _ := v.classifyVoters()
	learners := v.learners()
	improves := func(m quorum.Member) bool { return v.improvesZones(m.ID, healthy) }
	if len(healthy) < v.Replicas || len(learners) <= spareLearners || slices.ContainsFunc(learners, improves) {
		return Change{}
	}
	return Change{Remove, learners[0], "surplus"}
}

// bestHost returns the available host that is to be added next, or nil.
func (v *planner) bestHost(healthy []quorum.Member) *Host {
	var best *Host
	for id, h := range v.hosts {
		if _, member := v.Status.Members.Find(id); member || h.Leaving || v.Stopping[id] {
			continue
		}
		if best == nil || v.preferred(h, *best, healthy) {
			best = &h
		}
	}
	return best
}

// preferred reports whether a is to be added before b: hosts in zones without a healthy voter
// come first, then those in the leader's zone, to which sending the log costs least, then the
// order is by name.
func (v *planner) preferred(a, b Host, healthy []quorum.Member) bool {
	x, y := v.zoneWithoutVoter(quorum.NodeID(a.Disk), healthy), v.zoneWithoutVoter(quorum.NodeID(b.Disk), healthy)
	if x != y {
		return x
	}
	zone := v.hosts[v.Status.ID].Zone
	if x, y := a.Zone == zone, b.Zone == zone; x != y {
		return x
	}
	return a.Name < b.Name
}
