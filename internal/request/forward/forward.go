package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/internal/connection/admission"
	"github.com/plantainbank/plantainbank/internal/connection/departure"
	"github.com/plantainbank/plantainbank/internal/connection/httpheader"
	"github.com/plantainbank/plantainbank/internal/connection/links"
	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/connection/ratelimit"
	"github.com/plantainbank/plantainbank/internal/request/quarantine"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

// Timeouts and limits of a request.
const (
	// attemptTimeout bounds an attempt of an idempotent request while another attempt is
	// left. A plain call takes 25 ms on average and 190 ms at most, so a server that takes
	// longer is slow or down.
	attemptTimeout = 400 * time.Millisecond
	// slotWait bounds the wait for a server while all of them are in cooldown; after it a
	// server in cooldown is tried.
	slotWait = 100 * time.Millisecond
	// slotPollInterval is the interval between attempts to get a slot.
	slotPollInterval = 10 * time.Millisecond
	// maxRefusals bounds the attempts of one request that were refused or could not connect.
	maxRefusals = 5
	// maxResponseBytes is the maximum size of the body of a response that is not a stream.
	maxResponseBytes = 32 << 20
	// disconnectPollInterval is the interval between checks of the caller's connection.
	disconnectPollInterval = 100 * time.Millisecond
	// responseMargin is reserved before the deadline for returning the response to the
	// caller.
	responseMargin = 10 * time.Millisecond
)

// ErrDisconnected is the cancellation cause of requests whose caller has disconnected.
var ErrDisconnected = errors.New("caller disconnected")

// Config holds the dependencies of a Forwarder.
type Config struct {
	Table   *placement.Table
	Client  *attempt.Client
	Headers httpheader.Names
	Log     *logrus.Entry
	Scope   tally.Scope
	// Guard refuses requests under which servers ended; nil admits all.
	Guard *quarantine.Guard
	// Admission refuses plain calls while their service is under pressure; nil admits all.
	Admission *admission.Host
	// Copies is the budget of second copies of idempotent plain calls; nil allows none.
	Copies *admission.Copies
	// Limits reads the rate limits in responses; nil ignores them.
	Limits *ratelimit.Reader
	// Departures reads from responses which servers leave; nil ignores it.
	Departures *departure.Reader
	// Links knows whether this host has lost its links to all servers; nil takes them for good.
	Links *links.Monitor
	// Relays are the hosts that requests are sent through meanwhile.
	Relays Relays
	// OnStream is called with the first event of a stream that begins; it may be nil.
	OnStream func(r *Request, service, software string)
	// OnStart is called once for each request that may have been executed.
	OnStart func(workspace string)
}

// Forwarder forwards requests to backend servers. It is safe for concurrent use.
type Forwarder struct{ cfg Config }

// New returns a forwarder.
func New(cfg Config) *Forwarder { return &Forwarder{cfg} }

// Request is one request of a caller.
type Request struct {
	ID        string
	Workspace string
	Route     *routing.Route
	// Service is the service that was chosen by the weights of the route.
	Service string
	// Model is empty for requests to plain services.
	Model string
	// Deadline is the earlier of the deadlines of the caller and the route.
	Deadline time.Time
	// ConfigVersion is the version of the configuration that Route is from.
	ConfigVersion uint64
	// Priority is lower for more urgent requests.
	Priority int
	// Raw is the request as received. Its headers are modified when a stream is resumed.
	Raw *fasthttp.Request
	// Software is the software version of the server that began the stream which the request
	// takes up; nil if it begins one.
	Software *string
	// AttemptTimeout bounds every attempt. If it is zero, attemptTimeout bounds the
	// attempts of an idempotent request but the last one.
	AttemptTimeout time.Duration
	// Relayed is true if the request came from another entry host, which has lost its links.
	Relayed bool
	// Avoid lists the servers at which the request has failed; failed attempts add to it.
	// It may be nil.
	Avoid map[string]bool
	// Buffered makes a stream be read completely before the response is returned.
	Buffered bool
	// Disconnected reports whether the caller has closed its connection; nil disables the
	// check.
	Disconnected func() bool
}

