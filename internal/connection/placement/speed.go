package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
	"github.com/plantainbank/plantainbank/internal/process/roster"
)

const (
	// eventTimeWindow is the time constant of the average time between two events. Engines that share
	// their machine take 2.5 times as long for 0.6 s at a time, which must not look like a slow engine;
	// one that has turned slow, for seconds, shows within 0.7 s.
	eventTimeWindow = 2500 * time.Millisecond
	// maxEventTimeStep bounds the time that one sample counts for, so that the first sample after an idle
	// period does not replace the average.
	maxEventTimeStep = time.Second
	// minRelativeEventTime bounds the event time of a server relative to the median.
	minRelativeEventTime = 0.25
	// upgradeRatio is the event time of a server, as a fraction of that of the current one, up to which a
	// request continues there: requests that run beside it and noise make a difference of a fifth.
	upgradeRatio = 0.8
	// upgradeCost is the time that a request loses when it continues at another server: it connects, waits
	// to be admitted, and its tokens are read again. upgradeGain is the least time that it must win.
	upgradeCost, upgradeGain = 100 * time.Millisecond, 500 * time.Millisecond
	// maxUpgrades bounds the requests that one call of Upgrades moves, maxUpgradeCandidates those it looks at.
	maxUpgrades, maxUpgradeCandidates = 16, 64
)

// eventTime averages the time between two events of the requests at a server.
type eventTime struct {
	mean time.Duration
	at   time.Time
}

// add adds the mean time between the events of one request. Samples of the requests that run beside
// each other count by the time since the one before, not by their number.
func (e *eventTime) add(sample time.Duration, now time.Time) {
	if e.mean == 0 {
		e.mean, e.at = sample, now
		return
	}
	step := min(max(now.Sub(e.at), 0), maxEventTimeStep)
	e.at = now
	e.mean += time.Duration((1 - math.Exp(-step.Seconds()/eventTimeWindow.Seconds())) * float64(sample-e.mean))
}

// paceOf returns what servers are compared by, zero if it is not known.
func (t *Table) paceOf(s *server) time.Duration {
	if t.ByEventTime && s.events.mean > 0 {
		return s.events.mean
	}
	if t.ByEventTime {
		return 0
	}
	return s.pace
}

// relativePace returns the pace of a server as a multiple of the median, within bounds; 1 if
// it is not known.
func (t *Table) relativePace(s *server, median time.Duration) float64 {
	pace, least := t.paceOf(s), minRelativePace
	if t.ByEventTime {
		least = minRelativeEventTime
	}
	if pace == 0 || median == 0 {
		return 1
	}
	return min(maxRelativePace, max(least, float64(pace)/float64(median)))
}

// median returns the median pace of the servers of a service, or zero if none
// is known.
func (t *Table) median(service string) time.Duration {
	var all []time.Duration
	for _, s := range t.servers {
		if pace := t.paceOf(s); s.Service == service && pace > 0 {
			all = append(all, pace)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// RecordEventTime adds the mean time between the events of a request that is in flight.
func (t *Table) RecordEventTime(x Slot, sample time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[x.ID]; s != nil && s.Born == x.Born && sample > 0 {
		s.events.add(sample, now)
	}
}

// EventTimes returns the time between two events of the servers where it is known.
func (t *Table) EventTimes() map[departure.Incarnation]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[departure.Incarnation]time.Duration{}
	for _, s := range t.servers {
		if s.events.mean > 0 {
			out[departure.Incarnation{ID: s.ID, Born: s.Born}] = s.events.mean
		}
	}
	return out
}

// SetEventTimes stores the event times of another process. They are used for the servers that this process
// has no samples of.
func (t *Table) SetEventTimes(known map[departure.Incarnation]time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = known
	for _, s := range t.servers {
		if s.events.mean == 0 {
			s.events = t.knownEventTime(s.Instance)
		}
	}
}

func (t *Table) knownEventTime(x roster.Instance) eventTime {
	return eventTime{mean: t.known[departure.Incarnation{ID: x.ID, Born: x.Born}]}
}

// Running is a request that runs at a server and may continue at another one.
type Running struct {
	Slot Slot
	// Requirement is what the request needs of the server that it continues at.
	Requirement Requirement
	// Events is the number of events that it is expected to produce yet.
	Events float64
}

// Upgrade is a request that should continue at a faster server, whose slot is taken for it.
type Upgrade struct {
	// Index is the position of the request in the list.
	Index int
	Slot  Slot
	// Gain is the time that the request is expected to win.
	Gain time.Duration
}

// Upgrades takes slots at faster servers for the requests that would end the latest, and returns them.
//
// Load pattern: a quarter of the engines take half the time of the others. All steps begin at the same
// moment with more items than there are slots, one item in twelve takes five times as long as the others
// and its length is not known exactly, and the step ends with its longest item. So long items begin at
// slow engines, and fast ones are idle before the step ends.
func (t *Table) Upgrades(all []Running, now time.Time) []Upgrade {
	t.mu.Lock()
	defer t.mu.Unlock()
	type candidate struct {
		index int
		left  time.Duration
		own   time.Duration
	}
	var candidates []candidate
	for i, r := range all {
		s := t.servers[r.Slot.ID]
		if s == nil || s.Born != r.Slot.Born || s.events.mean == 0 {
			continue
		}
		left := time.Duration(r.Events * float64(s.events.mean))
		if left-upgradeCost < upgradeGain {
			continue
		}
		candidates = append(candidates, candidate{i, left, s.events.mean})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.index, b.index)) })
	candidates = candidates[:min(len(candidates), maxUpgradeCandidates)]
	if len(candidates) == 0 {
		return nil
	}
	targets := t.fastestFree()
	var out []Upgrade
	for _, c := range candidates {
		if len(out) == maxUpgrades {
			break
		}
		r := &all[c.index]
		for _, s := range targets {
			gain := time.Duration(r.Events*float64(c.own-s.events.mean)) - upgradeCost
			if float64(s.events.mean) > upgradeRatio*float64(c.own) || gain < upgradeGain {
				break
			}
			if s.ID == r.Slot.ID || !t.eligible(s, r.Requirement, now) {
				continue
			}
			out = append(out, Upgrade{c.index, t.take(s, r.Requirement, now), gain})
			break
		}
	}
	return out
}

// fastestFree returns the servers with a free slot whose event time is known, the fastest first.
func (t *Table) fastestFree() []*server {
	var out []*server
	for _, s := range t.servers {
		if s.events.mean > 0 && s.running < s.Slots {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.events.mean, b.events.mean), cmp.Compare(a.ID, b.ID))
	})
	return out
}
