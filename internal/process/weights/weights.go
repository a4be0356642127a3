// Package weights decides which engine loads which weight version next. It does no I/O.
//
// Load pattern: a trainer publishes a version every few seconds and submits its next step
// immediately; the step may run under that version or the one before. A load takes
// about a second, longer while many engines load at once, and blocks the requests that
// run at the engine. Therefore few engines load at a time. Each loads the newest
// version directly, and only engines that can no longer serve the newest step load,
// since these have no requests of their model to run. An engine that can still serve
// it continues and loads once the next version is published. Each engine thus serves two
// steps per load, and half of the engines can serve a new step immediately. When no
// new version is published for a while, the remaining engines load too.
//
// Rejected alternative: load every version on every engine. On 48 engines three
// trainers then require 12 loads a second where 10 are possible; a fifth of the
// engines are loading at any time, and every long item is blocked by a load.
//
// Several trainers share the engines. Each engine follows the versions of the models that it
// is assigned. A model is followed by as many engines as its part of the work needs, and by
// two at least, so that its steps run while one of them loads; where engines are few, an
// engine follows several models. Assignments are spread over availability zones.
//
// Rejected alternative: one model on each engine, the same number for each model. With eight
// trainers on ten engines a model had one engine, which served nothing while it loaded, and
// the models with the longest items got a third of their work done beside idle engines.
package weights

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
)

// Periods and limits of a rollout.
const (
	// loadTime is the duration of a load on an idle engine, after which the next
	// engine may start. An engine that still runs requests loads later, when fewer
	// others do.
	loadTime = 950 * time.Millisecond
	// confirmTimeout is how long an accepted order may stay without effect before it
	// is repeated.
	confirmTimeout = 5 * time.Second
	// unknownTimeout is how long an order without an answer counts as in flight.
	unknownTimeout = 2500 * time.Millisecond
	// refusedRetryDelay is the delay before a refused order is repeated.
	refusedRetryDelay = 400 * time.Millisecond
	// maxLoadingFraction is the fraction of the engines, rounded, that can load at once
	// without slowing down each other's loads: 2 of 11, 10 of 48, 19 of 97.
	maxLoadingFraction = 0.2
	// maxLag is how many versions behind the newest one a step may run. Trainers that
	// publish the next version while they collect a step allow one.
	maxLag = 1
	// catchUpDelay is the time after the latest version of a model at which engines
	// that can still serve its newest step load it too. It exceeds the duration of a
	// step.
	catchUpDelay = 8 * time.Second
	// minParallel is the number of engines that may load at once in any case.
	minParallel = 2
)

// Order directs one engine to load a version of a model.
type Order struct {
	Instance roster.Instance
	Model    string
	Version  uint64
}

// Outcome is the result of an order.
type Outcome string

// Outcomes of an order.
const (
	// Accepted means that the engine is carrying out the order.
	Accepted Outcome = "accepted"
	// AlreadyLoaded means that the engine has loaded that version.
	AlreadyLoaded Outcome = "holds"
	// Busy means that another order is in progress or was accepted first.
	Busy Outcome = "busy"
	// Fenced means that a later leader has given orders.
	Fenced Outcome = "fenced"
	// Refused means that the order was invalid or reached another instance.
	Refused Outcome = "refused"
	// Unknown means that the order may be carried out, now or later.
	Unknown Outcome = "unknown"
)

// Planner plans and tracks the orders of one leader. It is not safe for concurrent use.
type Planner struct {
	pending map[string]*pendingOrder
	// assigned holds the models that each engine follows.
	assigned map[instanceKey][]string
	// speeds holds the speed of the engines that the assignment goes by.
	speeds map[instanceKey]float64
	// signatures holds what the models of a group of engines were assigned by.
	signatures map[string]string
	// newest holds the latest version of each model and when it was first seen.
	newest map[string]versionSeen
}

// versionSeen is a version and when it was first seen.
type versionSeen struct {
	version uint64
	at      time.Time
}

// instanceKey identifies one incarnation of an engine.
type instanceKey struct {
	id   string
	born int64
}

// pendingOrder is the latest order to an engine.
type pendingOrder struct {
	born    int64
	model   string
	version uint64
	sent    time.Time
	// loadingUntil is the time until which the engine counts as loading.
	loadingUntil time.Time
	// retryAt is the time from which the order may be repeated.
	retryAt time.Time
}

// New returns a planner without orders.
func New() *Planner {
	return &Planner{pending: map[string]*pendingOrder{}, assigned: map[instanceKey][]string{}, speeds: map[instanceKey]float64{}, newest: map[string]versionSeen{},
		signatures: map[string]string{}}
}

// Demand is what trainers need of the engines, by model.
type Demand struct {
	// Published holds the latest versions.
	Published map[string]uint64
	// MinVersions holds the oldest versions that open steps allow.
	MinVersions map[string]uint64
	// Work holds the expected work of a step, in any unit; models without it count as
	// average.
	Work map[string]float64
	// Speeds holds the work that engines do in a second by instance ID, in any unit; engines without it
	// count as average.
	Speeds map[string]float64
}

