package replica

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/service/peer"
)

// Intervals and limits of a replica that is about to stop.
const (
	// leaveInterval is how often it asks the leader whether it is to wait.
	leaveInterval = 50 * time.Millisecond
	// leaveCallTimeout bounds one such call.
	leaveCallTimeout = 500 * time.Millisecond
	// departureTimeout is how long the leader believes such a call. The process may have
	// stopped without a successor, and started again.
	departureTimeout = time.Second
	// leaveLeaderless is how long it waits for a leader. An election takes less.
	leaveLeaderless = 2500 * time.Millisecond
)

// departures contains the replicas that are about to stop, by the time of their latest call.
type departures struct {
	mu sync.Mutex
	by map[quorum.NodeID]time.Time
}

func (d *departures) note(id quorum.NodeID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.by == nil {
		d.by = map[quorum.NodeID]time.Time{}
	}
	d.by[id] = now
}

// at returns the replicas that are about to stop, and forgets those whose calls have ended.
func (d *departures) at(now time.Time) map[quorum.NodeID]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[quorum.NodeID]bool{}
	for id, last := range d.by {
		if now.Sub(last) > departureTimeout {
			delete(d.by, id)
			continue
		}
		out[id] = true
	}
	return out
}

// Leave hands the vote of this replica over to another host before its process stops. It
// returns when the replica is no voter any more, when no host can take over, or when ctx ends.
// Until then the replica must be running and reachable.
func (r *Replica) Leave(ctx context.Context) {
	start := time.Now()
	contact := start
	outcome := "gave up waiting"
	for ; ctx.Err() == nil; sleep(ctx, leaveInterval) {
		if !r.Voter() {
			outcome = "not a voter"
			break
		}
		wait, err := r.announceLeave(ctx)
		if err == nil {
			contact = time.Now()
			if !wait {
				outcome = "no host can take over the vote"
				break
			}
		} else if time.Since(contact) > leaveLeaderless {
			outcome = "no leader: " + err.Error()
			break
		}
	}
	r.cfg.Log.WithFields(logrus.Fields{"outcome": outcome, "voter": r.Voter(), "took_ms": time.Since(start).Milliseconds()}).
		Info("replica leaves")
}

// announceLeave tells the leader that this replica is about to stop, and returns whether it is
// to wait.
func (r *Replica) announceLeave(ctx context.Context) (wait bool, err error) {
	id := quorum.NodeID(r.disk.ID())
	if _, _, ok := r.node.HoldsLease(); ok {
		return r.recordLeave(id), nil
	}
	addr := r.node.Status().LeaderAddr
	if addr == "" || addr == r.cfg.Self {
		return false, &quorum.NotLeaderError{}
	}
	ctx, cancel := context.WithTimeout(ctx, leaveCallTimeout)
	defer cancel()
	h, err := r.peers.Peer(addr).Leave(ctx, &peer.Identity{Id: uint64(id), Addr: r.cfg.Self})
	if code, ok := err.(twirp.Error); ok && code.Code() == twirp.BadRoute {
		return false, nil // a leader of an earlier version
	}
	if err != nil {
		return false, err
	}
	return h.Wait, nil
}

// recordLeave records that a replica is about to stop, and returns whether it is to wait. It
// must be called while this replica leads.
func (r *Replica) recordLeave(id quorum.NodeID) (wait bool) {
	r.departures.note(id, time.Now())
	if !CanHandOver(r.view(), id) {
		return false
	}
	select {
	case r.replan <- struct{}{}:
	default:
	}
	return true
}

// Leave records that another replica is about to stop.
func (s *service) Leave(_ context.Context, q *peer.Identity) (*peer.Handover, error) {
	if _, _, ok := s.r.node.HoldsLease(); !ok {
		return nil, twirp.NewError(twirp.FailedPrecondition, "not the leader")
	}
	return &peer.Handover{Wait: s.r.recordLeave(quorum.NodeID(q.Id))}, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
