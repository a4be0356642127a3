package control

import (
	"context"
	"time"
)

// Periods and margins of the duties.
const (
	leaderTaskInterval = 250 * time.Millisecond
	// sendMargin is kept between the deadline of an order and the lease's end.
	orderLeaseMargin = 100 * time.Millisecond
	// orderPeriod repeats orders so that a platform that lost one hears it.
	orderRepeatInterval = 2 * time.Second
	// planPeriod is the period at which demand is turned into orders.
	planInterval = time.Second
)

// runDuties carries out what only the leader may do, one goroutine a duty.
func (s *Server) runLeaderTasks(ctx context.Context) {
	done := make(chan struct{})
	for _, task := range []func(context.Context){s.orderServers, s.orderWeights, s.reportUsage} {
		go func() {
			defer func() { done <- struct{}{} }()
			s.runLeaderTask(ctx, task)
		}()
	}
	for range 3 {
		<-done
	}
}

func (s *Server) runLeaderTask(ctx context.Context, task func(context.Context)) {
	tick := time.NewTicker(leaderTaskInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.mayRunLeaderTasks(time.Now()) {
			task(ctx)
		}
	}
}

// inCharge reports whether this process may carry out duties: it leads, and
// every lease that a former leader could hold has ended.
func (s *Server) mayRunLeaderTasks(now time.Time) bool {
	if s.checkLeader() != nil {
		return false
	}
	from := s.leaderTasksFrom.Load()
	return from != nil && !now.Before(*from)
}
