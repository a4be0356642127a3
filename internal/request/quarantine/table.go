package quarantine

import (
	"encoding/binary"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// publishAt is the number of ended servers from which all hosts learn of a request. Most
	// requests on a server that ends are not the cause, and no host needs to know of them.
	publishAt = 2
	// seenStep is how far the time at which a request was last seen advances before hosts
	// learn of that alone.
	seenStep = 10 * time.Minute
	// untriedRetryAfter is the Retry-After of a request whose trial must wait until the host
	// has contact to control again.
	untriedRetryAfter = time.Second
	// expireInterval is the interval between searches for forgotten records.
	expireInterval = time.Second
	// logInterval is the minimum time between two log lines about refusals of a request.
	logInterval = 10 * time.Second
)

// Kind is a kind of change.
type Kind string

// Kinds of changes.
const (
	// Ended: a server ended under the request.
	Ended Kind = "ended"
	// Quarantined: the request is refused from now on.
	Quarantined Kind = "quarantined"
	// Tried: a host sends the request once, to see whether servers still end under it.
	Tried Kind = "trial"
	// Cleared: the request was served, or servers that seemed to have ended still run.
	Cleared Kind = "cleared"
)

// Change is a change of what is known about a request.
type Change struct {
	Fingerprint Fingerprint
	Kind        Kind
	// Ended is the number of servers that ended since the request was last served, Before
	// what it was before the change.
	Ended, Before int
}

// Shared reports whether all hosts must know of the request.
func (c Change) Shared() bool { return max(c.Ended, c.Before) >= publishAt }

// Incarnation returns the ID of an incarnation of a backend server.
func Incarnation(id string, born int64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(born)))
	return h.Sum64()
}

// Table holds the records of requests under which servers ended. Entry hosts and control
// processes have one each and exchange what they know. It is safe for concurrent use.
type Table struct {
	// max bounds the number of records.
	max int
	// suspects and held are the numbers of requests under which servers ended, and of
	// quarantined ones.
	suspects, held atomic.Int32
	mu             sync.Mutex
	records        map[Fingerprint]*record
	revision       uint64
	expiredAt      time.Time
}

// NewTable returns an empty table that holds at most max records.
func NewTable(max int) *Table { return &Table{max: max, records: map[Fingerprint]*record{}} }

// Suspects reports whether servers ended under any request.
func (t *Table) Suspects() bool { return t.suspects.Load() > 0 }

// Holds reports whether any request is quarantined.
func (t *Table) Holds() bool { return t.held.Load() > 0 }

// Revision increases with every change that hosts must receive.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Ended records that a server ended while it ran a request. held is true if the request is
// quarantined.
func (t *Table) Ended(f Fingerprint, incarnation uint64, now time.Time) (ended int, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(f, now)
	t.change(f, r, func() { r.ended.add(incarnation, mark{at: now}, r.servedAt) })
	n := r.endedCount()
	return n, n >= Limit
}

// Served records that a server answered a request completely. It returns the number of ended
// servers that no longer count.
func (t *Table) Served(f Fingerprint, id uint64, now time.Time) (cleared int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || r.endedCount() == 0 {
		return 0
	}
	cleared = r.endedCount()
	t.change(f, r, func() { r.served(id, now) })
	return cleared - r.endedCount()
}

// Alive records that a server was heard of. Ends that were attributed to it earlier were only
// ends of its connections, and no longer count.
func (t *Table) Alive(incarnation uint64, now time.Time) (out []Change) {
	if !t.Suspects() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.records {
		x, ok := r.ended[incarnation]
		if !ok || x.void || now.Sub(x.at) < aliveMargin {
			continue
		}
		x.void = true
		out = append(out, t.change(f, r, func() { r.ended[incarnation] = x })...)
	}
	return out
}

// Verdict tells what may be done with a request.
type Verdict int

// Verdicts.
const (
	Pass Verdict = iota
	// Refuse: the request is quarantined.
	Refuse
	// Try: the request may be sent once.
	Try
)

// Decision is the decision on a new caller attempt.
type Decision struct {
	Verdict Verdict
	// Ended is the number of servers that ended under the request.
	Ended      int
	RetryAfter time.Duration
	// Unlogged is the number of refusals that the next log line has to count; zero if no
	// line is due.
	Unlogged int
}

