package placement

import (
	"sync"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
	"github.com/plantainbank/plantainbank/internal/connection/ratelimit"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// Periods, weights and limits of the placement.
const (
	// minCooldown and maxCooldown bound the cooldown of a failed server, which
	// doubles with each failure. A crashed server is down for about 4 s.
	minCooldown = 500 * time.Millisecond
	maxCooldown = 4 * time.Second
	// fullCooldown follows a refusal because the server is full; in that time a
	// few of its requests finish.
	fullCooldown = 120 * time.Millisecond
	// interruptedThreshold is the number of consecutive interrupted requests after
	// which a server counts as failed: a crash interrupts all requests in flight,
	// a corrupt response only one.
	interruptedThreshold = 2
	// paceWeight is the weight of one sample in the moving average of the pace.
	paceWeight = 0.25
	// minRelativePace and maxRelativePace bound the pace of a server relative to
	// the median, as used in its cost.
	minRelativePace, maxRelativePace = 0.7, 8.0
	// slowPace is the pace, as a multiple of the median, at which a request is
	// moved: slow servers take four times as long, full ones a sixth longer.
	// fastPace is the slowest pace of a server that it is moved to.
	slowPace, fastPace = 1.8, 1.3
	// preferSlack is the cost by which a preferred server may exceed the lowest.
	preferSlack = 2.0
	// crossZoneCost is the cost of leaving the zone, and connectCost that of a new
	// connection, both in requests. With 12 calls per second from 66 hosts each host
	// calls every 5 s, and servers close connections after 10 s. With a
	// connectCost of 0.3 the noise in the measured paces spread the calls of a host
	// over all servers, each call over a new connection.
	crossZoneCost, connectCost = 0.4, 1.0
	// fastLoadCost is the part by which each running request makes another one slower.
	fastLoadCost = 0.02
	// coldMargin is added to a cold period, because announcements are delayed and rounded.
	coldMargin = 400 * time.Millisecond
)

// Outcome is how the use of a slot ended.
type Outcome string

// Outcomes of a slot.
const (
	// Served means that the server responded without an error.
	Served Outcome = "served"
	// Failed means that the server responded with an error.
	Failed Outcome = "failed"
	// Full means that the server was full and did not run the request.
	Full Outcome = "full"
	// Loading means that the server did not run the request because it loads
	// weights.
	Loading Outcome = "loading"
	// ConnectFailed means that the server accepted no connection.
	ConnectFailed Outcome = "broken"
	// Interrupted means that no complete response arrived over an open connection;
	// the server may be healthy.
	Interrupted Outcome = "lost"
	// Misdirected means that the request reached another instance.
	Misdirected Outcome = "misdirected"
	// Abandoned means that the caller gave up the request.
	Abandoned Outcome = "abandoned"
)

// server is this host's state of one incarnation of a backend server.
type server struct {
	roster.Instance
	running int
	// pace is the moving average of the time per unit of work.
	pace time.Duration
	// events is the time between two events of the requests at the server.
	events eventTime
	// cooldownUntil ends a cooldown. failures counts the failures since the last
	// served request; those during a cooldown are not counted.
	cooldownUntil time.Time
	failures      int
	// lastServed is when the last request was served. interrupted counts the
	// interrupted requests since then.
	lastServed  time.Time
	interrupted int
	// probing is true while the single request after a cooldown is in flight.
	probing bool
	// credit is the number of requests that a cold server may get now, creditedAt
	// the time of the last refill.
	credit     float64
	creditedAt time.Time
	// coldSince is the time of the last failure, after which the server counts as
	// cold; zero if it has not failed.
	coldSince time.Time
	// loading holds the models for which the server has refused requests since it last
	// started one.
	loading map[string]*loadingModel
	// reportedLoad is the load in the server's last report, which includes the
	// requests of other hosts.
	reportedLoad int
	reportedAt   time.Time
	// reportedWork is the report's Load.Work.
	reportedWork float64
}

// Table is the set of backend servers that requests are placed at. It is safe for
// concurrent use.
type Table struct {
	// Zone is the host's own availability zone; empty means no preference.
	Zone string
	// Connected reports whether there is an open connection to an address. If it
	// is nil, connections are ignored.
	Connected func(addr string) bool

	// Limits holds the rate limits of the servers.
	Limits *ratelimit.Book
	// Departures holds the servers that have said that they leave. They get no requests.
	Departures *departure.Set
	// ByEventTime compares servers by the time between two events of a stream where it is known.
	// The pace also contains the wait for the first event, which depends on the load.
	ByEventTime bool

	mu      sync.Mutex
	servers map[string]*server
	// known holds the event times that another process has measured, by incarnation.
	known    map[departure.Incarnation]time.Duration
	zonesOut map[string]bool
	services *routing.Table
	// hosts is the number of hosts that send to the same servers.
	hosts int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Limits: ratelimit.NewBook(), Departures: departure.NewSet(), servers: map[string]*server{}, hosts: 1}
}

