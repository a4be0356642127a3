package backendserver

import (
	"time"
)

// Outcome is how the use of a slot ended.
type Outcome int

// Outcomes of a slot.
const (
	// Served means that the request succeeded.
	Served Outcome = iota
	// Refused means that the server rejected the request because of its load.
	Refused
	// Failed means that the response was wrong.
	Failed
	// ConnectionLost means that the connection was lost; the server may have
	// crashed.
	ConnectionLost
	// Abandoned means that the request ended for a reason unrelated to the server.
	Abandoned
)

// Release releases a slot and returns how long it was in use.
func (t *Table) Release(slot Slot, o Outcome) time.Duration {
	took := time.Since(slot.taken)
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[slot.ID]; s != nil {
		s.running--
		if s.Incarnation == slot.Incarnation {
			t.applyOutcome(s, o, took)
		}
	}
	return took
}

func (t *Table) applyOutcome(s *state, o Outcome, took time.Duration) {
	switch o {
	case Served:
		s.counts.Served++
		s.failures, s.ejections = 0, 0
		if s.latency == 0 {
			s.latency = took.Seconds()
		}
		s.latency += (took.Seconds() - s.latency) / latencyWindow
	case Refused:
		// The server takes no more than the requests now in flight. The leader is
		// informed of the refusal and decides on the next share.
		s.counts.Refused++
		s.share = min(s.share, s.running)
	case Failed:
		s.counts.Failed++
		t.recordFailure(s)
	case ConnectionLost:
		s.counts.Failed++
		s.suspect = true
	}
}

// recordFailure ejects a server after several consecutive failures, for longer each
// time, unless too much of the pool is ejected already.
func (t *Table) recordFailure(s *state) {
	s.failures++
	if s.failures < ejectAfter {
		return
	}
	now := time.Now()
	ejected, all := 1, 0
	for _, x := range t.servers {
		if x.Pool != s.Pool {
			continue
		}
		all++
		if x != s && now.Before(x.ejectedUntil) {
			ejected++
		}
	}
	if float64(ejected) > maxEjectedFraction*float64(all) {
		return
	}
	s.failures = 0
	s.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(s.ejections, 8)))
	s.ejections++
}
