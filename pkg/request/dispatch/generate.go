package dispatch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"

	"go.opentelemetry.io/otel/attribute"

	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

// Span is a range of tokens that one weight version produced.
type Span struct {
	Version uint64
	// From and To are token offsets; To is exclusive.
	From, To uint32
}

// GenerationResult is the result of a complete generation.
type GenerationResult struct {
	Text   string
	Tokens int
	Reason string
	// Spans is empty if any token came without a weight version.
	Spans []Span
	// Backend is the ID of the server of the last attempt.
	Backend string
}

// GenerationRequest describes a generation.
type GenerationRequest struct {
	Rollout   string
	Prompt    string
	MaxTokens int
	Seed      uint64
	Priority  int
	// RequireVersions fails the generation at a token without a weight version.
	RequireVersions bool
	// OnToken is called for each token in order, across resumed attempts.
	OnToken func(text string) error
}

// MissingVersionError reports a token that came without a weight version.
type MissingVersionError struct{ Backend string }

func (e *MissingVersionError) Error() string {
	return fmt.Sprintf("engine %q does not report its weight version", e.Backend)
}

// callerError wraps an error of GenerationRequest.OnToken.
type callerError struct{ err error }

func (e *callerError) Error() string { return "token callback: " + e.err.Error() }

func (e *callerError) Unwrap() error { return e.err }

// progress is the partial result of a generation across its attempts.
type progress struct {
	GenerationResult
	text strings.Builder
	// versionMissing is set once a token came without a weight version.
	versionMissing bool
}

// Generate runs a generation to its end. After a failed attempt, the next one
// resumes after the last complete token, on another engine if the pool has one.
func (d *Dispatcher) Generate(ctx context.Context, j *Job, g GenerationRequest) (*GenerationResult, error) {
	p := &progress{}
	for n := 1; ; n++ {
		err := d.generateOnce(ctx, j, g, p)
		if err == nil {
			d.cfg.Usage.Add(j.Workspace, p.Tokens)
			return p.result(), nil
		}
		var caller *callerError
		if errors.As(err, &caller) || !d.retry(ctx, j, n, err) {
			return nil, p.withProgress(withEarlierAttempts(j, err))
		}
		d.avoid(j, p.Backend)
	}
}

// withProgress makes an error report that the request ran if any token arrived.
func (p *progress) withProgress(err error) error {
	var e *attempt.Error
	if p.Tokens > 0 && errors.As(err, &e) {
		return &attempt.Error{Phase: e.Phase, Ran: attempt.RanYes, Err: e.Err}
	}
	return err
}

func (p *progress) result() *GenerationResult {
	p.Text = p.text.String()
	if p.versionMissing {
		p.Spans = nil
	}
	return &p.GenerationResult
}

func (d *Dispatcher) generateOnce(ctx context.Context, j *Job, g GenerationRequest, p *progress) error {
	slot, err := d.acquire(ctx, j)
	if err != nil {
		return err
	}
	ctx, end := d.cfg.Tracer.Start(ctx, "generate", attribute.String("backend_server", slot.ID))
	p.Backend = slot.ID
	req := attempt.GenerationRequest{Request: fmt.Sprintf("%s-%d", d.requestPrefix, d.requestNumber.Add(1)), Rollout: g.Rollout,
		Prompt: g.Prompt, Prefix: p.text.String(), Offset: p.Tokens, MaxTokens: g.MaxTokens, Seed: g.Seed, Priority: g.Priority}
	header := incarnationHeader(slot)
	maps.Copy(header, d.cfg.Tracer.Header(ctx))
	reason, err := d.cfg.Client.Generate(ctx, slot.Addr, req, header, func(e attempt.Event) error {
		return p.appendToken(e, g)
	})
	p.Reason = reason
	d.release(j, slot, outcomeOf(ctx, err))
	end(err)
	return err
}

// appendToken adds the token of an event and passes it to the caller.
func (p *progress) appendToken(e attempt.Event, g GenerationRequest) error {
	if e.Version == nil && g.RequireVersions {
		return &MissingVersionError{Backend: p.Backend}
	}
	if g.OnToken != nil {
		if err := g.OnToken(e.Text); err != nil {
			return &callerError{err}
		}
	}
	p.text.WriteString(e.Text)
	if e.Version == nil {
		p.versionMissing = true
	} else {
		p.addSpan(*e.Version)
	}
	p.Tokens++
	return nil
}

func (p *progress) addSpan(version uint64) {
	offset := uint32(p.Tokens)
	if n := len(p.Spans); n > 0 && p.Spans[n-1].Version == version && p.Spans[n-1].To == offset {
		p.Spans[n-1].To++
		return
	}
	p.Spans = append(p.Spans, Span{Version: version, From: offset, To: offset + 1})
}
