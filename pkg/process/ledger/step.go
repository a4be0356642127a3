package ledger

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/plantainbank/plantainbank/pkg/version/record"
)

// Limits on a step.
const (
	maxSlots           = 65_536
	maxStepsPerRollout = 64
)

// OpenStep opens a step.
type OpenStep struct {
	Rollout string `json:"rollout"`
	// Workspace is the workspace of the API key that the request was sent with.
	Workspace string `json:"workspace"`
	// Number is the number of the step, 1 or more. It orders the steps of a rollout.
	Number           uint64   `json:"number"`
	Prompts          []string `json:"prompts"`
	SamplesPerPrompt int      `json:"samples"`
	// MaxTokens is the maximum sample length. Zero means the rollout's limit.
	MaxTokens int `json:"tokens"`
}

// Span is a range of a sample's tokens that one weight version produced.
type Span struct {
	Version uint64 `json:"version"`
	// From and To are token offsets. To is exclusive.
	From uint32 `json:"from"`
	To   uint32 `json:"to"`
}

// Sample is the output of an engine for a slot.
type Sample struct {
	Text string `json:"text"`
	// Spans cover the whole sample. They are taken from the engine's events.
	Spans   []Span  `json:"spans"`
	Backend string  `json:"backend"`
	Host    string  `json:"host"`
	Score   float64 `json:"score"`
}

// OldestVersion returns the lowest weight version among the spans.
func (s Sample) OldestVersion() uint64 {
	oldest := s.Spans[0].Version
	for _, x := range s.Spans {
		oldest = min(oldest, x.Version)
	}
	return oldest
}

// Slot is the place for one sample of a step.
type Slot struct {
	// Attempt counts the samples that were dropped because they were too old.
	// Only a sample produced for the current attempt may fill the slot.
	Attempt uint32 `json:"attempt"`
	// Sample is nil until a sample is committed and after it is acknowledged.
	Sample *Sample `json:"sample,omitempty"`
	// Position is the delivery position, starting at 1, or zero if none is
	// assigned. Once it is set, neither Position nor the sample changes.
	Position uint32 `json:"position,omitempty"`
	// VersionLag is the number of versions that the sample was behind the newest
	// one when its position was assigned.
	VersionLag uint64 `json:"age,omitempty"`
}

// Step is a training step. Slot i holds a sample for prompt i / SamplesPerPrompt.
type Step struct {
	OpenStep
	Digest [sha256.Size]byte `json:"digest"`
	Slots  []Slot            `json:"slots"`
	// DeliveryOrder[i] is the index of the slot at position i+1.
	DeliveryOrder []int `json:"order"`
	// FilledSlots counts the slots with a sample, including acknowledged ones.
	FilledSlots int `json:"full"`
	// Acked is the highest acknowledged position.
	Acked uint32 `json:"acked"`
	// TooOld counts the samples that were dropped because they exceeded
	// MaxVersionLag.
	TooOld int `json:"tooold"`
	// MaxVersionLag, Pool and Scorer are copied from the rollout when the step is
	// opened.
	MaxVersionLag uint64 `json:"age"`
	Pool          string `json:"pool"`
	Scorer        string `json:"scorer"`
}

// Filled returns the number of slots with a sample, including acknowledged ones.
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

// Rollout returns the named rollout configuration, or false if it does not exist
// or belongs to another workspace.
func (l *Ledger) Rollout(name, workspace string) (record.Rollout, bool) {
	r, ok := l.Records[Key(record.KindRollout, name)]
	if !ok {
		return record.Rollout{}, false
	}
	spec, err := record.Decode[record.Rollout](r)
	return spec, err == nil && spec.Workspace == workspace
}

func (l *Ledger) openStep(o OpenStep) StepResult {
	spec, ok := l.Rollout(o.Rollout, o.Workspace)
	if !ok {
		return StepResult{RefusedMissing, "field \"rollout\" names no rollout configuration of this workspace"}
	}
	if message := checkOpenStep(&o, spec); message != "" {
		return StepResult{RefusedInvalid, message}
	}
	sum := digest(o)
	if old, ok := l.Steps[StepKey(o.Rollout, o.Number)]; ok {
		if old.Digest == sum {
			return StepResult{}
		}
		return StepResult{RefusedConflict, "the step was opened with other content"}
	}
	if l.oldestRetained(o.Rollout) > o.Number {
		return StepResult{RefusedConflict, "field \"number\" is below the steps that are still kept"}
	}
	l.Steps[StepKey(o.Rollout, o.Number)] = &Step{OpenStep: o, Digest: sum, MaxVersionLag: spec.MaxVersionLag, Pool: spec.Pool,
		Scorer: spec.Scorer, Slots: make([]Slot, len(o.Prompts)*o.SamplesPerPrompt)}
	l.evictSteps(o.Rollout)
	return StepResult{}
}

