package store

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/fairshare"
	"github.com/plantainbank/plantainbank/internal/request/forecast"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
)

const (
	// planInterval is the least time between two plans. A plan follows at once if a batch was accepted or ended.
	planInterval = 200 * time.Millisecond
	// maxPlanLoad bounds the part of the time that goes into plans: at 8,000 items and 2,400 engines one takes
	// some 10 ms on a slow core.
	maxPlanLoad = 0.03
	// lateFactor is the time from a submission until its groups have lost all value, as a multiple of the time until
	// they are due: trainers give up after 12 s what is due after 7.5 s.
	lateFactor = 1.6
	// dueGrace is added to the due time of a step: its groups have their full value if they are read by 0.7 s after it,
	// and a commit and a read take 0.3 s at most. Without it, items that are started again shortly before the due time
	// look late while all slots are in use for a moment.
	dueGrace = 400 * time.Millisecond
	// unknownTime is the expected run time of an item without a length estimate, and unknownDue the due time of
	// a batch without one.
	unknownTime, unknownDue = time.Second, time.Hour
	// leastTime is the least time that a running item is expected to take yet.
	leastTime = 100 * time.Millisecond
	// staleVersions is how many versions an engine may be behind a lane and still count as about to load it, which
	// takes loadTime. Engines that follow a model load every second version; the others are further behind.
	staleVersions = 2
	loadTime      = 1500 * time.Millisecond
	// carryTime is how long an item that its batch left undone is known.
	carryTime = 30 * time.Second
	// overloadLogInterval is the least time between two log lines about plans that change the order.
	overloadLogInterval = 5 * time.Second
	// maxLoggedBatches bounds the batches named in such a line.
	maxLoggedBatches = 8
)

// sharing is the state of a leader by which it divides capacity among trainers.
type sharing struct {
	ledger *fairshare.Ledger
	// next is the time of the next plan, earliest the earliest one even if a batch is accepted or ended.
	next, earliest time.Time
	// spare is the number of groups that may be left undone, by batch.
	spare map[string]int
	// left holds the items that ended batches have left undone, and when.
	left map[carriedItem]time.Time
	// logged is when a plan that changes the order was logged last, announced is true until the end of the
	// shortage has been logged too.
	logged    time.Time
	announced bool
}

type carriedItem struct{ workspace, model, item string }

func newSharing() *sharing {
	return &sharing{ledger: fairshare.New(), spare: map[string]int{}, left: map[carriedItem]time.Time{}}
}

// carries reports whether an earlier batch had an item.
func (x *sharing) carries(b *batch.Batch, item batch.Item) bool {
	_, left := x.left[carriedItem{b.Workspace, b.Model, item.ID}]
	return left || item.Partial != nil
}

// leaveItem notes an item that its batch leaves undone. The caller holds d.mu.
func (d *driver) leaveItem(w *pendingItem, now time.Time) {
	if d.s.cfg.Site.Scheduling.Fair {
		d.sharing.left[carriedItem{w.batch.Workspace, w.batch.Model, w.item.ID}] = now
	}
}

// servedTokens returns the sum of the length estimates of the items with a result, zero once the batch has ended.
func servedTokens(b *batch.Batch) int {
	sum := 0
	for _, x := range b.Items {
		if !b.Ended && b.HasResult(x.ID) {
			sum += x.LengthHint
		}
	}
	return sum
}

// shareBatch prepares the sharing for a batch that was accepted or ended. The caller holds d.mu.
func (d *driver) shareBatch(e batchChange, now time.Time) {
	x := d.sharing
	x.next = x.earliest
	if len(e.ended) == 0 {
		d.submissions.stored(e.batch.ID)
	}
	if !d.s.cfg.Site.Scheduling.Fair || len(e.open) == 0 {
		return
	}
	x.spare[e.batch.ID] = spareGroups(e.batch)
	if e.served > 0 { // by an earlier leader
		w := &pendingItem{batch: e.batch, item: e.open[0]}
		x.ledger.Charge(d.flowOf(w), time.Duration(e.served)*d.tokenTime, time.UnixMilli(e.batch.Submitted))
	}
}

