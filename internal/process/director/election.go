package director

import (
	"context"
	"time"
)

const (
	// electionWait is how long a call waits for a leader while an election is going on: it takes up to
	// 0.8 s, and callers try another process after 1 s.
	electionWait = 750 * time.Millisecond
	// electionPoll is how often a waiting call looks for the leader.
	electionPoll = 10 * time.Millisecond
)

// awaitLeader waits while an election is going on. Without it the calls that arrive in that time fail
// at once at one process after the other, and their callers return with growing delays: a trainer whose
// version was not taken for 0.4 s came back 2 s later. A process that has known no leader for longer may
// be cut off from the others; it answers at once, so that the caller finds another one.
func (s *Server) awaitLeader(ctx context.Context) {
	until := time.Now().Add(electionWait)
	for {
		addr, self := s.Leader()
		if self || addr != "" || !time.Now().Before(until) || time.Since(time.Unix(0, s.leaderless.Load())) > leaderlessTime {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(electionPoll):
		}
	}
}
