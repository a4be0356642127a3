package batch

import (
	"io"
	"slices"
	"time"
)

// State is how an item ended.
type State string

// States of a listed item.
const (
	Completed State = "completed"
	// Dead items are given up.
	Dead State = "dead"
)

// Batch is a set of items that are run later, and their results.
type Batch struct {
	ID string `json:"id"`
	// Route is the name of the route at the submission; Host is its host.
	Route     string `json:"route"`
	Host      string `json:"host"`
	Workspace string `json:"workspace,omitempty"`
	// Submitted is the Unix millisecond of the submission by the clock of the
	// process that stored it.
	Submitted int64 `json:"submitted"`
	// Due, Expiry: milliseconds after the submission.
	Due    int64 `json:"due,omitempty"`
	Expiry int64 `json:"expiry,omitempty"`
	// Step counts a trainer's batches; -1 for batches of other callers.
	Step  int    `json:"step"`
	Model string `json:"model,omitempty"`
	// MinVersion is the oldest weight version that may produce a token.
	MinVersion uint64 `json:"minversion,omitempty"`
	// Target is the number of groups that the trainer waits for.
	TargetGroups int    `json:"target,omitempty"`
	Items        []Item `json:"items"`
	// Results stand at their positions.
	Results []Result `json:"results,omitempty"`
	Ended   bool     `json:"ended,omitempty"`
	// index maps an item to its place in Items; listed holds listed items.
	index  map[string]int
	listed map[string]bool
}

// Item is one request of a batch.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	// Tokens are the prompt's and the most that may be generated.
	Tokens int `json:"tokens,omitempty"`
	// Length is the caller's estimate of the tokens to generate, zero if there is
	// none. Half of the items are shorter; it may be far off.
	LengthHint int `json:"length,omitempty"`
	// Group names the items that are worth something only together.
	Group string `json:"group,omitempty"`
	// Fingerprint is a hash of what the item asks; it outlives the body.
	Fingerprint uint64 `json:"print,omitempty"`
	// Part is what runs have brought so far, nil if nothing. It never changes: a
	// longer one replaces it.
	Partial *PartialResult `json:"part,omitempty"`
}

// Result is how an item ended.
type Result struct {
	Item  string `json:"item"`
	State State  `json:"state"`
	Text  string `json:"text,omitempty"`
	// Packed is the text in compressed form, in place of Text.
	Compressed []byte `json:"packed,omitempty"`
	// Versions are the weight versions that produced the text.
	Versions []uint64 `json:"versions,omitempty"`
}

// prepare builds the indices.
func (b *Batch) prepare() {
	b.index, b.listed = map[string]int{}, map[string]bool{}
	for i, x := range b.Items {
		b.index[x.ID] = i
	}
	for _, r := range b.Results {
		b.listed[r.Item] = true
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

// Listed reports whether an item has its result.
func (b *Batch) HasResult(id string) bool { return b.listed[id] }

// Open returns the items without a result, in the order of the submission. It
// is empty once the batch has ended.
func (b *Batch) OpenItems() []Item {
	if b.Ended {
		return nil
	}
	var out []Item
	for _, x := range b.Items {
		if !b.listed[x.ID] {
			out = append(out, x)
		}
	}
	return out
}

// DueTime is when all results are due.
func (b *Batch) DueTime() time.Time { return time.UnixMilli(b.Submitted + b.Due) }

// Command is one change. Exactly one field is set.
type Command struct {
	Accept     *Batch      `json:"accept,omitempty"`
	AddResults *AddResults `json:"list,omitempty"`
	// End names a batch.
	End string `json:"end,omitempty"`
	// Drop names batches that need not be kept any more.
	Drop       []string    `json:"drop,omitempty"`
	Checkpoint *Checkpoint `json:"save,omitempty"`
}

// List adds results to a batch.
type AddResults struct {
	Batch   string   `json:"batch"`
	Results []Result `json:"results"`
}

// Store holds the batches. It is not safe for concurrent use.
type Store struct{ all map[string]*Batch }

// NewStore returns an empty store.
func NewStore() *Store { return &Store{all: map[string]*Batch{}} }

// Freeze returns what writes the store as it is now. Another goroutine may call
// it while the store goes on: texts and bodies never change, so only the
// batches and their lists are copied.
func (s *Store) Freeze() (write func(io.Writer) error) {
	all := make([]*Batch, 0, len(s.all))
	for _, b := range s.all {
		c := *b
		c.Items = slices.Clone(b.Items)
		c.Results = slices.Clone(b.Results)
		all = append(all, &c)
	}
	return func(w io.Writer) error { return writeAll(w, all) }
}

// put takes a batch in.
func (s *Store) put(b *Batch) {
	b.prepare()
	s.all[b.ID] = b
}

// Get returns a batch, or nil.
func (s *Store) Get(id string) *Batch { return s.all[id] }

// All returns the batches by name.
func (s *Store) All() map[string]*Batch { return s.all }

// Effect is what a command changed.
type Effect struct {
	// Accepted is a batch that was not there before.
	Accepted *Batch
	// Listed has new results; Ended has ended.
	ResultsAdded, Ended *Batch
}

// Apply carries out one encoded command.
func (s *Store) Apply(data []byte) (Effect, error) {
	c, err := decodeCommand(data)
	if err != nil {
		return Effect{}, err
	}
	switch {
	case c.Accept != nil:
		return s.accept(c.Accept), nil
	case c.AddResults != nil:
		return s.list(c.AddResults), nil
	case c.End != "":
		return s.end(c.End), nil
	case c.Checkpoint != nil:
		s.save(c.Checkpoint)
		return Effect{}, nil
	}
	for _, id := range c.Drop {
		delete(s.all, id)
	}
	return Effect{}, nil
}

func (s *Store) accept(b *Batch) Effect {
	if s.all[b.ID] != nil {
		return Effect{}
	}
	for i := range b.Items {
		b.Items[i].Fingerprint = b.Items[i].fingerprint()
	}
	s.put(b)
	for _, r := range b.Results {
		b.forget(b.index[r.Item])
	}
	return Effect{Accepted: b}
}

func (s *Store) list(l *AddResults) Effect {
	b := s.all[l.Batch]
	if b == nil {
		return Effect{}
	}
	e := Effect{}
	for _, r := range l.Results {
		i, ok := b.index[r.Item]
		if !ok || b.listed[r.Item] {
			continue
		}
		b.listed[r.Item] = true
		b.Results = append(b.Results, r)
		b.forget(i)
		e.ResultsAdded = b
	}
	return e
}

func (s *Store) end(id string) Effect {
	b := s.all[id]
	if b == nil || b.Ended {
		return Effect{}
	}
	b.Ended = true
	for i := range b.Items {
		b.Items[i].Body, b.Items[i].Headers = nil, nil
	}
	return Effect{Ended: b}
}

// forget drops what a listed item does not need any more.
func (b *Batch) forget(i int) {
	b.Items[i].Body, b.Items[i].Headers, b.Items[i].Partial = nil, nil, nil
}

// Expired lists the batches that need not be kept: submitted longer ago than
// keep, and ended or past the time in which their items may run.
func (s *Store) Expired(now time.Time, keep time.Duration) []string {
	var out []string
	for id, b := range s.all {
		age := now.Sub(time.UnixMilli(b.Submitted))
		if age > keep && (b.Ended || age > keep+time.Duration(b.Expiry)*time.Millisecond) {
			out = append(out, id)
		}
	}
	return out
}