// spareGroups returns the number of groups of a batch that may be left undone.
func spareGroups(b *batch.Batch) int {
	if b.TargetGroups <= 0 {
		return 0
	}
	groups := map[string]bool{}
	single := 0
	for i := range b.Items {
		if b.Items[i].Group == "" {
			single++
		} else {
			groups[b.Items[i].Group] = true
		}
	}
	return max(0, len(groups)+single-b.TargetGroups)
}

// serviceOf returns the service whose engines run an item, empty if no route has it. The caller holds d.mu.
func (d *driver) serviceOf(w *pendingItem) string {
	route := d.routeOf(w)
	if route == nil {
		return ""
	}
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	return route.Choose(hashFraction(w.item.ID))
}

func (d *driver) flowOf(w *pendingItem) fairshare.Flow {
	return fairshare.Flow{Service: d.serviceOf(w), Workspace: w.batch.Workspace, Model: w.batch.Model}
}

// charge counts the expected time of an item that starts for the first time. The caller holds d.mu.
func (d *driver) charge(w *pendingItem, now time.Time) {
	if d.s.cfg.Site.Scheduling.Fair && w.runs == 1 {
		d.sharing.ledger.Charge(d.flowOf(w), d.waitingTime(w), now)
	}
}

// waitingTime returns the expected run time of an item that waits. The caller holds d.mu.
func (d *driver) waitingTime(w *pendingItem) time.Duration {
	if w.item.LengthHint == 0 {
		return unknownTime
	}
	if w.progress.Events == 0 {
		return d.expectedTime(w.item)
	}
	return max(leastTime, time.Duration(d.eventsLeft(w)*float64(d.eventTime(w))))
}

// runningTime returns the expected remaining time of an item that runs. The caller holds d.mu.
func (d *driver) runningTime(w *pendingItem) time.Duration {
	if w.item.LengthHint == 0 {
		return unknownTime
	}
	pace := time.Duration(w.pulse.mean.Load())
	if pace == 0 {
		pace = d.eventTime(w)
	}
	return max(leastTime, time.Duration(d.eventsLeft(w)*float64(pace)))
}

// eventTime returns the expected time of an event at an engine of average speed. The caller holds d.mu.
func (d *driver) eventTime(w *pendingItem) time.Duration {
	return time.Duration(d.stride(w.service)) * d.tokenTime
}

// stepOf returns what a plan needs to know of the batch of an item. The caller holds d.mu.
func (d *driver) stepOf(w *pendingItem, spare int) itemqueue.Step {
	b := w.batch
	submitted := time.UnixMilli(b.Submitted)
	due, expiry := time.Duration(b.Due)*time.Millisecond, time.Duration(b.Expiry)*time.Millisecond
	late := time.Duration(lateFactor * float64(due))
	if due == 0 {
		due = cmp.Or(expiry, unknownDue)
		late = due
	}
	if expiry > 0 {
		late = min(late, expiry)
	}
	x := itemqueue.Step{Flow: d.flowOf(w), Due: submitted.Add(due + dueGrace), Late: submitted.Add(late), Spare: spare}
	if route := d.routeOf(w); route != nil {
		x.Priority = d.state.Table.Priority(route, b.Workspace)
	}
	return x
}

// lane is what items require of an engine.
type lane struct {
	service, model string
	minVersion     uint64
}

// serves reports whether an engine can run the items of a lane, and whether it can now.
func (l lane) serves(e *placement.Engine) (serves, now bool) {
	version, has := e.Weights[l.model]
	switch {
	case e.Service != l.service, l.model != "" && !has:
		return false, false
	case l.model == "" || version >= l.minVersion:
		return true, true
	}
	return version+staleVersions >= l.minVersion, false
}

