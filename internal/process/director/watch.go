package director

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// Timing of the bootstrap and of Watch.
const (
	// checkInterval is how often bootstrap calls the seeds again, and how often
	// followLeader checks whether this process still leads.
	checkInterval = 100 * time.Millisecond
	// helloTimeout bounds a Hello call to another control process and the listing of
	// hosts.
	helloTimeout = 500 * time.Millisecond
)

// Watch records a report and returns what the host is missing. It waits for an update at
// most as long as the report says.
func (s *Server) Watch(ctx context.Context, q *fleet.Report) (*fleet.News, error) {
	if q.Host == nil || q.Host.Name == "" || q.Incarnation == 0 {
		return nil, twirp.InvalidArgumentError("host", "and incarnation are required")
	}
	if q.To != 0 && q.To != s.replica.Disk() {
		s.cfg.Scope.Counter("calls_for_another_process").Inc(1)
		return nil, twirp.NotFoundError("the process that the call is for does not have this address")
	}
	timer := time.NewTimer(time.Duration(q.Waitms) * time.Millisecond)
	defer timer.Stop()
	recorded, relinked, lead := false, false, ""
	for last := q.Waitms == 0; ; {
		var u *update
		var changed chan struct{}
		err := s.onLeader(ctx, func(l *leadership) error {
			now := time.Now()
			if !recorded {
				relinked = s.handleReport(l, q, now)
				recorded, lead = true, storeLeaderAddr(l, now)
			}
			if last || relinked || s.hasUpdate(l, q, now) || storeLeaderAddr(l, now) != lead {
				u = s.update(l, q, now)
			}
			changed = s.changed
			return nil
		})
		var notLeader *NotLeaderError
		if errors.As(err, &notLeader) {
			if q.Role == settings.RoleControl && q.Host.Addr != "" {
				s.feed.Learn(q.Host, time.Now())
			}
			if n := s.provisionalUpdate(ctx, q); n != nil {
				return n, nil
			}
		}
		if err != nil {
			return nil, toTwirpError(err)
		}
		if u != nil {
			return s.encodeUpdate(u), nil
		}
		select {
		case <-ctx.Done():
			return nil, toTwirpError(ctx.Err())
		case <-timer.C:
			last = true
		case <-changed:
		}
	}
}

// handleReport records a report and wakes all waiting calls if the leader of the store
// group or a quarantine has changed. It reports whether the host has lost its links to the backend
// servers, or has them back, since its last report.
func (s *Server) handleReport(l *leadership, q *fleet.Report, now time.Time) (relinked bool) {
	before := storeLeaderAddr(l, now)
	if h := l.hosts[q.Role][q.Host.Name]; q.Unlinked != (h != nil && h.unlinked) {
		relinked = true
		s.log.WithFields(logrus.Fields{"entry": q.Host.Name, "unlinked": q.Unlinked}).Info("links of a host changed")
	}
	if h := l.recordReport(q, now); h.incarnation == q.Incarnation && q.Role == settings.RoleEntry && s.cfg.Site.Plain.Share {
		l.plain.Report(q.Host.Name, q.Plain, now)
	}
	s.followChanges(l, q, now)
	s.mergeCases(q.Host.Name, q.Cases, now)
	s.recordLeaving(l, q)
	if storeLeaderAddr(l, now) != before {
		s.notify()
	}
	return relinked
}

func storeLeaderAddr(l *leadership, now time.Time) string {
	if lead := l.storeLeader(now); lead != nil {
		return lead.Addr
	}
	return ""
}

func (s *Server) hasUpdate(l *leadership, q *fleet.Report, now time.Time) bool {
	return q.Leaving || q.Catalog < s.catalog.Revision || s.needsRoster(l, q, now) || q.Quarantine < s.quarantineRevision(l, q.Role) ||
		q.Limits < limitRevision(l, q.Role) || q.Unmeasured && len(l.eventTimes) > 0
}

// needsRoster reports whether a host should get the roster. A host that has none, the one of a disk, or
// one of this leader gets it even if it may be incomplete: what it has is no better. After a restart of
// all processes, weight versions on the disk may be a second old, and items that need a newer one would
// wait until the roster is ready.
func (s *Server) needsRoster(l *leadership, q *fleet.Report, now time.Time) bool {
	switch revision := l.rosterRevision(q.Role); {
	case q.Roster >= revision:
		return false
	case q.Roster <= provisionalRosterRevision, l.sentRoster(q.Roster):
		return true
	}
	return s.rosterReady(l, now)
}

// rosterReady reports whether the roster may replace the hosts' copies: a new leader
// without a copy of its own waits for the announcements first.
func (s *Server) rosterReady(l *leadership, now time.Time) bool {
	return l.waitedForAnnouncements(now) || s.feed.State().Roster > 0
}

// fillReport fills in what this control process reports to the leader.
func (s *Server) fillReport(q *fleet.Report) {
	q.Host = &fleet.Host{Name: s.cfg.Site.Host, Zone: s.cfg.Site.Zone, Addr: s.cfg.Site.InternalAddr(), Disk: s.replica.Disk(),
		Empty: s.replica.Empty()}
	q.Cases = s.quarantine.Reported(time.Now())
}

// followLeader copies the roster from the leader while another process leads, so that the
// next leader starts with it, and reports this process to the leader. While this process leads, it
// introduces itself to the other control processes.
func (s *Server) followLeader(ctx context.Context) {
	var introduced time.Time
	for ctx.Err() == nil {
		if _, self := s.Leader(); !self {
			s.feed.Poll(ctx)
			continue
		}
		if now := time.Now(); now.Sub(introduced) >= introductionInterval {
			introduced = now
			s.introduce(ctx, now)
		}
		select {
		case <-ctx.Done():
		case <-time.After(checkInterval):
		}
	}
}

// bootstrap creates the control group at the first start of the whole system: the process
// at the first seed does so once all seeds have answered that their disks are empty.
func (s *Server) bootstrap(ctx context.Context) {
	seeds := s.cfg.Site.ControlAddrs()
	for s.cfg.Site.Bootstrap && seeds[0] == s.cfg.Site.InternalAddr() && s.replica.Empty() {
		if members, ok := s.helloSeeds(ctx, seeds); ok {
			if err := s.replica.Bootstrap(ctx, members); err != nil {
				s.log.WithError(err).Error("could not bootstrap the control group")
			}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(checkInterval):
		}
	}
}

func (s *Server) helloSeeds(ctx context.Context, seeds []string) (members quorum.Members, ok bool) {
	for _, addr := range seeds {
		if addr == s.cfg.Site.InternalAddr() {
			members = append(members, quorum.Member{ID: quorum.NodeID(s.replica.Disk()), Addr: addr})
			continue
		}
		helloCtx, cancel := context.WithTimeout(ctx, helloTimeout)
		id, err := s.replica.Hello(helloCtx, addr)
		cancel()
		if err != nil || !id.Empty {
			return nil, false
		}
		members = append(members, quorum.Member{ID: quorum.NodeID(id.Id), Addr: addr})
	}
	return members, true
}

// eachHost calls f for each host of a role that has reported in the current term.
func (s *Server) eachHost(role string, f func(h *host)) {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	err := s.do(ctx, func() {
		if s.leadership == nil {
			return
		}
		for _, h := range s.leadership.hosts[role] {
			f(h)
		}
	})
	if err != nil {
		s.log.WithError(err).Warn("could not list the hosts")
	}
}
