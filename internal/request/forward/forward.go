package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/internal/connection/httpheader"
	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

// Periods and limits of a request.
const (
	// attemptTimeout ends an attempt of a request that may be repeated, while
	// there is another attempt: a plain call takes 25 ms on average and 190 ms
	// at most, so a server that is silent for longer is slow or gone.
	attemptTimeout = 400 * time.Millisecond
	// placeWait is the longest wait for a server while all of them rest; then
	// one that rests is tried.
	placeWait = 100 * time.Millisecond
	// placePause is the pause between two looks for a server.
	placePause = 10 * time.Millisecond
	// refusalsMost bounds the servers that may refuse one request.
	refusalsMost = 5
	// answerMost is the largest answer in bytes that is not a stream.
	answerMost = 32 << 20
	// watchPeriod is how often the caller's connection is looked at.
	watchPeriod = 100 * time.Millisecond
	// replyMargin is the part of the deadline that the answer's way takes.
	replyMargin = 10 * time.Millisecond
)

// ErrGone is the cause of requests whose caller has left.
var ErrDisconnected = errors.New("the caller has left")

// Config holds what a Forwarder needs.
type Config struct {
	Table   *placement.Table
	Client  *attempt.Client
	Headers httpheader.Names
	Log     *logrus.Entry
	Scope   tally.Scope
	// Began counts a request that began to run.
	OnStart func(workspace string)
}

// Forwarder is safe for concurrent use.
type Forwarder struct{ cfg Config }

// New returns a forwarder.
func New(cfg Config) *Forwarder { return &Forwarder{cfg} }

// Request is one request of a caller.
type Request struct {
	ID        string
	Workspace string
	Route     *routing.Route
	// Service is the pool that the route's weights chose.
	Service string
	// Model is empty for requests to plain services.
	Model string
	// Deadline is when the caller or the route gives up, whichever is first.
	Deadline time.Time
	// Config is the version of the configuration that chose the route.
	ConfigVersion uint64
	// Raw is the request as it came; its headers are changed.
	Raw *fasthttp.Request
	// Watch reports whether the caller has left.
	Disconnected func() bool
}

// Answer is what the caller gets.
type Answer struct {
	// Status is set for answers of this process; else Response is.
	Status     int
	RetryAfter time.Duration
	Reason     string
	Response   *fasthttp.Response
	// Stream holds an answer that is read on; nil for whole ones.
	Stream *Stream
}

// Idempotent reports whether a request may run more than once.
func (r *Request) Idempotent() bool {
	return r.Route.Kind == routing.Idempotent || r.Route.Resumable
}

// state is what the attempts of one request have brought.
type state struct {
	*Request
	// sent counts the attempts that may have run, refused those that did not.
	sent, refused int
	began         bool
	avoid         map[string]bool
	lastErr       error
	lastServer    string
	start         time.Time
	// failure is a server's own failure that another attempt may better.
	failure *Answer
}

// Do runs a request and returns its answer.
func (f *Forwarder) Do(ctx context.Context, r *Request) *Answer {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := watch(r.Disconnected, cancel)
	end := func() {
		stop()
		cancel(nil)
	}
	s := &state{Request: r, start: time.Now(), avoid: map[string]bool{}}
	a := f.do(ctx, s)
	f.note(s, a)
	if a.Stream != nil {
		a.Stream.ctx, a.Stream.done = ctx, end // it lives on until it is copied
		return a
	}
	end()
	return a
}

// watch cancels when the caller has left.
func watch(left func() bool, cancel context.CancelCauseFunc) (stop func()) {
	if left == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(watchPeriod)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				if left() {
					cancel(ErrDisconnected)
					return
				}
			}
		}
	}()
	return func() { close(done) }
}

func (f *Forwarder) do(ctx context.Context, s *state) *Answer {
	for {
		slot, ok := f.place(ctx, s)
		if !ok {
			return f.giveUp(ctx, s)
		}
		a, done := f.try(ctx, s, slot)
		if done {
			return a
		}
		if !f.again(ctx, s) {
			return f.giveUp(ctx, s)
		}
	}
}

// place waits a moment for a server that may take the request.
func (f *Forwarder) place(ctx context.Context, s *state) (placement.Slot, bool) {
	want := placement.Requirement{Service: s.Service, Avoid: s.avoid}
	until := s.latest(time.Now().Add(placeWait))
	for {
		now := time.Now()
		if slot, ok := f.cfg.Table.Take(want, now); ok {
			return slot, true
		}
		if len(want.Avoid) > 0 {
			want.Avoid = nil // one that failed before is better than none
			continue
		}
		if !f.cfg.Table.Serves(want) || want.IgnoreCooldown || ctx.Err() != nil {
			return placement.Slot{}, false
		}
		if now.After(until) {
			want.IgnoreCooldown = true
			continue
		}
		time.Sleep(placePause)
	}
}

