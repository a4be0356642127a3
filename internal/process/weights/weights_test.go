package weights

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
)

func engines(n int, version uint64) []roster.Instance {
	var out []roster.Instance
	for i := range n {
		out = append(out, roster.Instance{ID: fmt.Sprintf("e%02d", i), State: roster.Ready, Born: 1,
			Weights: map[string]uint64{"m": version}})
	}
	return out
}

// TestRolloutOfPublishedVersions simulates a trainer that publishes a version every 4 s
// and 11 engines whose loads show 1.5 s after the order: they load in 0.9 s and announce
// it up to 1.2 s later. At most two engines load at once, none falls more than three
// versions behind, and each version takes at most one order per engine.
func TestRolloutOfPublishedVersions(t *testing.T) {
	all := engines(11, 1)
	p := New()
	now := time.Unix(0, 0)
	published := map[string]uint64{"m": 1}
	type load struct {
		version uint64
		done    time.Time
	}
	loads := map[string]load{}
	orders := 0
	for step := range 800 {
		now = now.Add(50 * time.Millisecond)
		if step%80 == 0 {
			published["m"]++
		}
		for i := range all {
			if l, ok := loads[all[i].ID]; ok && !now.Before(l.done) {
				all[i].Weights = map[string]uint64{"m": l.version}
				delete(loads, all[i].ID)
			}
		}
		for _, o := range p.Next(now, Demand{Published: published}, all) {
			orders++
			loads[o.Instance.ID] = load{o.Version, now.Add(1500 * time.Millisecond)}
			p.RecordOutcome(o, Accepted, now)
		}
		if p.loadingCount(now) > 2 {
			t.Fatalf("%d engines load at once, want at most 2", p.loadingCount(now))
		}
	}
	oldest := published["m"]
	for _, e := range all {
		oldest = min(oldest, e.Weights["m"])
	}
	if oldest+3 < published["m"] {
		t.Fatalf("an engine has version %d, the newest is %d", oldest, published["m"])
	}
	if orders > 11*int(published["m"]-1) {
		t.Fatalf("%d orders for %d versions on 11 engines", orders, published["m"]-1)
	}
}

func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		after   time.Duration
		again   bool
	}{
		{Accepted, 3 * time.Second, false},
		{Accepted, 6 * time.Second, true},
		{Unknown, time.Second, false},
		{Unknown, 3 * time.Second, true},
		{Busy, 300 * time.Millisecond, false},
		{Busy, time.Second, true},
		{Refused, time.Second, true},
	} {
		p := New()
		all := engines(1, 1)
		published := map[string]uint64{"m": 3}
		now := time.Unix(0, 0)
		o := p.Next(now, Demand{Published: published}, all)[0]
		p.RecordOutcome(o, c.outcome, now)
		if got := len(p.Next(now.Add(c.after), Demand{Published: published}, all)) > 0; got != c.again {
			t.Errorf("%s after %v: order repeated: %v", c.outcome, c.after, got)
		}
	}
}

func TestRestartedEngineGetsOrderAtOnce(t *testing.T) {
	p := New()
	all := engines(1, 1)
	published := map[string]uint64{"m": 2}
	now := time.Unix(0, 0)
	p.RecordOutcome(p.Next(now, Demand{Published: published}, all)[0], Accepted, now)
	all[0].Born = 2
	if len(p.Next(now.Add(100*time.Millisecond), Demand{Published: published}, all)) != 1 {
		t.Fatal("no order for a restarted engine while the order to its earlier incarnation is pending")
	}
}

// TestThreeTrainersShareTheEngines simulates three trainers that each publish a version
// every 4.5 s over 48 engines with all three models, spread over three zones. Each model
// is assigned a third of the engines, at least 6 engines have its newest version when
// the next one is published, and a new leader moves at most 6 engines to another model.
func TestThreeTrainersShareTheEngines(t *testing.T) {
	models := []string{"m0", "m1", "m2"}
	var all []roster.Instance
	for i := range 48 {
		all = append(all, roster.Instance{ID: fmt.Sprintf("e%02d", i), Zone: fmt.Sprint("z", i%3), State: roster.Ready, Born: 1,
			Weights: map[string]uint64{"m0": 1, "m1": 1, "m2": 1}})
	}
	p := New()
	now := time.Unix(0, 0)
	published := map[string]uint64{"m0": 1, "m1": 1, "m2": 1}
	type load struct {
		model   string
		version uint64
		done    time.Time
	}
	loads := map[int]load{}
	index := map[string]int{}
	for i := range all {
		index[all[i].ID] = i
	}
	countAtLeast := func(model string, version uint64) int {
		n := 0
		for _, e := range all {
			if e.Weights[model] >= version {
				n++
			}
		}
		return n
	}
	for step := range 900 {
		now = now.Add(50 * time.Millisecond)
		for i, m := range models {
			if step%90 == 30*i {
				if published[m] > 2 && countAtLeast(m, published[m]) < 6 {
					t.Fatalf("at %v %d engines have version %d of %s, want at least 6", now.Sub(time.Unix(0, 0)), countAtLeast(m, published[m]), published[m], m)
				}
				published[m]++
			}
		}
		for i, l := range loads {
			if !now.Before(l.done) {
				w := map[string]uint64{}
				for k, v := range all[i].Weights {
					w[k] = v
				}
				w[l.model] = l.version
				all[i].Weights = w
				delete(loads, i)
			}
		}
		for _, o := range p.Next(now, Demand{Published: published}, all) {
			loads[index[o.Instance.ID]] = load{o.Model, o.Version, now.Add(1500 * time.Millisecond)}
			p.RecordOutcome(o, Accepted, now)
		}
	}
	count := map[string]int{}
	for k, models := range p.assigned {
		if len(models) != 1 {
			t.Fatalf("engine %s follows %v, want one model", k.id, models)
		}
		count[models[0]]++
	}
	if count["m0"] != 16 || count["m1"] != 16 || count["m2"] != 16 {
		t.Fatalf("engines assigned by model: %v, want 16 each", count)
	}
	next := New()
	next.Next(now, Demand{Published: published}, all)
	moved := 0
	for k, m := range p.assigned {
		if !slices.Equal(next.assigned[k], m) {
			moved++
		}
	}
	if moved > 6 {
		t.Fatalf("a new leader moved %d of 48 engines, want at most 6", moved)
	}
}

