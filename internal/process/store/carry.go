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
)

const (
	// checkpointEvents is the events after which what a run has brought is written
	// to the log: about 1.1 s of work. Nine tenths of the items are shorter.
	checkpointEvents = 24
	// saveTimeout bounds that write; the next one covers the same events.
	saveTimeout = 2 * time.Second
	// keptLongest is how long what an item has brought is kept after its batch
	// ended. A trainer hands in its next step, with the groups that were not whole,
	// within the time of two steps.
	keptLongest = 20 * time.Second
)

// mark tells how much of a progress stands in the log.
type mark struct {
	// events of the progress, and pieces of its data.
	events, pieces int
}

// partialKey names an item over the batches of a workspace.
type partialKey struct{ workspace, route, model, item string }

// partial is what runs of an item brought before its batch ended.
type partial struct {
	progress    itemrun.Progress
	fingerprint uint64
	since       time.Time
}

// partials holds what unfinished items of ended batches have brought.
type partials struct{ all map[partialKey]partial }

func newPartials() *partials { return &partials{map[partialKey]partial{}} }

func keyOf(b *batch.Batch, item string) partialKey {
	return partialKey{b.Workspace, b.Route, b.Model, item}
}

// put keeps what an item has brought.
func (s *partials) put(w *work, now time.Time) {
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
func (s *partials) tidy(now time.Time) {
	for k, x := range s.all {
		if now.Sub(x.since) > keptLongest {
			delete(s.all, k)
		}
	}
}

func (d *driver) tidy(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kept.tidy(now)
}

// newWork prepares an item, with what earlier runs of it have brought.
func (d *driver) newWork(b *batch.Batch, item batch.Item) *work {
	w := &work{batch: b, item: item}
	if part := item.Partial; part != nil && b.AllowsVersions(part.Versions) {
		text, err := part.Text()
		if err != nil {
			d.s.log.WithError(err).WithFields(logrus.Fields{"batch": b.ID, "item": item.ID}).Error("a stored part is damaged")
		} else {
			w.progress = itemrun.Progress{Data: []string{text}, Events: part.Events, LastEventID: part.LastEventID, Versions: part.Versions}
			w.saved = mark{part.Events, 1}
		}
	}
	if p, ok := d.kept.take(b, &item); ok && p.Events > w.progress.Events {
		w.progress, w.saved = p, mark{}
	}
	if w.progress.Events > 0 {
		d.s.log.WithFields(logrus.Fields{"batch": b.ID, "item": item.ID, "events": w.progress.Events, "versions": w.progress.Versions}).
			Info("item goes on from an earlier run")
	}
	return w
}

// endWork stops an item whose batch has ended and keeps what it has brought.
func (d *driver) endWork(w *work) {
	if w.running {
		w.cancel(errEnded) // stopped keeps it
		return
	}
	d.kept.put(w, time.Now())
}

// stopped gives the progress back to the driver after a run.
func (d *driver) stopped(k itemqueue.Key, w *work) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.running = false
	if d.works[k] != w && d.term != 0 {
		d.kept.put(w, time.Now())
	}
}

// checkpoint writes what a run has brought to the log from time to time, so that
// a long item does not begin anew when another host takes over. It runs on the
// run's goroutine and does not wait.
func (d *driver) checkpoint(ctx context.Context, k itemqueue.Key, w *work) {
	if !w.saving.CompareAndSwap(false, true) {
		return // the part before is on its way
	}
	if w.progress.Events-w.saved.events < checkpointEvents {
		w.saving.Store(false)
		return
	}
	p := &w.progress
	text := strings.Join(p.Data[w.saved.pieces:], "\n")
	next := mark{p.Events, len(p.Data)}
	x := &batch.Checkpoint{Batch: k.Batch, Item: k.Item, Offset: w.saved.events,
		Partial: &batch.PartialResult{Events: p.Events, LastEventID: p.LastEventID, Versions: slices.Clone(p.Versions)}}
	go d.save(ctx, w, x, text, next, w.anew)
}

// save writes a part. Only then the next one follows.
func (d *driver) save(ctx context.Context, w *work, x *batch.Checkpoint, text string, next mark, anew int) {
	defer w.saving.Store(false)
	chunk, err := batch.Compress(strings.ToValidUTF8(text, "\uFFFD"))
	if err == nil {
		x.Partial.Chunks = [][]byte{chunk}
		ctx, cancel := context.WithTimeout(ctx, saveTimeout)
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
	if w.anew == anew {
		w.saved = next
	}
}
