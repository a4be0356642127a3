package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/place"
	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/itemrun"
	"github.com/plantainbank/plantainbank/internal/request/pick"
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
	service  string
	progress itemrun.Progress
	// failures counts the engine's errors, runs all runs.
	failures, runs int
	avoid          map[string]bool
	cancel         context.CancelCauseFunc
}

// driver runs the items of open batches while this process leads.
type driver struct {
	s      *Server
	table  *place.Table
	runner *itemrun.Runner
	wake   chan struct{}

	// eventMu guards the changes that the log has committed and that the
	// driver has not taken in yet, in the order of the log.
	eventMu sync.Mutex
	events  []event

	mu    sync.Mutex
	queue *pick.Queue
	works map[pick.Key]*work
	// homes prefers a server for the items of a group.
	homes map[string]string
	state *feed.State
	// term is the term that the works belong to, zero while not leading.
	term uint64
}

// event is a committed change of a batch.
type event struct {
	batch *batch.Batch
	// open are the items to run; ended are those that need not run any more.
	open  []batch.Item
	ended []pick.Key
	// groups belong to ended.
	groups []string
}

func newDriver(s *Server) *driver {
	d := &driver{s: s, table: place.NewTable(), runner: &itemrun.Runner{Client: s.cfg.Engines, Headers: s.cfg.Headers},
		wake: make(chan struct{}, 1), state: &feed.State{}}
	d.table.Overage, d.table.Slack = s.cfg.Site.Bounds.Overage, s.cfg.Site.Bounds.Slack
	d.clear()
	return d
}

