package caller

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/pkg/connection/response"
	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// Timeouts of requests to the control leader.
const (
	attemptTimeout = 2 * time.Second
	callTimeout    = 15 * time.Second
	maxWait        = 30 * time.Second
)

// openBody is the body of POST /v1/steps.
type openBody struct {
	Rollout   string   `json:"rollout"`
	Number    uint64   `json:"number"`
	Prompts   []string `json:"prompts"`
	Samples   int      `json:"samples"`
	MaxTokens int      `json:"tokens"`
}

// ackBody is the body of POST /v1/steps/{rollout}/{number}/ack.
type ackBody struct {
	Position uint32 `json:"position"`
}

// weightsBody is the body of POST /v1/weights.
type weightsBody struct {
	Rollout string `json:"rollout"`
	Version uint64 `json:"version"`
}

// Step is the progress of a step as reported to trainers.
type Step struct {
	Rollout      string `json:"rollout"`
	Number       uint64 `json:"number"`
	Slots        uint32 `json:"slots"`
	Filled       uint32 `json:"filled"`
	Assigned     uint32 `json:"assigned"`
	Acknowledged uint32 `json:"acknowledged"`
	Version      uint64 `json:"version"`
	TooOld       uint32 `json:"tooold"`
}

// Span is the range of a sample that one weight version has generated.
type Span struct {
	Version uint64 `json:"version"`
	From    uint32 `json:"from"`
	To      uint32 `json:"to"`
}

// Sample is a delivered sample of a step.
type Sample struct {
	Position uint32  `json:"position"`
	Group    uint32  `json:"group"`
	Slot     uint32  `json:"slot"`
	Text     string  `json:"text"`
	Versions []Span  `json:"versions"`
	Age      uint64  `json:"age"`
	Score    float64 `json:"score"`
	Backend  string  `json:"backend"`
	Host     string  `json:"host"`
}

// Delivery is the response to GET /v1/steps/{rollout}/{number}/samples.
type Delivery struct {
	Step    Step     `json:"step"`
	Samples []Sample `json:"samples"`
}

// trainer serves the API of trainers.
func (h *Handler) trainer(ctx *fasthttp.RequestCtx, r *request) {
	defer r.end()
	v, err := h.trainerResponse(ctx, r)
	if err != nil {
		response.WriteError(ctx, err)
		return
	}
	response.Write(ctx, http.StatusOK, v)
}

func (h *Handler) trainerResponse(ctx *fasthttp.RequestCtx, r *request) (any, error) {
	parts := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	method := string(ctx.Method())
	switch {
	case method == http.MethodPost && len(parts) == 2 && parts[1] == "weights":
		return h.publish(ctx, r)
	case method == http.MethodPost && len(parts) == 2:
		return h.open(ctx, r)
	case len(parts) < 4:
		return nil, noSuchPath()
	}
	number, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return nil, response.Invalid("number", "must be a whole number")
	}
	name := &pb.StepName{Rollout: parts[2], Number: number, Workspace: r.principal.Workspace}
	switch {
	case method == http.MethodGet && len(parts) == 4:
		return h.show(r, name)
	case method == http.MethodGet && len(parts) == 5 && parts[4] == "samples":
		return h.deliver(ctx, r, name)
	case method == http.MethodPost && len(parts) == 5 && parts[4] == "ack":
		return h.acknowledge(ctx, r, name)
	}
	return nil, noSuchPath()
}

func noSuchPath() error {
	return &response.Error{Status: http.StatusNotFound, Code: response.CodeNoRoute,
		Message: "no such path; docs/API.md lists the paths of steps", Ran: attempt.RanNo}
}

// refusalError converts a refusal of the leader into an error, and returns nil if
// there is none.
func refusalError(refused, message string) error {
	switch refused {
	case "":
		return nil
	case ledger.RefusedConflict:
		return &response.Error{Status: http.StatusConflict, Code: response.CodeConflict, Message: message, Ran: attempt.RanNo}
	case ledger.RefusedMissing:
		return &response.Error{Status: http.StatusNotFound, Code: response.CodeNoStep, Message: message, Ran: attempt.RanNo}
	}
	return &response.Error{Status: http.StatusBadRequest, Code: response.CodeInvalid, Message: message, Ran: attempt.RanNo}
}

// call calls the leader, and retries until it responds or the timeout ends. wait is
// the time that the leader may hold the call open.
func (h *Handler) call(r *request, wait time.Duration, f func(ctx context.Context, c pb.Control) error) error {
	ctx, cancel := context.WithTimeout(r.ctx, wait+callTimeout)
	defer cancel()
	return h.cfg.Leader.Call(ctx, wait+attemptTimeout, f)
}

