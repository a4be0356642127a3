// Package origin remembers at which service and software version the streams of callers have
// begun, so that a caller can take up a stream at any entry host: what servers of two software
// versions write does not fit together.
//
// Entry hosts tell the control leader where streams begin, and ask it about streams that they do
// not know. A new leader is told again by all hosts.
package origin

import (
	"sync"
	"time"
	"unicode/utf8"
)

// retention is how long the beginning of a stream is kept. A caller gives up a stream, with all its
// attempts, in far less.
const retention = 5 * time.Minute

// Key identifies a stream.
type Key struct {
	Workspace string
	// Request is the ID of the caller attempt that brought the first event.
	Request string
}

// Origin is where a stream has begun.
type Origin struct{ Service, Software string }

type record struct {
	key Key
	Origin
	at time.Time
}

// Table holds the latest streams. It is safe for concurrent use.
type Table struct {
	max int
	mu  sync.Mutex
	all map[Key]Origin
	// order holds the records of all in order of time.
	order []record
	// untold is the number of records at the end of order that control was not told of yet.
	untold  int
	pending chan struct{}
}

// NewTable returns a table of at most max streams.
func NewTable(max int) *Table {
	return &Table{max: max, all: map[Key]Origin{}, pending: make(chan struct{}, 1)}
}

// Pending returns the channel that receives a value when control should be told of streams.
func (t *Table) Pending() <-chan struct{} { return t.pending }

func (t *Table) signal() {
	select {
	case t.pending <- struct{}{}:
	default:
	}
}

// valid reports whether a message can carry the key.
func (k Key) valid() bool { return utf8.ValidString(k.Workspace) && utf8.ValidString(k.Request) }

// Add records where a stream has begun. The first record of a stream holds. A stream whose request
// ID is not valid UTF-8 is not recorded: no caller can name it to take it up.
func (t *Table) Add(k Key, o Origin, now time.Time) {
	if !k.valid() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.all[k]; ok {
		return
	}
	t.evict(now)
	t.all[k] = o
	t.order = append(t.order, record{k, o, now})
	t.untold++
	t.signal()
}

// evict drops old records, and the oldest one of a full table.
func (t *Table) evict(now time.Time) {
	n := 0
	for n < len(t.order) && (now.Sub(t.order[n].at) > retention || len(t.order)-n >= t.max) {
		delete(t.all, t.order[n].key)
		n++
	}
	t.order = t.order[n:]
	t.untold = min(t.untold, len(t.order))
}

// Find returns where a stream has begun.
func (t *Table) Find(k Key) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.all[k]
	return o, ok
}

// untoldRecords returns the oldest records that control was not told of, at most n.
func (t *Table) untoldRecords(n int) []record {
	t.mu.Lock()
	defer t.mu.Unlock()
	from := len(t.order) - t.untold
	return append([]record(nil), t.order[from:min(len(t.order), from+n)]...)
}

// told records that control was told of the records that untoldRecords returned.
func (t *Table) told(records []record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if from := len(t.order) - t.untold; t.untold > 0 && t.order[from].key == r.key {
			t.untold--
		}
	}
	if t.untold > 0 {
		t.signal()
	}
}

// TellAgain makes control be told of all streams, since it has a new leader.
func (t *Table) TellAgain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.untold = len(t.order); t.untold > 0 {
		t.signal()
	}
}
