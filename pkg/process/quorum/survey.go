package quorum

import (
	"maps"
	"math"
	"time"
)

// survey asks the other voters where their logs end, from the start of a replica until it knows a leader. It shows
// whether the log on this disk is complete: the replica may have been down, cut off or removed from the group while
// the others went on.
type survey struct {
	// round is the latest round. Rounds are numbered by the clock, so that no answer to an earlier start of
	// this replica counts.
	round uint64
	due   time.Time
	// sentAt maps the latest rounds to their send times.
	sentAt map[uint64]time.Time
	// agreed is the latest round in which a voter had the same log as this replica, and knew of no later term.
	agreed map[NodeID]uint64
	// over is set for good once this replica has heard from a leader, or is a candidate.
	over bool
}

// surveyTTL returns how long after its questions were sent a round counts.
func (t Timing) surveyTTL() time.Duration { return 2 * t.Heartbeat }

// tickSurvey starts a new round if it is due.
func (c *Core) tickSurvey(now time.Time) {
	s := &c.survey
	members := c.log.latestMembers()
	if s.over || now.Before(s.due) || !members.IsVoter(c.id) {
		return
	}
	s.due = now.Add(c.timing.Heartbeat)
	s.round = max(s.round+1, uint64(now.UnixNano()))
	maps.DeleteFunc(s.sentAt, func(_ uint64, at time.Time) bool { return now.Sub(at) > c.timing.surveyTTL() })
	s.sentAt[s.round] = now
	for _, id := range members.Voters() {
		if id != c.id {
			// Without a term: the question changes nothing at a replica that does not know it.
			c.out = append(c.out, Message{Kind: MsgSurvey, From: c.id, To: id, Round: s.round})
		}
	}
}

func (c *Core) stepSurvey(m Message) {
	c.send(Message{Kind: MsgSurveyReply, To: m.From, LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Round: m.Round})
}

func (c *Core) stepSurveyReply(m Message) {
	s := &c.survey
	if _, ok := s.sentAt[m.Round]; !ok || s.over {
		return
	}
	if m.LogIndex == c.log.lastIndex() && m.LogTerm == c.log.lastTerm() && m.Term == m.LogTerm {
		s.agreed[m.From] = max(s.agreed[m.From], m.Round)
	}
}

// settledAt returns the latest time at which this log is known to have had all committed entries, and no others.
//
// At that time a majority of the voters had the same last entry, and none of them had seen a later term than that of
// the entry. So no later leader had been elected, the entry was committed by its own leader's rule, and any other
// committed entry is in the log of one of them. As in an election, the latest membership in the log counts,
// committed or not.
func (c *Core) settledAt(now time.Time) (at time.Time, ok bool) {
	s := &c.survey
	members := c.log.latestMembers()
	if s.over || !members.IsVoter(c.id) || c.stable < c.log.lastIndex() || c.hard.Term != c.log.lastTerm() {
		return time.Time{}, false
	}
	var rounds []uint64
	for _, id := range members.Voters() {
		if id == c.id {
			rounds = append(rounds, s.round)
		} else {
			rounds = append(rounds, s.agreed[id])
		}
	}
	at, ok = s.sentAt[nthHighest(rounds, members.Quorum())]
	return at, ok && now.Sub(at) <= c.timing.surveyTTL()
}

// Settled reports whether this replica, which knows no leader yet, has all committed entries on its disk. rest
// holds those that are not applied; all of them are committed.
func (c *Core) Settled(now time.Time) (rest []Entry, ok bool) {
	if _, ok := c.settledAt(now); !ok {
		return nil, false
	}
	return c.log.slice(c.applied+1, math.MaxInt), true
}
