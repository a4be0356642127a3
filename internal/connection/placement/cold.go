package placement

import "time"

// coldRateShare is the fraction of a cold server's request rate that all hosts
// together use. The remainder covers requests that are delayed in the network and
// hosts that do not know of each other.
const coldRateShare = 0.8

// coldBurst is the number of requests with which all hosts together begin at a cold server.
const coldBurst = 4

// cold reports whether a server is cold, and refills its credit if it is. A server
// that failed may have restarted without this host knowing, so it counts as cold
// for as long as a newly started one.
func (t *Table) cold(s *server, now time.Time) bool {
	if t.services == nil {
		return false
	}
	service := t.services.Service(s.Service)
	if service == nil || service.ColdRate <= 0 {
		return false
	}
	until := s.Cold
	if until.IsZero() {
		until = time.UnixMilli(s.ColdUntil) // a leader of an older version, or the state of a disk
	}
	reportedCold := now.Before(until.Add(coldMargin))
	assumedCold := now.Sub(s.coldSince) < service.ColdStart+coldMargin
	if !reportedCold && !assumedCold {
		return false
	}
	rate := service.ColdRate
	if t.services.Shared(s.Service) {
		rate /= 2 // the entry hosts take one half, the leader of the store group the other
	}
	t.refillCredit(s, rate, now)
	return true
}

// refillCredit adds credit at this host's share of the rate, up to one request
// plus the credit of an eighth of a second.
func (t *Table) refillCredit(s *server, rate float64, now time.Time) {
	hostRate := rate * coldRateShare / float64(t.hosts)
	if s.creditedAt.IsZero() {
		s.credit = min(1, coldBurst/float64(t.hosts))
	} else {
		s.credit += hostRate * now.Sub(s.creditedAt).Seconds()
	}
	s.creditedAt = now
	s.credit = min(s.credit, 1+hostRate/8)
}
