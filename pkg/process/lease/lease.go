// Package lease tracks grants that run for a fixed period from the moment at
// which the holder asked for them.
//
// The holder counts from the send time of its request and the granter from the
// arrival of that request, which is later. So a holder always stops before the
// granter believes that it has stopped, whatever the network does in between.
package lease

import "time"

// Holder is the holder's side of a lease. The zero value holds nothing.
type Holder struct {
	// Until is the end of the lease. It never moves back.
	Until time.Time
}

// Extend takes in a grant that was asked for at sent.
func (h *Holder) Extend(sent time.Time, period time.Duration) {
	if until := sent.Add(period); until.After(h.Until) {
		h.Until = until
	}
}

// Valid reports whether the lease is held at now.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.Until) }

// Table is the granter's side: the leases of many holders. It is not safe for
// concurrent use.
type Table[K comparable] struct {
	// Period is the length of every grant.
	Period time.Duration
	// Allowance is added for the drift between the two clocks.
	Allowance time.Duration
	until     map[K]time.Time
}

// NewTable returns an empty table.
func NewTable[K comparable](period, allowance time.Duration) *Table[K] {
	return &Table[K]{Period: period, Allowance: allowance, until: map[K]time.Time{}}
}

// Grant notes a grant whose request arrived at now.
func (t *Table[K]) Grant(k K, now time.Time) {
	t.until[k] = now.Add(t.Period + t.Allowance)
}

// Live reports whether k may still hold its lease.
func (t *Table[K]) Live(k K, now time.Time) bool {
	until, ok := t.until[k]
	return ok && now.Before(until)
}

// Release ends the lease of k at the holder's request.
func (t *Table[K]) Release(k K) { delete(t.until, k) }

// Expire removes and returns the holders whose lease has ended.
func (t *Table[K]) Expire(now time.Time) []K {
	var gone []K
	for k, until := range t.until {
		if !now.Before(until) {
			gone = append(gone, k)
			delete(t.until, k)
		}
	}
	return gone
}

// Len returns the number of leases that were granted and not removed.
func (t *Table[K]) Len() int { return len(t.until) }
