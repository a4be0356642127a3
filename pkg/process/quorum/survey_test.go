package quorum

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// settledGroup is a group whose surveys are checked.
type settledGroup struct {
	*group
	// appliedAt is when an entry was first applied; everyone could know then that it is committed.
	appliedAt map[uint64]time.Time
	// settled holds the entries of logs that were settled, by index.
	settled map[uint64]string
	// found counts the checks that found a settled log.
	found int
}

// check fails the test if a replica takes its log for settled that lacks an entry which was applied before its
// questions were sent, or has one that is not committed.
func (g *settledGroup) check() {
	for index, got := range g.applied {
		if _, ok := g.appliedAt[index]; !ok {
			g.appliedAt[index] = g.now
		}
		if want, ok := g.settled[index]; ok && got != want {
			g.t.Fatalf("%s was applied at %d, which was settled as %s", got, index, want)
		}
	}
	for _, id := range g.live() {
		c := g.replicas[id].core
		at, ok := c.settledAt(g.now)
		if !ok {
			continue
		}
		g.found++
		for index, since := range g.appliedAt {
			if since.Before(at) && index > c.log.lastIndex() {
				g.t.Fatalf("replica %d takes its log for settled at %d, but %d was applied %v before the survey", id, c.log.lastIndex(), index, at.Sub(since))
			}
		}
		rest, _ := c.Settled(g.now)
		for _, e := range rest {
			repr := fmt.Sprintf("%d/%d/%s", e.Term, e.Kind, e.Data)
			if other, ok := g.settled[e.Index]; ok && other != repr {
				g.t.Fatalf("%d was settled as %s and as %s", e.Index, other, repr)
			}
			g.settled[e.Index] = repr
		}
	}
}

// TestSettledLogsAreComplete guards against serving the state of an old disk: it runs random schedules of faults
// in which all replicas are often restarted at once, some of them later than others.
func TestSettledLogsAreComplete(t *testing.T) {
	found := 0
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(rt, "replicas")
		seed := rapid.Uint64().Draw(rt, "seed")
		g := &settledGroup{group: newGroup(rt, n), appliedAt: map[uint64]time.Time{}, settled: map[uint64]string{}}
		g.rng = rand.New(rand.NewPCG(seed, 2))
		for range scheduleLength {
			if g.rng.IntN(150) == 0 {
				for _, id := range g.all() {
					if g.replicas[id].up = false; g.rng.IntN(4) > 0 {
						g.restart(id)
					}
				}
			}
			g.randomAction()
			g.check()
		}
		found += g.found
	})
	if found == 0 {
		t.Error("no log was ever settled")
	}
}

