package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// Periods, weights and limits of the choice.
const (
	// restLeast and restMost bound the rest of a server whose connection
	// broke; it doubles with each failure. A crashed server is away for about
	// 4 s.
	minCooldown = 500 * time.Millisecond
	maxCooldown = 4 * time.Second
	// busyRest follows an answer that says "full": a few requests end in it.
	fullCooldown = 120 * time.Millisecond
	// loadingRest follows a refusal while weights load, which takes 0.9 s.
	loadingCooldown = 250 * time.Millisecond
	// lostMost is the requests in a row without a whole answer that make a
	// server count as broken: a crash ends all that run, a spoilt answer one.
	interruptedThreshold = 2
	// paceWeight is the weight of one sample in the moving average.
	paceWeight = 0.25
	// paceLeast and paceMost bound how much a pace counts against the others.
	minRelativePace, maxRelativePace = 0.7, 8.0
	// slowPace is the pace, in typical ones, from which a request is moved: slow
	// servers take four times as long, full ones a sixth longer. fastPace is the
	// slowest pace of a server that it is moved to.
	slowPace, fastPace = 1.8, 1.3
	// preferSlack is the cost that a preferred server may have above the best.
	preferSlack = 2.0
	// zoneCost is the cost of leaving the zone, and connectCost that of a new
	// connection, in requests. With 12 calls a second from 66 hosts each host calls
	// every 5 s, and servers close connections after 10 s: at 0.3 the noise of the
	// paces spread the calls of a host over all servers, each over a new connection.
	crossZoneCost, connectCost = 0.4, 1.0
	// coldMargin is added to a cold period: the clocks of hosts differ.
	coldMargin = 400 * time.Millisecond
)

// Outcome is how the use of a slot ended.
type Outcome string

// Outcomes of a slot.
const (
	Served Outcome = "served"
	// Failed requests got an error of the server.
	Failed Outcome = "failed"
	// Full servers said that they did not run the request.
	Full Outcome = "full"
	// Loading servers did not run it since they load weights.
	Loading Outcome = "loading"
	// Broken servers took no connection.
	ConnectFailed Outcome = "broken"
	// Lost means that no whole answer came over a connection that was open: the
	// server may be sound.
	Interrupted Outcome = "lost"
	// Misdirected requests met another instance.
	Misdirected Outcome = "misdirected"
	// Abandoned requests were given up by their caller.
	Abandoned Outcome = "abandoned"
)

// server is one start of a backend server, as this host knows it.
type server struct {
	roster.Instance
	running int
	// pace is the moving average of the time for a unit of work.
	pace time.Duration
	// restUntil ends a rest, failures counts the breaks since the last answer.
	cooldownUntil time.Time
	failures      int
	// served is when the server last answered, lost counts the requests since
	// then that got no whole answer.
	lastServed  time.Time
	interrupted int
	// probing is true while the only request after a rest runs.
	probing bool
	// credit and credited are the requests that a cold server may get.
	credit     float64
	creditedAt time.Time
	// coldSince is when a break made the server count as cold, zero if not.
	coldSince time.Time
	// reported is the load that other hosts cause, as the server told last.
	reportedLoad int
	reportedAt   time.Time
}

// Table holds the backend servers. It is safe for concurrent use.
type Table struct {
	// Zone is the host's own availability zone; empty means no preference.
	Zone string
	// Overage and Slack bound the requests a second to a cold server.
	Overage, Slack float64
	// Connected reports whether there is an open connection to an address;
	// nil means that it does not matter.
	Connected func(addr string) bool

	mu       sync.Mutex
	servers  map[string]*server
	zonesOut map[string]bool
	services *routing.Table
	// hosts is the number of hosts that send to the same servers.
	hosts int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{servers: map[string]*server{}, hosts: 1} }

