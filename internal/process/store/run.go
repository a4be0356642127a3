package store

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
	"github.com/plantainbank/plantainbank/internal/request/itemrun"
)

// runItem runs an item once. Depending on the outcome it commits a result or queues the
// item again.
func (d *driver) runItem(runCtx, ctx context.Context, k itemqueue.Key, w *pendingItem, slot placement.Slot, req placement.Requirement) {
	p := &paceTracker{}
	res := d.runner.Run(runCtx, slot, w.batch, w.item, &w.progress, func() {
		d.checkpoint(ctx, k, w)
		d.watchPace(p, w, slot, req)
	})
	w.cancel(nil)
	d.endPrompt(w, p, res)
	d.releaseSlot(slot, w, res)
	if res.Outcome == itemrun.Excessive {
		d.discardProgress(w)
	}
	d.runEnded(k, w)
	slow := errors.Is(res.Err, errSlow) || errors.Is(res.Err, errStalled) || errors.Is(res.Err, errSilent) || errors.Is(res.Err, errFaster)
	if res.Outcome != itemrun.Stopped || !errors.Is(res.Err, errFaster) {
		d.mu.Lock()
		d.releaseNext(w) // the run ended before it could be moved
		d.mu.Unlock()
	}
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
		d.updateTokenTime(w, res.Duration)
		d.finish(ctx, k, w)
	case itemrun.Unprocessable:
		d.commitResult(ctx, k, w, batch.Result{Item: k.Item, State: batch.Dead}, "engine rejected it as unprocessable")
	case itemrun.Failed:
		if res.Status == http.StatusInternalServerError {
			w.failures++
		}
		if d.exhausted(w) {
			d.commitResult(ctx, k, w, batch.Result{Item: k.Item, State: batch.Dead}, "all attempts failed")
			return
		}
		d.requeue(k, w, slot, failureRetryDelay)
	case itemrun.Interrupted, itemrun.ConnectFailed:
		d.requeue(k, w, slot, 0)
	case itemrun.Excessive:
		d.requeue(k, w, slot, failureRetryDelay)
	case itemrun.Stopped:
		if slow {
			d.requeue(k, w, slot, 0)
		}
	case itemrun.NotRun, itemrun.Misdirected, itemrun.Stale:
		d.requeue(k, w, slot, refusalRetryDelay)
	}
}

// isPending reports whether w is still a pending item of the driver. The driver drops
// all of them when leadership is lost.
func (d *driver) isPending(k itemqueue.Key, w *pendingItem) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pending[k] == w
}

func (d *driver) exhausted(w *pendingItem) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	route := d.routeOf(w)
	return route != nil && w.failures >= max(1, route.MaxAttempts)
}

// releaseSlot returns the slot to the table with the outcome of the run.
func (d *driver) releaseSlot(slot placement.Slot, w *pendingItem, res itemrun.Result) {
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
	case itemrun.Interrupted, itemrun.Excessive:
		outcome = placement.Interrupted
	case itemrun.ConnectFailed:
		outcome = placement.ConnectFailed
	case itemrun.Stopped:
		outcome = placement.Abandoned
		if errors.Is(res.Err, errSilent) {
			outcome = placement.Interrupted
		}
	}
	if res.Version > 0 && w.batch.Model != "" {
		d.table.RecordVersion(slot, w.batch.Model, res.Version, res.Outcome == itemrun.Stale)
	}
	d.table.Done(slot, outcome, pace, time.Now())
	d.wakeUp()
}

// finish commits a complete item, or has it scored first if it has a scorer. If its weight
// versions are not allowed by its batch or route, the item is restarted instead.
func (d *driver) finish(ctx context.Context, k itemqueue.Key, w *pendingItem) {
	for _, v := range w.progress.Versions {
		if v < w.batch.MinVersion {
			d.restart(k, w, "an event was produced by a weight version older than the batch allows")
			return
		}
	}
	if d.singleVersion(w) && len(w.progress.Versions) > 1 {
		d.restart(k, w, "several weight versions produced it, the route allows one")
		return
	}
	if w.item.Scorer != nil {
		d.beginScoring(ctx, k, w)
		return
	}
	r := batch.Result{Item: k.Item, State: batch.Completed, Text: w.progress.Text(), Versions: w.progress.Versions}
	if err := r.Compress(); err != nil {
		d.s.log.WithError(err).WithField("item", k.Item).Warn("cannot compress a result, storing it uncompressed")
	}
	d.commitResult(ctx, k, w, r, "")
}

func (d *driver) singleVersion(w *pendingItem) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	route := d.routeOf(w)
	return route != nil && route.SingleVersion
}

// restart discards the progress of an item and queues it again.
func (d *driver) restart(k itemqueue.Key, w *pendingItem, reason string) {
	d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "versions": w.progress.Versions, "reason": reason}).
		Info("item restarts from the beginning")
	d.mu.Lock()
	defer d.mu.Unlock()
	w.reset()
	d.scores.Done(k)
	d.queue.Requeue(k, true, time.Now())
	d.wakeUp()
}

// discardProgress makes an item start at its first event again. Its earlier runs may be at fault too.
func (d *driver) discardProgress(w *pendingItem) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.reset()
}

// requeue queues an item for another run, on another engine if there is one.
func (d *driver) requeue(k itemqueue.Key, w *pendingItem, slot placement.Slot, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.avoid = map[string]bool{slot.ID: true}
	if d.preferred[k.Batch+" "+w.item.Group] == slot.ID {
		delete(d.preferred, k.Batch+" "+w.item.Group)
	}
	d.queue.Requeue(k, w.progress.Events > 0, time.Now().Add(pause))
	d.wakeUp()
}

// commitResult commits a result. It retries until leadership is lost, also while this
// process has no lease for a moment: no other process would commit the result, and
// proposing it twice is harmless since only the first result of an item counts. An item whose
// result cannot be encoded is restarted.
func (d *driver) commitResult(ctx context.Context, k itemqueue.Key, w *pendingItem, r batch.Result, reason string) {
	for n := 0; ; n++ {
		tryCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		err := d.s.propose(tryCtx, &batch.Command{AddResults: &batch.AddResults{Batch: k.Batch, Results: []batch.Result{r}}})
		cancel()
		if err == nil {
			break
		}
		var invalid *batch.EncodeError
		if errors.As(err, &invalid) {
			d.restart(k, w, err.Error())
			return
		}
		if n == 0 {
			d.s.log.WithError(err).WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item}).Warn("result not committed yet")
		}
		if ctx.Err() != nil || !d.isPending(k, w) {
			return
		}
		time.Sleep(commitRetryDelay)
	}
	if r.State == batch.Dead {
		d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "runs": w.runs, "failures": w.failures, "reason": reason}).
			Warn("item is dead")
	}
	d.s.cfg.Scope.Tagged(map[string]string{"state": string(r.State)}).Counter("items").Inc(1)
	d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "state": string(r.State), "versions": r.Versions, "runs": w.runs}).
		Debug("result committed")
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, k)
	d.queue.Done(k)
	d.scores.Done(k)
}
