package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	pb "github.com/plantainbank/plantainbank/service/control"
	"github.com/plantainbank/plantainbank/service/peer"
)

// Periods of membership work.
const (
	joinPeriod     = 300 * time.Millisecond
	maintainPeriod = 200 * time.Millisecond
	helloTimeout   = time.Second
	// caughtUpEntries is how far behind a learner may be when it is promoted.
	caughtUpEntries = 16
)

// join brings a replica with an empty disk into the group: it forms the group
// if every configured host is empty, and asks to be added otherwise.
func (s *Server) join(ctx context.Context) {
	tick := time.NewTicker(joinPeriod)
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
	if !s.hello {
		return // the members are on this disk or come with the next message
	}
	members, empty := s.askHosts(ctx)
	if empty && s.cfg.ControlAddrs[0] == s.cfg.Listen {
		s.form(ctx, members)
		return
	}
	if !empty {
		s.askToJoin(ctx)
	}
}

// askHosts returns the identities behind the configured addresses; empty is
// true only if all of them answered and have empty disks.
func (s *Server) askHosts(ctx context.Context) (members quorum.Members, empty bool) {
	empty = true
	for _, addr := range s.cfg.ControlAddrs {
		if addr == s.cfg.Listen {
			members = append(members, quorum.Member{ID: s.node.Status().ID, Addr: addr})
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, helloTimeout)
		id, err := s.peers.Peer(addr).Hello(askCtx, &peer.Empty{})
		cancel()
		if err != nil || !id.Empty {
			empty = false
			continue
		}
		members = append(members, quorum.Member{ID: quorum.NodeID(id.Id), Addr: addr})
	}
	return members, empty
}

func (s *Server) form(ctx context.Context, members quorum.Members) {
	err := s.do(ctx, func() {
		if err := s.node.Bootstrap(members); err != nil {
			s.log.WithError(err).Error("could not form the group")
		}
	})
	if err == nil {
		s.log.WithField("replicas", len(members)).Info("formed a new group")
	}
}

func (s *Server) askToJoin(ctx context.Context) {
	change := &pb.MemberChange{Action: "join", Id: uint64(s.node.Status().ID), Addr: s.cfg.Listen}
	for _, addr := range s.cfg.ControlAddrs {
		if addr == s.cfg.Listen {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, helloTimeout)
		_, err := pb.NewControlProtobufClient(s.scheme+addr, s.client).ChangeMember(askCtx, change)
		cancel()
		if err == nil {
			return
		}
	}
}

// ChangeMember adds or removes a replica.
func (s *Server) ChangeMember(ctx context.Context, c *pb.MemberChange) (*pb.StatusAnswer, error) {
	if err := s.leading(); err != nil {
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
		return nil, s.wireError(err)
	}
	return s.Status(ctx, &pb.StatusRequest{})
}

// maintain promotes learners that have caught up and removes the replicas that
// they replace, while this process leads.
func (s *Server) maintain(ctx context.Context) {
	tick := time.NewTicker(maintainPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.leading() == nil {
			s.maintainMembers(ctx)
			_ = s.do(ctx, s.maintainLeadership)
		}
	}
}

func (s *Server) maintainMembers(ctx context.Context) {
	st := s.node.Status()
	for _, m := range st.Members {
		if m.Learner && st.Match[m.ID] > 0 && st.Match[m.ID]+caughtUpEntries >= st.LastIndex {
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

// replaced reports whether a later voter runs at m's address: the disk that
// held m's identity is gone.
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

func (s *Server) changeMembers(ctx context.Context, what string, change func(quorum.Members) quorum.Members) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := s.node.ChangeMembers(ctx, change); err != nil {
		s.log.WithError(err).Warn("membership change did not finish")
		return
	}
	s.log.Info(what)
}