// TestSettled plays a restart of all voters after one of them was away, or the group has changed meanwhile.
func TestSettled(t *testing.T) {
	for _, x := range []struct {
		name string
		// away is called with the group and a voter that is down, and returns the replicas that are started then.
		away func(g *group, leader, lost NodeID) []NodeID
		want func(leader, lost, other NodeID) map[NodeID]bool
	}{
		{"all have the same log", func(g *group, _, lost NodeID) []NodeID { g.restart(lost); g.runFor(2 * time.Second); return g.all() },
			func(_, lost, other NodeID) map[NodeID]bool { return map[NodeID]bool{1: true, 2: true, 3: true} }},
		{"a majority has the same log", func(g *group, _, _ NodeID) []NodeID { return g.all() },
			func(leader, lost, other NodeID) map[NodeID]bool { return map[NodeID]bool{leader: true, other: true} }},
		{"the one that was away, alone", func(_ *group, _, lost NodeID) []NodeID { return []NodeID{lost} },
			func(_, _, _ NodeID) map[NodeID]bool { return map[NodeID]bool{} }},
		{"the one that was away and another", func(_ *group, leader, lost NodeID) []NodeID { return []NodeID{leader, lost} },
			func(_, _, _ NodeID) map[NodeID]bool { return map[NodeID]bool{} }},
		{"two that were not away", func(g *group, leader, lost NodeID) []NodeID { return []NodeID{leader, 6 - leader - lost} },
			func(leader, lost, other NodeID) map[NodeID]bool { return map[NodeID]bool{leader: true, other: true} }},
		{"one that was removed, and members that remain", func(g *group, leader, lost NodeID) []NodeID {
			g.mustChangeMembers(leader, g.replicas[leader].core.log.latestMembers().Without(lost))
			return g.all()
		}, func(leader, lost, other NodeID) map[NodeID]bool { return map[NodeID]bool{leader: true, other: true} }},
	} {
		t.Run(x.name, func(t *testing.T) {
			withGroup(t, 3, func(g *group) {
				g.runFor(3 * time.Second)
				leader := g.mustLeader()
				lost := leader%3 + 1
				g.replicas[lost].up = false
				g.runFor(time.Second)
				g.propose(leader, true)
				g.runFor(time.Second)
				up := x.away(g, leader, lost)
				for _, r := range g.replicas {
					r.up = false
				}
				g.inFlight = nil
				for _, id := range up {
					g.restart(id)
				}
				g.runFor(100 * time.Millisecond) // less than an election takes
				got := map[NodeID]bool{}
				for _, id := range up {
					if _, ok := g.replicas[id].core.Settled(g.now); ok {
						got[id] = true
					}
				}
				if want := x.want(leader, lost, 6-leader-lost); !maps.Equal(got, want) {
					t.Errorf("settled logs at %v, want %v (leader %d, away %d)", got, want, leader, lost)
				}
				g.runFor(10 * time.Second)
				for _, id := range up {
					if _, ok := g.replicas[id].core.Settled(g.now); ok && len(up) > 1 {
						t.Errorf("the log of %d counts as settled although there was an election", id)
					}
				}
			})
		})
	}
}

// TestSurveyOfAnEarlierStart guards against answers that were delayed until after a restart.
func TestSurveyOfAnEarlierStart(t *testing.T) {
	ask := func(c *Core, now time.Time) (round uint64) {
		c.Tick(now)
		for _, m := range c.Ready().Messages {
			if m.Kind == MsgSurvey {
				round = m.Round
			}
		}
		return round
	}
	answer := func(round uint64) Message {
		return Message{Kind: MsgSurveyReply, From: 2, To: 1, Term: 3, LogIndex: 3, LogTerm: 3, Round: round}
	}
	first := newTestCore(startTime)
	round := ask(first, startTime.Add(time.Millisecond))
	now := startTime.Add(50 * time.Millisecond)
	second := newTestCore(now)
	later := ask(second, now)
	second.Step(answer(round), now)
	if _, ok := second.Settled(now); ok {
		t.Error("an answer to the survey of an earlier start counts")
	}
	second.Step(answer(later), now)
	if rest, ok := second.Settled(now); !ok || len(rest) != 3 {
		t.Errorf("settled %v with %d entries, want 3", ok, len(rest))
	}
	if _, ok := second.Settled(now.Add(time.Second)); ok {
		t.Error("an answer still counts a second later")
	}
	voted := newTestCore(now)
	voted.hard = HardState{Term: 4, Vote: 3}
	voted.Step(answer(ask(voted, now)), now)
	if _, ok := voted.Settled(now); ok {
		t.Error("the log of a replica counts as settled that has voted in a later term")
	}
	for name, m := range map[string]Message{
		"a longer log":    {Term: 3, LogIndex: 4, LogTerm: 3},
		"a shorter log":   {Term: 3, LogIndex: 2, LogTerm: 2},
		"a later term":    {Term: 4, LogIndex: 3, LogTerm: 3},
		"another log":     {Term: 4, LogIndex: 3, LogTerm: 4},
		"an unknown peer": {From: 9, Term: 3, LogIndex: 3, LogTerm: 3},
	} {
		c := newTestCore(startTime)
		m.Kind, m.To, m.Round = MsgSurveyReply, 1, ask(c, startTime)
		if m.From == 0 {
			m.From = 2
		}
		c.Step(m, startTime)
		if _, ok := c.Settled(startTime); ok {
			t.Errorf("%s: the log counts as settled", name)
		}
	}
}
