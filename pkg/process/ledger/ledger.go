// Package ledger is the replicated state machine of the control hosts. It stores
// records, steps and their samples, usage windows and orders to the platform.
//
// Every change arrives as a Command through the replicated log. Apply is
// deterministic: it reads no clock and draws no random numbers. Times and random
// values that it needs are part of the command.
package ledger

import (
	"encoding/json"
	"fmt"

	"github.com/plantainbank/plantainbank/pkg/version/record"
)

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	Change          *Change          `json:"change,omitempty"`
	OpenStep        *OpenStep        `json:"open,omitempty"`
	CommitSamples   *CommitSamples   `json:"commit,omitempty"`
	AssignPositions *AssignPositions `json:"assign,omitempty"`
	Ack             *Ack             `json:"ack,omitempty"`
	PublishVersion  *PublishVersion  `json:"publish,omitempty"`
	CloseWindow     *CloseWindow     `json:"close,omitempty"`
	MarkReported    *MarkReported    `json:"report,omitempty"`
	Order           *Order           `json:"order,omitempty"`
}

// Encode returns the command as JSON.
func (c Command) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return data
}

// Ledger is the state of the state machine. It is not safe for concurrent use.
type Ledger struct {
	// Revision is the number of accepted record changes.
	Revision uint64 `json:"revision"`
	// Records is keyed by "kind/name"; see Key.
	Records map[string]record.Record `json:"records"`
	// Tombstones lists withdrawn records in order of revision.
	Tombstones []record.Record `json:"gone"`
	// CompactedRevision is the highest revision dropped from Tombstones. Deltas
	// from an earlier revision are not available.
	CompactedRevision uint64 `json:"forgotten"`
	// Answers holds the results of recent changes by Change.Request.
	Answers map[string]StoredAnswer `json:"answers"`
	// AnswerOrder lists the keys of Answers, oldest first.
	AnswerOrder []string `json:"answerorder"`
	// Steps is keyed by "rollout/number"; see StepKey.
	Steps map[string]*Step `json:"steps"`
	// Versions holds the newest weight version of each rollout.
	Versions map[string]uint64 `json:"versions"`
	Usage    Usage             `json:"usage"`
	// Orders holds the latest order for each zone and pool; see OrderKey.
	Orders map[string]Order `json:"orders"`
	// OrderNumber is the number of the latest order.
	OrderNumber uint64 `json:"ordernumber"`
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		Records:  map[string]record.Record{},
		Answers:  map[string]StoredAnswer{},
		Steps:    map[string]*Step{},
		Versions: map[string]uint64{},
		Usage:    Usage{Totals: map[string]*Source{}},
		Orders:   map[string]Order{},
	}
}

// Apply runs one encoded command. The result is a ChangeResult, a StepResult, an
// int or a uint64, depending on the command, or an error if data is not a valid
// command.
func (l *Ledger) Apply(data []byte) any {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("decode ledger command: %w", err)
	}
	switch {
	case c.Change != nil:
		return l.change(*c.Change)
	case c.OpenStep != nil:
		return l.openStep(*c.OpenStep)
	case c.CommitSamples != nil:
		return l.commitSamples(*c.CommitSamples)
	case c.AssignPositions != nil:
		return l.assignPositions(*c.AssignPositions)
	case c.Ack != nil:
		return l.ack(*c.Ack)
	case c.PublishVersion != nil:
		return l.publishVersion(*c.PublishVersion)
	case c.CloseWindow != nil:
		return l.closeWindow(*c.CloseWindow)
	case c.MarkReported != nil:
		return l.markReported(*c.MarkReported)
	case c.Order != nil:
		return l.order(*c.Order)
	}
	return nil
}

// Save returns a snapshot of the state as JSON.
func (l *Ledger) Save() []byte {
	data, err := json.Marshal(l)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return data
}

// Restore returns the ledger of a snapshot made by Save.
func Restore(data []byte) (*Ledger, error) {
	l := New()
	err := json.Unmarshal(data, l)
	return l, err
}
