package control

import (
	"context"
	"time"
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
	from := s.chargeFrom.Load()
	return from != nil && !now.Before(*from)
}
