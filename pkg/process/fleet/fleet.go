// Package fleet plans how many backend servers to order in each availability zone, so
// that cost follows demand.
package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is the demand for one pool.
type Demand struct {
	Pool string
	// Amount is the number of concurrent requests to provide for.
	Amount float64
	// ServerCapacity is the number of concurrent requests of one server of the pool.
	ServerCapacity int
}

// Zone is an availability zone in which servers can be ordered.
type Zone struct {
	Name string
	// Available is false while the zone is out of service; no servers are ordered there.
	Available bool
	// Min and Max limit the number of servers by pool. A pool without an entry in Max
	// is not ordered in the zone.
	MinServers, MaxServers map[string]int
	// Price is the hourly cost of a steady (non-reclaimable) server.
	Price float64
	// Cheap is the fraction of the servers that may be reclaimable.
	SpotShare float64
}

// Order is the target number of servers of a pool in a zone.
type Order struct {
	Zone, Pool    string
	Steady, Cheap int
}

// Planner computes orders from demand. It is not safe for concurrent use.
type Planner struct {
	// Headroom is the fraction of the demand that is ordered in addition to it.
	Headroom float64
	// ScaleDownDelay is how long demand must stay lower before fewer servers are
	// ordered.
	ScaleDownDelay time.Duration
	// ShortageCooldown is how long a zone that could not provide servers is avoided.
	ShortageCooldown time.Duration
	peaks            map[string][]peak
	shortages        map[string]shortage
}

// peak is a number of needed servers at a point in time.
type peak struct {
	at   time.Time
	need int
}

// shortage is a number of servers that a zone could not provide.
type shortage struct {
	missing int
	until   time.Time
}

// New returns a planner without history.
func New(headroom float64, scaleDownDelay, shortageCooldown time.Duration) *Planner {
	return &Planner{Headroom: headroom, ScaleDownDelay: scaleDownDelay, ShortageCooldown: shortageCooldown,
		peaks: map[string][]peak{}, shortages: map[string]shortage{}}
}

// ReportShortage records how many servers of an order the zone could not provide.
func (p *Planner) ReportShortage(zone, pool string, missing int, now time.Time) {
	if missing > 0 {
		p.shortages[zone+"/"+pool] = shortage{missing, now.Add(p.ShortageCooldown)}
		return
	}
	delete(p.shortages, zone+"/"+pool)
}

// Plan returns the orders that differ from the current ones.
func (p *Planner) Plan(demands []Demand, zones []Zone, current []Order, now time.Time) []Order {
	var out []Order
	for _, d := range demands {
		for _, o := range p.planPool(d, zones, now) {
			if !slices.Contains(current, o) {
				out = append(out, o)
			}
		}
	}
	slices.SortFunc(out, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Pool, b.Pool))
	})
	return out
}

// need returns the number of servers for a demand. This is the highest number within
// ScaleDownDelay, so that a short dip does not scale down.
func (p *Planner) need(d Demand, now time.Time) int {
	n := int(math.Ceil(d.Amount * (1 + p.Headroom) / float64(d.ServerCapacity)))
	recent := slices.DeleteFunc(p.peaks[d.Pool], func(x peak) bool {
		return now.Sub(x.at) > p.ScaleDownDelay || x.need <= n
	})
	p.peaks[d.Pool] = append(recent, peak{now, n})
	return p.peaks[d.Pool][0].need
}

// planPool spreads the servers that a pool needs over the zones. Every available zone
// gets its minimum; the others go one at a time to the zone with the lowest price, evenly
// among zones of equal price.
func (p *Planner) planPool(d Demand, zones []Zone, now time.Time) []Order {
	counts := map[string]int{}
	left := p.need(d, now)
	var usable []Zone
	for _, z := range zones {
		if _, ok := z.MaxServers[d.Pool]; !ok {
			continue
		}
		if z.Available {
			usable = append(usable, z)
			counts[z.Name] = z.MinServers[d.Pool]
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

// missing returns how many of n servers a zone cannot provide now.
func (p *Planner) missing(zone, pool string, n int, now time.Time) int {
	s := p.shortages[zone+"/"+pool]
	if now.After(s.until) {
		return 0
	}
	return min(n, s.missing)
}

// nextZone returns the zone that gets the next server: the cheapest one below its maximum
// and without a recent shortage.
func (p *Planner) nextZone(zones []Zone, counts map[string]int, pool string, now time.Time) (string, bool) {
	best := -1
	for i, z := range zones {
		if counts[z.Name] >= z.MaxServers[pool] || now.Before(p.shortages[z.Name+"/"+pool].until) {
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

// cheaper reports whether a has a lower price than b, or the same price and fewer servers.
func cheaper(a, b Zone, counts map[string]int) bool {
	if a.Price != b.Price {
		return a.Price < b.Price
	}
	return counts[a.Name] < counts[b.Name]
}

func orders(pool string, zones []Zone, counts map[string]int) []Order {
	var out []Order
	for _, z := range zones {
		if _, ok := z.MaxServers[pool]; !ok {
			continue
		}
		cheap := int(float64(counts[z.Name]) * z.SpotShare)
		out = append(out, Order{Zone: z.Name, Pool: pool, Steady: counts[z.Name] - cheap, Cheap: cheap})
	}
	return out
}