func (h *Handler) open(ctx *fasthttp.RequestCtx, r *request) (any, error) {
	var b openBody
	if err := strictjson.Decode(ctx.PostBody(), &b); err != nil {
		return nil, err
	}
	if b.Samples < 0 || b.MaxTokens < 0 {
		return nil, response.Invalid("samples", "and \"tokens\" must not be negative")
	}
	var s *pb.Step
	err := h.call(r, 0, func(ctx context.Context, c pb.Control) (err error) {
		s, err = c.Open(ctx, &pb.OpenRequest{Rollout: b.Rollout, Workspace: r.principal.Workspace, Number: b.Number,
			Prompts: b.Prompts, Samples: uint32(b.Samples), Maxtokens: uint32(b.MaxTokens)})
		return err
	})
	return stepResponse(s, err)
}

func stepResponse(s *pb.Step, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	if err := refusalError(s.Refused, s.Message); err != nil {
		return nil, err
	}
	return StepFromProto(s), nil
}

// StepFromProto returns a step as reported to trainers and operators.
func StepFromProto(s *pb.Step) Step {
	return Step{s.Rollout, s.Number, s.Slots, s.Filled, s.Assigned, s.Acknowledged, s.Version, s.Toold}
}

func (h *Handler) show(r *request, name *pb.StepName) (any, error) {
	var s *pb.Step
	err := h.call(r, 0, func(ctx context.Context, c pb.Control) (err error) {
		s, err = c.Show(ctx, name)
		return err
	})
	return stepResponse(s, err)
}

func (h *Handler) deliver(ctx *fasthttp.RequestCtx, r *request, name *pb.StepName) (any, error) {
	args := ctx.QueryArgs()
	wait := time.Duration(args.GetUintOrZero("wait")) * time.Millisecond
	if wait > maxWait {
		return nil, response.Invalid("wait", fmt.Sprintf("must be at most %d milliseconds", maxWait/time.Millisecond))
	}
	q := &pb.DeliverRequest{Rollout: name.Rollout, Number: name.Number, Workspace: name.Workspace,
		From: uint32(args.GetUintOrZero("from")), Most: uint32(args.GetUintOrZero("most")), Waitms: uint32(wait / time.Millisecond)}
	if q.Most == 0 {
		q.Most = 64
	}
	var d *pb.Delivery
	err := h.call(r, wait, func(ctx context.Context, c pb.Control) (err error) {
		d, err = c.Deliver(ctx, q)
		return err
	})
	if err == nil {
		err = refusalError(d.Step.Refused, d.Step.Message)
	}
	if err != nil {
		return nil, err
	}
	out := Delivery{Step: StepFromProto(d.Step), Samples: []Sample{}}
	for _, x := range d.Samples {
		out.Samples = append(out.Samples, sampleFromProto(x))
	}
	return out, nil
}

func sampleFromProto(x *pb.Sample) Sample {
	s := Sample{Position: x.Position, Group: x.Group, Slot: x.Slot, Text: x.Text, Age: x.Age, Score: x.Score,
		Backend: x.Backend, Host: x.Host}
	for _, sp := range x.Spans {
		s.Versions = append(s.Versions, Span{sp.Version, sp.From, sp.To})
	}
	return s
}

func (h *Handler) acknowledge(ctx *fasthttp.RequestCtx, r *request, name *pb.StepName) (any, error) {
	var b ackBody
	if err := strictjson.Decode(ctx.PostBody(), &b); err != nil {
		return nil, err
	}
	var s *pb.Step
	err := h.call(r, 0, func(ctx context.Context, c pb.Control) (err error) {
		s, err = c.Acknowledge(ctx, &pb.AckRequest{Rollout: name.Rollout, Number: name.Number,
			Workspace: name.Workspace, Position: b.Position})
		return err
	})
	return stepResponse(s, err)
}

func (h *Handler) publish(ctx *fasthttp.RequestCtx, r *request) (any, error) {
	var b weightsBody
	if err := strictjson.Decode(ctx.PostBody(), &b); err != nil {
		return nil, err
	}
	if b.Version == 0 {
		return nil, response.Invalid("version", "must be 1 or more")
	}
	var w *pb.Weights
	err := h.call(r, 0, func(ctx context.Context, c pb.Control) (err error) {
		w, err = c.Publish(ctx, &pb.Weights{Rollout: b.Rollout, Version: b.Version, Workspace: r.principal.Workspace})
		return err
	})
	if err == nil {
		err = refusalError(w.Refused, w.Message)
	}
	if err != nil {
		return nil, err
	}
	return weightsBody{Rollout: w.Rollout, Version: w.Version}, nil
}
