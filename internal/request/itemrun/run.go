package itemrun

import (
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

	"github.com/plantainbank/plantainbank/internal/connection/departure"
	"github.com/plantainbank/plantainbank/internal/connection/httpheader"
	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/connection/ratelimit"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

// Timeouts and limits of a run.
const (
	// firstByteTimeout bounds the wait for the first byte. A request that gets a slot starts
	// within 0.1 s, on a slow engine within 0.5 s; an engine that loads weights refuses it
	// at once. Before this timeout existed, an unresponsive engine cost an item 3 s of the
	// 7.5 s that its step has.
	firstByteTimeout = 1200 * time.Millisecond
	// gapTimeout bounds the time between two events. An event takes about
	// 45 ms, on a slow engine 200 ms; the engine may load weights between two events, which
	// takes 0.9 s.
	gapTimeout = 1500 * time.Millisecond
	// maxEventBytes is the maximum number of bytes from one event to the next, with comments
	// and framing.
	maxEventBytes = 2 << 20
	// MaxTextBytes is the maximum size of the text of an item. Callers read at most 1 MB of results at
	// a time.
	MaxTextBytes = 700 << 10
	// The text of an item whose tokens are known is at most baseTextBytes and textBytesPerToken for each.
	baseTextBytes     = 16 << 10
	textBytesPerToken = 128
	// minMaxEvents is how many events any item may have. An event has a token or more.
	minMaxEvents = 4096
	// maxFieldBytes is the maximum size of the fields of an event beside its data.
	maxFieldBytes = 4 << 10
	// maxRefusalBytes is the maximum size of the body of a refusal.
	maxRefusalBytes = 64 << 10
)

// Outcome is how a run ended.
type Outcome string

// Outcomes of a run.
const (
	// Complete means that the stream ended after its last event.
	Complete Outcome = "whole"
	// Failed means that the engine responded with an error; another run may succeed.
	Failed Outcome = "failed"
	// Unprocessable means that the engine rejected the item for good (status 422).
	Unprocessable Outcome = "hopeless"
	// NotRun means that the engine declared that it did not start the item.
	NotRun Outcome = "not run"
	// Misdirected means that another instance has the address now (status 421).
	Misdirected Outcome = "elsewhere"
	// Interrupted means that the connection or the stream broke; the item can resume on
	// another engine after its last event.
	Interrupted Outcome = "cut"
	// ConnectFailed means that no connection to the engine could be opened.
	ConnectFailed Outcome = "unreached"
	// Stopped means that this process canceled the run.
	Stopped Outcome = "stopped"
	// Excessive means that the engine produced more than the item can have; none of its progress counts.
	Excessive Outcome = "excessive"
	// Stale means that the engine has an older weight version than the batch allows.
	Stale Outcome = "stale"
)

// Progress is what the runs of an item have produced so far. Checkpoints write it to the
// log as a batch.PartialResult.
type Progress struct {
	// Data holds the data of the events in order; an element may hold the data of several
	// events, joined by line feeds.
	Data []string
	// Events is the number of events.
	Events int
	// LastEventID is the ID of the last event.
	LastEventID string
	// Versions are the weight versions that produced the events, in order of first use.
	Versions []uint64
	// Software is the software version of the engine that produced the first event, empty if it
	// is not known.
	Software string
	// Complete is true once a stream has ended after its last event.
	Complete bool
}

// Text returns the text of the item, which is valid UTF-8.
func (p *Progress) Text() string { return strings.Join(p.Data, "\n") }

func (p *Progress) add(e event, version uint64) {
	p.Data = append(p.Data, e.data)
	p.Events++
	p.LastEventID = e.id
	if !slices.Contains(p.Versions, version) {
		p.Versions = append(p.Versions, version)
	}
}

// OutputError reports an output that is larger than the item can have.
type OutputError struct{ Events, Bytes int }

func (e *OutputError) Error() string {
	return fmt.Sprintf("engine produced %d events with %d bytes, more than the item can have", e.Events, e.Bytes)
}

// limits returns the maximum number of events of an item and the maximum size of its text.
func limits(item *batch.Item) (events, bytes int) {
	if item.Tokens == 0 {
		return MaxTextBytes, MaxTextBytes
	}
	return max(minMaxEvents, item.Tokens), min(MaxTextBytes, baseTextBytes+textBytesPerToken*min(item.Tokens, MaxTextBytes))
}

// Result describes a run that has ended.
type Result struct {
	Outcome Outcome
	Status  int
	// Events is the number of events that this run added.
	Events int
	// Duration is the time from the start of the run to its end.
	Duration time.Duration
	// FirstEvent is the time to the first event, MaxGap the longest time between two.
	FirstEvent, MaxGap time.Duration
	// Version is the latest weight version that the engine reported, zero if none.
	Version uint64
	Err     error
}

// Runner runs items.
type Runner struct {
	Client  *attempt.Client
	Headers httpheader.Names
	// Limits reads the rate limits in responses; nil ignores them.
	Limits *ratelimit.Reader
	// Departures reads from responses which engines leave; nil ignores it.
	Departures *departure.Reader
}

// Run sends an item to the engine of a slot and adds the events that it produces to p.
// onEvent is called after each event, on the caller's goroutine.
func (r *Runner) Run(ctx context.Context, slot placement.Slot, b *batch.Batch, item batch.Item, p *Progress, onEvent func()) Result {
	start := time.Now()
	before, last := p.Events, start
	var first, maxGap time.Duration
	res := r.run(ctx, slot, b, item, p, func() {
		now := time.Now()
		if first == 0 {
			first = now.Sub(start)
		} else {
			maxGap = max(maxGap, now.Sub(last))
		}
		last = now
		onEvent()
	})
	res.FirstEvent, res.MaxGap = first, maxGap
	res.Events = p.Events - before
	res.Duration = time.Since(start)
	if ctx.Err() != nil && res.Outcome != Complete {
		res.Outcome, res.Err = Stopped, context.Cause(ctx)
	}
	return res
}

func (r *Runner) run(ctx context.Context, slot placement.Slot, b *batch.Batch, item batch.Item, p *Progress, onEvent func()) Result {
	req := r.request(slot, b, item, p)
	a, err := r.Client.Do(ctx, slot.Addr, req, attempt.Options{Stream: true, StreamIf: isStream, ID: item.ID,
		Verify:      func(h *fasthttp.ResponseHeader) error { return r.verify(h, item.ID) },
		IdleTimeout: firstByteTimeout, MaxBodyBytes: maxRefusalBytes, CloseDelimited: true})
	if err != nil {
		return errorResult(err)
	}
	status := a.Response.StatusCode()
	if status != http.StatusMisdirectedRequest {
		r.Limits.Read(&a.Response.Header, slot.Key(), slot.Taken, time.Now())
		r.Departures.Read(&a.Response.Header, slot.Incarnation())
	}
	if status != http.StatusOK {
		return r.refusalResult(a, status)
	}
	if p.Events == 0 {
		p.Software = slot.Software
	}
	version, err := r.readEvents(a, p, &item, b.MinVersion, onEvent)
	a.Close(err == nil)
	p.Complete = err == nil
	res := Result{Outcome: Complete, Status: http.StatusOK}
	var stale *staleWeightsError
	var output *OutputError
	switch {
	case errors.As(err, &output):
		res = Result{Outcome: Excessive, Status: http.StatusOK, Err: err}
	case errors.As(err, &stale):
		res = Result{Outcome: Stale, Status: http.StatusOK, Err: err}
	case err != nil:
		res = errorResult(err)
	}
	res.Version = version
	return res
}

// verify rejects the response to another request, which may come late on a kept connection, whatever
// its status. Engines return the ID of the request in every response.
func (r *Runner) verify(h *fasthttp.ResponseHeader, id string) error {
	if echo := string(h.Peek(r.Headers.RequestID)); echo != id {
		return &attempt.RequestMismatchError{Want: id, Got: echo}
	}
	return nil
}

// isStream reports whether a response is read as a stream. Refusals are read completely,
// so that their connection can be reused.
func isStream(h *fasthttp.ResponseHeader) bool { return h.StatusCode() == http.StatusOK }

// request builds the request for the events after those in p.
func (r *Runner) request(slot placement.Slot, b *batch.Batch, item batch.Item, p *Progress) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.DisableNormalizing()
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetRequestURI(item.Path)
	req.Header.SetHost(b.Host)
	for k, v := range item.Headers {
		if !r.Headers.Reserved(k) {
			req.Header.Set(k, v)
		}
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

// refusalResult returns the result for a response with a status other than 200.
func (r *Runner) refusalResult(a *attempt.Response, status int) Result {
	err := fmt.Errorf("engine responded with status %d", status)
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

// staleWeightsError reports an engine whose weights are older than the batch allows.
type staleWeightsError struct{ version, minVersion uint64 }

func (e *staleWeightsError) Error() string {
	return fmt.Sprintf("engine has weight version %d, the batch needs at least %d", e.version, e.minVersion)
}

// readEvents adds the events of a stream to p and returns the weight version of the last
// one. If the engine's weights are too old it returns before the first event, and with an *OutputError before
// the one with which the item would have more than it can.
func (r *Runner) readEvents(a *attempt.Response, p *Progress, item *batch.Item, minVersion uint64, onEvent func()) (version uint64, err error) {
	a.Expect(maxEventBytes, gapTimeout)
	version, err = strconv.ParseUint(string(a.Response.Header.Peek(r.Headers.WeightVersion)), 10, 64)
	if err != nil {
		return 0, errors.New("engine does not report a valid weight version")
	}
	if version < minVersion {
		return version, &staleWeightsError{version, minVersion}
	}
	maxEvents, maxBytes := limits(item)
	events := newEventReader(a.Body, r.Headers.WeightVersion, maxBytes+maxFieldBytes)
	events.id = p.LastEventID
	size := 0
	for _, text := range p.Data {
		size += len(text) + len("\n")
	}
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return version, nil
		}
		if err != nil {
			return version, err
		}
		if size += len(e.data) + len("\n"); size > maxBytes || p.Events >= maxEvents {
			return version, &OutputError{Events: p.Events + 1, Bytes: size}
		}
		if e.version != 0 {
			version = e.version
		}
		a.Expect(maxEventBytes, gapTimeout)
		p.add(e, version)
		onEvent()
	}
}

func errorResult(err error) Result {
	var e *attempt.Error
	if errors.As(err, &e) && e.Phase == "connect" {
		return Result{Outcome: ConnectFailed, Err: err}
	}
	return Result{Outcome: Interrupted, Err: err}
}