func TestAssignmentsFollowLosses(t *testing.T) {
	var all []roster.Instance
	for i := range 12 {
		all = append(all, roster.Instance{ID: fmt.Sprintf("e%02d", i), State: roster.Ready, Born: 1, Weights: map[string]uint64{"a": 1, "b": 1}})
	}
	p := New()
	published := map[string]uint64{"a": 2, "b": 2}
	p.Next(time.Unix(0, 0), Demand{Published: published}, all)
	var left []roster.Instance
	for _, e := range all {
		if !slices.Contains(p.assigned[instanceKey{e.ID, 1}], "a") || len(left) == 0 {
			left = append(left, e)
		}
	}
	p.Next(time.Unix(9, 0), Demand{Published: published}, left)
	count := map[string]int{}
	for k, models := range p.assigned {
		if len(models) == 0 {
			t.Fatalf("engine %s follows no model", k.id)
		}
		for _, m := range models {
			count[m]++
		}
	}
	if count["a"]+count["b"] < len(left) || count["a"]+count["b"] > len(left)+1 || count["a"]-count["b"] > 1 || count["b"]-count["a"] > 1 {
		t.Fatalf("engines assigned by model: %v, want an even split of %d", count, len(left))
	}
}

// TestHalfOfTheEnginesServeANewStep simulates a trainer that publishes a version every
// 4 s and submits a step that also allows the version before, over 16 engines of which 3
// may load at once and whose loads show after 1.5 s. Engines that can serve the newest
// step get no order, so that no request of it is blocked by a load, and each engine
// loads every second version. When the trainer pauses, all engines load the newest
// version.
func TestHalfOfTheEnginesServeANewStep(t *testing.T) {
	all := engines(16, 1)
	p := New()
	now := time.Unix(0, 0)
	published := map[string]uint64{"m": 1}
	done := map[string]time.Time{}
	orders, disturbed := 0, 0
	serving := func() (n int) {
		for _, e := range all {
			if e.Weights["m"]+1 >= published["m"] && done[e.ID].IsZero() {
				n++
			}
		}
		return n
	}
	tick := func() {
		now = now.Add(50 * time.Millisecond)
		for i, e := range all {
			if end := done[e.ID]; !end.IsZero() && !now.Before(end) {
				all[i].Weights = map[string]uint64{"m": published["m"]}
				delete(done, e.ID)
			}
		}
		for _, o := range p.Next(now, Demand{Published: published}, all) {
			orders++
			if o.Instance.Weights["m"]+1 >= published["m"] && published["m"] > 2 {
				disturbed++
			}
			done[o.Instance.ID] = now.Add(1500 * time.Millisecond)
			p.RecordOutcome(o, Accepted, now)
		}
	}
	const versions, ticks = 20, 80
	for range versions {
		published["m"]++
		if n := serving(); n < 8 {
			t.Fatalf("%d engines can serve the step of version %d, want at least 8", n, published["m"])
		}
		for range ticks {
			tick()
		}
	}
	if orders > 8*versions || disturbed > 0 {
		t.Fatalf("%d orders for %d versions, %d of them to engines that could serve the newest step", orders, versions, disturbed)
	}
	for range 3 * ticks {
		tick()
	}
	for _, e := range all {
		if e.Weights["m"] != published["m"] {
			t.Fatalf("engine %s has version %d after the pause, want %d", e.ID, e.Weights["m"], published["m"])
		}
	}
}

// TestStepsThatAllowNoOlderVersion plans loads while open steps require the newest
// version: all engines load it, those with the oldest version first.
func TestStepsThatAllowNoOlderVersion(t *testing.T) {
	all := engines(6, 4)
	all[5].Weights = map[string]uint64{"m": 3}
	p := New()
	now := time.Unix(0, 0)
	published, minVersions := map[string]uint64{"m": 5}, map[string]uint64{"m": 5}
	d := Demand{Published: published, MinVersions: minVersions}
	got := p.Next(now, d, all)
	if len(got) != 2 || got[0].Instance.ID != "e05" || got[0].Version != 5 {
		t.Fatalf("got %+v", got)
	}
	if n := len(p.outdated(now, d, all)); n != 6 {
		t.Fatalf("%d engines to load, want 6", n)
	}
}
