package batch

import (
	"io"
	"maps"
	"slices"
	"time"
)

// State is the final state of an item.
type State string

// States of an item that has a result.
const (
	Completed State = "completed"
	// Dead items were given up and are not run again.
	Dead State = "dead"
)

// Batch is a set of items to run asynchronously, and their results.
type Batch struct {
	ID string `json:"id"`
	// Route is the name of the route at submission, for logs only: configurations move, repeat
	// and leave out names. Host and Prefix are those of that route. Prefix is empty in batches of
	// earlier versions.
	Route     string `json:"route"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	// Submitted is the submission time in Unix milliseconds, by the clock of the process
	// that stored the batch.
	Submitted int64 `json:"submitted"`
	// Due and Expiry are in milliseconds after the submission: when all results are due,
	// and when open items are given up (zero if never).
	Due    int64 `json:"due,omitempty"`
	Expiry int64 `json:"expiry,omitempty"`
	// Step is the step number of a trainer's batch, -1 for batches of other callers.
	Step  int    `json:"step"`
	Model string `json:"model,omitempty"`
	// MinVersion is the oldest weight version that may produce a token.
	MinVersion uint64 `json:"minversion,omitempty"`
	// TargetGroups is the number of groups that the trainer waits for.
	TargetGroups int    `json:"target,omitempty"`
	Items        []Item `json:"items"`
	// Results holds the results in log order; the index is the position of a result.
	Results []Result `json:"results,omitempty"`
	Ended   bool     `json:"ended,omitempty"`
	// index maps an item ID to its index in Items; hasResult holds the IDs of the items
	// that have a result.
	index     map[string]int
	hasResult map[string]bool
}

// Item is one request of a batch.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	// Tokens is the number of prompt tokens plus the maximum of generated tokens.
	Tokens int `json:"tokens,omitempty"`
	// LengthHint is the caller's estimate of the number of tokens to generate, zero if
	// there is none. It is a median, half of the items are shorter, and can be far off.
	LengthHint int `json:"length,omitempty"`
	// Group names a set of items that are useful only together.
	Group string `json:"group,omitempty"`
	// Fingerprint is a hash of the request; it is retained when the body is dropped.
	Fingerprint uint64 `json:"print,omitempty"`
	// Scorer is the request that scores the text, nil if the item has none. It is dropped
	// with the body; ScorerFingerprint, a hash of it, is retained and zero without a scorer.
	Scorer            *Scorer `json:"scorer,omitempty"`
	ScorerFingerprint uint64  `json:"scorerprint,omitempty"`
	// Partial is the partial result of earlier runs, nil if there is none. It is
	// immutable: a checkpoint replaces it.
	Partial *PartialResult `json:"part,omitempty"`
}

// Scorer is a request to a plain service that scores the complete text of an item. It belongs
// to no workspace and is idempotent.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// Result is the result of an item.
type Result struct {
	Item  string `json:"item"`
	State State  `json:"state"`
	Text  string `json:"text,omitempty"`
	// Compressed is the text in compressed form, in place of Text.
	Compressed []byte `json:"packed,omitempty"`
	// Versions are the weight versions that produced the text.
	Versions []uint64 `json:"versions,omitempty"`
	// Score is the score of the text. It is set if the item has a scorer and is completed.
	Score string `json:"score,omitempty"`
	// Stored means that the text and the versions are those of the item's complete partial
	// result. It is set only in commands.
	Stored bool `json:"stored,omitempty"`
}

// buildIndexes builds the indexes of items and results.
func (b *Batch) buildIndexes() {
	b.index, b.hasResult = map[string]int{}, map[string]bool{}
	for i, x := range b.Items {
		b.index[x.ID] = i
	}
	for _, r := range b.Results {
		b.hasResult[r.Item] = true
	}
}

// Item returns an item.
func (b *Batch) Item(id string) (Item, bool) {
	i, ok := b.index[id]
	if !ok {
		return Item{}, false
	}
	return b.Items[i], true
}

// HasResult reports whether an item has a result.
func (b *Batch) HasResult(id string) bool { return b.hasResult[id] }

// OpenItems returns the items without a result, in submission order. It is empty once the
// batch has ended.
func (b *Batch) OpenItems() []Item {
	if b.Ended {
		return nil
	}
	var out []Item
	for _, x := range b.Items {
		if !b.hasResult[x.ID] {
			out = append(out, x)
		}
	}
	return out
}

// DueTime returns the time when all results are due.
func (b *Batch) DueTime() time.Time { return time.UnixMilli(b.Submitted + b.Due) }

// Command is one command of the replicated log. Exactly one field is set, besides Workspace and
// Asked.
type Command struct {
	Accept     *Batch      `json:"accept,omitempty"`
	AddResults *AddResults `json:"list,omitempty"`
	// End is the ID of a batch to end, Workspace its workspace. The batch remains open if it is
	// of another workspace; nil, in entries of older versions, means any.
	End       string  `json:"end,omitempty"`
	Workspace *string `json:"workspace,omitempty"`
	// Asked is the time of the end in Unix milliseconds, zero in entries of older versions.
	Asked int64 `json:"asked,omitempty"`
	// Drop lists the IDs of batches to delete.
	Drop       []string    `json:"drop,omitempty"`
	Checkpoint *Checkpoint `json:"save,omitempty"`
}

// AddResults appends results to a batch.
type AddResults struct {
	Batch   string   `json:"batch"`
	Results []Result `json:"results"`
}

// Store holds the batches by ID. It is not safe for concurrent use.
type Store struct {
	all map[string]*Batch
	// earlyEnds holds the ends of batches that were not known, by batch ID. A batch whose
	// submission is committed later is stored as ended.
	earlyEnds map[string]earlyEnd
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{all: map[string]*Batch{}, earlyEnds: map[string]earlyEnd{}} }

// Freeze returns a function that writes the current state of the store as a snapshot. The
// function may run on another goroutine while the store changes: texts and bodies are
// immutable, so only the batches and their slices are copied.
func (s *Store) Freeze() (write func(io.Writer) error) {
	all := make([]*Batch, 0, len(s.all))
	ends := maps.Clone(s.earlyEnds)
	for _, b := range s.all {
		c := *b
		c.Items = slices.Clone(b.Items)
		c.Results = slices.Clone(b.Results)
		all = append(all, &c)
	}
	return func(w io.Writer) error { return writeSnapshot(w, all, ends) }
}

// put adds a batch and builds its indexes.
func (s *Store) put(b *Batch) {
	b.buildIndexes()
	s.all[b.ID] = b
}

// Get returns a batch, or nil if there is none with this ID.
func (s *Store) Get(id string) *Batch { return s.all[id] }

// All returns the batches by ID.
func (s *Store) All() map[string]*Batch { return s.all }

// Effect describes what a command changed.
type Effect struct {
	// Accepted is the batch that was added.
	Accepted *Batch
	// ResultsAdded is the batch that got new results, Ended the batch that was ended.
	ResultsAdded, Ended *Batch
}

// Apply applies one encoded command.
func (s *Store) Apply(data []byte) (Effect, error) {
	c, err := decodeCommand(data)
	if err != nil {
		return Effect{}, err
	}
	switch {
	case c.Accept != nil:
		return s.accept(c.Accept), nil
	case c.AddResults != nil:
		return s.addResults(c.AddResults), nil
	case c.End != "":
		return s.end(c), nil
	case c.Checkpoint != nil:
		s.saveCheckpoint(c.Checkpoint)
		return Effect{}, nil
	}
	for _, id := range c.Drop {
		delete(s.all, id)
		delete(s.earlyEnds, id)
	}
	return Effect{}, nil
}

func (s *Store) accept(b *Batch) Effect {
	if s.all[b.ID] != nil {
		return Effect{}
	}
	for i := range b.Items {
		b.Items[i].Fingerprint = b.Items[i].fingerprint()
		b.Items[i].ScorerFingerprint = b.Items[i].scorerFingerprint()
	}
	s.put(b)
	for _, r := range b.Results {
		if i, ok := b.index[r.Item]; ok {
			b.dropItemData(i)
		}
	}
	if e, ok := s.earlyEnds[b.ID]; ok {
		delete(s.earlyEnds, b.ID)
		if e.workspace == b.Workspace {
			b.end()
		}
	}
	return Effect{Accepted: b}
}

func (s *Store) addResults(l *AddResults) Effect {
	b := s.all[l.Batch]
	if b == nil {
		return Effect{}
	}
	e := Effect{}
	for _, r := range l.Results {
		i, ok := b.index[r.Item]
		if !ok || b.hasResult[r.Item] {
			continue
		}
		if r.Stored && !b.Items[i].takeStored(&r) {
			continue
		}
		b.hasResult[r.Item] = true
		b.Results = append(b.Results, r)
		b.dropItemData(i)
		e.ResultsAdded = b
	}
	return e
}

func (s *Store) end(c *Command) Effect {
	b := s.all[c.End]
	if b == nil && c.Workspace != nil {
		s.addEarlyEnd(c.End, earlyEnd{workspace: *c.Workspace, asked: c.Asked})
	}
	if b == nil || b.Ended || c.Workspace != nil && b.Workspace != *c.Workspace {
		return Effect{}
	}
	b.end()
	return Effect{Ended: b}
}

func (b *Batch) end() {
	b.Ended = true
	for i := range b.Items {
		b.Items[i].Body, b.Items[i].Headers, b.Items[i].Scorer = nil, nil, nil
	}
}

// dropItemData drops the data that an item with a result does not need any more.
func (b *Batch) dropItemData(i int) {
	b.Items[i].Body, b.Items[i].Headers, b.Items[i].Partial, b.Items[i].Scorer = nil, nil, nil, nil
}

// Expired returns the IDs of the batches and of the ends without a batch that can be deleted: an ended or complete batch once
// the retention has passed since its submission, another one once it has passed since the
// expiry of its items. A batch whose items never expire remains until it has ended or is
// complete.
func (s *Store) Expired(now time.Time, retention time.Duration) []string {
	var out []string
	for id, b := range s.all {
		age := now.Sub(time.UnixMilli(b.Submitted))
		done := b.Ended || len(b.Results) == len(b.Items)
		if age > retention && (done || b.Expiry > 0 && age > retention+time.Duration(b.Expiry)*time.Millisecond) {
			out = append(out, id)
		}
	}
	for id, e := range s.earlyEnds {
		if now.Sub(time.UnixMilli(e.asked)) > retention {
			out = append(out, id)
		}
	}
	return out
}