func (s *state) latest(t time.Time) time.Time {
	if end := s.Deadline.Add(-replyMargin); end.Before(t) {
		return end
	}
	return t
}

// again reports whether another attempt is allowed.
func (f *Forwarder) again(ctx context.Context, s *state) bool {
	switch {
	case ctx.Err() != nil, time.Until(s.Deadline) <= replyMargin, s.refused >= refusalsMost:
		return false
	case s.sent == 0:
		return true
	}
	return s.Idempotent() && s.sent < s.Route.MaxAttempts
}

// try sends the request to a slot. done is false if another attempt may help.
func (f *Forwarder) try(ctx context.Context, s *state, slot placement.Slot) (a *Answer, done bool) {
	s.lastServer = slot.ID
	tryCtx, cancel := context.WithDeadline(ctx, f.until(s))
	got, err := f.cfg.Client.Do(tryCtx, slot.Addr, f.request(s, slot), attempt.Options{
		NewConnection: !s.Idempotent(), MaxBodyBytes: answerMost, CloseDelimited: true, Stream: true, StreamIf: isStream})
	now := time.Now()
	if err != nil {
		cancel()
		f.failed(ctx, s, slot, err, now)
		return nil, false
	}
	if err := f.check(s, got); err != nil {
		got.Close(false)
		cancel()
		f.failed(ctx, s, slot, err, now)
		return nil, false
	}
	if busy, ok := f.load(got.Response); ok {
		f.cfg.Table.RecordLoad(slot.ID, busy, now)
	}
	if refused(got.Response, f.cfg.Headers) {
		got.Close(false)
		cancel()
		f.refused(s, slot, got.Response.StatusCode(), now)
		return nil, false
	}
	s.began = true
	s.sent++
	if got.Body != nil {
		return &Answer{Response: got.Response, Stream: newStream(f, s, slot, got, cancel)}, true
	}
	cancel()
	status := got.Response.StatusCode()
	outcome := placement.Served
	if status >= http.StatusInternalServerError {
		outcome = placement.Failed
	}
	f.cfg.Table.Done(slot, outcome, now.Sub(slot.Taken), now)
	if outcome == placement.Failed && s.Idempotent() && s.sent < s.Route.MaxAttempts && time.Until(s.Deadline) > attemptTimeout {
		s.lastErr = fmt.Errorf("the server answered %d", status)
		s.avoid[slot.ID] = true
		s.failure = &Answer{Response: got.Response}
		return nil, false
	}
	return &Answer{Response: got.Response}, true
}

// until is when an attempt ends. The last one has all the time that is left.
func (f *Forwarder) until(s *state) time.Time {
	end := s.Deadline.Add(-replyMargin)
	early := time.Now().Add(attemptTimeout)
	if s.Idempotent() && !s.Route.Streaming && s.sent+1 < s.Route.MaxAttempts && early.Before(end) {
		return early
	}
	return end
}

// request builds the request of one attempt.
func (f *Forwarder) request(s *state, slot placement.Slot) *fasthttp.Request {
	h := f.cfg.Headers
	req := &fasthttp.Request{}
	s.Raw.Header.CopyTo(&req.Header)
	for _, name := range hopHeaders(&s.Raw.Header) {
		req.Header.Del(name)
	}
	req.Header.Del("Authorization")
	req.Header.Del(h.Priority)
	req.Header.SetNoDefaultContentType(true)
	req.Header.Set(h.Instance, slot.ID)
	req.Header.Set(h.RemainingMS, strconv.FormatInt(max(1, time.Until(s.Deadline).Milliseconds()), 10))
	req.Header.Del(h.Workspace)
	if s.Workspace != "" {
		req.Header.Set(h.Workspace, s.Workspace)
	}
	req.SetBodyRaw(s.Raw.Body())
	return req
}

