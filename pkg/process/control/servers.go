package control

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/fleet"
	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/version/record"
)

// orderServers turns demand into orders by availability zone and sends the
// ones that the platform has not confirmed lately.
func (s *Server) orderServers(ctx context.Context) {
	if s.cfg.Platform.OrdersURL == "" {
		return
	}
	if time.Since(s.planned) >= planPeriod {
		s.planned = time.Now()
		s.plan(ctx)
	}
	if time.Since(s.ordered) < orderPeriod {
		return
	}
	s.ordered = time.Now()
	var orders []ledger.Order
	if s.onLeader(ctx, func() error { orders = sortedOrders(s.ledger.Orders); return nil }) != nil {
		return
	}
	for _, o := range orders {
		s.sendOrder(ctx, o)
	}
}

func sortedOrders(all map[string]ledger.Order) []ledger.Order {
	var out []ledger.Order
	for _, o := range all {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b ledger.Order) int { return int(a.Number) - int(b.Number) })
	return out
}

// orderAnswer is the platform's answer to an order.
type orderAnswer struct {
	// Short counts the servers that can not be had now.
	Short int `json:"short"`
}

func (s *Server) sendOrder(ctx context.Context, o ledger.Order) {
	body, err := json.Marshal(o)
	if err != nil {
		return
	}
	answer, err := s.post(ctx, s.cfg.Platform.OrdersURL, o.Number, body)
	if err != nil {
		s.scope.Counter("orders_failed").Inc(1)
		return
	}
	s.scope.Counter("orders_sent").Inc(1)
	var a orderAnswer
	if json.Unmarshal(answer, &a) == nil {
		_ = s.do(ctx, func() { s.fleet.ReportShortage(o.Zone, o.Pool, a.Short, time.Now()) })
	}
}

// plan commits the orders that differ from the standing ones.
func (s *Server) plan(ctx context.Context) {
	var orders []fleet.Order
	err := s.onLeader(ctx, func() error {
		if s.leadership.settled(time.Now()) {
			orders = s.fleet.Plan(s.fleetDemand(), s.fleetZones(), s.standing(), time.Now())
		}
		return nil
	})
	if err != nil {
		return
	}
	for _, o := range orders {
		_, err := s.propose(ctx, ledger.Command{Order: &ledger.Order{Zone: o.Zone, Pool: o.Pool, Steady: o.Steady, Cheap: o.Cheap}})
		if err != nil {
			return
		}
		s.ordered = time.Time{}
	}
}

// standing returns the orders in force.
func (s *Server) standing() []fleet.Order {
	var out []fleet.Order
	for _, o := range sortedOrders(s.ledger.Orders) {
		out = append(out, fleet.Order{Zone: o.Zone, Pool: o.Pool, Steady: o.Steady, Cheap: o.Cheap})
	}
	return out
}

// fleetDemand sums the offered load of every pool over the live hosts. The
// backlog does not count: it grows while fresh servers warm up, and would order
// many more than are needed. Pools that
// zones name are listed without demand too, so that their least is ordered.
func (s *Server) fleetDemand() []fleet.Demand {
	now := time.Now()
	amounts := map[string]float64{}
	for _, z := range s.fleetZones() {
		for pool := range z.Max {
			amounts[pool] = 0
		}
	}
	for name, h := range s.leadership.hosts {
		if !s.leadership.leases.Live(name, now) {
			continue
		}
		for pool, amount := range h.load {
			amounts[pool] += amount
		}
	}
	bears := map[string]int{}
	for _, b := range s.leadership.backends {
		bears[b.announced.Pool] = max(bears[b.announced.Pool], b.ramp.Capacity)
		amounts[b.announced.Pool] += 0
	}
	var out []fleet.Demand
	for pool, amount := range amounts {
		out = append(out, fleet.Demand{Pool: pool, Amount: amount, ServerCapacity: max(1, bears[pool])})
	}
	return out
}

func (s *Server) fleetZones() []fleet.Zone {
	var out []fleet.Zone
	for _, r := range s.ledger.List(record.KindZone) {
		z, err := record.Decode[record.Zone](r)
		if err != nil || len(z.MaxServers) == 0 {
			continue
		}
		out = append(out, fleet.Zone{Name: r.Name, Available: z.State == "in", Min: z.MinServers, Max: z.MaxServers, Price: z.Price, Cheap: z.SpotShare})
	}
	return out
}
