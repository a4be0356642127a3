package forward

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// retryAfterDelay is the Retry-After time of the response "not run". A server in cooldown
// is tried again after 500 ms.
const retryAfterDelay = 250 * time.Millisecond

// failureResponse returns the response to a request after its last attempt has failed.
func (f *Forwarder) failureResponse(ctx context.Context, s *requestState) *Response {
	switch {
	case s.lastFailure != nil:
		return s.lastFailure
	case s.sent == 0 && s.limit.Limited:
		f.cfg.Scope.Counter("limit_refused").Inc(1)
		return &Response{Status: http.StatusServiceUnavailable, RetryAfter: max(retryAfterDelay, s.limit.RetryAfter),
			Reason: "all servers have reached the rate limits that they named"}
	case s.sent == 0 && s.Software != nil:
		return &Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterDelay,
			Reason: fmt.Sprintf("no server of software version %q, which began the stream, could take it", *s.Software)}
	case s.sent == 0:
		return &Response{Status: http.StatusServiceUnavailable, RetryAfter: f.fullRetryAfter(s), Reason: "no server could take it"}
	case ctx.Err() != nil:
		return &Response{Status: http.StatusBadGateway, Reason: "canceled: " + context.Cause(ctx).Error()}
	case time.Until(s.Deadline) <= 2*responseMargin:
		return &Response{Status: http.StatusGatewayTimeout, Reason: "out of time"}
	}
	return &Response{Status: http.StatusBadGateway, Reason: "no whole answer came"}
}

// quarantinedResponse returns the response to a request that is refused because servers ended
// under it. It names the fingerprint, since not every refusal has a log line.
func quarantinedResponse(s *requestState) *Response {
	return &Response{Status: http.StatusTooManyRequests, RetryAfter: s.admission.RetryAfter,
		Reason: fmt.Sprintf("quarantined: %d backend servers ended while they ran this request, fingerprint %s", s.admission.Ended, s.fingerprint())}
}

// promisesNotRun reports whether callers take a status for the promise that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// withoutFalsePromise returns the response of a server that has been sent the request, or 502 in its place if the
// request must not be repeated and callers would repeat it: a server states that it has not run a request
// only by the header for that, which handle has looked for.
func (f *Forwarder) withoutFalsePromise(s *requestState, res *fasthttp.Response) *Response {
	status := res.StatusCode()
	if s.Idempotent() || !promisesNotRun(status) {
		return &Response{Response: res}
	}
	f.cfg.Scope.Counter("promises_withheld").Inc(1)
	f.cfg.Log.WithFields(logrus.Fields{"request": s.ID, "instance": s.lastServer, "status": status}).Info("response withheld, the server may have run the request")
	return &Response{Status: http.StatusBadGateway, Reason: fmt.Sprintf("server responded with status %d and may have run the request", status)}
}
