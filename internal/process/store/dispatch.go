package store

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// dispatch starts the waiting items for which an engine has a free slot.
func (d *driver) dispatch(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == 0 || d.state.Table == nil {
		return
	}
	now := time.Now()
	d.upgradeRuns(now)
	d.planSteps(now)
	full := map[requirementKey]bool{}
	var latest requirementKey // the latest one that was found full
	items := d.queue.Runnable(now)
	d.orderByPrompt(items, now)
	for _, x := range items {
		w := x.Ref.(*pendingItem)
		if d.expireItem(ctx, x.Key, w, now) || d.isBlocked(w, latest) {
			continue
		}
		d.startRun(ctx, x.Key, w, full, now)
		if w.blockedBy != (requirementKey{}) {
			latest = w.blockedBy
		}
	}
}

// expireItem reports whether the expiry of an item has passed, and if so commits the item
// as dead. The caller holds d.mu.
func (d *driver) expireItem(ctx context.Context, k itemqueue.Key, w *pendingItem, now time.Time) bool {
	b := w.batch
	expired := b.Expiry > 0 && now.After(time.UnixMilli(b.Submitted+b.Expiry))
	if !expired {
		return false
	}
	d.releaseNext(w)
	d.queue.Start(k)
	go d.commitResult(ctx, k, w, batch.Result{Item: k.Item, State: batch.Dead}, "expired")
	return true
}

// requirementKey identifies the items that require the same of an engine. When no slot
// is found for one of them, dispatch skips the others.
type requirementKey struct {
	service, model string
	minVersion     uint64
	// software is the software version that began the items, with a prefix; empty if they start
	// at their beginning.
	software string
}

// routeOf returns the route of an item in the configuration that is in force, or nil if there is
// none. The caller holds d.mu.
func (d *driver) routeOf(w *pendingItem) *routing.Route {
	if d.state.Table == nil {
		return nil
	}
	if w.routedBy == d.state.Table {
		return w.route
	}
	w.routedBy, w.route = d.state.Table, d.findRoute(w)
	return w.route
}

// findRoute looks an item up as a request to the host of its batch: a name may belong to another
// route by now, to several or to none. An item whose path does not begin with the prefix under which its batch
// was submitted goes with that prefix.
func (d *driver) findRoute(w *pendingItem) *routing.Route {
	b := w.batch
	switch {
	case b.Host == "" && b.Prefix == "":
		return d.state.Table.RouteByName(b.Route) // of a version that stored no hosts
	case strings.HasPrefix(w.item.Path, b.Prefix):
		return d.state.Table.Route(b.Host, w.item.Path)
	}
	return d.state.Table.Route(b.Host, b.Prefix)
}

// startRun runs an item if an engine has a free slot for it. The caller holds d.mu.
func (d *driver) startRun(ctx context.Context, k itemqueue.Key, w *pendingItem, full map[requirementKey]bool, now time.Time) {
	w.blockedBy = requirementKey{}
	route := d.routeOf(w)
	if route == nil || d.awaitsProgress(w) {
		return
	}
	if w.runs == 0 {
		d.takePartial(w)
	}
	if w.progress.Complete {
		d.queue.Start(k)
		go d.finish(ctx, k, w)
		return
	}
	w.service = route.Choose(hashFraction(w.item.ID))
	if route.SingleVersion && len(w.progress.Versions) > 0 {
		w.reset()
	}
	software := d.softwareOf(k, w, now)
	key := requirementKey{w.service, w.batch.Model, w.batch.MinVersion, softwareKey(software)}
	if full[key] && w.next == nil {
		w.blockedBy = key
		return
	}
	group := w.batch.ID + " " + w.item.Group
	req := placement.Requirement{Service: w.service, Model: w.batch.Model, MinVersion: w.batch.MinVersion, Prefer: d.preferred[group],
		Software: software, Avoid: w.avoid, Strict: true, Fast: d.isLong(w, now), Priority: d.state.Table.Priority(route, w.batch.Workspace)}
	d.requirePrompt(&req, w, now)
	slot, ok := d.takeSlot(w, req, now)
	if !ok {
		full[key] = len(w.avoid) == 0
		w.avoid = nil
		return
	}
	if w.progress.Events > 0 {
		d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "instance": slot.ID, "software": slot.Software,
			"software_before": w.progress.Software, "events": w.progress.Events}).Info("item goes on")
	}
	d.preferred[group] = slot.ID
	w.runs++
	d.charge(w, now)
	d.queue.Start(k)
	runCtx, cancel := context.WithCancelCause(ctx)
	w.cancel, w.running, w.slot = cancel, true, slot
	w.pulse.begin(now)
	d.beginPrompt(w, slot)
	d.s.log.WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "instance": slot.ID, "prefer": req.Prefer,
		"running": slot.Running, "roster": d.state.Roster, "run": w.runs, "events": w.progress.Events,
		"shared": w.prompt.Shared().Tokens(), "cached": w.cached.Saved(), "choice": w.choice}).Debug("run started")
	w.blockedAt = time.Time{}
	req.Avoid, req.Software, req.Saved = nil, &slot.Software, nil // its later moves
	go d.runItem(runCtx, ctx, k, w, slot, req)
}

// takeSlot returns the slot of the next run of an item. The caller holds d.mu.
func (d *driver) takeSlot(w *pendingItem, req placement.Requirement, now time.Time) (placement.Slot, bool) {
	if w.next != nil && w.next.Service == req.Service {
		return *w.takeNext(), true
	}
	d.releaseNext(w)
	return d.table.Take(req, now)
}

// hashFraction maps an item ID to [0, 1), to distribute the items of a batch over the
// weighted targets of its route. It is the 32-bit FNV-1a hash.
func hashFraction(id string) float64 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return float64(h) / (1 << 32)
}
