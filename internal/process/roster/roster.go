package roster

import (
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
	// serviceHold is how long after its latest announcement an instance holds its ID against one of
	// another service, which comes from another writer: a server keeps its service.
	serviceHold = 5 * time.Second
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
	// its start, by the clock of the host that received the announcement.
	ColdUntil int64 `json:"colduntil,omitempty"`
	// Weights holds the loaded version of each model.
	Weights map[string]uint64 `json:"weights,omitempty"`
	// Software is the version of the server's software, empty if it was not announced. What two
	// versions write does not fit together, and they have no order.
	Software string `json:"software,omitempty"`
	// Leaving is true if the server has said in a response that it leaves. Its announcements may
	// say otherwise.
	Leaving bool `json:"leaving,omitempty"`
	// Cheap is true for spot instances, which may be reclaimed at short notice.
	Cheap bool `json:"cheap,omitempty"`
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
	// floor is the lowest revision from which Since knows all changes.
	floor uint64
	// removed holds the removed instances and the first revision without them.
	removed map[string]uint64
	// software is when an instance of each software version was last heard of.
	software map[softwareKey]time.Time
}

type entry struct {
	Instance
	lastContact time.Time
	// changed and routed are the revisions of the latest change, and of the latest one that
	// affects more than weights.
	changed, routed uint64
}

// New returns an empty table whose revisions start above base.
func New(base uint64) *Table {
	return &Table{Revision: base, RoutingRevision: base, floor: base, all: map[string]*entry{}, removed: map[string]uint64{},
		software: map[softwareKey]time.Time{}}
}

// Announce applies an announcement and reports whether it was newer than the current
// entry.
func (t *Table) Announce(x Instance, now time.Time) bool {
	current := t.all[x.ID]
	if current != nil && (!newer(&x, &current.Instance) || current.holdsAgainst(&x, now)) {
		return false
	}
	t.displace(x, now)
	if x.State != Gone {
		t.software[softwareKey{x.Service, x.Software}] = now
	}
	if current != nil && current.Leaving && current.Born == x.Born {
		if x.Leaving = true; x.State == Ready {
			x.State = Draining
		}
	}
	e := &entry{Instance: x, lastContact: now}
	if current != nil {
		e.changed, e.routed = current.changed, current.routed
	}
	t.all[x.ID] = e
	switch {
	case current == nil || !sameForRouting(&current.Instance, &x):
		t.revise(e)
	case !maps.Equal(current.Weights, x.Weights):
		t.Revision++
		e.changed = t.Revision
	}
	return true
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

// newer reports whether announcement x supersedes the current entry of the same ID.
func newer(x, current *Instance) bool {
	if x.Born != current.Born {
		return x.Born > current.Born
	}
	if current.State == Gone {
		return false
	}
	return x.Seq > current.Seq
}

// holdsAgainst reports whether an announcement of another service under the same ID is ignored.
func (e *entry) holdsAgainst(x *Instance, now time.Time) bool {
	return e.State != Gone && e.Service != x.Service && now.Sub(e.lastContact) < serviceHold
}

// displace marks older instances at the address of a new one as gone.
func (t *Table) displace(x Instance, now time.Time) {
	if x.State == Gone || x.Addr == "" {
		return
	}
	for id, e := range t.all {
		if id != x.ID && e.Addr == x.Addr && e.State != Gone && e.Born < x.Born {
			e.State, e.lastContact = Gone, now
			t.revise(e)
		}
	}
}

// Depart marks an instance as gone. born is the start time that the instance sent, or
// zero if it sent none; the departure of an earlier incarnation is ignored.
func (t *Table) Depart(id string, born int64, now time.Time) {
	current := t.all[id]
	if current == nil {
		t.all[id] = &entry{Instance: Instance{ID: id, Born: born, State: Gone}, lastContact: now}
		return
	}
	if current.State == Gone || born != 0 && born < current.Born {
		return
	}
	current.State, current.lastContact = Gone, now
	t.software[softwareKey{current.Service, current.Software}] = now
	t.revise(current)
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
	for _, e := range t.all {
		limit := silenceTimeout
		if e.State == Gone {
			limit = goneRetention
		}
		if now.Sub(e.lastContact) > limit {
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
			e := &entry{Instance: x, lastContact: now}
			t.all[x.ID] = e
			if x.Service != "" {
				t.software[softwareKey{x.Service, x.Software}] = now
			}
			t.revise(e)
		}
	}
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
