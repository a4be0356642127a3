package quarantine

import (
	"time"
)

// Limits and periods of a quarantine.
const (
	// Limit is the number of servers that may end under a request before it is quarantined.
	Limit = 3
	// firstHold is how long a request is refused before a trial is allowed. A trial may cost
	// another server, which its service lacks for some seconds.
	firstHold = time.Minute
	// longHold is how long it is refused after the first trial.
	longHold = 10 * time.Minute
	// maxTrials is the number of trials; after them the request is refused until it has not
	// been seen for forgetHeld.
	maxTrials = 2
	// forgetHeld, forgetSuspect and forgetCleared are how long a record is kept after its
	// last event: of a quarantined request, of one under which fewer servers ended, and of
	// one that is no longer under suspicion.
	forgetHeld    = time.Hour
	forgetSuspect = 5 * time.Minute
	forgetCleared = time.Minute
	// aliveMargin is how much later than the end of its connection a server must be heard
	// of to count as running: its announcement may have been on its way for seconds.
	aliveMargin = 5 * time.Second
	// maxMarks bounds the marks of one kind in a record.
	maxMarks = 16
)

// mark is an event that several hosts know of. The same event has the same ID everywhere, and
// the earliest time that was derived for it is kept, since delays only make it later.
type mark struct {
	at   time.Time
	void bool
}

// marks are the events of one kind, by ID.
type marks map[uint64]mark

// add adds or updates a mark. Void marks stay void.
func (m marks) add(id uint64, x mark, servedAt time.Time) {
	old, ok := m[id]
	if ok && old.at.Before(x.at) {
		x.at = old.at
	}
	x.void = x.void || old.void
	if !ok && len(m) >= maxMarks && !m.dropSettled(servedAt) {
		return
	}
	m[id] = x
}

// dropSettled removes one mark that no longer counts.
func (m marks) dropSettled(servedAt time.Time) bool {
	for id, x := range m {
		if x.void || !x.at.After(servedAt) {
			delete(m, id)
			return true
		}
	}
	return false
}

// count returns the number of marks that are not void and later than a time, and the latest
// of them.
func (m marks) count(after time.Time) (n int, latest time.Time) {
	for _, x := range m {
		if x.void || !x.at.After(after) {
			continue
		}
		n++
		latest = later(latest, x.at)
	}
	return n, latest
}

func (m marks) voids() (n int) {
	for _, x := range m {
		if x.void {
			n++
		}
	}
	return n
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// record holds the events of one fingerprint. Everything else is derived from them, so that
// records of several hosts can be merged in any order and any number of times.
type record struct {
	// ended holds the servers that ended, by incarnation.
	ended  marks
	trials marks
	// servedID and servedAt are the latest complete answer. Earlier marks do not count.
	servedID uint64
	servedAt time.Time
	// seen is when the request was last refused, at any host as far as is known; refused is
	// when at this one.
	seen, refused time.Time
	// publishedSeen is the value of seen at the latest revision.
	publishedSeen time.Time
	// unlogged counts the refusals since loggedAt, the time of the latest log line about one.
	unlogged int
	loggedAt time.Time
}

func newRecord() *record { return &record{ended: marks{}, trials: marks{}} }

// served records a complete answer; the latest one counts.
func (r *record) served(id uint64, at time.Time) {
	switch {
	case id == r.servedID:
		if at.Before(r.servedAt) {
			r.servedAt = at
		}
	case at.After(r.servedAt):
		r.servedID, r.servedAt = id, at
	}
}

// endedCount returns the number of servers that ended since the request was last served.
func (r *record) endedCount() int {
	n, _ := r.ended.count(r.servedAt)
	return n
}

// lastActivity is the time of the latest event.
func (r *record) lastActivity() time.Time {
	last := later(r.servedAt, r.seen)
	for _, m := range []marks{r.ended, r.trials} {
		for _, x := range m {
			last = later(last, x.at)
		}
	}
	return last
}

// forgotten reports whether the record is no longer needed.
func (r *record) forgotten(now time.Time) bool {
	period := forgetCleared
	switch n := r.endedCount(); {
	case n >= Limit:
		period = forgetHeld
	case n > 0:
		period = forgetSuspect
	}
	return now.Sub(r.lastActivity()) > period
}

// heldUntil returns when a quarantined request may be tried; zero if it is not quarantined.
func (r *record) heldUntil() time.Time {
	n, last := r.ended.count(r.servedAt)
	if n < Limit {
		return time.Time{}
	}
	tried, lastTrial := r.trials.count(r.servedAt)
	last = later(last, lastTrial)
	switch {
	case tried == 0:
		return last.Add(firstHold)
	case tried < maxTrials:
		return last.Add(longHold)
	}
	return later(last, r.seen).Add(forgetHeld)
}

// summary tells two states of a record apart as far as other hosts are concerned.
type summary struct {
	ended, tried                          int
	allEnded, voidEnded, allTrials, voids int
	servedID                              uint64
}

func (r *record) summary() summary {
	tried, _ := r.trials.count(r.servedAt)
	return summary{ended: r.endedCount(), tried: tried, allEnded: len(r.ended), voidEnded: r.ended.voids(),
		allTrials: len(r.trials), voids: r.trials.voids(), servedID: r.servedID}
}
