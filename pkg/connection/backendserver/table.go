// Package backendserver is an entry host's view of the backend servers: which
// there are, how much this host may send to each, and which one to choose.
package backendserver

import (
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"time"
)

// Server is what the control leader says of one backend server.
type Server struct {
	ID          string
	Incarnation uint64
	Addr        string
	Zone        string
	Pool        string
	// Kind is "engine" or "service".
	Kind string
	// Class is "steady" or "cheap"; cheap servers may vanish.
	Class string
	// Versions holds the weight version of each rollout that is loaded.
	Versions map[string]uint64
	Leaving  bool
	// Running is what the server reports; it lags behind.
	Running int
	// Limit is the total of all hosts' shares.
	Limit int
}

// Counts are cumulative outcomes at one incarnation of a backend server.
type Counts struct {
	Served, Refused, Failed uint64
}

// Holding is what this host holds of a backend server.
type Holding struct {
	ID          string
	Incarnation uint64
	Share       int
	Running     int
	Limit       int
	Counts      Counts
	// Suspect holdings are not used until the leader has heard the server
	// again, since a server that was started again bears less.
	Suspect bool
}

// state is a backend server as this host uses it.
type state struct {
	Server
	share   int
	running int
	counts  Counts
	// latency is the moving average of a request's time in seconds.
	latency float64
	// failures counts the failures since the last success.
	failures int
	// ejectedUntil keeps a failing server out of the choice.
	ejectedUntil time.Time
	ejections    int
	// suspect is set when a connection broke.
	suspect bool
}

// Policy sets how a server is chosen.
type Policy struct {
	// Choice is "wait", "least" or "robin".
	Choice string
	// Affinity is the advantage of a server that holds the prefix, in
	// requests in flight.
	Affinity float64
	// Unshared ignores the shares: each server takes at most Fixed requests.
	IgnoreShares bool
	FixedLimit   int
}

// Limits of ejection.
const (
	ejectAfter  = 3
	minEjection = 500 * time.Millisecond
	maxEjection = 30 * time.Second
	// ejectMost is the largest part of a pool that may be ejected.
	maxEjectedFraction = 0.5
	latencyWindow      = 16
)

// Table holds the backend servers. It is safe for concurrent use.
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

// Number returns the number of the table in force.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Replace puts a new table in force. Servers that stand keep their counters,
// unless they were started again.
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
			old.share = 0 // it was granted for the former start
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

// SetShares puts this host's shares in force; servers that are not listed get
// none. answered lists the suspect servers that the leader has decided on.
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

// SetZonesOut names the availability zones that get no new work.
func (t *Table) SetZonesOut(out map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zonesOut = out
}

// Holdings returns what this host holds of every server.
func (t *Table) Holdings() []Holding {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Holding, 0, len(t.servers))
	for _, s := range t.servers {
		out = append(out, Holding{s.ID, s.Incarnation, s.share, s.running, s.Limit, s.counts, s.suspect})
	}
	return out
}

// Capacity returns the number of slots that this host has in a pool.
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

// Free returns the number of unused slots of this host in a pool.
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

// most is the number of requests that this host may have at a server.
func (t *Table) allowedInFlight(s *state) int {
	switch {
	case t.policy.IgnoreShares:
		return t.policy.FixedLimit
	case s.suspect:
		return 0
	}
	return s.share
}

// Want describes what a request needs of a server.
type Requirement struct {
	Pool string
	// Prefix is hashed to prefer the server that has it cached.
	Prefix string
	// Rollout and Version ask for loaded weights of at least that version.
	Rollout string
	Version uint64
	// Steady asks for a server that is not reclaimed at short notice, as long
	// as the pool has any.
	Steady bool
	// Avoid lists servers that the request has failed at.
	Avoid map[string]bool
}

// Slot is a place at a backend server. It must be released once.
type Slot struct {
	ID, Addr, Zone string
	Pool           string
	Incarnation    uint64
	taken          time.Time
}

// Take takes a slot at the best server that suits, or returns false.
func (t *Table) Take(w Requirement) (Slot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	s := t.choose(t.candidates(w, now), w)
	if s == nil {
		return Slot{}, false
	}
	s.running++
	return Slot{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Pool: s.Pool, Incarnation: s.Incarnation, taken: now}, true
}

// candidates lists the servers that have room for the request.
func (t *Table) candidates(w Requirement, now time.Time) []*state {
	steady := w.Steady && t.hasSteady(w.Pool)
	var out []*state
	for _, s := range t.servers {
		switch {
		case s.Pool != w.Pool, s.Leaving, t.zonesOut[s.Zone], w.Avoid[s.ID]:
		case s.running >= t.allowedInFlight(s), now.Before(s.ejectedUntil):
		case w.Version > 0 && s.Versions[w.Rollout] < w.Version:
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

// Seed draws a seed that differs between processes.
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
