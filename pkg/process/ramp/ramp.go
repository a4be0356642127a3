// Package ramp implements slow start for the concurrency limit of a backend server. A
// fresh server starts at one request. Its limit doubles after enough requests have been
// served, up to the capacity that it announces. The limit is halved after refusals or
// failures, which show that the server is cold again.
package ramp

// Counts are the cumulative outcomes at one incarnation of a backend server, summed over
// all entry hosts.
type Counts struct {
	Served  uint64
	Refused uint64
	Failed  uint64
}

// InitialLimit is the concurrency limit of a fresh backend server.
const InitialLimit = 1

// Thresholds of limit changes: the requests served per unit of the limit after which it
// is doubled, and the refusals or failures after which it is halved.
const (
	servedPerSlot    = 3
	backoffThreshold = 3
)

// Ramp is the concurrency limit of one backend server. Use New to create one.
type Ramp struct {
	// Incarnation identifies one start of the server; later starts have higher numbers.
	Incarnation uint64
	// Limit is the current limit, from InitialLimit to Capacity.
	Limit int
	// Capacity is the maximum concurrency that the server announces.
	Capacity int
	// base holds the counts at the last time a threshold was reached.
	base Counts
}

// New returns the ramp of an incarnation that has not served requests yet.
func New(incarnation uint64, capacity int) *Ramp {
	return &Ramp{Incarnation: incarnation, Limit: min(InitialLimit, capacity), Capacity: capacity}
}

// Announce applies an announcement. A new incarnation starts at InitialLimit.
func (r *Ramp) Announce(incarnation uint64, capacity int) {
	if incarnation > r.Incarnation {
		*r = *New(incarnation, capacity)
		return
	}
	r.Capacity = capacity
	r.Limit = min(r.Limit, capacity)
}

// Adopt raises the limit to one that an entry host got from an earlier leader, up to
// Capacity.
func (r *Ramp) Adopt(limit int) { r.Limit = min(max(r.Limit, limit), r.Capacity) }

// Observe adjusts the limit to the cumulative counts and reports whether it changed.
func (r *Ramp) Observe(total Counts) bool {
	switch {
	case total.Refused >= r.base.Refused+backoffThreshold || total.Failed >= r.base.Failed+backoffThreshold:
		return r.setLimit(max(InitialLimit, r.Limit/2), total)
	case total.Served >= r.base.Served+uint64(servedPerSlot*r.Limit):
		return r.setLimit(min(r.Limit*2, r.Capacity), total)
	}
	return false
}

func (r *Ramp) setLimit(limit int, total Counts) bool {
	changed := limit != r.Limit
	r.Limit = limit
	r.base = total
	return changed
}
