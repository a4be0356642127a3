package director

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/internal/process/propagation"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// slowRoster is the time from which a change of the roster is logged when all hosts have it.
// Changes of the catalog are rare and always logged.
const slowRoster = time.Second

// hostKey identifies a host among the hosts of all roles.
func hostKey(role, name string) string { return role + " " + name }

// catalogChanged follows a change of the catalog. It runs on the control goroutine.
func (s *Server) catalogChanged(now time.Time) {
	if l := s.leadership; l != nil {
		l.catalogChanges.Begin(s.catalog.Revision, l.liveHostKeys(now), now)
	}
}

// rosterRevised follows a change of the roster that affects more than weights.
func (s *Server) rosterRevised(l *leadership, before uint64, now time.Time) {
	if l.roster.RoutingRevision != before {
		l.rosterChanges.Begin(l.roster.RoutingRevision, l.liveHostKeys(now), now)
	}
}

// liveHostKeys returns the keys of the live hosts that have not announced that they leave.
func (l *leadership) liveHostKeys(now time.Time) []string {
	var out []string
	for _, role := range []string{settings.RoleEntry, settings.RoleStore, settings.RoleControl} {
		for _, h := range l.liveHosts(role, now) {
			if !h.leaving {
				out = append(out, hostKey(role, h.Name))
			}
		}
	}
	return out
}

// followChanges records which changes a host has, and logs those that all hosts have.
func (s *Server) followChanges(l *leadership, q *fleet.Report, now time.Time) {
	key := hostKey(q.Role, q.Host.Name)
	for _, c := range l.catalogChanges.Report(key, q.Catalog, now, s.propagationTimer("catalog").Record) {
		s.log.WithFields(changeFields("catalog", c)).Info("change in force")
	}
	for _, c := range l.rosterChanges.Report(key, q.Roster, now, s.propagationTimer("roster").Record) {
		if c.Took >= slowRoster {
			s.log.WithFields(changeFields("roster", c)).Info("change in force")
		}
	}
}

func (s *Server) propagationTimer(kind string) tally.Timer {
	return s.cfg.Scope.Tagged(map[string]string{"kind": kind}).Timer("propagation")
}

// logLateChanges logs the changes that some hosts still do not have.
func (s *Server) logLateChanges(l *leadership, now time.Time) {
	for _, c := range l.catalogChanges.Expire(now) {
		s.log.WithFields(changeFields("catalog", c)).Warn("change not in force at all hosts")
	}
	for _, c := range l.rosterChanges.Expire(now) {
		s.log.WithFields(changeFields("roster", c)).Warn("change not in force at all hosts")
	}
}

func changeFields(kind string, c propagation.Change) logrus.Fields {
	f := logrus.Fields{kind: c.Revision, "hosts": c.Hosts, "slowest": c.Slowest, "took_ms": c.Took.Milliseconds()}
	if c.MissingHosts > 0 {
		f["missing_hosts"], f["missing"] = c.MissingHosts, c.Missing
	}
	return f
}
