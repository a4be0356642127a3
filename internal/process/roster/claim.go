package roster

import (
	"slices"
	"time"
)

// Rules by which a claim to an ID or an address prevails. Anyone can send an announcement; the server is
// told from another writer, and from a delayed report of one that has ended, by who goes on to announce
// itself.
const (
	// reportSpacing is the time between two announcements of a claim that count. Several that were held
	// up and arrive together count as one.
	reportSpacing = time.Second
	// holdTime is how long after its latest announcement an instance holds its ID and its address against
	// a single announcement of a later one.
	holdTime = 5 * time.Second
	// takeReports is the number of announcements, none of the holder between them, after which a claim
	// takes the ID or the address.
	takeReports = 2
	// proofReports is the number of announcements since the first one of a rival that prove that the
	// sender has not ended when the rival began.
	proofReports = 3
	// maxClaims bounds the claims to an ID that are not in force, and maxClaimed the IDs with such claims.
	maxClaims  = 4
	maxClaimed = 4096
)

// claim is what one sender has announced under an ID.
type claim struct {
	Instance
	// first and lastContact are the times of the first and the latest announcement or departure, count the
	// number of announcements.
	first, lastContact time.Time
	count              int
	// reports are the times of the latest announcements that count.
	reports []time.Time
	// displaced is when another claim has taken the ID or the address, zero if none has.
	displaced time.Time
	// firstSeq is the number of the first announcement. leap is the number of the latest one that was far ahead
	// of the one before, zero if none was, and leapAt when it was put in force.
	firstSeq, leap uint64
	leapAt         time.Time
	// pace is the largest step between two announcements in succession, in numbers per second.
	pace uint64
}

// add records an announcement.
func (c *claim) add(x Instance, now time.Time) {
	if c.Leaving {
		if x.Leaving = true; x.State == Ready {
			x.State = Draining
		}
	}
	if c.count == 0 && c.first.IsZero() {
		c.first, c.firstSeq = now, x.Seq
	}
	if c.count > 0 {
		if c.farAhead(&x, now) {
			c.leap = x.Seq
		}
		c.pace = max(c.pace, paceOf(c.Seq, x.Seq, now.Sub(c.lastContact)))
	}
	if n := len(c.reports); n == 0 || now.Sub(c.reports[n-1]) >= reportSpacing {
		if n == proofReports {
			c.reports = c.reports[1:]
		}
		c.reports = append(slices.Clip(c.reports), now)
	}
	c.Instance, c.lastContact = x, now
	c.count++
}

// reportsSince returns the number of announcements after a time that count, at most proofReports.
func (c *claim) reportsSince(at time.Time) int {
	n := 0
	for _, r := range c.reports {
		if r.After(at) {
			n++
		}
	}
	return n
}

// samePlace reports whether a and b can be incarnations of one server, the one at the place of the other.
func samePlace(a, b *Instance) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots && a.Cheap == b.Cheap
}

// continuedBy reports whether x is a later announcement of the same sender, whose number is not far ahead.
// That holds only for numbers heard from the sender: an entry that an earlier leader saved has the number of
// its last change.
func (c *claim) continuedBy(x *Instance, now time.Time) bool {
	return c.Instance.SameIncarnation(x) && x.Seq > c.Seq && (c.count == 0 || !c.farAhead(x, now))
}

// yields reports whether the claim in force under an ID or at an address gives way to another claim that
// has just been announced. heard is when the sender of the claim in force was last heard of.
func (h *claim) yields(c *claim, contested bool, heard, now time.Time) bool {
	if h.State != Gone && h.Instance.SameIncarnation(&c.Instance) {
		return h.yieldsBelow(c, now)
	}
	since := c.reportsSince(heard)
	successor := c.Born > h.Born
	switch {
	case c.first.Before(h.first) && c.reportsSince(h.first) >= proofReports:
		return true
	case h.Unconfirmed:
		return successor && h.Born != 0 || c.reportsSince(c.displaced) >= proofReports
	case h.State == Gone && h.count == 0 && !c.displaced.IsZero():
		return true // the departure of an incarnation that was never heard of
	case h.State == Gone:
		return successor || since >= proofReports
	case successor && !contested && samePlace(&h.Instance, &c.Instance) && h.State == Ready && c.State == Ready:
		return true // a restart
	case !successor && h.count == 1 && c.displaced.Equal(h.first) && samePlace(&h.Instance, &c.Instance):
		return true // the one that seemed to have restarted goes on
	case successor && now.Sub(heard) > holdTime:
		return true
	}
	return since >= takeReports && c.reportsSince(c.displaced) >= takeReports
}

// departed reports whether an announcement is of an incarnation that has departed.
func (t *Table) departed(x *Instance) bool {
	if e := t.all[x.ID]; e != nil && e.State == Gone && !e.Unconfirmed && e.Born == x.Born {
		return true
	}
	return slices.ContainsFunc(t.claims[x.ID], func(c *claim) bool { return c.State == Gone && c.Born == x.Born })
}

