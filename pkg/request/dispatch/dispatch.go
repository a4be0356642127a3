// Package dispatch carries a request through admission, the choice of a
// backend server, the attempts and the retries, to one whole answer.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"

	"github.com/plantainbank/plantainbank/pkg/connection/backendserver"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/process/trace"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/pkg/request/queue"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// mostAttempts bounds the attempts of one request.
const mostAttempts = 5

// Config holds what a Dispatcher needs.
type Config struct {
	Policy settings.Policy
	Limits settings.Limits
	Table  *backendserver.Table
	Client *attempt.Client
	Usage  *Usage
	Scope  tally.Scope
	Tracer *trace.Tracer
	// Starved asks the leader for shares soon.
	RequestShares func()
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	budget  *budget
	mu      sync.Mutex
	queues  map[string]*queue.Queue[backendserver.Slot]
	stopped bool
	number  atomic.Uint64
	prefix  string
}

// New returns a dispatcher that is stopped; Start lets it admit work.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, budget: newBudget(cfg.Policy.Retries), stopped: true,
		queues: map[string]*queue.Queue[backendserver.Slot]{}, prefix: fmt.Sprintf("%08x", rand.Uint32())}
}

// Job is what the parts of this package need to know of a request.
type Job struct {
	Workspace string
	Weight    float64
	// Deadline ends the wait for a backend server.
	Deadline time.Time
	// Cost is the expected work relative to other requests of the pool.
	Cost float64
	Want backendserver.Requirement
	// Idempotent requests may be repeated.
	Idempotent bool
	// sent is true once a byte may have reached a backend server.
	sent bool
}

// Start admits work.
func (d *Dispatcher) Start() { d.setStopped(false) }

// Stop refuses waiting and new work. Running work goes on.
func (d *Dispatcher) Stop() { d.setStopped(true) }

func (d *Dispatcher) setStopped(stopped bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = stopped
	for _, q := range d.queues {
		if stopped {
			q.Stop()
		} else {
			q.Start()
		}
	}
}

func (d *Dispatcher) queue(pool string) *queue.Queue[backendserver.Slot] {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[pool]
	if q == nil {
		q = queue.New[backendserver.Slot](queue.Settings{MaxWaiting: d.cfg.Limits.Queue, FIFO: d.cfg.Policy.Unfair,
			NoEarlyRefusal: d.cfg.Policy.Patient}, func() int { return d.cfg.Table.Capacity(pool) })
		if d.stopped {
			q.Stop()
		}
		d.queues[pool] = q
	}
	return q
}

// Served counts a plain request whose answer went to the caller.
func (d *Dispatcher) CountServed(workspace string) { d.cfg.Usage.Add(workspace, 0) }

// Demand returns the running and waiting requests by workspace and pool.
func (d *Dispatcher) Demand() []*pb.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*pb.Demand
	for pool, q := range d.queues {
		for w, n := range q.Demand() {
			out = append(out, &pb.Demand{Workspace: w, Pool: pool, Amount: uint32(n)})
		}
	}
	return out
}

// Load returns the offered load of every pool since the last call.
func (d *Dispatcher) Load() []*pb.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*pb.Load
	for pool, q := range d.queues {
		out = append(out, &pb.Load{Pool: pool, Amount: q.Load()})
	}
	return out
}

