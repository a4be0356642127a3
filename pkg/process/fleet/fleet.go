// Package fleet decides how many backend servers to order in each availability
// zone, so that spending follows the service that is needed.
package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is the need of one pool.
type Demand struct {
	Pool string
	// Amount is the number of requests that run or wait.
	Amount float64
	// Bears is what one server of the pool bears.
	ServerCapacity int
}

// Zone is an availability zone that servers can be ordered in.
type Zone struct {
	Name string
	// In is false while the zone is out; nothing is ordered there.
	Available bool
	// Least and Most bound the servers by pool. Pools without Most are not
	// ordered in the zone.
	Min, Max map[string]int
	// Price is the cost of a steady server for an hour.
	Price float64
	// Cheap is the part of the servers that may be reclaimable.
	Cheap float64
}

// Order is the number of servers to have in a zone.
type Order struct {
	Zone, Pool    string
	Steady, Cheap int
}

// Planner turns demand into orders. It is not safe for concurrent use.
type Planner struct {
	// Headroom is the part of the demand that is ordered on top of it.
	Headroom float64
	// ScaleDownDelay is how long a lower need must last before less is ordered.
	ScaleDownDelay time.Duration
	// ShortFor is how long a zone that could not deliver is avoided.
	ShortageCooldown time.Duration
	peaks            map[string][]peak
	short            map[string]shortage
}

// peak is a need at a point in time.
type peak struct {
	at   time.Time
	need int
}

// shortage is a number of servers that could not be had.
type shortage struct {
	missing int
	until   time.Time
}

// New returns a planner without history.
func New(headroom float64, patience, shortFor time.Duration) *Planner {
	return &Planner{Headroom: headroom, ScaleDownDelay: patience, ShortageCooldown: shortFor,
		peaks: map[string][]peak{}, short: map[string]shortage{}}
}

// Short notes how many servers of an order could not be had.
func (p *Planner) ReportShortage(zone, pool string, missing int, now time.Time) {
	if missing > 0 {
		p.short[zone+"/"+pool] = shortage{missing, now.Add(p.ShortageCooldown)}
		return
	}
	delete(p.short, zone+"/"+pool)
}

// Plan returns the orders that differ from the standing ones.
func (p *Planner) Plan(demands []Demand, zones []Zone, standing []Order, now time.Time) []Order {
	var out []Order
	for _, d := range demands {
		for _, o := range p.planPool(d, zones, now) {
			if !slices.Contains(standing, o) {
				out = append(out, o)
			}
		}
	}
	slices.SortFunc(out, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Pool, b.Pool))
	})
	return out
}

// need returns the servers for a demand: the highest need within ScaleDownDelay, so
// that a short dip orders nothing away.
func (p *Planner) need(d Demand, now time.Time) int {
	n := int(math.Ceil(d.Amount * (1 + p.Headroom) / float64(d.ServerCapacity)))
	kept := slices.DeleteFunc(p.peaks[d.Pool], func(x peak) bool {
		return now.Sub(x.at) > p.ScaleDownDelay || x.need <= n
	})
	p.peaks[d.Pool] = append(kept, peak{now, n})
	return p.peaks[d.Pool][0].need
}

// planPool spreads a pool's need over the zones: every zone gets its least,
// the rest goes where a server costs least, one at a time, evenly among equals.
func (p *Planner) planPool(d Demand, zones []Zone, now time.Time) []Order {
	counts := map[string]int{}
	left := p.need(d, now)
	var usable []Zone
	for _, z := range zones {
		if _, ok := z.Max[d.Pool]; !ok {
			continue
		}
		if z.Available {
			usable = append(usable, z)
			counts[z.Name] = z.Min[d.Pool]
			left -= counts[z.Name] - p.missing(z.Name, d.Pool, counts[z.Name], now)
		}
	}
	for ; left > 0; left-- {
		z, ok := p.nextZone(usable, counts, d.Pool, now)
		if !ok {
			break
		}
		counts[z]++
	}
	return orders(d.Pool, zones, counts)
}

// missing is how many of n servers can not be had in a zone now.
func (p *Planner) missing(zone, pool string, n int, now time.Time) int {
	s := p.short[zone+"/"+pool]
	if now.After(s.until) {
		return 0
	}
	return min(n, s.missing)
}

// nextZone returns the zone that gets the next server.
func (p *Planner) nextZone(zones []Zone, counts map[string]int, pool string, now time.Time) (string, bool) {
	best := -1
	for i, z := range zones {
		if counts[z.Name] >= z.Max[pool] || now.Before(p.short[z.Name+"/"+pool].until) {
			continue
		}
		if best < 0 || cheaper(z, zones[best], counts) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return zones[best].Name, true
}

// cheaper compares by price, then spreads.
func cheaper(a, b Zone, counts map[string]int) bool {
	if a.Price != b.Price {
		return a.Price < b.Price
	}
	return counts[a.Name] < counts[b.Name]
}

func orders(pool string, zones []Zone, counts map[string]int) []Order {
	var out []Order
	for _, z := range zones {
		if _, ok := z.Max[pool]; !ok {
			continue
		}
		cheap := int(float64(counts[z.Name]) * z.Cheap)
		out = append(out, Order{Zone: z.Name, Pool: pool, Steady: counts[z.Name] - cheap, Cheap: cheap})
	}
	return out
}
