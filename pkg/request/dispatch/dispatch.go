// Package dispatch runs a request through admission, backend server selection,
// attempts and retries until it has one complete response.
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

// maxAttempts bounds the attempts of one request.
const maxAttempts = 5

// Config configures a Dispatcher.
type Config struct {
	Policy settings.Policy
	Limits settings.Limits
	Table  *backendserver.Table
	Client *attempt.Client
	Usage  *Usage
	Scope  tally.Scope
	Tracer *trace.Tracer
	// RequestShares asks the control leader for backend server shares ahead of
	// the next periodic renewal.
	RequestShares func()
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	cfg           Config
	budget        *budget
	mu            sync.Mutex
	queues        map[string]*queue.Queue[backendserver.Slot]
	stopped       bool
	requestNumber atomic.Uint64
	requestPrefix string
}

// New returns a stopped dispatcher; it admits requests after Start.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, budget: newBudget(cfg.Policy.RetryRatio), stopped: true,
		queues: map[string]*queue.Queue[backendserver.Slot]{}, requestPrefix: fmt.Sprintf("%08x", rand.Uint32())}
}

// Job describes a request for admission, backend server selection and retries.
type Job struct {
	Workspace string
	Weight    float64
	// Deadline is when the request stops waiting for a backend server.
	Deadline time.Time
	// Cost is the expected work relative to other requests of the pool.
	Cost        float64
	Requirement backendserver.Requirement
	// Idempotent requests may be retried after they may have run.
	Idempotent bool
	// mayHaveRun is set once an attempt may have run the request.
	mayHaveRun bool
}

// Start admits requests.
func (d *Dispatcher) Start() { d.setStopped(false) }

// Stop refuses waiting and new requests. Running requests continue.
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
		q = queue.New[backendserver.Slot](queue.Settings{MaxWaiting: d.cfg.Limits.MaxWaiting, FIFO: d.cfg.Policy.FIFO,
			NoEarlyRefusal: d.cfg.Policy.NoEarlyRefusal}, func() int { return d.cfg.Table.Capacity(pool) })
		if d.stopped {
			q.Stop()
		}
		d.queues[pool] = q
	}
	return q
}

// CountServed counts a plain request whose response was sent to the caller.
func (d *Dispatcher) CountServed(workspace string) { d.cfg.Usage.Add(workspace, 0) }

// Demand returns the number of running and waiting requests by workspace and pool.
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

// Load returns the mean offered load of each pool since the last call.
func (d *Dispatcher) Load() []*pb.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*pb.Load
	for pool, q := range d.queues {
		out = append(out, &pb.Load{Pool: pool, Amount: q.Load()})
	}
	return out
}

