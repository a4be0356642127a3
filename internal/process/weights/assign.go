package weights

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/plantainbank/plantainbank/internal/process/roster"
)

const (
	// minFollowers is the number of engines that follow a model in any case: while one of
	// them loads the next version, the other one serves the steps.
	minFollowers = 2
	// shareSlack is the part of an engine's capacity by which the followers of a model may
	// fall short of its share of the work before another engine follows it.
	shareSlack = 0.15
	// shareSurplus is the capacity, in engines, by which the followers of a model may exceed
	// its share before an engine stops following it. It prevents flapping when steps differ
	// in size.
	shareSurplus = 1.25
	// fullLoad is the load above which an engine gives work away, and spareLoad the load below
	// which another one takes it, in engines.
	fullLoad, spareLoad = 1.1, 0.95
	// workSteps is the number of steps, by a factor of e, in which a change of a model's work
	// is noticed: a twentieth.
	workSteps = 20
	// followsPerLoad is how many models engines may follow for each load that may run at one
	// time: in a step of 4 s there is time for four loads, and an engine loads every second
	// version of a model.
	followsPerLoad = 8
	// shareParts is the number of parts in which the share of a model is placed to compute
	// loads, fillRounds how often all shares are placed again.
	shareParts, fillRounds = 12, 3
)

// Bounds of the speed of an engine, and the ratio by which it must change before models are assigned again:
// an engine beside others on its machine changes by a fifth from second to second.
const (
	minSpeed, maxSpeed = 0.25, 4.0
	speedChange        = 1.25
)

// updateSpeeds takes over the speeds of engines that have changed.
func (p *Planner) updateSpeeds(d Demand, engines []roster.Instance) {
	for _, e := range engines {
		v, ok := d.Speeds[e.ID]
		if !ok || !(v > 0) {
			continue
		}
		v = min(maxSpeed, max(minSpeed, v))
		key := instanceKey{e.ID, e.Born}
		if last := p.speeds[key]; last == 0 || v > speedChange*last || v < last/speedChange {
			p.speeds[key] = v
		}
	}
}

// speedOf returns the work that an engine does in a second, relative to the average engine: 1 if it is not
// known.
func (p *Planner) speedOf(e roster.Instance) float64 {
	if v := p.speeds[instanceKey{e.ID, e.Born}]; v > 0 {
		return v
	}
	return 1
}

// assignment spreads the models of which trainers have published a version over engines that
// run the same models.
type assignment struct {
	p       *Planner
	engines []roster.Instance
	// models are the published models, those with the largest share first.
	models []string
	// speed is the speed of each engine by ID, in average engines: the speeds add up to the engines.
	speed map[string]float64
	// share is the work of each model in engines: the shares add up to the engines.
	share map[string]float64
	// followers counts the engines that follow a model, inZone by availability zone. capacity is the sum of
	// their speeds.
	followers map[string]int
	inZone    map[string]map[string]int
	capacity  map[string]float64
}

// assignModels updates which models each ready engine follows.
func (p *Planner) assignModels(d Demand, engines []roster.Instance) {
	groups := map[string][]roster.Instance{}
	for _, e := range engines {
		if e.State == roster.Ready && len(e.Weights) > 0 {
			key := strings.Join(slices.Sorted(maps.Keys(e.Weights)), "\x00")
			groups[key] = append(groups[key], e)
		}
	}
	p.removeStopped(engines)
	p.updateSpeeds(d, engines)
	for key, all := range groups {
		if s := p.signature(d, all); p.signatures[key] != s {
			p.newAssignment(d, all).update()
			p.signatures[key] = s
		}
	}
}

// signature returns a text that changes when the engines of a group, the published models or
// the work change enough to assign the models again.
func (p *Planner) signature(d Demand, engines []roster.Instance) string {
	var out strings.Builder
	for _, m := range slices.Sorted(maps.Keys(engines[0].Weights)) {
		if d.Published[m] > 0 {
			fmt.Fprintf(&out, "%s %d\n", m, int(math.Round(workSteps*math.Log1p(d.Work[m]))))
		}
	}
	for _, e := range engines {
		fmt.Fprintf(&out, "%s %d %.2f\n", e.ID, e.Born, p.speedOf(e))
	}
	return out.String()
}

