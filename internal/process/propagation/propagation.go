// Package propagation measures how long a change of the control state takes until hosts have
// it. It does no I/O.
//
// The leader begins a change with the hosts that are live at that time, and records the
// revision of every report. Load: some changes a second at 1,000 hosts that report at least
// once a second each.
package propagation

import (
	"slices"
	"time"
)

const (
	// maxPending bounds the changes that are followed at the same time. Later ones take the
	// place of the oldest.
	maxPending = 64
	// giveUp is how long a change is followed. Hosts that do not have it by then are listed as
	// missing.
	giveUp = 10 * time.Second
	// maxMissing bounds the hosts that are listed by name.
	maxMissing = 5
)

// Change is a change that all hosts have, or that is not followed any more.
type Change struct {
	Revision uint64
	// Hosts is the number of hosts that were live when the change was made.
	Hosts int
	// Slowest is the host that reported the change last, Took the time until then.
	Slowest string
	Took    time.Duration
	// Missing are some of the hosts that have not reported the change, sorted; MissingHosts is
	// their number.
	Missing      []string
	MissingHosts int
}

// Tracker follows changes until all hosts have them. It is not safe for concurrent use.
type Tracker struct{ pending []*change }

type change struct {
	Change
	begun   time.Time
	waiting map[string]bool
}

// Begin follows a change to a revision that the given hosts do not have yet.
func (t *Tracker) Begin(revision uint64, hosts []string, now time.Time) {
	if len(hosts) == 0 {
		return
	}
	c := &change{Change: Change{Revision: revision, Hosts: len(hosts)}, begun: now, waiting: make(map[string]bool, len(hosts))}
	for _, h := range hosts {
		c.waiting[h] = true
	}
	if len(t.pending) == maxPending {
		t.pending = slices.Delete(t.pending, 0, 1)
	}
	t.pending = append(t.pending, c)
}

// Report records the revision that a host has. It calls observe with the time that each change
// took to reach the host, and returns the changes that all hosts have now.
func (t *Tracker) Report(host string, revision uint64, now time.Time, observe func(took time.Duration)) (done []Change) {
	if len(t.pending) == 0 || t.pending[0].Revision > revision {
		return nil
	}
	t.pending = slices.DeleteFunc(t.pending, func(c *change) bool {
		if c.Revision > revision || !c.waiting[host] {
			return false
		}
		delete(c.waiting, host)
		c.Slowest, c.Took = host, now.Sub(c.begun)
		observe(c.Took)
		if len(c.waiting) > 0 {
			return false
		}
		done = append(done, c.Change)
		return true
	})
	return done
}

// Expire returns the changes that some hosts still do not have after a long time. They are not
// followed any more.
func (t *Tracker) Expire(now time.Time) (late []Change) {
	t.pending = slices.DeleteFunc(t.pending, func(c *change) bool {
		if now.Sub(c.begun) < giveUp {
			return false
		}
		for h := range c.waiting {
			c.Missing = append(c.Missing, h)
		}
		slices.Sort(c.Missing)
		c.MissingHosts = len(c.Missing)
		c.Missing = c.Missing[:min(maxMissing, c.MissingHosts)]
		late = append(late, c.Change)
		return true
	})
	return late
}
