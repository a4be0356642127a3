package store

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/connection/ratelimit"
	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/forward"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
	"github.com/plantainbank/plantainbank/internal/request/itemrun"
	"github.com/plantainbank/plantainbank/internal/request/scorequeue"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// Intervals and timeouts of the driver.
const (
	// dispatchInterval is the interval between dispatches when nothing else wakes the
	// driver. Nothing does at the end of a cooldown or of a retry delay, or when a cold
	// server gets new credit.
	dispatchInterval = 100 * time.Millisecond
	// dispatchDelay coalesces concurrent events into one dispatch, since each dispatch
	// sorts all waiting items.
	dispatchDelay = 4 * time.Millisecond
	// commitRetryDelay is the delay before a result is proposed again.
	commitRetryDelay = 50 * time.Millisecond
	// refusalRetryDelay is the delay before an item that an engine refused runs again.
	refusalRetryDelay = 60 * time.Millisecond
	// failureRetryDelay is the delay before an item that failed runs again.
	failureRetryDelay = 150 * time.Millisecond
	// commitTimeout bounds one proposal of a result; after it the result is proposed again.
	commitTimeout = 2 * time.Second
)

var (
	errBatchEnded     = errors.New("batch ended")
	errLeadershipLost = errors.New("leadership lost")
)

// pendingItem is an item that has no result yet.
type pendingItem struct {
	batch *batch.Batch
	item  batch.Item
	// term is the term of the driver that created the item.
	term uint64
	// service is the service whose engines run the item.
	service string
	// route is the route of the item in the configuration routedBy.
	route    *routing.Route
	routedBy *routing.Table
	// carried is true if an earlier batch had the item and ended without its result.
	carried bool
	// progress is owned by the run while running is true, otherwise by the driver.
	progress itemrun.Progress
	running  bool
	// checkpointed is how much of the progress is in the log; checkpointing is true
	// while a checkpoint is being written.
	checkpointed  checkpointPos
	checkpointing atomic.Bool
	// textStored is true if the log has the complete text. score is nil until the text is
	// complete and its scorer is to be called.
	textStored bool
	score      *scoring
	// restarts counts how often the progress was discarded.
	restarts int
	// failures counts the runs that the engine failed, runs all runs, and moves the
	// runs that were ended to continue on a faster engine.
	failures, runs int
	moves          atomic.Int32
	avoid          map[string]bool
	// blockedAt is since when the item has found no free engine of the software version that
	// began it; zero if it has not looked for one.
	blockedAt time.Time
	// blockedBy is what the item required when the latest dispatch skipped it since no engine had a free slot.
	blockedBy requirementKey
	cancel    context.CancelCauseFunc
	// slot is the slot of the current run; pulse is written by the run. next is the slot of the run
	// that continues it, nil if none was taken.
	slot  placement.Slot
	pulse pulse
	next  *placement.Slot
	promptState
}

// reset discards the progress of earlier runs.
func (w *pendingItem) reset() {
	w.progress, w.checkpointed, w.textStored = itemrun.Progress{}, checkpointPos{}, false
	w.score = nil
	w.restarts++
}

// driver runs the items of open batches while this process is the leader.
type driver struct {
	s      *Server
	table  *placement.Table
	runner *itemrun.Runner
	// scoreTable and forwarder place and send the calls of scorers.
	scoreTable *placement.Table
	forwarder  *forward.Forwarder
	wake       chan struct{}

	// changeMu guards changes, the committed changes that the driver has not applied
	// yet, in log order.
	changeMu sync.Mutex
	changes  []batchChange

	mu      sync.Mutex
	queue   *itemqueue.Queue
	scores  *scorequeue.Queue
	pending map[itemqueue.Key]*pendingItem
	// preferred maps the batch and group of an item to the engine that last ran an item
	// of the group.
	preferred map[string]string
	// partials holds the partial results of ended batches.
	partials *partials
	// endingRuns counts the runs of ended batches that were canceled and have not ended yet.
	endingRuns map[partialKey]int
	state      *feed.State
	// work is the expected work of the models' steps.
	work workEstimates
	// sharing divides capacity among trainers; submissions are those that are being stored.
	sharing     *sharing
	submissions *submissions
	// engines is what is known of the kinds of engines.
	engines engineKinds
	// tokenTime is the average run time per token of the callers' length estimates.
	tokenTime time.Duration
	// nextUpgrade is the earliest time at which upgradeRuns looks at the running items again.
	nextUpgrade time.Time
	// measured is true once this leader has the event times of the one before; reported selects those
	// that control gets.
	measured bool
	reported eventTimeReport
	// prompts places items by cached prompts, nil if that is switched off.
	prompts *prompts
	// term is the term in which pending was built, zero while not the leader.
	term uint64
}

