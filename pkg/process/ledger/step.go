package ledger

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/plantainbank/plantainbank/pkg/version/record"
)

// Limits on a step.
const (
	mostSlots       = 65_536
	keptStepsPerJob = 64
)

// Open opens a step.
type OpenStep struct {
	Rollout string `json:"rollout"`
	// Workspace is the owner of the key that the request came with.
	Workspace string `json:"workspace"`
	// Number orders the steps of a rollout.
	Number  uint64   `json:"number"`
	Prompts []string `json:"prompts"`
	// Samples is the number of samples for each prompt.
	SamplesPerPrompt int `json:"samples"`
	// Tokens is the longest sample; zero means the rollout's limit.
	MaxTokens int `json:"tokens"`
}

// Span is a part of a sample that one weight version produced.
type Span struct {
	Version uint64 `json:"version"`
	// From and To are token offsets; To is exclusive.
	From uint32 `json:"from"`
	To   uint32 `json:"to"`
}

// Sample is what an engine produced for a slot.
type Sample struct {
	Text string `json:"text"`
	// Spans cover the whole sample and come from the engine's events.
	Spans   []Span  `json:"spans"`
	Backend string  `json:"backend"`
	Host    string  `json:"host"`
	Score   float64 `json:"score"`
}

// Oldest returns the oldest weight version that produced a part.
func (s Sample) OldestVersion() uint64 {
	oldest := s.Spans[0].Version
	for _, x := range s.Spans {
		oldest = min(oldest, x.Version)
	}
	return oldest
}

// Slot is one place of a step.
type Slot struct {
	// Attempt counts the samples that were too old, and names the claim that
	// may fill the slot.
	Attempt uint32 `json:"attempt"`
	// Sample is nil until one is committed, and again once acknowledged.
	Sample *Sample `json:"sample,omitempty"`
	// Position is the delivery position from 1 on, or zero. Once set, neither
	// Position nor the sample changes.
	Position uint32 `json:"position,omitempty"`
	// Age is the age of the sample when its position was assigned.
	VersionLag uint64 `json:"age,omitempty"`
}

// Step is a training step. Slot i belongs to group i / Samples.
type Step struct {
	OpenStep
	Digest [sha256.Size]byte `json:"digest"`
	Slots  []Slot            `json:"slots"`
	// Order[i] is the slot at position i+1.
	DeliveryOrder []int `json:"order"`
	// Full counts the slots that hold or held a sample.
	FilledSlots int `json:"full"`
	// Acked is the highest acknowledged position.
	Acked uint32 `json:"acked"`
	// TooOld counts the samples that were dropped for their age.
	TooOld int `json:"tooold"`
	// Age is the bound that held when the step was opened.
	MaxVersionLag uint64 `json:"age"`
	Pool          string `json:"pool"`
	Scorer        string `json:"scorer"`
}

// Filled returns the number of slots that hold or held a sample.
func (s *Step) Filled() int { return s.FilledSlots }

// Done reports whether every sample is acknowledged.
func (s *Step) Done() bool { return int(s.Acked) == len(s.Slots) }

// StepResult is the answer to a command about a step.
type StepResult struct {
	Refused string
	Message string
}

// StepKey returns the key of a step in Ledger.Steps.
func StepKey(rollout string, number uint64) string { return fmt.Sprintf("%s/%d", rollout, number) }

// Rollout returns a rollout configuration that belongs to the workspace.
func (l *Ledger) Rollout(name, workspace string) (record.Rollout, bool) {
	r, ok := l.Records[Key(record.KindRollout, name)]
	if !ok {
		return record.Rollout{}, false
	}
	spec, err := record.Decode[record.Rollout](r)
	return spec, err == nil && spec.Workspace == workspace
}

func (l *Ledger) open(o OpenStep) StepResult {
	spec, ok := l.Rollout(o.Rollout, o.Workspace)
	if !ok {
		return StepResult{RefusedMissing, "field \"rollout\" names no rollout configuration of this workspace"}
	}
	if message := checkOpen(&o, spec); message != "" {
		return StepResult{RefusedInvalid, message}
	}
	sum := digest(o)
	if old, ok := l.Steps[StepKey(o.Rollout, o.Number)]; ok {
		if old.Digest == sum {
			return StepResult{}
		}
		return StepResult{RefusedConflict, "the step was opened with other content"}
	}
	if l.oldestKept(o.Rollout) > o.Number {
		return StepResult{RefusedConflict, "field \"number\" is below the steps that are still kept"}
	}
	l.Steps[StepKey(o.Rollout, o.Number)] = &Step{OpenStep: o, Digest: sum, MaxVersionLag: spec.MaxVersionLag, Pool: spec.Pool,
		Scorer: spec.Scorer, Slots: make([]Slot, len(o.Prompts)*o.SamplesPerPrompt)}
	l.forgetSteps(o.Rollout)
	return StepResult{}
}

