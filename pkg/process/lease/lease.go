// Package lease tracks leases that run for a fixed duration from the time of the holder's
// request.
//
// The holder counts the duration from the time at which it sends the request, the granter
// from the time at which the request arrives, which is later. A lease therefore always
// expires at the holder before it expires at the granter, whatever the network delay.
package lease

import "time"

// Holder is the holder's side of a lease. The zero value is an expired lease.
type Holder struct {
	// Until is the end of the lease. It never decreases.
	Until time.Time
}

// Extend applies a grant whose request was sent at sent. It never shortens the lease.
func (h *Holder) Extend(sent time.Time, duration time.Duration) {
	if until := sent.Add(duration); until.After(h.Until) {
		h.Until = until
	}
}

// Valid reports whether the lease is valid at now.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.Until) }

// Table is the granter's side of the leases of many holders. It is not safe for
// concurrent use.
type Table[K comparable] struct {
	// Duration is the length of a lease, which starts anew with every grant.
	Duration time.Duration
	// Allowance is added to the duration for the drift between the two clocks.
	Allowance time.Duration
	until     map[K]time.Time
}

// NewTable returns an empty table.
func NewTable[K comparable](duration, allowance time.Duration) *Table[K] {
	return &Table[K]{Duration: duration, Allowance: allowance, until: map[K]time.Time{}}
}

// Grant records a grant to k whose request arrived at now.
func (t *Table[K]) Grant(k K, now time.Time) {
	t.until[k] = now.Add(t.Duration + t.Allowance)
}

// Live reports whether the lease of k may still be valid at the holder.
func (t *Table[K]) Live(k K, now time.Time) bool {
	until, ok := t.until[k]
	return ok && now.Before(until)
}

// Release ends the lease of k at the holder's request.
func (t *Table[K]) Release(k K) { delete(t.until, k) }

// Expire removes and returns the holders whose lease has expired.
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

// Len returns the number of leases that were granted and neither released nor removed by
// Expire.
func (t *Table[K]) Len() int { return len(t.until) }