// lanes numbers the lanes of a plan. Those beyond the maximum share the last number.
type lanes struct {
	index map[lane]int
	all   []lane
}

func (x *lanes) number(l lane) int {
	i, known := x.index[l]
	if !known {
		i = len(x.all)
		x.index[l], x.all = i, append(x.all, l)
	}
	return min(i, forecast.MaxLanes-1)
}

func (d *driver) laneOf(w *pendingItem) lane {
	return lane{d.serviceOf(w), w.batch.Model, w.batch.MinVersion}
}

// outlook returns what the queue needs for a plan. Lanes of items that are not in the queue must be in x before. The
// caller holds d.mu.
func (d *driver) outlook(x *lanes, now time.Time) itemqueue.Outlook {
	steps := map[string]itemqueue.Step{}
	for _, w := range d.pending {
		x.number(d.laneOf(w))
		if _, known := steps[w.batch.ID]; !known {
			steps[w.batch.ID] = d.stepOf(w, d.sharing.spare[w.batch.ID])
		}
	}
	return itemqueue.Outlook{Pools: d.pools(x, now), Ledger: d.sharing.ledger,
		Step: func(id string) itemqueue.Step { return steps[id] },
		Left: func(item *itemqueue.Item, running bool) (time.Duration, int) {
			w := d.pending[item.Key]
			switch {
			case w == nil, running && !w.running: // its result is being scored or committed
				return leastTime, 0
			case running:
				return d.runningTime(w), x.number(d.laneOf(w))
			}
			return d.waitingTime(w), x.number(d.laneOf(w))
		},
		Carried: func(item *itemqueue.Item) bool {
			w := d.pending[item.Key]
			return w != nil && w.carried
		}}
}

// pools groups the engines by the lanes that they serve. The caller holds d.mu.
func (d *driver) pools(x *lanes, now time.Time) []forecast.Pool {
	type group struct {
		pool  forecast.Pool
		slots map[time.Duration]int
	}
	groups, byEngine := map[uint64]*group{}, map[string]*group{}
	for _, e := range d.table.Engines() {
		var set uint64
		from, current := e.From, false
		for i, l := range x.all {
			if serves, now := l.serves(&e); serves {
				set |= 1 << min(i, forecast.MaxLanes-1)
				current = current || now
				if until := e.Loading[l.model]; until.After(from) {
					from = until
				}
			}
		}
		if set == 0 {
			continue
		}
		if stale := now.Add(loadTime); !current && stale.After(from) {
			from = stale
		}
		g := groups[set]
		if g == nil {
			g = &group{forecast.Pool{Lanes: set}, map[time.Duration]int{}}
			groups[set] = g
		}
		byEngine[e.ID] = g
		g.slots[max(0, from.Sub(now)).Round(50*time.Millisecond)] += e.Slots
	}
	for _, w := range d.pending {
		if g := byEngine[w.slot.ID]; w.running && g != nil {
			g.pool.Running = append(g.pool.Running, d.runningTime(w))
		}
	}
	var out []forecast.Pool
	for _, set := range slices.Sorted(maps.Keys(groups)) {
		g := groups[set]
		for _, from := range slices.Sorted(maps.Keys(g.slots)) {
			g.pool.Slots = append(g.pool.Slots, forecast.Slots{Count: g.slots[from], From: from})
		}
		out = append(out, g.pool)
	}
	return out
}

