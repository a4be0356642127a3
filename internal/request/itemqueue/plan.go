package itemqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/internal/request/fairshare"
	"github.com/plantainbank/plantainbank/internal/request/forecast"
)

// Step is what a plan needs to know of a batch.
type Step struct {
	Flow     fairshare.Flow
	Priority int
	// Due is when the groups must be complete to have their full value, Late when they lose all value.
	Due, Late time.Time
	// Spare is the number of unfinished groups that may be left undone.
	Spare int
}

// Outlook is what a plan needs to know beyond the queue.
type Outlook struct {
	Pools []forecast.Pool
	// Step returns the step of a batch.
	Step func(batch string) Step
	// Left returns the expected remaining run time of an item, and its lane, which matters while it waits.
	Left func(x *Item, running bool) (time.Duration, int)
	// Carried reports whether an earlier batch had an item.
	Carried func(x *Item) bool
	Ledger  *fairshare.Ledger
}

// Plan forecasts which groups can be complete in time. If not all can, it changes the order of the waiting
// items, otherwise the order is the one without a plan.
func (q *Queue) Plan(now time.Time, o Outlook) Forecast {
	f := q.Forecast(now, o, nil)
	q.overloaded = f.Plan.Overloaded
	for i, g := range f.groups {
		rank := int32(0)
		if f.Plan.Overloaded {
			rank = f.Plan.Ranks[i]
			if f.Plan.Classes[i] >= forecast.Late && !g.last {
				g.last = true
				f.PutLast++
			}
		}
		if g.rank != rank {
			g.rank = rank
			q.changeGroup(g)
		}
	}
	return f
}

// Overloaded reports whether not all groups could be complete in time by the latest plan.
func (q *Queue) Overloaded() bool { return q.overloaded }

// Forecast is a plan and what it was made of.
type Forecast struct {
	Plan  forecast.Plan
	Input forecast.Input
	// Flows and Batches are the flows and the batches of the queue by their positions in the input.
	Flows   []fairshare.Flow
	Batches []string
	// PutLast is the number of groups that are behind those that can be complete in time for the first time.
	PutLast int
	groups  []*group
}

// Forecast returns the plan for the groups of the queue and those of another batch, which stand last in the
// input and whose flow and batch it fills in. It changes nothing.
func (q *Queue) Forecast(now time.Time, o Outlook, extra *Extra) Forecast {
	f := Forecast{groups: make([]*group, 0, len(q.groups))}
	for _, g := range q.groups {
		f.groups = append(f.groups, g)
	}
	slices.SortFunc(f.groups, func(a, b *group) int { return cmp.Or(cmp.Compare(a.batch, b.batch), cmp.Compare(a.first, b.first)) })
	flows := map[fairshare.Flow]int{}
	flow := func(x fairshare.Flow) int {
		i, known := flows[x]
		if !known {
			i = len(f.Flows)
			flows[x], f.Flows = i, append(f.Flows, x)
		}
		return i
	}
	in := &f.Input
	in.Pools, in.Overloaded = o.Pools, q.overloaded
	in.Groups = make([]forecast.Group, 0, len(f.groups))
	var step Step
	for i, g := range f.groups {
		if i == 0 || f.groups[i-1].batch != g.batch {
			step = o.Step(g.batch)
			in.Spare = append(in.Spare, step.Spare)
			f.Batches = append(f.Batches, g.batch)
		}
		x := forecast.Group{Flow: flow(step.Flow), Batch: len(in.Spare) - 1, Priority: step.Priority,
			Due: step.Due.Sub(now), Late: step.Late.Sub(now), Index: g.first}
		g.measure(&x, o)
		in.Groups = append(in.Groups, x)
	}
	if extra != nil {
		in.Spare = append(in.Spare, extra.Step.Spare)
		for _, g := range extra.Groups {
			g.Flow, g.Batch, g.Priority = flow(extra.Step.Flow), len(in.Spare)-1, extra.Step.Priority
			g.Due, g.Late = extra.Step.Due.Sub(now), extra.Step.Late.Sub(now)
			in.Groups = append(in.Groups, g)
		}
	}
	in.Leads = o.Ledger.Leads(f.Flows, now)
	f.Plan = forecast.Make(*in)
	return f
}

// Extra is a batch that is not in the queue.
type Extra struct {
	Step   Step
	Groups []forecast.Group
}

// measure fills in the work of a group.
func (g *group) measure(out *forecast.Group, o Outlook) {
	for _, x := range g.items {
		left, lane := o.Left(x, x.running)
		out.Longest = max(out.Longest, left)
		out.Carried = out.Carried || o.Carried(x)
		if !x.running {
			out.Parts = AddWork(out.Parts, lane, left)
		}
	}
}

// AddWork adds the work of an item to the parts of a group.
func AddWork(parts []forecast.Part, lane int, work time.Duration) []forecast.Part {
	for i := range parts {
		if parts[i].Lane == lane {
			parts[i].Work += work
			return parts
		}
	}
	return append(parts, forecast.Part{Lane: lane, Work: work})
}
