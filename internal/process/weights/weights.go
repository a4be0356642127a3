// Package weights decides which engine loads which weight version next. It
// does no input or output.
//
// Load pattern: a trainer names a version every few seconds and hands in its next
// step at once, which may run under that version and the one before. A load takes
// about a second, and longer while many engines load at once; it holds up what
// runs at the engine. So few engines load at a time, each straight to the newest
// version, and only those that can not serve the newest step any more: they have
// nothing of their model to run. An engine that can serve it goes on, and loads
// when the next version is named; so each serves two steps a load, and half of
// the engines serve a new step at once. Where the versions pause, the others load
// too.
//
// Weighed and left out: every engine to every version. On 48 engines three
// trainers then ask for 12 loads a second where 10 can be made; a fifth of the
// engines load all the time, and long items stand still for a load each.
//
// Several trainers share the engines: each engine has a home, one model whose
// versions it follows, spread evenly over models and availability zones.
package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
)

// Periods and limits of a rollout.
const (
	// loadTime is how long a load takes on an engine that is not disturbed;
	// after it the next engine may start. An engine that still runs requests loads
	// later, when fewer others do.
	loadTime = 950 * time.Millisecond
	// confirmTimeout is how long an accepted order may stay without effect
	// before it is given again.
	confirmTimeout = 5 * time.Second
	// unknownTimeout is how long an order without an answer is waited for.
	unknownTimeout = 2500 * time.Millisecond
	// refusedPause is the time until an order that was refused is given again.
	refusedPause = 400 * time.Millisecond
	// loadPart is the part of the engines that may load at once before loads
	// get slower: 2 of 11, 10 of 48.
	loadPart = 0.21
	// lag is how many versions behind the newest one a step may run: that of
	// trainers that name the next version while they collect a step.
	lag = 1
	// settleTime is how long after the latest version of a model the engines that
	// can serve its newest step load it too: longer than a step takes.
	settleTime = 8 * time.Second
	// leastParallel is the number of engines that always may load at once.
	leastParallel = 2
)

// Order tells one engine to load a version of a model.
type Order struct {
	Instance roster.Instance
	Model    string
	Version  uint64
}

// Outcome is what came of an order.
type Outcome string

// Outcomes of an order.
const (
	// Accepted orders are being carried out.
	Accepted Outcome = "accepted"
	// Holds means that the engine has that version.
	AlreadyLoaded Outcome = "holds"
	// Busy means that another order is in progress, or came first.
	Busy Outcome = "busy"
	// Fenced means that a later holder of the duty has given orders.
	Fenced Outcome = "fenced"
	// Refused orders were not understood, or met another instance.
	Refused Outcome = "refused"
	// Unknown orders may be carried out, also later.
	Unknown Outcome = "unknown"
)

// Planner remembers the orders of one leader. It is not safe for concurrent
// use.
type Planner struct {
	flights map[string]*flight
	// homes holds the model that an engine follows.
	homes map[start]string
	// newest holds the latest version of each model and when it was seen first.
	newest map[string]seen
}

// seen is a version and when it was seen first.
type seen struct {
	version uint64
	at      time.Time
}

// start names one start of an engine.
type start struct {
	id   string
	born int64
}

// flight is the latest order of an engine.
type flight struct {
	born    int64
	model   string
	version uint64
	sent    time.Time
	// loading is until when the engine counts as loading.
	loading time.Time
	// retry is when the order may be given again.
	retry time.Time
}

// New returns a planner without orders.
func New() *Planner {
	return &Planner{flights: map[string]*flight{}, homes: map[start]string{}, newest: map[string]seen{}}
}

// Next returns the orders that are due now and counts them as given. least holds
// the oldest versions that open steps allow, by model.
func (p *Planner) Next(now time.Time, named, least map[string]uint64, engines []roster.Instance) []Order {
	p.settle(now, engines)
	p.see(now, named)
	free := max(leastParallel, int(loadPart*float64(loadable(engines)))) - p.loading(now)
	var out []Order
	p.settleHomes(named, engines)
	for _, o := range p.behind(now, named, least, engines) {
		if len(out) >= free {
			break
		}
		if p.flights[o.Instance.ID] != nil {
			continue
		}
		p.flights[o.Instance.ID] = &flight{born: o.Instance.Born, model: o.Model, version: o.Version, sent: now,
			loading: now.Add(unknownTimeout), retry: now.Add(unknownTimeout)}
		out = append(out, o)
	}
	return out
}

