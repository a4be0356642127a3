// Package operator serves operators over HTTP: records, status, steps and
// replicas. Every call needs the operators' token.
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

	"github.com/plantainbank/plantainbank/pkg/connection/answer"
	"github.com/plantainbank/plantainbank/pkg/connection/caller"
	"github.com/plantainbank/plantainbank/pkg/process/leader"
	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/pkg/version/record"
	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
	"github.com/plantainbank/plantainbank/pkg/version/view"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// Periods of requests to the control leader.
const (
	tryTimeout  = 2 * time.Second
	callTimeout = 10 * time.Second
	waitMost    = time.Minute
)

// Config holds what a Handler needs.
type Config struct {
	// Token is the SHA-256 of the operators' token in hex.
	Token  string
	Leader *leader.Client
	// Page serves the metrics; it needs no token.
	Page  http.Handler
	Ready func() bool
}

// Handler serves the operators' listener.
type Handler struct {
	cfg  Config
	page fasthttp.RequestHandler
}

// New returns a handler.
func New(cfg Config) *Handler {
	return &Handler{cfg: cfg, page: fasthttpadaptor.NewFastHTTPHandler(cfg.Page)}
}

// Change is the body of POST /operator/records.
type Change struct {
	// Request is the number under which a resend gets the first answer.
	Request string `json:"request"`
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Schema  int    `json:"schema"`
	// Replaces is the revision of the record that is replaced, zero for none.
	Replaces uint64          `json:"replaces"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Withdraw bool            `json:"withdraw,omitempty"`
}

// Accepted is the answer to a change that holds.
type Accepted struct {
	Revision uint64 `json:"revision"`
}

// Refused is the answer to a change that does not hold.
type Refused struct {
	Error   *answer.Error  `json:"error"`
	Current *record.Record `json:"standing,omitempty"`
}

// Records is the answer to GET /operator/records.
type Records struct {
	Revision uint64          `json:"revision"`
	Records  []record.Record `json:"records"`
}

// InForce is the answer to GET /operator/inforce.
type InForce struct {
	InForce bool     `json:"inforce"`
	Waiting []string `json:"waiting,omitempty"`
}

// Serve answers one request.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/metrics":
		h.page(ctx)
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		if !h.cfg.Ready() {
			ctx.SetStatusCode(http.StatusServiceUnavailable)
		}
	case !Authorized(ctx, h.cfg.Token):
		answer.WriteError(ctx, &answer.Error{Status: http.StatusUnauthorized, Code: answer.CodeForbidden,
			Message: "the operators' token is required", Ran: attempt.RanNo})
	default:
		h.serve(ctx, path)
	}
}

// Authorized compares the bearer token of a request in constant time.
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
		err = &answer.Error{Status: http.StatusNotFound, Code: answer.CodeNoRoute, Message: "no such path", Ran: attempt.RanNo}
	}
	if err != nil {
		answer.WriteError(ctx, err)
		return
	}
	answer.Write(ctx, http.StatusOK, v)
}

func (h *Handler) call(wait time.Duration, f func(ctx context.Context, c pb.Control) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait+callTimeout)
	defer cancel()
	return h.cfg.Leader.Call(ctx, wait+tryTimeout, f)
}

// submit answers 200 if the change holds, 409 or 400 if it is refused, and 503
// with "outcome_unknown" if only a resend under the same number can tell.
func (h *Handler) submit(ctx *fasthttp.RequestCtx) {
	var c Change
	if err := strictjson.Decode(ctx.PostBody(), &c); err != nil {
		answer.WriteError(ctx, err)
		return
	}
	if c.Request == "" {
		answer.WriteError(ctx, answer.Invalid("request", "is missing: choose a number for this change"))
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
		answer.WriteError(ctx, err)
	case a.Refused == "":
		answer.Write(ctx, http.StatusOK, Accepted{a.Revision})
	default:
		e := refusal(a)
		answer.Write(ctx, e.Error.Status, e)
	}
}

func refusal(a *pb.ChangeAnswer) Refused {
	e := &answer.Error{Status: http.StatusConflict, Code: answer.CodeConflict, Message: a.Message, Ran: attempt.RanNo}
	switch a.Refused {
	case ledger.RefusedInvalid:
		e.Status, e.Code = http.StatusBadRequest, answer.CodeInvalid
	case ledger.RefusedMissing:
		e.Status, e.Code = http.StatusNotFound, "no_such_record"
	case ledger.RefusedReuse:
		e.Code = "request_reused"
	}
	out := Refused{Error: e}
	if a.Standing != nil {
		r := recordOf(a.Standing)
		out.Current = &r
	}
	return out
}

func recordOf(r *pb.Record) record.Record {
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
		out.Records = append(out.Records, recordOf(r))
	}
	return out, nil
}

func (h *Handler) inForce(ctx *fasthttp.RequestCtx) (any, error) {
	args := ctx.QueryArgs()
	wait := min(waitMost, time.Duration(args.GetUintOrZero("wait"))*time.Millisecond)
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
	// ID is the storage number in hex.
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
		return nil, answer.Invalid("id", "must be a storage number in hex")
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
		return nil, answer.Invalid("path", "must be /operator/steps/{rollout}/{number}")
	}
	number, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return nil, answer.Invalid("number", "must be a whole number")
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
		return nil, &answer.Error{Status: http.StatusNotFound, Code: answer.CodeNoStep, Message: s.Message, Ran: attempt.RanNo}
	}
	return caller.StepOf(s), nil
}
