// Package ledger is the replicated state of the control hosts: records, steps
// and their samples, usage windows and orders to the platform.
//
// Every change arrives as a Command through the replicated log. Apply is
// deterministic: it reads no clock and draws no random number; whatever it
// needs of either is in the command.
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

// Encode returns the bytes of a command.
func (c Command) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // commands are plain structs
	}
	return data
}

// Ledger is the state. It is not safe for concurrent use.
type Ledger struct {
	// Revision counts the accepted changes of records.
	Revision uint64 `json:"revision"`
	// Records is keyed by kind and name, joined by a slash.
	Records map[string]record.Record `json:"records"`
	// Gone lists withdrawn records in the order of their revisions.
	Tombstones []record.Record `json:"gone"`
	// Forgotten is the highest revision that was dropped from Gone.
	CompactedRevision uint64 `json:"forgotten"`
	// Answers holds the result of each recent request number.
	Answers map[string]StoredAnswer `json:"answers"`
	// AnswerOrder lists the request numbers, oldest first.
	AnswerOrder []string `json:"answerorder"`
	// Steps is keyed by rollout and number, joined by a slash.
	Steps map[string]*Step `json:"steps"`
	// Versions holds the newest weight version of each rollout.
	Versions map[string]uint64 `json:"versions"`
	Usage    Usage             `json:"usage"`
	// Orders holds the latest order for each zone and pool.
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

// Apply runs one encoded command and returns its result: a ChangeResult, a
// StepResult, an int or a uint64, by the kind of command.
func (l *Ledger) Apply(data []byte) any {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("command: %w", err)
	}
	switch {
	case c.Change != nil:
		return l.change(*c.Change)
	case c.OpenStep != nil:
		return l.open(*c.OpenStep)
	case c.CommitSamples != nil:
		return l.commit(*c.CommitSamples)
	case c.AssignPositions != nil:
		return l.assign(*c.AssignPositions)
	case c.Ack != nil:
		return l.ack(*c.Ack)
	case c.PublishVersion != nil:
		return l.publish(*c.PublishVersion)
	case c.CloseWindow != nil:
		return l.closeWindow(*c.CloseWindow)
	case c.MarkReported != nil:
		return l.reported(*c.MarkReported)
	case c.Order != nil:
		return l.order(*c.Order)
	}
	return nil
}

// Save encodes the state.
func (l *Ledger) Save() []byte {
	data, err := json.Marshal(l)
	if err != nil {
		panic(err) // the state is made of plain structs
	}
	return data
}

// Restore decodes a saved state.
func Restore(data []byte) (*Ledger, error) {
	l := New()
	err := json.Unmarshal(data, l)
	return l, err
}
