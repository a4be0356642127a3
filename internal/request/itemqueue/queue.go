package itemqueue

import (
	"cmp"
	"slices"
	"time"
)

// Key identifies an item of a batch.
type Key struct{ Batch, Item string }

// Item is the scheduling data of one batch item.
type Item struct {
	Key
	Group string
	// Due is the deadline of the batch.
	Due time.Time
	// Estimate is the expected duration of a run, zero if unknown.
	Estimate time.Duration
	// Index is the position of the item in the submission.
	Index int
	// NotBefore is the earliest time of the next run. It is set after a refusal.
	NotBefore time.Time
	// HasProgress is true if an earlier run of the item has produced events.
	HasProgress bool
	// Ref is the caller's own data of the item.
	Ref any

	// own is the group of the item.
	own *group
	// running is true while the item runs.
	running bool
	// key is what the item was last sorted by; changed is true if its position may have changed since.
	key     sortKey
	changed bool
}

// group holds the unfinished items of one group of a batch.
type group struct {
	batch string
	items []*Item
	// waiting and running are the numbers of items that are not done.
	waiting, running int
	// started is true once an item of the group has been started.
	started bool
	// first is the lowest submission index among the items of the group.
	first int
	due   time.Time
	// rank is the position of the group in the latest plan, zero without one.
	rank int32
	// last is true once a plan has put the group behind those that can be complete in time.
	last bool
}

type groupKey struct{ batch, group string }

// Queue holds the waiting and running items. It is not safe for concurrent use.
type Queue struct {
	waiting map[Key]*Item
	running map[Key]*Item
	groups  map[groupKey]*group
	// sorted holds the waiting items in order, apart from those in changed; the others are buffers.
	sorted, changed, moved, merged, runnable []*Item
	// overloaded is the result of the latest plan.
	overloaded bool
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{waiting: map[Key]*Item{}, running: map[Key]*Item{}, groups: map[groupKey]*group{}}
}

// Missing returns the number of items that the group of an item still waits for, including
// running ones; zero if the item is unknown.
func (q *Queue) Missing(k Key) int {
	x := q.waiting[k]
	if x == nil {
		x = q.running[k]
	}
	if x == nil {
		return 0
	}
	return x.own.waiting + x.own.running
}

func (x *Item) group() groupKey {
	if x.Group == "" {
		return groupKey{x.Batch, "\x00" + x.Key.Item}
	}
	return groupKey{x.Batch, x.Group}
}

// Add queues an item as waiting. It does nothing if the item is already queued or
// running.
func (q *Queue) Add(x Item) {
	if q.waiting[x.Key] != nil || q.running[x.Key] != nil {
		return
	}
	g := q.groups[x.group()]
	if g == nil {
		g = &group{batch: x.Batch, first: x.Index, due: x.Due}
		q.groups[x.group()] = g
	}
	g.waiting++
	g.first = min(g.first, x.Index)
	x.own = g
	g.items = append(g.items, &x)
	q.waiting[x.Key] = &x
	q.changeGroup(g)
}

// Len returns the number of waiting and of running items.
func (q *Queue) Len() (waiting, running int) { return len(q.waiting), len(q.running) }

// Runnable returns the waiting items whose NotBefore has passed, in the order in which
// they should run. The result is valid until the next call.
func (q *Queue) Runnable(now time.Time) []*Item {
	q.sort()
	q.runnable = q.runnable[:0]
	for _, x := range q.sorted {
		if !now.Before(x.NotBefore) {
			q.runnable = append(q.runnable, x)
		}
	}
	return q.runnable
}

// change notes that the position of a waiting item may change.
func (q *Queue) change(x *Item) {
	if !x.changed {
		x.changed = true
		q.changed = append(q.changed, x)
	}
}

// changeGroup notes that the positions of the waiting items of a group may change.
func (q *Queue) changeGroup(g *group) {
	for _, x := range g.items {
		if !x.running {
			q.change(x)
		}
	}
}

