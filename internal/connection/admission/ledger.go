package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/service/fleet"
)

const (
	// reportTTL is how long a report counts; hosts report every 0.8 s.
	reportTTL = 2500 * time.Millisecond
	// evaluateInterval is the minimum time between two evaluations of a service.
	evaluateInterval = 200 * time.Millisecond
	// minFull is the least number of refusals as full in the hosts' windows that count as pressure.
	minFull = 10
	// minUse is the demand as a part of the measured capacity from which a service may be under
	// pressure. The measured time of a call includes the way to the server.
	minUse = 0.8
	// beginAfter is how long a service must look overloaded before calls are refused. In that time each
	// host has polled once, so that the served rate is complete. With 1 s a flood reached the servers for
	// 0.3 s longer.
	beginAfter = 800 * time.Millisecond
	// adoptPeriod is how long after its election a leader takes over pressure that hosts report, and
	// adoptWait how long hosts then keep their shares: until each has reported its demand.
	adoptPeriod, adoptWait = 3 * time.Second, 1700 * time.Millisecond
	// raiseInterval and lowerInterval are the times after a change of the capacity until it is raised
	// or lowered. A change reaches all hosts within one poll, and after another one the reports tell
	// of nothing before it.
	raiseInterval, lowerInterval = 1200 * time.Millisecond, 2600 * time.Millisecond
	// endAfter is how long all calls must be admitted until pressure ends.
	endAfter = 3 * time.Second
	// maxShares bounds the shares that hosts are told; the flows with the largest demand go first.
	maxShares = 64
)

// Changes of the capacity in one step.
const (
	// If more than failedHigh of the admitted calls are taken by no server, the capacity is lowered to
	// what they took; below failedLow it is raised. Slots without a queue that are 80% in use on
	// average already refuse 5%.
	failedHigh, failedLow = 0.05, 0.015
	// fullUse is the use of the slots above which the capacity is raised by minGrowth only; below, it is
	// raised by the unused part.
	fullUse, minGrowth = 0.9, 0.05
)

// report is the latest report of a host about a service.
type report struct {
	*fleet.PlainLoad
	at time.Time
}

// state is the leader's state of one service.
type state struct {
	reports     map[string]report
	evaluatedAt time.Time
	// suspectSince is since when the service looks overloaded, zero if it does not.
	suspectSince time.Time
	// pressed is true while the service is under pressure.
	pressed   bool
	since     time.Time
	capacity  float64
	steppedAt time.Time
	// reportedAt is the time of the last event.
	reportedAt time.Time
	// calmSince is since when no flow is limited, zero if one is.
	calmSince time.Time
	// keepUntil is until when hosts keep the shares that the leader before has named.
	keepUntil time.Time
	// shares are those of the limited flows.
	shares []Share
}

// EventKind is the kind of an event.
type EventKind string

// Kinds of events of a service under pressure.
const (
	Began   EventKind = "began"
	Divided EventKind = "divided"
	Ended   EventKind = "ended"
)

// dividedInterval is the minimum time between two events of the kind Divided.
const dividedInterval = 10 * time.Second

// Event is what happened to a service, for the log.
type Event struct {
	Service string
	Kind    EventKind
	// Capacity and Demand are in calls per second, Limited is the number of limited flows.
	Capacity, Demand float64
	Limited          int
	// Adopted is true if the leader before had begun.
	Adopted bool
	// Lasted is the duration of a pressure that has ended.
	Lasted time.Duration
}

// Ledger adds up the reports of the hosts and divides the capacity of the services under pressure.
type Ledger struct {
	since    time.Time
	services map[string]*state
	events   []Event
}

// NewLedger returns an empty ledger of a leader that was elected at a time.
func NewLedger(since time.Time) *Ledger {
	return &Ledger{since: since, services: map[string]*state{}}
}

// Report replaces what a host has reported.
func (l *Ledger) Report(host string, loads []*fleet.PlainLoad, now time.Time) {
	for _, s := range l.services {
		delete(s.reports, host)
	}
	for _, x := range loads {
		if x.Service == "" || x.Spanms == 0 {
			continue
		}
		s := l.services[x.Service]
		if s == nil {
			s = &state{reports: map[string]report{}}
			l.services[x.Service] = s
		}
		s.reports[host] = report{x, now}
	}
}

// total is the sum of the reports about a service. Rates are in calls per second.
type total struct {
	demand         map[Flow]float64
	begun          float64
	served, failed float64
	// fullCount and freeCount are the attempts refused as full, and the responses that tell of a free
	// slot, in the hosts' windows.
	fullCount, freeCount float64
	// busy is the used part of the slots, negative if no response has told it.
	busy     float64
	mean     time.Duration
	capacity float64
}

func (s *state) total(now time.Time) total {
	t := total{demand: map[Flow]float64{}}
	served, took, responses := 0.0, 0.0, 0.0
	for host, r := range s.reports {
		if now.Sub(r.at) >= reportTTL {
			delete(s.reports, host)
			continue
		}
		span := float64(r.Spanms) / 1000
		for _, f := range r.Flows {
			rate := float64(f.Begun) / span
			t.demand[Flow{f.Workspace, int(f.Priority)}] += rate
			t.begun += rate
		}
		t.served += float64(r.Served) / span
		t.failed += float64(r.Failed) / span
		t.fullCount += float64(r.Full)
		t.freeCount += float64(r.Free)
		served += float64(r.Served)
		took += float64(r.Served) * float64(r.Meanus) * float64(time.Microsecond)
		if r.Busy > 0 || r.Free > 0 {
			n := float64(r.Served) + float64(r.Full)
			t.busy += float64(r.Busy) / 100 * n
			responses += n
		}
		if c := r.Capacity; c > 0 && !math.IsInf(c, 0) {
			t.capacity = max(t.capacity, c)
		}
	}
	if served > 0 {
		t.mean = time.Duration(took / served)
	}
	if t.busy /= responses; responses == 0 {
		t.busy = -1
	}
	return t
}

