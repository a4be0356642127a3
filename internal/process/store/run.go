package store

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
	"github.com/plantainbank/plantainbank/internal/request/itemrun"
)

// runItem runs an item once and decides what follows.
func (d *driver) runItem(runCtx, ctx context.Context, k itemqueue.Key, w *work, slot placement.Slot, want placement.Requirement) {
	p := &pacer{}
	res := d.runner.Run(runCtx, slot, w.batch, w.item, &w.progress, func() {
		d.checkpoint(ctx, k, w)
		d.watchPace(p, w, slot, want)
	})
	w.cancel(nil)
	d.release(slot, w, res)
	d.stopped(k, w)
	slow := errors.Is(res.Err, errSlow)
	if res.Outcome != itemrun.Complete && (res.Outcome != itemrun.Stopped || slow) {
		d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "instance": slot.ID, "end": string(res.Outcome),
			"status": res.Status, "events": w.progress.Events, "runs": w.runs, "took_ms": res.Duration.Milliseconds()}).
			WithError(res.Err).Info("run ended early")
	}
	d.s.cfg.Scope.Tagged(map[string]string{"end": string(res.Outcome)}).Counter("runs").Inc(1)
	d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "instance": slot.ID, "end": string(res.Outcome), "events": res.Events,
		"took_ms": res.Duration.Milliseconds(), "first_ms": res.FirstEvent.Milliseconds(), "pause_ms": res.MaxGap.Milliseconds()}).Debug("run ended")
	switch res.Outcome {
	case itemrun.Complete:
		d.learnLength(w, res.Duration)
		d.finish(ctx, k, w)
	case itemrun.Unprocessable:
		d.list(ctx, k, w, batch.Result{Item: k.Item, State: batch.Dead}, "the engine can never run it")
	case itemrun.Failed:
		w.failures++
		if d.exhausted(w) {
			d.list(ctx, k, w, batch.Result{Item: k.Item, State: batch.Dead}, "all attempts failed")
			return
		}
		d.again(k, w, slot, failPause)
	case itemrun.Interrupted, itemrun.ConnectFailed:
		d.again(k, w, slot, 0)
	case itemrun.Stopped:
		if slow {
			d.again(k, w, slot, 0)
		}
	case itemrun.NotRun, itemrun.Misdirected, itemrun.Stale:
		d.again(k, w, slot, runPause)
	}
}

// holds reports whether the driver still has the work: it forgets all of it
// when another process leads.
func (d *driver) holds(k itemqueue.Key, w *work) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.works[k] == w
}

func (d *driver) exhausted(w *work) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.Table == nil {
		return false
	}
	route := d.state.Table.RouteByName(w.batch.Route)
	return route != nil && w.failures >= max(1, route.MaxAttempts)
}

// release tells the table how the run went.
func (d *driver) release(slot placement.Slot, w *work, res itemrun.Result) {
	outcome := placement.Served
	var pace time.Duration
	switch res.Outcome {
	case itemrun.Complete:
		pace = res.Duration / time.Duration(max(1, res.Events))
	case itemrun.Failed, itemrun.Unprocessable:
		outcome = placement.Failed
	case itemrun.NotRun, itemrun.Stale:
		outcome = placement.Loading
	case itemrun.Misdirected:
		outcome = placement.Misdirected
	case itemrun.Interrupted:
		outcome = placement.Interrupted
	case itemrun.ConnectFailed:
		outcome = placement.ConnectFailed
	case itemrun.Stopped:
		outcome = placement.Abandoned
	}
	if res.Version > 0 && w.batch.Model != "" {
		d.table.RecordVersion(slot, w.batch.Model, res.Version, res.Outcome == itemrun.Stale)
	}
	d.table.Done(slot, outcome, pace, time.Now())
	d.poke()
}

// finish lists a whole item, unless its versions do not fit its batch.
func (d *driver) finish(ctx context.Context, k itemqueue.Key, w *work) {
	for _, v := range w.progress.Versions {
		if v < w.batch.MinVersion {
			d.restart(k, w, "an event is older than the batch allows")
			return
		}
	}
	if d.single(w) && len(w.progress.Versions) > 1 {
		d.restart(k, w, "several versions produced it")
		return
	}
	r := batch.Result{Item: k.Item, State: batch.Completed, Text: w.progress.Text(), Versions: w.progress.Versions}
	if err := r.Compress(); err != nil {
		d.s.log.WithError(err).WithField("item", k.Item).Warn("a text is stored as it is")
	}
	d.list(ctx, k, w, r, "")
}

func (d *driver) single(w *work) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.Table == nil {
		return false
	}
	route := d.state.Table.RouteByName(w.batch.Route)
	return route != nil && route.SingleVersion
}

// restart runs an item from its beginning.
func (d *driver) restart(k itemqueue.Key, w *work, reason string) {
	d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "versions": w.progress.Versions, "reason": reason}).
		Info("item starts anew")
	d.mu.Lock()
	defer d.mu.Unlock()
	w.reset()
	d.queue.Requeue(k, true, time.Now())
	d.poke()
}

// again queues an item for another run, elsewhere if there is another server.
func (d *driver) again(k itemqueue.Key, w *work, slot placement.Slot, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.avoid = map[string]bool{slot.ID: true}
	if d.homes[k.Batch+" "+w.item.Group] == slot.ID {
		delete(d.homes, k.Batch+" "+w.item.Group)
	}
	d.queue.Requeue(k, w.progress.Events > 0, time.Now().Add(pause))
	d.poke()
}

// list commits a result. Until another process leads it is tried again, also
// while this one has no lease for a moment: an item is listed once, whatever is
// proposed, and nobody else would list it.
func (d *driver) list(ctx context.Context, k itemqueue.Key, w *work, r batch.Result, why string) {
	for n := 0; ; n++ {
		tryCtx, cancel := context.WithTimeout(ctx, listTimeout)
		err := d.s.propose(tryCtx, &batch.Command{AddResults: &batch.AddResults{Batch: k.Batch, Results: []batch.Result{r}}})
		cancel()
		if err == nil {
			break
		}
		if n == 0 {
			d.s.log.WithError(err).WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item}).Warn("result not listed yet")
		}
		if ctx.Err() != nil || !d.holds(k, w) {
			return
		}
		time.Sleep(listPause)
	}
	if r.State == batch.Dead {
		d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "runs": w.runs, "failures": w.failures, "reason": why}).
			Warn("item is dead")
	}
	d.s.cfg.Scope.Tagged(map[string]string{"state": string(r.State)}).Counter("items").Inc(1)
	d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "state": string(r.State), "versions": r.Versions, "runs": w.runs}).
		Debug("item listed")
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.works, k)
	d.queue.Done(k)
}