// Response is the response to the caller.
type Response struct {
	// Status is set for responses that this process generates; otherwise Response, the
	// response of the server, is set.
	Status     int
	RetryAfter time.Duration
	Reason     string
	Response   *fasthttp.Response
	// Stream is set if the body is still to be streamed; nil for complete responses.
	Stream *Stream
}

// Idempotent reports whether a request may be executed more than once.
func (r *Request) Idempotent() bool {
	return r.Route.Kind == routing.Idempotent || r.Route.Resumable
}

// requestState is the state of a request across its attempts.
type requestState struct {
	*Request
	// sent counts the attempts that may have been executed, refused those that
	// definitely were not.
	sent, refused int
	// full counts the attempts of a plain call that servers refused, other than as misdirected.
	full    int
	started bool
	avoid   map[string]bool
	// asked holds when control was asked for a permit, by server ID.
	asked map[string]time.Time
	// limit is how rate limits delayed the request when it last found no server.
	limit      placement.LimitDelay
	lastErr    error
	lastServer string
	start      time.Time
	// lastFailure is the last 5xx response after which another attempt was allowed.
	lastFailure *Response
	// print is nil until fingerprint is called.
	print     *quarantine.Fingerprint
	admission quarantine.Admission
}

func newRequestState(r *Request) *requestState {
	s := &requestState{Request: r, start: time.Now(), avoid: r.Avoid, asked: map[string]time.Time{}}
	if s.avoid == nil {
		s.avoid = map[string]bool{}
	}
	return s
}

// fingerprint returns the fingerprint of the request. It is computed when it is first needed,
// since most requests need none.
func (s *requestState) fingerprint() quarantine.Fingerprint {
	if s.print == nil {
		p := quarantine.FingerprintOf(s.Workspace, s.Raw)
		s.print = &p
	}
	return *s.print
}

// subject returns the request as the guard sees it.
func (s *requestState) subject() quarantine.Request {
	return quarantine.Request{ID: s.ID, Fingerprint: s.fingerprint}
}

// trial reports whether the request is quarantined and sent to a single server, to see
// whether servers still end under it.
func (s *requestState) trial() bool { return s.admission.Verdict == quarantine.Try }

// Do forwards a request and returns the response to it.
func (f *Forwarder) Do(ctx context.Context, r *Request) *Response {
	s := newRequestState(r)
	send := f.do
	if f.unlinked(s) {
		send = f.relay // the other host decides on its admission
	} else if retryAfter, ok := f.admit(s); !ok {
		return &Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Reason: "the servers of the service cannot take all calls"}
	} else if s.admission = f.cfg.Guard.Admit(s.subject()); s.admission.Verdict == quarantine.Refuse {
		return quarantinedResponse(s)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := watchDisconnect(r.Disconnected, cancel)
	end := func() {
		stop()
		cancel(nil)
	}
	a := send(ctx, s)
	if s.trial() && s.sent == 0 {
		f.cfg.Guard.Withdraw(s.subject(), s.admission)
	}
	f.recordOutcome(s, a)
	if a.Stream != nil {
		a.Stream.ctx, a.Stream.endRequest = ctx, end // the request lasts until the stream has been copied
		return a
	}
	end()
	return a
}

// watchDisconnect cancels the request when the caller has disconnected.
func watchDisconnect(disconnected func() bool, cancel context.CancelCauseFunc) (stop func()) {
	if disconnected == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(disconnectPollInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				if disconnected() {
					cancel(ErrDisconnected)
					return
				}
			}
		}
	}()
	return func() { close(done) }
}

