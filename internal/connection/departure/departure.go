// Package departure knows the backend servers that have said in responses that they leave. It
// holds on this host at once, whether or not control can be reached. Load: a lookup for each server
// that a request might go to, some changes a second.
package departure

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
)

const (
	// maxMarks bounds the servers that are remembered.
	maxMarks = 4096
	// retention is how long a server that is not in the roster is remembered. A roster may lack a
	// server for a moment, after a change of the control leader for example.
	retention = time.Minute
)

// Incarnation is a backend server from its start to its end.
type Incarnation struct {
	ID string
	// Born is the start time in Unix milliseconds, zero if it was not announced.
	Born int64
}

type mark struct {
	born int64
	// announced is true if the roster says that the server leaves or has left.
	announced bool
	// absentSince is when the roster first lacked the server, zero while it has it.
	absentSince time.Time
}

// Set holds the servers that have said that they leave. It is safe for concurrent use.
type Set struct {
	mu sync.Mutex
	// all holds the marks by server ID. It is replaced, not modified.
	all atomic.Pointer[map[string]mark]
}

// NewSet returns an empty set.
func NewSet() *Set {
	s := &Set{}
	s.all.Store(&map[string]mark{})
	return s
}

// Leaves reports whether a server has said that it leaves.
func (s *Set) Leaves(x Incarnation) bool {
	m, ok := (*s.all.Load())[x.ID]
	return ok && m.born == x.Born
}

// Record adds a server and reports whether it is new. An earlier incarnation does not replace a later
// one.
func (s *Set) Record(x Incarnation) bool {
	if s.Leaves(x) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	all := *s.all.Load()
	m, ok := all[x.ID]
	if ok && m.born >= x.Born || !ok && len(all) >= maxMarks {
		return false
	}
	all = maps.Clone(all)
	all[x.ID] = mark{born: x.Born}
	s.all.Store(&all)
	return true
}

// Update compares the set with a new roster: servers that have started again since are forgotten.
func (s *Set) Update(instances []roster.Instance, now time.Time) {
	if len(*s.all.Load()) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := *s.all.Load()
	after := make(map[string]mark, len(before))
	found := map[string]bool{}
	for i := range instances {
		x := &instances[i]
		m, ok := before[x.ID]
		if !ok {
			continue
		}
		switch {
		case x.Born > m.born:
			found[x.ID] = true
		case x.Born == m.born && x.State != roster.Gone:
			found[x.ID] = true
			after[x.ID] = mark{born: m.born, announced: x.State != roster.Ready}
		}
	}
	for id, m := range before {
		if found[id] {
			continue
		}
		if m.announced = true; m.absentSince.IsZero() {
			m.absentSince = now
		}
		if now.Sub(m.absentSince) < retention {
			after[id] = m
		}
	}
	s.all.Store(&after)
}

// Unannounced returns the servers that the roster does not list as leaving, for the report to
// control.
func (s *Set) Unannounced() []Incarnation {
	var out []Incarnation
	for id, m := range *s.all.Load() {
		if !m.announced {
			out = append(out, Incarnation{id, m.born})
		}
	}
	return out
}
