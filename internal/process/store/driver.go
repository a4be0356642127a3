package store

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
	"github.com/plantainbank/plantainbank/internal/request/itemrun"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// Periods and limits of the driver.
const (
	// dispatchPeriod is how often rests, pauses and credits are looked at when
	// nothing else happens.
	dispatchPeriod = 100 * time.Millisecond
	// dispatchPause gathers what happens at once, since each look at the queue
	// sorts all that waits.
	dispatchPause = 4 * time.Millisecond
	// listPause is the pause before a result is proposed again.
	listPause = 50 * time.Millisecond
	// runPause is the pause before an item that an engine refused runs again.
	runPause = 60 * time.Millisecond
	// failPause is the pause before an item that failed runs again.
	failPause = 150 * time.Millisecond
	// listTimeout bounds the listing of a result; it is repeated after it.
	listTimeout = 2 * time.Second
)

var (
	errEnded  = errors.New("the batch ended")
	errOffice = errors.New("another process leads")
)

// work is one item that has no result.
type work struct {
	batch *batch.Batch
	item  batch.Item
	// service is where it runs.
	service string
	// progress belongs to the run while running is true, else to the driver.
	progress itemrun.Progress
	running  bool
	// saved tells what of the progress stands in the log, and saving that a
	// part is on its way there.
	saved  mark
	saving atomic.Bool
	// anew counts how often the item began anew.
	anew int
	// failures counts the engine's errors, runs all runs, moves those that went on
	// at a faster engine.
	failures, runs, moves int
	avoid                 map[string]bool
	cancel                context.CancelCauseFunc
}

// reset drops what runs have brought.
func (w *work) reset() {
	w.progress, w.saved = itemrun.Progress{}, mark{}
	w.anew++
}

// driver runs the items of open batches while this process leads.
type driver struct {
	s      *Server
	table  *placement.Table
	runner *itemrun.Runner
	wake   chan struct{}

	// eventMu guards the changes that the log has committed and that the
	// driver has not taken in yet, in the order of the log.
	eventMu sync.Mutex
	events  []event

	mu    sync.Mutex
	queue *itemqueue.Queue
	works map[itemqueue.Key]*work
	// homes prefers a server for the items of a group.
	homes map[string]string
	// kept holds what runs of ended batches have brought.
	kept  *partials
	state *feed.State
	// tokenTime is how long an engine takes for a token that callers estimate.
	tokenTime time.Duration
	// term is the term that the works belong to, zero while not leading.
	term uint64
}

// event is a committed change of a batch.
type event struct {
	batch *batch.Batch
	// open are the items to run; ended are those that need not run any more.
	open  []batch.Item
	ended []itemqueue.Key
	// groups belong to ended.
	groups []string
}

func newDriver(s *Server) *driver {
	d := &driver{s: s, table: placement.NewTable(), runner: &itemrun.Runner{Client: s.cfg.Engines, Headers: s.cfg.Headers},
		wake: make(chan struct{}, 1), state: &feed.State{}, tokenTime: tokenTimeFirst}
	d.table.Connected = s.cfg.Engines.Idle
	d.table.Overage, d.table.Slack = s.cfg.Site.Bounds.Overage, s.cfg.Site.Bounds.Slack
	d.clear()
	return d
}

func (d *driver) clear() {
	d.queue, d.works, d.homes, d.kept, d.term = itemqueue.New(), map[itemqueue.Key]*work{}, map[string]string{}, newPartials(), 0
}

func (d *driver) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// learned takes in news from control.
func (d *driver) learned(st *feed.State) {
	d.table.Update(st.Instances, st.Public.ZonesOut, st.Table, 1)
	d.mu.Lock()
	d.state = st
	d.mu.Unlock()
	d.poke()
}

// run looks for work until ctx ends.
func (d *driver) run(ctx context.Context) {
	tick := time.NewTicker(dispatchPeriod)
	defer tick.Stop()
	idle := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-d.wake:
			time.Sleep(dispatchPause)
		}
		d.takeOffice(ctx)
		d.takeEvents()
		if _, _, leads := d.s.replica.Node().HoldsLease(); leads {
			d.dispatch(ctx)
		}
		if time.Since(idle) > time.Second {
			idle = time.Now()
			d.tidy(idle)
			d.s.cfg.Engines.CloseIdle()
		}
	}
}

// takeOffice starts with the open items of the log when this process begins
// to lead, and stops all runs when it ceases to.
func (d *driver) takeOffice(ctx context.Context) {
	st := d.s.replica.Node().Status()
	d.mu.Lock()
	defer d.mu.Unlock()
	if st.Role == quorum.Leader && st.Term == d.term {
		return
	}
	d.stopAll()
	term, _, leads := d.s.replica.Node().HoldsLease()
	if !leads {
		return
	}
	var open []event
	err := d.s.onLeader(ctx, func() {
		for _, b := range d.s.batches.All() {
			open = append(open, event{batch: b, open: b.OpenItems()})
		}
	})
	if err != nil {
		return // another process leads by now
	}
	for _, e := range open {
		d.take(e)
	}
	d.term = term
	d.s.feed.ReportNow()
	d.s.log.WithFields(logrus.Fields{"term": term, "batches": len(open), "items": len(d.works)}).Info("driving batches")
}

