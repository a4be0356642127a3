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

// orderServers plans orders for servers by availability zone from the demand, and sends the
// current orders to the platform at once after a change and then every orderRepeatInterval.
func (s *Server) orderServers(ctx context.Context) {
	if s.cfg.Platform.OrdersURL == "" {
		return
	}
	if time.Since(s.lastPlan) >= planInterval {
		s.lastPlan = time.Now()
		s.planOrders(ctx)
	}
	if time.Since(s.lastOrders) < orderRepeatInterval {
		return
	}
	s.lastOrders = time.Now()
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
	// Missing is the number of servers that the platform cannot provide now.
	Missing int `json:"short"`
}

func (s *Server) sendOrder(ctx context.Context, o ledger.Order) {
	body, err := json.Marshal(o)
	if err != nil {
		return
	}
	answer, err := s.postOrder(ctx, s.cfg.Platform.OrdersURL, o.Number, body)
	if err != nil {
		s.scope.Counter("orders_failed").Inc(1)
		return
	}
	s.scope.Counter("orders_sent").Inc(1)
	var a orderAnswer
	if json.Unmarshal(answer, &a) == nil {
		_ = s.do(ctx, func() { s.fleet.ReportShortage(o.Zone, o.Pool, a.Missing, time.Now()) })
	}
}

// planOrders plans orders and commits those that differ from the current ones.
func (s *Server) planOrders(ctx context.Context) {
	var orders []fleet.Order
	err := s.onLeader(ctx, func() error {
		if s.leadership.oldLeasesExpired(time.Now()) {
			orders = s.fleet.Plan(s.fleetDemand(), s.fleetZones(), s.currentOrders(), time.Now())
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
		s.lastOrders = time.Time{}
	}
}

// currentOrders returns the committed orders.
func (s *Server) currentOrders() []fleet.Order {
	var out []fleet.Order
	for _, o := range sortedOrders(s.ledger.Orders) {
		out = append(out, fleet.Order{Zone: o.Zone, Pool: o.Pool, Steady: o.Steady, Cheap: o.Cheap})
	}
	return out
}

// fleetDemand returns the offered load of every pool, summed over the live hosts. The
// backlog is not included: it grows while new servers warm up and would lead to orders for
// many more servers than are needed. Pools that a zone names are included even without
// demand, so that their minimum is ordered.
func (s *Server) fleetDemand() []fleet.Demand {
	now := time.Now()
	amounts := map[string]float64{}
	for _, z := range s.fleetZones() {
		for pool := range z.MaxServers {
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
	capacity := map[string]int{}
	for _, b := range s.leadership.backends {
		capacity[b.announced.Pool] = max(capacity[b.announced.Pool], b.ramp.Capacity)
		amounts[b.announced.Pool] += 0
	}
	var out []fleet.Demand
	for pool, amount := range amounts {
		out = append(out, fleet.Demand{Pool: pool, Amount: amount, ServerCapacity: max(1, capacity[pool])})
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
		out = append(out, fleet.Zone{Name: r.Name, Available: z.State == "in", MinServers: z.MinServers, MaxServers: z.MaxServers, Price: z.Price, SpotShare: z.SpotShare})
	}
	return out
}
