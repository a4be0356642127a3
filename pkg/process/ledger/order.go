package ledger

// Order asks the platform for a number of backend servers in a zone and pool. It
// is committed before it is sent, so that a new leader resends the same order.
type Order struct {
	// Number increases with each new order, across all zones and pools.
	Number uint64 `json:"number"`
	Zone   string `json:"zone"`
	Pool   string `json:"pool"`
	// Steady and Cheap are the wanted numbers of on-demand and of reclaimable
	// (spot) servers.
	Steady int `json:"steady"`
	Cheap  int `json:"cheap"`
}

// OrderKey returns the key of an order in Ledger.Orders.
func OrderKey(zone, pool string) string { return zone + "/" + pool }

// order stores an order under the next number and returns the number. If the
// latest order for the zone and pool has the same counts, its number is returned.
func (l *Ledger) order(o Order) uint64 {
	key := OrderKey(o.Zone, o.Pool)
	if old, ok := l.Orders[key]; ok && old.Steady == o.Steady && old.Cheap == o.Cheap {
		return old.Number
	}
	l.OrderNumber++
	o.Number = l.OrderNumber
	l.Orders[key] = o
	return o.Number
}
