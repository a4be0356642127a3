package control

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	pb "github.com/plantainbank/plantainbank/service/control"
	"github.com/plantainbank/plantainbank/service/peer"
)

// Intervals and limits of membership changes.
const (
	joinInterval     = 300 * time.Millisecond
	maintainInterval = 200 * time.Millisecond
	peerCallTimeout  = time.Second
	// maxPromotionLag is the maximum number of log entries by which a learner may lag behind
	// when it is promoted.
	maxPromotionLag = 16
)

// join adds a replica with an empty data directory to the group. If the data directories of
// all configured hosts are empty, the first one of them bootstraps the group; otherwise the
// replica asks to be added.
func (s *Server) join(ctx context.Context) {
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	for len(s.node.Status().Members) == 0 {
		s.tryJoin(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Server) tryJoin(ctx context.Context) {
	if !s.startedEmpty {
		return // the members are on disk or arrive with the next message
	}
	members, empty := s.queryHosts(ctx)
	if empty && s.cfg.ControlAddrs[0] == s.cfg.Listen {
		s.bootstrap(ctx, members)
		return
	}
	if !empty {
		s.requestJoin(ctx)
	}
}

// queryHosts returns the identities of the configured hosts that answer and have an empty
// data directory. empty is true only if all of them do.
func (s *Server) queryHosts(ctx context.Context) (members quorum.Members, empty bool) {
	empty = true
	for _, addr := range s.cfg.ControlAddrs {
		if addr == s.cfg.Listen {
			members = append(members, quorum.Member{ID: s.node.Status().ID, Addr: addr})
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		id, err := s.peers.Peer(addr).Hello(callCtx, &peer.Empty{})
		cancel()
		if err != nil || !id.Empty {
			empty = false
			continue
		}
		members = append(members, quorum.Member{ID: quorum.NodeID(id.Id), Addr: addr})
	}
	return members, empty
}

func (s *Server) bootstrap(ctx context.Context, members quorum.Members) {
	var bootstrapErr error
	err := s.do(ctx, func() { bootstrapErr = s.node.Bootstrap(members) })
	if err := errors.Join(err, bootstrapErr); err != nil {
		s.log.WithError(err).Error("could not bootstrap the control group")
		return
	}
	s.log.WithField("replicas", len(members)).Info("bootstrapped the control group")
}

func (s *Server) requestJoin(ctx context.Context) {
	change := &pb.MemberChange{Action: "join", Id: uint64(s.node.Status().ID), Addr: s.cfg.Listen}
	for _, addr := range s.cfg.ControlAddrs {
		if addr == s.cfg.Listen {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		_, err := pb.NewControlProtobufClient(s.scheme+addr, s.client).ChangeMember(callCtx, change)
		cancel()
		if err == nil {
			return
		}
	}
}

// ChangeMember adds a replica as a learner, or removes one.
func (s *Server) ChangeMember(ctx context.Context, c *pb.MemberChange) (*pb.StatusAnswer, error) {
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	id := quorum.NodeID(c.Id)
	var change func(quorum.Members) quorum.Members
	switch c.Action {
	case "join", "add":
		if _, ok := s.node.Status().Members.Find(id); ok {
			return s.Status(ctx, &pb.StatusRequest{})
		}
		change = func(m quorum.Members) quorum.Members {
			return m.With(quorum.Member{ID: id, Addr: c.Addr, Learner: true})
		}
	case "remove":
		if _, ok := s.node.Status().Members.Find(id); !ok {
			return nil, twirp.NotFoundError("no such replica")
		}
		change = func(m quorum.Members) quorum.Members { return m.Without(id) }
	default:
		return nil, twirp.InvalidArgumentError("action", "must be add, join or remove")
	}
	if err := s.node.ChangeMembers(ctx, change); err != nil {
		return nil, s.toTwirpError(err)
	}
	return s.Status(ctx, &pb.StatusRequest{})
}

// maintain promotes learners that have caught up, removes the replicas that they replace
// and calls maintainLeadership, while this process leads.
func (s *Server) maintain(ctx context.Context) {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.checkLeader() == nil {
			s.maintainMembers(ctx)
			_ = s.do(ctx, s.maintainLeadership)
		}
	}
}

func (s *Server) maintainMembers(ctx context.Context) {
	st := s.node.Status()
	for _, m := range st.Members {
		if m.Learner && st.Match[m.ID] > 0 && st.Match[m.ID]+maxPromotionLag >= st.LastIndex {
			s.changeMembers(ctx, "promoted a replica", func(all quorum.Members) quorum.Members {
				return all.With(quorum.Member{ID: m.ID, Addr: m.Addr})
			})
			return
		}
		if replaced(st, m) {
			s.changeMembers(ctx, "removed a replaced replica", func(all quorum.Members) quorum.Members {
				return all.Without(m.ID)
			})
			return
		}
	}
}

// replaced reports whether a voter that was added after m runs at m's address. In that case
// the data directory with m's identity no longer exists.
func replaced(st quorum.Status, m quorum.Member) bool {
	later := false
	for _, x := range st.Members {
		if x.ID == m.ID {
			later = true
			continue
		}
		if later && x.Addr == m.Addr && !x.Learner {
			return true
		}
	}
	return false
}

func (s *Server) changeMembers(ctx context.Context, doneMsg string, change func(quorum.Members) quorum.Members) {
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	if err := s.node.ChangeMembers(ctx, change); err != nil {
		s.log.WithError(err).Warn("membership change did not finish")
		return
	}
	s.log.Info(doneMsg)
}
