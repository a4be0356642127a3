package control

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// Limits of the calls for steps.
const (
	maxDelivered = 256
)

// Open opens a step. Opening the same step again changes nothing.
func (s *Server) Open(ctx context.Context, q *pb.OpenRequest) (*pb.Step, error) {
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, ledger.Command{OpenStep: &ledger.OpenStep{Rollout: q.Rollout, Workspace: q.Workspace,
		Number: q.Number, Prompts: q.Prompts, SamplesPerPrompt: int(q.Samples), MaxTokens: int(q.Maxtokens)}})
	if err != nil {
		return nil, err
	}
	return s.stepAnswer(ctx, result, &pb.StepName{Rollout: q.Rollout, Number: q.Number, Workspace: q.Workspace})
}

func (s *Server) stepAnswer(ctx context.Context, result any, name *pb.StepName) (*pb.Step, error) {
	if r, ok := result.(ledger.StepResult); !ok || r.Refused != "" {
		return &pb.Step{Rollout: name.Rollout, Number: name.Number, Refused: r.Refused, Message: r.Message}, nil
	}
	return s.Show(ctx, name)
}

// Show returns the progress of a step.
func (s *Server) Show(ctx context.Context, q *pb.StepName) (*pb.Step, error) {
	var out *pb.Step
	err := s.onLeader(ctx, func() error {
		out = s.showStep(q)
		return nil
	})
	return out, err
}

// showStep returns the progress of a step. An empty workspace means that an operator asks,
// who may see the steps of all workspaces. It runs on the control goroutine.
func (s *Server) showStep(q *pb.StepName) *pb.Step {
	step := s.ledger.Steps[ledger.StepKey(q.Rollout, q.Number)]
	if step == nil || (q.Workspace != "" && step.Workspace != q.Workspace) {
		return &pb.Step{Rollout: q.Rollout, Number: q.Number, Refused: ledger.RefusedMissing, Message: "no such step stands"}
	}
	return &pb.Step{Rollout: step.Rollout, Number: step.Number, Slots: uint32(len(step.Slots)),
		Filled: uint32(step.Filled()), Assigned: uint32(len(step.DeliveryOrder)), Acknowledged: step.Acked,
		Version: s.ledger.Versions[step.Rollout], Toold: uint32(step.TooOld)}
}

// Commit stores samples and releases the slots of failed claims.
func (s *Server) Commit(ctx context.Context, q *pb.CommitRequest) (*pb.CommitAnswer, error) {
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	err := s.onLeader(ctx, func() error {
		s.finishClaims(q, time.Now())
		return nil
	})
	if err != nil {
		return nil, err
	}
	if err := checkScores(q); err != nil {
		return nil, err
	}
	if len(q.Samples) == 0 {
		return &pb.CommitAnswer{}, nil
	}
	result, err := s.propose(ctx, ledger.Command{CommitSamples: commitFromProto(q)})
	if err != nil {
		return nil, err
	}
	if err := s.onLeader(ctx, func() error { s.dropClaims(q.Samples); return nil }); err != nil {
		return nil, err
	}
	stored, _ := result.(int)
	s.scope.Counter("samples").Inc(int64(stored))
	return &pb.CommitAnswer{Stored: uint32(stored)}, nil
}

// checkScores rejects scores that the log cannot hold: its commands are JSON, which has no
// infinite numbers and no NaN.
func checkScores(q *pb.CommitRequest) error {
	for i, x := range q.Samples {
		if math.IsNaN(x.Score) || math.IsInf(x.Score, 0) {
			return twirp.InvalidArgumentError(fmt.Sprintf("samples[%d].score", i), "must be a finite number")
		}
	}
	return nil
}

func commitFromProto(q *pb.CommitRequest) *ledger.CommitSamples {
	c := &ledger.CommitSamples{}
	for _, x := range q.Samples {
		p := ledger.SlotSample{
			Ref:    ledger.SlotRef{Rollout: x.Rollout, Number: x.Number, Slot: int(x.Slot), Attempt: x.Attempt},
			Sample: ledger.Sample{Text: x.Text, Backend: x.Backend, Host: x.Host, Score: x.Score}}
		for _, sp := range x.Spans {
			p.Sample.Spans = append(p.Sample.Spans, ledger.Span{Version: sp.Version, From: sp.From, To: sp.To})
		}
		c.Samples = append(c.Samples, p)
	}
	return c
}

