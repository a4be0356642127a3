package director

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/internal/process/weights"
)

// Timing of the leader tasks.
const (
	taskInterval = 100 * time.Millisecond
	// callTimeout bounds one call to an engine or to the platform.
	callTimeout = time.Second
	// proposeTimeout bounds the commit of one log entry.
	proposeTimeout = 2 * time.Second
	// demandWait is how long after its election a leader waits for the report of the store
	// leader before it orders weights without it.
	demandWait = 2 * time.Second
	// bootstrapDelay lets store hosts of all availability zones report before the initial
	// voters are chosen.
	bootstrapDelay = 1500 * time.Millisecond
)

// runTasks runs the leader tasks while this process leads.
func (s *Server) runTasks(ctx context.Context) {
	tick := time.NewTicker(taskInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if _, self := s.Leader(); !self {
			continue
		}
		err := s.onLeader(ctx, func(l *leadership) error {
			s.runDueTasks(ctx, l, time.Now())
			return nil
		})
		var notLeader *NotLeaderError
		if err != nil && !errors.As(err, &notLeader) && ctx.Err() == nil {
			s.log.WithError(err).Warn("could not run the leader tasks")
		}
	}
}

// runDueTasks runs the tasks that are due. It runs on the control goroutine.
func (s *Server) runDueTasks(ctx context.Context, l *leadership, now time.Time) {
	s.settleRoster(l, now)
	before := l.roster.Revision
	l.roster.Expire(now)
	s.quarantine.Expire(now)
	if l.roster.Revision != before {
		s.notify()
	}
	s.logLateChanges(l, now)
	s.chooseStoreVoters(l, now)
	s.saveRoster(ctx, l, now)
	s.saveControls(ctx, l, now)
	if !s.mayAct(ctx, l, now) {
		return
	}
	s.orderWeights(ctx, l, now)
	s.reportUsage(ctx, l, now)
}

// saveRoster writes the roster to the log, so that the next leader starts with it even if
// all processes have ended.
func (s *Server) saveRoster(ctx context.Context, l *leadership, now time.Time) {
	if now.Sub(l.savedAt) >= saveRosterInterval && s.rosterReady(l, now) {
		s.saveRosterNow(ctx, l)
	}
}

// saveRosterNow starts a write of the roster, unless one is under way or the log has this revision.
func (s *Server) saveRosterNow(ctx context.Context, l *leadership) {
	if l.saving || l.savedRevision == l.roster.Revision {
		return
	}
	l.saving = true
	revision, all, software := l.roster.Revision, l.roster.All(), l.roster.Software()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		err := s.propose(ctx, &catalog.Command{Instances: all, Software: software})
		doErr := s.do(context.WithoutCancel(ctx), func() {
			l.saving, l.savedAt = false, time.Now()
			if err == nil {
				l.savedRevision = revision
			}
		})
		if err = errors.Join(err, doErr); err != nil {
			s.log.WithError(err).WithField("roster", revision).Warn("could not save the roster to the log, will retry")
		}
	}()
}

// savePollInterval is the interval between checks whether the roster is in the log.
const savePollInterval = 2 * time.Millisecond

// awaitSaved waits until the log has a revision of the roster of a leadership.
func (s *Server) awaitSaved(ctx context.Context, of *leadership, revision uint64) error {
	for saved := false; ; {
		err := s.onLeader(ctx, func(l *leadership) error {
			if l != of {
				return &NotLeaderError{} // it may not know what the former leadership was told
			}
			if saved = l.savedRevision >= revision; !saved {
				s.saveRosterNow(context.WithoutCancel(ctx), l)
			}
			return nil
		})
		if err != nil || saved {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(savePollInterval):
		}
	}
}

// mayAct reports whether this leadership may act: its token is committed to the log, its delay
// has passed, and no call was rejected for an outdated token within the last lease duration. It
// starts establishing the leadership if that is not under way.
func (s *Server) mayAct(ctx context.Context, l *leadership, now time.Time) bool {
	if l.token == 0 && !l.establishing {
		l.establishing = true
		go s.establish(ctx, l)
	}
	return l.token != 0 && !now.Before(l.actFrom) && now.Sub(l.fencedAt) >= s.cfg.Site.Bounds.Lease.Duration()
}

