package quorum

import (
	"time"
)

// LeaseStart returns the send time of the latest heartbeat round that a majority of the
// voters answered; ok is false if this replica does not lead or no such round is recorded.
// A sole voter needs no answers: its lease starts at now.
func (c *Core) LeaseStart(now time.Time) (start time.Time, ok bool) {
	if c.role != Leader {
		return time.Time{}, false
	}
	var rounds []uint64
	for _, id := range c.log.latestMembers().Voters() {
		if id == c.id {
			rounds = append(rounds, c.round)
		} else if p := c.peers[id]; p != nil {
			rounds = append(rounds, p.round)
		}
	}
	start, ok = c.roundSentAt[nthHighest(rounds, c.log.latestMembers().Quorum())]
	if len(c.log.latestMembers().Voters()) == 1 {
		return now, true
	}
	return start, ok
}

// LeaseUntil returns the end of the leader lease; ok reports whether the lease is valid at
// now. A new leader has no lease before it has applied the first entry of its term, so
// that its state machine contains every entry committed in earlier terms.
func (c *Core) LeaseUntil(now time.Time) (until time.Time, ok bool) {
	start, ok := c.LeaseStart(now)
	if !ok || c.applied < c.termStart {
		return time.Time{}, false
	}
	until = start.Add(c.timing.Lease)
	return until, now.Before(until)
}
