package roster

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// State is the state that an instance announces.
type State string

// States of an instance.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
)

// Timeouts of the table.
const (
	// silenceTimeout is how long an instance may send no announcement before it is
	// removed. A server that is cut off from control may still serve requests, so the
	// timeout is far longer than the announcement interval of 1.2 s.
	silenceTimeout = 40 * time.Second
	// goneRetention is how long a departed instance is retained. It exceeds the 12 s by
	// which a call may be delayed.
	goneRetention = 60 * time.Second
)

// Instance is one incarnation of a backend server. A server that restarts keeps its ID
// and gets a new start time.
type Instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	// Slots is the number of requests that the instance runs concurrently.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// Born is the start time of the instance in Unix milliseconds, zero if it was not
	// announced.
	Born int64 `json:"born"`
	// Seq increases with every announcement of this incarnation.
	Seq uint64 `json:"seq"`
	// ColdUntil is the time in Unix milliseconds until which the instance is slow after
	// its start, by the steady clock of the leader that sends it.
	ColdUntil int64 `json:"colduntil,omitempty"`
	// Cold is the same time by the monotonic clock of the host that received the instance from the
	// leader; zero if the leader has not said what its clock is.
	Cold time.Time `json:"-"`
	// Weights holds the loaded version of each model.
	Weights map[string]uint64 `json:"weights,omitempty"`
	// Software is the version of the server's software, empty if it was not announced. What two
	// versions write does not fit together, and they have no order.
	Software string `json:"software,omitempty"`
	// Unconfirmed is true for an instance that is gone by the word of another one, which announces its
	// address, or of a sender that did not name its incarnation. It is back when it goes on announcing itself.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Leaving is true if the server has said in a response that it leaves. Its announcements may
	// say otherwise.
	Leaving bool `json:"leaving,omitempty"`
	// Cheap is true for spot instances, which may be reclaimed at short notice.
	Cheap bool `json:"cheap,omitempty"`
}

// SameIncarnation reports whether a and b announce one incarnation. Its service and address do not change.
func (a *Instance) SameIncarnation(b *Instance) bool {
	return a.ID == b.ID && a.Born == b.Born && a.Service == b.Service && a.Addr == b.Addr
}

// sameForRouting reports whether the change from a to b affects none of the fields that
// hosts without interest in weights use.
func sameForRouting(a, b *Instance) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.State == b.State && a.Born == b.Born && a.Slots == b.Slots &&
		a.Zone == b.Zone && a.Software == b.Software && a.Cheap == b.Cheap && coldUnchanged(a.ColdUntil, b.ColdUntil)
}

// coldTolerance is the difference in milliseconds up to which two announced values of
// ColdUntil count as equal.
const coldTolerance = 400

func coldUnchanged(a, b int64) bool { return a-b < coldTolerance && b-a < coldTolerance }

// maxRemoved bounds the removed instances that Since knows of.
const maxRemoved = 4096

// Table holds the current entry of each instance. It is not safe for concurrent use.
type Table struct {
	// Revision increases with every change that hosts must receive. RoutingRevision is
	// the revision of the latest change that affects more than weights.
	Revision, RoutingRevision uint64
	all                       map[string]*entry
	// claims holds the claims to an ID that are not in force.
	claims map[string][]*claim
	// floor is the lowest revision from which Since knows all changes.
	floor uint64
	// removed holds the removed instances and the first revision without them.
	removed map[string]uint64
	// software is when an instance of each software version was last heard of.
	software map[softwareKey]time.Time
}

// entry is the claim in force under an ID.
type entry struct {
	claim
	// changed and routed are the revisions of the latest change, and of the latest one that
	// affects more than weights.
	changed, routed uint64
}

// New returns an empty table whose revisions start above base.
func New(base uint64) *Table {
	return &Table{Revision: base, RoutingRevision: base, floor: base, all: map[string]*entry{}, claims: map[string][]*claim{}, removed: map[string]uint64{},
		software: map[softwareKey]time.Time{}}
}

// Outcome is what an announcement led to.
type Outcome struct {
	// Instance is what was announced.
	Instance Instance
	// Newer is false for a late announcement, which changes nothing.
	Newer bool
	// Holder is the instance that goes on holding the ID or the address, nil if there is none: the
	// announcement is acknowledged, and the instance waits. First is true for the first such announcement.
	Holder *Instance
	First  bool
	// Displaced are the instances that have lost their ID or address to this one.
	Displaced []Instance
}