func (d *driver) clear() {
	d.queue, d.works, d.homes, d.term = pick.New(), map[pick.Key]*work{}, map[string]string{}, 0
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
		if _, _, leads := d.s.replica.Node().Holds(); leads {
			d.dispatch(ctx)
		}
		if time.Since(idle) > time.Second {
			idle = time.Now()
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
	term, _, leads := d.s.replica.Node().Holds()
	if !leads {
		return
	}
	var open []event
	err := d.s.onLeader(ctx, func() {
		for _, b := range d.s.batches.All() {
			open = append(open, event{batch: b, open: b.Open()})
		}
	})
	if err != nil {
		return // another process leads by now
	}
	for _, e := range open {
		d.take(e)
	}
	d.term = term
	d.s.feed.Hurry()
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
		x = event{batch: e.Accepted, open: e.Accepted.Open()}
	case e.Ended != nil:
		x.batch = e.Ended
		for _, item := range e.Ended.Items {
			x.ended = append(x.ended, pick.Key{Batch: e.Ended.ID, Item: item.ID})
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
		k := pick.Key{Batch: e.batch.ID, Item: item.ID}
		if d.works[k] != nil {
			continue
		}
		d.works[k] = &work{batch: e.batch, item: item}
		d.queue.Add(pick.Item{Key: k, Group: item.Group, Due: e.batch.DueTime(), Order: i})
	}
	for i, k := range e.ended {
		if w := d.works[k]; w != nil && w.cancel != nil {
			w.cancel(errEnded)
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
	for _, x := range d.queue.Next(now) {
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
func (d *driver) giveUp(ctx context.Context, k pick.Key, w *work, now time.Time) bool {
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
func (d *driver) start(ctx context.Context, k pick.Key, w *work, full map[need]bool, now time.Time) {
	route := d.state.Table.Named(w.batch.Route)
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
	want := place.Want{Service: w.service, Model: w.batch.Model, MinVersion: w.batch.MinVersion, Prefer: d.homes[home],
		Avoid: w.avoid, Strict: true}
	if route.Single && len(w.progress.Versions) > 0 {
		w.progress = itemrun.Progress{}
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
	w.cancel = cancel
	go d.runItem(runCtx, ctx, k, w, slot)
}

// draw spreads the items of a batch over the weights of its route.
func draw(id string) float64 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return float64(h) / (1 << 32)
}

// runItem runs an item once and decides what follows.
func (d *driver) runItem(runCtx, ctx context.Context, k pick.Key, w *work, slot place.Slot) {
	res := d.runner.Run(runCtx, slot, w.batch, w.item, &w.progress)
	w.cancel(nil)
	d.release(slot, w, res)
	if res.End != itemrun.Whole && res.End != itemrun.Stopped {
		d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "instance": slot.ID, "end": string(res.End),
			"status": res.Status, "events": len(w.progress.Data), "runs": w.runs, "took_ms": res.Took.Milliseconds()}).
			WithError(res.Err).Info("run ended early")
	}
	d.s.cfg.Scope.Tagged(map[string]string{"end": string(res.End)}).Counter("runs").Inc(1)
	switch res.End {
	case itemrun.Whole:
		d.finish(ctx, k, w)
	case itemrun.Hopeless:
		d.list(ctx, k, w, batch.Result{Item: k.Item, State: batch.Dead}, "the engine can never run it")
	case itemrun.Failed:
		w.failures++
		if d.exhausted(w) {
			d.list(ctx, k, w, batch.Result{Item: k.Item, State: batch.Dead}, "all attempts failed")
			return
		}
		d.again(k, w, slot, failPause)
	case itemrun.Cut, itemrun.Unreached:
		d.again(k, w, slot, 0)
	case itemrun.NotRun, itemrun.Elsewhere:
		d.again(k, w, slot, runPause)
	}
}

// holds reports whether the driver still has the work: it forgets all of it
// when another process leads.
func (d *driver) holds(k pick.Key, w *work) bool {
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
	route := d.state.Table.Named(w.batch.Route)
	return route != nil && w.failures >= max(1, route.Attempts)
}

// release tells the table how the run went.
func (d *driver) release(slot place.Slot, w *work, res itemrun.Result) {
	outcome := place.Served
	var pace time.Duration
	switch res.End {
	case itemrun.Whole:
		pace = res.Took / time.Duration(max(1, res.Events))
	case itemrun.Failed, itemrun.Hopeless:
		outcome = place.Failed
	case itemrun.NotRun:
		outcome = place.Loading
	case itemrun.Elsewhere:
		outcome = place.Misdirected
	case itemrun.Cut:
		outcome = place.Lost
	case itemrun.Unreached:
		outcome = place.Broken
	case itemrun.Stopped:
		outcome = place.Abandoned
	}
	if n := len(w.progress.Versions); n > 0 && res.Events > 0 && w.batch.Model != "" {
		d.table.Learn(slot, w.batch.Model, w.progress.Versions[n-1])
	}
	d.table.Done(slot, outcome, pace, time.Now())
	d.poke()
}

// finish lists a whole item, unless its versions do not fit its batch.
func (d *driver) finish(ctx context.Context, k pick.Key, w *work) {
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
	if err := r.Pack(); err != nil {
		d.s.log.WithError(err).WithField("item", k.Item).Warn("a text is stored as it is")
	}
	w.progress = itemrun.Progress{}
	d.list(ctx, k, w, r, "")
}

func (d *driver) single(w *work) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.Table == nil {
		return false
	}
	route := d.state.Table.Named(w.batch.Route)
	return route != nil && route.Single
}

// restart runs an item from its beginning.
func (d *driver) restart(k pick.Key, w *work, reason string) {
	d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "versions": w.progress.Versions, "reason": reason}).
		Info("item starts anew")
	d.mu.Lock()
	defer d.mu.Unlock()
	w.progress = itemrun.Progress{}
	d.queue.Again(k, true, time.Now())
	d.poke()
}

// again queues an item for another run, elsewhere if there is another server.
func (d *driver) again(k pick.Key, w *work, slot place.Slot, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.avoid = map[string]bool{slot.ID: true}
	if d.homes[k.Batch+" "+w.item.Group] == slot.ID {
		delete(d.homes, k.Batch+" "+w.item.Group)
	}
	d.queue.Again(k, len(w.progress.Data) > 0, time.Now().Add(pause))
	d.poke()
}

// list commits a result. Until another process leads it is tried again, also
// while this one has no lease for a moment: an item is listed once, whatever is
// proposed, and nobody else would list it.
func (d *driver) list(ctx context.Context, k pick.Key, w *work, r batch.Result, why string) {
	for n := 0; ; n++ {
		tryCtx, cancel := context.WithTimeout(ctx, listTimeout)
		err := d.s.propose(tryCtx, &batch.Command{List: &batch.List{Batch: k.Batch, Results: []batch.Result{r}}})
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
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.works, k)
	d.queue.Done(k)
}