// overloaded reports whether the servers cannot take the demand: they refuse calls as full, hardly a
// response tells of a free slot, and the demand exceeds what the slots can take. Servers that are
// slow for a moment, or a burst, meet at most some of that.
func (t total) overloaded(slots int) bool {
	return slots > 0 && t.fullCount >= minFull && t.fullCount >= t.freeCount && t.mean > 0 &&
		t.begun >= minUse*float64(slots)/t.mean.Seconds()
}

// Pressures returns the services under pressure. slots returns the slots of the usable servers of a
// service.
func (l *Ledger) Pressures(slots func(service string) int, now time.Time) []*fleet.Pressure {
	var out []*fleet.Pressure
	for _, name := range slices.Sorted(maps.Keys(l.services)) {
		s := l.services[name]
		if now.Sub(s.evaluatedAt) >= evaluateInterval {
			s.evaluatedAt = now
			l.evaluate(name, s, slots(name), now)
		}
		if s.pressed {
			out = append(out, s.message(name, now))
		} else if len(s.reports) == 0 {
			delete(l.services, name)
		}
	}
	return out
}

// Events returns the changes since the last call.
func (l *Ledger) Events() []Event {
	out := l.events
	l.events = nil
	return out
}

func (s *state) message(name string, now time.Time) *fleet.Pressure {
	p := &fleet.Pressure{Service: name, Capacity: s.capacity, Keep: now.Before(s.keepUntil)}
	if p.Keep {
		return p
	}
	for _, x := range s.shares {
		p.Shares = append(p.Shares, &fleet.PlainShare{Workspace: x.Workspace, Priority: int32(x.Priority), Demand: x.Demand, Rate: x.Rate})
	}
	return p
}

func (l *Ledger) evaluate(name string, s *state, slots int, now time.Time) {
	t := s.total(now)
	if !s.pressed {
		l.begin(name, s, t, slots, now)
		return
	}
	if now.Before(s.keepUntil) {
		return
	}
	s.step(t, slots, now)
	s.divide(t)
	if now.Sub(s.reportedAt) >= dividedInterval {
		s.reportedAt = now
		l.events = append(l.events, Event{Service: name, Kind: Divided, Capacity: s.capacity, Demand: t.begun, Limited: len(s.shares)})
	}
	switch {
	case len(s.shares) > 0 || t.failedPart() > failedHigh:
		s.calmSince = time.Time{}
	case s.calmSince.IsZero():
		s.calmSince = now
	case now.Sub(s.calmSince) >= endAfter:
		l.events = append(l.events, Event{Service: name, Kind: Ended, Capacity: s.capacity, Demand: t.begun, Lasted: now.Sub(s.since)})
		*s = state{reports: s.reports, evaluatedAt: now}
	}
}

// begin decides whether pressure begins.
func (l *Ledger) begin(name string, s *state, t total, slots int, now time.Time) {
	adopted := t.capacity > 0 && now.Sub(l.since) < adoptPeriod
	switch {
	case adopted:
		s.capacity, s.keepUntil = t.capacity, now.Add(adoptWait)
	case !t.overloaded(slots):
		s.suspectSince = time.Time{}
		return
	case s.suspectSince.IsZero():
		s.suspectSince = now
		return
	case now.Sub(s.suspectSince) < beginAfter:
		return
	default:
		s.capacity = max(t.served, float64(slots)/t.mean.Seconds())
	}
	s.pressed, s.since, s.steppedAt, s.reportedAt = true, now, now, now
	s.divide(t)
	l.events = append(l.events, Event{Service: name, Kind: Began, Capacity: s.capacity, Demand: t.begun, Limited: len(s.shares), Adopted: adopted})
}

// failedPart returns the part of the admitted calls that no server took.
func (t total) failedPart() float64 {
	if t.failed == 0 {
		return 0
	}
	return t.failed / (t.served + t.failed)
}

// step changes the capacity. Calls that no server took are the only reason to lower it: servers that
// are lost or slow show by them that they cannot take what they get. It is raised while there are none,
// the faster the fewer slots are in use. One call per slot and second is the least, so that servers
// that are back are noticed; slots may be zero, as after a loss of all servers.
func (s *state) step(t total, slots int, now time.Time) {
	factor, wait := 1.0, raiseInterval
	switch part := t.failedPart(); {
	case part > failedHigh:
		factor, wait = min(1, max(1-part, t.served/s.capacity)), lowerInterval
	case part > failedLow:
		return
	case t.busy >= 0:
		factor += max(minGrowth, fullUse-t.busy)
	default:
		factor += minGrowth
	}
	if now.Sub(s.steppedAt) >= wait {
		s.capacity, s.steppedAt = max(factor*s.capacity, float64(slots), 1), now
	}
}

// divide computes the shares of the flows that get less than they ask for.
func (s *state) divide(t total) {
	s.shares = slices.DeleteFunc(Divide(s.capacity, t.demand), func(x Share) bool { return x.Rate >= 0.999*x.Demand })
	slices.SortFunc(s.shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), compareFlows(a.Flow, b.Flow))
	})
	s.shares = s.shares[:min(len(s.shares), maxShares)]
}