// batchChange is a committed change of a batch.
type batchChange struct {
	batch *batch.Batch
	// open lists the items to run; ended those that are not run any more.
	open  []batch.Item
	ended []itemqueue.Key
	// served is the sum of the length estimates of the items that had a result when a new leader read the batch.
	served int
	// groups holds the groups of the items in ended, by index.
	groups []string
}

func newDriver(s *Server) *driver {
	d := &driver{s: s, table: placement.NewTable(),
		wake: make(chan struct{}, 1), state: &feed.State{}, tokenTime: initialTokenTime, submissions: newSubmissions()}
	d.runner = &itemrun.Runner{Client: s.cfg.Engines, Headers: s.cfg.Headers, Limits: s.limitReader(d.table),
		Departures: s.departureReader(d.table)}
	d.table.Connected = s.cfg.Engines.Idle
	d.table.ByEventTime = s.cfg.Site.Scheduling.Speeds
	d.prompts = newPrompts(s.cfg.Site.Scheduling.Prompts, s.cfg.Headers.PromptPrefix)
	d.scoreTable = placement.NewTable()
	d.scoreTable.Limits, d.scoreTable.Departures = d.table.Limits, d.table.Departures
	d.scoreTable.Zone, d.scoreTable.Connected = s.cfg.Site.Zone, s.cfg.Engines.Idle
	d.forwarder = forward.New(forward.Config{Table: d.scoreTable, Client: s.cfg.Engines, Headers: s.cfg.Headers, Log: s.log,
		Scope: s.cfg.Scope, Limits: s.limitReader(d.scoreTable), Departures: s.departureReader(d.scoreTable), OnStart: func(string) {}})
	d.clear()
	return d
}

func (s *Server) limitReader(t *placement.Table) *ratelimit.Reader {
	return ratelimit.NewReader(ratelimit.ReaderConfig{Book: t.Limits, Header: s.cfg.Headers.RateLimit, Log: s.log, Scope: s.cfg.Scope})
}

func (s *Server) departureReader(t *placement.Table) *departure.Reader {
	return departure.NewReader(departure.ReaderConfig{Set: t.Departures, Header: s.cfg.Headers.Leaving,
		Report: func(x departure.Incarnation) { s.feed.ReportLeaving(x) }, Log: s.log, Scope: s.cfg.Scope})
}

func (d *driver) clear() {
	d.queue, d.pending, d.preferred, d.partials, d.term = itemqueue.New(), map[itemqueue.Key]*pendingItem{}, map[string]string{}, newPartials(), 0
	d.endingRuns, d.scores, d.work = map[partialKey]int{}, scorequeue.New(), workEstimates{}
	d.measured = false
	d.prompts.reset()
	d.sharing = newSharing()
}

func (d *driver) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// applyUpdate applies an update from control.
func (d *driver) applyUpdate(st *feed.State) {
	d.table.Update(st.Instances, st.Public.ZonesOut, st.Table, 1)
	d.table.Limits.SetTurn(0, st.EntryHosts+1)
	d.updateScoreTable(st)
	d.prompts.update(st)
	d.mu.Lock()
	d.engines.update(st.Instances, time.Now())
	d.state = st
	d.mu.Unlock()
	d.wakeUp()
}