// check refuses answers that can not be the server's whole answer to this
// request.
func (f *Forwarder) check(s *state, got *attempt.Answer) error {
	echo := string(got.Response.Header.Peek(f.cfg.Headers.RequestID))
	if echo != "" && echo != s.ID {
		return &attempt.Error{Phase: "answer", Ran: attempt.RanUnknown, Broken: true, Err: &attempt.RequestMismatchError{Want: s.ID, Got: echo}}
	}
	status := got.Response.StatusCode()
	if status < 300 && (echo == "" || len(got.Response.Header.Peek(f.cfg.Headers.Signature)) == 0) {
		return &attempt.Error{Phase: "answer", Ran: attempt.RanUnknown, Broken: true, Err: errors.New("the answer is not signed")}
	}
	return nil
}

// failed notes an attempt without an answer.
func (f *Forwarder) failed(ctx context.Context, s *state, slot placement.Slot, err error, now time.Time) {
	s.lastErr = err
	s.avoid[slot.ID] = true
	var e *attempt.Error
	outcome := placement.Interrupted
	switch {
	case ctx.Err() != nil:
		outcome = placement.Abandoned
	case errors.As(err, &e) && e.Phase == "connect":
		outcome = placement.ConnectFailed
	}
	f.cfg.Table.Done(slot, outcome, 0, now)
	if errors.As(err, &e) && e.Ran == attempt.RanNo {
		s.refused++
	} else {
		s.sent++
		s.began = true
	}
	f.cfg.Scope.Counter("attempts_failed").Inc(1)
	f.cfg.Log.WithFields(logrus.Fields{"request": s.ID, "instance": slot.ID, "sent": s.sent,
		"took_ms": now.Sub(slot.Taken).Milliseconds()}).WithError(err).Info("attempt failed")
}

// refused notes an attempt that the server did not run.
func (f *Forwarder) refused(s *state, slot placement.Slot, status int, now time.Time) {
	s.refused++
	s.avoid[slot.ID] = true
	s.lastErr = fmt.Errorf("the server did not run it and answered %d", status)
	outcome := placement.Full
	if status == http.StatusMisdirectedRequest {
		outcome = placement.Misdirected
	}
	f.cfg.Table.Done(slot, outcome, 0, now)
	f.cfg.Scope.Counter("attempts_refused").Inc(1)
}

func refused(res *fasthttp.Response, h httpheader.Names) bool {
	return res.StatusCode() == http.StatusMisdirectedRequest || len(res.Header.Peek(h.NotRun)) > 0
}

// load reads what a server tells of its load: running, waiting, slots.
func (f *Forwarder) load(res *fasthttp.Response) (busy int, ok bool) {
	parts := strings.Split(string(res.Header.Peek(f.cfg.Headers.Load)), ",")
	if len(parts) < 2 {
		return 0, false
	}
	running, err1 := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	return running + waiting, err1 == nil && err2 == nil
}

func isStream(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == http.StatusOK && bytes.HasPrefix(h.ContentType(), []byte("text/event-stream"))
}

// retryPause is when a caller should come back after "not run": a server that
// rests is looked at again after half a second.
const retryPause = 250 * time.Millisecond

// giveUp answers a request that gets no answer of a server.
func (f *Forwarder) giveUp(ctx context.Context, s *state) *Answer {
	switch {
	case s.failure != nil:
		return s.failure
	case s.sent == 0:
		return &Answer{Status: http.StatusServiceUnavailable, RetryAfter: retryPause, Reason: "no server could take it"}
	case ctx.Err() != nil:
		return &Answer{Status: http.StatusBadGateway, Reason: "the caller has left"}
	case time.Until(s.Deadline) <= 2*replyMargin:
		return &Answer{Status: http.StatusGatewayTimeout, Reason: "out of time"}
	}
	return &Answer{Status: http.StatusBadGateway, Reason: "no whole answer came"}
}

// note counts and logs what a request came to.
func (f *Forwarder) note(s *state, a *Answer) {
	if s.began {
		f.cfg.OnStart(s.Workspace)
	}
	took := time.Since(s.start)
	f.cfg.Scope.Timer("request").Record(took)
	if a.Response != nil && s.sent+s.refused == 1 {
		return
	}
	status := a.Status
	if a.Response != nil {
		status = a.Response.StatusCode()
	}
	entry := f.cfg.Log.WithFields(logrus.Fields{"request": s.ID, "route": s.Route.Name, "config": s.ConfigVersion, "service": s.Service,
		"status": status, "sent": s.sent, "refused": s.refused, "instance": s.lastServer, "reason": a.Reason,
		"took_ms": took.Milliseconds(), "left_ms": time.Until(s.Deadline).Milliseconds()})
	if s.lastErr != nil {
		entry = entry.WithError(s.lastErr)
	}
	entry.Info("request answered")
}