// Update takes in what control knows.
func (t *Table) Update(all []roster.Instance, zonesOut map[string]bool, services *routing.Table, hosts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zonesOut, t.services, t.hosts = zonesOut, services, max(1, hosts)
	seen := map[string]bool{}
	for _, x := range all {
		if x.State == roster.Gone {
			continue
		}
		seen[x.ID] = true
		s := t.servers[x.ID]
		if s == nil || s.Born != x.Born {
			s = &server{}
			t.servers[x.ID] = s
		}
		known := s.Weights
		s.Instance = x
		for model, v := range known {
			if v > x.Weights[model] {
				s.setVersion(model, v)
			}
		}
	}
	for id := range t.servers {
		if !seen[id] {
			delete(t.servers, id)
		}
	}
}

// learn replaces the map, which may be shared with the roster's copy.
func (s *server) setVersion(model string, version uint64) {
	out := map[string]uint64{}
	for m, v := range s.Weights {
		out[m] = v
	}
	out[model] = version
	s.Weights = out
}

// Want describes what a request needs.
type Requirement struct {
	Service string
	// Model and MinVersion ask for weights; an empty model asks for none.
	Model      string
	MinVersion uint64
	// Prefer names a server that has the prompt.
	Prefer string
	// Avoid lists servers that the request has failed at.
	Avoid map[string]bool
	// Strict never exceeds a server's slots; otherwise the least loaded server
	// gets the request even if it is full.
	Strict bool
	// Desperate takes a server that rests: all others do too, and a server that
	// may be back is better than none.
	IgnoreCooldown bool
}

// Slot is a place at a server. It must be given back with Done.
type Slot struct {
	ID, Addr string
	Born     int64
	// Taken is when the slot was taken.
	Taken time.Time
	// Running is the number of requests that this host has at the server.
	Running int
	// Cold tells that the server was cold.
	Cold bool
}

// Take takes a slot at the best server, or reports that there is none now.
func (t *Table) Take(w Requirement, now time.Time) (Slot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.choose(w, now)
	if s == nil {
		return Slot{}, false
	}
	s.running++
	s.probing = s.failures > 0
	cold := t.cold(s, now)
	if cold {
		s.credit--
	}
	return Slot{ID: s.ID, Addr: s.Addr, Born: s.Born, Taken: now, Running: s.running, Cold: cold}, true
}

func (t *Table) choose(w Requirement, now time.Time) *server {
	typical := t.medianPace(w.Service)
	var best, preferred *server
	least, preferredCost := 0.0, 0.0
	for _, s := range t.servers {
		if !t.eligible(s, w, now) {
			continue
		}
		cost := t.cost(s, typical, now)
		if best == nil || cost < least || cost == least && s.ID < best.ID {
			best, least = s, cost
		}
		if s.ID == w.Prefer {
			preferred, preferredCost = s, cost
		}
	}
	if preferred != nil && preferredCost <= least+preferSlack {
		return preferred
	}
	return best
}

// fits reports whether a server may get a request now.
func (t *Table) eligible(s *server, w Requirement, now time.Time) bool {
	switch {
	case s.Service != w.Service, s.State != roster.Ready, t.zonesOut[s.Zone], w.Avoid[s.ID]:
	case w.Model != "" && s.Weights[w.Model] < w.MinVersion:
	case !w.IgnoreCooldown && (now.Before(s.cooldownUntil) || s.failures > 0 && s.probing):
	case w.Strict && s.Slots > 0 && s.running >= s.Slots:
	case t.cold(s, now) && s.credit < 1:
	default:
		return true
	}
	return false
}

// Serves reports whether any server could ever take the request, now or after
// a rest. Versions do not count, since they only grow.
func (t *Table) Serves(w Requirement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if s.Service == w.Service && s.State == roster.Ready && !t.zonesOut[s.Zone] {
			return true
		}
	}
	return false
}

