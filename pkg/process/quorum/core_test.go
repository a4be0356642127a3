package quorum

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeReplica is a Core and its simulated disk, whose content survives crashes.
type fakeReplica struct {
	core *Core
	disk Persisted
	up   bool
}

// group simulates replicas and a network that drops, duplicates and reorders messages.
type group struct {
	t        *rapid.T
	now      time.Time
	replicas map[NodeID]*fakeReplica
	inFlight []Message
	leaders  map[uint64]NodeID
	applied  map[uint64]string
	// partitioned contains the {from, to} pairs of replicas between which messages are
	// dropped.
	partitioned map[[2]NodeID]bool
	proposed    int
	rng         *rand.Rand
}

func newGroup(t *rapid.T, n int) *group {
	g := &group{t: t, now: time.Unix(1000, 0), replicas: map[NodeID]*fakeReplica{}, leaders: map[uint64]NodeID{},
		applied: map[uint64]string{}, partitioned: map[[2]NodeID]bool{}}
	var members Members
	for i := 1; i <= n; i++ {
		members = append(members, Member{ID: NodeID(i), Addr: fmt.Sprint(i)})
	}
	for _, m := range members {
		g.replicas[m.ID] = &fakeReplica{}
		g.restart(m.ID)
	}
	if err := g.replicas[1].core.Bootstrap(members); err != nil {
		t.Fatal(err)
	}
	g.process(1, true)
	return g
}

func (g *group) restart(id NodeID) {
	r := g.replicas[id]
	r.core = NewCore(id, DefaultTiming(), uint64(id), Persisted{r.disk.Hard, r.disk.Snapshot, slices.Clone(r.disk.Entries)}, g.now)
	r.up = true
}

// process completes the pending work of a replica. If send is false, the replica crashes
// after its first disk write and before it sends messages.
func (g *group) process(id NodeID, send bool) {
	r := g.replicas[id]
	for {
		rd := r.core.Ready()
		if rd.Empty() {
			break
		}
		r.disk.persist(rd)
		if !send {
			r.up = false
			return
		}
		g.inFlight = append(g.inFlight, rd.Messages...)
		for _, e := range rd.Committed {
			g.checkApplied(id, e)
		}
		r.core.Advance(rd)
	}
	if r.core.role == Leader {
		if old, ok := g.leaders[r.core.hard.Term]; ok && old != id {
			g.t.Fatalf("two leaders in term %d: %d and %d", r.core.hard.Term, old, id)
		}
		g.leaders[r.core.hard.Term] = id
	}
	g.checkLeases()
}

func (p *Persisted) persist(rd Ready) {
	if rd.Hard != nil {
		p.Hard = *rd.Hard
	}
	if rd.Snapshot != nil {
		p.Snapshot = *rd.Snapshot
		p.Entries = slices.DeleteFunc(p.Entries, func(e Entry) bool { return e.Index <= rd.Snapshot.Index })
		if len(p.Entries) > 0 && p.Entries[0].Index != rd.Snapshot.Index+1 {
			p.Entries = nil
		}
	}
	if len(rd.Entries) > 0 {
		first := rd.Entries[0].Index
		p.Entries = slices.DeleteFunc(p.Entries, func(e Entry) bool { return e.Index >= first })
		p.Entries = append(p.Entries, rd.Entries...)
	}
}

func (g *group) checkApplied(id NodeID, e Entry) {
	got := fmt.Sprintf("%d/%d/%s", e.Term, e.Kind, e.Data)
	if want, ok := g.applied[e.Index]; ok && want != got {
		g.t.Fatalf("replica %d applies %s at %d, another applied %s", id, got, e.Index, want)
	}
	g.applied[e.Index] = got
}

// checkLeases fails the test if two replicas hold a lease at the same time, or if a lease
// holder has not applied an entry that another replica has applied.
func (g *group) checkLeases() {
	holders := 0
	for id, r := range g.replicas {
		if _, ok := r.core.LeaseUntil(g.now); !ok || !r.up {
			continue
		}
		holders++
		for index := range maps.Keys(g.applied) {
			if index > r.core.applied {
				g.t.Fatalf("replica %d holds the lease but has applied only %d of %d", id, r.core.applied, index)
			}
		}
	}
	if holders > 1 {
		g.t.Fatalf("%d replicas hold the lease at once", holders)
	}
}