// Announce applies an announcement.
func (t *Table) Announce(x Instance, now time.Time) Outcome {
	e := t.all[x.ID]
	if t.departed(&x) {
		return Outcome{Instance: x}
	}
	if e != nil && e.State != Gone && e.continuedBy(&x, now) {
		x.ColdUntil = max(x.ColdUntil, t.coldOfSuccessor(&x, now))
		before := e.Instance
		if e.farAhead(&x, now) {
			e.leap, e.leapAt = x.Seq, now
		}
		e.add(x, now)
		t.announced(e, &before)
		return Outcome{Instance: x, Newer: true}
	}
	c := t.claimOf(&x, now)
	if c == nil {
		return Outcome{Instance: x}
	}
	if c.add(x, now); t.late(c, now) {
		return Outcome{Instance: x}
	}
	if h := t.holderAgainst(c, now); h != nil {
		if h.Instance.SameIncarnation(&x) && x.Seq <= h.Seq {
			return Outcome{Instance: x}
		}
		holder := h.Instance
		return Outcome{Instance: x, Newer: true, Holder: &holder, First: c.count == 1}
	}
	return Outcome{Instance: x, Newer: true, Displaced: t.take(c, now)}
}

// Settle puts the claims in force that are due, and returns what that led to, by instance in the order of the
// IDs. A server may announce that it drains only once, with a number far ahead.
func (t *Table) Settle(now time.Time) []Outcome {
	var out []Outcome
	for _, id := range slices.Sorted(maps.Keys(t.claims)) {
		all := slices.Clone(t.claims[id])
		slices.SortFunc(all, func(a, b *claim) int { return cmp.Compare(a.Seq, b.Seq) })
		for _, c := range all {
			if e := t.all[id]; e == nil || !t.leads(c, e, now) || t.holderAgainst(c, now) != nil {
				continue
			}
			out = append(out, Outcome{Instance: c.Instance, Newer: true, Displaced: t.take(c, now)})
		}
	}
	return out
}

// announced counts what an accepted announcement has changed.
func (t *Table) announced(e *entry, before *Instance) {
	if e.State != Gone {
		t.software[softwareKey{e.Service, e.Software}] = e.lastContact
	}
	switch {
	case !sameForRouting(before, &e.Instance):
		t.revise(e)
	case !maps.Equal(before.Weights, e.Weights):
		t.Revision++
		e.changed = t.Revision
	}
}

// revise counts a change of an entry that all hosts must receive.
func (t *Table) revise(e *entry) {
	t.bumpRevisions()
	e.changed, e.routed = t.Revision, t.Revision
	delete(t.removed, e.ID)
}

// bumpRevisions counts a change that all hosts must receive.
func (t *Table) bumpRevisions() {
	t.Revision++
	t.RoutingRevision = t.Revision
}

// remove drops an entry. Hosts learn of it with the next change if it is not one by itself.
func (t *Table) remove(e *entry) {
	delete(t.all, e.ID)
	t.removed[e.ID] = t.Revision + 1
	if e.State != Gone {
		t.bumpRevisions()
	}
	if len(t.removed) > maxRemoved {
		t.floor = t.Revision + 1
		clear(t.removed)
	}
}

// newer reports whether x supersedes the current entry of the same ID when copies are merged.
func newer(x, current *Instance) bool {
	if x.Born != current.Born {
		return x.Born > current.Born
	}
	if current.State == Gone {
		return false
	}
	return x.Seq > current.Seq
}

// Depart marks an instance as gone. born is the start time that the instance sent, zero if it sent none: then
// it is gone until it goes on announcing itself, since another writer may have sent the departure. One of a
// later incarnation that was not heard of holds until the present one announces itself again; one of an
// earlier incarnation is ignored.
func (t *Table) Depart(id string, born int64, now time.Time) {
	current, waits := t.all[id], false
	for _, c := range t.claims[id] {
		if born != 0 && c.Born == born {
			c.State, c.lastContact, waits = Gone, now, true
		}
	}
	switch {
	case current == nil:
		t.all[id] = &entry{claim: claim{Instance: Instance{ID: id, Born: born, State: Gone, Unconfirmed: born == 0}, lastContact: now}}
	case born == 0 || born == current.Born:
		t.departNow(current, born == 0, now)
	case waits || born < current.Born:
	case current.State == Gone:
		current.Born, current.Unconfirmed, current.lastContact = born, false, now
	case t.contested(current):
		t.addClaim(&claim{Instance: Instance{ID: id, Born: born, State: Gone}, lastContact: now})
	default:
		t.setAside(current, now)
		current.claim = claim{Instance: current.Instance, lastContact: now}
		current.Born, current.State = born, Gone
		t.revise(current)
	}
}

func (t *Table) departNow(e *entry, unconfirmed bool, now time.Time) {
	switch {
	case e.State == Gone && (!e.Unconfirmed || unconfirmed):
		return
	case e.State == Gone:
		e.Unconfirmed, e.lastContact = false, now
	case unconfirmed:
		t.hide(e, now)
	default:
		e.State, e.lastContact = Gone, now
	}
	t.software[softwareKey{e.Service, e.Software}] = now
	t.revise(e)
}

