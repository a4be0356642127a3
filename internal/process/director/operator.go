package director

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// PutConfig stores a validated configuration. One whose version is not higher than the
// current one changes nothing.
func (s *Server) PutConfig(ctx context.Context, document []byte, cfg *routing.Config) error {
	current := uint64(0)
	err := s.throughElection(ctx, func() error {
		err := s.onLeader(ctx, func(*leadership) error {
			if c := s.catalog.Public.Config; c != nil {
				current = c.Version
			}
			return nil
		})
		if err == nil && cfg.Version > current {
			err = s.propose(ctx, &catalog.Command{Config: &catalog.ConfigChange{Document: document, Config: cfg}})
		}
		return err
	})
	s.logOutcome(err, "configuration submitted", logrus.Fields{"config": cfg.Version, "held": current, "routes": len(cfg.Routes)})
	return err
}

// Document returns the current configuration as it was submitted, nil before the first
// one. Only a leader with a valid lease answers.
func (s *Server) Document(ctx context.Context) (document []byte, err error) {
	err = s.throughElection(ctx, func() error {
		return s.onLeader(ctx, func(*leadership) error {
			document = s.catalog.Document
			return nil
		})
	})
	return document, err
}

// PutWeight records a weight version that a trainer published for a model.
func (s *Server) PutWeight(ctx context.Context, model string, version uint64) error {
	current := uint64(0)
	err := s.throughElection(ctx, func() error {
		err := s.onLeader(ctx, func(*leadership) error {
			current = s.catalog.Public.Weights[model]
			return nil
		})
		if err == nil && version > current {
			err = s.propose(ctx, &catalog.Command{Weight: &catalog.WeightChange{Model: model, Version: version}})
		}
		return err
	})
	s.logOutcome(err, "weight version submitted", logrus.Fields{"model": model, "version": version, "held": current})
	return err
}

// SetZone takes an availability zone out of service or puts it back.
func (s *Server) SetZone(ctx context.Context, zone string, out bool) error {
	err := s.throughElection(ctx, func() error {
		return s.propose(ctx, &catalog.Command{Zone: &catalog.ZoneChange{Zone: zone, Out: out}})
	})
	s.logOutcome(err, "availability zone set", logrus.Fields{"zone": zone, "out": out})
	return err
}

func (s *Server) logOutcome(err error, what string, fields logrus.Fields) {
	entry := s.log.WithFields(fields)
	if err != nil {
		entry.WithError(err).Warn(what + ": failed")
		return
	}
	entry.Info(what)
}

// Announce records an announcement of a backend server. The error is a *routing.FieldError if its
// service is not in the configuration: such an announcement comes from another writer, or from a server
// that is ahead of the configuration and will announce itself again.
func (s *Server) Announce(ctx context.Context, x roster.Instance) error {
	return s.onLeader(ctx, func(l *leadership) error {
		if !s.knowsService(l, &x) {
			s.log.WithFields(logrus.Fields{"instance": x.ID, "service": x.Service, "addr": x.Addr}).Info("announcement of an unknown service refused")
			return &routing.FieldError{Field: "service", Problem: fmt.Sprintf("%q is not in the configuration", x.Service)}
		}
		before, beforeRouting := l.roster.Revision, l.roster.RoutingRevision
		out := l.roster.Announce(x, time.Now())
		if out.Newer && out.Holder == nil {
			s.heardOf(x, time.Now())
		}
		s.logClaim(&x, out)
		s.rosterChanged(l, before, beforeRouting, x.ID, string(x.State), out.Newer)
		return nil
	})
}

// logClaim logs which of two instances has an ID or an address that both announce.
func (s *Server) logClaim(x *roster.Instance, out roster.Outcome) {
	fields := func(y *roster.Instance) logrus.Fields {
		return logrus.Fields{"instance": x.ID, "service": x.Service, "addr": x.Addr, "state": string(x.State), "born": x.Born, "seq": x.Seq,
			"other": y.ID, "otherservice": y.Service, "otheraddr": y.Addr, "otherborn": y.Born, "otherseq": y.Seq}
	}
	if h := out.Holder; h != nil && out.First {
		what := "instance waits: another one has its ID or address"
		if h.SameIncarnation(x) {
			what = "announcement waits: its number is far ahead of the latest one"
		}
		s.log.WithFields(fields(h)).Info(what)
	}
	for i := range out.Displaced {
		y, what := &out.Displaced[i], "instance has taken the ID or address of another one"
		if y.SameIncarnation(x) {
			what = "announcement in force: its sender does not go on from the number before"
		}
		s.log.WithFields(fields(y)).Info(what)
	}
}

// settleRoster puts the announcements in force that have waited long enough.
func (s *Server) settleRoster(l *leadership, now time.Time) {
	before, beforeRouting := l.roster.Revision, l.roster.RoutingRevision
	for _, out := range l.roster.Settle(now) {
		s.heardOf(out.Instance, now)
		s.logClaim(&out.Instance, out)
		s.rosterChanged(l, before, beforeRouting, out.Instance.ID, string(out.Instance.State), true)
	}
}

// knowsService reports whether an announcement names a service of the configuration, or one that the
// instance had before the service was removed.
func (s *Server) knowsService(l *leadership, x *roster.Instance) bool {
	c := s.catalog.Public.Config
	if c == nil || slices.ContainsFunc(c.Services, func(v routing.Service) bool { return v.Name == x.Service }) {
		return true
	}
	current, ok := l.roster.Get(x.ID)
	return ok && current.Service == x.Service
}

// Depart records that a backend server leaves. When it returns, the log has that: a server may leave
// without another word, and must get no requests from a leader that has just started either.
func (s *Server) Depart(ctx context.Context, id string, born int64) error {
	var leads *leadership
	var revision uint64
	err := s.onLeader(ctx, func(l *leadership) error {
		before, beforeRouting := l.roster.Revision, l.roster.RoutingRevision
		l.roster.Depart(id, born, time.Now())
		s.rosterChanged(l, before, beforeRouting, id, string(roster.Gone), true)
		leads, revision = l, l.roster.Revision
		return nil
	})
	if err != nil {
		return err
	}
	if err := s.awaitSaved(ctx, leads, revision); err != nil {
		s.log.WithError(err).WithField("instance", id).Warn("departure not acknowledged, it is not in the log yet")
		return err
	}
	return nil
}

// recordLeaving records the servers that have told a host in responses that they leave.
func (s *Server) recordLeaving(l *leadership, q *fleet.Report) {
	for _, x := range q.LeavingServers {
		before, beforeRouting := l.roster.Revision, l.roster.RoutingRevision
		if l.roster.Leave(x.Instance, x.Born) {
			s.log.WithFields(logrus.Fields{"instance": x.Instance, "born": x.Born, "source": q.Host.Name}).Info("server leaves")
			s.rosterChanged(l, before, beforeRouting, x.Instance, string(roster.Draining), true)
		}
	}
}

func (s *Server) rosterChanged(l *leadership, before, beforeRouting uint64, id, state string, newer bool) {
	if !newer {
		s.cfg.Scope.Counter("late_announcements").Inc(1)
	}
	if l.roster.Revision == before {
		return
	}
	x, _ := l.roster.Get(id)
	s.log.WithFields(logrus.Fields{"instance": id, "state": state, "addr": x.Addr, "born": x.Born, "seq": x.Seq,
		"weights": x.Weights, "roster": l.roster.Revision}).Info("instance changed")
	s.rosterRevised(l, beforeRouting, time.Now())
	s.notify()
}
