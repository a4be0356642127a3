package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/internal/request/endqueue"
	"github.com/plantainbank/plantainbank/service/fleet"
)

const (
	// endPollInterval is the interval between checks whether all ends have been delivered.
	endPollInterval = 20 * time.Millisecond
	// endLogInterval is the number of failed calls for each of which one is logged.
	endLogInterval = 10
)

// endSender delivers the ends of batches that their callers' own calls could not deliver. A
// caller may give up after a few attempts, but the items of its batch run until the end is
// delivered.
type endSender struct {
	stores *storeClient
	log    *logrus.Entry
	scope  tally.Scope
	wake   chan struct{}

	mu    sync.Mutex
	queue *endqueue.Queue

	// tries is the number of calls in a row that failed, last the host of the latest one. Only
	// the goroutine of run uses them.
	tries int
	last  string
}

func newEndSender(stores *storeClient, log *logrus.Entry, scope tally.Scope) *endSender {
	return &endSender{stores: stores, log: log, scope: scope, wake: make(chan struct{}, 1), queue: endqueue.New()}
}

// add queues an end that may not have been delivered.
func (s *endSender) add(x endqueue.End) {
	s.mu.Lock()
	dropped := s.queue.Add(x, time.Now())
	s.scope.Gauge("ends_waiting").Update(float64(s.queue.Len()))
	s.mu.Unlock()
	for _, x := range dropped {
		s.log.WithField("batch", x.Batch).Warn("batch end given up, too many are waiting")
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run delivers queued ends until ctx ends.
func (s *endSender) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		x, wait, ok := s.next(time.Now())
		if ok {
			s.deliver(ctx, x)
		} else if wait > 0 {
			timer.Reset(wait)
		}
		if ok && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

func (s *endSender) next(now time.Time) (x endqueue.End, wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Next(now)
}

// deliver sends one end to a store host, each time to another one while none leads.
func (s *endSender) deliver(ctx context.Context, x endqueue.End) {
	s.tries++
	o, err := s.stores.endOnce(ctx, &fleet.BatchKey{Batch: x.Batch, Workspace: x.Workspace}, s.last, s.tries)
	s.last = o.Addr
	known := !isNotFound(err)
	now := time.Now()
	fields := logrus.Fields{"batch": x.Batch, "known": known, "age_ms": now.Sub(x.Asked).Milliseconds()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && known {
		s.queue.Failed(x, now)
		if s.tries%endLogInterval == 1 {
			s.log.WithFields(fields).WithFields(o.logFields()).WithField("tries", s.tries).WithError(err).Warn("batch end not delivered yet")
		}
		return
	}
	s.tries = 0
	s.queue.Delivered(x)
	s.scope.Gauge("ends_waiting").Update(float64(s.queue.Len()))
	s.log.WithFields(fields).WithFields(o.logFields()).Info("batch end delivered late")
}

// await waits until all ends have been delivered or ctx ends.
func (s *endSender) await(ctx context.Context) {
	tick := time.NewTicker(endPollInterval)
	defer tick.Stop()
	for {
		s.mu.Lock()
		n := s.queue.Len()
		s.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-ctx.Done():
			s.log.WithField("ends", n).Warn("stopping with ends of batches that were not delivered")
			return
		case <-tick.C:
		}
	}
}
