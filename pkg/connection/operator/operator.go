// Package operator implements the HTTP API of operators: records, status, steps and
// replicas. All paths except /metrics, /healthz and /readyz require the operators'
// token.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/plantainbank/plantainbank/pkg/connection/caller"
	"github.com/plantainbank/plantainbank/pkg/connection/response"
	"github.com/plantainbank/plantainbank/pkg/process/leader"
	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/pkg/version/record"
	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
	"github.com/plantainbank/plantainbank/pkg/version/view"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// Timeouts of requests to the control leader.
const (
	attemptTimeout = 2 * time.Second
	callTimeout    = 10 * time.Second
	maxWait        = time.Minute
)

// Config holds the settings, dependencies and callbacks of a Handler.
type Config struct {
	// Token is the SHA-256 of the operators' token in hex.
	Token  string
	Leader *leader.Client
	// Metrics serves /metrics, which requires no token.
	Metrics http.Handler
	Ready   func() bool
}

// Handler serves the operators' listener.
type Handler struct {
	cfg     Config
	metrics fasthttp.RequestHandler
}

// New returns a handler.
func New(cfg Config) *Handler {
	return &Handler{cfg: cfg, metrics: fasthttpadaptor.NewFastHTTPHandler(cfg.Metrics)}
}

// Change is the body of POST /operator/records.
type Change struct {
	// Request identifies the change. A repeated request with the same value gets the
	// result of the first one.
	Request string `json:"request"`
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Schema  int    `json:"schema"`
	// Replaces is the revision of the record to replace, or zero for a new record.
	Replaces uint64          `json:"replaces"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Withdraw bool            `json:"withdraw,omitempty"`
}

// Accepted is the response to an accepted change.
type Accepted struct {
	Revision uint64 `json:"revision"`
}

// Refused is the response to a refused change.
type Refused struct {
	Error   *response.Error `json:"error"`
	Current *record.Record  `json:"standing,omitempty"`
}

// Records is the response to GET /operator/records.
type Records struct {
	Revision uint64          `json:"revision"`
	Records  []record.Record `json:"records"`
}

// InForce is the response to GET /operator/inforce.
type InForce struct {
	InForce bool     `json:"inforce"`
	Waiting []string `json:"waiting,omitempty"`
}

// Serve handles one request.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/metrics":
		h.metrics(ctx)
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		if !h.cfg.Ready() {
			ctx.SetStatusCode(http.StatusServiceUnavailable)
		}
	case !Authorized(ctx, h.cfg.Token):
		response.WriteError(ctx, &response.Error{Status: http.StatusUnauthorized, Code: response.CodeForbidden,
			Message: "the operators' token is required", Ran: attempt.RanNo})
	default:
		h.serve(ctx, path)
	}
}

// Authorized reports whether the bearer token of a request has the given SHA-256 in
// hex. The comparison takes constant time.
func Authorized(ctx *fasthttp.RequestCtx, hash string) bool {
	text, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	return ok && subtle.ConstantTimeCompare([]byte(view.HashKey(text)), []byte(hash)) == 1
}

func (h *Handler) serve(ctx *fasthttp.RequestCtx, path string) {
	var v any
	var err error
	switch {
	case path == "/operator/records" && ctx.IsPost():
		h.submit(ctx)
		return
	case path == "/operator/records" && ctx.IsGet():
		v, err = h.list(ctx)
	case path == "/operator/inforce" && ctx.IsGet():
		v, err = h.inForce(ctx)
	case path == "/operator/status" && ctx.IsGet():
		v, err = h.status()
	case path == "/operator/replicas" && ctx.IsPost():
		v, err = h.replicas(ctx)
	case strings.HasPrefix(path, "/operator/steps/") && ctx.IsGet():
		v, err = h.step(path)
	default:
		err = &response.Error{Status: http.StatusNotFound, Code: response.CodeNoRoute, Message: "no such path", Ran: attempt.RanNo}
	}
	if err != nil {
		response.WriteError(ctx, err)
		return
	}
	response.Write(ctx, http.StatusOK, v)
}

func (h *Handler) call(wait time.Duration, f func(ctx context.Context, c pb.Control) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait+callTimeout)
	defer cancel()
	return h.cfg.Leader.Call(ctx, wait+attemptTimeout, f)
}

// submit responds with 200 if the change is accepted, with 409, 404 or 400 if it is
// refused, and with 503 and "outcome_unknown" if the outcome is unknown. In the last
// case a repeated request with the same number returns the outcome.
func (h *Handler) submit(ctx *fasthttp.RequestCtx) {
	var c Change
	if err := strictjson.Decode(ctx.PostBody(), &c); err != nil {
		response.WriteError(ctx, err)
		return
	}
	if c.Request == "" {
		response.WriteError(ctx, response.Invalid("request", "is missing: choose a number for this change"))
		return
	}
	var a *pb.ChangeAnswer
	err := h.call(0, func(ctx context.Context, s pb.Control) (err error) {
		a, err = s.Submit(ctx, &pb.Change{Request: c.Request, Kind: c.Kind, Name: c.Name, Schema: uint32(c.Schema),
			Replaces: c.Replaces, Spec: c.Spec, Withdraw: c.Withdraw})
		return err
	})
	switch {
	case err != nil:
		response.WriteError(ctx, err)
	case a.Refused == "":
		response.Write(ctx, http.StatusOK, Accepted{a.Revision})
	default:
		e := refusedFromProto(a)
		response.Write(ctx, e.Error.Status, e)
	}
}

func refusedFromProto(a *pb.ChangeAnswer) Refused {
	e := &response.Error{Status: http.StatusConflict, Code: response.CodeConflict, Message: a.Message, Ran: attempt.RanNo}
	switch a.Refused {
	case ledger.RefusedInvalid:
		e.Status, e.Code = http.StatusBadRequest, response.CodeInvalid
	case ledger.RefusedMissing:
		e.Status, e.Code = http.StatusNotFound, "no_such_record"
	case ledger.RefusedReuse:
		e.Code = "request_reused"
	}
	out := Refused{Error: e}
	if a.Standing != nil {
		r := recordFromProto(a.Standing)
		out.Current = &r
	}
	return out
}

func recordFromProto(r *pb.Record) record.Record {
	return record.Record{Kind: r.Kind, Name: r.Name, Schema: int(r.Schema), Revision: r.Revision, Spec: r.Spec, Withdrawn: r.Withdrawn}
}

func (h *Handler) list(ctx *fasthttp.RequestCtx) (any, error) {
	args := ctx.QueryArgs()
	kind := string(args.Peek("kind"))
	if kind != "" {
		if err := strictjson.OneOf("kind", kind, record.Kinds()...); err != nil {
			return nil, err
		}
	}
	q := &pb.ListRequest{Kind: kind, Name: string(args.Peek("name")), Schema: uint32(args.GetUintOrZero("schema"))}
	var a *pb.Records
	err := h.call(0, func(ctx context.Context, c pb.Control) (err error) {
		a, err = c.List(ctx, q)
		return err
	})
	if err != nil {
		return nil, err
	}
	out := Records{Revision: a.Revision, Records: []record.Record{}}
	for _, r := range a.Records {
		out.Records = append(out.Records, recordFromProto(r))
	}
	return out, nil
}

func (h *Handler) inForce(ctx *fasthttp.RequestCtx) (any, error) {
	args := ctx.QueryArgs()
	wait := min(maxWait, time.Duration(args.GetUintOrZero("wait"))*time.Millisecond)
	q := &pb.InForceRequest{Revision: uint64(args.GetUintOrZero("revision")), Waitms: uint32(wait / time.Millisecond)}
	var a *pb.InForceAnswer
	err := h.call(wait, func(ctx context.Context, c pb.Control) (err error) {
		a, err = c.InForce(ctx, q)
		return err
	})
	if err != nil {
		return nil, err
	}
	return InForce{a.Inforce, a.Waiting}, nil
}

func (h *Handler) status() (any, error) {
	var a *pb.StatusAnswer
	err := h.call(0, func(ctx context.Context, c pb.Control) (err error) {
		a, err = c.Status(ctx, &pb.StatusRequest{})
		return err
	})
	return a, err
}

// replicaChange is the body of POST /operator/replicas.
type replicaChange struct {
	// Action is "add" or "remove".
	Action string `json:"action"`
	// ID is the storage number of the replica in hex.
	ID   string `json:"id"`
	Addr string `json:"addr,omitempty"`
}

func (h *Handler) replicas(ctx *fasthttp.RequestCtx) (any, error) {
	var b replicaChange
	if err := strictjson.Decode(ctx.PostBody(), &b); err != nil {
		return nil, err
	}
	if err := strictjson.OneOf("action", b.Action, "add", "remove"); err != nil {
		return nil, err
	}
	id, err := strconv.ParseUint(b.ID, 16, 64)
	if err != nil {
		return nil, response.Invalid("id", "must be a storage number in hex")
	}
	var a *pb.StatusAnswer
	err = h.call(0, func(ctx context.Context, c pb.Control) (err error) {
		a, err = c.ChangeMember(ctx, &pb.MemberChange{Action: b.Action, Id: id, Addr: b.Addr})
		return err
	})
	return a, err
}

func (h *Handler) step(path string) (any, error) {
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if len(parts) != 4 {
		return nil, response.Invalid("path", "must be /operator/steps/{rollout}/{number}")
	}
	number, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return nil, response.Invalid("number", "must be a whole number")
	}
	var s *pb.Step
	err = h.call(0, func(ctx context.Context, c pb.Control) (err error) {
		s, err = c.Show(ctx, &pb.StepName{Rollout: parts[2], Number: number})
		return err
	})
	if err != nil {
		return nil, err
	}
	if s.Refused != "" {
		return nil, &response.Error{Status: http.StatusNotFound, Code: response.CodeNoStep, Message: s.Message, Ran: attempt.RanNo}
	}
	return caller.StepFromProto(s), nil
}
