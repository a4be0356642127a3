package director

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/ratelimit"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// Acquire grants permits to send requests to backend servers that have named a rate limit.
func (s *Server) Acquire(ctx context.Context, q *fleet.Wanted) (*fleet.Permits, error) {
	var p *fleet.Permits
	err := s.onLeader(ctx, func(l *leadership) error {
		now := time.Now()
		s.observeLimits(l, q, now)
		p = l.limits.Acquire(q, now)
		s.logLimits(l, now)
		return nil
	})
	return p, toTwirpError(err)
}

// observeLimits adds the limits that a host has observed, and wakes the waiting calls if other
// hosts must learn of them.
func (s *Server) observeLimits(l *leadership, q *fleet.Wanted, now time.Time) {
	changes := l.limits.Observe(q.Limits, now)
	for _, x := range changes {
		s.log.WithFields(ratelimit.ChangeFields(x.Key, x.Before, x.After)).WithField("source", q.Host).Info("server limit changed")
	}
	if len(changes) > 0 {
		s.notify()
	}
}

// logLimits logs which hosts got the permits of the servers, and drops limits that are not needed
// any more.
func (s *Server) logLimits(l *leadership, now time.Time) {
	for _, x := range l.limits.Summaries(now) {
		s.log.WithFields(logrus.Fields{"instance": x.ID, "limit": x.Limit.Rate, "granted": x.Granted, "denied": x.Denied}).
			Info("server limit divided")
	}
	l.limits.Expire(func(k ratelimit.Key) bool {
		x, ok := l.roster.Get(k.ID)
		return ok && x.Born == k.Born && x.State != roster.Gone
	}, now)
}

// limitRevision returns the revision of the limits that hosts of a role should have. Control
// processes send no requests to backend servers.
func limitRevision(l *leadership, role string) uint64 {
	if role == settings.RoleControl {
		return 0
	}
	return l.term<<32 + l.limits.Revision
}
