package endqueue

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Limits of a queue.
const (
	// MaxEnds is the maximum number of ends that a queue holds. Those that were asked for first
	// are dropped first.
	MaxEnds = 4096
	// MinDelay and MaxDelay bound the delay after a failed call.
	MinDelay = 50 * time.Millisecond
	MaxDelay = time.Second
)

// End is a request to end a batch.
type End struct {
	Workspace, Batch string
	// Asked is when the caller asked for the end.
	Asked time.Time
}

// Queue holds the ends that have not been delivered. It is not safe for concurrent use.
type Queue struct {
	// Jitter returns a random fraction in [0, 1) that shortens a delay by up to a half, so that
	// the hosts of a site do not call at the same time.
	Jitter func() float64
	// ends holds at most one entry for each batch of a workspace, in the order of the calls.
	ends []End
	// delay is the delay after the next failure, retryAt the time of the next call.
	delay   time.Duration
	retryAt time.Time
}

// New returns an empty queue.
func New() *Queue { return &Queue{Jitter: rand.Float64, delay: MinDelay} }

// Add queues an end, unless it is queued already. The first call is due after MinDelay, since
// the caller's own has just failed.
func (q *Queue) Add(x End, now time.Time) (dropped []End) {
	if q.index(x) >= 0 {
		return nil
	}
	if len(q.ends) == 0 {
		q.delay, q.retryAt = MinDelay, now.Add(MinDelay)
	}
	q.ends = append(q.ends, x)
	for len(q.ends) > MaxEnds {
		i := q.oldest()
		dropped = append(dropped, q.ends[i])
		q.ends = slices.Delete(q.ends, i, i+1)
	}
	return dropped
}

func (q *Queue) oldest() int {
	oldest := 0
	for i, x := range q.ends {
		if x.Asked.Before(q.ends[oldest].Asked) {
			oldest = i
		}
	}
	return oldest
}

func (q *Queue) index(x End) int {
	return slices.IndexFunc(q.ends, func(e End) bool { return e.Workspace == x.Workspace && e.Batch == x.Batch })
}

// Next returns the end to send now, or how long to wait for the next one; ok is false while
// none is due. The wait is zero if the queue is empty.
func (q *Queue) Next(now time.Time) (x End, wait time.Duration, ok bool) {
	switch {
	case len(q.ends) == 0:
		return End{}, 0, false
	case now.Before(q.retryAt):
		return End{}, q.retryAt.Sub(now), false
	}
	return q.ends[0], 0, true
}

// Delivered removes an end; all others are due at once.
func (q *Queue) Delivered(x End) {
	if i := q.index(x); i >= 0 {
		q.ends = slices.Delete(q.ends, i, i+1)
	}
	q.delay, q.retryAt = MinDelay, time.Time{}
}

// Failed postpones all ends after a call that got no clear answer, and moves the end of that call
// behind the others, in case the failure is its own.
func (q *Queue) Failed(x End, now time.Time) {
	if i := q.index(x); i >= 0 {
		q.ends = append(slices.Delete(q.ends, i, i+1), x)
	}
	q.retryAt = now.Add(q.delay - time.Duration(q.Jitter()*float64(q.delay)/2))
	q.delay = min(2*q.delay, MaxDelay)
}

// Len returns the number of ends that have not been delivered.
func (q *Queue) Len() int { return len(q.ends) }
