package quorum

import (
	"testing"
	"time"
)

var startTime = time.Unix(5000, 0)

// newTestCore returns a Core with ID 1 in a group of three, whose log ends at index 3,
// term 3.
func newTestCore(now time.Time) *Core {
	members := Members{{ID: 1}, {ID: 2}, {ID: 3}}
	return NewCore(1, DefaultTiming(), 1, Persisted{Hard: HardState{Term: 3}, Entries: []Entry{
		{Index: 1, Term: 1, Kind: EntryMembers, Data: members.Encode()},
		{Index: 2, Term: 2, Kind: EntryNoop}, {Index: 3, Term: 3, Kind: EntryNoop},
	}}, now)
}

func TestVotes(t *testing.T) {
	late := startTime.Add(2 * DefaultTiming().Election)
	for _, c := range []struct {
		name    string
		prepare func(*Core)
		now     time.Time
		vote    Message
		granted bool
	}{
		{"fresh log after the timeout", nil, late, Message{Term: 4, LogIndex: 3, LogTerm: 3}, true},
		{"right after the start", nil, startTime.Add(time.Millisecond), Message{Term: 4, LogIndex: 3, LogTerm: 3}, false},
		{"shorter log", nil, late, Message{Term: 4, LogIndex: 2, LogTerm: 3}, false},
		{"longer log of an older term", nil, late, Message{Term: 4, LogIndex: 9, LogTerm: 2}, false},
		{"older term", nil, late, Message{Term: 2, LogIndex: 3, LogTerm: 3}, false},
		{"voted for another", func(c *Core) { c.hard = HardState{Term: 4, Vote: 3} }, late, Message{Term: 4, LogIndex: 3, LogTerm: 3}, false},
		{"voted for the same", func(c *Core) { c.hard = HardState{Term: 4, Vote: 2} }, late, Message{Term: 4, LogIndex: 3, LogTerm: 3}, true},
		{"term known, vote free", func(c *Core) { c.hard = HardState{Term: 4} }, late, Message{Term: 4, LogIndex: 3, LogTerm: 3}, true},
		{"recent contact with a leader", func(c *Core) {
			c.Step(Message{Kind: MsgAppend, From: 3, To: 1, Term: 3, LogIndex: 3, LogTerm: 3}, late.Add(-time.Millisecond))
		}, late, Message{Term: 4, LogIndex: 3, LogTerm: 3}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := newTestCore(startTime)
			if c.prepare != nil {
				c.prepare(core)
			}
			core.Ready()
			before := core.hard.Vote
			c.vote.Kind, c.vote.From, c.vote.To = MsgVote, 2, 1
			core.Step(c.vote, c.now)
			r := core.Ready()
			granted := len(r.Messages) == 1 && r.Messages[0].Kind == MsgVoteReply && !r.Messages[0].Reject
			if granted != c.granted {
				t.Fatalf("granted %v, messages %+v", granted, r.Messages)
			}
			if granted && before != 2 && (r.Hard == nil || r.Hard.Vote != 2 || r.Hard.Term != 4) {
				t.Fatalf("Ready does not return the vote to be persisted: %+v", r.Hard)
			}
		})
	}
}

// makeLeader makes c the leader of term 4.
func makeLeader(t *testing.T, c *Core) time.Time {
	t.Helper()
	now := startTime.Add(3 * DefaultTiming().Election)
	c.Tick(now)
	c.Step(Message{Kind: MsgPreVoteReply, From: 2, To: 1, Term: 4}, now)
	c.Step(Message{Kind: MsgVoteReply, From: 2, To: 1, Term: 4}, now)
	if c.role != Leader {
		t.Fatalf("core is a %s", c.role)
	}
	return now
}

func TestEarlierTermsCommitOnlyWithCurrentTerm(t *testing.T) {
	c := newTestCore(startTime)
	now := makeLeader(t, c)
	c.Advance(c.Ready())
	c.Step(Message{Kind: MsgAppendReply, From: 2, To: 1, Term: 4, LogIndex: 3}, now)
	if c.commit != 0 {
		t.Fatalf("committed index %d by counting replicas that stored an entry of an earlier term", c.commit)
	}
	c.Step(Message{Kind: MsgAppendReply, From: 2, To: 1, Term: 4, LogIndex: 4}, now)
	if c.commit != 4 {
		t.Fatalf("commit is %d, want 4", c.commit)
	}
}

func TestLeaderCountsItselfOnlyAfterPersisting(t *testing.T) {
	c := newTestCore(startTime)
	now := makeLeader(t, c)
	r := c.Ready()
	c.Step(Message{Kind: MsgAppendReply, From: 2, To: 1, Term: 4, LogIndex: 4}, now)
	if c.commit != 0 {
		t.Fatalf("committed index %d before the leader persisted it", c.commit)
	}
	c.Advance(r)
	if c.commit != 4 {
		t.Fatalf("commit is %d, want 4", c.commit)
	}
}

func TestLeaseStartsAtHeartbeatSendTime(t *testing.T) {
	c := newTestCore(startTime)
	now := makeLeader(t, c)
	c.Advance(c.Ready())
	answered := now.Add(500 * time.Millisecond)
	c.Step(Message{Kind: MsgAppendReply, From: 2, To: 1, Term: 4, LogIndex: 4, Round: 1}, answered)
	c.Advance(c.Ready())
	until, ok := c.LeaseUntil(answered)
	if want := now.Add(DefaultTiming().Lease); !ok || !until.Equal(want) {
		t.Fatalf("lease until %v (%v), want %v", until, ok, want)
	}
	if _, ok := c.LeaseUntil(now.Add(DefaultTiming().Lease)); ok {
		t.Fatal("the lease is valid after its duration has passed")
	}
}

func TestSecondMembershipChangeWaitsForTheFirst(t *testing.T) {
	c := newTestCore(startTime)
	now := makeLeader(t, c)
	c.Advance(c.Ready())
	add := c.log.latestMembers().With(Member{ID: 4, Learner: true})
	if _, _, err := c.ProposeMembers(add); err == nil {
		t.Fatal("accepted before the first entry of the leader's term was committed")
	}
	c.Step(Message{Kind: MsgAppendReply, From: 2, To: 1, Term: 4, LogIndex: 4}, now)
	if _, _, err := c.ProposeMembers(add); err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.ProposeMembers(c.log.latestMembers().Without(3)); err == nil {
		t.Fatal("accepted while the first change is not committed")
	}
}

// TestSilenceOfTheLeaderBeforeCounts guards against a leader that has ended and counts as healthy for as long as the
// election took, and longer.
func TestSilenceOfTheLeaderBeforeCounts(t *testing.T) {
	withGroup(t, 3, func(g *group) {
		g.runFor(3 * time.Second)
		old := g.mustLeader()
		g.replicas[old].up = false
		ended := g.now
		g.runFor(3 * time.Second)
		next := g.mustLeader()
		if next == old {
			g.t.Fatal("the leader that ended leads")
		}
		peers := g.replicas[next].core.peers
		if contact := peers[old].lastContact; contact.After(ended) {
			g.t.Fatalf("the leader that ended counts as heard %v after its end", contact.Sub(ended))
		}
		for id, p := range peers {
			if id != old && p.lastContact.Before(ended) {
				g.t.Fatalf("replica %d counts as silent since before the end of the leader", id)
			}
		}
	})
}
