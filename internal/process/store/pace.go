package store

import (
	"errors"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/request/batch"
)

const (
	// paceEvents is the events after which the pace of a run is told, and the
	// least after which the run may move: a quarter of a second of work.
	paceEvents = 6
	// paceWeight is the weight of one event in a run's moving average.
	paceWeight = 0.3
	// movesMost bounds how often an item moves away from slow engines.
	movesMost = 4
)

const (
	// tokenTimeFirst is the time for a token before any was measured: engines of
	// today's sites take 0.6 to 0.8 ms.
	tokenTimeFirst = 700 * time.Microsecond
	// tokenTimeWeight is the weight of one item in the moving average; single
	// estimates are far off.
	tokenTimeWeight = 0.02
	// tokenTimeMost bounds what one item may say, in averages.
	tokenTimeMost = 3
)

// errSlow is the cause of runs that go on at a faster engine.
var errSlow = errors.New("the engine is slow")

// expected returns how long an item should take, zero without an estimate. The
// caller holds d.mu.
func (d *driver) expected(item batch.Item) time.Duration {
	return time.Duration(item.LengthHint) * d.tokenTime
}

// learnLength compares an item's estimate with what its only run took.
func (d *driver) learnLength(w *work, took time.Duration) {
	if w.item.LengthHint == 0 || w.runs != 1 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	sample := min(took/time.Duration(w.item.LengthHint), tokenTimeMost*d.tokenTime)
	d.tokenTime += time.Duration(tokenTimeWeight * float64(sample-d.tokenTime))
}

// pacer watches how long the events of one run take. It belongs to the run's
// goroutine.
type pacer struct {
	last   time.Time
	mean   time.Duration
	events int
}

// note takes in an event, and reports whether the mean is worth telling.
func (p *pacer) note(now time.Time) bool {
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

// watchPace tells the table how fast a run is, and ends the run if it should go
// on elsewhere. It runs after each event, on the run's goroutine.
func (d *driver) watchPace(p *pacer, w *work, slot placement.Slot, want placement.Requirement) {
	now := time.Now()
	if !p.note(now) {
		return
	}
	d.table.RecordPace(slot, p.mean)
	if w.moves < movesMost && d.table.ShouldMove(slot, want, p.mean, now) {
		w.moves++
		w.cancel(errSlow)
	}
}
