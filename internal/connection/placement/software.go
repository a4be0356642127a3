package placement

import (
	"time"
)

// allowsSoftware reports whether a server has the software version that the request requires.
func (r *Requirement) allowsSoftware(s *server) bool {
	return r.Software == nil || *r.Software == s.Software
}

// Continues reports whether a server of the required software version is likely to take the
// request soon: one that is ready and has not failed since it last served a request.
func (t *Table) Continues(req Requirement, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		failed := s.failures > 0 && now.Before(s.cooldownUntil)
		if s.Service == req.Service && t.inService(s) && req.allowsSoftware(s) && !failed {
			return true
		}
	}
	return false
}
