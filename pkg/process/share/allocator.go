// Package share splits what each resource bears over several holders, so that
// the parts never add up to more than the whole, also while holders join,
// leave and change their minds.
//
// A holder reports for each resource what it may be using: the larger of its
// share in force and what it still runs. The allocator counts that as held
// until the holder's next report says less, or until the holder's lease has
// ended. A share grows only into room that nobody holds.
package share

import (
	"cmp"
	"slices"
)

// Holding is a holder's report on one resource.
type Holding struct {
	// Share is the share that the holder has in force.
	Share int
	// Running is what the holder uses at this moment.
	Running int
}

// Allocator owns the shares of many resources. It is not safe for concurrent
// use.
type Allocator struct {
	resources map[string]*resource
}

// resource is one divided resource.
type resource struct {
	limit int
	// held counts what each holder may be using.
	held map[string]int
	// total is the sum over held.
	total int
}

// NewAllocator returns an allocator without resources.
func NewAllocator() *Allocator { return &Allocator{resources: map[string]*resource{}} }

func (a *Allocator) resource(name string) *resource {
	r := a.resources[name]
	if r == nil {
		r = &resource{held: map[string]int{}}
		a.resources[name] = r
	}
	return r
}

func (r *resource) set(holder string, n int) {
	r.total += n - r.held[holder]
	if n == 0 {
		delete(r.held, holder)
		return
	}
	r.held[holder] = n
}

// SetLimit sets what a resource bears.
func (a *Allocator) SetLimit(name string, limit int) { a.resource(name).limit = limit }

// Remove forgets a resource that nobody holds and reports whether it did.
func (a *Allocator) Remove(name string) bool {
	if r := a.resources[name]; r != nil && r.total > 0 {
		return false
	}
	delete(a.resources, name)
	return true
}

// Report replaces what is known of a holder by its report.
func (a *Allocator) Report(holder string, holdings map[string]Holding) {
	for name, r := range a.resources {
		if _, ok := holdings[name]; !ok {
			r.set(holder, 0)
		}
	}
	for name, h := range holdings {
		a.resource(name).set(holder, max(h.Share, h.Running))
	}
}

// Grant returns the holder's new share of a resource, at most want. The holder
// must have reported since its last grant.
func (a *Allocator) Grant(holder, name string, want int) int {
	r := a.resource(name)
	before := r.held[holder]
	room := max(0, r.limit-(r.total-before))
	n := min(want, room)
	r.set(holder, max(before, n))
	return n
}

// Drop releases everything that a holder held.
func (a *Allocator) Drop(holder string) {
	for _, r := range a.resources {
		r.set(holder, 0)
	}
}

// Held returns the sum of what the holders may be using, and the limit.
func (a *Allocator) InUse(name string) (held, limit int) {
	if r := a.resources[name]; r != nil {
		return r.total, r.limit
	}
	return 0, 0
}

// Claim is one holder's weight in a division.
type Claim struct {
	Holder string
	// Weight is not negative.
	Weight float64
}

// Divide splits total into whole parts in proportion to the weights (largest
// remainder method). Ties go to the higher rank. owed carries what rounding has
// withheld from each holder on to the division of the next resource, so that
// the sums over many small resources are in proportion too; it may be nil.
func Divide(total int, claims []Claim, owed map[string]float64, rank func(holder string) uint64) map[string]int {
	parts := make(map[string]int, len(claims))
	sum := 0.0
	for _, c := range claims {
		sum += c.Weight
	}
	if sum <= 0 || total <= 0 {
		return parts
	}
	type rest struct {
		holder   string
		fraction float64
		rank     uint64
	}
	var rests []rest
	left := total
	for _, c := range claims {
		exact := float64(total) * c.Weight / sum
		parts[c.Holder] = int(exact)
		left -= int(exact)
		rests = append(rests, rest{c.Holder, exact - float64(int(exact)) + owed[c.Holder], rank(c.Holder)})
	}
	slices.SortFunc(rests, func(a, b rest) int {
		return cmp.Or(cmp.Compare(b.fraction, a.fraction), cmp.Compare(b.rank, a.rank), cmp.Compare(a.holder, b.holder))
	})
	for i, r := range rests {
		if i < left {
			parts[r.holder]++
			r.fraction--
		}
		if owed != nil {
			owed[r.holder] = r.fraction
		}
	}
	return parts
}

// Want is the demand of one party with its weight.
type Demand struct {
	Party  string
	Weight float64
	Amount float64
}

// FairSplit is weighted max-min fairness: it gives each party what it wants,
// or its weighted part of the capacity if that is less, and splits what is
// left over in the same way (Bertsekas and Gallager, "Data Networks", 1992,
// section 6.5.2).
func FairSplit(capacity float64, wants []Demand) map[string]float64 {
	out := make(map[string]float64, len(wants))
	sorted := slices.Clone(wants)
	slices.SortFunc(sorted, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Amount*b.Weight, b.Amount*a.Weight), cmp.Compare(a.Party, b.Party))
	})
	weights := 0.0
	for _, w := range sorted {
		weights += w.Weight
	}
	for _, w := range sorted {
		part := 0.0
		if weights > 0 {
			part = min(w.Amount, capacity*w.Weight/weights)
		}
		out[w.Party] = part
		capacity -= part
		weights -= w.Weight
	}
	return out
}