func (g *group) live() []NodeID {
	var ids []NodeID
	for id, r := range g.replicas {
		if r.up {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (g *group) all() []NodeID { return slices.Sorted(maps.Keys(g.replicas)) }

func (g *group) advance(d time.Duration) {
	g.now = g.now.Add(d)
	for _, id := range g.live() {
		g.replicas[id].core.Tick(g.now)
		g.process(id, true)
	}
}

// deliver delivers the message at index i; if repeat is set, the message also stays in
// flight.
func (g *group) deliver(i int, repeat bool) {
	m := g.inFlight[i]
	if !repeat {
		g.inFlight = slices.Delete(g.inFlight, i, i+1)
	}
	r := g.replicas[m.To]
	if r == nil || !r.up || g.partitioned[[2]NodeID{m.From, m.To}] {
		return
	}
	r.core.Step(m, g.now)
	g.process(m.To, true)
}

func (g *group) leader() (NodeID, bool) {
	for _, id := range g.live() {
		if g.replicas[id].core.role == Leader {
			return id, true
		}
	}
	return 0, false
}

func (g *group) propose(id NodeID, send bool) {
	g.proposed++
	c := g.replicas[id].core
	if _, _, err := c.Propose(EntryCommand, fmt.Appendf(nil, "c%d", g.proposed)); err == nil {
		c.Flush(g.now)
		g.process(id, send)
	}
}

// scheduleLength is the number of random actions in one schedule.
const scheduleLength = 4000

// TestCoreKeepsCommittedEntries runs random schedules of faults and checks that committed
// entries are never lost, no term has two leaders, and no two leases overlap.
func TestCoreKeepsCommittedEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas")
		seed := rapid.Uint64().Draw(t, "seed")
		g := newGroup(t, n)
		g.rng = rand.New(rand.NewPCG(seed, 1))
		for range scheduleLength {
			g.randomAction()
		}
	})
}

// randomAction performs one random action. Most actions let the group make progress, so
// that faults occur while there are committed entries and messages in flight.
func (g *group) randomAction() {
	switch p := g.rng.IntN(10_000); {
	case p < 5000:
		for range min(len(g.inFlight), 1+g.rng.IntN(6)) {
			g.deliver(g.rng.IntN(min(len(g.inFlight), 4)), g.rng.IntN(30) == 0)
		}
	case p < 9000:
		g.advance(time.Duration(1+g.rng.IntN(80)) * time.Millisecond)
	case p < 9100 && len(g.inFlight) > 0:
		i := g.rng.IntN(len(g.inFlight))
		g.inFlight = slices.Delete(g.inFlight, i, i+1)
	case p < 9700:
		if id, ok := g.leader(); ok {
			g.propose(id, p < 9680)
		}
	case p < 9720 && len(g.live()) > 1:
		g.replicas[g.randomID(g.live())].up = false
	case p < 9770:
		g.restart(g.randomID(g.all()))
	case p < 9810:
		g.partition(p < 9790)
	case p < 9860:
		clear(g.partitioned)
	case p < 9890:
		g.compact(g.randomID(g.all()))
	case p < 9905:
		g.changeMembership()
	}
}

// partition drops the messages from one replica, often the leader, to some of the others;
// if bothWays is set, also the messages in the other direction.
func (g *group) partition(bothWays bool) {
	a := g.randomID(g.all())
	if id, ok := g.leader(); ok && g.rng.IntN(2) == 0 {
		a = id
	}
	for _, b := range g.all() {
		if g.rng.IntN(3) == 0 {
			continue
		}
		g.partitioned[[2]NodeID{a, b}] = true
		if bothWays {
			g.partitioned[[2]NodeID{b, a}] = true
		}
	}
}

func (g *group) randomID(ids []NodeID) NodeID { return ids[g.rng.IntN(len(ids))] }

func (g *group) compact(id NodeID) {
	r := g.replicas[id]
	if !r.up || r.core.applied <= r.core.log.snap.Index {
		return
	}
	r.disk.Snapshot = r.core.Compact(r.core.applied, []byte("s"))
	r.disk.Entries = slices.Clone(r.core.log.entries)
}

// changeMembership adds a new replica as a learner, promotes a learner or removes a member.
func (g *group) changeMembership() {
	id, ok := g.leader()
	if !ok {
		return
	}
	c := g.replicas[id].core
	current := c.log.latestMembers()
	next := current
	target := current[g.rng.IntN(len(current))]
	switch {
	case target.Learner:
		next = current.With(Member{ID: target.ID, Addr: target.Addr})
	case len(current) < 6:
		fresh := NodeID(len(g.replicas) + 1)
		g.replicas[fresh] = &fakeReplica{}
		g.restart(fresh)
		next = current.With(Member{ID: fresh, Addr: fmt.Sprint(fresh), Learner: true})
	case len(current.Voters()) > 2:
		next = current.Without(target.ID)
	}
	if _, _, err := c.ProposeMembers(next); err == nil {
		g.process(id, true)
	}
}

// runFor runs the group for a duration and delivers all messages.
func (g *group) runFor(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.advance(25 * time.Millisecond)
		for len(g.inFlight) > 0 {
			g.deliver(0, false)
		}
	}
}

