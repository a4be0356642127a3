package store

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
)

const (
	// stallGaps is the time without an event, as a multiple of the mean time between two,
	// after which a run counts as stalled; minStall is the shortest such time.
	stallGaps = 4
	minStall  = 200 * time.Millisecond
	// silentAfter is the time without an event after which the engine itself is suspected.
	// A load of weights takes 0.9 s; an item waits 0.5 s at most for its first event.
	silentAfter = 650 * time.Millisecond
	// moveGain is the work that must be left of a stalled run to move it before
	// silentAfter: an engine that loads weights goes on within that time.
	moveGain = time.Second
)

var (
	// errStalled is the cancellation cause of runs that continue elsewhere while their
	// engine loads weights, errSilent of those whose engine may be down.
	errStalled = errors.New("the run has stalled")
	errSilent  = errors.New("the engine is silent")
)

// pulse is when a run made its latest event, and the mean time between events. The goroutine
// of the run writes it.
type pulse struct {
	last, mean atomic.Int64
	// events is the number of events of the item so far.
	events atomic.Int64
}

func (p *pulse) begin(now time.Time) {
	p.last.Store(now.UnixNano())
	p.mean.Store(0)
}

func (p *pulse) beat(now time.Time, mean time.Duration) {
	p.last.Store(now.UnixNano())
	p.mean.Store(int64(mean))
}

// stallOf returns why a run should continue at another engine, or nil. silence is the time
// since its latest event, mean its mean time between events (zero before the second event),
// left the work that is expected to be left.
func stallOf(silence, mean, left time.Duration) error {
	switch {
	case silence >= max(silentAfter, stallGaps*mean):
		return errSilent
	case mean > 0 && left > moveGain && silence >= max(minStall, stallGaps*mean):
		return errStalled
	}
	return nil
}

// moveStalled ends the runs that have stalled where another engine has a free slot: they
// continue there after their last event.
func (d *driver) moveStalled(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, w := range d.pending {
		if !w.running || w.moves.Load() >= maxMoves {
			continue
		}
		silence, mean := now.Sub(time.Unix(0, w.pulse.last.Load())), time.Duration(w.pulse.mean.Load())
		cause := stallOf(silence, mean, d.expectedLeft(w, now))
		if cause == nil {
			continue
		}
		req := placement.Requirement{Service: w.service, Model: w.batch.Model, MinVersion: w.batch.MinVersion,
			Avoid: map[string]bool{w.slot.ID: true}, Strict: true}
		if mean > 0 { // it has events
			req.Software = &w.slot.Software
		}
		if !d.table.Available(req, now) {
			continue
		}
		w.moves.Add(1)
		d.logMove(k, w, silence, mean, cause)
		w.cancel(cause)
	}
}

func (d *driver) logMove(k itemqueue.Key, w *pendingItem, silence, mean time.Duration, cause error) {
	d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "instance": w.slot.ID, "silent_ms": silence.Milliseconds(),
		"pace_ms": mean.Milliseconds(), "moves": w.moves.Load(), "reason": cause.Error()}).Debug("run moves to another engine")
}

// expectedLeft returns the run time that is expected to be left of a running item. The caller
// holds d.mu.
func (d *driver) expectedLeft(w *pendingItem, now time.Time) time.Duration {
	return d.expectedTime(w.item) - now.Sub(w.slot.Taken)
}
