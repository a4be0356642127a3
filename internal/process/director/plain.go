package director

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/admission"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// pressures returns the plain services under pressure, which are in each answer to an entry host while
// there are any.
func (s *Server) pressures(l *leadership, now time.Time) []*fleet.Pressure {
	if !s.cfg.Site.Plain.Share {
		return nil
	}
	out := l.plain.Pressures(func(service string) int { return s.plainSlots(l, service) }, now)
	s.logPressures(l)
	return out
}

// plainSlots returns the slots of the servers of a service that get requests.
func (s *Server) plainSlots(l *leadership, service string) (n int) {
	for _, x := range l.instancesFor(settings.RoleEntry) {
		if x.Service == service && x.State == roster.Ready && !s.catalog.Public.ZonesOut[x.Zone] {
			n += x.Slots
		}
	}
	return n
}

func (s *Server) logPressures(l *leadership) {
	for _, e := range l.plain.Events() {
		fields := logrus.Fields{"service": e.Service, "capacity": int(e.Capacity), "demand": int(e.Demand), "limited": e.Limited}
		switch e.Kind {
		case admission.Began:
			s.cfg.Scope.Counter("plain_pressures").Inc(1)
			s.log.WithFields(fields).WithField("adopted", e.Adopted).Info("service under pressure")
		case admission.Divided:
			s.log.WithFields(fields).Info("service capacity divided")
		case admission.Ended:
			s.log.WithFields(fields).WithField("lasted_ms", e.Lasted.Milliseconds()).Info("service no longer under pressure")
		}
	}
}