func (f *Forwarder) do(ctx context.Context, s *requestState) *Response {
	for {
		if f.unlinked(s) {
			return f.relay(ctx, s)
		}
		slot, ok := f.takeSlot(ctx, s)
		if !ok && f.unlinked(s) {
			continue
		}
		if !ok {
			return f.failureResponse(ctx, s)
		}
		a, done := f.try(ctx, s, slot)
		if done {
			return a
		}
		if !f.mayRetry(ctx, s) {
			return f.failureResponse(ctx, s)
		}
	}
}

// mayRetry reports whether another attempt is allowed.
func (f *Forwarder) mayRetry(ctx context.Context, s *requestState) bool {
	switch {
	case ctx.Err() != nil, time.Until(s.Deadline) <= responseMargin, s.refused >= maxRefusals:
		return false
	case f.knownFull(s, time.Now()):
		return false
	case s.trial() && s.sent > 0, !s.trial() && f.cfg.Guard.Held(s.subject()):
		return false
	case s.sent == 0:
		return true
	}
	return s.Idempotent() && s.sent < s.Route.MaxAttempts
}

// try sends the request to the server of a slot. done is false if another attempt could
// succeed.
func (f *Forwarder) try(ctx context.Context, s *requestState, slot placement.Slot) (a *Response, done bool) {
	if delay, ok := f.copyDelay(s); ok {
		return f.tryCopied(ctx, s, slot, delay)
	}
	tryCtx, cancel := context.WithDeadline(ctx, f.attemptDeadline(s))
	x := &exchange{slot: slot, cancel: cancel}
	x.got, x.err = f.cfg.Client.Do(tryCtx, slot.Addr, f.request(s, slot), f.options(s))
	return f.handle(ctx, s, x)
}

func (f *Forwarder) options(s *requestState) attempt.Options {
	return attempt.Options{NewConnection: !s.Idempotent(), MaxBodyBytes: maxResponseBytes, CloseDelimited: true, Stream: !s.Buffered, StreamIf: isStream,
		ID: s.ID, Verify: func(h *fasthttp.ResponseHeader) error { return f.verify(h, s.ID) }}
}

// handle records the end of an attempt. done is false if another attempt could succeed.
func (f *Forwarder) handle(ctx context.Context, s *requestState, x *exchange) (a *Response, done bool) {
	slot, got, err, cancel := x.slot, x.got, x.err, x.cancel
	s.lastServer = slot.ID
	now := time.Now()
	if err != nil {
		cancel()
		var foreign *attempt.VerifyError
		switch {
		case errors.As(err, &foreign):
			f.cfg.Links.Responded()
		case ctx.Err() == nil:
			f.cfg.Links.Failed(slot.Addr)
		}
		f.attemptFailed(ctx, s, slot, err, now)
		return nil, false
	}
	f.cfg.Links.Responded()
	if got.Response.StatusCode() != http.StatusMisdirectedRequest {
		f.cfg.Limits.Read(&got.Response.Header, slot.Key(), slot.Taken, now)
		f.cfg.Departures.Read(&got.Response.Header, slot.Incarnation())
	}
	load, ok := f.parseLoad(got.Response)
	if ok {
		f.cfg.Table.RecordLoad(slot.ID, load, now)
	}
	if isRefusal(got.Response, f.cfg.Headers) {
		got.Close(false)
		cancel()
		f.attemptRefused(s, slot, got.Response.StatusCode(), load, now)
		return nil, false
	}
	s.started = true
	s.sent++
	if got.Body != nil {
		return &Response{Response: got.Response, Stream: newStream(f, s, slot, got, cancel)}, true
	}
	cancel()
	f.cfg.Guard.Served(s.subject())
	status := got.Response.StatusCode()
	outcome := placement.Served
	if status >= http.StatusInternalServerError {
		outcome = placement.Failed
	}
	f.cfg.Table.Done(slot, outcome, load.Usual(now.Sub(slot.Taken)), now)
	f.recordServed(s, now.Sub(slot.Taken), load, now)
	if outcome == placement.Failed && s.Idempotent() && !s.trial() && s.sent < s.Route.MaxAttempts && time.Until(s.Deadline) > attemptTimeout {
		s.lastErr = fmt.Errorf("server responded with status %d", status)
		s.avoid[slot.ID] = true
		s.lastFailure = &Response{Response: got.Response}
		return nil, false
	}
	return f.withoutFalsePromise(s, got.Response), true
}

