package control

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/ramp"
	"github.com/plantainbank/plantainbank/pkg/process/share"
	"github.com/plantainbank/plantainbank/pkg/version/record"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// leaderMeta is the key of the leader's address in the metadata of a twirp error.
const leaderMeta = "leader"

// checkLeader returns nil if this process leads with a valid lease, and otherwise a twirp
// error that names the leader.
func (s *Server) checkLeader() error {
	if _, _, ok := s.node.HoldsLease(); ok {
		return nil
	}
	st := s.node.Status()
	return s.toTwirpError(&quorum.NotLeaderError{Leader: st.Leader, Addr: st.LeaderAddr})
}

// toTwirpError converts an error to a twirp error.
func (s *Server) toTwirpError(err error) error {
	var notLeader *quorum.NotLeaderError
	var unknown *quorum.UnknownOutcomeError
	var members *quorum.MembershipError
	switch {
	case errors.As(err, &notLeader):
		addr := notLeader.Addr
		if addr == s.cfg.Listen {
			addr = ""
		}
		return twirp.NewError(twirp.FailedPrecondition, "not the leader").WithMeta(leaderMeta, addr)
	case errors.As(err, &unknown):
		return twirp.NewError(twirp.Unavailable, unknown.Error())
	case errors.As(err, &members):
		return twirp.NewError(twirp.Aborted, members.Error())
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return twirp.NewError(twirp.DeadlineExceeded, err.Error())
	}
	return twirp.InternalErrorWith(err)
}

// onLeader runs f on the control goroutine if this process leads, and returns an error
// otherwise.
func (s *Server) onLeader(ctx context.Context, f func() error) error {
	var inner error
	err := s.do(ctx, func() {
		if inner = s.checkLeader(); inner != nil {
			return
		}
		if s.leadership == nil {
			inner = s.toTwirpError(&quorum.NotLeaderError{})
			return
		}
		inner = f()
	})
	if err != nil {
		return s.toTwirpError(err)
	}
	return inner
}

// await calls check on the control goroutine until it returns true or an error, the wait is
// over or ctx ends. check runs at least once.
func (s *Server) await(ctx context.Context, wait time.Duration, check func() (bool, error)) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for last := wait <= 0; ; {
		var done bool
		var changed chan struct{}
		err := s.onLeader(ctx, func() (err error) {
			done, err = check()
			changed = s.changed
			return err
		})
		if err != nil || done || last {
			return err
		}
		select {
		case <-ctx.Done():
			return s.toTwirpError(ctx.Err())
		case <-timer.C:
			last = true
		case <-changed:
		}
	}
}

// Renew applies an entry host's report and extends its lease. It answers at once if there is
// an update for the host, and otherwise when there is one or the wait is over.
func (s *Server) Renew(ctx context.Context, q *pb.RenewRequest) (*pb.Grant, error) {
	if q.Host == "" || q.Incarnation == 0 {
		return nil, twirp.InvalidArgumentError("host", "and incarnation are required")
	}
	arrived := time.Now()
	err := s.onLeader(ctx, func() error { return s.applyReport(q, arrived) })
	if err != nil {
		return nil, err
	}
	wait := time.Duration(q.Waitms) * time.Millisecond
	err = s.await(ctx, wait, func() (bool, error) { return s.hasUpdate(q), nil })
	if err != nil {
		return nil, err
	}
	var g *pb.Grant
	err = s.onLeader(ctx, func() error {
		g = s.buildGrant(q, time.Now())
		return nil
	})
	return g, err
}

// applyReport applies the report of a host and grants its lease.
func (s *Server) applyReport(q *pb.RenewRequest, arrived time.Time) error {
	l := s.leadership
	h := l.hosts[q.Host]
	if h == nil || q.Incarnation > h.incarnation {
		h = &host{name: q.Host, incarnation: q.Incarnation, outcomes: map[string]ramp.Counts{}}
		l.hosts[q.Host] = h
	}
	if q.Incarnation < h.incarnation || q.Seq <= h.seq {
		return twirp.NewErrorf(twirp.AlreadyExists, "outdated report: got incarnation %d seq %d, latest is incarnation %d seq %d",
			q.Incarnation, q.Seq, h.incarnation, h.seq)
	}
	h.seq, h.zone, h.revision, h.leaving = q.Seq, q.Zone, q.Revision, q.Leaving
	h.smoothDemand(q.Demands)
	h.smoothLoad(q.Loads)
	h.usage = countersFromProto(q.Usage)
	s.recordUsage(h)
	before := l.tableVersion
	for _, a := range q.Announcements {
		l.applyAnnouncement(a, arrived)
	}
	l.adoptLimits(q.Holdings, arrived)
	l.observeOutcomes(h, q.Outcomes)
	l.recordSuspects(q.Host, q.Holdings)
	l.shares.Report(q.Host, holdingsFromProto(q.Holdings))
	l.leases.Grant(q.Host, arrived)
	if l.tableVersion != before {
		s.wakeWaiters()
	}
	s.scope.Counter("renewals").Inc(1)
	return nil
}

