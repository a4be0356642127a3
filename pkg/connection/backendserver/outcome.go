package backendserver

import (
	"time"
)

// Outcome is how the use of a slot ended.
type Outcome int

// Outcomes of a slot.
const (
	// Served requests ended as they should.
	Served Outcome = iota
	// Refused requests were turned away by the server for its load.
	Refused
	// Failed requests got a wrong answer.
	Failed
	// Broken requests lost their connection; the server may have died.
	ConnectionLost
	// Abandoned requests ended for a reason that says nothing of the server.
	Abandoned
)

// Release gives a slot back.
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
		// The server bears no more than what runs there now. The leader, which
		// hears of the refusal, decides on the next share.
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

// fail ejects a server after several failures in a row, for longer each time,
// unless too much of the pool is ejected already.
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