// hide shows an entry as gone until its instance goes on announcing itself.
func (t *Table) hide(e *entry, now time.Time) {
	for _, c := range t.claims[e.ID] {
		if c.Instance.SameIncarnation(&e.Instance) {
			c.displaced = now
		}
	}
	t.setAside(e, now)
	e.claim = claim{Instance: e.Instance, lastContact: now, leap: e.leap, leapAt: e.leapAt}
	e.State, e.Unconfirmed = Gone, true
}

// Leave marks an instance as draining because it has said so in a response. Its later
// announcements do not change that, until it starts again. It reports whether that was new.
func (t *Table) Leave(id string, born int64) bool {
	current := t.all[id]
	if current == nil || current.Born != born || current.State != Ready {
		return false
	}
	current.State, current.Leaving = Draining, true
	t.revise(current)
	return true
}

// Expire removes the instances that have sent no announcement within silenceTimeout, departed ones
// after goneRetention, and software versions after softwareRetention.
func (t *Table) Expire(now time.Time) {
	t.expireSoftware(now)
	t.expireClaims(now)
	for _, e := range t.all {
		limit := silenceTimeout
		if e.State == Gone {
			limit = goneRetention
		}
		if now.Sub(t.lastHeard(e)) > limit {
			t.remove(e)
		}
	}
}

// Since returns the instances that have changed since a revision, and the IDs of those that were
// removed since then, both sorted by ID. With routing, changes that affect only weights are left
// out, and so are the weights. It returns false if the changes since that revision are not known.
func (t *Table) Since(revision uint64, routing bool) (changed []Instance, removed []string, ok bool) {
	if revision < t.floor || revision > t.Revision {
		return nil, nil, false
	}
	for _, e := range t.all {
		switch {
		case routing && e.routed > revision:
			x := e.Instance
			x.Weights = nil
			changed = append(changed, x)
		case !routing && e.changed > revision:
			changed = append(changed, e.Instance)
		}
	}
	for id, at := range t.removed {
		if at > revision {
			removed = append(removed, id)
		}
	}
	slices.SortFunc(changed, byID)
	slices.Sort(removed)
	return changed, removed, true
}

func byID(a, b Instance) int { return strings.Compare(a.ID, b.ID) }

// Merge returns the instances of a roster with the result of Since applied. All lists are sorted
// by ID; the former roster is not modified.
func Merge(all, changed []Instance, removed []string) []Instance {
	out := make([]Instance, 0, len(all)+len(changed))
	for _, x := range all {
		if _, found := slices.BinarySearchFunc(changed, x, byID); found {
			continue
		}
		if _, found := slices.BinarySearch(removed, x.ID); !found {
			out = append(out, x)
		}
	}
	out = append(out, changed...)
	slices.SortFunc(out, byID)
	return out
}

// AllWithoutWeights returns all instances without their weights, including departed
// ones, sorted by ID.
func (t *Table) AllWithoutWeights() []Instance {
	out := t.All()
	for i := range out {
		out[i].Weights = nil
	}
	return out
}

// LastContact returns the time of the latest accepted announcement or departure of an
// instance, or the zero time if the instance is unknown.
func (t *Table) LastContact(id string) time.Time {
	if e := t.all[id]; e != nil {
		return e.lastContact
	}
	return time.Time{}
}

// Get returns the instance with the given ID.
func (t *Table) Get(id string) (Instance, bool) {
	e := t.all[id]
	if e == nil {
		return Instance{}, false
	}
	return e.Instance, true
}

// All returns all instances, including departed ones, sorted by ID.
func (t *Table) All() []Instance {
	out := make([]Instance, 0, len(t.all))
	for _, e := range t.all {
		out = append(out, e.Instance)
	}
	slices.SortFunc(out, byID)
	return out
}

// Load merges the instances of another table; the newer entry of each instance is
// retained.
func (t *Table) Load(all []Instance, now time.Time) {
	for _, x := range all {
		if current := t.all[x.ID]; current == nil || newer(&x, &current.Instance) {
			e := &entry{claim: claim{Instance: x, first: now, lastContact: now, leap: x.Seq, leapAt: now}}
			t.all[x.ID] = e
			if x.Service != "" {
				t.software[softwareKey{x.Service, x.Software}] = now
			}
			t.revise(e)
		}
	}
	t.markDisplaced()
}

// Live returns the instances that have not departed, sorted by ID.
func (t *Table) Live() []Instance {
	var out []Instance
	for _, e := range t.all {
		if e.State != Gone {
			out = append(out, e.Instance)
		}
	}
	slices.SortFunc(out, byID)
	return out
}