// Next returns the orders that are due and records them as given.
func (p *Planner) Next(now time.Time, d Demand, engines []roster.Instance) []Order {
	p.clearPending(now, engines)
	p.recordVersions(now, d.Published)
	free := parallelLoads(loadable(engines)) - p.loadingCount(now)
	var out []Order
	p.assignModels(d, engines)
	for _, o := range p.outdated(now, d, engines) {
		if len(out) >= free {
			break
		}
		if p.pending[o.Instance.ID] != nil {
			continue
		}
		p.pending[o.Instance.ID] = &pendingOrder{born: o.Instance.Born, model: o.Model, version: o.Version, sent: now,
			loadingUntil: now.Add(unknownTimeout), retryAt: now.Add(unknownTimeout)}
		out = append(out, o)
	}
	return out
}

// recordVersions records when the latest versions were first seen.
func (p *Planner) recordVersions(now time.Time, published map[string]uint64) {
	for model, v := range published {
		if p.newest[model].version != v {
			p.newest[model] = versionSeen{v, now}
		}
	}
}

// outdated returns the orders that bring engines to the newest versions of the models that
// they follow. The models that the smallest part of their followers can serve come first, then
// the engines with the oldest versions.
func (p *Planner) outdated(now time.Time, d Demand, engines []roster.Instance) []Order {
	followers := map[string][]roster.Instance{}
	for _, e := range engines {
		for _, model := range p.assigned[instanceKey{e.ID, e.Born}] {
			if _, ok := e.Weights[model]; ok && e.State == roster.Ready {
				followers[model] = append(followers[model], e)
			}
		}
	}
	var out []Order
	serving := map[string]float64{}
	for model, all := range followers {
		threshold := p.loadThreshold(now, model, d.Published[model], d.MinVersions[model])
		serving[model] = servingFraction(model, all, threshold)
		for _, e := range enginesToLoad(model, all, d.Published[model], threshold) {
			out = append(out, Order{e, model, d.Published[model]})
		}
	}
	slices.SortFunc(out, func(a, b Order) int {
		return cmp.Or(cmp.Compare(serving[a.Model], serving[b.Model]), cmp.Compare(a.Model, b.Model),
			cmp.Compare(a.Instance.Weights[a.Model], b.Instance.Weights[b.Model]), cmp.Compare(a.Instance.ID, b.Instance.ID))
	})
	return out
}

// servingFraction returns the fraction of the followers of a model that have a version of at
// least threshold.
func servingFraction(model string, followers []roster.Instance, threshold uint64) float64 {
	n := 0
	for _, e := range followers {
		if e.Weights[model] >= threshold {
			n++
		}
	}
	return float64(n) / float64(len(followers))
}

// enginesToLoad returns the engines that should load the newest version of a model:
// those below the given threshold, and as many others as are needed for half of the
// engines to have the newest version. The other half then remains to load the next
// version in time.
func enginesToLoad(model string, followers []roster.Instance, published, threshold uint64) []roster.Instance {
	slices.SortFunc(followers, func(a, b roster.Instance) int {
		return cmp.Or(cmp.Compare(a.Weights[model], b.Weights[model]), cmp.Compare(a.ID, b.ID))
	})
	n := 0
	for n < len(followers) && followers[n].Weights[model] < threshold {
		n++
	}
	newest := 0
	for _, e := range followers {
		if e.Weights[model] >= published {
			newest++
		}
	}
	return followers[:min(len(followers)-newest, max(n, (len(followers)+1)/2-newest))]
}

// loadThreshold returns the version below which an engine should load the newest one.
func (p *Planner) loadThreshold(now time.Time, model string, published, minVersion uint64) uint64 {
	if now.Sub(p.newest[model].at) >= catchUpDelay {
		return published
	}
	return min(published, max(minVersion, published-min(published, maxLag)))
}

// parallelLoads returns how many of the engines may load at one time.
func parallelLoads(engines int) int {
	return max(minParallel, int(math.Round(maxLoadingFraction*float64(engines))))
}

// loadable returns the number of engines that have weights loaded.
func loadable(engines []roster.Instance) int {
	n := 0
	for _, e := range engines {
		if len(e.Weights) > 0 {
			n++
		}
	}
	return n
}

// clearPending removes the pending orders that took effect, whose engine is gone or was
// restarted, or that may be repeated.
func (p *Planner) clearPending(now time.Time, engines []roster.Instance) {
	current := map[string]roster.Instance{}
	for _, e := range engines {
		current[e.ID] = e
	}
	for id, f := range p.pending {
		e, ok := current[id]
		if !ok || e.Born != f.born || e.Weights[f.model] >= f.version || !now.Before(f.retryAt) {
			delete(p.pending, id)
		}
	}
}

func (p *Planner) loadingCount(now time.Time) int {
	n := 0
	for _, f := range p.pending {
		if now.Before(f.loadingUntil) {
			n++
		}
	}
	return n
}

// RecordOutcome records the outcome of an order.
func (p *Planner) RecordOutcome(o Order, outcome Outcome, now time.Time) {
	f := p.pending[o.Instance.ID]
	if f == nil || f.born != o.Instance.Born || f.version != o.Version {
		return
	}
	switch outcome {
	case Accepted:
		f.loadingUntil, f.retryAt = now.Add(loadTime), now.Add(confirmTimeout)
	case AlreadyLoaded:
		f.loadingUntil, f.retryAt = now, now.Add(confirmTimeout)
	case Unknown:
	default:
		f.loadingUntil, f.retryAt = now, now.Add(refusedRetryDelay)
	}
}