// attemptDeadline returns the deadline of the next attempt. The last attempt gets all the
// time that is left.
func (f *Forwarder) attemptDeadline(s *requestState) time.Time {
	end := s.Deadline.Add(-responseMargin)
	if s.AttemptTimeout > 0 {
		return s.capToDeadline(time.Now().Add(s.AttemptTimeout))
	}
	early := time.Now().Add(attemptTimeout)
	if s.Idempotent() && !s.Route.Streaming && !s.trial() && s.sent+1 < s.Route.MaxAttempts && early.Before(end) {
		return early
	}
	return end
}

// request builds the request of one attempt.
func (f *Forwarder) request(s *requestState, slot placement.Slot) *fasthttp.Request {
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

// verify rejects a response that cannot be the server's response to the request with an ID.
func (f *Forwarder) verify(h *fasthttp.ResponseHeader, id string) error {
	if echo := string(h.Peek(f.cfg.Headers.RequestID)); echo != id {
		return &attempt.RequestMismatchError{Want: id, Got: echo}
	}
	if h.StatusCode() < 300 && len(h.Peek(f.cfg.Headers.Signature)) == 0 {
		return errors.New("response has no server signature")
	}
	return nil
}

// attemptFailed records an attempt without a valid response.
func (f *Forwarder) attemptFailed(ctx context.Context, s *requestState, slot placement.Slot, err error, now time.Time) {
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
		s.started = true
	}
	f.cfg.Scope.Counter("attempts_failed").Inc(1)
	fields := logrus.Fields{"request": s.ID, "instance": slot.ID, "sent": s.sent, "took_ms": now.Sub(slot.Taken).Milliseconds()}
	closed := attempt.ClosedByServer(err)
	if closed {
		fields["fingerprint"] = s.fingerprint().String()
	}
	f.cfg.Log.WithFields(fields).WithError(err).Info("attempt failed")
	if closed {
		f.cfg.Guard.Ended(s.subject(), slot.ID, slot.Born)
	}
}

// attemptRefused records an attempt that the server did not execute.
func (f *Forwarder) attemptRefused(s *requestState, slot placement.Slot, status int, load placement.Load, now time.Time) {
	s.refused++
	s.avoid[slot.ID] = true
	s.lastErr = fmt.Errorf("server did not execute the request, status %d", status)
	outcome := placement.Full
	if status == http.StatusMisdirectedRequest {
		outcome = placement.Misdirected
	} else {
		f.recordRefused(s, load, now)
	}
	f.cfg.Table.Done(slot, outcome, 0, now)
	f.cfg.Scope.Counter("attempts_refused").Inc(1)
}

func isRefusal(res *fasthttp.Response, h httpheader.Names) bool {
	return res.StatusCode() == http.StatusMisdirectedRequest || len(res.Header.Peek(h.NotRun)) > 0
}

func isStream(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == http.StatusOK && bytes.HasPrefix(h.ContentType(), []byte("text/event-stream"))
}

// recordOutcome records the metrics of a request, and logs it unless its first attempt got
// a response from a server.
func (f *Forwarder) recordOutcome(s *requestState, a *Response) {
	if s.started {
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
	if s.limit.Limited {
		entry = entry.WithField("limited", s.limit.Servers)
	}
	if a.RetryAfter > 0 {
		entry = entry.WithField("retry_ms", a.RetryAfter.Milliseconds())
	}
	if s.lastErr != nil {
		entry = entry.WithError(s.lastErr)
	}
	entry.Info("request answered")
}