func (p *Planner) removeStopped(engines []roster.Instance) {
	live := map[instanceKey]bool{}
	for _, e := range engines {
		live[instanceKey{e.ID, e.Born}] = true
	}
	for s := range p.assigned {
		if !live[s] {
			delete(p.assigned, s)
		}
	}
	maps.DeleteFunc(p.speeds, func(k instanceKey, _ float64) bool { return !live[k] })
}

func (p *Planner) newAssignment(d Demand, engines []roster.Instance) *assignment {
	a := &assignment{p: p, engines: engines, speed: map[string]float64{}, share: map[string]float64{}, followers: map[string]int{},
		inZone: map[string]map[string]int{}, capacity: map[string]float64{}}
	total := 0.0
	for _, e := range engines {
		a.speed[e.ID] = p.speedOf(e)
		total += a.speed[e.ID]
	}
	for id := range a.speed {
		a.speed[id] *= float64(len(engines)) / total
	}
	for m := range engines[0].Weights {
		if d.Published[m] > 0 {
			a.models = append(a.models, m)
		}
	}
	a.computeShares(d.Work)
	slices.SortFunc(a.models, func(x, y string) int { return cmp.Or(cmp.Compare(a.share[y], a.share[x]), cmp.Compare(x, y)) })
	for _, e := range engines {
		key := instanceKey{e.ID, e.Born}
		p.assigned[key] = slices.DeleteFunc(p.assigned[key], func(m string) bool { return !slices.Contains(a.models, m) })
		for _, m := range p.assigned[key] {
			a.count(m, e, 1)
		}
	}
	return a
}

// computeShares sets the share of each model. A model whose work is not known counts as an
// average one.
func (a *assignment) computeShares(work map[string]float64) {
	total, known := 0.0, 0
	for _, m := range a.models {
		if work[m] > 0 {
			total += work[m]
			known++
		}
	}
	average := 1.0
	if known > 0 {
		average = total / float64(known)
	}
	total += average * float64(len(a.models)-known)
	for _, m := range a.models {
		w := work[m]
		if w <= 0 {
			w = average
		}
		a.share[m] = w / total * float64(len(a.engines))
	}
}

func (a *assignment) update() {
	if len(a.models) == 0 {
		return
	}
	for _, m := range a.models {
		for a.followers[m] > a.floor() && a.capacity[m]-a.share[m] > shareSurplus {
			a.drop(a.mostLoaded(m), m)
		}
	}
	for _, m := range a.models {
		for a.followers[m] < len(a.engines) && (a.followers[m] < a.floor() || a.capacity[m] < a.share[m]-shareSlack) {
			a.add(a.leastLoaded(m), m)
		}
	}
	for _, e := range a.engines {
		if len(a.modelsOf(e)) == 0 {
			a.add(e, a.neediest(e))
		}
	}
	for total := a.total(); total < a.maxTotal() && a.relieve(); total++ {
	}
}

// total is the number of models that the engines follow, over all engines.
func (a *assignment) total() int {
	n := 0
	for _, m := range a.models {
		n += a.followers[m]
	}
	return n
}

// maxTotal is the total for which the engines can load the versions in time.
func (a *assignment) maxTotal() int { return followsPerLoad * parallelLoads(len(a.engines)) }

// relieve lets an engine with spare time follow a model of the busiest engine, and reports
// whether it did.
func (a *assignment) relieve() bool {
	load, placed := a.fill()
	busiest := slices.MaxFunc(a.engines, func(x, y roster.Instance) int {
		return cmp.Or(cmp.Compare(load[x.ID], load[y.ID]), cmp.Compare(y.ID, x.ID))
	})
	if load[busiest.ID] < fullLoad {
		return false
	}
	models := slices.Clone(a.modelsOf(busiest))
	slices.SortFunc(models, func(x, y string) int {
		return cmp.Or(cmp.Compare(placed[y][busiest.ID], placed[x][busiest.ID]), cmp.Compare(x, y))
	})
	for _, m := range models {
		if a.capacity[m]+1-a.share[m] > shareSurplus {
			continue
		}
		others := a.candidates(m, false)
		if len(others) == 0 {
			continue
		}
		e := slices.MinFunc(others, func(x, y roster.Instance) int {
			return cmp.Or(cmp.Compare(load[x.ID], load[y.ID]), cmp.Compare(x.ID, y.ID))
		})
		if load[e.ID] < spareLoad {
			a.add(e, m)
			return true
		}
	}
	return false
}