func checkOpenStep(o *OpenStep, spec record.Rollout) string {
	if o.MaxTokens == 0 {
		o.MaxTokens = spec.MaxTokens
	}
	switch n := len(o.Prompts) * o.SamplesPerPrompt; {
	case o.Number == 0:
		return "field \"number\" must be 1 or more"
	case o.SamplesPerPrompt <= 0 || n <= 0 || n > maxSlots:
		return fmt.Sprintf("fields \"prompts\" and \"samples\" must make 1 to %d samples", maxSlots)
	case o.MaxTokens < 0 || o.MaxTokens > spec.MaxTokens:
		return fmt.Sprintf("field \"tokens\" must be 1 to %d", spec.MaxTokens)
	}
	return ""
}

// stepNumbers returns the step numbers of a rollout in ascending order.
func (l *Ledger) stepNumbers(rollout string) []uint64 {
	var out []uint64
	for _, s := range l.Steps {
		if s.Rollout == rollout {
			out = append(out, s.Number)
		}
	}
	slices.Sort(out)
	return out
}

func (l *Ledger) oldestRetained(rollout string) uint64 {
	n := l.stepNumbers(rollout)
	if len(n) < maxStepsPerRollout {
		return 0
	}
	return n[0]
}

// evictSteps drops the oldest steps of a rollout above maxStepsPerRollout. It
// stops at the first step that is not finished.
func (l *Ledger) evictSteps(rollout string) {
	n := l.stepNumbers(rollout)
	for len(n) > maxStepsPerRollout && l.Steps[StepKey(rollout, n[0])].Done() {
		delete(l.Steps, StepKey(rollout, n[0]))
		n = n[1:]
	}
}

// SlotRef identifies a slot and the attempt that a sample was produced for.
type SlotRef struct {
	Rollout string `json:"rollout"`
	Number  uint64 `json:"number"`
	Slot    int    `json:"slot"`
	Attempt uint32 `json:"attempt"`
}

// SlotSample is a sample and the slot that it was produced for.
type SlotSample struct {
	Ref    SlotRef `json:"place"`
	Sample Sample  `json:"sample"`
}

// CommitSamples stores samples. A slot keeps the first sample that is committed
// for its current attempt; later ones are ignored.
type CommitSamples struct {
	Samples []SlotSample `json:"samples"`
}

func (l *Ledger) commitSamples(c CommitSamples) int {
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

// AssignPositions assigns delivery positions to the samples of a step that have
// none yet.
type AssignPositions struct {
	Rollout string `json:"rollout"`
	Number  uint64 `json:"number"`
}

// Assignable reports whether any sample of the step has no position yet.
func (s *Step) Assignable() bool { return s.FilledSlots > len(s.DeliveryOrder) }

// assignPositions checks the version lag of each sample when its position is
// assigned. A sample that exceeds MaxVersionLag is dropped and its slot becomes
// open again, with a new attempt number.
func (l *Ledger) assignPositions(a AssignPositions) int {
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
		if lag := versionLag(newest, slot.Sample.OldestVersion()); lag <= s.MaxVersionLag {
			s.DeliveryOrder = append(s.DeliveryOrder, i)
			slot.Position, slot.VersionLag = uint32(len(s.DeliveryOrder)), lag
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

func versionLag(newest, oldest uint64) uint64 {
	if oldest >= newest {
		return 0
	}
	return newest - oldest
}

// Ack acknowledges all positions up to and including Position.
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

// PublishVersion sets the newest weight version of a rollout.
type PublishVersion struct {
	Rollout string `json:"rollout"`
	Version uint64 `json:"version"`
}

// publishVersion ignores versions below the newest published one.
func (l *Ledger) publishVersion(p PublishVersion) uint64 {
	l.Versions[p.Rollout] = max(l.Versions[p.Rollout], p.Version)
	return l.Versions[p.Rollout]
}
