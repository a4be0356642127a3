// Package caller implements the HTTP/1.1 API of callers and trainers: completions,
// plain services behind route records, and the steps of rollouts.
package caller

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/pkg/connection/backendserver"
	"github.com/plantainbank/plantainbank/pkg/connection/response"
	"github.com/plantainbank/plantainbank/pkg/connection/socket"
	"github.com/plantainbank/plantainbank/pkg/process/leader"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/process/trace"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/pkg/request/dispatch"
	"github.com/plantainbank/plantainbank/pkg/version/record"
	"github.com/plantainbank/plantainbank/pkg/version/view"
)

// Config holds the settings, dependencies and callbacks of a Handler.
type Config struct {
	Limits     settings.Limits
	Dispatcher *dispatch.Dispatcher
	Leader     *leader.Client
	// View returns the current configuration; ok is false without a valid lease.
	View   func() (v *view.View, ok bool)
	Scope  tally.Scope
	Tracer *trace.Tracer
	// Ready reports whether the load balancer may send requests to this host.
	Ready func() bool
	// PoolSize returns the number of backend servers of a pool.
	PoolSize func(pool string) int
}

// Handler serves the callers' listener. It is safe for concurrent use.
type Handler struct {
	cfg    Config
	active *activeRequests
}

// New returns a handler.
func New(cfg Config) *Handler { return &Handler{cfg: cfg, active: newActiveRequests()} }

// ConfigChanged cancels the active requests whose key is no longer valid. valid is
// false when the lease on the configuration has ended; then all requests that came
// with a key are canceled.
func (h *Handler) ConfigChanged(v *view.View, valid bool) {
	h.cfg.Scope.Counter("ended_by_withdrawal").Inc(int64(h.active.cancelUnless(func(x view.Principal) bool {
		return valid && v.StillValid(x)
	})))
}

// Serve handles one request.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx) {
	h.cfg.Scope.Counter("requests").Inc(1)
	if ambiguous(ctx) {
		ctx.SetConnectionClose()
		response.WriteError(ctx, response.Invalid("Content-Length", "can not stand beside Transfer-Encoding"))
		return
	}
	switch path := string(ctx.Path()); {
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		h.readyz(ctx)
	case path == "/v1/completions" || path == "/v1/chat/completions":
		h.authenticated(ctx, h.completions)
	case strings.HasPrefix(path, "/v1/steps") || path == "/v1/weights":
		h.authenticated(ctx, h.trainer)
	default:
		h.serveRoute(ctx, path)
	}
}

// ambiguous reports whether a request has both a Content-Length and a
// Transfer-Encoding header, which allows request smuggling (RFC 9112, section 6.1).
func ambiguous(ctx *fasthttp.RequestCtx) bool {
	raw := bytes.ToLower(ctx.Request.Header.RawHeaders())
	return hasHeader(raw, "content-length:") && hasHeader(raw, "transfer-encoding:")
}

func hasHeader(raw []byte, name string) bool {
	return bytes.HasPrefix(raw, []byte(name)) || bytes.Contains(raw, []byte("\n"+name))
}