// sort merges the items whose position may have changed into the others, which are still in
// order: a dispatch changes few of up to 2,000 items, and there are up to 250 a second.
func (q *Queue) sort() {
	if len(q.changed) == 0 {
		return
	}
	moved := q.moved[:0]
	for _, x := range q.changed {
		if q.waiting[x.Key] == x {
			x.key = x.sortKey()
			moved = append(moved, x)
		}
	}
	slices.SortFunc(moved, compareItems)
	q.moved = moved
	out := q.merged[:0]
	for _, x := range q.sorted {
		if x.changed || x.running {
			continue
		}
		for len(moved) > 0 && compareItems(moved[0], x) < 0 {
			out = append(out, moved[0])
			moved = moved[1:]
		}
		out = append(out, x)
	}
	out = append(out, moved...)
	clear(q.sorted)
	q.merged, q.sorted = q.sorted[:0], out
	for _, x := range q.changed {
		x.changed = false
	}
	clear(q.changed)
	clear(q.moved)
	q.changed = q.changed[:0]
}

// sortKey holds what items are ordered by.
type sortKey struct {
	rank, latestStart, due int64
	missing, first         int
}

func (x *Item) sortKey() sortKey {
	g := x.own
	return sortKey{int64(g.rank)<<1 | rank(x), x.latestStart(), g.due.UnixNano(), g.missing(), g.first}
}

func compareItems(x, y *Item) int {
	a, b := &x.key, &y.key
	switch {
	case a.rank != b.rank:
		return cmp.Compare(a.rank, b.rank)
	case a.latestStart != b.latestStart:
		return cmp.Compare(a.latestStart, b.latestStart)
	case a.due != b.due:
		return cmp.Compare(a.due, b.due)
	case a.missing != b.missing:
		return cmp.Compare(a.missing, b.missing)
	case a.first != b.first:
		return cmp.Compare(a.first, b.first)
	case x.Index != y.Index:
		return cmp.Compare(x.Index, y.Index)
	}
	return cmp.Compare(x.Key.Item, y.Key.Item)
}

// startResolution is the resolution to which latest start times are compared. Run
// estimates are no more precise, and groups within one interval are completed one
// after the other.
const startResolution = 500 * time.Millisecond

// latestStart returns the latest start that meets the deadline, in units of
// startResolution.
func (x *Item) latestStart() int64 {
	return x.Due.Add(-x.Estimate).UnixMilli() / startResolution.Milliseconds()
}

func rank(x *Item) int64 {
	if x.HasProgress {
		return 0
	}
	return 1
}

// missing returns the number of waiting items of a started group. Groups that have not
// started sort after all others.
func (g *group) missing() int {
	if !g.started {
		return 1 << 30
	}
	return g.waiting
}

// Start moves an item from waiting to running.
func (q *Queue) Start(k Key) {
	x := q.waiting[k]
	if x == nil {
		return
	}
	delete(q.waiting, k)
	q.running[k] = x
	x.running = true
	g := x.own
	g.waiting--
	g.running++
	g.started = true
	q.change(x)
	q.changeGroup(g)
}

// Requeue moves a running item back to waiting and sets its
// HasProgress and NotBefore.
func (q *Queue) Requeue(k Key, hasProgress bool, notBefore time.Time) {
	x := q.running[k]
	if x == nil {
		return
	}
	delete(q.running, k)
	x.running = false
	g := x.own
	g.running--
	g.waiting++
	x.HasProgress, x.NotBefore = hasProgress, notBefore
	q.waiting[k] = x
	q.changeGroup(g)
}

// Done removes an item, and its group with the last item.
func (q *Queue) Done(k Key) {
	x, waits := q.waiting[k]
	if !waits {
		x = q.running[k]
	}
	if x == nil {
		return
	}
	g := x.own
	if waits {
		g.waiting--
	} else {
		g.running--
	}
	delete(q.waiting, k)
	delete(q.running, k)
	if i := slices.Index(g.items, x); i >= 0 {
		g.items = slices.Delete(g.items, i, i+1)
	}
	if waits {
		q.change(x)
		q.changeGroup(g)
	}
	if g.waiting+g.running == 0 {
		delete(q.groups, x.group())
	}
}
