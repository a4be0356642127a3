package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

// Headers between entry hosts.
const (
	// HeaderRelayVersion is the version of the configuration by which a relayed request was
	// accepted. The host that gets it must have that version or a later one.
	HeaderRelayVersion = "Relay-Config-Version"
	// HeaderRelayRefused marks the answer of a host that did not take a relayed request.
	HeaderRelayRefused = "Relay-Refused"
)

const (
	// maxRelays is the number of hosts that a request is sent through, one after another, until one
	// takes it.
	maxRelays = 2
)

// Relays are the entry hosts that requests are sent through while this host has lost its links to the
// backend servers.
type Relays struct {
	Client *attempt.Client
	// Hosts returns the hosts with links, the first to be tried first.
	Hosts func() []RelayHost
}

// RelayHost is an entry host that takes relayed requests.
type RelayHost struct {
	Name, Addr string
}

// unlinked reports whether a request cannot go from this host to any server, but through another host.
// A relayed request goes no further, and a trial goes to a single server.
func (f *Forwarder) unlinked(s *requestState) bool {
	return f.cfg.Relays.Hosts != nil && !s.Relayed && !s.trial() && f.cfg.Links.Lost()
}

// relay sends the request through another host, which applies the limits, the quarantine and the
// placement.
func (f *Forwarder) relay(ctx context.Context, s *requestState) *Response {
	hosts := f.cfg.Relays.Hosts()
	hosts = hosts[:min(len(hosts), maxRelays)]
	for i, h := range hosts {
		if i > 0 && !f.mayRetry(ctx, s) {
			break
		}
		end := s.capToDeadline(s.Deadline)
		if i+1 < len(hosts) {
			end = f.attemptDeadline(s)
		}
		if a, done := f.tryRelay(ctx, s, h, end); done {
			return a
		}
	}
	if s.sent == 0 {
		f.cfg.Scope.Counter("relays_without_host").Inc(1)
		return &Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterDelay,
			Reason: "this host has lost its links to the backend servers, and no other host took the request"}
	}
	return f.failureResponse(ctx, s)
}

// tryRelay sends the request through one host. done is false if another host may be tried.
func (f *Forwarder) tryRelay(ctx context.Context, s *requestState, h RelayHost, end time.Time) (a *Response, done bool) {
	start := time.Now()
	s.lastServer = h.Name
	tryCtx, cancel := context.WithDeadline(ctx, end)
	got, err := f.cfg.Relays.Client.Do(tryCtx, h.Addr, f.relayRequest(s), attempt.Options{
		NewConnection: !s.Idempotent(), MaxBodyBytes: maxResponseBytes, CloseDelimited: true, Stream: !s.Buffered, StreamIf: isStream})
	log := f.cfg.Log.WithFields(logrus.Fields{"request": s.ID, "through": h.Name, "took_ms": time.Since(start).Milliseconds()})
	if err != nil {
		cancel()
		s.lastErr = err
		var e *attempt.Error
		if errors.As(err, &e) && e.Ran == attempt.RanNo {
			s.refused++
		} else {
			s.sent++
		}
		f.cfg.Scope.Counter("relays_failed").Inc(1)
		log.WithError(err).Info("request not relayed")
		return nil, false
	}
	if reason := got.Response.Header.Peek(HeaderRelayRefused); len(reason) > 0 {
		got.Close(true)
		cancel()
		s.refused++
		f.cfg.Scope.Counter("relays_refused").Inc(1)
		log.WithField("reason", string(reason)).Info("request not relayed")
		return nil, false
	}
	s.sent++
	f.cfg.Scope.Counter("relayed").Inc(1)
	log.WithField("status", got.Response.StatusCode()).Info("request relayed")
	if got.Body != nil {
		x := newStream(f, s, placement.Slot{}, got, cancel)
		x.relayed = true
		return &Response{Response: got.Response, Stream: x}, true
	}
	cancel()
	if len(got.Response.Header.Peek(f.cfg.Headers.Signature)) > 0 {
		return f.withoutFalsePromise(s, got.Response), true // hosts of an earlier version pass all responses on
	}
	return &Response{Response: got.Response}, true
}

// relayRequest builds the request to another host: that of the caller with the time that is left.
func (f *Forwarder) relayRequest(s *requestState) *fasthttp.Request {
	req := &fasthttp.Request{}
	s.Raw.Header.CopyTo(&req.Header)
	for _, name := range hopHeaders(&s.Raw.Header) {
		req.Header.Del(name)
	}
	req.Header.SetNoDefaultContentType(true)
	req.Header.Set(f.cfg.Headers.RemainingMS, strconv.FormatInt(max(1, time.Until(s.Deadline).Milliseconds()), 10))
	req.Header.Set(HeaderRelayVersion, strconv.FormatUint(s.ConfigVersion, 10))
	req.SetBodyRaw(s.Raw.Body())
	return req
}
