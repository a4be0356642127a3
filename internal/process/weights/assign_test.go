package weights

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
)

// steps are the expected tokens of a step of eight trainers that share engines: groups, items
// of a group and events of an item.
var steps = map[string]float64{"slip": 14 * 8 * 7, "proof": 16 * 8 * 10, "price": 8 * 16 * 10, "stall": 11 * 8 * 7,
	"item": 15 * 8 * 10, "qty": 16 * 8 * 10, "urdu": 6 * 16 * 6, "layout": 8 * 16 * 10}

// sharedEngines returns engines in five zones that run all models in version 1.
func sharedEngines(n int, models []string) []roster.Instance {
	var out []roster.Instance
	for i := range n {
		w := map[string]uint64{}
		for _, m := range models {
			w[m] = 1
		}
		out = append(out, roster.Instance{ID: fmt.Sprintf("e%03d", i), Zone: fmt.Sprint("z", i%5), State: roster.Ready, Born: 1, Weights: w})
	}
	return out
}

// fleet plays loads of engines: an order shows 1.2 s after it was given.
type fleet struct {
	engines []roster.Instance
	planner *Planner
	demand  Demand
	now     time.Time
	loads   map[string]pendingLoad
	orders  int
}

type pendingLoad struct {
	order Order
	done  time.Time
}

func newFleet(n int, work map[string]float64) *fleet {
	models := slices.Sorted(maps.Keys(work))
	f := &fleet{engines: sharedEngines(n, models), planner: New(), now: time.Unix(0, 0), loads: map[string]pendingLoad{},
		demand: Demand{Published: map[string]uint64{}, Work: work}}
	for _, m := range models {
		f.demand.Published[m] = 1
	}
	return f
}

// tick plays 50 ms.
func (f *fleet) tick() {
	f.now = f.now.Add(50 * time.Millisecond)
	for i, e := range f.engines {
		l, ok := f.loads[e.ID]
		if !ok || f.now.Before(l.done) {
			continue
		}
		w := maps.Clone(e.Weights)
		w[l.order.Model] = l.order.Version
		f.engines[i].Weights = w
		delete(f.loads, e.ID)
	}
	for _, o := range f.planner.Next(f.now, f.demand, f.engines) {
		f.orders++
		f.loads[o.Instance.ID] = pendingLoad{o, f.now.Add(1200 * time.Millisecond)}
		f.planner.RecordOutcome(o, Accepted, f.now)
	}
}

// serving counts the engines that can run the newest step of a model now.
func (f *fleet) serving(model string) int {
	n := 0
	for _, e := range f.engines {
		if l, busy := f.loads[e.ID]; busy && l.order.Model == model {
			continue
		}
		if e.Weights[model]+maxLag >= f.demand.Published[model] {
			n++
		}
	}
	return n
}

func (f *fleet) followers(model string) int {
	n := 0
	for _, all := range f.planner.assigned {
		if slices.Contains(all, model) {
			n++
		}
	}
	return n
}

// bearable returns the part of all work that the engines bear if the items of each model go to
// those of its followers that have the least to do.
func (f *fleet) bearable(work map[string]float64) float64 {
	total := 0.0
	for _, w := range work {
		total += w
	}
	load, placed := map[instanceKey]float64{}, map[string]map[instanceKey]float64{}
	const parts, rounds = 600, 10
	for range rounds {
		for m, w := range work {
			for k, x := range placed[m] {
				load[k] -= x
			}
			placed[m] = map[instanceKey]float64{}
			for range parts {
				k := f.leastBusy(m, load)
				x := w / total * float64(len(f.engines)) / parts
				load[k] += x
				placed[m][k] += x
			}
		}
	}
	return 1 / slices.Max(slices.Collect(maps.Values(load)))
}

func (f *fleet) leastBusy(model string, load map[instanceKey]float64) instanceKey {
	var best instanceKey
	for k, models := range f.planner.assigned {
		if slices.Contains(models, model) && (best.id == "" || load[k] < load[best] || load[k] == load[best] && k.id < best.id) {
			best = k
		}
	}
	return best
}

