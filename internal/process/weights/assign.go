package weights

import (
	"cmp"
	"maps"
	"slices"

	"github.com/plantainbank/plantainbank/internal/process/roster"
)

// assignModels assigns each ready engine a model to follow. An assignment changes only
// while one model has at least two engines more than another.
func (p *Planner) assignModels(published map[string]uint64, engines []roster.Instance) {
	groups := map[string][]roster.Instance{}
	for _, e := range engines {
		if e.State == roster.Ready && len(e.Weights) > 0 {
			models := slices.Sorted(maps.Keys(e.Weights))
			key := ""
			for _, m := range models {
				key += m + "\x00"
			}
			groups[key] = append(groups[key], e)
		}
	}
	p.removeStopped(engines)
	for _, all := range groups {
		p.assignGroup(published, all)
	}
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
}

// engineCounts holds the number of engines assigned to each model, in total and by
// availability zone.
type engineCounts struct {
	all    map[string]int
	inZone map[string]map[string]int
}

func (c *engineCounts) add(model, zone string, n int) {
	c.all[model] += n
	if c.inZone[zone] == nil {
		c.inZone[zone] = map[string]int{}
	}
	c.inZone[zone][model] += n
}

// fewest returns the model with the fewest engines. Ties go to the model with the
// fewest engines in the zone.
func (c *engineCounts) fewest(models []string, zone string) string {
	return slices.MinFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.all[a], c.all[b]), cmp.Compare(c.inZone[zone][a], c.inZone[zone][b]), cmp.Compare(a, b))
	})
}

// assignGroup spreads engines that run the same models over those models of which
// trainers have published a version.
func (p *Planner) assignGroup(published map[string]uint64, engines []roster.Instance) {
	var models []string
	for _, m := range slices.Sorted(maps.Keys(engines[0].Weights)) {
		if published[m] > 0 {
			models = append(models, m)
		}
	}
	if len(models) == 0 {
		return
	}
	c := &engineCounts{map[string]int{}, map[string]map[string]int{}}
	for _, e := range engines {
		if m := p.assigned[instanceKey{e.ID, e.Born}]; slices.Contains(models, m) {
			c.add(m, e.Zone, 1)
		}
	}
	for _, e := range engines {
		key := instanceKey{e.ID, e.Born}
		if m := p.assigned[key]; slices.Contains(models, m) {
			continue
		}
		m := c.chooseModel(published, models, e, len(engines))
		p.assigned[key] = m
		c.add(m, e.Zone, 1)
	}
	p.rebalance(models, engines, c)
}

// chooseModel returns the model to assign to an engine without one. It prefers the model
// whose weights on the engine are the least outdated, since the engine followed it under
// an earlier leader. If that model already has its even share of the engines, or no model
// is less outdated than the others, it returns the model with the fewest engines.
func (c *engineCounts) chooseModel(published map[string]uint64, models []string, e roster.Instance, engines int) string {
	newest := slices.MinFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(published[a]-min(published[a], e.Weights[a]), published[b]-min(published[b], e.Weights[b])), cmp.Compare(a, b))
	})
	distinct := slices.ContainsFunc(models, func(m string) bool {
		return m != newest && published[m]-min(published[m], e.Weights[m]) > published[newest]-min(published[newest], e.Weights[newest])
	})
	if distinct && c.all[newest] < (engines+len(models)-1)/len(models) {
		return newest
	}
	return c.fewest(models, e.Zone)
}

// rebalance moves engines from the model with the most engines to the one with the
// fewest until they differ by at most one.
func (p *Planner) rebalance(models []string, engines []roster.Instance, c *engineCounts) {
	for {
		most := slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(c.all[a], c.all[b]) })
		least := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(c.all[a], c.all[b]) })
		if c.all[most]-c.all[least] < 2 {
			return
		}
		i := slices.IndexFunc(engines, func(e roster.Instance) bool { return p.assigned[instanceKey{e.ID, e.Born}] == most })
		e := engines[i]
		p.assigned[instanceKey{e.ID, e.Born}] = least
		c.add(most, e.Zone, -1)
		c.add(least, e.Zone, 1)
	}
}
