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
}

// group counts the unfinished items of one group of a batch.
type group struct {
	// waiting and running are the numbers of items that are not done.
	waiting, running int
	// started is true once an item of the group has been started.
	started bool
	// first is the lowest submission index among the items of the group.
	first int
	due   time.Time
}

type groupKey struct{ batch, group string }

// Queue holds the waiting and running items. It is not safe for concurrent use.
type Queue struct {
	waiting map[Key]*Item
	running map[Key]*Item
	groups  map[groupKey]*group
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
	g := q.groups[x.group()]
	return g.waiting + g.running
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
		g = &group{first: x.Index, due: x.Due}
		q.groups[x.group()] = g
	}
	g.waiting++
	g.first = min(g.first, x.Index)
	q.waiting[x.Key] = &x
}

// Len returns the number of waiting and of running items.
func (q *Queue) Len() (waiting, running int) { return len(q.waiting), len(q.running) }

// Runnable returns the waiting items whose NotBefore has passed, in the order in which
// they should run.
func (q *Queue) Runnable(now time.Time) []*Item {
	var out []*Item
	for _, x := range q.waiting {
		if !now.Before(x.NotBefore) {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, q.compare)
	return out
}

func (q *Queue) compare(a, b *Item) int {
	ga, gb := q.groups[a.group()], q.groups[b.group()]
	return cmp.Or(
		cmp.Compare(rank(a), rank(b)),
		cmp.Compare(a.latestStart(), b.latestStart()),
		ga.due.Compare(gb.due),
		cmp.Compare(ga.missing(), gb.missing()),
		cmp.Compare(ga.first, gb.first),
		cmp.Compare(a.Index, b.Index),
		cmp.Compare(a.Key.Item, b.Key.Item),
	)
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

func rank(x *Item) int {
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
	g := q.groups[x.group()]
	g.waiting--
	g.running++
	g.started = true
}

// Requeue moves a running item back to waiting and sets its
// HasProgress and NotBefore.
func (q *Queue) Requeue(k Key, hasProgress bool, notBefore time.Time) {
	x := q.running[k]
	if x == nil {
		return
	}
	delete(q.running, k)
	g := q.groups[x.group()]
	g.running--
	g.waiting++
	x.HasProgress, x.NotBefore = hasProgress, notBefore
	q.waiting[k] = x
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
	g := q.groups[x.group()]
	if waits {
		g.waiting--
	} else {
		g.running--
	}
	delete(q.waiting, k)
	delete(q.running, k)
	if g.waiting+g.running == 0 {
		delete(q.groups, x.group())
	}
}
