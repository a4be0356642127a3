package forecast

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/internal/request/fairshare"
)

// shortest is the part of its expected time that an item may take in fact, for the question whether a group is late
// whatever is done. Estimates are off by half on average, but with less than this, time goes to groups that are late
// (replays with estimates off by a third and by 60%).
const shortest = 0.9

// Part is the work of a group's waiting items in one lane.
type Part struct {
	Lane int
	Work time.Duration
}

// Group is a group of an open batch. Times are durations from now.
type Group struct {
	// Flow and Batch are positions in the lists of the input.
	Flow, Batch int
	// Priority is lower for more urgent groups.
	Priority int
	Parts    []Part
	// Longest is the longest expected remaining time of an item, waiting or running.
	Longest time.Duration
	// Due is when the group must be complete to have its full value, Late when it loses all value.
	Due, Late time.Duration
	// Carried is true if an earlier batch had the group: it is always needed.
	Carried bool
	// Index is the position of the group in its batch.
	Index int
}

// possible reports whether the group can be complete until a deadline with all slots to itself.
func (g *Group) possible(deadline time.Duration) bool {
	return time.Duration(shortest*float64(g.Longest)) <= deadline
}

func (g *Group) work() time.Duration {
	sum := time.Duration(0)
	for _, p := range g.Parts {
		sum += p.Work
	}
	return sum
}

// Input is what a plan is made of.
type Input struct {
	Groups []Group
	Pools  []Pool
	// Leads is the service by which each flow is ahead of the least served one.
	Leads []time.Duration
	// Spare is the number of groups that may be left undone, by batch.
	Spare []int
	// Overloaded is the result of the plan before.
	Overloaded bool
}

// Class is what the forecast says about a group.
type Class int8

// Classes of groups, in the order in which they run.
const (
	// InTime groups can be complete by their due time.
	InTime Class = iota
	// Optional groups could be, but their batch is complete without them.
	Optional
	// Late groups can be complete while they have a smaller value.
	Late
	// TooLate groups cannot be complete before they have lost all value.
	TooLate
)

// Plan is the result of a forecast.
type Plan struct {
	// Overloaded is true if not all groups can be complete in time. Otherwise Classes and Ranks are nil, and
	// the order of the queue stays.
	Overloaded bool
	Classes    []Class
	// Ranks has the rank of each group: lower ones run first.
	Ranks []int32
	left  *capacity
}

// Make forecasts which groups can be complete, and ranks them if not all can.
func Make(in Input) Plan {
	if !overloaded(in) {
		return Plan{}
	}
	return rank(in)
}

// overloaded reports whether a group that could be complete in time with all slots to itself is not if the groups run
// by their due times.
func overloaded(in Input) bool {
	used := utilization
	if in.Overloaded {
		used = overloadedUtilization
	}
	left := newCapacity(in.Pools, used)
	order := make([]int, len(in.Groups))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(in.Groups[a].Due, in.Groups[b].Due), cmp.Compare(a, b)) })
	for _, i := range order {
		g := &in.Groups[i]
		deadline, at := g.Due, point(g.Due)
		if !g.possible(g.Due) { // it is late, and runs before all others in the order of the queue
			deadline, at = g.Late, 0
		}
		if !g.possible(deadline) || len(g.Parts) == 0 {
			left.force(g.Parts, at)
			continue
		}
		if at == 0 {
			if !left.couldFit(g.Parts, point(deadline)) {
				return true
			}
			left.force(g.Parts, 0)
			continue
		}
		if !left.fits(g.Parts, at) {
			return true
		}
	}
	return false
}

// couldFit reports whether there is room for the parts of a group until a point.
func (c *capacity) couldFit(parts []Part, point int) bool {
	if !c.fits(parts, point) {
		return false
	}
	for _, u := range c.undo {
		c.take(u.pool, u.point, -u.work)
	}
	return true
}