// fill returns the load of each engine, by ID, if the work of each model goes to those of its
// followers that have the least to do, and the part of it that each model places there.
func (a *assignment) fill() (load map[string]float64, placed map[string]map[string]float64) {
	load, placed = map[string]float64{}, map[string]map[string]float64{}
	for range fillRounds {
		for _, m := range a.models {
			for id, x := range placed[m] {
				load[id] -= x
			}
			placed[m] = map[string]float64{}
			followers := a.candidates(m, true)
			parts := shareParts * len(followers)
			for range parts {
				e := slices.MinFunc(followers, func(x, y roster.Instance) int {
					return cmp.Or(cmp.Compare(load[x.ID], load[y.ID]), cmp.Compare(x.ID, y.ID))
				})
				part := a.share[m] / float64(parts) / a.speed[e.ID]
				load[e.ID] += part
				placed[m][e.ID] += part
			}
		}
	}
	return load, placed
}

// floor is the number of engines that follow a model in any case.
func (a *assignment) floor() int { return min(minFollowers, len(a.engines)) }

func (a *assignment) count(m string, e roster.Instance, n int) {
	a.followers[m] += n
	a.capacity[m] += float64(n) * a.speed[e.ID]
	if a.inZone[e.Zone] == nil {
		a.inZone[e.Zone] = map[string]int{}
	}
	a.inZone[e.Zone][m] += n
}

func (a *assignment) modelsOf(e roster.Instance) []string {
	return a.p.assigned[instanceKey{e.ID, e.Born}]
}

func (a *assignment) add(e roster.Instance, m string) {
	key := instanceKey{e.ID, e.Born}
	a.p.assigned[key] = append(a.p.assigned[key], m)
	a.count(m, e, 1)
}

func (a *assignment) drop(e roster.Instance, m string) {
	key := instanceKey{e.ID, e.Born}
	a.p.assigned[key] = slices.DeleteFunc(a.p.assigned[key], func(x string) bool { return x == m })
	a.count(m, e, -1)
}

// level rounds a load to fifths of an engine, so that other reasons decide between engines that
// have about the same to do.
func level(load float64) int { return int(math.Round(5 * load)) }

// leastLoaded returns the engine that should follow a model next. Among engines with the same
// load it is the one whose weights of the model are the newest, since that engine
// followed the model under an earlier leader.
func (a *assignment) leastLoaded(m string) roster.Instance {
	load, _ := a.fill()
	return slices.MinFunc(a.candidates(m, false), func(x, y roster.Instance) int {
		return cmp.Or(cmp.Compare(level(load[x.ID]), level(load[y.ID])), cmp.Compare(y.Weights[m], x.Weights[m]), cmp.Compare(a.inZone[x.Zone][m], a.inZone[y.Zone][m]),
			cmp.Compare(x.ID, y.ID))
	})
}

// mostLoaded returns the engine that should stop following a model.
func (a *assignment) mostLoaded(m string) roster.Instance {
	load, _ := a.fill()
	return slices.MaxFunc(a.candidates(m, true), func(x, y roster.Instance) int {
		return cmp.Or(cmp.Compare(level(load[x.ID]), level(load[y.ID])), cmp.Compare(y.Weights[m], x.Weights[m]), cmp.Compare(a.inZone[x.Zone][m], a.inZone[y.Zone][m]),
			cmp.Compare(x.ID, y.ID))
	})
}

// candidates returns the engines that follow a model, or those that do not.
func (a *assignment) candidates(m string, following bool) []roster.Instance {
	var out []roster.Instance
	for _, e := range a.engines {
		if slices.Contains(a.modelsOf(e), m) == following {
			out = append(out, e)
		}
	}
	return out
}

// neediest returns the model that an engine without one should follow.
func (a *assignment) neediest(e roster.Instance) string {
	return slices.MaxFunc(a.models, func(x, y string) int {
		return cmp.Or(cmp.Compare(a.share[x]/a.capacity[x], a.share[y]/a.capacity[y]),
			cmp.Compare(a.inZone[e.Zone][y], a.inZone[e.Zone][x]), cmp.Compare(y, x))
	})
}
