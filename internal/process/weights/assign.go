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
	// manyEngines is the number of engines from which on loads are computed maxFills times, instead of after each
	// change, while the followers of one model change. They bound the time that this takes on the control
	// goroutine, beside heartbeats.
	manyEngines, maxFills = 128, 32
	// reliefWork is the number of engines, added up over all reliefs, that are looked at each time that models are
	// assigned; the rest follows the next time. There are minReliefs in any case.
	reliefWork, minReliefs = 6400, 4
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
	// speed is the speed of each engine, in average engines: the speeds add up to the engines.
	speed []float64
	// index is the position of each engine, by ID.
	index map[string]int
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
		if s := p.signature(d, all); p.signatures[key] != s && p.newAssignment(d, all).update() {
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
	a := &assignment{p: p, engines: engines, speed: make([]float64, len(engines)), index: map[string]int{}, share: map[string]float64{}, followers: map[string]int{},
		inZone: map[string]map[string]int{}, capacity: map[string]float64{}}
	total := 0.0
	for i, e := range engines {
		a.index[e.ID], a.speed[i] = i, p.speedOf(e)
		total += a.speed[i]
	}
	for i := range a.speed {
		a.speed[i] *= float64(len(engines)) / total
	}
	for m := range engines[0].Weights {
		if d.Published[m] > 0 {
			a.models = append(a.models, m)
		}
	}
	a.computeShares(d.Work)
	slices.SortFunc(a.models, func(x, y string) int { return cmp.Or(cmp.Compare(a.share[y], a.share[x]), cmp.Compare(x, y)) })
	for i := range engines {
		e := &engines[i]
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

// update changes which engines follow which models. It returns false if more engines are to be relieved.
func (a *assignment) update() (done bool) {
	reliefs := max(minReliefs, reliefWork/len(a.engines))
	if len(a.models) == 0 {
		return true
	}
	for _, m := range a.models {
		a.dropSurplus(m)
	}
	for _, m := range a.models {
		a.addMissing(m)
	}
	for i := range a.engines {
		if e := &a.engines[i]; len(a.modelsOf(e)) == 0 {
			a.add(e, a.neediest(e))
		}
	}
	for total := a.total(); total < a.maxTotal() && a.relieve(); total++ {
		if reliefs--; reliefs == 0 {
			return false
		}
	}
	return true
}

// refresh is the number of changes after which the loads are computed again: each one where engines are few.
func (a *assignment) refresh() int {
	if len(a.engines) < manyEngines {
		return 1
	}
	return len(a.engines) / maxFills
}

// loadsOf returns the loads of engines that do not follow a model yet. While none of them follows any, they have none.
func (a *assignment) loadsOf(engines []int) []float64 {
	if slices.ContainsFunc(engines, func(i int) bool { return len(a.modelsOf(&a.engines[i])) > 0 }) {
		load, _ := a.fill()
		return load
	}
	return make([]float64, len(a.engines))
}

// dropSurplus lets engines stop following a model that has more followers than its share needs.
func (a *assignment) dropSurplus(m string) {
	var load []float64
	followers := a.candidates(m, true)
	for n := 0; a.followers[m] > a.floor() && a.capacity[m]-a.share[m] > shareSurplus; n++ {
		if n%a.refresh() == 0 {
			load, _ = a.fill()
		}
		i := slices.MaxFunc(followers, a.compare(m, load))
		followers = slices.DeleteFunc(followers, func(x int) bool { return x == i })
		a.drop(&a.engines[i], m)
	}
}

// addMissing lets engines follow a model that has fewer followers than its share needs.
func (a *assignment) addMissing(m string) {
	var load []float64
	others := a.candidates(m, false)
	for n := 0; len(others) > 0 && (a.followers[m] < a.floor() || a.capacity[m] < a.share[m]-shareSlack); n++ {
		if n%a.refresh() == 0 {
			load = a.loadsOf(others)
		}
		i := slices.MinFunc(others, a.compare(m, load))
		others = slices.DeleteFunc(others, func(x int) bool { return x == i })
		a.add(&a.engines[i], m)
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
	busiest := 0
	for i := range a.engines {
		if cmp.Or(cmp.Compare(load[i], load[busiest]), cmp.Compare(a.engines[busiest].ID, a.engines[i].ID)) > 0 {
			busiest = i
		}
	}
	if load[busiest] < fullLoad {
		return false
	}
	models := slices.Clone(a.modelsOf(&a.engines[busiest]))
	slices.SortFunc(models, func(x, y string) int {
		return cmp.Or(cmp.Compare(placed[y][busiest], placed[x][busiest]), cmp.Compare(x, y))
	})
	for _, m := range models {
		if a.capacity[m]+1-a.share[m] > shareSurplus {
			continue
		}
		others := a.candidates(m, false)
		if len(others) == 0 {
			continue
		}
		i := slices.MinFunc(others, func(x, y int) int {
			return cmp.Or(cmp.Compare(load[x], load[y]), cmp.Compare(a.engines[x].ID, a.engines[y].ID))
		})
		if load[i] < spareLoad {
			a.add(&a.engines[i], m)
			return true
		}
	}
	return false
}

// fill returns the load of each engine if the work of each model goes to those of its followers that have the least
// to do, and the part of it that each model places there. Both are indexed by engine.
func (a *assignment) fill() (load []float64, placed map[string][]float64) {
	load, placed = make([]float64, len(a.engines)), map[string][]float64{}
	followers := map[string][]int{}
	for _, m := range a.models {
		placed[m], followers[m] = make([]float64, len(a.engines)), a.candidates(m, true)
	}
	for range fillRounds {
		for _, m := range a.models {
			for _, i := range followers[m] {
				load[i] -= placed[m][i]
				placed[m][i] = 0
			}
			parts := shareParts * len(followers[m])
			order := followers[m]
			slices.SortFunc(order, func(i, j int) int {
				return cmp.Or(cmp.Compare(load[i], load[j]), cmp.Compare(a.engines[i].ID, a.engines[j].ID))
			})
			for range parts {
				i := order[0]
				part := a.share[m] / float64(parts) / a.speed[i]
				load[i] += part
				placed[m][i] += part
				a.sinkRoot(order, load)
			}
		}
	}
	return load, placed
}

// lessLoaded reports whether engine i has less to do than engine j.
func (a *assignment) lessLoaded(load []float64, i, j int) bool {
	return load[i] < load[j] || load[i] == load[j] && a.engines[i].ID < a.engines[j].ID
}

// sinkRoot restores the order of a heap of engines, the one with the least to do first, after the load of the first
// one has grown. It stands for heap.Fix, which calls through an interface: this is most of the work of a plan.
func (a *assignment) sinkRoot(order []int, load []float64) {
	for parent := 0; ; {
		child := 2*parent + 1
		if child >= len(order) {
			return
		}
		if right := child + 1; right < len(order) && a.lessLoaded(load, order[right], order[child]) {
			child = right
		}
		if !a.lessLoaded(load, order[child], order[parent]) {
			return
		}
		order[parent], order[child] = order[child], order[parent]
		parent = child
	}
}

// floor is the number of engines that follow a model in any case.
func (a *assignment) floor() int { return min(minFollowers, len(a.engines)) }

func (a *assignment) count(m string, e *roster.Instance, n int) {
	a.followers[m] += n
	a.capacity[m] += float64(n) * a.speed[a.index[e.ID]]
	if a.inZone[e.Zone] == nil {
		a.inZone[e.Zone] = map[string]int{}
	}
	a.inZone[e.Zone][m] += n
}

func (a *assignment) modelsOf(e *roster.Instance) []string {
	return a.p.assigned[instanceKey{e.ID, e.Born}]
}

func (a *assignment) add(e *roster.Instance, m string) {
	key := instanceKey{e.ID, e.Born}
	a.p.assigned[key] = append(a.p.assigned[key], m)
	a.count(m, e, 1)
}

func (a *assignment) drop(e *roster.Instance, m string) {
	key := instanceKey{e.ID, e.Born}
	a.p.assigned[key] = slices.DeleteFunc(a.p.assigned[key], func(x string) bool { return x == m })
	a.count(m, e, -1)
}

// level rounds a load to fifths of an engine, so that other reasons decide between engines that
// have about the same to do.
func level(load float64) int { return int(math.Round(5 * load)) }

// compare orders engines by which of them should follow a model: the least one next, the greatest one no longer.
// Among engines with the same load the one whose weights of the model are the newest comes first, since it
// followed the model under an earlier leader.
func (a *assignment) compare(m string, load []float64) func(i, j int) int {
	return func(i, j int) int {
		x, y := &a.engines[i], &a.engines[j]
		return cmp.Or(cmp.Compare(level(load[i]), level(load[j])), cmp.Compare(y.Weights[m], x.Weights[m]),
			cmp.Compare(a.inZone[x.Zone][m], a.inZone[y.Zone][m]), cmp.Compare(x.ID, y.ID))
	}
}

// candidates returns the engines that follow a model, or those that do not, by index.
func (a *assignment) candidates(m string, following bool) []int {
	var out []int
	for i := range a.engines {
		if slices.Contains(a.modelsOf(&a.engines[i]), m) == following {
			out = append(out, i)
		}
	}
	return out
}

// neediest returns the model that an engine without one should follow.
func (a *assignment) neediest(e *roster.Instance) string {
	return slices.MaxFunc(a.models, func(x, y string) int {
		return cmp.Or(cmp.Compare(a.share[x]/a.capacity[x], a.share[y]/a.capacity[y]),
			cmp.Compare(a.inZone[e.Zone][y], a.inZone[e.Zone][x]), cmp.Compare(y, x))
	})
}