// rank accepts groups tier by tier: those that can be complete in time, then the optional ones, then those
// that still have a smaller value.
func rank(in Input) Plan {
	n := len(in.Groups)
	p := Plan{Overloaded: true, Classes: make([]Class, n), Ranks: make([]int32, n), left: newCapacity(in.Pools, acceptUtilization)}
	work := make([]time.Duration, n)
	order := make([]int, n)
	for i := range order {
		order[i], work[i] = i, in.Groups[i].work()
		p.Classes[i] = TooLate
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := &in.Groups[a], &in.Groups[b]
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.Due, y.Due), cmp.Compare(boolInt(y.Carried), boolInt(x.Carried)),
			cmp.Compare(work[a], work[b]), cmp.Compare(x.Index, y.Index), cmp.Compare(a, b))
	})
	optional := optionalGroups(in, order)
	round := fairshare.NewRound(in.Leads)
	for tier := int32(0); len(order) > 0; tier++ {
		end := 1
		for end < len(order) && in.Groups[order[end]].Priority == in.Groups[order[0]].Priority {
			end++
		}
		byFlow := make([][]int, len(in.Leads))
		for _, i := range order[:end] {
			byFlow[in.Groups[i].Flow] = append(byFlow[in.Groups[i].Flow], i)
		}
		for _, class := range []Class{InTime, Optional, Late} {
			p.accept(in, round, byFlow, work, class, func(i int) bool { return (class == Optional) == optional[i] || class == Late })
		}
		for _, i := range order[:end] {
			p.Ranks[i] = tier*int32(TooLate) + int32(p.Classes[i])
		}
		order = order[end:]
	}
	p.rankTooLate(in, work)
	return p
}

// optionalGroups returns which groups may be left undone: of each batch those that stand last in the order.
func optionalGroups(in Input, order []int) []bool {
	out := make([]bool, len(in.Groups))
	spare := slices.Clone(in.Spare)
	for _, i := range slices.Backward(order) {
		if g := &in.Groups[i]; spare[g.Batch] > 0 && !g.Carried {
			spare[g.Batch]--
			out[i] = true
		}
	}
	return out
}

// accept accepts the groups of a class that fit, of the flow with the least service first.
func (p *Plan) accept(in Input, round *fairshare.Round, byFlow [][]int, work []time.Duration, class Class, eligible func(int) bool) {
	round.Reopen()
	next := make([]int, len(byFlow))
	for {
		f, ok := round.Next()
		if !ok {
			return
		}
		if next[f] == len(byFlow[f]) {
			round.Close(f)
			continue
		}
		i := byFlow[f][next[f]]
		next[f]++
		g := &in.Groups[i]
		if p.Classes[i] != TooLate || !eligible(i) {
			continue
		}
		deadline := g.Due
		if class == Late {
			deadline = max(g.Due, g.Late)
		}
		if g.possible(deadline) && p.left.fits(g.Parts, point(deadline)) {
			p.Classes[i] = class
			round.Grant(f, work[i])
		}
	}
}

// rankTooLate ranks the groups that cannot be complete after all others, the least likely last.
func (p *Plan) rankTooLate(in Input, work []time.Duration) {
	var order []int
	for i, c := range p.Classes {
		if c == TooLate {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := &in.Groups[a], &in.Groups[b]
		return cmp.Or(cmp.Compare(boolInt(!x.possible(x.Late)), boolInt(!y.possible(y.Late))), cmp.Compare(x.Priority, y.Priority),
			cmp.Compare(work[a], work[b]), cmp.Compare(y.Late, x.Late), cmp.Compare(a, b))
	})
	for n, i := range order {
		p.Ranks[i] = math.MaxInt32/2 + int32(n)
	}
}

// Wait returns the time until the group of the input that needs the least fits, false if no engine serves it.
func (p *Plan) Wait(in Input, batch int) (least time.Duration, served bool) {
	for i := range in.Groups {
		g := &in.Groups[i]
		if g.Batch != batch {
			continue
		}
		if d, ok := p.left.wait(g.Parts, point(max(g.Due, g.Late))); ok && (!served || d < least) {
			least, served = d, true
		}
	}
	return least, served
}

func boolInt(x bool) int {
	if x {
		return 1
	}
	return 0
}
