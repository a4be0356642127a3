package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/fleet"
	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/version/record"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// Periods and margins of the duties.
const (
	dutyPeriod = 250 * time.Millisecond
	// sendMargin is kept between the deadline of an order and the lease's end.
	sendMargin = 100 * time.Millisecond
	// orderPeriod repeats orders so that a platform that lost one hears it.
	orderPeriod = 2 * time.Second
	// planPeriod is the period at which demand is turned into orders.
	planPeriod = time.Second
)

// Headers of an order. The platform and engines that check the fencing number
// refuse one that is lower than the highest they have seen.
const (
	fenceHeader  = "X-Fence"
	numberHeader = "X-Number"
)

// RefusedOrderError reports an order that its receiver did not take.
type RefusedOrderError struct {
	Target string
	Status int
}

func (e *RefusedOrderError) Error() string {
	return fmt.Sprintf("%s answered %d", e.Target, e.Status)
}

// NoLeaseError reports an order that was not sent, since the lease is too short.
type NoLeaseError struct{ Left time.Duration }

func (e *NoLeaseError) Error() string { return "order not sent, lease left " + e.Left.String() }

// runDuties carries out what only the leader may do, one goroutine a duty.
func (s *Server) runDuties(ctx context.Context) {
	done := make(chan struct{})
	for _, duty := range []func(context.Context){s.orderServers, s.orderWeights, s.reportUsage} {
		go func() {
			defer func() { done <- struct{}{} }()
			s.runDuty(ctx, duty)
		}()
	}
	for range 3 {
		<-done
	}
}

func (s *Server) runDuty(ctx context.Context, duty func(context.Context)) {
	tick := time.NewTicker(dutyPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.inCharge(time.Now()) {
			duty(ctx)
		}
	}
}

// inCharge reports whether this process may carry out duties: it leads, and
// every lease that a former leader could hold has ended.
func (s *Server) inCharge(now time.Time) bool {
	if s.leading() != nil {
		return false
	}
	start := s.chargeFrom.Load()
	return start > 0 && now.UnixNano() >= start
}

// post sends one order. The lease is checked right before the request is
// written, and the request ends before the lease does.
func (s *Server) post(ctx context.Context, url string, number uint64, body []byte) ([]byte, error) {
	term, left, ok := s.node.Holds()
	if !ok || left <= sendMargin {
		return nil, &NoLeaseError{Left: left}
	}
	ctx, cancel := context.WithTimeout(ctx, left-sendMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // the transport must not send an order twice by itself
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(fenceHeader, fmt.Sprint(term))
	req.Header.Set(numberHeader, fmt.Sprint(number))
	res, err := s.orders.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, 1<<16))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return answer, &RefusedOrderError{Target: url, Status: res.StatusCode}
	}
	return answer, nil
}

// guardedConn checks the lease before every write, so that an order whose
// process was frozen on its way to the socket does not leave it later.
type guardedConn struct {
	net.Conn
	holds func() (term uint64, left time.Duration, ok bool)
	term  uint64
}

// Write writes p while the lease of the order's term is held.
func (c *guardedConn) Write(p []byte) (int, error) {
	if term, left, ok := c.holds(); !ok || term != c.term {
		return 0, &NoLeaseError{Left: left}
	}
	return c.Conn.Write(p)
}

// newOrderClient returns a client whose connections are guarded.
func (s *Server) newOrderClient() *http.Client {
	d := &net.Dialer{}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		term, left, ok := s.node.Holds()
		if !ok {
			return nil, &NoLeaseError{Left: left}
		}
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: c, holds: s.node.Holds, term: term}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial}}
}