func (h *Handler) readyz(ctx *fasthttp.RequestCtx) {
	if !h.cfg.Ready() {
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// request is an active request whose key, if the path requires one, has been checked.
type request struct {
	view      *view.View
	principal view.Principal
	// ctx ends when the caller disconnects, the key is withdrawn or the lease of
	// the host ends. In the last two cases its cause is a *response.Error.
	ctx context.Context
	// end releases the request. It must be called exactly once.
	end func()
}

// authenticated calls f if the request has a valid key, and otherwise responds with an
// error.
func (h *Handler) authenticated(ctx *fasthttp.RequestCtx, f func(*fasthttp.RequestCtx, *request)) {
	r, err := h.authenticate(ctx)
	if err == nil {
		err = checkMisplacedKey(ctx)
	}
	if err != nil {
		if r != nil {
			r.end()
		}
		h.cfg.Scope.Counter("refused_keys").Inc(1)
		response.WriteError(ctx, err)
		return
	}
	f(ctx, r)
}

func (h *Handler) authenticate(ctx *fasthttp.RequestCtx) (*request, error) {
	v, ok := h.cfg.View()
	if !ok {
		return nil, response.NoConfig()
	}
	text, err := bearer(ctx)
	if err != nil {
		return nil, err
	}
	principal, ok := v.Authenticate(text)
	if !ok {
		return nil, &response.Error{Status: http.StatusUnauthorized, Code: response.CodeKeyRefused,
			Message: "the key is unknown or withdrawn", Ran: attempt.RanNo}
	}
	r := h.newRequest(ctx, v, principal)
	// The key may have been withdrawn between its check and the registration of the
	// request.
	if now, ok := h.cfg.View(); !ok || !now.StillValid(principal) {
		r.end()
		return nil, response.NoConfig()
	}
	return r, nil
}

// newRequest registers an active request.
func (h *Handler) newRequest(ctx *fasthttp.RequestCtx, v *view.View, principal view.Principal) *request {
	traced := h.cfg.Tracer.Join(context.Background(), string(ctx.Request.Header.Peek("traceparent")))
	c, cancel := context.WithCancelCause(traced)
	c, endSpan := h.cfg.Tracer.Start(c, "request")
	remove := h.active.add(principal, cancel)
	unwatch := watchDisconnect(ctx, cancel)
	return &request{view: v, principal: principal, ctx: c, end: func() {
		unwatch()
		remove()
		endSpan(nil)
		cancel(nil)
	}}
}

// errDisconnected is the cause of a context whose caller has closed its connection.
var errDisconnected = errors.New("caller closed the connection")

// watchInterval is the interval at which a caller's connection is checked.
const watchInterval = 200 * time.Millisecond

// watchDisconnect calls cancel when the caller closes its connection.
func watchDisconnect(ctx *fasthttp.RequestCtx, cancel context.CancelCauseFunc) (stop func()) {
	conn := ctx.Conn()
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(watchInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			if socket.Peek(conn) == socket.Closed {
				cancel(errDisconnected)
				return
			}
		}
	}()
	return func() { close(done) }
}

// bearer returns the key in the Authorization header, of which there must be exactly
// one.
func bearer(ctx *fasthttp.RequestCtx) (string, error) {
	all := ctx.Request.Header.PeekAll("Authorization")
	if len(all) != 1 {
		return "", &response.Error{Status: http.StatusUnauthorized, Code: response.CodeKeyMissing,
			Message: "exactly one header \"Authorization: Bearer <key>\" is required", Ran: attempt.RanNo}
	}
	scheme, text, _ := strings.Cut(string(all[0]), " ")
	if !strings.EqualFold(scheme, "Bearer") || text == "" {
		return "", &response.Error{Status: http.StatusUnauthorized, Code: response.CodeKeyMissing,
			Message: "header \"Authorization\" must have the form \"Bearer <key>\"", Ran: attempt.RanNo}
	}
	return strings.TrimSpace(text), nil
}

// checkMisplacedKey returns an error if the address or the body, which are forwarded
// to a backend server, contains the prefix of a key.
func checkMisplacedKey(ctx *fasthttp.RequestCtx) error {
	uri := string(ctx.RequestURI())
	plain, err := url.QueryUnescape(uri)
	if err != nil {
		plain = uri
	}
	if strings.Contains(uri, view.KeyPrefix) || strings.Contains(plain, view.KeyPrefix) {
		return keyMisplaced("the address")
	}
	if bytes.Contains(ctx.PostBody(), []byte(view.KeyPrefix)) {
		return keyMisplaced("the body")
	}
	return nil
}

func keyMisplaced(where string) error {
	return &response.Error{Status: http.StatusBadRequest, Code: response.CodeKeyMisplaced, Ran: attempt.RanNo,
		Message: "a key must stand in the header \"Authorization\" only, not in " + where}
}

// job returns the dispatch job of a request to a pool.
func (h *Handler) job(r *request, pool string) *dispatch.Job {
	deadline := r.view.Deadline(r.principal.Workspace)
	return &dispatch.Job{
		Workspace:   r.principal.Workspace,
		Weight:      r.view.Weight(r.principal.Workspace),
		Deadline:    time.Now().Add(deadline),
		Requirement: backendserver.Requirement{Pool: pool},
	}
}

// defaultTimeout bounds requests of routes without a timeout of their own.
const defaultTimeout = record.DefaultDeadlineMS * time.Millisecond