// Deliver assigns positions to the samples that are ready and returns the samples from a
// position on. If there is none yet, it waits for the first one.
func (s *Server) Deliver(ctx context.Context, q *pb.DeliverRequest) (*pb.Delivery, error) {
	wait := time.Duration(q.Waitms) * time.Millisecond
	for deadline := time.Now().Add(wait); ; {
		if err := s.assign(ctx, q); err != nil {
			return nil, err
		}
		var out *pb.Delivery
		err := s.await(ctx, max(0, time.Until(deadline)), func() (bool, error) {
			out = s.delivery(q)
			return len(out.Samples) > 0 || out.Step.Refused != "" || out.Step.Acknowledged == out.Step.Slots || s.assignable(q), nil
		})
		if err != nil || len(out.Samples) > 0 || !time.Now().Before(deadline) || out.Step.Refused != "" {
			return out, err
		}
		if out.Step.Acknowledged == out.Step.Slots {
			return out, nil
		}
	}
}

func (s *Server) assignable(q *pb.DeliverRequest) bool {
	step := s.ledger.Steps[ledger.StepKey(q.Rollout, q.Number)]
	return step != nil && step.Workspace == q.Workspace && step.Assignable()
}

func (s *Server) assign(ctx context.Context, q *pb.DeliverRequest) error {
	ready := false
	err := s.onLeader(ctx, func() error {
		ready = s.assignable(q)
		return nil
	})
	if err != nil || !ready {
		return err
	}
	_, err = s.propose(ctx, ledger.Command{AssignPositions: &ledger.AssignPositions{Rollout: q.Rollout, Number: q.Number}})
	return err
}

func (s *Server) delivery(q *pb.DeliverRequest) *pb.Delivery {
	out := &pb.Delivery{Step: s.showStep(&pb.StepName{Rollout: q.Rollout, Number: q.Number, Workspace: q.Workspace})}
	if out.Step.Refused != "" {
		return out
	}
	step := s.ledger.Steps[ledger.StepKey(q.Rollout, q.Number)]
	limit := min(max(1, int(q.Most)), maxDelivered)
	if q.From <= step.Acked && step.Acked < uint32(len(step.Slots)) && q.From != 0 {
		out.Step.Refused, out.Step.Message = ledger.RefusedConflict, "field \"from\" is already acknowledged"
		return out
	}
	for p := max(q.From, step.Acked+1); int(p) <= len(step.DeliveryOrder) && len(out.Samples) < limit; p++ {
		out.Samples = append(out.Samples, sampleToProto(step, step.DeliveryOrder[p-1]))
	}
	return out
}

func sampleToProto(step *ledger.Step, i int) *pb.Sample {
	slot := step.Slots[i]
	out := &pb.Sample{Rollout: step.Rollout, Number: step.Number, Group: uint32(i / step.SamplesPerPrompt),
		Slot: uint32(i), Attempt: slot.Attempt, Text: slot.Sample.Text, Backend: slot.Sample.Backend,
		Host: slot.Sample.Host, Score: slot.Sample.Score, Position: slot.Position, Age: slot.VersionLag}
	for _, sp := range slot.Sample.Spans {
		out.Spans = append(out.Spans, &pb.Span{Version: sp.Version, From: sp.From, To: sp.To})
	}
	return out
}

// Acknowledge advances the acknowledged position of a step.
func (s *Server) Acknowledge(ctx context.Context, q *pb.AckRequest) (*pb.Step, error) {
	name := &pb.StepName{Rollout: q.Rollout, Number: q.Number, Workspace: q.Workspace}
	step, err := s.Show(ctx, name)
	if err != nil || step.Refused != "" {
		return step, err
	}
	result, err := s.propose(ctx, ledger.Command{Ack: &ledger.Ack{Rollout: q.Rollout, Number: q.Number, Position: q.Position}})
	if err != nil {
		return nil, err
	}
	return s.stepAnswer(ctx, result, name)
}

// Publish sets the newest weight version of a rollout. The version never decreases.
func (s *Server) Publish(ctx context.Context, q *pb.Weights) (*pb.Weights, error) {
	owned := false
	err := s.onLeader(ctx, func() error {
		_, owned = s.ledger.Rollout(q.Rollout, q.Workspace)
		return nil
	})
	if err != nil {
		return nil, err
	}
	if !owned {
		return &pb.Weights{Refused: ledger.RefusedMissing, Message: "field \"rollout\" names no rollout configuration of this workspace"}, nil
	}
	result, err := s.propose(ctx, ledger.Command{PublishVersion: &ledger.PublishVersion{Rollout: q.Rollout, Version: q.Version}})
	if err != nil {
		return nil, err
	}
	version, ok := result.(uint64)
	if !ok {
		return nil, twirp.InternalError("the version could not be applied")
	}
	return &pb.Weights{Rollout: q.Rollout, Version: version, Workspace: q.Workspace}, nil
}