func (t *Table) cost(s *server, typical time.Duration, now time.Time) float64 {
	relative := 1.0
	if s.pace > 0 && typical > 0 {
		relative = min(maxRelativePace, max(minRelativePace, float64(s.pace)/float64(typical)))
	}
	running := s.running
	if now.Sub(s.reportedAt) < loadReportTTL {
		running = max(running, s.reportedLoad)
	}
	cost := float64(running+1) * relative
	if t.Zone != "" && s.Zone != t.Zone {
		cost += crossZoneCost
	}
	if t.Connected != nil && !t.Connected(s.Addr) {
		cost += connectCost
	}
	return cost
}

// reportFresh is how long a load that a server told counts.
const loadReportTTL = 300 * time.Millisecond

// typicalPace is the median pace of a service.
func (t *Table) medianPace(service string) time.Duration {
	var all []time.Duration
	for _, s := range t.servers {
		if s.Service == service && s.pace > 0 {
			all = append(all, s.pace)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// Report takes in the load that a server told in an answer.
func (t *Table) RecordLoad(id string, busy int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil {
		s.reportedLoad, s.reportedAt = busy, now
	}
}

// Learn takes in a weight version that a server's answer named. Answers may cross,
// so it only grows, unless the caller is sure that the server has an older one.
func (t *Table) RecordVersion(x Slot, model string, version uint64, sure bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[x.ID]; s != nil && s.Born == x.Born && (s.Weights[model] < version || sure) {
		s.setVersion(model, version)
	}
}

// Pace takes in the time for a unit of work that a request at a server takes
// just now.
func (t *Table) RecordPace(x Slot, pace time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[x.ID]; s != nil && s.Born == x.Born && pace > 0 {
		s.addPace(pace)
	}
}

// ShouldMove reports whether a request that takes pace for a unit of work at a server
// should go on at another one: it takes far longer than is typical, and a server
// that is as fast as the others has a free slot.
func (t *Table) ShouldMove(x Slot, w Requirement, pace time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	typical := t.medianPace(w.Service)
	if typical == 0 || float64(pace) < slowPace*float64(typical) {
		return false
	}
	for _, s := range t.servers {
		if s.ID != x.ID && float64(s.pace) <= fastPace*float64(typical) && t.eligible(s, w, now) {
			return true
		}
	}
	return false
}

// Done gives a slot back. pace is the time for a unit of work, zero if it is
// not known.
func (t *Table) Done(x Slot, o Outcome, pace time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[x.ID]
	if s == nil || s.Born != x.Born {
		return
	}
	s.running = max(0, s.running-1)
	s.probing = false
	if pace > 0 {
		s.addPace(pace)
	}
	s.applyOutcome(x, o, now)
}

func (s *server) addPace(pace time.Duration) {
	if s.pace == 0 {
		s.pace = pace
		return
	}
	s.pace += time.Duration(paceWeight * float64(pace-s.pace))
}

// settle lets a server rest or clears its past.
func (s *server) applyOutcome(x Slot, o Outcome, now time.Time) {
	switch o {
	case Served:
		s.failures, s.cooldownUntil, s.interrupted, s.lastServed = 0, time.Time{}, 0, now
	case Interrupted:
		// A server that answers others meanwhile is sound.
		if s.lastServed.After(x.Taken) {
			return
		}
		if s.interrupted++; s.interrupted >= interruptedThreshold {
			s.startCooldown(now)
		}
	case Full:
		s.cooldownUntil = later(s.cooldownUntil, now.Add(fullCooldown))
	case Loading:
		s.cooldownUntil = later(s.cooldownUntil, now.Add(loadingCooldown))
	case ConnectFailed, Misdirected:
		s.startCooldown(now)
	}
}

// breakDown lets a server rest. The requests that break together count as one
// failure.
func (s *server) startCooldown(now time.Time) {
	if now.Before(s.cooldownUntil) {
		return
	}
	s.failures++
	s.coldSince = now
	cooldown := minCooldown << min(s.failures-1, 8)
	s.cooldownUntil = now.Add(min(cooldown, maxCooldown))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
