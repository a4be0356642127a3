// Package backendserver is an entry host's view of the backend servers: which
// servers exist, how many requests this host may send to each, and which server
// gets a request.
package backendserver

import (
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"time"
)

// Server is the control leader's description of one backend server.
type Server struct {
	ID          string
	Incarnation uint64
	Addr        string
	Zone        string
	Pool        string
	// Kind is "engine" or "service".
	Kind string
	// Class is "steady" or "cheap"; cheap servers may be reclaimed at short notice.
	Class string
	// Versions maps each rollout to its loaded weight version.
	Versions map[string]uint64
	Leaving  bool
	// Running is the number of requests in flight that the server reports. It lags
	// behind.
	Running int
	// Limit is the concurrency limit of the server. The shares of all hosts together
	// do not exceed it.
	Limit int
}

// Counts are the cumulative outcomes at one incarnation of a backend server.
type Counts struct {
	Served, Refused, Failed uint64
}

// Holding is this host's share and use of a backend server.
type Holding struct {
	ID          string
	Incarnation uint64
	Share       int
	Running     int
	Limit       int
	Counts      Counts
	// Suspect is set after a lost connection. The server gets no requests until the
	// leader has received new announcements from it, because a restarted server has
	// less capacity.
	Suspect bool
}

// state is this host's state of a backend server.
type state struct {
	Server
	share   int
	running int
	counts  Counts
	// latency is the moving average of the duration of a request in seconds.
	latency float64
	// failures counts the failures since the last success.
	failures int
	// ejectedUntil is the time until which the server gets no requests because of
	// failures.
	ejectedUntil time.Time
	ejections    int
	// suspect is set when a connection is lost.
	suspect bool
}

// Policy sets how a server is chosen.
type Policy struct {
	// Choice is "wait", "least" or "robin".
	Choice string
	// Affinity is the advantage of the server that has the prefix cached, as a
	// multiple of its latency.
	Affinity float64
	// IgnoreShares limits the requests in flight at each server to FixedLimit
	// instead of this host's share.
	IgnoreShares bool
	FixedLimit   int
}

// Limits of ejection, and the window of the latency average.
const (
	ejectAfter  = 3
	minEjection = 500 * time.Millisecond
	maxEjection = 30 * time.Second
	// maxEjectedFraction is the largest fraction of a pool that may be ejected.
	maxEjectedFraction = 0.5
	latencyWindow      = 16
)

// Table is the set of backend servers. It is safe for concurrent use.
type Table struct {
	policy     Policy
	mu         sync.Mutex
	servers    map[string]*state
	zonesOut   map[string]bool
	revision   uint64
	roundRobin uint64
	rng        *rand.Rand
}

// New returns an empty table.
func New(policy Policy, seed uint64) *Table {
	return &Table{policy: policy, servers: map[string]*state{}, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Revision returns the revision of the current table.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Replace applies a new table. Servers that were known before keep their counts,
// unless they have restarted.
func (t *Table) Replace(revision uint64, servers []Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = revision
	seen := map[string]bool{}
	for _, s := range servers {
		seen[s.ID] = true
		old := t.servers[s.ID]
		if old == nil {
			t.servers[s.ID] = &state{Server: s}
			continue
		}
		if old.Incarnation != s.Incarnation {
			old.counts, old.latency, old.failures, old.ejections = Counts{}, 0, 0, 0
			old.ejectedUntil = time.Time{}
			old.share = 0 // it was granted for the previous incarnation
		}
		old.Server = s
	}
	for id, s := range t.servers {
		if !seen[id] && s.running == 0 {
			delete(t.servers, id)
		} else if !seen[id] {
			s.Leaving = true
		}
	}
}

// SetShares applies this host's shares; servers that are not listed get none.
// decided lists the suspect servers whose suspicion the leader has taken into account
// in these shares; the table no longer treats them as suspect.
func (t *Table) SetShares(shares map[string]int, decided map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.servers {
		s.share = shares[id]
		if decided[id] {
			s.suspect = false
		}
	}
}

// SetZonesOut sets the availability zones that get no new requests.
func (t *Table) SetZonesOut(out map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zonesOut = out
}

// Holdings returns this host's share and use of every server.
func (t *Table) Holdings() []Holding {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Holding, 0, len(t.servers))
	for _, s := range t.servers {
		out = append(out, Holding{s.ID, s.Incarnation, s.share, s.running, s.Limit, s.counts, s.suspect})
	}
	return out
}

// Capacity returns the number of requests that this host may have in flight in a
// pool.
func (t *Table) Capacity(pool string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if s.Pool == pool {
			n += t.allowedInFlight(s)
		}
	}
	return n
}

// Free returns the number of this host's unused slots in a pool.
func (t *Table) Free(pool string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if s.Pool == pool {
			n += max(0, t.allowedInFlight(s)-s.running)
		}
	}
	return n
}

// allowedInFlight returns the number of requests that this host may have in flight at
// a server.
func (t *Table) allowedInFlight(s *state) int {
	switch {
	case t.policy.IgnoreShares:
		return t.policy.FixedLimit
	case s.suspect:
		return 0
	}
	return s.share
}

// Requirement describes what a request needs of a server.
type Requirement struct {
	Pool string
	// Prefix is hashed to prefer the server that has it cached; empty means no
	// preference.
	Prefix string
	// Rollout and Version are the weights that must be loaded, at Version or newer.
	Rollout string
	Version uint64
	// Steady excludes servers that may be reclaimed at short notice, as long as the
	// pool has others.
	Steady bool
	// Avoid lists the servers at which the request has failed.
	Avoid map[string]bool
}

// Slot is the permission to send one request to a backend server. It must be
// released exactly once.
type Slot struct {
	ID, Addr, Zone string
	Pool           string
	Incarnation    uint64
	taken          time.Time
}

// Take takes a slot at the best server that meets the requirement, or returns false
// if there is none.
func (t *Table) Take(r Requirement) (Slot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	s := t.choose(t.candidates(r, now), r)
	if s == nil {
		return Slot{}, false
	}
	s.running++
	return Slot{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Pool: s.Pool, Incarnation: s.Incarnation, taken: now}, true
}

// candidates returns the servers that meet the requirement and have a free slot.
func (t *Table) candidates(r Requirement, now time.Time) []*state {
	steady := r.Steady && t.hasSteady(r.Pool)
	var out []*state
	for _, s := range t.servers {
		switch {
		case s.Pool != r.Pool, s.Leaving, t.zonesOut[s.Zone], r.Avoid[s.ID]:
		case s.running >= t.allowedInFlight(s), now.Before(s.ejectedUntil):
		case r.Version > 0 && s.Versions[r.Rollout] < r.Version:
		case steady && s.Class == "cheap":
		default:
			out = append(out, s)
		}
	}
	return out
}

func (t *Table) hasSteady(pool string) bool {
	for _, s := range t.servers {
		if s.Pool == pool && s.Class != "cheap" && !s.Leaving && !t.zonesOut[s.Zone] {
			return true
		}
	}
	return false
}

// Seed returns a random seed that differs between processes.
func Seed() uint64 { return maphash.Bytes(maphash.MakeSeed(), nil) }

// Size returns the number of servers of a pool that are not leaving.
func (t *Table) Size(pool string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if s.Pool == pool && !s.Leaving && !t.zonesOut[s.Zone] {
			n++
		}
	}
	return n
}