// claimOf returns the claim that an announcement continues, a new one if it continues none, and nil if it
// is late or if there are too many.
func (t *Table) claimOf(x *Instance, now time.Time) *claim {
	e := t.all[x.ID]
	inForce := e != nil && e.Instance.SameIncarnation(x)
	if inForce && (x.Seq == e.Seq || x.Seq < e.Seq && e.State == Gone && x.Seq >= e.leap) {
		return nil
	}
	var latest *claim
	for _, c := range t.claims[x.ID] {
		switch {
		case !c.Instance.SameIncarnation(x):
		case c.Seq == x.Seq:
			return nil
		case c.Seq > x.Seq:
		case c.farAhead(x, now) && (c.count > 1 || inForce && e.State != Gone && x.Seq > e.Seq):
		case inForce && e.State != Gone && c.Seq < e.Seq && e.Seq < x.Seq:
		case latest == nil || c.Seq > latest.Seq:
			latest = c
		}
	}
	if latest != nil {
		return latest
	}
	c := &claim{Instance: *x}
	if !t.addClaim(c) {
		return nil
	}
	return c
}

// addClaim adds a claim that is not in force. Where an ID has too many, the one that was announced least
// is left out.
func (t *Table) addClaim(c *claim) bool {
	all := t.claims[c.ID]
	if all == nil && len(t.claims) >= maxClaimed {
		return false
	}
	if len(all) == maxClaims {
		least := slices.MinFunc(all, func(a, b *claim) int {
			if a.count != b.count {
				return a.count - b.count
			}
			return a.lastContact.Compare(b.lastContact)
		})
		all = slices.DeleteFunc(all, func(x *claim) bool { return x == least })
	}
	t.claims[c.ID] = append(all, c)
	return true
}

func (t *Table) dropClaim(c *claim) {
	all := slices.DeleteFunc(t.claims[c.ID], func(x *claim) bool { return x == c })
	if t.claims[c.ID] = all; len(all) == 0 {
		delete(t.claims, c.ID)
	}
}

// contested reports whether a later incarnation under the ID of an entry has given way to it.
func (t *Table) contested(e *entry) bool {
	return slices.ContainsFunc(t.claims[e.ID], func(c *claim) bool { return c.Born > e.Born && !c.displaced.IsZero() })
}

// coldOfSuccessor returns until when an instance is cold if the later incarnation that has given way to it
// lately is the true one.
func (t *Table) coldOfSuccessor(x *Instance, now time.Time) (until int64) {
	for _, c := range t.claims[x.ID] {
		if c.Born > x.Born && samePlace(&c.Instance, x) && now.Sub(c.lastContact) <= holdTime {
			until = max(until, c.ColdUntil)
		}
	}
	return until
}

// holderAgainst returns an entry that does not yield to a claim, nil if there is none.
func (t *Table) holderAgainst(c *claim, now time.Time) *entry {
	if e := t.all[c.ID]; e != nil && !e.yields(c, t.contested(e), t.lastHeard(e), now) && !t.leads(c, e, now) {
		return e
	}
	for _, e := range t.all {
		if e.ID != c.ID && e.Addr == c.Addr && e.State != Gone && !e.yields(c, false, t.lastHeard(e), now) {
			return e
		}
	}
	return nil
}

// take puts a claim in force and returns the instances that have lost their ID or address to it.
func (t *Table) take(c *claim, now time.Time) (displaced []Instance) {
	t.dropClaim(c)
	c.displaced = time.Time{}
	disputed := false
	if e := t.all[c.ID]; e != nil && e.State != Gone && e.Instance.SameIncarnation(&c.Instance) {
		disputed = c.Seq > e.Seq && t.disputed(e, now)
		c.follow(&e.claim, disputed, now)
	}
	for _, x := range slices.Clone(t.claims[c.ID]) {
		if x.Instance.SameIncarnation(&c.Instance) && x.Seq < c.Seq && !(disputed && x.Seq < c.leap) {
			t.dropClaim(x) // announcements that have come late
		}
	}
	for _, e := range t.all {
		if e.ID != c.ID && e.Addr == c.Addr && e.State != Gone {
			displaced = append(displaced, e.Instance)
			t.hide(e, now)
			t.revise(e)
		}
	}
	e := t.all[c.ID]
	if e == nil {
		e = &entry{}
		t.all[c.ID] = e
	}
	before := e.Instance
	if e.ID != "" && !e.Unconfirmed {
		if e.State != Gone {
			displaced = append(displaced, e.Instance)
		}
		t.setAside(e, now)
	}
	e.claim = *c
	e.ColdUntil = max(e.ColdUntil, t.coldOfSuccessor(&e.Instance, now))
	t.announced(e, &before)
	return displaced
}

// setAside keeps the claim of an entry that another one replaces.
func (t *Table) setAside(e *entry, now time.Time) {
	c := e.claim
	c.displaced = now
	t.addClaim(&c)
}

func (t *Table) expireClaims(now time.Time) {
	for _, all := range t.claims {
		for _, c := range slices.Clone(all) {
			if now.Sub(c.lastContact) > goneRetention {
				t.dropClaim(c)
			}
		}
	}
}

// markDisplaced finds the instances that a leader of an older version took for gone, since another one had
// announced their address.
func (t *Table) markDisplaced() {
	holders := map[string]*entry{}
	for _, e := range t.all {
		if e.State != Gone {
			holders[e.Addr] = e
		}
	}
	for _, e := range t.all {
		if h := holders[e.Addr]; e.State == Gone && h != nil && h.Born > e.Born && e.Addr != "" {
			e.Unconfirmed = true
		}
	}
}
