package director

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/request/quarantine"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// maxQuarantineRecords bounds the requests under which servers ended that control knows of.
const maxQuarantineRecords = 1024

// mergeCases adds the cases that a host reported and wakes the waiting calls if other hosts
// must learn of them.
func (s *Server) mergeCases(host string, cases []*fleet.Case, now time.Time) {
	if len(cases) == 0 {
		return
	}
	before := s.quarantine.Revision()
	s.quarantineChanged(before, host, s.quarantine.Merge(cases, now))
}

// heardOf withdraws the ends that were attributed to an instance which still runs. Without a
// start time its restart cannot be told from that.
func (s *Server) heardOf(x roster.Instance, now time.Time) {
	if x.Born == 0 {
		return
	}
	before := s.quarantine.Revision()
	s.quarantineChanged(before, x.ID, s.quarantine.Alive(quarantine.Incarnation(x.ID, x.Born), now))
}

func (s *Server) quarantineChanged(before uint64, source string, changes []quarantine.Change) {
	for _, c := range changes {
		s.cfg.Scope.Tagged(map[string]string{"kind": string(c.Kind)}).Counter("quarantine_changes").Inc(1)
		if c.Shared() {
			s.log.WithFields(logrus.Fields{"fingerprint": c.Fingerprint.String(), "kind": string(c.Kind), "ended": c.Ended,
				"source": source}).Info("quarantine changed")
		}
	}
	if s.quarantine.Revision() != before {
		s.notify()
	}
}

// quarantineRevision returns the revision of the cases that hosts of a role should have. Items
// of batches are not subject to the quarantine, so store hosts need none.
func (s *Server) quarantineRevision(l *leadership, role string) uint64 {
	if role == settings.RoleStore {
		return 0
	}
	return l.term<<32 + s.quarantine.Revision()
}
