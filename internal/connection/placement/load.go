package placement

import "time"

// Load is what a response tells about its server.
type Load struct {
	// Busy counts the running and the waiting requests. Slots is zero if the response does not tell.
	Busy, Slots int
	// Work is how long work takes on the server's machine at the moment, as a multiple of the usual
	// time; zero if the response does not tell. It changes many times a second.
	Work float64
}

// minWork and maxWork bound Work as used in the cost of a server.
const minWork, maxWork = 0.5, 8.0

func (x Load) factor() float64 {
	if x.Work <= 0 {
		return 1
	}
	return min(maxWork, max(minWork, x.Work))
}

// Usual returns how long a request would have taken at the usual speed of the server's machine. The
// pace of a server is measured so, since the cost applies Work again while it is fresh.
func (x Load) Usual(took time.Duration) time.Duration {
	return time.Duration(float64(took) / x.factor())
}

// workFactor returns the factor of the cost of a server by its last report.
func (s *server) workFactor(now time.Time) float64 {
	if now.Sub(s.reportedAt) >= loadReportTTL {
		return 1
	}
	return Load{Work: s.reportedWork}.factor()
}

// UsualTime returns the median over the servers of a service of the usual time of a request; zero if it is
// not known.
func (t *Table) UsualTime(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.median(service)
}

// AllFull reports whether no server of a service can be expected to take a request now: each has refused
// one or failed a moment ago, or has reported that all its slots are in use.
func (t *Table) AllFull(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := false
	for _, s := range t.servers {
		if s.Service != service || !t.inService(s) {
			continue
		}
		full := s.Slots > 0 && s.reportedLoad >= s.Slots && now.Sub(s.reportedAt) < loadReportTTL
		if !full && !now.Before(s.cooldownUntil) {
			return false
		}
		known = true
	}
	return known
}