// Update replaces the set of servers, the zones that get no requests, the
// configuration of the services and the number of hosts. A server keeps its state
// until it restarts.
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
			s = &server{events: t.knownEventTime(x)}
			t.servers[x.ID] = s
		}
		known := s.Weights
		s.Instance = x
		for model, v := range x.Weights {
			if v > known[model] {
				delete(s.loading, model)
			}
		}
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
	t.Departures.Update(all, time.Now())
	t.Limits.Retain(func(k ratelimit.Key) bool { return t.servers[k.ID] != nil && t.servers[k.ID].Born == k.Born })
}

// setVersion stores a version in a new map, because the roster may share the
// current one.
func (s *server) setVersion(model string, version uint64) {
	out := map[string]uint64{}
	for m, v := range s.Weights {
		out[m] = v
	}
	out[model] = version
	s.Weights = out
}

// Take takes a slot at the server with the lowest cost, or returns false if no
// server is eligible now.
func (t *Table) Take(req Requirement, now time.Time) (Slot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.choose(req, now)
	if s == nil {
		return Slot{}, false
	}
	return t.take(s, req, now), true
}

// take takes a slot at a server that may get the request.
func (t *Table) take(s *server, req Requirement, now time.Time) Slot {
	s.running++
	s.probing = s.failures > 0
	if l := s.loading[req.Model]; l != nil {
		l.probing = true
	}
	cold := t.cold(s, now)
	if cold {
		s.credit--
	}
	t.Limits.Spend(s.key(), now)
	return Slot{ID: s.ID, Addr: s.Addr, Born: s.Born, Service: s.Service, Software: s.Software, Model: req.Model, Taken: now, Running: s.running, Cold: cold}
}

func (t *Table) choose(req Requirement, now time.Time) *server {
	median := t.median(req.Service)
	var best, preferred, limited *server
	least, preferredCost, leastLimited := 0.0, 0.0, 0.0
	stale := false
	var cached []scored
	for _, s := range t.servers {
		if !t.usable(s, req, now) {
			continue
		}
		cost := t.cost(s, median, now)
		if req.Fast {
			cost = t.relativePace(s, median) + fastLoadCost*float64(s.running)
		}
		if !t.Limits.Allows(s.key(), req.Priority, now) {
			if d := t.Limits.Delay(s.key(), now); d.Wait == 0 && (limited == nil || cost < leastLimited) {
				limited, leastLimited, stale = s, cost, d.Stale
			}
			continue
		}
		if best == nil || cost < least || cost == least && s.ID < best.ID {
			best, least = s, cost
		}
		if req.Saved != nil && !req.Fast {
			if saved := req.Saved(s.ID, s.Born); saved > 0 {
				cached = append(cached, scored{s, cost, saved})
			}
		}
		if s.ID == req.Prefer {
			preferred, preferredCost = s, cost
		}
	}
	if limited != nil && (best == nil || stale || leastLimited+limitedCost < least) {
		t.askPermit(limited, req, now)
	}
	if s := t.chooseCached(&req, best, median, cached); s != nil {
		return s
	}
	if preferred != nil && !req.Fast && req.Saved == nil && preferredCost <= least+preferSlack {
		return preferred
	}
	return best
}

// eligible reports whether a server may get a request now.
func (t *Table) eligible(s *server, req Requirement, now time.Time) bool {
	return t.usable(s, req, now) && t.Limits.Allows(s.key(), req.Priority, now)
}

// usable reports whether a server may get a request now, apart from its rate limit.
func (t *Table) usable(s *server, req Requirement, now time.Time) bool {
	switch {
	case s.Service != req.Service, !t.inService(s), req.Avoid[s.ID], !req.allowsSoftware(s):
	case req.Model != "" && s.Weights[req.Model] < req.MinVersion:
	case !req.IgnoreCooldown && (now.Before(s.cooldownUntil) || s.failures > 0 && s.probing):
	case s.refusesModel(req.Model, now):
	case req.Strict && s.Slots > 0 && s.running >= s.Slots:
	case t.cold(s, now) && s.credit < 1:
	default:
		return true
	}
	return false
}

// inService reports whether a server may get new requests at all.
func (t *Table) inService(s *server) bool {
	return s.State == roster.Ready && !t.zonesOut[s.Zone] && !t.Departures.Leaves(departure.Incarnation{ID: s.ID, Born: s.Born})
}

