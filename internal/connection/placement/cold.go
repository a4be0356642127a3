package placement

import "time"

// hostShare is the part of what a cold server bears that all hosts together
// use; the rest covers requests that are late on their way and hosts that do
// not know of each other.
const coldRateShare = 0.8

// cold reports whether a server is cold, and gives it the credit that has
// grown since. A server whose connection broke may have started anew without
// this host knowing, so it counts as cold for as long as a new one is.
func (t *Table) cold(s *server, now time.Time) bool {
	if t.services == nil {
		return false
	}
	service := t.services.Service(s.Service)
	if service == nil || service.ColdRate <= 0 {
		return false
	}
	reportedCold := now.Before(time.UnixMilli(s.ColdUntil).Add(coldMargin))
	assumedCold := now.Sub(s.coldSince) < service.ColdStart+coldMargin
	if !reportedCold && !assumedCold {
		return false
	}
	t.refillCredit(s, service.ColdRate, now)
	return true
}

// accrue grows the credit at this host's share of the rate, up to one request
// above what a second brings.
func (t *Table) refillCredit(s *server, rate float64, now time.Time) {
	hostRate := rate * coldRateShare / float64(t.hosts)
	if s.creditedAt.IsZero() {
		s.credit = 1
	} else {
		s.credit += hostRate * now.Sub(s.creditedAt).Seconds()
	}
	s.creditedAt = now
	s.credit = min(s.credit, 1+hostRate/8)
}
