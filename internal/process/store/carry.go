package store

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/itemrun"
	"github.com/plantainbank/plantainbank/internal/request/pick"
)

const (
	// checkpointEvents is the events after which what a run has brought is written
	// to the log: about 1.1 s of work. Nine tenths of the items are shorter.
	checkpointEvents = 24
	// saveTimeout bounds that write; the next one covers the same events.
	checkpointTimeout = 2 * time.Second
	// keptLongest is how long what an item has brought is kept after its batch
	// ended. A trainer hands in its next step, with the groups that were not whole,
	// within the time of two steps.
	partialRetention = 20 * time.Second
)

// mark tells how much of a progress stands in the log.
type checkpointPos struct {
	// events of the progress, and pieces of its data.
	events, pieces int
}

// partialKey names an item over the batches of a workspace.
type partialKey struct{ workspace, route, model, item string }

// partial is what runs of an item brought before its batch ended.
type partial struct {
	progress    itemrun.Progress
	fingerprint uint64
	stored      time.Time
}

// partials holds what unfinished items of ended batches have brought.
type partials struct{ all map[partialKey]partial }

func newPartials() *partials { return &partials{map[partialKey]partial{}} }

func keyOf(b *batch.Batch, item string) partialKey {
	return partialKey{b.Workspace, b.Route, b.Model, item}
}

// put keeps what an item has brought.
func (s *partials) put(w *pendingItem, now time.Time) {
	if w.progress.Events > 0 {
		s.all[keyOf(w.batch, w.item.ID)] = partial{w.progress, w.item.Fingerprint, now}
	}
}

// take returns what an item brought in an earlier batch, if the versions fit.
func (s *partials) take(b *batch.Batch, item *batch.Item) (itemrun.Progress, bool) {
	x, ok := s.all[keyOf(b, item.ID)]
	if !ok || x.fingerprint != item.Fingerprint || !b.AllowsVersions(x.progress.Versions) {
		return itemrun.Progress{}, false
	}
	delete(s.all, keyOf(b, item.ID))
	return x.progress, true
}

// tidy drops what nobody has asked for.
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

// newWork prepares an item, with what earlier runs of it have brought.
func (d *driver) newPendingItem(b *batch.Batch, item batch.Item) *pendingItem {
	w := &pendingItem{batch: b, item: item}
	if stored := item.Partial; stored != nil && b.AllowsVersions(stored.Versions) {
		text, err := stored.Text()
		if err != nil {
			d.s.log.WithError(err).WithFields(logrus.Fields{"batch": b.ID, "item": item.ID}).Error("a stored part is damaged")
		} else {
			w.progress = itemrun.Progress{Data: []string{text}, Events: stored.Events, LastEventID: stored.LastEventID, Versions: stored.Versions}
			w.checkpointed = checkpointPos{stored.Events, 1}
		}
	}
	if p, ok := d.partials.take(b, &item); ok && p.Events > w.progress.Events {
		w.progress, w.checkpointed = p, checkpointPos{}
	}
	if w.progress.Events > 0 {
		d.s.log.WithFields(logrus.Fields{"batch": b.ID, "item": item.ID, "events": w.progress.Events, "versions": w.progress.Versions}).
			Info("item goes on from an earlier run")
	}
	return w
}

// endWork stops an item whose batch has ended and keeps what it has brought.
func (d *driver) endItem(w *pendingItem) {
	if w.running {
		w.cancel(errBatchEnded) // stopped keeps it
		return
	}
	d.partials.put(w, time.Now())
}

// stopped gives the progress back to the driver after a run.
func (d *driver) runEnded(k pick.Key, w *pendingItem) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.running = false
	if d.pending[k] != w && d.term != 0 {
		d.partials.put(w, time.Now())
	}
}

// checkpoint writes what a run has brought to the log from time to time, so that
// a long item does not begin anew when another host takes over. It runs on the
// run's goroutine and does not wait.
func (d *driver) checkpoint(ctx context.Context, k pick.Key, w *pendingItem) {
	if !w.checkpointing.CompareAndSwap(false, true) {
		return // the part before is on its way
	}
	if w.progress.Events-w.checkpointed.events < checkpointEvents {
		w.checkpointing.Store(false)
		return
	}
	p := &w.progress
	text := strings.Join(p.Data[w.checkpointed.pieces:], "\n")
	next := checkpointPos{p.Events, len(p.Data)}
	x := &batch.Checkpoint{Batch: k.Batch, Item: k.Item, Offset: w.checkpointed.events,
		Partial: &batch.PartialResult{Events: p.Events, LastEventID: p.LastEventID, Versions: slices.Clone(p.Versions)}}
	go d.writeCheckpoint(ctx, w, x, text, next, w.restarts)
}

// save writes a part. Only then the next one follows.
func (d *driver) writeCheckpoint(ctx context.Context, w *pendingItem, x *batch.Checkpoint, text string, next checkpointPos, restarts int) {
	defer w.checkpointing.Store(false)
	chunk, err := batch.Compress(strings.ToValidUTF8(text, "\uFFFD"))
	if err == nil {
		x.Partial.Chunks = [][]byte{chunk}
		ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
		defer cancel()
		err = d.s.propose(ctx, &batch.Command{Checkpoint: x})
	}
	if err != nil {
		d.s.log.WithError(err).WithFields(logrus.Fields{"batch": x.Batch, "item": x.Item, "events": x.Partial.Events}).
			Info("part not saved yet")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.restarts == restarts {
		w.checkpointed = next
	}
}