func checkOpen(o *OpenStep, spec record.Rollout) string {
	if o.MaxTokens == 0 {
		o.MaxTokens = spec.MaxTokens
	}
	switch n := len(o.Prompts) * o.SamplesPerPrompt; {
	case o.Number == 0:
		return "field \"number\" must be 1 or more"
	case o.SamplesPerPrompt <= 0 || n <= 0 || n > mostSlots:
		return fmt.Sprintf("fields \"prompts\" and \"samples\" must make 1 to %d samples", mostSlots)
	case o.MaxTokens < 0 || o.MaxTokens > spec.MaxTokens:
		return fmt.Sprintf("field \"tokens\" must be 1 to %d", spec.MaxTokens)
	}
	return ""
}

// numbers lists the step numbers of a rollout in order.
func (l *Ledger) numbers(rollout string) []uint64 {
	var out []uint64
	for _, s := range l.Steps {
		if s.Rollout == rollout {
			out = append(out, s.Number)
		}
	}
	slices.Sort(out)
	return out
}

func (l *Ledger) oldestKept(rollout string) uint64 {
	n := l.numbers(rollout)
	if len(n) < keptStepsPerJob {
		return 0
	}
	return n[0]
}

// forgetSteps drops the oldest finished steps of a rollout.
func (l *Ledger) forgetSteps(rollout string) {
	n := l.numbers(rollout)
	for len(n) > keptStepsPerJob && l.Steps[StepKey(rollout, n[0])].Done() {
		delete(l.Steps, StepKey(rollout, n[0]))
		n = n[1:]
	}
}

// Place names a slot and the attempt that may fill it.
type SlotRef struct {
	Rollout string `json:"rollout"`
	Number  uint64 `json:"number"`
	Slot    int    `json:"slot"`
	Attempt uint32 `json:"attempt"`
}

// Produced is a sample for a place.
type SlotSample struct {
	Ref    SlotRef `json:"place"`
	Sample Sample  `json:"sample"`
}

// Commit stores samples. The first sample of a slot stands.
type CommitSamples struct {
	Samples []SlotSample `json:"samples"`
}

func (l *Ledger) commit(c CommitSamples) int {
	stored := 0
	for _, p := range c.Samples {
		s := l.Steps[StepKey(p.Ref.Rollout, p.Ref.Number)]
		if s == nil || p.Ref.Slot < 0 || p.Ref.Slot >= len(s.Slots) || len(p.Sample.Spans) == 0 {
			continue
		}
		slot := &s.Slots[p.Ref.Slot]
		if slot.Sample != nil || slot.Position != 0 || slot.Attempt != p.Ref.Attempt {
			continue
		}
		sample := p.Sample
		slot.Sample = &sample
		s.FilledSlots++
		stored++
	}
	return stored
}

// Assign gives positions to the samples of a step that wait for one.
type AssignPositions struct {
	Rollout string `json:"rollout"`
	Number  uint64 `json:"number"`
}

// Assignable reports whether samples of the step wait for a position.
func (s *Step) Assignable() bool { return s.FilledSlots > len(s.DeliveryOrder) }

// assign checks each sample's age at the moment its position is given. A
// sample that is too old is dropped and its slot is open again.
func (l *Ledger) assign(a AssignPositions) int {
	s := l.Steps[StepKey(a.Rollout, a.Number)]
	if s == nil {
		return 0
	}
	newest := l.Versions[a.Rollout]
	n := 0
	for i := range s.Slots {
		slot := &s.Slots[i]
		if slot.Sample == nil || slot.Position != 0 {
			continue
		}
		if age := ageOf(newest, slot.Sample.OldestVersion()); age <= s.MaxVersionLag {
			s.DeliveryOrder = append(s.DeliveryOrder, i)
			slot.Position, slot.VersionLag = uint32(len(s.DeliveryOrder)), age
			n++
			continue
		}
		slot.Sample = nil
		slot.Attempt++
		s.FilledSlots--
		s.TooOld++
	}
	return n
}

func ageOf(newest, oldest uint64) uint64 {
	if oldest >= newest {
		return 0
	}
	return newest - oldest
}

// Ack acknowledges every position up to Position.
type Ack struct {
	Rollout  string `json:"rollout"`
	Number   uint64 `json:"number"`
	Position uint32 `json:"position"`
}

func (l *Ledger) ack(a Ack) StepResult {
	s := l.Steps[StepKey(a.Rollout, a.Number)]
	if s == nil {
		return StepResult{RefusedMissing, "no such step stands"}
	}
	if int(a.Position) > len(s.DeliveryOrder) {
		return StepResult{RefusedInvalid, "field \"position\" is above the positions that are assigned"}
	}
	for s.Acked < a.Position {
		s.Slots[s.DeliveryOrder[s.Acked]].Sample = nil
		s.Acked++
	}
	return StepResult{}
}

// Publish names the newest weight version of a rollout.
type PublishVersion struct {
	Rollout string `json:"rollout"`
	Version uint64 `json:"version"`
}

// publish never moves a version back.
func (l *Ledger) publish(p PublishVersion) uint64 {
	l.Versions[p.Rollout] = max(l.Versions[p.Rollout], p.Version)
	return l.Versions[p.Rollout]
}