// withGroup runs f once, on a new group of n replicas.
func withGroup(t *testing.T, n int, f func(g *group)) {
	t.Helper()
	ran := false
	rapid.Check(t, func(rt *rapid.T) {
		if ran {
			return
		}
		ran = true
		f(newGroup(rt, n))
	})
}

func (g *group) mustLeader() NodeID {
	id, ok := g.leader()
	if !ok {
		g.t.Fatal("no replica leads")
	}
	return id
}

func TestIsolatedReplicaDoesNotDisruptOnReturn(t *testing.T) {
	withGroup(t, 3, func(g *group) {
		g.runFor(3 * time.Second)
		leader := g.mustLeader()
		term := g.replicas[leader].core.hard.Term
		lost := leader%3 + 1
		for id := range g.replicas {
			g.partitioned[[2]NodeID{lost, id}], g.partitioned[[2]NodeID{id, lost}] = true, true
		}
		g.runFor(10 * time.Minute)
		clear(g.partitioned)
		g.runFor(5 * time.Second)
		if now := g.mustLeader(); now != leader || g.replicas[leader].core.hard.Term != term {
			g.t.Fatalf("leader %d of term %d became %d of term %d", leader, term, now, g.replicas[now].core.hard.Term)
		}
	})
}

func TestLeaderStepsDownOnOneWayPartition(t *testing.T) {
	withGroup(t, 3, func(g *group) {
		g.runFor(3 * time.Second)
		old := g.mustLeader()
		for id := range g.replicas {
			g.partitioned[[2]NodeID{id, old}] = true // its own messages still arrive
		}
		g.runFor(6 * time.Second)
		if g.replicas[old].core.role == Leader {
			g.t.Fatalf("leader %d did not step down although it receives no answers", old)
		}
	})
}

func TestCandidateWithOlderTermAndLongerLogWins(t *testing.T) {
	long := Persisted{Hard: HardState{Term: 4}}
	short := Persisted{Hard: HardState{Term: 5}}
	members := Members{{ID: 1, Addr: "1"}, {ID: 2, Addr: "2"}}
	first := Entry{Index: 1, Term: 1, Kind: EntryMembers, Data: members.Encode()}
	long.Entries = []Entry{first, {Index: 2, Term: 4, Kind: EntryNoop}}
	short.Entries = []Entry{first}
	withGroup(t, 3, func(g *group) {
		g.replicas = map[NodeID]*fakeReplica{1: {disk: long}, 2: {disk: short}}
		g.inFlight = nil
		g.restart(1)
		g.restart(2)
		g.runFor(30 * time.Second)
		if id := g.mustLeader(); id != 1 {
			g.t.Fatalf("replica %d leads, want the one with the longer log", id)
		}
	})
}

func TestReplacedDiskDoesNotVoteUnderOldID(t *testing.T) {
	withGroup(t, 3, func(g *group) {
		g.runFor(3 * time.Second)
		leader := g.mustLeader()
		lost := leader%3 + 1
		other := 6 - leader - lost
		g.replicas[lost].up = false
		fresh := NodeID(9)
		g.replicas[fresh] = &fakeReplica{}
		g.restart(fresh)
		lead := g.replicas[leader].core
		g.mustChangeMembers(leader, lead.log.latestMembers().With(Member{ID: fresh, Addr: "9", Learner: true}))
		g.replicas[fresh].core.Step(Message{Kind: MsgVote, From: other, To: fresh, Term: 99}, g.now)
		if g.replicas[fresh].core.hard.Vote != 0 {
			g.t.Fatal("a new replica voted within an election timeout of its start")
		}
		g.runFor(time.Second)
		g.mustChangeMembers(leader, lead.log.latestMembers().With(Member{ID: fresh, Addr: "9"}))
		g.mustChangeMembers(leader, lead.log.latestMembers().Without(lost))
		g.propose(leader, true)
		g.runFor(time.Second)
		committed := lead.commit
		g.replicas[other].up = false // a second host fails right after the first one was replaced
		g.runFor(5 * time.Second)
		id := g.mustLeader()
		if c := g.replicas[id].core; c.commit < committed {
			g.t.Fatalf("commit fell from %d to %d", committed, c.commit)
		}
	})
}

func (g *group) mustChangeMembers(leader NodeID, m Members) {
	if _, _, err := g.replicas[leader].core.ProposeMembers(m); err != nil {
		g.t.Fatal(err)
	}
	g.process(leader, true)
	g.runFor(time.Second)
}

func TestProposeMembersRejectsInvalidChanges(t *testing.T) {
	withGroup(t, 3, func(g *group) {
		g.runFor(3 * time.Second)
		c := g.replicas[g.mustLeader()].core
		current := c.log.latestMembers()
		for name, next := range map[string]Members{
			"two voters at once": current.Without(1).Without(2),
			"no voter left":      {},
		} {
			if _, _, err := c.ProposeMembers(next); err == nil {
				g.t.Errorf("%s: accepted", name)
			}
		}
	})
}
