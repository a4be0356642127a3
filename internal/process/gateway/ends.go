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

// endPollInterval is the interval between checks whether all ends have been delivered.
const endPollInterval = 20 * time.Millisecond

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
}

func newEndSender(stores *storeClient, log *logrus.Entry, scope tally.Scope, retention time.Duration) *endSender {
	return &endSender{stores: stores, log: log, scope: scope, wake: make(chan struct{}, 1), queue: endqueue.New(retention)}
}

// add queues an end that may not have been delivered.
func (s *endSender) add(x endqueue.End) {
	s.mu.Lock()
	dropped := s.queue.Add(x, time.Now())
	s.scope.Gauge("ends_waiting").Update(float64(s.queue.Len()))
	s.mu.Unlock()
	s.logLost(dropped, "too many ends are waiting")
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
	expired := s.queue.Expire(now)
	x, wait, ok = s.queue.Next(now)
	s.mu.Unlock()
	s.logLost(expired, "the batch is not stored any more")
	return x, wait, ok
}

// deliver sends one end to the store leader.
func (s *endSender) deliver(ctx context.Context, x endqueue.End) {
	o, err := s.stores.end(ctx, &fleet.BatchKey{Batch: x.Batch, Workspace: x.Workspace})
	known := !isNotFound(err)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && known {
		s.queue.Failed(x, now)
		return
	}
	s.queue.Delivered(x)
	s.scope.Gauge("ends_waiting").Update(float64(s.queue.Len()))
	s.log.WithFields(logrus.Fields{"batch": x.Batch, "known": known, "age_ms": now.Sub(x.Asked).Milliseconds()}).
		WithFields(o.logFields()).Info("batch end delivered late")
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

func (s *endSender) logLost(ends []endqueue.End, reason string) {
	for _, x := range ends {
		s.log.WithFields(logrus.Fields{"batch": x.Batch, "reason": reason}).Warn("batch end given up")
	}
}
