package store

import (
	"errors"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/request/batch"
)

const (
	// paceEvents is the number of events after which the pace of a run is reported to the
	// table, and after which the run may first be moved: about 0.25 s of work.
	paceEvents = 6
	// paceWeight is the weight of one event in the moving average of a run.
	paceWeight = 0.3
	// longFraction is the fraction of the time left for a step above which an item is long.
	longFraction = 0.3
	// maxMoves bounds how often an item is moved away from slow engines.
	maxMoves = 4
)

const (
	// initialTokenTime is the assumed time per token before the first measurement. The
	// engines of current sites take 0.6 to 0.8 ms.
	initialTokenTime = 700 * time.Microsecond
	// tokenTimeWeight is the weight of one item in the moving average. It is small because
	// single estimates can be far off.
	tokenTimeWeight = 0.02
	// maxTokenTimeRatio bounds the sample of one item, as a multiple of the average.
	maxTokenTimeRatio = 3
)

// errSlow is the cancellation cause of runs that continue on a faster engine.
var errSlow = errors.New("the engine is slow")

// expectedTime returns the expected run time of an item, zero if it has no length
// estimate. The caller holds d.mu.
func (d *driver) expectedTime(item batch.Item) time.Duration {
	return time.Duration(item.LengthHint) * d.tokenTime
}

// isLong reports whether an item is expected to take a large part of the time that its step
// has left, so that the pace of its engine decides whether it is complete in time. The caller
// holds d.mu.
func (d *driver) isLong(w *pendingItem, now time.Time) bool {
	left := w.batch.DueTime().Sub(now)
	return d.expectedTime(w.item) > time.Duration(longFraction*float64(left))
}

// updateTokenTime updates the average time per token from an item that was completed by
// its first run.
func (d *driver) updateTokenTime(w *pendingItem, took time.Duration) {
	if w.item.LengthHint == 0 || w.runs != 1 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	sample := min(took/time.Duration(w.item.LengthHint), maxTokenTimeRatio*d.tokenTime)
	d.tokenTime += time.Duration(tokenTimeWeight * float64(sample-d.tokenTime))
}

// paceTracker averages the time between the events of one run. It is used only by the
// goroutine of the run.
type paceTracker struct {
	last   time.Time
	mean   time.Duration
	events int
}

// observe records an event, and reports whether the mean should be reported to the table.
func (p *paceTracker) observe(now time.Time) bool {
	p.events++
	if p.events > 1 {
		took := now.Sub(p.last)
		if p.mean == 0 {
			p.mean = took
		}
		p.mean += time.Duration(paceWeight * float64(took-p.mean))
	}
	p.last = now
	return p.events%paceEvents == 0
}

// watchPace reports the pace of a run to the table, and ends the run if it should continue
// on another engine. It is called after each event, on the goroutine of the run.
func (d *driver) watchPace(p *paceTracker, w *pendingItem, slot placement.Slot, req placement.Requirement) {
	now := time.Now()
	report := p.observe(now)
	if p.events == 1 {
		d.table.Started(slot)
		w.promptRead()
	}
	w.pulse.beat(now, p.mean)
	w.pulse.events.Store(int64(w.progress.Events))
	if !report {
		return
	}
	if d.table.ByEventTime {
		d.table.RecordEventTime(slot, p.mean, now)
		return // dispatch moves runs to faster engines
	}
	d.table.RecordPace(slot, p.mean)
	if w.moves.Load() < maxMoves && d.table.ShouldMove(slot, req, p.mean, now) {
		w.moves.Add(1)
		w.cancel(errSlow)
	}
}