// TestEightTrainersShareEngines plays eight unequal trainers that publish a version every 4 s.
// Every model has an engine that can run its newest step at all times, and the engines bear 0.85
// of work that fills them all. With one model on each engine, the same number for each, 10 engines
// bear 0.65.
func TestEightTrainersShareEngines(t *testing.T) {
	for _, n := range []int{10, 13, 97} {
		f := newFleet(n, steps)
		models := slices.Sorted(maps.Keys(steps))
		for step := range 800 {
			for i, m := range models {
				if step%80 == 10*i {
					f.demand.Published[m]++
				}
			}
			f.tick()
			for _, m := range models {
				if step > 100 && f.serving(m) == 0 {
					t.Fatalf("%d engines, at %v: none can run the newest step of %s", n, f.now.Sub(time.Unix(0, 0)), m)
				}
			}
		}
		for _, m := range models {
			if f.followers(m) < minFollowers {
				t.Errorf("%d engines: %s has %d followers", n, m, f.followers(m))
			}
		}
		if got := f.bearable(steps); got < 0.85 {
			t.Errorf("%d engines bear %.2f of the work, want 0.85", n, got)
		}
		if limit := 10 * 8 * (n + 16); f.orders > limit {
			t.Errorf("%d engines: %d orders in 40 s, want at most %d", n, f.orders, limit)
		}
	}
}

// TestAssignmentsFollowTheWork changes the fleet and the work: the followers adapt, and small
// changes of the work move nothing.
func TestAssignmentsFollowTheWork(t *testing.T) {
	f := newFleet(20, map[string]float64{"a": 100, "b": 100, "c": 200})
	f.tick()
	before := maps.Clone(f.planner.assigned)
	want := func(what string, counts map[string]int) {
		t.Helper()
		f.tick()
		for m, n := range counts {
			if got := f.followers(m); got != n {
				t.Errorf("%s: %s has %d followers, want %d", what, m, got, n)
			}
		}
	}
	want("at the start", map[string]int{"a": 5, "b": 5, "c": 10})
	f.demand.Work = map[string]float64{"a": 104, "b": 98, "c": 203}
	want("steps differ a little", map[string]int{"a": 5, "b": 5, "c": 10})
	for k, models := range f.planner.assigned {
		if !slices.Equal(models, before[k]) {
			t.Errorf("engine %s moved from %v to %v", k.id, before[k], models)
		}
	}
	f.demand.Work = map[string]float64{"a": 300, "b": 100, "c": 100}
	want("a grows", map[string]int{"a": 12, "b": 5, "c": 5})
	f.engines = f.engines[:8]
	f.demand.Work = map[string]float64{"a": 100, "b": 100, "c": 200}
	f.tick()
	if f.followers("a") < 2 || f.followers("b") < 2 || f.followers("c") < 4 {
		t.Errorf("after a loss of engines the followers are a %d, b %d, c %d", f.followers("a"), f.followers("b"), f.followers("c"))
	}
	for _, e := range f.engines {
		if len(f.planner.assigned[instanceKey{e.ID, 1}]) == 0 {
			t.Errorf("engine %s is idle", e.ID)
		}
	}
	f.demand.Published["d"] = 0
	f.demand.Work = nil
	f.tick()
	for _, m := range []string{"a", "b", "c"} {
		if n := f.followers(m); n < 3 || n > 4 {
			t.Errorf("while the work is not known %s has %d of 8 engines", m, n)
		}
	}
}

// TestModelsShareFastEngines gives three models of the same work to 45 engines, of which the first twelve take
// half the time of the others. It guards against engines that are counted by number: a model with three fast
// engines then has 0.8 of the capacity of one with six.
func TestModelsShareFastEngines(t *testing.T) {
	speed := func(id string) float64 {
		if id < "e012" {
			return 2.2
		}
		return 1
	}
	f := newFleet(45, map[string]float64{"a": 1, "b": 1, "c": 1})
	f.planner.Next(f.now, f.demand, f.engines)
	capacity := func() map[string]float64 {
		out := map[string]float64{}
		for _, e := range f.engines {
			for _, m := range f.planner.assigned[instanceKey{e.ID, e.Born}] {
				out[m] += speed(e.ID)
			}
		}
		return out
	}
	f.demand.Speeds = map[string]float64{}
	for _, e := range f.engines {
		f.demand.Speeds[e.ID] = speed(e.ID)
	}
	f.planner.Next(f.now, f.demand, f.engines)
	got := capacity()
	if least, most := min(got["a"], got["b"], got["c"]), max(got["a"], got["b"], got["c"]); most > 1.15*least {
		t.Errorf("the models have a capacity of %v", got)
	}
	before := fmt.Sprint(f.planner.assigned)
	for id := range f.demand.Speeds {
		f.demand.Speeds[id] *= 1.03
	}
	if f.planner.Next(f.now, f.demand, f.engines); fmt.Sprint(f.planner.assigned) != before {
		t.Error("noise of a few percent moved models to other engines")
	}
}
