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
	silenceTimeout = 40 * time.Second
	// goneKept is how long a departure is remembered: longer than the 12 s
	// that a late call may take.
	goneRetention = 60 * time.Second
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
func sameForRouting(a, b *Instance) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.State == b.State && a.Born == b.Born && a.Slots == b.Slots &&
		a.Zone == b.Zone && a.Cheap == b.Cheap && coldUnchanged(a.ColdUntil, b.ColdUntil)
}

// coldSlack is how far two statements of the same cold end may differ.
const coldTolerance = 400

func coldUnchanged(a, b int64) bool { return a-b < coldTolerance && b-a < coldTolerance }

// Table holds the instances. It is not safe for concurrent use.
type Table struct {
	// Revision grows with every change that hosts must learn. Traffic is the
	// revision of the latest change of more than weights.
	Revision, RoutingRevision uint64
	all                       map[string]*entry
}

type entry struct {
	Instance
	lastHeard time.Time
}

// New returns an empty table whose revisions start above base.
func New(base uint64) *Table {
	return &Table{Revision: base, RoutingRevision: base, all: map[string]*entry{}}
}

// Announce takes in an announcement. It reports whether it was newer than
// what is held.
func (t *Table) Announce(x Instance, now time.Time) bool {
	current := t.all[x.ID]
	if current != nil && !newer(&x, &current.Instance) {
		return false
	}
	t.displace(x, now)
	switch {
	case current == nil || !sameForRouting(&current.Instance, &x):
		t.bumpRevisions()
	case !maps.Equal(current.Weights, x.Weights):
		t.Revision++
	}
	t.all[x.ID] = &entry{x, now}
	return true
}

// changed counts a change that all hosts must learn.
func (t *Table) bumpRevisions() {
	t.Revision++
	t.RoutingRevision = t.Revision
}

// newer orders the announcements of one name.
func newer(x, current *Instance) bool {
	if x.Born != current.Born {
		return x.Born > current.Born
	}
	if current.State == Gone {
		return false
	}
	return x.Seq > current.Seq
}

// displace ends the older instances at the address of a new one.
func (t *Table) displace(x Instance, now time.Time) {
	if x.State == Gone || x.Addr == "" {
		return
	}
	for id, e := range t.all {
		if id != x.ID && e.Addr == x.Addr && e.State != Gone && e.Born < x.Born {
			e.State, e.lastHeard = Gone, now
			t.bumpRevisions()
		}
	}
}

// Depart takes in that an instance leaves. The start is that of the call, or
// zero if it is not told.
func (t *Table) Depart(id string, born int64, now time.Time) {
	current := t.all[id]
	if current == nil {
		t.all[id] = &entry{Instance{ID: id, Born: born, State: Gone}, now}
		return
	}
	if current.State == Gone || born != 0 && born < current.Born {
		return
	}
	current.State, current.lastHeard = Gone, now
	t.bumpRevisions()
}

// Expire drops the instances that have been silent for too long.
func (t *Table) Expire(now time.Time) {
	for id, e := range t.all {
		limit := silenceTimeout
		if e.State == Gone {
			limit = goneRetention
		}
		if now.Sub(e.lastHeard) <= limit {
			continue
		}
		delete(t.all, id)
		if e.State != Gone {
			t.bumpRevisions()
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
		return e.lastHeard
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
		if current := t.all[x.ID]; current == nil || newer(&x, &current.Instance) {
			t.all[x.ID] = &entry{x, now}
			t.bumpRevisions()
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