// acquire waits for a slot. Its errors report that the request did not run,
// unless an earlier attempt may have run it.
func (d *Dispatcher) acquire(ctx context.Context, j *Job) (backendserver.Slot, error) {
	_, end := d.cfg.Tracer.Start(ctx, "queue")
	if d.cfg.Table.Capacity(j.Requirement.Pool) == 0 {
		d.cfg.RequestShares()
	}
	slot, err := d.queue(j.Requirement.Pool).Acquire(ctx, &queue.Request[backendserver.Slot]{
		Workspace: j.Workspace, Weight: max(j.Weight, 0.001), Cost: max(j.Cost, 1), Deadline: j.Deadline,
		Pick: func() (backendserver.Slot, bool) { return d.cfg.Table.Take(j.Requirement) },
	})
	end(err)
	if err == nil {
		return slot, nil
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	ran := attempt.RanNo
	if j.mayHaveRun {
		ran = attempt.RanUnknown
	}
	return slot, &attempt.Error{Phase: "queue", Ran: ran, Err: err}
}

func (d *Dispatcher) release(j *Job, slot backendserver.Slot, o backendserver.Outcome) {
	holdTime := d.cfg.Table.Release(slot, o)
	d.queue(slot.Pool).Release(j.Workspace, holdTime)
	switch o {
	case backendserver.Served:
		d.budget.deposit()
	case backendserver.Refused:
		d.cfg.RequestShares()
	}
}

// outcomeOf classifies the result of an attempt for backend server health.
func outcomeOf(ctx context.Context, err error) backendserver.Outcome {
	var busy *attempt.BusyError
	var e *attempt.Error
	var caller *callerError
	switch {
	case err == nil:
		return backendserver.Served
	case ctx.Err() != nil, errors.As(err, &caller):
		return backendserver.Abandoned
	case errors.As(err, &busy) && errors.As(err, &e) && e.Ran == attempt.RanNo:
		return backendserver.Refused
	case errors.As(err, &e) && e.Broken:
		return backendserver.ConnectionLost
	}
	return backendserver.Failed
}

// retry reports whether a failed attempt is retried, and charges the retry budget.
func (d *Dispatcher) retry(ctx context.Context, j *Job, n int, err error) bool {
	var e *attempt.Error
	if ctx.Err() != nil || n >= maxAttempts || !errors.As(err, &e) || e.Phase == "queue" {
		return false
	}
	if e.Ran != attempt.RanNo {
		j.mayHaveRun = true
		if !j.Idempotent {
			return false
		}
	}
	if !d.budget.tryWithdraw() {
		d.cfg.Scope.Counter("retries_denied").Inc(1)
		return false
	}
	d.cfg.Scope.Counter("retries").Inc(1)
	return true
}

// avoid excludes a server from the retries of a request. The exclusions are reset
// once they would cover the whole pool, and a pool of one excludes nothing.
func (d *Dispatcher) avoid(j *Job, id string) {
	if j.Requirement.Avoid == nil || len(j.Requirement.Avoid)+1 >= d.cfg.Table.Size(j.Requirement.Pool) {
		j.Requirement.Avoid = map[string]bool{}
	}
	if d.cfg.Table.Size(j.Requirement.Pool) > 1 {
		j.Requirement.Avoid[id] = true
	}
}

// Call sends a plain request and returns the complete response and the server's ID.
func (d *Dispatcher) Call(ctx context.Context, j *Job, req *fasthttp.Request) (*fasthttp.Response, string, error) {
	for n := 1; ; n++ {
		res, id, err := d.callOnce(ctx, j, req)
		if err == nil {
			return res, id, nil
		}
		if !d.retry(ctx, j, n, err) {
			return nil, id, withEarlierAttempts(j, err)
		}
		d.avoid(j, id)
	}
}

// withEarlierAttempts changes an error that reports "not run" to "unknown" if an
// earlier attempt may have run the request.
func withEarlierAttempts(j *Job, err error) error {
	var e *attempt.Error
	if j.mayHaveRun && errors.As(err, &e) && e.Ran == attempt.RanNo {
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
	a, err := d.cfg.Client.Do(ctx, slot.Addr, req, attempt.Options{NewConnection: !j.Idempotent, MaxBodyBytes: d.cfg.Limits.MaxResponseBytes})
	if err == nil && (j.Idempotent || a.Response.StatusCode() == fasthttp.StatusMisdirectedRequest) {
		err = statusError(a.Response.StatusCode())
	}
	d.release(j, slot, outcomeOf(ctx, err))
	end(err)
	if err != nil {
		return nil, slot.ID, err
	}
	return a.Response, slot.ID, nil
}

// incarnationHeader returns the header that names the only incarnation of a
// server that may run a request. A share is valid for one incarnation: after a
// restart, the server refuses requests for its previous incarnation, however late
// this host is notified of the restart.
func incarnationHeader(slot backendserver.Slot) map[string]string {
	if slot.Incarnation == 0 {
		return map[string]string{} // incarnation not known
	}
	return map[string]string{attempt.IncarnationHeader: strconv.FormatUint(slot.Incarnation, 10)}
}

// statusError returns an error for a status that reports a misdirected request
// or overload. After 429 and 503, Ran is unknown: a plain service may have run
// part of the request before it responded.
func statusError(status int) error {
	if status == fasthttp.StatusMisdirectedRequest {
		return &attempt.Error{Phase: "answer", Ran: attempt.RanNo, Broken: true, Err: &attempt.MisdirectedError{}}
	}
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		return &attempt.Error{Phase: "answer", Ran: attempt.RanUnknown, Err: &attempt.BusyError{Status: status}}
	}
	return nil
}
