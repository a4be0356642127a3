package placement

import (
	"cmp"
	"math"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
)

// sameSpeed is the ratio of the pace of two servers up to which they count as equally fast: the requests
// that run beside each other make an engine up to a sixth slower.
const sameSpeed = 1.15

// scored is a server that may get a request, its cost, and the reading time that is saved there.
type scored struct {
	*server
	cost  float64
	saved time.Duration
}

// chooseCached returns the server that has the most of the request's prompt cached, the fullest of several,
// among those where it ends no later than at the best one, or nil if there is none. Two things must hold of it:
//
//   - Its pace is about that of the best one, or the events that are left take longer there by less than
//     the reading time that is saved.
//   - Its load does not exceed the level that all servers reach with the requests that wait now. Up to that
//     level it does not matter in which order servers are filled, so a group may fill the servers that have
//     its prompt first.
func (t *Table) chooseCached(req *Requirement, best *server, median time.Duration, cached []scored) *server {
	if len(cached) == 0 {
		return nil
	}
	var out scored
	bestPace := t.relativePace(best, median)
	level := max(req.Level, t.loadCost(best, median))
	for _, x := range cached {
		if t.loadCost(x.server, median) > level {
			continue
		}
		if pace := t.relativePace(x.server, median); pace > sameSpeed*bestPace &&
			time.Duration(req.Events*(pace-bestPace)*float64(median)) > x.saved {
			continue
		}
		if out.server == nil || cmp.Or(cmp.Compare(x.saved, out.saved), cmp.Compare(x.running, out.running), cmp.Compare(out.cost, x.cost),
			cmp.Compare(out.ID, x.ID)) > 0 {
			out = x
		}
	}
	return out.server
}

// loadCost is the part of the cost of a server that depends on its load and its pace.
func (t *Table) loadCost(s *server, median time.Duration) float64 {
	return float64(s.running+1) * t.relativePace(s, median)
}

// levelSteps is the number of bisections for Level, which make the result exact to a hundredth of a request.
const levelSteps = 12

// Level returns the load, as a cost, up to which the servers fill when a number of waiting requests are
// placed at those with the lowest cost; +Inf if there are no more free slots than requests.
func (t *Table) Level(req Requirement, waiting int, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	median := t.median(req.Service)
	type fill struct {
		running, slots int
		speed          float64
	}
	all := make([]fill, 0, len(t.servers))
	free, high := 0, 0.0
	for _, s := range t.servers {
		if s.Slots == 0 || s.running >= s.Slots || !t.usable(s, req, now) {
			continue
		}
		pace := t.relativePace(s, median)
		all = append(all, fill{s.running, s.Slots, 1 / pace})
		free += s.Slots - s.running
		high = max(high, float64(s.Slots)*pace)
	}
	if free <= waiting {
		return math.Inf(1)
	}
	low := 0.0
	for range levelSteps {
		level, room := (low+high)/2, 0
		for _, x := range all {
			room += max(0, min(x.slots, int(level*x.speed))-x.running)
		}
		if room < waiting {
			low = level
		} else {
			high = level
		}
	}
	return high
}

// Free returns the incarnations of the servers that may get a request now and have a free slot, once for
// each free slot. It returns false if there are more than limit such slots.
func (t *Table) Free(req Requirement, limit int, now time.Time) ([]departure.Incarnation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []departure.Incarnation
	for _, s := range t.servers {
		if s.Slots == 0 || s.running >= s.Slots || !t.eligible(s, req, now) {
			continue
		}
		for range s.Slots - s.running {
			if len(out) == limit {
				return nil, false
			}
			out = append(out, departure.Incarnation{ID: s.ID, Born: s.Born})
		}
	}
	return out, true
}
