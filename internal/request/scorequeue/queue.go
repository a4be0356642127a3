package scorequeue

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
)

const (
	// slotShare is the fraction of a service's slots that the calls may use.
	slotShare = 0.6
	// retryMin and retryMax bound the delay after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = 1600 * time.Millisecond
)

// Call is the scoring data of one item.
type Call struct {
	itemqueue.Key
	// Due is the deadline of the batch.
	Due time.Time
	// NotBefore is the earliest time of the next call. It is set after a failure.
	NotBefore time.Time
	// tries counts the calls since the item was added.
	tries int
	// service is the service that the call runs at, empty while it waits.
	service string
}

// Queue holds the waiting and running calls. It is not safe for concurrent use.
type Queue struct {
	calls   map[itemqueue.Key]*Call
	running map[string]int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{calls: map[itemqueue.Key]*Call{}, running: map[string]int{}}
}

// Add queues a call. It does nothing if the item is already queued.
func (q *Queue) Add(k itemqueue.Key, due time.Time) {
	if q.calls[k] == nil {
		q.calls[k] = &Call{Key: k, Due: due}
	}
}

// Len returns the number of calls that wait or run.
func (q *Queue) Len() int { return len(q.calls) }

// Running returns the number of calls that run at a service.
func (q *Queue) Running(service string) int { return q.running[service] }

// Limit returns how many calls may run at a service that has the given number of slots at
// usable servers. One call may always run, since it finds out whether a server is back.
func Limit(slots int) int { return max(1, int(slotShare*float64(slots))) }

// Runnable returns the waiting calls whose NotBefore has passed, in the order in which they
// should run. missing returns the number of results that the group of an item still lacks.
func (q *Queue) Runnable(now time.Time, missing func(itemqueue.Key) int) []*Call {
	type ranked struct {
		call    *Call
		missing int
	}
	var all []ranked
	for k, c := range q.calls {
		if c.service == "" && !now.Before(c.NotBefore) {
			all = append(all, ranked{c, missing(k)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.call.tries, b.call.tries), cmp.Compare(a.missing, b.missing), a.call.Due.Compare(b.call.Due),
			cmp.Compare(a.call.Batch, b.call.Batch), cmp.Compare(a.call.Item, b.call.Item))
	})
	out := make([]*Call, 0, len(all))
	for _, x := range all {
		out = append(out, x.call)
	}
	return out
}

// Start marks a waiting call as running at a service.
func (q *Queue) Start(k itemqueue.Key, service string) {
	c := q.calls[k]
	if c == nil || c.service != "" {
		return
	}
	c.service = service
	q.running[service]++
}

// Requeue marks a running call as waiting for its next try.
func (q *Queue) Requeue(k itemqueue.Key, now time.Time) {
	c := q.calls[k]
	if c == nil {
		return
	}
	q.release(c)
	c.NotBefore = now.Add(min(retryMin<<min(c.tries, 8), retryMax))
	c.tries++
}

// Done removes a call, also one that runs.
func (q *Queue) Done(k itemqueue.Key) {
	if c := q.calls[k]; c != nil {
		q.release(c)
		delete(q.calls, k)
	}
}

func (q *Queue) release(c *Call) {
	if c.service != "" {
		q.running[c.service]--
		c.service = ""
	}
}