func countersFromProto(usage []*pb.Usage) map[string]ledger.Counters {
	out := make(map[string]ledger.Counters, len(usage))
	for _, u := range usage {
		out[u.Workspace] = ledger.Counters{Requests: u.Requests, Tokens: u.Tokens}
	}
	return out
}

func holdingsFromProto(holdings []*pb.Holding) map[string]share.Holding {
	out := make(map[string]share.Holding, len(holdings))
	for _, h := range holdings {
		out[resourceName(h.Backend, h.Incarnation)] = share.Holding{Share: int(h.Share), Running: int(h.Running)}
	}
	return out
}

// hasUpdate reports whether the host is leaving or lacks data that the leader has.
func (s *Server) hasUpdate(q *pb.RenewRequest) bool {
	l := s.leadership
	if q.Leaving || q.Revision != s.ledger.Revision || q.Term != l.term {
		return true
	}
	return l.oldLeasesExpired(time.Now()) && q.Table != l.tableVersion
}

// buildGrant returns the answer to a renewal.
func (s *Server) buildGrant(q *pb.RenewRequest, now time.Time) *pb.Grant {
	l := s.leadership
	g := &pb.Grant{Term: l.term, Revision: s.ledger.Revision, Table: q.Table,
		Durationms: uint32(l.leases.Duration / time.Millisecond), Openslots: uint32(s.openSlots())}
	if q.Revision != s.ledger.Revision {
		records, full := s.ledger.Since(q.Revision)
		g.Full = full
		for _, x := range records {
			g.Records = append(g.Records, recordToProto(x))
		}
	}
	for rollout, version := range s.ledger.Versions {
		g.Versions = append(g.Versions, &pb.TrainerVersion{Trainer: rollout, Version: version})
	}
	// Until the leases of earlier leaders have ended, the table may lack running servers.
	if l.oldLeasesExpired(now) && q.Table != l.tableVersion {
		g.Table, g.Tablesent = l.tableVersion, true
		for _, b := range l.backends {
			g.Backends = append(g.Backends, &pb.Backend{Announced: b.announced, Limit: uint32(b.ramp.Limit)})
		}
	}
	g.Shares = s.grantShares(q, now)
	return g
}

// grantShares moves a host's shares toward their targets. Until the leases of earlier
// leaders have ended, a host keeps the shares that it reports, as hosts that have not
// reported yet may have the rest.
func (s *Server) grantShares(q *pb.RenewRequest, now time.Time) []*pb.Share {
	if !s.leadership.oldLeasesExpired(now) {
		return s.retainedShares(q)
	}
	var out []*pb.Share
	for id, b := range s.leadership.backends {
		target := s.leadership.targets[id][q.Host]
		if s.closedToNewWork(b, q) {
			target = 0
		}
		if n := s.leadership.shares.Grant(q.Host, b.resource(), target); n > 0 {
			out = append(out, &pb.Share{Backend: id, Share: uint32(n)})
		}
	}
	return out
}

// closedToNewWork reports whether a host must not send new requests to a server.
func (s *Server) closedToNewWork(b *backend, q *pb.RenewRequest) bool {
	return b.announced.Leaving || q.Leaving || s.zoneOut(b.announced.Zone) || b.isSuspect(q.Host)
}

func (s *Server) retainedShares(q *pb.RenewRequest) []*pb.Share {
	var out []*pb.Share
	for _, h := range q.Holdings {
		b := s.leadership.backends[h.Backend]
		stale := b != nil && b.announced.Incarnation != h.Incarnation
		if h.Share == 0 || h.Suspect || stale || (b != nil && s.closedToNewWork(b, q)) {
			continue
		}
		out = append(out, &pb.Share{Backend: h.Backend, Share: h.Share})
	}
	return out
}

func recordToProto(r record.Record) *pb.Record {
	return &pb.Record{Kind: r.Kind, Name: r.Name, Schema: uint32(r.Schema), Revision: r.Revision,
		Spec: r.Spec, Withdrawn: r.Withdrawn}
}