// run dispatches items until ctx ends.
func (d *driver) run(ctx context.Context) {
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	lastCleanup := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.moveStalled(time.Now())
		case <-d.wake:
			time.Sleep(dispatchDelay)
		}
		d.syncLeadership(ctx)
		d.applyChanges()
		if _, _, leads := d.s.replica.Node().HoldsLease(); leads {
			d.dispatch(ctx)
			d.dispatchScores(ctx)
		}
		if time.Since(lastCleanup) > time.Second {
			lastCleanup = time.Now()
			d.evictPartials(lastCleanup)
			d.s.cfg.Engines.CloseIdle()
		}
	}
}

// syncLeadership queues the open items of all batches when this process becomes the
// leader, and stops all runs when it loses leadership.
func (d *driver) syncLeadership(ctx context.Context) {
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
	var open []batchChange
	err := d.s.onLeader(ctx, func() {
		for _, b := range d.s.batches.All() {
			open = append(open, batchChange{batch: b, open: b.OpenItems(), served: servedTokens(b)})
		}
	})
	if err != nil {
		return // leadership was lost meanwhile
	}
	d.term = term
	d.submissions.clear(term)
	for _, e := range open {
		d.applyChange(e)
	}
	d.s.feed.ReportNow()
	d.s.log.WithFields(logrus.Fields{"term": term, "batches": len(open), "items": len(d.pending)}).Info("driving batches")
}

func (d *driver) stopAll() {
	for _, w := range d.pending {
		d.releaseNext(w)
		if w.cancel != nil {
			w.cancel(errLeadershipLost)
		}
	}
	d.clear()
}

// enqueueChange queues a committed change for the driver. It runs on the control
// goroutine.
func (d *driver) enqueueChange(e batch.Effect) {
	var x batchChange
	switch {
	case e.Accepted != nil:
		x = batchChange{batch: e.Accepted, open: e.Accepted.OpenItems()}
	case e.Ended != nil:
		x.batch = e.Ended
		for _, item := range e.Ended.Items {
			x.ended = append(x.ended, itemqueue.Key{Batch: e.Ended.ID, Item: item.ID})
			x.groups = append(x.groups, item.Group)
		}
	default:
		return
	}
	d.changeMu.Lock()
	d.changes = append(d.changes, x)
	d.changeMu.Unlock()
	d.wakeUp()
}

// applyChanges applies the queued changes; while this process is not the leader it
// discards them.
func (d *driver) applyChanges() {
	d.changeMu.Lock()
	changes := d.changes
	d.changes = nil
	d.changeMu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == 0 {
		return
	}
	for _, e := range changes {
		d.applyChange(e)
	}
}

// applyChange queues the open items of a batch, or stops the items of an ended one. The
// caller holds d.mu.
func (d *driver) applyChange(e batchChange) {
	if len(e.open) > 0 {
		d.work.add(e.batch)
	}
	d.shareBatch(e, time.Now())
	for i, item := range e.open {
		k := itemqueue.Key{Batch: e.batch.ID, Item: item.ID}
		if d.pending[k] != nil {
			continue
		}
		d.pending[k] = d.newPendingItem(e.batch, item)
		d.pending[k].carried = d.sharing.carries(e.batch, item)
		d.queue.Add(itemqueue.Item{Key: k, Group: item.Group, Due: e.batch.DueTime(), Index: i,
			Estimate: d.expectedTime(item), Ref: d.pending[k]})
	}
	open, running := 0, 0
	for i, k := range e.ended {
		if w := d.pending[k]; w != nil {
			open++
			d.leaveItem(w, time.Now())
			if w.running {
				running++
			}
			d.endItem(w)
		}
		delete(d.pending, k)
		d.queue.Done(k)
		d.scores.Done(k)
		delete(d.preferred, k.Batch+" "+e.groups[i])
	}
	if len(e.ended) > 0 {
		d.s.log.WithFields(logrus.Fields{"batch": e.batch.ID, "open": open, "running": running}).Info("items of an ended batch stopped")
	}
}

// minVersions returns the oldest weight version that open batches allow, by model. If
// batches of a model differ it is the highest one, since older steps end first.
func (d *driver) minVersions() map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]uint64{}
	for _, w := range d.pending {
		if m := w.batch.Model; m != "" {
			out[m] = max(out[m], w.batch.MinVersion)
		}
	}
	return out
}
