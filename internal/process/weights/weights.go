// Package weights decides which engine loads which weight version next. It
// does no input or output.
//
// Load pattern: a trainer names a version every few seconds, and its next step
// may run under that version and the one before. A load takes about a second,
// and longer while many engines load at once. So few engines load at a time,
// those that are furthest behind first, each straight to the newest version;
// all others go on serving. Several trainers share the engines: if every engine
// loaded the versions of all models, the loads of three trainers would take
// three times what the engines can load. So each engine has a home, one model
// whose versions it follows, spread evenly over models and availability zones.
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
	// after it the next engine may start.
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
	Holds Outcome = "holds"
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
func New() *Planner { return &Planner{flights: map[string]*flight{}, homes: map[start]string{}} }

// Next returns the orders that are due now and counts them as given.
func (p *Planner) Next(now time.Time, named map[string]uint64, engines []roster.Instance) []Order {
	p.settle(now, engines)
	free := max(leastParallel, int(loadPart*float64(loadable(engines)))) - p.loading(now)
	var out []Order
	p.settleHomes(named, engines)
	for _, o := range p.behind(named, engines) {
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

// behind lists what engines lack of the model that they follow, the ones that
// are furthest behind first.
func (p *Planner) behind(named map[string]uint64, engines []roster.Instance) []Order {
	var out []Order
	for _, e := range engines {
		if e.State != roster.Ready {
			continue
		}
		model := p.homes[start{e.ID, e.Born}]
		if held, ok := e.Weights[model]; ok && held < named[model] {
			out = append(out, Order{e, model, named[model]})
		}
	}
	slices.SortFunc(out, func(a, b Order) int {
		x := cmp.Compare(a.Instance.Weights[a.Model], b.Instance.Weights[b.Model])
		return cmp.Or(x, cmp.Compare(a.Instance.ID, b.Instance.ID), cmp.Compare(a.Model, b.Model))
	})
	return out
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
func (p *Planner) Done(o Order, outcome Outcome, now time.Time) {
	f := p.flights[o.Instance.ID]
	if f == nil || f.born != o.Instance.Born || f.version != o.Version {
		return
	}
	switch outcome {
	case Accepted:
		f.loading, f.retry = now.Add(loadTime), now.Add(confirmTimeout)
	case Holds:
		f.loading, f.retry = now, now.Add(confirmTimeout)
	case Unknown:
	default:
		f.loading, f.retry = now, now.Add(refusedPause)
	}
}
