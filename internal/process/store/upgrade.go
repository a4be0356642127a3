package store

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
)

const (
	// upgradeInterval is the least time between two searches for runs that should continue at a faster
	// engine. A search looks at all running items: 17 ms for 19,200 at 2,400 engines. upgradeCostFactor bounds
	// the searches to a thirtieth of the time.
	upgradeInterval   = 50 * time.Millisecond
	upgradeCostFactor = 30
	// overrun is the number of tokens that an item with more than the estimated ones is expected to
	// produce yet, as a fraction of those that it has produced. Estimates are exact at the median and off
	// by half on average.
	overrun = 0.35
	// defaultStride is the number of tokens of an event where the configuration names none.
	defaultStride = 64
)

// errFaster is the cancellation cause of runs that continue at a faster engine.
var errFaster = errors.New("a faster engine has a free slot")

// eventsLeft returns the number of events that a running item is expected to produce yet. The caller
// holds d.mu.
func (d *driver) eventsLeft(w *pendingItem) float64 {
	produced := float64(w.pulse.events.Load())
	return max(float64(w.item.LengthHint)/d.stride(w.service)-produced, overrun*produced)
}

// stride returns the number of tokens of an event of a service's engines. The caller holds d.mu.
func (d *driver) stride(service string) float64 {
	if s := d.state.Table.Service(service); s != nil && s.EventTokens > 0 {
		return float64(s.EventTokens)
	}
	return defaultStride
}

// upgradeRuns ends runs at slow engines for which a faster engine has a free slot: they continue there
// after their last event. It goes before the dispatch of waiting items, which would take these slots. The
// caller holds d.mu.
func (d *driver) upgradeRuns(now time.Time) {
	if !d.table.ByEventTime || now.Before(d.nextUpgrade) {
		return
	}
	defer func() { d.nextUpgrade = now.Add(max(upgradeInterval, upgradeCostFactor*time.Since(now))) }()
	var keys []itemqueue.Key
	var all []placement.Running
	for k, w := range d.pending {
		if !w.running || w.next != nil || w.cancel == nil || w.moves.Load() >= maxMoves || w.pulse.mean.Load() == 0 {
			continue
		}
		keys = append(keys, k)
		all = append(all, placement.Running{Slot: w.slot, Events: d.eventsLeft(w), Requirement: placement.Requirement{
			Service: w.service, Model: w.batch.Model, MinVersion: w.batch.MinVersion, Software: &w.slot.Software, Strict: true}})
	}
	for _, u := range d.table.Upgrades(all, now) {
		k := keys[u.Index]
		w := d.pending[k]
		w.next = &u.Slot
		w.moves.Add(1)
		d.s.cfg.Scope.Counter("upgrades").Inc(1)
		d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "instance": w.slot.ID, "to": u.Slot.ID,
			"events_left": int(all[u.Index].Events), "gain_ms": u.Gain.Milliseconds(), "moves": w.moves.Load()}).Debug("run moves to a faster engine")
		w.cancel(errFaster)
	}
}

// takeNext returns the slot that was taken for the next run of an item, or nil. The caller holds d.mu.
func (w *pendingItem) takeNext() *placement.Slot {
	slot := w.next
	w.next = nil
	return slot
}

// releaseNext releases the slot that was taken for the next run of an item that does not need it. The
// caller holds d.mu.
func (d *driver) releaseNext(w *pendingItem) {
	if slot := w.takeNext(); slot != nil {
		d.table.Done(*slot, placement.Abandoned, 0, time.Now())
	}
}