// acquire waits for a slot. Its errors say that the request was not run,
// unless an earlier attempt may have run it.
func (d *Dispatcher) acquire(ctx context.Context, j *Job) (backendserver.Slot, error) {
	_, end := d.cfg.Tracer.Start(ctx, "queue")
	if d.cfg.Table.Capacity(j.Want.Pool) == 0 {
		d.cfg.RequestShares()
	}
	slot, err := d.queue(j.Want.Pool).Acquire(ctx, &queue.Request[backendserver.Slot]{
		Workspace: j.Workspace, Weight: max(j.Weight, 0.001), Cost: max(j.Cost, 1), Deadline: j.Deadline,
		Pick: func() (backendserver.Slot, bool) { return d.cfg.Table.Take(j.Want) },
	})
	end(err)
	if err == nil {
		return slot, nil
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	ran := attempt.RanNo
	if j.sent {
		ran = attempt.RanUnknown
	}
	return slot, &attempt.Error{Phase: "queue", Ran: ran, Err: err}
}

func (d *Dispatcher) release(j *Job, slot backendserver.Slot, o backendserver.Outcome) {
	held := d.cfg.Table.Release(slot, o)
	d.queue(slot.Pool).Release(j.Workspace, held)
	switch o {
	case backendserver.Served:
		d.budget.earn()
	case backendserver.Refused:
		d.cfg.RequestShares()
	}
}

// outcomeOf says what an attempt's end tells of the backend server.
func outcomeOf(ctx context.Context, err error) backendserver.Outcome {
	var busy *attempt.BusyError
	var e *attempt.Error
	switch {
	case err == nil:
		return backendserver.Served
	case ctx.Err() != nil:
		return backendserver.Abandoned
	case errors.As(err, &busy):
		return backendserver.Refused
	case errors.As(err, &e) && e.Broken:
		return backendserver.ConnectionLost
	}
	return backendserver.Failed
}

// retry reports whether a failed attempt may be repeated, and spends budget.
func (d *Dispatcher) retry(ctx context.Context, j *Job, n int, err error) bool {
	var e *attempt.Error
	if ctx.Err() != nil || n >= mostAttempts || !errors.As(err, &e) || e.Phase == "queue" {
		return false
	}
	if e.Ran != attempt.RanNo {
		j.sent = true
		if !j.Idempotent {
			return false
		}
	}
	if !d.budget.spend() {
		d.cfg.Scope.Counter("retries_denied").Inc(1)
		return false
	}
	d.cfg.Scope.Counter("retries").Inc(1)
	return true
}

// avoid keeps a retry away from servers that failed, while there are others.
func (d *Dispatcher) avoid(j *Job, id string) {
	if j.Want.Avoid == nil || len(j.Want.Avoid)+1 >= d.cfg.Table.Size(j.Want.Pool) {
		j.Want.Avoid = map[string]bool{}
	}
	if d.cfg.Table.Size(j.Want.Pool) > 1 {
		j.Want.Avoid[id] = true
	}
}

// Call sends a plain request and returns the whole answer.
func (d *Dispatcher) Call(ctx context.Context, j *Job, req *fasthttp.Request) (*fasthttp.Response, string, error) {
	for n := 1; ; n++ {
		res, id, err := d.callOnce(ctx, j, req)
		if err == nil {
			return res, id, nil
		}
		if !d.retry(ctx, j, n, err) {
			return nil, id, sentBefore(j, err)
		}
		d.avoid(j, id)
	}
}

// sentBefore keeps an error from saying "not run" after an earlier attempt
// that may have run.
func sentBefore(j *Job, err error) error {
	var e *attempt.Error
	if j.sent && errors.As(err, &e) && e.Ran == attempt.RanNo {
		return &attempt.Error{Phase: e.Phase, Ran: attempt.RanUnknown, Err: e.Err}
	}
	return err
}

func (d *Dispatcher) callOnce(ctx context.Context, j *Job, req *fasthttp.Request) (*fasthttp.Response, string, error) {
	slot, err := d.acquire(ctx, j)
	if err != nil {
		return nil, "", err
	}
	ctx, end := d.cfg.Tracer.Start(ctx, "attempt", attribute.String("backend_server", slot.ID))
	header := incarnationHeader(slot)
	maps.Copy(header, d.cfg.Tracer.Header(ctx))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	a, err := d.cfg.Client.Do(ctx, slot.Addr, req, attempt.Options{NewConnection: !j.Idempotent, MaxBodyBytes: d.cfg.Limits.Answer})
	if err == nil && (j.Idempotent || a.Response.StatusCode() == fasthttp.StatusMisdirectedRequest) {
		err = busyError(a.Response.StatusCode())
	}
	d.release(j, slot, outcomeOf(ctx, err))
	end(err)
	if err != nil {
		return nil, slot.ID, err
	}
	return a.Response, slot.ID, nil
}

// incarnationHeader names the only start of a server that may run a request. A
// share counts for one start: a server that was started anew refuses what was
// meant for its predecessor, however late a host hears of the restart.
func incarnationHeader(slot backendserver.Slot) map[string]string {
	if slot.Incarnation == 0 {
		return map[string]string{} // not known
	}
	return map[string]string{attempt.IncarnationHeader: strconv.FormatUint(slot.Incarnation, 10)}
}

// busyError turns an answer that names overload into an error. What a plain
// service did before such an answer is not known.
func busyError(status int) error {
	if status == fasthttp.StatusMisdirectedRequest {
		return &attempt.Error{Phase: "answer", Ran: attempt.RanNo, Broken: true, Err: &attempt.MisdirectedError{}}
	}
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		return &attempt.Error{Phase: "answer", Ran: attempt.RanUnknown, Err: &attempt.BusyError{Status: status}}
	}
	return nil
}
