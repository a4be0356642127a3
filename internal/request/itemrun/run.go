package itemrun

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/internal/connection/httpheader"
	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

// Periods of a run.
const (
	// firstTimeout is the longest wait for the first byte. A request that finds a
	// slot begins within 0.1 s, at a slow engine within 0.5 s; a load of weights
	// refuses it at once. A dark engine cost an item 3 s before, of the 7.5 s that
	// its step has.
	firstTimeout = 1200 * time.Millisecond
	// gapTimeout is the longest time without a byte between two events. An
	// event takes about 45 ms, on a slow engine 200 ms, and a load of weights,
	// which takes 0.9 s, may stand between two.
	gapTimeout = 1500 * time.Millisecond
	// refusalMost is the largest refusal in bytes.
	refusalMost = 64 << 10
)

// End is how a run ended.
type Outcome string

// Ends of a run.
const (
	// Whole runs have their last event.
	Complete Outcome = "whole"
	// Failed runs got an error of the engine; another run may succeed.
	Failed Outcome = "failed"
	// Hopeless items can never be done.
	Unprocessable Outcome = "hopeless"
	// NotRun means that the engine did not begin.
	NotRun Outcome = "not run"
	// Elsewhere means that another instance has the address.
	Misdirected Outcome = "elsewhere"
	// Cut runs may go on elsewhere after their last event.
	Interrupted Outcome = "cut"
	// Unreached means that no connection to the engine could be opened.
	ConnectFailed Outcome = "unreached"
	// Stopped runs were ended by this process.
	Stopped Outcome = "stopped"
	// Stale means that the engine has older weights than the item allows.
	Stale Outcome = "stale"
)

// Progress is what the runs of an item have brought so far.
type Progress struct {
	// Data holds the data of the events in order; a piece may hold that of several
	// events, joined by line feeds.
	Data []string
	// Events is their number.
	Events int
	// LastID is the number of the last event.
	LastEventID string
	// Versions are the weight versions that produced the events, in order.
	Versions []uint64
}

// Text returns the item's text. Event streams are UTF-8; what is not is replaced,
// as their specification says.
func (p *Progress) Text() string {
	return strings.ToValidUTF8(strings.Join(p.Data, "\n"), "\uFFFD")
}

func (p *Progress) add(e event, version uint64) {
	p.Data = append(p.Data, e.data)
	p.Events++
	p.LastEventID = e.id
	if !slices.Contains(p.Versions, version) {
		p.Versions = append(p.Versions, version)
	}
}

// Result tells how a run ended.
type Result struct {
	Outcome Outcome
	Status  int
	// Events is the number of events that this run added.
	Events int
	// Took is the time from the first byte sent to the end.
	Duration time.Duration
	// First is the time to the first event, Pause the longest one between two.
	FirstEvent, MaxGap time.Duration
	// Version is the latest weight version that the engine named, zero if none.
	Version uint64
	Err     error
}

// Runner runs items.
type Runner struct {
	Client  *attempt.Client
	Headers httpheader.Names
}

// Run sends an item to a slot and adds what it brings to p. added runs after each
// event, on the caller's goroutine.
func (r *Runner) Run(ctx context.Context, slot placement.Slot, b *batch.Batch, item batch.Item, p *Progress, added func()) Result {
	start := time.Now()
	before, last := p.Events, start
	var first, pause time.Duration
	res := r.run(ctx, slot, b, item, p, func() {
		now := time.Now()
		if first == 0 {
			first = now.Sub(start)
		} else {
			pause = max(pause, now.Sub(last))
		}
		last = now
		added()
	})
	res.FirstEvent, res.MaxGap = first, pause
	res.Events = p.Events - before
	res.Duration = time.Since(start)
	if ctx.Err() != nil && res.Outcome != Complete {
		res.Outcome, res.Err = Stopped, context.Cause(ctx)
	}
	return res
}

