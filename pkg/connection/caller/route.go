package caller

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/pkg/connection/response"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/pkg/version/record"
	"github.com/plantainbank/plantainbank/pkg/version/view"
)

// requestIDHeader is the header with the ID of a request to a backend server, which
// may echo it in the response.
const requestIDHeader = "X-Request-Id"

// hopHeaders are the headers that the entry host does not forward: the hop-by-hop
// headers (RFC 9110, section 7.6.1) and those that contain credentials of a caller.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Expect"}

// serveRoute serves a request to a plain service behind a route record.
func (h *Handler) serveRoute(ctx *fasthttp.RequestCtx, path string) {
	v, ok := h.cfg.View()
	if !ok {
		response.WriteError(ctx, response.NoConfig())
		return
	}
	spec, ok := v.Route(path)
	if !ok {
		response.WriteError(ctx, &response.Error{Status: http.StatusNotFound, Code: response.CodeNoRoute,
			Message: "no route leads to this path", Ran: attempt.RanNo})
		return
	}
	if !spec.Public {
		h.authenticated(ctx, func(ctx *fasthttp.RequestCtx, r *request) { h.forwardToService(ctx, r, spec) })
		return
	}
	if err := checkMisplacedKey(ctx); err != nil {
		response.WriteError(ctx, err)
		return
	}
	h.forwardToService(ctx, h.newRequest(ctx, v, view.Principal{}), spec)
}

// forwardToService forwards a request to a plain service.
func (h *Handler) forwardToService(ctx *fasthttp.RequestCtx, r *request, spec record.Route) {
	defer r.end()
	timeout := defaultTimeout
	if spec.Timeout > 0 {
		timeout = time.Duration(spec.Timeout) * time.Millisecond
	}
	c, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	j := h.job(r, spec.Pool)
	j.Deadline = earlier(j.Deadline, time.Now().Add(timeout))
	j.Idempotent = slices.Contains(spec.Idempotent, string(ctx.Method()))
	j.Requirement.Steady = !j.Idempotent
	req := backendRequest(ctx)
	res, _, err := h.cfg.Dispatcher.Call(c, j, req)
	if err != nil {
		h.cfg.Scope.Counter("service_errors").Inc(1)
		response.WriteError(ctx, err)
		return
	}
	if mismatched(req, res) {
		response.WriteError(ctx, &attempt.Error{Phase: "answer", Ran: attempt.RanYes,
			Err: &attempt.RequestMismatchError{Want: string(req.Header.Peek(requestIDHeader)), Got: string(res.Header.Peek(requestIDHeader))}})
		return
	}
	h.cfg.Dispatcher.CountServed(r.principal.Workspace)
	copyResponse(ctx, res)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// backendRequest copies a caller's request without hop-by-hop headers and headers that
// contain a key.
func backendRequest(ctx *fasthttp.RequestCtx) *fasthttp.Request {
	req := &fasthttp.Request{}
	ctx.Request.CopyTo(req)
	for _, name := range connectionTokens(&ctx.Request.Header) {
		req.Header.Del(name)
	}
	for _, name := range hopHeaders {
		req.Header.Del(name)
	}
	var secret []string
	for k, v := range req.Header.All() {
		if strings.Contains(string(k), view.KeyPrefix) || strings.Contains(string(v), view.KeyPrefix) {
			secret = append(secret, string(k))
		}
	}
	for _, name := range secret {
		req.Header.Del(name)
	}
	req.Header.Del("Traceparent")
	req.Header.Set(requestIDHeader, newRequestID())
	req.SetBody(ctx.PostBody()) // always sent with a Content-Length
	return req
}

// connectionTokens returns the header names in a caller's Connection headers.
func connectionTokens(h *fasthttp.RequestHeader) []string {
	var out []string
	for _, line := range h.PeekAll("Connection") {
		for token := range strings.SplitSeq(string(line), ",") {
			out = append(out, strings.TrimSpace(token))
		}
	}
	return out
}

// mismatched reports whether a backend server has echoed the ID of another request.
func mismatched(req *fasthttp.Request, res *fasthttp.Response) bool {
	echo := res.Header.Peek(requestIDHeader)
	return len(echo) > 0 && string(echo) != string(req.Header.Peek(requestIDHeader))
}

// copyResponse copies the response of a service to the caller.
func copyResponse(ctx *fasthttp.RequestCtx, res *fasthttp.Response) {
	head := res.SkipBody
	length := res.Header.ContentLength()
	for _, name := range hopHeaders {
		res.Header.Del(name)
	}
	res.Header.CopyTo(&ctx.Response.Header)
	if head {
		ctx.Response.SkipBody = true
		ctx.Response.Header.SetContentLength(max(0, length))
		return
	}
	ctx.Response.SetBody(res.Body())
}
