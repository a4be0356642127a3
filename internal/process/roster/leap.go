package roster

import (
	"slices"
	"time"
)

// Rules about numbers far ahead of the latest one of a server. A server may number its announcements by its clock,
// and another writer may announce any number with the start time of the server. What comes next tells them apart: the
// server goes on below a number of another writer, and not below its own.
const (
	// leapTimeout is how long a server must have announced nothing below a number far ahead of its latest one
	// until the number counts as its own. It exceeds the announcement interval of 1.2 s: after a number of
	// another writer, the server goes on below it. A server that drains serves on for at least 2 s.
	leapTimeout = 1400 * time.Millisecond
	// paceMargin is by how much a server may exceed the pace of its numbers.
	paceMargin = 4
)

// follow takes over what is known of the sender of the claim in force, which c replaces. A sender that leaps
// twice in succession numbers its announcements so. disputed is true if it goes on below the leap of h.
func (c *claim) follow(h *claim, disputed bool, now time.Time) {
	if c.Seq > h.Seq {
		c.pace = max(c.pace, h.pace)
		if h.leap != 0 && h.count == 1 && c.firstSeq > h.Seq {
			c.pace = max(c.pace, paceOf(h.Seq, c.firstSeq, c.first.Sub(h.lastContact)))
		}
		if c.leap == 0 {
			c.leap = max(c.firstSeq, h.Seq+1)
		}
		if c.leapAt = now; disputed {
			c.leapAt = h.leapAt
		}
	}
	if h.Leaving {
		c.Leaving = true
		if c.State == Ready {
			c.State = Draining
		}
	}
}

// paceOf returns the step between two numbers in numbers per second.
func paceOf(from, to uint64, d time.Duration) uint64 {
	return (to - from) / max(uint64(d/time.Second), 1)
}

// farAhead reports whether the number of x is further ahead than the sender of c counts.
func (c *claim) farAhead(x *Instance, now time.Time) bool {
	d := now.Sub(c.lastContact)
	return x.Seq-c.Seq > max(maxStep(d), paceMargin*c.pace*uint64(1+max(d, 0)/time.Second))
}

// maxStep is the largest number of calls that a server makes in a time. It calls each control host in turn
// until one responds.
func maxStep(d time.Duration) uint64 { return 16 + 8*uint64(max(d, 0)/time.Second) }

// yieldsBelow reports whether the sender of both claims goes on below the number of the one in force.
func (h *claim) yieldsBelow(c *claim, now time.Time) bool {
	if c.Seq < h.leap && c.reportsSince(later(h.leapAt, now.Add(-holdTime))) >= proofReports {
		return true
	}
	return c.reportsSince(h.lastContact) >= proofReports && (h.count == 1 || now.Sub(h.lastContact) > holdTime)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// leads reports whether the numbers of a claim, far ahead of those of the entry in force, are of the same server:
// after a number of another writer the server goes on below it, after a leap of its own it does not.
func (t *Table) leads(c *claim, e *entry, now time.Time) bool {
	if e.State == Gone || !c.Instance.SameIncarnation(&e.Instance) || c.Seq <= e.Seq {
		return false
	}
	below := e.lastContact
	for _, x := range t.claims[c.ID] {
		goesOn := x.Seq > e.Seq || x.Seq < e.leap && x.reportsSince(now.Add(-holdTime)) >= takeReports
		if x.Instance.SameIncarnation(&c.Instance) && x.Seq < c.Seq && goesOn {
			below = later(below, x.lastContact)
		}
	}
	if c.lastContact.After(below) {
		return now.Sub(below) >= leapTimeout
	}
	// What was below may have come late, which the server does not follow up.
	return now.Sub(c.lastContact) <= holdTime && now.Sub(below) >= 2*leapTimeout
}

// disputed reports whether the server goes on below the leap of an entry.
func (t *Table) disputed(e *entry, now time.Time) bool {
	return slices.ContainsFunc(t.claims[e.ID], func(c *claim) bool {
		return c.Instance.SameIncarnation(&e.Instance) && c.Seq < e.leap && c.lastContact.After(e.leapAt) && now.Sub(c.lastContact) <= holdTime
	})
}

// late reports whether a claim has come late: its sender has announced itself with a larger number, and has
// not gone on below that.
func (t *Table) late(c *claim, now time.Time) bool {
	if e := t.all[c.ID]; e != nil && e.Instance.SameIncarnation(&c.Instance) {
		return false
	}
	return c.reportsSince(now.Add(-holdTime)) < proofReports && slices.ContainsFunc(t.claims[c.ID], func(x *claim) bool {
		return x.Instance.SameIncarnation(&c.Instance) && x.Seq > c.Seq
	})
}

// lastHeard returns when the sender of an entry was last heard of, which may go on below a leap.
func (t *Table) lastHeard(e *entry) time.Time {
	at := e.lastContact
	for _, c := range t.claims[e.ID] {
		if c.Seq < e.leap && c.Instance.SameIncarnation(&e.Instance) {
			at = later(at, c.lastContact)
		}
	}
	return at
}
