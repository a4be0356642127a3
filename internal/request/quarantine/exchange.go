package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/service/fleet"
)

const (
	// reportPeriod is how long records of a single server are reported, so that a new control
	// leader learns of those that an earlier one knew of.
	reportPeriod = 30 * time.Second
	// expiryMargin is more than the delay of a message.
	expiryMargin = 2 * time.Second
	// maxCases bounds the cases of a message.
	maxCases = 64
)

// Reported returns the cases that a host reports: those that all hosts must know of, and
// recent ones.
func (t *Table) Reported(now time.Time) []*fleet.Case {
	return t.cases(now, func(r *record) (time.Time, bool) {
		return r.refused, len(r.ended) >= publishAt || now.Sub(r.lastActivity()) < reportPeriod
	})
}

// Published returns the cases that all hosts must know of.
func (t *Table) Published(now time.Time) []*fleet.Case {
	return t.cases(now, func(r *record) (time.Time, bool) { return r.seen, len(r.ended) >= publishAt })
}

// cases returns the cases that include selects, with the times at which they were seen.
func (t *Table) cases(now time.Time, include func(*record) (seen time.Time, ok bool)) []*fleet.Case {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 {
		return nil
	}
	var order []Fingerprint
	for f, r := range t.records {
		if _, ok := include(r); ok && !r.forgotten(now) {
			order = append(order, f)
		}
	}
	slices.SortFunc(order, func(a, b Fingerprint) int {
		switch x, y := t.records[a], t.records[b]; {
		case y.before(x):
			return -1
		case x.before(y):
			return 1
		}
		return 0
	})
	var out []*fleet.Case
	for _, f := range order[:min(len(order), maxCases)] {
		r := t.records[f]
		seen, _ := include(r)
		out = append(out, encodeCase(f, r, seen, now))
	}
	return out
}

func encodeCase(f Fingerprint, r *record, seen, now time.Time) *fleet.Case {
	c := &fleet.Case{Fingerprint: slices.Clone(f[:]), Ended: r.ended.encode(now), Trials: r.trials.encode(now)}
	if r.servedID != 0 {
		c.Served = &fleet.Mark{Id: r.servedID, Age: age(r.servedAt, now)}
	}
	if !seen.IsZero() {
		ms := age(seen, now)
		c.Seen = &ms
	}
	return c
}

func (m marks) encode(now time.Time) []*fleet.Mark {
	var out []*fleet.Mark
	for id, x := range m {
		out = append(out, &fleet.Mark{Id: id, Age: age(x.at, now), Void: x.void})
	}
	return out
}

func age(at, now time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at).Milliseconds()), math.MaxUint32))
}

func at(ms uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// Merge adds the cases of another process and returns what changed.
func (t *Table) Merge(cases []*fleet.Case, now time.Time) (out []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range cases {
		var f Fingerprint
		if len(c.Fingerprint) != len(f) {
			continue
		}
		copy(f[:], c.Fingerprint)
		if t.records[f] == nil && expiring(c, now) {
			continue
		}
		r := t.record(f, now)
		out = append(out, t.change(f, r, func() { r.merge(c, now) })...)
		if c.Seen != nil {
			t.see(r, at(*c.Seen, now))
		}
	}
	return out
}

// expiring reports whether a case is about to be forgotten. Another process may have forgotten
// it a moment ago.
func expiring(c *fleet.Case, now time.Time) bool {
	r := newRecord()
	r.merge(c, now)
	if c.Seen != nil {
		r.seen = at(*c.Seen, now)
	}
	return r.forgotten(now.Add(expiryMargin))
}

func (r *record) merge(c *fleet.Case, now time.Time) {
	if c.Served != nil {
		r.served(c.Served.Id, at(c.Served.Age, now))
	}
	r.ended.merge(c.Ended, r.servedAt, now)
	r.trials.merge(c.Trials, r.servedAt, now)
}

func (m marks) merge(all []*fleet.Mark, servedAt, now time.Time) {
	for _, x := range all {
		m.add(x.Id, mark{at: at(x.Age, now), void: x.Void}, servedAt)
	}
}