// planSteps forecasts which groups can be complete in time, and orders the waiting items by it. The caller holds
// d.mu.
func (d *driver) planSteps(now time.Time) {
	x := d.sharing
	if !d.s.cfg.Site.Scheduling.Fair || now.Before(x.next) {
		return
	}
	start := time.Now()
	f := d.queue.Plan(now, d.outlook(newLanes(), now))
	x.ledger.Forget(now)
	maps.DeleteFunc(x.left, func(_ carriedItem, at time.Time) bool { return now.Sub(at) > carryTime })
	maps.DeleteFunc(x.spare, func(id string, _ int) bool { return !slices.Contains(f.Batches, id) })
	took := time.Since(start)
	x.earliest = now.Add(time.Duration(float64(took) / maxPlanLoad))
	x.next = now.Add(max(planInterval, x.earliest.Sub(now)))
	d.s.cfg.Scope.Timer("plan_build").Record(took)
	d.reportPlan(f, now)
}

func newLanes() *lanes { return &lanes{index: map[lane]int{}} }

// reportPlan counts and logs the plans that change the order. The caller holds d.mu.
func (d *driver) reportPlan(f itemqueue.Forecast, now time.Time) {
	x := d.sharing
	if !f.Plan.Overloaded {
		if x.announced {
			x.announced = false
			d.s.log.Info("all groups can be complete in time again")
		}
		return
	}
	d.s.cfg.Scope.Counter("plans_overloaded").Inc(1)
	d.s.cfg.Scope.Counter("groups_put_last").Inc(int64(f.PutLast))
	if now.Sub(x.logged) < overloadLogInterval {
		return
	}
	x.logged, x.announced = now, true
	counts, last := map[forecast.Class]int{}, map[string]int{}
	for i, c := range f.Plan.Classes {
		counts[c]++
		if c == forecast.Late || c == forecast.TooLate {
			last[f.Batches[f.Input.Groups[i].Batch]]++
		}
	}
	named := slices.Sorted(maps.Keys(last))
	d.s.log.WithFields(logrus.Fields{"groups": len(f.Plan.Classes), "in_time": counts[forecast.InTime], "optional": counts[forecast.Optional],
		"late": counts[forecast.Late], "too_late": counts[forecast.TooLate], "batches": named[:min(len(named), maxLoggedBatches)],
		"flows": len(f.Flows)}).Info("not all groups can be complete in time")
}

// engineKind is a service and a model that its engines run, empty for those that need none.
type engineKind struct{ service, model string }

// engineKinds is which kinds of engines there are.
type engineKinds struct {
	// known is since when the roster is known, seen when there was an engine of a kind at the latest.
	known time.Time
	seen  map[engineKind]time.Time
	all   []roster.Instance
}

// update takes the roster over.
func (x *engineKinds) update(all []roster.Instance, now time.Time) {
	if x.known.IsZero() {
		x.known, x.seen = now, map[engineKind]time.Time{}
	}
	x.note(now)
	x.all = all
	x.note(now)
	maps.DeleteFunc(x.seen, func(_ engineKind, at time.Time) bool { return now.Sub(at) > absence })
}

// note notes that the engines of the roster are there.
func (x *engineKinds) note(now time.Time) {
	for i := range x.all {
		if e := &x.all[i]; e.State != roster.Gone {
			x.seen[engineKind{e.Service, ""}] = now
			for model := range e.Weights {
				x.seen[engineKind{e.Service, model}] = now
			}
		}
	}
}

// absent reports whether there has been no engine of a kind for some time.
func (x *engineKinds) absent(kind engineKind, now time.Time) bool {
	x.note(now)
	return now.Sub(x.known) > absence && now.Sub(x.seen[kind]) > absence
}

// spread returns a time between three quarters of d and d, so that callers do not return at the same moment.
func spread(d time.Duration) time.Duration {
	return time.Duration((0.75 + 0.25*rand.Float64()) * float64(d))
}

// isBlocked reports whether an item that has not begun requires what was just found full. The dispatch then need not look
// at it again; there may be thousands of such items. The caller holds d.mu.
func (d *driver) isBlocked(w *pendingItem, full requirementKey) bool {
	return full != (requirementKey{}) && w.blockedBy == full && w.runs == 0 && !w.carried && w.next == nil && w.routedBy == d.state.Table
}
