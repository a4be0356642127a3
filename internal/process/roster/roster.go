package roster

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// State is what an instance says of itself.
type State string

// States of an instance.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
)

// Periods of the table.
const (
	// silentLongest is how long an instance may be silent before it is
	// dropped. A server that is cut off from control may still serve, so it
	// is far longer than the announcement period of 1.2 s.
	silentLongest = 40 * time.Second
	// goneKept is how long a departure is remembered: longer than the 12 s
	// that a late call may take.
	goneKept = 60 * time.Second
)

// Instance is one start of a backend server.
type Instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	// Slots is the requests that it runs at once.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// Born is the Unix millisecond of its start, zero if it is not told.
	Born int64 `json:"born"`
	// Seq grows with every announcement of this start.
	Seq uint64 `json:"seq"`
	// ColdUntil is the Unix millisecond until which it is slow; the clock is
	// that of the host that took the announcement.
	ColdUntil int64 `json:"colduntil,omitempty"`
	// Weights holds the version of each model that it has loaded.
	Weights map[string]uint64 `json:"weights,omitempty"`
	// Cheap instances may be reclaimed at short notice.
	Cheap bool `json:"cheap,omitempty"`
}

// sameTraffic reports whether hosts that do not look at weights need not learn of b
// after a.
func sameTraffic(a, b *Instance) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.State == b.State && a.Born == b.Born && a.Slots == b.Slots &&
		a.Zone == b.Zone && a.Cheap == b.Cheap && coldChanged(a.ColdUntil, b.ColdUntil)
}

// coldSlack is how far two statements of the same cold end may differ.
const coldSlack = 400

func coldChanged(a, b int64) bool { return a-b < coldSlack && b-a < coldSlack }

// Table holds the instances. It is not safe for concurrent use.
type Table struct {
	// Revision grows with every change that hosts must learn. Traffic is the
	// revision of the latest change of more than weights.
	Revision, RoutingRevision uint64
	all                       map[string]*entry
}

type entry struct {
	Instance
	heard time.Time
}

// New returns an empty table whose revisions start above base.
func New(base uint64) *Table {
	return &Table{Revision: base, RoutingRevision: base, all: map[string]*entry{}}
}

// Announce takes in an announcement. It reports whether it was newer than
// what is held.
func (t *Table) Announce(x Instance, now time.Time) bool {
	held := t.all[x.ID]
	if held != nil && !newer(&x, &held.Instance) {
		return false
	}
	t.displace(x, now)
	switch {
	case held == nil || !sameTraffic(&held.Instance, &x):
		t.changed()
	case !maps.Equal(held.Weights, x.Weights):
		t.Revision++
	}
	t.all[x.ID] = &entry{x, now}
	return true
}

// changed counts a change that all hosts must learn.
func (t *Table) changed() {
	t.Revision++
	t.RoutingRevision = t.Revision
}

// newer orders the announcements of one name.
func newer(x, held *Instance) bool {
	if x.Born != held.Born {
		return x.Born > held.Born
	}
	if held.State == Gone {
		return false
	}
	return x.Seq > held.Seq
}

// displace ends the older instances at the address of a new one.
func (t *Table) displace(x Instance, now time.Time) {
	if x.State == Gone || x.Addr == "" {
		return
	}
	for id, e := range t.all {
		if id != x.ID && e.Addr == x.Addr && e.State != Gone && e.Born < x.Born {
			e.State, e.heard = Gone, now
			t.changed()
		}
	}
}

// Depart takes in that an instance leaves. The start is that of the call, or
// zero if it is not told.
func (t *Table) Depart(id string, born int64, now time.Time) {
	held := t.all[id]
	if held == nil {
		t.all[id] = &entry{Instance{ID: id, Born: born, State: Gone}, now}
		return
	}
	if held.State == Gone || born != 0 && born < held.Born {
		return
	}
	held.State, held.heard = Gone, now
	t.changed()
}

// Expire drops the instances that have been silent for too long.
func (t *Table) Expire(now time.Time) {
	for id, e := range t.all {
		limit := silentLongest
		if e.State == Gone {
			limit = goneKept
		}
		if now.Sub(e.heard) <= limit {
			continue
		}
		delete(t.all, id)
		if e.State != Gone {
			t.changed()
		}
	}
}

// AllTraffic returns every instance without its weights, by name.
func (t *Table) AllWithoutWeights() []Instance {
	out := t.All()
	for i := range out {
		out[i].Weights = nil
	}
	return out
}

// Heard returns when an instance was last heard from.
func (t *Table) LastHeard(id string) time.Time {
	if e := t.all[id]; e != nil {
		return e.heard
	}
	return time.Time{}
}

// Get returns an instance.
func (t *Table) Get(id string) (Instance, bool) {
	e := t.all[id]
	if e == nil {
		return Instance{}, false
	}
	return e.Instance, true
}

// All returns every instance, the departed ones too, by name.
func (t *Table) All() []Instance {
	out := make([]Instance, 0, len(t.all))
	for _, e := range t.all {
		out = append(out, e.Instance)
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Load takes in the instances that another table held.
func (t *Table) Load(all []Instance, now time.Time) {
	for _, x := range all {
		if held := t.all[x.ID]; held == nil || newer(&x, &held.Instance) {
			t.all[x.ID] = &entry{x, now}
			t.changed()
		}
	}
}

// Live returns the instances that have not gone, by name.
func (t *Table) Live() []Instance {
	var out []Instance
	for _, e := range t.all {
		if e.State != Gone {
			out = append(out, e.Instance)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}
