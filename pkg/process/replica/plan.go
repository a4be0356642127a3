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
	voterTimeout = 4 * time.Second
	// learnerTimeout is how long a learner may be silent before it is removed.
	learnerTimeout = 6 * time.Second
	// maxPromotionLag is the maximum number of entries by which a learner may lag behind
	// when it is promoted.
	maxPromotionLag = 16
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
	// Reason is "missing", "dead", "replaced", "leaving" or "surplus".
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

// planner contains the input of Plan, with the available hosts by storage number and by
// address.
type planner struct {
	st     quorum.Status
	hosts  map[quorum.NodeID]Host
	byAddr map[string]Host
	now    time.Time
}

// Plan returns the next step towards the given number of live voters in different
// availability zones.
//
// A host may lose its disk, or disappear while a new host appears, and the next failure may
// follow as soon as the new replica has had time to catch up. Therefore a learner is added
// at once, a voter is removed only after its successor has become a voter, and a silent
// voter without a successor remains a member.
func Plan(st quorum.Status, hosts []Host, replicas int, now time.Time) Change {
	v := &planner{st, map[quorum.NodeID]Host{}, map[string]Host{}, now}
	for _, h := range hosts {
		if now.Sub(h.LastContact) < hostTimeout {
			v.hosts[quorum.NodeID(h.Disk)] = h
			v.byAddr[h.Addr] = h
		}
	}
	steps := []func(int) Change{v.removeLearner, v.removeVoter, v.promote, v.add}
	for _, step := range steps {
		if c := step(replicas); c.Action != None {
			return c
		}
	}
	return Change{}
}

// fault returns the reason why a member does not count as healthy, or an empty string.
// limit is how long it may be silent.
func (v *planner) fault(m quorum.Member, limit time.Duration) string {
	if m.ID == v.st.ID {
		if v.hosts[m.ID].Leaving {
			return "leaving"
		}
		return ""
	}
	h, ok := v.byAddr[m.Addr]
	switch {
	case ok && quorum.NodeID(h.Disk) != m.ID:
		return "replaced"
	case v.now.Sub(v.st.LastContact[m.ID]) > limit:
		return "dead"
	case v.hosts[m.ID].Leaving:
		return "leaving"
	}
	return ""
}

// classifyVoters returns the healthy voters, and for each faulty voter its removal with the
// reason.
func (v *planner) classifyVoters() (healthy []quorum.Member, faulty []Change) {
	for _, m := range v.st.Members {
		if m.Learner {
			continue
		}
		if reason := v.fault(m, voterTimeout); reason != "" {
			faulty = append(faulty, Change{Remove, m, reason})
			continue
		}
		healthy = append(healthy, m)
	}
	return healthy, faulty
}

// removeLearner removes a faulty learner.
func (v *planner) removeLearner(int) Change {
	for _, m := range v.st.Members {
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
func (v *planner) removeVoter(replicas int) Change {
	healthy, faulty := v.classifyVoters()
	if len(healthy) < replicas {
		return Change{}
	}
	if len(faulty) > 0 {
		return faulty[0]
	}
	if len(healthy) > replicas {
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
			if m.ID == v.st.ID {
				n -= 3
			}
			return n
		}
		return rank(a) - rank(b)
	})
}

// promote makes a learner that has caught up a voter. It prefers one in a zone without a
// healthy voter.
func (v *planner) promote(replicas int) Change {
	healthy, faulty := v.classifyVoters()
	if len(healthy) >= replicas {
		return Change{}
	}
	best := Change{}
	for _, m := range v.st.Members {
		match := v.st.Match[m.ID]
		if !m.Learner || match == 0 || match+maxPromotionLag < v.st.LastIndex {
			continue
		}
		if best.Action == None || v.zoneWithoutVoter(m.ID, healthy) && !v.zoneWithoutVoter(best.Member.ID, healthy) {
			best = Change{Promote, m, "missing"}
		}
	}
	if best.Action != None && len(faulty) > 0 {
		best.Reason = faulty[0].Reason
	}
	return best
}

// zoneWithoutVoter reports whether the zone of a host has no healthy voter.
func (v *planner) zoneWithoutVoter(id quorum.NodeID, healthy []quorum.Member) bool {
	return !slices.ContainsFunc(healthy, func(m quorum.Member) bool { return v.hosts[m.ID].Zone == v.hosts[id].Zone })
}

// add adds a host as a learner while voters are missing.
func (v *planner) add(replicas int) Change {
	healthy, _ := v.classifyVoters()
	learners := 0
	for _, m := range v.st.Members {
		if m.Learner {
			learners++
		}
	}
	if len(healthy)+learners >= replicas {
		return Change{}
	}
	var best *Host
	for id, h := range v.hosts {
		if _, member := v.st.Members.Find(id); member || h.Leaving {
			continue
		}
		if best == nil || v.preferred(h, *best, healthy) {
			best = &h
		}
	}
	if best == nil {
		return Change{}
	}
	return Change{Add, quorum.Member{ID: quorum.NodeID(best.Disk), Addr: best.Addr}, "missing"}
}

// preferred reports whether a is to be added before b: hosts in zones without a healthy
// voter come first, then the order is by name.
func (v *planner) preferred(a, b Host, healthy []quorum.Member) bool {
	x, y := v.zoneWithoutVoter(quorum.NodeID(a.Disk), healthy), v.zoneWithoutVoter(quorum.NodeID(b.Disk), healthy)
	if x != y {
		return x
	}
	return a.Name < b.Name
}
