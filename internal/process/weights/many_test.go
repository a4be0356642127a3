package weights

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// fleetOf returns engines in three zones that run the same models, and what trainers need of them.
func fleetOf(engines, models int) (all []roster.Instance, d Demand) {
	d = Demand{Published: map[string]uint64{}, Work: map[string]float64{}}
	loaded := map[string]uint64{}
	for m := range models {
		name := fmt.Sprintf("m%d", m)
		d.Published[name], d.Work[name], loaded[name] = 2, float64(1+m%3), 1
	}
	for i := range engines {
		all = append(all, roster.Instance{ID: fmt.Sprintf("e%04d", i), Service: "s", Zone: fmt.Sprint("z", i%3), Slots: 8, State: roster.Ready,
			Born: 1, Weights: loaded})
	}
	return all, d
}

// TestPlanOfManyEngines guards against a plan that holds the control goroutine for longer than the leader's lease: the
// leader is then replaced by another one, which plans as well.
func TestPlanOfManyEngines(t *testing.T) {
	lease := quorum.FastFailoverTiming().Lease
	for _, c := range []struct{ engines, models int }{{100, 1}, {100, 8}, {300, 1}, {300, 8}} {
		all, d := fleetOf(c.engines, c.models)
		best := time.Hour
		for range 3 { // other tests run beside this one
			p, start := New(), time.Now()
			if orders := p.Next(start, d, all); len(orders) != parallelLoads(c.engines) {
				t.Errorf("%d engines, %d models: %d orders, want %d", c.engines, c.models, len(orders), parallelLoads(c.engines))
			}
			best = min(best, time.Since(start))
		}
		if best >= lease {
			t.Errorf("%d engines, %d models: a plan takes %v, the lease is %v", c.engines, c.models, best, lease)
		}
	}
}

// TestManyEnginesFollowTheWork checks that engines are divided by the work of the models also where loads are not
// computed after each change.
func TestManyEnginesFollowTheWork(t *testing.T) {
	all, d := fleetOf(300, 8)
	p := New()
	now := time.Unix(1000, 0)
	for range 40 { // the engines are relieved a part at a time
		p.Next(now, d, all)
	}
	a := p.newAssignment(d, all)
	load, _ := a.fill()
	if most := slices.Max(load); most > 1.25 {
		t.Errorf("an engine has %.2f times its work to do", most)
	}
	for _, m := range a.models {
		if a.capacity[m] < a.share[m]-shareSlack {
			t.Errorf("model %s is followed by %.1f engines, its share is %.1f", m, a.capacity[m], a.share[m])
		}
	}
}
