package director

import (
	"context"
	"errors"
	"time"
)

const (
	// electionWait is how long a call waits for a leader while an election is going on: it takes up to
	// 0.8 s, and callers try another process after 1 s.
	electionWait = 750 * time.Millisecond
	// electionPoll is how often a waiting call looks for the leader.
	electionPoll = 10 * time.Millisecond
)

// throughElection makes a call that only the leader can serve, and makes it again while an election is going
// on. Without it the calls that arrive in that time fail at once at one process after the other, and their
// callers return with growing delays: a trainer whose version was not taken for 0.4 s came back 2 s later. A
// process that has known no leader for longer may be cut off from the others; it answers at once, so that
// the caller finds another one.
func (s *Server) throughElection(ctx context.Context, call func() error) error {
	until := time.Now().Add(electionWait)
	for {
		err := call()
		var other *NotLeaderError
		if !errors.As(err, &other) || other.Addr != "" || !time.Now().Before(until) || s.leaderlessFor() > leaderlessTime {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(electionPoll):
		}
	}
}

// leaderlessFor returns the time since the replica has last lost its leader.
func (s *Server) leaderlessFor() time.Duration { return time.Since(time.Unix(0, s.leaderless.Load())) }
