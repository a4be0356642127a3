// Package queue implements admission control for a pool of backend servers:
// weighted fair queueing over workspaces, bounded queues, and early refusal of
// requests whose predicted wait exceeds their deadline.
package queue

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/share"
)

// RefusedError reports a request that was not admitted and therefore not run.
type RefusedError struct {
	// Reason is one of the reason constants.
	Reason string
	// RetryAfter is the predicted time until a new request is admitted.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("not admitted (%s), retry after %s", e.Reason, e.RetryAfter)
}

// Reasons for a refusal.
const (
	// ReasonQueueFull: the workspace has MaxWaiting waiting requests.
	ReasonQueueFull = "queue_full"
	// ReasonWaitTooLong: the predicted wait exceeds the deadline.
	ReasonWaitTooLong = "wait_too_long"
	// ReasonDeadlinePassed: the deadline passed while the request waited.
	ReasonDeadlinePassed = "deadline_passed"
	// ReasonStopped: the queue is stopped; the host must not admit work.
	ReasonStopped = "no_configuration"
)

// Slot is a unit of backend server concurrency that an admitted request holds.
type Slot interface{ comparable }

// Request asks for a slot.
type Request[S Slot] struct {
	Workspace string
	// Weight is the workspace's weight. It is positive.
	Weight float64
	// Cost is the expected work, in the same unit for all requests of the
	// queue. It is positive.
	Cost float64
	// Deadline is when the request stops waiting for a slot.
	Deadline time.Time
	// Pick takes a slot, or returns false if no suitable slot is free. It is
	// called with the queue's lock held.
	Pick func() (S, bool)
}

// Settings configure a queue. FIFO and NoEarlyRefusal disable features, for
// comparison in measurements.
type Settings struct {
	// MaxWaiting is the maximum number of waiting requests of one workspace.
	MaxWaiting int
	// FIFO serves requests in order of arrival, regardless of workspace.
	FIFO bool
	// NoEarlyRefusal admits requests whose predicted wait exceeds the deadline.
	NoEarlyRefusal bool
}

// Queue is the queue of one pool. It implements start-time fair queueing
// (Goyal, Vin and Cheng, 1996) over workspaces.
type Queue[S Slot] struct {
	cfg Settings
	// capacity returns the number of slots that this host may use.
	capacity func() int

	mu          sync.Mutex
	flows       map[string]*flow[S]
	virtualTime float64
	arrivals    uint64
	// offered counts the requests since loadSince, including refused ones.
	offered   int
	loadSince time.Time
	// serviceTime is the moving average of the time that a slot is held.
	serviceTime time.Duration
	stopped     bool
}

// flow is the queueing state of one workspace.
type flow[S Slot] struct {
	name    string
	waiting []*waiter[S]
	finish  float64
	running int
	weight  float64
}

type waiter[S Slot] struct {
	*Request[S]
	start   float64
	arrival uint64
	granted chan S
	refused chan struct{}
}

// New returns an empty queue.
func New[S Slot](cfg Settings, capacity func() int) *Queue[S] {
	return &Queue[S]{cfg: cfg, capacity: capacity, flows: map[string]*flow[S]{}, loadSince: time.Now()}
}

// serviceTimeWindow is the divisor of the moving average of service times: a
// new sample weighs 1/serviceTimeWindow.
const serviceTimeWindow = 32

// Acquire waits for a slot. The error is a *RefusedError, or ctx's error if
// ctx ended first. The caller must call Release when it is done with the slot.
func (q *Queue[S]) Acquire(ctx context.Context, r *Request[S]) (S, error) {
	w, err := q.enqueue(r)
	if err != nil {
		var zero S
		return zero, err
	}
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case s := <-w.granted:
		return s, nil
	case <-ctx.Done():
		return q.abandon(w, ctx.Err())
	case <-timer.C:
		return q.abandon(w, &RefusedError{Reason: ReasonDeadlinePassed, RetryAfter: q.retryAfter()})
	case <-w.refused:
		return q.abandon(w, &RefusedError{Reason: ReasonStopped, RetryAfter: time.Second})
	}
}

func (q *Queue[S]) enqueue(r *Request[S]) (*waiter[S], error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped {
		return nil, &RefusedError{Reason: ReasonStopped, RetryAfter: time.Second}
	}
	q.offered++
	f := q.flow(r.Workspace)
	f.weight = r.Weight
	if len(f.waiting) >= q.cfg.MaxWaiting {
		return nil, &RefusedError{Reason: ReasonQueueFull, RetryAfter: q.predict(f)}
	}
	if wait := q.predict(f); !q.cfg.NoEarlyRefusal && wait > time.Until(r.Deadline) {
		return nil, &RefusedError{Reason: ReasonWaitTooLong, RetryAfter: wait - time.Until(r.Deadline)}
	}
	w := &waiter[S]{Request: r, granted: make(chan S, 1), refused: make(chan struct{})}
	w.start = max(q.virtualTime, f.finish)
	f.finish = w.start + r.Cost/r.Weight
	q.arrivals++
	w.arrival = q.arrivals
	f.waiting = append(f.waiting, w)
	q.dispatch()
	return w, nil
}