func (d *driver) stopAll() {
	for _, w := range d.works {
		if w.cancel != nil {
			w.cancel(errOffice)
		}
	}
	d.clear()
}

// applied notes a committed change. It runs on the control goroutine.
func (d *driver) applied(e batch.Effect) {
	var x event
	switch {
	case e.Accepted != nil:
		x = event{batch: e.Accepted, open: e.Accepted.OpenItems()}
	case e.Ended != nil:
		x.batch = e.Ended
		for _, item := range e.Ended.Items {
			x.ended = append(x.ended, itemqueue.Key{Batch: e.Ended.ID, Item: item.ID})
			x.groups = append(x.groups, item.Group)
		}
	default:
		return
	}
	d.eventMu.Lock()
	d.events = append(d.events, x)
	d.eventMu.Unlock()
	d.poke()
}

// takeEvents takes in what the log has committed.
func (d *driver) takeEvents() {
	d.eventMu.Lock()
	events := d.events
	d.events = nil
	d.eventMu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == 0 {
		return
	}
	for _, e := range events {
		d.take(e)
	}
}

// take queues the open items of a batch, or stops those of an ended one.
func (d *driver) take(e event) {
	for i, item := range e.open {
		k := itemqueue.Key{Batch: e.batch.ID, Item: item.ID}
		if d.works[k] != nil {
			continue
		}
		d.works[k] = d.newWork(e.batch, item)
		d.queue.Add(itemqueue.Item{Key: k, Group: item.Group, Due: e.batch.DueTime(), Index: i,
			Estimate: d.expected(item)})
	}
	for i, k := range e.ended {
		if w := d.works[k]; w != nil {
			d.endWork(w)
		}
		delete(d.works, k)
		d.queue.Done(k)
		delete(d.homes, k.Batch+" "+e.groups[i])
	}
}

// dispatch starts every item that has a place.
func (d *driver) dispatch(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == 0 || d.state.Table == nil {
		return
	}
	now := time.Now()
	full := map[need]bool{}
	for _, x := range d.queue.Runnable(now) {
		w := d.works[x.Key]
		if w == nil {
			d.queue.Done(x.Key)
			continue
		}
		if d.giveUp(ctx, x.Key, w, now) {
			continue
		}
		d.start(ctx, x.Key, w, full, now)
	}
}

// leastVersions returns the oldest weight versions that open batches allow, by
// model: the highest of each model, since the older steps end first.
func (d *driver) leastVersions() map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]uint64{}
	for _, w := range d.works {
		if m := w.batch.Model; m != "" {
			out[m] = max(out[m], w.batch.MinVersion)
		}
	}
	return out
}

// giveUp lists an item as dead whose time or route is over.
func (d *driver) giveUp(ctx context.Context, k itemqueue.Key, w *work, now time.Time) bool {
	b := w.batch
	expired := b.Expiry > 0 && now.After(time.UnixMilli(b.Submitted+b.Expiry))
	if !expired {
		return false
	}
	d.queue.Start(k)
	go d.list(ctx, k, w, batch.Result{Item: k.Item, State: batch.Dead}, "expired")
	return true
}

// need is what items ask of a server alike: when one finds no place, the others
// need not look.
type need struct {
	service, model string
	minVersion     uint64
}

// start runs an item if a server has a place for it.
func (d *driver) start(ctx context.Context, k itemqueue.Key, w *work, full map[need]bool, now time.Time) {
	route := d.state.Table.RouteByName(w.batch.Route)
	if route == nil {
		route = d.state.Table.Route(w.batch.Host, w.item.Path)
	}
	if route == nil {
		return
	}
	w.service = route.Choose(draw(w.item.ID))
	n := need{w.service, w.batch.Model, w.batch.MinVersion}
	if full[n] {
		return
	}
	home := w.batch.ID + " " + w.item.Group
	want := placement.Requirement{Service: w.service, Model: w.batch.Model, MinVersion: w.batch.MinVersion, Prefer: d.homes[home],
		Avoid: w.avoid, Strict: true}
	if route.SingleVersion && len(w.progress.Versions) > 0 {
		w.reset()
	}
	slot, ok := d.table.Take(want, now)
	if !ok {
		full[n] = len(w.avoid) == 0
		w.avoid = nil
		return
	}
	d.homes[home] = slot.ID
	w.runs++
	d.queue.Start(k)
	runCtx, cancel := context.WithCancelCause(ctx)
	w.cancel, w.running = cancel, true
	d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "instance": slot.ID, "prefer": want.Prefer,
		"running": slot.Running, "roster": d.state.Roster, "run": w.runs, "events": w.progress.Events}).Debug("run started")
	want.Avoid = nil
	go d.runItem(runCtx, ctx, k, w, slot, want)
}

// draw spreads the items of a batch over the weights of its route.
func draw(id string) float64 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return float64(h) / (1 << 32)
}
