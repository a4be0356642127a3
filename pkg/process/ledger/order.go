package ledger

// Order is an intent to have a number of backend servers. It is committed
// before it is sent, so that a new leader sends the same order again.
type Order struct {
	// Number grows with each new order, over all zones and pools.
	Number uint64 `json:"number"`
	Zone   string `json:"zone"`
	Pool   string `json:"pool"`
	// Steady and Cheap count the servers wanted of each class.
	Steady int `json:"steady"`
	Cheap  int `json:"cheap"`
}

// OrderKey returns the key of an order in Ledger.Orders.
func OrderKey(zone, pool string) string { return zone + "/" + pool }

// order assigns the next number, unless the order already stands.
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