// see notes when the latest versions were named.
func (p *Planner) see(now time.Time, named map[string]uint64) {
	for model, v := range named {
		if p.newest[model].version != v {
			p.newest[model] = seen{v, now}
		}
	}
}

// behind lists what engines lack of the model that they follow, the ones that
// are furthest behind first.
func (p *Planner) behind(now time.Time, named, least map[string]uint64, engines []roster.Instance) []Order {
	followers := map[string][]roster.Instance{}
	for _, e := range engines {
		model := p.homes[start{e.ID, e.Born}]
		if _, ok := e.Weights[model]; ok && e.State == roster.Ready {
			followers[model] = append(followers[model], e)
		}
	}
	var out []Order
	for model, all := range followers {
		for _, e := range lacking(model, all, named[model], p.wanted(now, model, named[model], least[model])) {
			out = append(out, Order{e, model, named[model]})
		}
	}
	slices.SortFunc(out, func(a, b Order) int {
		x := cmp.Compare(a.Instance.Weights[a.Model], b.Instance.Weights[b.Model])
		return cmp.Or(x, cmp.Compare(a.Instance.ID, b.Instance.ID), cmp.Compare(a.Model, b.Model))
	})
	return out
}

// lacking returns the engines that should load the newest version of a model:
// those below the version that is wanted, and as many others as make half of
// the engines hold the newest one, so that the next version finds the other half
// in time.
func lacking(model string, followers []roster.Instance, named, wanted uint64) []roster.Instance {
	slices.SortFunc(followers, func(a, b roster.Instance) int {
		return cmp.Or(cmp.Compare(a.Weights[model], b.Weights[model]), cmp.Compare(a.ID, b.ID))
	})
	n := 0
	for n < len(followers) && followers[n].Weights[model] < wanted {
		n++
	}
	newest := 0
	for _, e := range followers {
		if e.Weights[model] >= named {
			newest++
		}
	}
	return followers[:min(len(followers)-newest, max(n, (len(followers)+1)/2-newest))]
}

// wanted returns the version below which an engine should load the newest one.
func (p *Planner) wanted(now time.Time, model string, named, least uint64) uint64 {
	if now.Sub(p.newest[model].at) >= settleTime {
		return named
	}
	return min(named, max(least, named-min(named, lag)))
}

// loadable counts the engines that hold weights.
func loadable(engines []roster.Instance) int {
	n := 0
	for _, e := range engines {
		if len(e.Weights) > 0 {
			n++
		}
	}
	return n
}

// settle forgets the orders that took effect and those that may be repeated.
func (p *Planner) settle(now time.Time, engines []roster.Instance) {
	held := map[string]roster.Instance{}
	for _, e := range engines {
		held[e.ID] = e
	}
	for id, f := range p.flights {
		e, ok := held[id]
		if !ok || e.Born != f.born || e.Weights[f.model] >= f.version || !now.Before(f.retry) {
			delete(p.flights, id)
		}
	}
}

func (p *Planner) loading(now time.Time) int {
	n := 0
	for _, f := range p.flights {
		if now.Before(f.loading) {
			n++
		}
	}
	return n
}

// Done takes in what came of an order.
func (p *Planner) RecordOutcome(o Order, outcome Outcome, now time.Time) {
	f := p.flights[o.Instance.ID]
	if f == nil || f.born != o.Instance.Born || f.version != o.Version {
		return
	}
	switch outcome {
	case Accepted:
		f.loading, f.retry = now.Add(loadTime), now.Add(confirmTimeout)
	case AlreadyLoaded:
		f.loading, f.retry = now, now.Add(confirmTimeout)
	case Unknown:
	default:
		f.loading, f.retry = now, now.Add(refusedPause)
	}
}
