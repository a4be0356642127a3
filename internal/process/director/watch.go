package director

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// Periods of founding and following.
const (
	foundPeriod = 100 * time.Millisecond
	// helloTimeout bounds a question to another control process.
	helloTimeout = 500 * time.Millisecond
	// provisionalTime is how long after its start a process tells what its disk
	// holds: elections take up to 1 s, and a host that asks has started as well.
	provisionalTime = 3 * time.Second
	// provisionalRoster is below the revisions of every leader.
	provisionalRoster = 1
	// provisionalEntries is the number of entry hosts while nobody knows it: cold
	// servers get next to nothing. It is that of the largest site.
	provisionalEntries = 390
)

// Watch takes in a report and answers with what the host lacks.
func (s *Server) Watch(ctx context.Context, q *fleet.Report) (*fleet.News, error) {
	if q.Host == nil || q.Host.Name == "" || q.Incarnation == 0 {
		return nil, twirp.InvalidArgumentError("host", "and incarnation are required")
	}
	timer := time.NewTimer(time.Duration(q.Waitms) * time.Millisecond)
	defer timer.Stop()
	taken, lead := false, ""
	for last := q.Waitms == 0; ; {
		var news *fleet.News
		var changed chan struct{}
		err := s.onLeader(ctx, func(o *office) error {
			now := time.Now()
			if !taken {
				s.takeReport(o, q, now)
				taken, lead = true, leadAddr(o, now)
			}
			if last || s.isNews(o, q, now) || leadAddr(o, now) != lead {
				news = s.news(o, q, now)
			}
			changed = s.changed
			return nil
		})
		var not *NotLeaderError
		if errors.As(err, &not) {
			if news = s.provisional(ctx, q); news != nil {
				return news, nil
			}
		}
		if err != nil || news != nil {
			return news, wireError(err)
		}
		select {
		case <-ctx.Done():
			return nil, wireError(ctx.Err())
		case <-timer.C:
			last = true
		case <-changed:
		}
	}
}

// provisional returns what this process found on its disk, for a host that knows
// nothing: after a restart of all processes, callers would wait for an election
// for what every disk holds. It is nil if there may be a leader, or once this
// process has run for longer than an election takes.
func (s *Server) provisional(ctx context.Context, q *fleet.Report) *fleet.News {
	if q.Catalog > 0 || q.Role == settings.RoleControl || time.Since(s.started) > provisionalTime {
		return nil
	}
	var n *fleet.News
	err := s.do(ctx, func() {
		if s.catalog.Public.Config == nil || s.replica.Node().Status().Leader != 0 {
			return
		}
		n = &fleet.News{Catalog: s.catalog.Revision, State: encode(s.catalog.Public), Provisional: true, Entries: provisionalEntries}
		if len(s.catalog.Instances) > 0 {
			n.Roster, n.Instances = provisionalRoster, encode(s.catalog.Instances)
		}
	})
	if err != nil {
		s.log.WithError(err).Warn("could not tell what the disk holds")
		return nil
	}
	if n != nil {
		s.log.WithFields(logrus.Fields{"to": q.Host.Name, "catalog": n.Catalog, "instances": len(s.catalog.Instances)}).
			Info("told what the disk holds")
	}
	return n
}

// takeReport stores a report; a change of the store group is news for all.
func (s *Server) takeReport(o *office, q *fleet.Report, now time.Time) {
	before := leadAddr(o, now)
	o.take(q, now)
	if leadAddr(o, now) != before {
		s.notify()
	}
}

func leadAddr(o *office, now time.Time) string {
	if lead := o.storeLead(now); lead != nil {
		return lead.Addr
	}
	return ""
}

func (s *Server) isNews(o *office, q *fleet.Report, now time.Time) bool {
	return q.Leaving || q.Catalog < s.catalog.Revision || s.lacksRoster(o, q, now)
}

// lacksRoster reports whether a host should get the roster. A host without any
// gets what there is.
func (s *Server) lacksRoster(o *office, q *fleet.Report, now time.Time) bool {
	return q.Roster < o.rosterFor(q.Role) && (q.Roster == 0 || s.rosterFit(o, now))
}

// rosterFit reports whether the roster may replace the copies of hosts: a new
// leader without a copy of its own waits for the announcements first.
func (s *Server) rosterFit(o *office, now time.Time) bool {
	return o.settled(now) || s.feed.State().Roster > 0
}

func (s *Server) news(o *office, q *fleet.Report, now time.Time) *fleet.News {
	n := &fleet.News{Term: o.term, Catalog: s.catalog.Revision, Lead: leadAddr(o, now),
		Entries: uint32(len(o.live(settings.RoleEntry, now)))}
	if q.Catalog < s.catalog.Revision {
		n.State = encode(s.catalog.Public)
	}
	if s.lacksRoster(o, q, now) {
		n.Roster, n.Instances = o.rosterFor(q.Role), encode(o.instancesFor(q.Role))
	}
	n.Stores = hostsOf(o.live(settings.RoleStore, now))
	if q.Role == settings.RoleEntry {
		n.Stores = o.voters(n.Stores, now)
	}
	for _, m := range s.replica.Node().Status().Members {
		n.Controls = append(n.Controls, m.Addr)
	}
	return n
}

func hostsOf(all []*host) []*fleet.Host {
	var out []*fleet.Host
	for _, h := range all {
		out = append(out, h.Host)
	}
	slices.SortFunc(out, func(a, b *fleet.Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return data
}

// report tells the leader of this control process.
func (s *Server) report(q *fleet.Report) {
	q.Host = &fleet.Host{Name: s.cfg.Site.Host, Zone: s.cfg.Site.Zone, Addr: s.cfg.Site.InternalAddr(), Disk: s.replica.Disk(),
		Empty: s.replica.Empty()}
}

// follow keeps a copy of the leader's roster while another process leads, so
// that the next leader starts with it, and tells the leader of this process.
func (s *Server) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if _, self := s.Leader(); !self {
			s.feed.Poll(ctx)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(foundPeriod):
		}
	}
}

// found founds the control group at the first start of the whole system: the
// process at the first seed does, once all seeds have answered with empty
// disks.
func (s *Server) found(ctx context.Context) {
	seeds := s.cfg.Site.ControlAddrs()
	for s.cfg.Site.Bootstrap && seeds[0] == s.cfg.Site.InternalAddr() && s.replica.Empty() {
		if members, ok := s.askSeeds(ctx, seeds); ok {
			if err := s.replica.Found(ctx, members); err != nil {
				s.log.WithError(err).Error("could not found the control group")
			}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(foundPeriod):
		}
	}
}

func (s *Server) askSeeds(ctx context.Context, seeds []string) (members quorum.Members, ok bool) {
	for _, addr := range seeds {
		if addr == s.cfg.Site.InternalAddr() {
			members = append(members, quorum.Member{ID: quorum.NodeID(s.replica.Disk()), Addr: addr})
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, helloTimeout)
		id, err := s.replica.Hello(askCtx, addr)
		cancel()
		if err != nil || !id.Empty {
			return nil, false
		}
		members = append(members, quorum.Member{ID: quorum.NodeID(id.Id), Addr: addr})
	}
	return members, true
}

// hosts calls f for each host of a role that has reported in this office.
func (s *Server) hosts(role string, f func(h *host)) {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	err := s.do(ctx, func() {
		if s.office == nil {
			return
		}
		for _, h := range s.office.hosts {
			if h.role == role {
				f(h)
			}
		}
	})
	if err != nil {
		s.log.WithError(err).Warn("could not list the hosts")
	}
}
