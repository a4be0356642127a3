package replica

import (
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// Host is a process that can hold a replica.
type Host struct {
	// Name is the host's name.
	Name string
	Zone string
	// Addr takes messages between replicas.
	Addr string
	// Disk is the storage number of its data folder.
	Disk uint64
	// LastContact is when the host last told of itself.
	LastContact time.Time
	// Leaving hosts are to be emptied.
	Leaving bool
}

// Periods of membership work.
const (
	// hostLive is how long a host counts as there after it told of itself; it
	// does so every second.
	hostLive = 3 * time.Second
	// voterDead is how long a voter may be silent before another host takes
	// its place. A restart takes about two seconds.
	voterDead = 4 * time.Second
	// learnerDead is how long a learner may be silent before it is dropped.
	learnerDead = 6 * time.Second
	// caughtUpEntries is how far behind a learner may be when it is promoted.
	caughtUpEntries = 16
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

// Change is one step of a plan.
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

// view is what Plan knows.
type view struct {
	st     quorum.Status
	hosts  map[quorum.NodeID]Host
	byAddr map[string]Host
	now    time.Time
}

// Plan returns the next step towards the wanted number of live voters in
// different availability zones.
//
// Load pattern: a host loses its disk, or is gone and another comes; the next
// loss may follow as soon as the new one had time to catch up. So a learner is
// added at once, a voter is removed only after its successor votes, and a
// silent voter without a successor stays.
func Plan(st quorum.Status, hosts []Host, replicas int, now time.Time) Change {
	v := &view{st, map[quorum.NodeID]Host{}, map[string]Host{}, now}
	for _, h := range hosts {
		if now.Sub(h.LastContact) < hostLive {
			v.hosts[quorum.NodeID(h.Disk)] = h
			v.byAddr[h.Addr] = h
		}
	}
	steps := []func(int) Change{v.dropLearner, v.remove, v.promote, v.add}
	for _, step := range steps {
		if c := step(replicas); c.Action != None {
			return c
		}
	}
	return Change{}
}

// fault returns why a member does not count, or "".
func (v *view) fault(m quorum.Member, limit time.Duration) string {
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

// sound returns the voters that count, and the faulty ones with their faults.
func (v *view) sound() (sound []quorum.Member, faulty []Change) {
	for _, m := range v.st.Members {
		if m.Learner {
			continue
		}
		if reason := v.fault(m, voterDead); reason != "" {
			faulty = append(faulty, Change{Remove, m, reason})
			continue
		}
		sound = append(sound, m)
	}
	return sound, faulty
}

func (v *view) dropLearner(int) Change {
	for _, m := range v.st.Members {
		if !m.Learner {
			continue
		}
		if reason := v.fault(m, learnerDead); reason != "" {
			return Change{Remove, m, reason}
		}
	}
	return Change{}
}

// remove drops a faulty voter once enough sound ones vote.
func (v *view) remove(replicas int) Change {
	sound, faulty := v.sound()
	if len(sound) < replicas {
		return Change{}
	}
	if len(faulty) > 0 {
		return faulty[0]
	}
	if len(sound) > replicas {
		return Change{Remove, v.surplus(sound), "surplus"}
	}
	return Change{}
}

// surplus picks the voter whose zone has the most voters, never the leader if
// another will do.
func (v *view) surplus(sound []quorum.Member) quorum.Member {
	count := map[string]int{}
	for _, m := range sound {
		count[v.hosts[m.ID].Zone]++
	}
	return slices.MaxFunc(sound, func(a, b quorum.Member) int {
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

// promote gives a vote to a learner that has caught up, in a zone of its own
// if there is one.
func (v *view) promote(replicas int) Change {
	sound, faulty := v.sound()
	if len(sound) >= replicas {
		return Change{}
	}
	best := Change{}
	for _, m := range v.st.Members {
		match := v.st.Match[m.ID]
		if !m.Learner || match == 0 || match+caughtUpEntries < v.st.LastIndex {
			continue
		}
		if best.Action == None || v.lonely(m.ID, sound) && !v.lonely(best.Member.ID, sound) {
			best = Change{Promote, m, "missing"}
		}
	}
	if best.Action != None && len(faulty) > 0 {
		best.Reason = faulty[0].Reason
	}
	return best
}

// lonely reports whether no sound voter is in the zone of a host.
func (v *view) lonely(id quorum.NodeID, sound []quorum.Member) bool {
	return !slices.ContainsFunc(sound, func(m quorum.Member) bool { return v.hosts[m.ID].Zone == v.hosts[id].Zone })
}

// add makes a host a learner while votes are missing.
func (v *view) add(replicas int) Change {
	sound, _ := v.sound()
	learners := 0
	for _, m := range v.st.Members {
		if m.Learner {
			learners++
		}
	}
	if len(sound)+learners >= replicas {
		return Change{}
	}
	var best *Host
	for id, h := range v.hosts {
		if _, member := v.st.Members.Find(id); member || h.Leaving {
			continue
		}
		if best == nil || v.better(h, *best, sound) {
			best = &h
		}
	}
	if best == nil {
		return Change{}
	}
	return Change{Add, quorum.Member{ID: quorum.NodeID(best.Disk), Addr: best.Addr}, "missing"}
}

func (v *view) better(a, b Host, sound []quorum.Member) bool {
	x, y := v.lonely(quorum.NodeID(a.Disk), sound), v.lonely(quorum.NodeID(b.Disk), sound)
	if x != y {
		return x
	}
	return a.Name < b.Name
}