// orderServers turns demand into orders by availability zone and sends the
// ones that the platform has not confirmed lately.
func (s *Server) orderServers(ctx context.Context) {
	if s.cfg.Platform.Orders == "" {
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
	answer, err := s.post(ctx, s.cfg.Platform.Orders, o.Number, body)
	if err != nil {
		s.scope.Counter("orders_failed").Inc(1)
		return
	}
	s.scope.Counter("orders_sent").Inc(1)
	var a orderAnswer
	if json.Unmarshal(answer, &a) == nil {
		_ = s.do(ctx, func() { s.fleet.Short(o.Zone, o.Pool, a.Short, time.Now()) })
	}
}

// plan commits the orders that differ from the standing ones.
func (s *Server) plan(ctx context.Context) {
	var orders []fleet.Order
	err := s.onLeader(ctx, func() error {
		if s.reign.settled(time.Now()) {
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

// fleetDemand sums the demand of every pool over the live hosts.
func (s *Server) fleetDemand() []fleet.Demand {
	now := time.Now()
	amounts := map[string]float64{}
	for name, h := range s.reign.hosts {
		if !s.reign.leases.Live(name, now) {
			continue
		}
		for k, amount := range h.demand {
			amounts[k.pool] += amount
		}
	}
	bears := map[string]int{}
	for _, b := range s.reign.backends {
		bears[b.announced.Pool] = max(bears[b.announced.Pool], b.ramp.Bears)
		amounts[b.announced.Pool] += 0
	}
	var out []fleet.Demand
	for pool, amount := range amounts {
		out = append(out, fleet.Demand{Pool: pool, Amount: amount, Bears: max(1, bears[pool])})
	}
	return out
}

func (s *Server) fleetZones() []fleet.Zone {
	var out []fleet.Zone
	for _, r := range s.ledger.List(record.KindZone) {
		z, err := record.Decode[record.Zone](r)
		if err != nil || len(z.Most) == 0 {
			continue
		}
		out = append(out, fleet.Zone{Name: r.Name, In: z.State == "in", Least: z.Least, Most: z.Most, Price: z.Price, Cheap: z.Cheap})
	}
	return out
}

// reportUsage closes the usage window that is over and reports closed ones in
// order. A lost answer leads to the same bytes again.
func (s *Server) reportUsage(ctx context.Context) {
	if s.cfg.Platform.Usage == "" {
		return
	}
	now := time.Now()
	var due *ledger.Close
	var pending []ledger.Window
	err := s.onLeader(ctx, func() error {
		due = s.dueClose(now)
		pending = slices.Clone(s.ledger.Usage.Pending)
		return nil
	})
	if err != nil {
		return
	}
	if due != nil {
		if _, err := s.propose(ctx, ledger.Command{Close: due}); err != nil {
			return
		}
	}
	for _, w := range pending {
		if _, err := s.post(ctx, s.cfg.Platform.Usage, w.Number, w.Encode()); err != nil {
			s.scope.Counter("reports_failed").Inc(1)
			return
		}
		s.scope.Counter("reports_sent").Inc(1)
		if _, err := s.propose(ctx, ledger.Command{Report: &ledger.Report{Number: w.Number}}); err != nil {
			return
		}
	}
}

// dueClose returns the command that closes the open window, if it is over.
func (s *Server) dueClose(now time.Time) *ledger.Close {
	u := &s.ledger.Usage
	end := now.Truncate(time.Duration(s.cfg.Window)).UnixMilli()
	if !s.reign.settled(now) || end <= u.Start {
		return nil
	}
	c := &ledger.Close{Number: u.Next, Start: end - time.Duration(s.cfg.Window).Milliseconds(), End: end, Sources: map[string]map[string]ledger.Counters{}}
	for name, counters := range s.reign.usage {
		c.Sources[name] = counters
	}
	return c
}

// takeUsage keeps the latest counters of every incarnation.
func (s *Server) takeUsage(h *host) {
	s.reign.usage[ledger.SourceName(h.name, h.incarnation)] = h.usage
}

// swap is an order to load weights that is under way on a backend server.
type swap struct {
	rollout string
	version uint64
	until   time.Time
}

// loadOrder is the body of an order to load weights.
type loadOrder struct {
	Kind    string `json:"kind"`
	Rollout string `json:"rollout"`
	Version uint64 `json:"version"`
}

// weightOrder is an order to one backend server.
type weightOrder struct {
	id, url string
	load    loadOrder
}

// orderWeights sends the newest weight versions out in waves, so that only a
// part of each pool swaps at once.
func (s *Server) orderWeights(ctx context.Context) {
	var orders []weightOrder
	if s.onLeader(ctx, func() error { orders = s.nextWave(time.Now()); return nil }) != nil {
		return
	}
	done := make(chan struct{})
	for _, o := range orders {
		go func() {
			defer func() { done <- struct{}{} }()
			s.sendLoad(ctx, o)
		}()
	}
	for range orders {
		<-done
	}
}

func (s *Server) sendLoad(ctx context.Context, o weightOrder) {
	body, err := json.Marshal(o.load)
	if err != nil {
		return
	}
	if _, err := s.post(ctx, o.url, o.load.Version, body); err == nil {
		s.scope.Counter("swaps_ordered").Inc(1)
		return
	}
	s.scope.Counter("swaps_failed").Inc(1)
	_ = s.do(ctx, func() {
		if s.reign == nil {
			return
		}
		if b := s.reign.backends[o.id]; b != nil {
			b.swap = swap{until: time.Now().Add(swapRetry)}
		}
	})
}

// swapRetry is the pause after an order to load weights that failed.
const swapRetry = 500 * time.Millisecond

// nextWave picks the servers to swap next.
func (s *Server) nextWave(now time.Time) []weightOrder {
	var out []weightOrder
	rollouts := s.decoded().rollouts
	for _, name := range slices.Sorted(maps.Keys(rollouts)) {
		if version := s.ledger.Versions[name]; version > 0 {
			out = append(out, s.waveOf(name, rollouts[name].Pool, version, now)...)
		}
	}
	return out
}

func (s *Server) waveOf(rollout, pool string, version uint64, now time.Time) []weightOrder {
	var behind []*backend
	size, swapping := 0, 0
	for _, b := range s.reign.backends {
		a := b.announced
		if a.Pool != pool || a.Kind != "engine" || a.Leaving {
			continue
		}
		size++
		switch {
		case b.swap.version > 0 && a.Versions[b.swap.rollout] >= b.swap.version:
			b.swap = swap{}
		case now.Before(b.swap.until):
			swapping++
			continue
		}
		if a.Versions[rollout] < version {
			behind = append(behind, b)
		}
	}
	slices.SortFunc(behind, func(a, b *backend) int { return compareAnnounced(a.announced, b.announced) })
	room := max(1, int(s.cfg.Wave*float64(size))) - swapping
	var out []weightOrder
	for _, b := range behind[:max(0, min(room, len(behind)))] {
		b.swap = swap{rollout: rollout, version: version, until: now.Add(time.Duration(s.cfg.Swap))}
		out = append(out, weightOrder{b.announced.Id, "http://" + b.announced.Addr + "/orders",
			loadOrder{"load", rollout, version}})
	}
	return out
}

// compareAnnounced orders by the least loaded first.
func compareAnnounced(a, b *pb.Announcement) int {
	if a.Running != b.Running {
		return int(a.Running) - int(b.Running)
	}
	if a.Id < b.Id {
		return -1
	}
	return 1
}
