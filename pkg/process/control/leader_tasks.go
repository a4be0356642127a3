package control

import (
	"context"
	"time"
)

// Intervals and margins of the leader tasks.
const (
	leaderTaskInterval = 250 * time.Millisecond
	// orderLeaseMargin is the time between the deadline of an order and the end of the
	// lease.
	orderLeaseMargin = 100 * time.Millisecond
	// orderRepeatInterval is the interval at which orders are sent again, in case the
	// platform lost one.
	orderRepeatInterval = 2 * time.Second
	// planInterval is the interval at which orders are planned from the demand.
	planInterval = time.Second
)

// runLeaderTasks runs each leader task on a goroutine of its own.
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

// mayRunLeaderTasks reports whether this process may run leader tasks: it leads, and every
// lease that an earlier leader could hold has ended.
func (s *Server) mayRunLeaderTasks(now time.Time) bool {
	if s.checkLeader() != nil {
		return false
	}
	from := s.leaderTasksFrom.Load()
	return from != nil && !now.Before(*from)
}