func (r *Runner) run(ctx context.Context, slot placement.Slot, b *batch.Batch, item batch.Item, p *Progress, added func()) Result {
	req := r.request(slot, b, item, p)
	a, err := r.Client.Do(ctx, slot.Addr, req, attempt.Options{Stream: true, StreamIf: isStream,
		IdleTimeout: firstTimeout, MaxBodyBytes: refusalMost, CloseDelimited: true})
	if err != nil {
		return cut(err)
	}
	if status := a.Response.StatusCode(); status != http.StatusOK {
		return r.refused(a, status)
	}
	if echo := string(a.Response.Header.Peek(r.Headers.RequestID)); echo != "" && echo != item.ID {
		a.Close(false)
		return Result{Outcome: Interrupted, Err: &attempt.RequestMismatchError{Want: item.ID, Got: echo}}
	}
	version, err := r.read(a, p, b.MinVersion, added)
	a.Close(err == nil)
	res := Result{Outcome: Complete, Status: http.StatusOK}
	var stale *staleError
	switch {
	case errors.As(err, &stale):
		res = Result{Outcome: Stale, Status: http.StatusOK, Err: err}
	case err != nil:
		res = cut(err)
	}
	res.Version = version
	return res
}

// isStream leaves refusals to be read whole, so that their connection is used
// again.
func isStream(h *fasthttp.ResponseHeader) bool { return h.StatusCode() == http.StatusOK }

// request builds the request for tokens.
func (r *Runner) request(slot placement.Slot, b *batch.Batch, item batch.Item, p *Progress) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.DisableNormalizing()
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetRequestURI(item.Path)
	req.Header.SetHost(b.Host)
	for k, v := range item.Headers {
		req.Header.Set(k, v)
	}
	req.Header.Set(r.Headers.RequestID, item.ID)
	req.Header.Set(r.Headers.Instance, slot.ID)
	if b.Workspace != "" {
		req.Header.Set(r.Headers.Workspace, b.Workspace)
	}
	if p.LastEventID != "" {
		req.Header.Set(r.Headers.LastEventID, p.LastEventID)
	}
	req.SetBodyRaw(item.Body)
	return req
}

// refused tells what an answer without a stream means.
func (r *Runner) refused(a *attempt.Answer, status int) Result {
	err := fmt.Errorf("the engine answered %d", status)
	notRun := len(a.Response.Header.Peek(r.Headers.NotRun)) > 0
	switch {
	case status == http.StatusMisdirectedRequest:
		return Result{Outcome: Misdirected, Status: status, Err: err}
	case notRun:
		return Result{Outcome: NotRun, Status: status, Err: err}
	case status == http.StatusUnprocessableEntity:
		return Result{Outcome: Unprocessable, Status: status, Err: err}
	}
	return Result{Outcome: Failed, Status: status, Err: err}
}

// staleError reports an engine whose weights are older than the item allows.
type staleError struct{ version, least uint64 }

func (e *staleError) Error() string {
	return fmt.Sprintf("the engine has version %d, the item needs %d", e.version, e.least)
}

// read takes in the events of a stream and returns the version of the last one.
// Weights that are too old end it before the first one.
func (r *Runner) read(a *attempt.Answer, p *Progress, least uint64, added func()) (version uint64, err error) {
	a.SetIdleTimeout(gapTimeout)
	version, err = strconv.ParseUint(string(a.Response.Header.Peek(r.Headers.WeightVersion)), 10, 64)
	if err != nil {
		return 0, errors.New("the engine does not name its weight version")
	}
	if version < least {
		return version, &staleError{version, least}
	}
	events := newReader(bufio.NewReader(a.Body), r.Headers.WeightVersion)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return version, nil
		}
		if err != nil {
			return version, err
		}
		if e.version != 0 {
			version = e.version
		}
		p.add(e, version)
		added()
	}
}

func cut(err error) Result {
	var e *attempt.Error
	if errors.As(err, &e) && e.Phase == "connect" {
		return Result{Outcome: ConnectFailed, Err: err}
	}
	return Result{Outcome: Interrupted, Err: err}
}