// establish commits the entry whose log index is the fencing token.
func (s *Server) establish(ctx context.Context, l *leadership) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := s.propose(ctx, &catalog.Command{Leadership: s.cfg.Site.Host, LeadershipAt: time.Now().UnixMilli()})
	doErr := s.do(context.WithoutCancel(ctx), func() {
		l.establishing = false
		if err == nil && s.leadership == l && s.catalog.Holder == s.cfg.Site.Host {
			delay := s.actDelay(time.Now())
			l.token, l.actFrom = s.catalog.Token, l.since.Add(delay)
			s.log.WithFields(logrus.Fields{"term": l.term, "token": l.token, "acts_after_ms": delay.Milliseconds()}).Info("leadership established")
		}
	})
	if err = errors.Join(err, doErr); err != nil {
		s.log.WithError(err).WithField("term", l.term).Warn("could not establish leadership")
	}
}

func (s *Server) actDelay(now time.Time) time.Duration {
	var superseded time.Time
	if ms, ok := s.catalog.Superseded[s.cfg.Site.Host]; ok {
		superseded = time.UnixMilli(ms)
	}
	return actDelay(s.cfg.Site.Bounds.Lease.Duration(), s.cfg.Site.Bounds.Fenced, superseded, now)
}

func (s *Server) fencingToken(l *leadership) FencingToken {
	return FencingToken{Holder: s.cfg.Site.Host, Token: l.token}
}

// holdsLease reports whether the holder may still act. It is checked right before a call
// is sent.
func (s *Server) holdsLease(l *leadership) bool {
	term, _, ok := s.replica.Node().HoldsLease()
	return ok && term == l.term
}

// orderWeights sends the weight orders that are due.
func (s *Server) orderWeights(ctx context.Context, l *leadership, now time.Time) {
	if l.storeLeader(now) == nil && now.Sub(l.since) < demandWait {
		return // the work of the models decides which engine follows which
	}
	wait := s.catalog.Public.Config.RequiresSingleVersions()
	live := l.roster.Live()
	l.eventTimes.retain(live)
	for _, order := range l.planner.Next(now, l.demand(s.catalog.Public.Weights, now), live) {
		seq, known := l.accepted[instanceKey{order.Instance.ID, order.Instance.Born}]
		x := WeightOrder{Order: order, FencingToken: s.fencingToken(l), Seq: seq, WaitForRuns: wait}
		go s.sendOrder(ctx, l, x, known)
	}
}

// sendOrder sends one order. The number of accepted orders that it carries prevents a
// delayed order from being executed after newer ones.
func (s *Server) sendOrder(ctx context.Context, l *leadership, x WeightOrder, known bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	outcome := weights.Refused
	var err error
	if !known {
		x.Seq, err = s.cfg.External.AcceptedOrders(ctx, x.Instance)
	}
	if err == nil && s.holdsLease(l) {
		outcome = s.cfg.External.Order(ctx, x)
	}
	entry := s.log.WithFields(logrus.Fields{"instance": x.Instance.ID, "model": x.Model, "version": x.Version, "seq": x.Seq,
		"token": x.Token, "outcome": string(outcome)})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("ordered weights")
	s.cfg.Scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("weight_orders").Inc(1)
	err = s.do(context.WithoutCancel(ctx), func() { s.orderDone(l, x, outcome) })
	if err != nil {
		s.log.WithError(err).Warn("could not record the outcome of a weight order")
	}
}

func (s *Server) orderDone(l *leadership, x WeightOrder, outcome weights.Outcome) {
	now := time.Now()
	key := instanceKey{x.Instance.ID, x.Instance.Born}
	l.planner.RecordOutcome(x.Order, outcome, now)
	switch outcome {
	case weights.Accepted:
		l.accepted[key] = x.Seq + 1
	case weights.AlreadyLoaded:
		l.accepted[key] = x.Seq
	case weights.Fenced:
		l.fencedAt = now
		delete(l.accepted, key)
	default:
		delete(l.accepted, key)
	}
}