// Admit decides on a new caller attempt. A host without contact to control allows no trial,
// since it cannot know of those of other hosts. trial identifies the trial if one is allowed.
func (t *Table) Admit(f Fingerprint, trial uint64, contact bool, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || r.endedCount() < Limit || r.forgotten(now) {
		return Decision{}
	}
	d := Decision{Verdict: Refuse, Ended: r.endedCount(), RetryAfter: r.heldUntil().Sub(now)}
	if d.RetryAfter <= 0 && contact {
		t.change(f, r, func() { r.trials.add(trial, mark{at: now}, r.servedAt) })
		return Decision{Verdict: Try, Ended: d.Ended}
	}
	d.RetryAfter = max(d.RetryAfter, untriedRetryAfter)
	r.refused = now
	t.see(r, now)
	r.unlogged++
	if now.Sub(r.loggedAt) >= logInterval {
		d.Unlogged, r.unlogged, r.loggedAt = r.unlogged, 0, now
	}
	return d
}

// Held reports whether a request is quarantined.
func (t *Table) Held(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	return r != nil && r.endedCount() >= Limit
}

// Void withdraws a trial that reached no server.
func (t *Table) Void(f Fingerprint, trial uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil {
		return
	}
	if x, ok := r.trials[trial]; ok {
		x.void = true
		t.change(f, r, func() { r.trials[trial] = x })
	}
}

// Expire forgets requests that have not been seen for long.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.expiredAt) < expireInterval {
		return
	}
	t.expiredAt = now
	for f, r := range t.records {
		if r.forgotten(now) {
			t.remove(f, r)
		}
	}
}

// record returns the record of a fingerprint. It may evict another one.
func (t *Table) record(f Fingerprint, now time.Time) *record {
	r := t.records[f]
	if r != nil && !r.forgotten(now) {
		return r
	}
	if r != nil {
		t.remove(f, r)
	}
	if len(t.records) >= t.max {
		t.evict()
	}
	r = newRecord()
	t.records[f] = r
	return r
}

// evict removes the oldest record, but a quarantined one only if all are.
func (t *Table) evict() {
	var victim *record
	var key Fingerprint
	for f, r := range t.records {
		if victim == nil || r.before(victim) {
			victim, key = r, f
		}
	}
	if victim != nil {
		t.remove(key, victim)
	}
}

// before reports whether r is evicted before s.
func (r *record) before(s *record) bool {
	if a, b := r.endedCount() >= Limit, s.endedCount() >= Limit; a != b {
		return b
	}
	return r.lastActivity().Before(s.lastActivity())
}

func (t *Table) remove(f Fingerprint, r *record) {
	t.count(r.endedCount(), 0)
	delete(t.records, f)
}

// count updates the numbers of suspects and of quarantined requests.
func (t *Table) count(before, after int) {
	if d := atLeast(after, 1) - atLeast(before, 1); d != 0 {
		t.suspects.Add(d)
	}
	if d := atLeast(after, Limit) - atLeast(before, Limit); d != 0 {
		t.held.Add(d)
	}
}

func atLeast(n, limit int) int32 {
	if n >= limit {
		return 1
	}
	return 0
}

// change runs a change of a record and returns what it changed.
func (t *Table) change(f Fingerprint, r *record, do func()) (out []Change) {
	a := r.summary()
	do()
	b := r.summary()
	if a == b {
		return nil
	}
	t.count(a.ended, b.ended)
	if max(a.allEnded, b.allEnded) >= publishAt {
		t.revision++
		r.publishedSeen = r.seen
	}
	switch {
	case a.ended < Limit && b.ended >= Limit:
		out = append(out, Change{f, Quarantined, b.ended, a.ended})
	case b.ended > a.ended:
		out = append(out, Change{f, Ended, b.ended, a.ended})
	case b.ended < a.ended:
		out = append(out, Change{f, Cleared, b.ended, a.ended})
	}
	if b.tried > a.tried {
		out = append(out, Change{f, Tried, b.ended, a.ended})
	}
	return out
}

// see records when a request was last refused.
func (t *Table) see(r *record, at time.Time) {
	r.seen = later(r.seen, at)
	if r.seen.Sub(r.publishedSeen) > seenStep && len(r.ended) >= publishAt {
		r.publishedSeen = r.seen
		t.revision++
	}
}
