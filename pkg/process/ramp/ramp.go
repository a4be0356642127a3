// Package ramp decides how much concurrent work a backend server is trusted
// with. A fresh server starts at one request. Its limit doubles after proven
// work, up to what it says it bears, and falls back when it turns cold.
package ramp

// Counts are cumulative results of one incarnation of a backend server, summed
// over all entry hosts.
type Counts struct {
	Served  uint64
	Refused uint64
	Failed  uint64
}

// First is the limit of a fresh backend server.
const InitialLimit = 1

// Requests at the current limit that prove it, and refusals that disprove it.
const (
	servedPerUnit = 3
	coldRefusals  = 3
)

// Ramp is the limit of one backend server. Use New.
type Ramp struct {
	// Incarnation is the server's own start number.
	Incarnation uint64
	// Limit is at least First and at most Bears.
	Limit int
	// Bears is what the server announces.
	Capacity int
	// base is what had been counted when Limit was last changed.
	base Counts
}

// New returns the ramp of an incarnation that has not worked yet.
func New(incarnation uint64, bears int) *Ramp {
	return &Ramp{Incarnation: incarnation, Limit: min(InitialLimit, bears), Capacity: bears}
}

// Announce takes in an announcement. A new incarnation starts afresh.
func (r *Ramp) Announce(incarnation uint64, bears int) {
	if incarnation > r.Incarnation {
		*r = *New(incarnation, bears)
		return
	}
	r.Capacity = bears
	r.Limit = min(r.Limit, bears)
}

// Adopt takes over a limit that an entry host knows from an earlier leader.
func (r *Ramp) Adopt(limit int) { r.Limit = min(max(r.Limit, limit), r.Capacity) }

// Observe takes in the counts so far and returns whether the limit changed.
func (r *Ramp) Observe(now Counts) bool {
	switch {
	case now.Refused >= r.base.Refused+coldRefusals || now.Failed >= r.base.Failed+coldRefusals:
		return r.move(max(InitialLimit, r.Limit/2), now)
	case now.Served >= r.base.Served+uint64(servedPerUnit*r.Limit):
		return r.move(min(r.Limit*2, r.Capacity), now)
	}
	return false
}

func (r *Ramp) move(limit int, now Counts) bool {
	changed := limit != r.Limit
	r.Limit = limit
	r.base = now
	return changed
}