// Serves reports whether any server can take the request now or later, for example
// after a cooldown. Versions are not considered, because they only increase.
func (t *Table) Serves(req Requirement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if s.Service == req.Service && t.inService(s) && req.allowsSoftware(s) {
			return true
		}
	}
	return false
}

// Available reports whether any server may get a request now.
func (t *Table) Available(req Requirement, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if t.eligible(s, req, now) {
			return true
		}
	}
	return false
}

// Slots returns the number of slots of the servers of a service that can take requests now.
func (t *Table) Slots(service string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if s.Service == service && t.inService(s) && !now.Before(s.cooldownUntil) {
			n += s.Slots
		}
	}
	return n
}

func (t *Table) cost(s *server, median time.Duration, now time.Time) float64 {
	relative := t.relativePace(s, median)
	running := s.running
	if now.Sub(s.reportedAt) < loadReportTTL {
		running = max(running, s.reportedLoad)
	}
	cost := float64(running+1) * relative * s.workFactor(now)
	if t.Zone != "" && s.Zone != t.Zone {
		cost += crossZoneCost
	}
	if t.Connected != nil && !t.Connected(s.Addr) {
		cost += connectCost
	}
	return cost
}

// loadReportTTL is how long a load that a server has reported is used.
const loadReportTTL = 300 * time.Millisecond

// RecordLoad stores the load that a server has reported in a response.
func (t *Table) RecordLoad(id string, x Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil {
		s.reportedLoad, s.reportedWork, s.reportedAt = x.Busy, x.Work, now
	}
}

// RecordVersion stores a weight version that a server has reported in a response.
// Responses may arrive out of order, so the version only increases, unless force is
// set: the caller then knows that the server has an older one.
func (t *Table) RecordVersion(x Slot, model string, version uint64, force bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[x.ID]; s != nil && s.Born == x.Born && (s.Weights[model] < version || force) {
		s.setVersion(model, version)
	}
}

// RecordPace adds a sample of the time per unit of work from a request that is in
// flight at a server.
func (t *Table) RecordPace(x Slot, pace time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[x.ID]; s != nil && s.Born == x.Born && pace > 0 {
		s.addPace(pace)
	}
}

// ShouldMove reports whether a request that takes pace per unit of work should be
// continued at another server: it takes far longer than the median, and a server
// whose pace is not far above the median may take the request.
func (t *Table) ShouldMove(x Slot, req Requirement, pace time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	median := t.median(req.Service)
	if median == 0 || float64(pace) < slowPace*float64(median) {
		return false
	}
	for _, s := range t.servers {
		if s.ID != x.ID && float64(s.pace) <= fastPace*float64(median) && t.eligible(s, req, now) {
			return true
		}
	}
	return false
}

// Done releases a slot. pace is the time per unit of work, or zero if it is not
// known.
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

// applyOutcome clears the failures of a server or starts a cooldown.
func (s *server) applyOutcome(x Slot, o Outcome, now time.Time) {
	if l := s.loading[x.Model]; l != nil && o != Loading {
		l.probing = false // a request that was started has removed it
	}
	switch o {
	case Served:
		s.failures, s.cooldownUntil, s.interrupted, s.lastServed = 0, time.Time{}, 0, now
	case Interrupted:
		// A server that has served another request in the meantime is healthy.
		if s.lastServed.After(x.Taken) {
			return
		}
		if s.interrupted++; s.interrupted >= interruptedThreshold {
			s.startCooldown(now)
		}
	case Full:
		s.cooldownUntil = later(s.cooldownUntil, now.Add(fullCooldown))
	case Loading:
		s.startLoading(x.Model, now)
	case ConnectFailed, Misdirected:
		s.startCooldown(now)
	}
}

// startCooldown starts the cooldown of a failed server. Requests that fail while a
// cooldown lasts belong to the same failure and do not extend it.
func (s *server) startCooldown(now time.Time) {
	if now.Before(s.cooldownUntil) {
		return
	}
	s.failures++
	s.coldSince = now
	cooldown := minCooldown << min(s.failures-1, 8)
	s.cooldownUntil = now.Add(min(cooldown, maxCooldown))
}

// Forgive ends the cooldowns of servers that have failed since a time. It is for failures of this
// host's links, which say nothing about the servers.
func (t *Table) Forgive(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		s.interrupted = 0
		if !s.coldSince.IsZero() && !s.coldSince.Before(since) {
			s.failures, s.probing, s.cooldownUntil, s.coldSince = 0, false, time.Time{}, time.Time{}
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
