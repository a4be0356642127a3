package itemqueue

import (
	"cmp"
	"slices"
	"time"
)

// Key names an item of a batch.
type Key struct{ Batch, Item string }

// Item is what the queue knows of an item.
type Item struct {
	Key
	Group string
	// Due is the deadline of its batch.
	Due time.Time
	// Work is how long a run is expected to take, zero if that is not known.
	Estimate time.Duration
	// Order is its place in the submission.
	Index int
	// NotBefore delays another run after a refusal.
	NotBefore time.Time
	// Begun items have brought events already.
	Begun bool
}

// group is the state of one group of a batch.
type group struct {
	// waiting and running are the items that are not done.
	waiting, running int
	// begun is true once one of its items ran.
	begun bool
	// first is the place of its first item.
	first int
	due   time.Time
}

type groupKey struct{ batch, group string }

// Queue holds the items that wait. It is not safe for concurrent use.
type Queue struct {
	waiting map[Key]*Item
	running map[Key]*Item
	groups  map[groupKey]*group
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{waiting: map[Key]*Item{}, running: map[Key]*Item{}, groups: map[groupKey]*group{}}
}

func (x *Item) group() groupKey {
	if x.Group == "" {
		return groupKey{x.Batch, "\x00" + x.Key.Item}
	}
	return groupKey{x.Batch, x.Group}
}

// Add takes in an item that waits. An item that is known stays as it is.
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

// Len returns the numbers of waiting and running items.
func (q *Queue) Len() (waiting, running int) { return len(q.waiting), len(q.running) }

// Next returns the waiting items in the order in which they should run.
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
		cmp.Compare(a.latest(), b.latest()),
		ga.due.Compare(gb.due),
		cmp.Compare(ga.lacking(), gb.lacking()),
		cmp.Compare(ga.first, gb.first),
		cmp.Compare(a.Index, b.Index),
		cmp.Compare(a.Key.Item, b.Key.Item),
	)
}

// startGrain is the grain of the times by which items must start: estimates are
// no finer, and within it groups are finished one after the other.
const startGrain = 500 * time.Millisecond

// latest returns the grain in which an item must start to be done in time.
func (x *Item) latest() int64 { return x.Due.Add(-x.Estimate).UnixMilli() / startGrain.Milliseconds() }

func rank(x *Item) int {
	if x.Begun {
		return 0
	}
	return 1
}

// lacking orders begun groups by what they lack, and the others last.
func (g *group) lacking() int {
	if !g.begun {
		return 1 << 30
	}
	return g.waiting
}

// Start moves an item from the waiting to the running ones.
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
	g.begun = true
}

// Again puts a running item back.
func (q *Queue) Requeue(k Key, begun bool, notBefore time.Time) {
	x := q.running[k]
	if x == nil {
		return
	}
	delete(q.running, k)
	g := q.groups[x.group()]
	g.running--
	g.waiting++
	x.Begun, x.NotBefore = begun, notBefore
	q.waiting[k] = x
}

// Done forgets an item.
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
