package replica

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// Intervals of the check of a group without a leader.
const (
	// leaderlessLimit is how long a voter may know no leader before it asks the others. It is
	// longer than two elections.
	leaderlessLimit = 3 * time.Second
	// censusInterval is how often it asks while there is no leader.
	censusInterval = 5 * time.Second
	// censusTimeout bounds the call to one voter.
	censusTimeout = time.Second
)

// Census is what the voters of a group without a leader have answered.
type Census struct {
	// Voters is the number of voters in the latest membership that this replica knows.
	Voters int
	// Present counts those that answer with the disk that the membership names, this replica
	// among them, Replaced those whose address answers with another disk, and Silent the rest.
	Present, Replaced, Silent int
}

// takeCensus counts the voters of m. answered contains the storage number with which an address
// has answered.
func takeCensus(m quorum.Members, self quorum.NodeID, answered map[string]quorum.NodeID) Census {
	var c Census
	for _, x := range m {
		if x.Learner {
			continue
		}
		c.Voters++
		switch id, ok := answered[x.Addr]; {
		case x.ID == self || ok && id == x.ID:
			c.Present++
		case ok:
			c.Replaced++
		default:
			c.Silent++
		}
	}
	return c
}

// Lost reports whether the voters that may still have their disk are no majority, so that the
// group can never elect a leader again.
func (c Census) Lost() bool { return c.Present+c.Silent < c.Voters/2+1 }

// Verdict says in words why the group has no leader.
func (c Census) Verdict() string {
	switch {
	case c.Lost():
		return "the disks of a majority of the voters are lost"
	case c.Present < c.Voters/2+1:
		return "a majority of the voters does not answer"
	}
	return "a majority of the voters answers"
}

// watchMajority logs why a group has no leader while this replica is a voter and knows none.
func (r *Replica) watchMajority(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	var since, asked time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		st := r.node.Status()
		if st.Leader != 0 || !st.Members.IsVoter(st.ID) {
			if !asked.IsZero() {
				r.cfg.Log.WithFields(logrus.Fields{"leader": st.LeaderAddr, "term": st.Term, "for_ms": time.Since(since).Milliseconds()}).
					Info("the group has a leader again")
				r.cfg.Scope.Gauge("voters_lost").Update(0)
			}
			since, asked = time.Time{}, time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(since) < leaderlessLimit || time.Since(asked) < censusInterval {
			continue
		}
		asked = time.Now()
		c := takeCensus(st.Members, st.ID, r.askVoters(ctx, st))
		r.cfg.Scope.Gauge("voters_lost").Update(float64(c.Replaced))
		r.cfg.Log.WithFields(logrus.Fields{"voters": c.Voters, "present": c.Present, "replaced": c.Replaced, "silent": c.Silent,
			"lost": c.Lost(), "term": st.Term, "for_ms": time.Since(since).Milliseconds()}).Error("the group has no leader: " + c.Verdict())
	}
}

// askVoters returns the storage numbers of the processes at the addresses of the other voters.
func (r *Replica) askVoters(ctx context.Context, st quorum.Status) map[string]quorum.NodeID {
	ctx, cancel := context.WithTimeout(ctx, censusTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	out := map[string]quorum.NodeID{}
	for _, m := range st.Members {
		if m.Learner || m.ID == st.ID {
			continue
		}
		wg.Go(func() {
			id, err := r.Hello(ctx, m.Addr)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[m.Addr] = quorum.NodeID(id.Id)
		})
	}
	wg.Wait()
	return out
}
