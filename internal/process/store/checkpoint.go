package store

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
	"github.com/plantainbank/plantainbank/internal/request/itemrun"
	"github.com/plantainbank/plantainbank/pkg/process/deflate"
)

const (
	// checkpointEvents is the number of events between checkpoints of a run to the log:
	// about 1.1 s of work. Nine tenths of the items are shorter.
	checkpointEvents = 24
	// checkpointTimeout bounds the write of a checkpoint. After a failed write, the next
	// checkpoint covers the same events.
	checkpointTimeout = 2 * time.Second
	// partialRetention is how long a partial result is retained after its batch ended. A
	// trainer submits its next step, which includes the incomplete groups, within the
	// time of two steps.
	partialRetention = 20 * time.Second
)

// checkpointPos is how much of the progress of an item is in the log.
type checkpointPos struct {
	// events is the number of events, pieces the number of elements of Progress.Data.
	events, pieces int
}

// partialKey identifies an item across the batches of a workspace, beside its fingerprint.
type partialKey struct{ workspace, host, model, item string }

// partial is the progress of an item that was not complete when its batch ended.
type partial struct {
	progress    itemrun.Progress
	fingerprint uint64
	stored      time.Time
}

// partials holds the partial results of ended batches.
type partials struct{ all map[partialKey]partial }

func newPartials() *partials { return &partials{map[partialKey]partial{}} }

func keyOf(b *batch.Batch, item string) partialKey {
	return partialKey{b.Workspace, b.Host, b.Model, item}
}

// put stores the progress of an item, if there is any.
func (s *partials) put(w *pendingItem, now time.Time) {
	if w.progress.Events > 0 {
		s.all[keyOf(w.batch, w.item.ID)] = partial{w.progress, w.item.Fingerprint, now}
	}
}

// take removes and returns the progress of an item in an earlier batch, if the item is
// unchanged and b allows the weight versions.
func (s *partials) take(b *batch.Batch, item *batch.Item) (itemrun.Progress, bool) {
	x, ok := s.all[keyOf(b, item.ID)]
	if !ok || x.fingerprint != item.Fingerprint || !b.AllowsVersions(x.progress.Versions) {
		return itemrun.Progress{}, false
	}
	delete(s.all, keyOf(b, item.ID))
	return x.progress, true
}

// evict removes the entries that are older than partialRetention.
func (s *partials) evict(now time.Time) {
	for k, x := range s.all {
		if now.Sub(x.stored) > partialRetention {
			delete(s.all, k)
		}
	}
}

func (d *driver) evictPartials(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partials.evict(now)
}

// newPendingItem returns a pending item with the progress of its earlier runs.
func (d *driver) newPendingItem(b *batch.Batch, item batch.Item) *pendingItem {
	w := &pendingItem{batch: b, item: item, term: d.term, promptState: d.promptOf(&item)}
	if stored := item.Partial; stored != nil && b.AllowsVersions(stored.Versions) {
		text, err := stored.Text()
		if err != nil {
			d.s.log.WithError(err).WithFields(logrus.Fields{"batch": b.ID, "item": item.ID}).Error("cannot decompress a stored partial result")
		} else {
			w.progress = itemrun.Progress{Data: []string{text}, Events: stored.Events, LastEventID: stored.LastEventID, Versions: stored.Versions,
				Complete: stored.Whole, Software: stored.Software}
			w.textStored = stored.Whole
			w.checkpointed = checkpointPos{stored.Events, 1}
			d.s.log.WithFields(logrus.Fields{"batch": b.ID, "item": item.ID, "events": stored.Events, "versions": stored.Versions}).
				Info("item resumes from a checkpoint")
		}
	}
	d.takePartial(w)
	return w
}

// takePartial gives an item the progress of an ended batch, if that is further than its own.
// The caller holds d.mu.
func (d *driver) takePartial(w *pendingItem) {
	p, ok := d.partials.take(w.batch, &w.item)
	if !ok || w.progress.Complete || p.Events <= w.progress.Events {
		return
	}
	w.progress, w.checkpointed, w.textStored = p, checkpointPos{}, false
	d.s.log.WithFields(logrus.Fields{"batch": w.batch.ID, "item": w.item.ID, "events": p.Events, "versions": p.Versions}).
		Info("item resumes from an earlier run")
}

// endItem stops an item whose batch has ended and retains its progress. A run returns its
// progress when it has ended, which endingRuns counts until then.
func (d *driver) endItem(w *pendingItem) {
	d.releaseNext(w)
	if w.score != nil && w.cancel != nil {
		w.cancel(errBatchEnded)
	}
	if w.running {
		d.endingRuns[keyOf(w.batch, w.item.ID)]++
		w.cancel(errBatchEnded)
		return
	}
	d.partials.put(w, time.Now())
}

// awaitsProgress reports whether a canceled run of the same item in an earlier batch is still
// to return its progress. The item is not started before: it would generate the same events
// again. The caller holds d.mu.
func (d *driver) awaitsProgress(w *pendingItem) bool {
	return d.endingRuns[keyOf(w.batch, w.item.ID)] > 0
}

// runEnded returns ownership of the progress to the driver after a run.
func (d *driver) runEnded(k itemqueue.Key, w *pendingItem) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.running = false
	if d.pending[k] == w || d.term != w.term {
		return
	}
	key := keyOf(w.batch, w.item.ID)
	if d.endingRuns[key]--; d.endingRuns[key] <= 0 {
		delete(d.endingRuns, key)
	}
	d.partials.put(w, time.Now())
	d.wakeUp()
}

// checkpoint writes the progress of a run to the log once it has checkpointEvents new
// events, so that a new leader can resume a long item. It is called on the goroutine of
// the run and does not block.
func (d *driver) checkpoint(ctx context.Context, k itemqueue.Key, w *pendingItem) {
	if !w.checkpointing.CompareAndSwap(false, true) {
		return // the previous checkpoint is still being written
	}
	if w.progress.Events-w.checkpointed.events < checkpointEvents {
		w.checkpointing.Store(false)
		return
	}
	p := &w.progress
	text := strings.Join(p.Data[w.checkpointed.pieces:], "\n")
	next := checkpointPos{p.Events, len(p.Data)}
	x := &batch.Checkpoint{Batch: k.Batch, Item: k.Item, Offset: w.checkpointed.events,
		Partial: &batch.PartialResult{Events: p.Events, LastEventID: p.LastEventID, Versions: slices.Clone(p.Versions), Software: p.Software}}
	go d.writeCheckpoint(ctx, w, x, text, next, w.restarts)
}

// writeCheckpoint commits a checkpoint. The next one is not started before it returns,
// since each checkpoint continues the one before.
func (d *driver) writeCheckpoint(ctx context.Context, w *pendingItem, x *batch.Checkpoint, text string, next checkpointPos, restarts int) {
	defer w.checkpointing.Store(false)
	chunk, err := deflate.Compress(text)
	if err == nil {
		x.Partial.Chunks = [][]byte{chunk}
		ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
		defer cancel()
		err = d.s.propose(ctx, &batch.Command{Checkpoint: x})
	}
	if err != nil {
		d.s.log.WithError(err).WithFields(logrus.Fields{"batch": x.Batch, "item": x.Item, "events": x.Partial.Events}).
			Info("checkpoint not written yet")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.restarts == restarts {
		w.checkpointed = next
	}
}
