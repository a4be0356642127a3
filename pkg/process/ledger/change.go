package ledger

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
	"strings"

	"github.com/plantainbank/plantainbank/pkg/version/record"
)

// Limits on the retained answers and tombstones.
const (
	maxAnswers    = 20_000
	maxTombstones = 5_000
)

// Change submits or withdraws one record.
type Change struct {
	// Request is the idempotency key that the operator chose. A resend with the
	// same key gets the stored answer.
	Request string        `json:"request"`
	Record  record.Record `json:"record"`
	// Replaces is the revision of the record that the change is based on. Zero
	// means that no such record may exist.
	Replaces uint64 `json:"replaces"`
}

// Reasons why a change is refused.
const (
	RefusedInvalid  = "invalid"
	RefusedConflict = "conflict"
	RefusedReuse    = "request_reused"
	RefusedMissing  = "missing"
)

// ChangeResult is the answer to a change. Refused is empty if the change was
// accepted.
type ChangeResult struct {
	Revision uint64 `json:"revision,omitempty"`
	Refused  string `json:"refused,omitempty"`
	Message  string `json:"message,omitempty"`
	// Current is the record that the change conflicts with.
	Current *record.Record `json:"standing,omitempty"`
}

// StoredAnswer is the retained answer to a request. Digest is the hash of the
// change, by which a reuse of the request for another change is detected.
type StoredAnswer struct {
	Digest [sha256.Size]byte `json:"digest"`
	Result ChangeResult      `json:"result"`
}

// Key returns the key of a record in Ledger.Records.
func Key(kind, name string) string { return kind + "/" + name }

func digest(v any) [sha256.Size]byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return sha256.Sum256(data)
}

func (l *Ledger) change(c Change) ChangeResult {
	sum := digest(c)
	if old, ok := l.Answers[c.Request]; ok {
		if old.Digest == sum {
			return old.Result
		}
		return ChangeResult{Refused: RefusedReuse, Message: "the request number was used for another change"}
	}
	result := l.evaluate(c)
	l.storeAnswer(c.Request, StoredAnswer{sum, result})
	return result
}

func (l *Ledger) storeAnswer(request string, a StoredAnswer) {
	l.Answers[request] = a
	l.AnswerOrder = append(l.AnswerOrder, request)
	if len(l.AnswerOrder) > maxAnswers {
		delete(l.Answers, l.AnswerOrder[0])
		l.AnswerOrder = l.AnswerOrder[1:]
	}
}

func (l *Ledger) evaluate(c Change) ChangeResult {
	if err := record.Check(c.Record); err != nil {
		return ChangeResult{Refused: RefusedInvalid, Message: err.Error()}
	}
	current, exists := l.Records[Key(c.Record.Kind, c.Record.Name)]
	if c.Record.Withdrawn && !exists {
		return ChangeResult{Refused: RefusedMissing, Message: "no such record stands"}
	}
	if current.Revision != c.Replaces {
		return conflict(current, exists)
	}
	if message := l.missingReference(c.Record); message != "" {
		return ChangeResult{Refused: RefusedMissing, Message: message}
	}
	l.Revision++
	if c.Record.Withdrawn {
		l.withdraw(current)
	} else {
		r := c.Record
		r.Revision = l.Revision
		l.Records[Key(r.Kind, r.Name)] = r
	}
	return ChangeResult{Revision: l.Revision}
}

func conflict(current record.Record, exists bool) ChangeResult {
	r := ChangeResult{Refused: RefusedConflict, Message: "no such record stands"}
	if exists {
		r.Message = "another revision stands"
		r.Current = &current
	}
	return r
}

// owner returns the workspace that a record belongs to, or "" if none.
func owner(r record.Record) string {
	switch r.Kind {
	case record.KindKey:
		k, _ := record.Decode[record.Key](r)
		return k.Workspace
	case record.KindRollout:
		s, _ := record.Decode[record.Rollout](r)
		return s.Workspace
	}
	return ""
}

func (l *Ledger) missingReference(r record.Record) string {
	if r.Withdrawn {
		return ""
	}
	w := owner(r)
	if _, ok := l.Records[Key(record.KindWorkspace, w)]; w != "" && !ok {
		return "field \"workspace\" names " + w + ", which does not stand"
	}
	return ""
}

// withdraw removes a record. Withdrawing a workspace also removes its keys,
// rollouts and steps, so that a workspace that is created again under the same
// name inherits nothing.
func (l *Ledger) withdraw(r record.Record) {
	l.remove(r)
	if r.Kind != record.KindWorkspace {
		return
	}
	var owned []string
	for k, x := range l.Records {
		if owner(x) == r.Name {
			owned = append(owned, k)
		}
	}
	slices.Sort(owned)
	for _, k := range owned {
		l.remove(l.Records[k])
	}
	for k, s := range l.Steps {
		if s.Workspace == r.Name {
			delete(l.Steps, k)
		}
	}
}

func (l *Ledger) remove(r record.Record) {
	delete(l.Records, Key(r.Kind, r.Name))
	l.Tombstones = append(l.Tombstones, record.Record{Kind: r.Kind, Name: r.Name, Revision: l.Revision, Withdrawn: true})
	if len(l.Tombstones) > maxTombstones {
		l.CompactedRevision = l.Tombstones[0].Revision
		l.Tombstones = l.Tombstones[1:]
	}
}

// Since returns the records that changed after the given revision, in order of
// revision, with tombstones for withdrawn ones. If the changes since then are
// not known, full is true and records holds all current records.
func (l *Ledger) Since(revision uint64) (records []record.Record, full bool) {
	full = revision == 0 || revision < l.CompactedRevision || revision > l.Revision
	for _, r := range l.Records {
		if full || r.Revision > revision {
			records = append(records, r)
		}
	}
	if !full {
		for _, r := range l.Tombstones {
			if r.Revision > revision {
				records = append(records, r)
			}
		}
	}
	slices.SortFunc(records, func(a, b record.Record) int {
		if a.Revision != b.Revision {
			return int(a.Revision) - int(b.Revision)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return records, full
}

// List returns the records of a kind in order of kind and name. An empty kind
// selects all records.
func (l *Ledger) List(kind string) []record.Record {
	var out []record.Record
	for _, r := range l.Records {
		if kind == "" || r.Kind == kind {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b record.Record) int {
		return strings.Compare(Key(a.Kind, a.Name), Key(b.Kind, b.Name))
	})
	return out
}
