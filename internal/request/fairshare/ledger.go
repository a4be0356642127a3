package fairshare

import (
	"maps"
	"math"
	"time"
)

const (
	// decay is the time constant with which received service is forgotten: three steps of 4 s.
	decay = 12 * time.Second
	// retention is how long the count of a flow without service is kept.
	retention = 8 * decay
	// maxLead is the service by which a flow may count as ahead of the least served one, as a fraction of
	// the mean service of the flows: what an absent flow has lent is paid back up to this.
	maxLead = 0.5
)

// Flow is what capacity is divided among: a trainer.
type Flow struct{ Service, Workspace, Model string }

type count struct {
	seconds float64
	at      time.Time
}

func (c count) decayed(now time.Time) float64 {
	return c.seconds * math.Exp(-max(0, now.Sub(c.at)).Seconds()/decay.Seconds())
}

// Ledger counts the service that flows have received. It is not safe for concurrent use.
type Ledger struct{ counts map[Flow]count }

// New returns an empty ledger.
func New() *Ledger { return &Ledger{counts: map[Flow]count{}} }

// Charge counts engine time that a flow gets at a time.
func (l *Ledger) Charge(f Flow, work time.Duration, now time.Time) {
	c := l.counts[f]
	if c.at.After(now) {
		now = c.at
	}
	l.counts[f] = count{c.decayed(now) + work.Seconds(), now}
}

// Forget removes the counts of flows that got no service for a long time.
func (l *Ledger) Forget(now time.Time) {
	maps.DeleteFunc(l.counts, func(_ Flow, c count) bool { return now.Sub(c.at) > retention })
}

// Leads returns for each flow by how much service it is ahead of the least served one of its service.
func (l *Ledger) Leads(flows []Flow, now time.Time) []time.Duration {
	type total struct {
		least, sum float64
		n          int
	}
	totals := map[string]total{}
	served := make([]float64, len(flows))
	for i, f := range flows {
		served[i] = l.counts[f].decayed(now)
		t, known := totals[f.Service]
		if !known || served[i] < t.least {
			t.least = served[i]
		}
		t.sum += served[i]
		t.n++
		totals[f.Service] = t
	}
	out := make([]time.Duration, len(flows))
	for i, f := range flows {
		t := totals[f.Service]
		lead := min(served[i]-t.least, maxLead*t.sum/float64(t.n))
		out[i] = time.Duration(lead * float64(time.Second))
	}
	return out
}

// Round divides capacity among flows, by their position in a list.
type Round struct {
	served []time.Duration
	closed []bool
}

// NewRound begins a round with the service by which each flow is ahead.
func NewRound(leads []time.Duration) *Round {
	return &Round{append([]time.Duration(nil), leads...), make([]bool, len(leads))}
}

// Next returns the open flow with the least service, false if all are closed.
func (r *Round) Next() (int, bool) {
	best := -1
	for i, s := range r.served {
		if !r.closed[i] && (best < 0 || s < r.served[best]) {
			best = i
		}
	}
	return best, best >= 0
}

// Grant counts engine time that a flow will get.
func (r *Round) Grant(i int, work time.Duration) { r.served[i] += work }

// Close takes a flow without further demand out of the round.
func (r *Round) Close(i int) { r.closed[i] = true }

// Reopen puts all flows back into the round; their service still counts.
func (r *Round) Reopen() { clear(r.closed) }
