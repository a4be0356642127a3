// Package share divides the capacity of each resource among several holders. The shares
// of a resource never add up to more than its limit, also while holders join, leave and
// change their demand.
//
// A holder reports for each resource the amount that it may be using: the larger of its
// share in force and its current usage. The allocator counts that amount as in use until
// the holder's next report is lower or the holder's lease has ended. A share grows only
// only by capacity that no holder may be using.
package share

import (
	"cmp"
	"slices"
)

// Holding is a holder's report on one resource.
type Holding struct {
	// Share is the share that the holder has in force.
	Share int
	// Running is the holder's current usage.
	Running int
}

// Allocator tracks the shares of many resources. It is not safe for concurrent use.
type Allocator struct {
	resources map[string]*resource
}

// resource is the allocation state of one resource.
type resource struct {
	limit int
	// inUse is the amount that each holder may be using.
	inUse map[string]int
	// total is the sum over inUse.
	total int
}

// NewAllocator returns an allocator without resources.
func NewAllocator() *Allocator { return &Allocator{resources: map[string]*resource{}} }

func (a *Allocator) resource(name string) *resource {
	r := a.resources[name]
	if r == nil {
		r = &resource{inUse: map[string]int{}}
		a.resources[name] = r
	}
	return r
}

func (r *resource) set(holder string, n int) {
	r.total += n - r.inUse[holder]
	if n == 0 {
		delete(r.inUse, holder)
		return
	}
	r.inUse[holder] = n
}

// SetLimit sets the capacity of a resource.
func (a *Allocator) SetLimit(name string, limit int) { a.resource(name).limit = limit }

// Remove deletes a resource unless a holder may be using it, and reports whether it did.
func (a *Allocator) Remove(name string) bool {
	if r := a.resources[name]; r != nil && r.total > 0 {
		return false
	}
	delete(a.resources, name)
	return true
}

// Report replaces the usage recorded for a holder with that of its report.
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

// Grant returns the holder's new share of a resource, at most want. The holder must
// have reported since its last grant.
func (a *Allocator) Grant(holder, name string, want int) int {
	r := a.resource(name)
	before := r.inUse[holder]
	room := max(0, r.limit-(r.total-before))
	n := min(want, room)
	r.set(holder, max(before, n))
	return n
}

// Drop releases all shares of a holder.
func (a *Allocator) Drop(holder string) {
	for _, r := range a.resources {
		r.set(holder, 0)
	}
}

// InUse returns the total that the holders may be using of a resource, and its limit.
func (a *Allocator) InUse(name string) (inUse, limit int) {
	if r := a.resources[name]; r != nil {
		return r.total, r.limit
	}
	return 0, 0
}

// HolderWeight is the weight of one holder in a division.
type HolderWeight struct {
	Holder string
	// Weight is not negative.
	Weight float64
}

// Divide splits total into integer parts in proportion to the weights (largest remainder
// method). Ties go to the higher rank. roundingError carries the fraction that rounding
// has withheld from each holder over to the division of the next resource, so that the
// sums over many small resources are in proportion too; it may be nil.
func Divide(total int, weights []HolderWeight, roundingError map[string]float64, rank func(holder string) uint64) map[string]int {
	parts := make(map[string]int, len(weights))
	sum := 0.0
	for _, c := range weights {
		sum += c.Weight
	}
	if sum <= 0 || total <= 0 {
		return parts
	}
	type remainder struct {
		holder   string
		fraction float64
		rank     uint64
	}
	var remainders []remainder
	left := total
	for _, c := range weights {
		exact := float64(total) * c.Weight / sum
		parts[c.Holder] = int(exact)
		left -= int(exact)
		remainders = append(remainders, remainder{c.Holder, exact - float64(int(exact)) + roundingError[c.Holder], rank(c.Holder)})
	}
	slices.SortFunc(remainders, func(a, b remainder) int {
		return cmp.Or(cmp.Compare(b.fraction, a.fraction), cmp.Compare(b.rank, a.rank), cmp.Compare(a.holder, b.holder))
	})
	for i, r := range remainders {
		if i < left {
			parts[r.holder]++
			r.fraction--
		}
		if roundingError != nil {
			roundingError[r.holder] = r.fraction
		}
	}
	return parts
}

// Demand is the amount that one party requests and its weight.
type Demand struct {
	Party  string
	Weight float64
	Amount float64
}

// FairSplit divides the capacity by weighted max-min fairness. It gives each party the
// amount it requests, or its weighted share of the capacity if that is less, and divides
// the remainder in the same way (Bertsekas and Gallager, "Data Networks", 1992, section
// 6.5.2).
func FairSplit(capacity float64, demands []Demand) map[string]float64 {
	out := make(map[string]float64, len(demands))
	sorted := slices.Clone(demands)
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