func (q *Queue[S]) flow(workspace string) *flow[S] {
	f := q.flows[workspace]
	if f == nil {
		f = &flow[S]{name: workspace}
		q.flows[workspace] = f
	}
	return f
}

// abandon stops waiting and returns err, unless a slot was granted in the
// meantime; then it returns the slot.
func (q *Queue[S]) abandon(w *waiter[S], err error) (S, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case s := <-w.granted:
		return s, nil
	default:
	}
	q.remove(w)
	var zero S
	return zero, err
}

func (q *Queue[S]) remove(w *waiter[S]) {
	f := q.flow(w.Workspace)
	for i, x := range f.waiting {
		if x != w {
			continue
		}
		f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
		// The start times of later requests include the service of w, so that it can be
		// taken back only if w was the last one.
		if i == len(f.waiting) {
			f.finish -= w.Cost / w.Weight
		}
		break
	}
	q.removeIdleFlow(w.Workspace)
}

// removeIdleFlow deletes a workspace's flow once it has no requests and its
// finish time is not ahead of virtual time, so that it no longer affects
// ordering.
func (q *Queue[S]) removeIdleFlow(workspace string) {
	f := q.flows[workspace]
	if len(f.waiting) == 0 && f.running == 0 && f.finish <= q.virtualTime {
		delete(q.flows, workspace)
	}
}

// Release records the end of a request that held a slot for holdTime, and
// grants slots to waiting requests. The caller must have freed the slot before.
func (q *Queue[S]) Release(workspace string, holdTime time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if f := q.flows[workspace]; f != nil {
		f.running--
		q.removeIdleFlow(workspace)
	}
	if q.serviceTime == 0 {
		q.serviceTime = holdTime
	}
	q.serviceTime += (holdTime - q.serviceTime) / serviceTimeWindow
	q.dispatch()
}

// Dispatch grants slots to waiting requests; call it after capacity was added.
func (q *Queue[S]) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch()
}

// dispatch grants slots in order of start time until no request can be served.
func (q *Queue[S]) dispatch() {
	blocked := map[string]bool{}
	for {
		w := q.head(blocked)
		if w == nil {
			return
		}
		s, ok := w.Pick()
		if !ok {
			blocked[w.Workspace] = true
			continue
		}
		f := q.flows[w.Workspace]
		f.waiting = f.waiting[1:]
		f.running++
		q.virtualTime = max(q.virtualTime, w.start)
		w.granted <- s
	}
}

// head returns the next request of the flows that are not blocked.
func (q *Queue[S]) head(blocked map[string]bool) *waiter[S] {
	var best *waiter[S]
	for name, f := range q.flows {
		if blocked[name] || len(f.waiting) == 0 {
			continue
		}
		if w := f.waiting[0]; best == nil || q.before(w, best) {
			best = w
		}
	}
	return best
}

func (q *Queue[S]) before(a, b *waiter[S]) bool {
	if q.cfg.FIFO || a.start == b.start {
		return a.arrival < b.arrival
	}
	return a.start < b.start
}

// predict estimates the wait of a new request of a flow: the time to serve the
// flow's waiting requests with its max-min fair share of the slots.
func (q *Queue[S]) predict(f *flow[S]) time.Duration {
	slots := float64(q.capacity())
	if slots == 0 || q.serviceTime == 0 || len(f.waiting) == 0 {
		return 0
	}
	var demands []share.Demand
	for name, x := range q.flows {
		if n := len(x.waiting) + x.running; n > 0 {
			demands = append(demands, share.Demand{Party: name, Weight: x.weight, Amount: float64(n)})
		}
	}
	slotShare := max(share.FairSplit(slots, demands)[f.name], minSlotShare)
	return time.Duration(float64(len(f.waiting)) / slotShare * float64(q.serviceTime))
}

// minSlotShare is the lower bound on a flow's expected share, in slots. It
// bounds the predicted wait.
const minSlotShare = 0.1

func (q *Queue[S]) retryAfter() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(q.serviceTime, time.Second)
}

// Stop refuses all waiting requests, and new ones until Start.
func (q *Queue[S]) Stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopped = true
	for _, f := range q.flows {
		for _, w := range f.waiting {
			close(w.refused)
		}
		f.waiting = nil
	}
}

// Start admits requests again.
func (q *Queue[S]) Start() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopped = false
	q.dispatch()
}

// Demand returns the number of running and waiting requests by workspace.
func (q *Queue[S]) Demand() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := map[string]int{}
	for name, f := range q.flows {
		if n := f.running + len(f.waiting); n > 0 {
			out[name] = n
		}
	}
	return out
}

// Load returns the mean offered concurrency since the last call, by Little's
// law (arrival rate times service time). Unlike Demand, it does not grow with
// the backlog.
func (q *Queue[S]) Load() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(q.loadSince)
	if elapsed <= 0 {
		return 0
	}
	load := float64(q.offered) / elapsed.Seconds() * q.serviceTime.Seconds()
	q.offered, q.loadSince = 0, now
	return load
}

// RetryAfterSeconds rounds a duration up to whole seconds, at least one, for the
// Retry-After header.
func RetryAfterSeconds(d time.Duration) int { return max(1, int(math.Ceil(d.Seconds()))) }
