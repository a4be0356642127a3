package director

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/internal/process/weights"
)

// Periods of the duties.
const (
	dutyPeriod = 100 * time.Millisecond
	// callTimeout bounds one call to an engine or to the platform.
	callTimeout = time.Second
	// openTimeout bounds the entry that opens an office.
	openTimeout = 2 * time.Second
	// foundDelay lets store hosts of all availability zones show up before
	// the founders are chosen.
	foundDelay = 1500 * time.Millisecond
)

// work runs the duties while this process leads.
func (s *Server) work(ctx context.Context) {
	tick := time.NewTicker(dutyPeriod)
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
		err := s.onLeader(ctx, func(o *office) error {
			s.duties(ctx, o, time.Now())
			return nil
		})
		var not *NotLeaderError
		if err != nil && !errors.As(err, &not) && ctx.Err() == nil {
			s.log.WithError(err).Warn("the duties could not run")
		}
	}
}

// duties runs on the control goroutine.
func (s *Server) duties(ctx context.Context, o *office, now time.Time) {
	before := o.roster.Revision
	o.roster.Expire(now)
	if o.roster.Revision != before {
		s.notify()
	}
	s.foundStores(o, now)
	s.keepRoster(ctx, o, now)
	if !s.opened(ctx, o, now) {
		return
	}
	s.orderWeights(ctx, o, now)
	s.reportUsage(ctx, o, now)
}

// keepRoster writes the roster to the log, so that the next leader starts with
// it even if all processes end.
func (s *Server) keepRoster(ctx context.Context, o *office, now time.Time) {
	if o.keeping || o.kept == o.roster.Revision || now.Sub(o.keptAt) < keepPeriod || !s.rosterFit(o, now) {
		return
	}
	o.keeping = true
	revision, all := o.roster.Revision, o.roster.All()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, openTimeout)
		defer cancel()
		err := s.propose(ctx, &catalog.Command{Instances: all})
		doErr := s.do(context.WithoutCancel(ctx), func() {
			o.keeping, o.keptAt = false, time.Now()
			if err == nil {
				o.kept = revision
			}
		})
		if err = errors.Join(err, doErr); err != nil {
			s.log.WithError(err).WithField("roster", revision).Warn("the roster is not kept yet")
		}
	}()
}

// opened reports whether this office may act: its token stands in the log, and
// a former holder's time is over.
func (s *Server) opened(ctx context.Context, o *office, now time.Time) bool {
	if o.token == 0 && !o.opening {
		o.opening = true
		go s.open(ctx, o)
	}
	return o.token != 0 && now.Sub(o.since) >= s.cfg.Site.Bounds.Lease.Duration() && now.Sub(o.fenced) >= s.cfg.Site.Bounds.Lease.Duration()
}

// open commits the entry whose index is the token.
func (s *Server) open(ctx context.Context, o *office) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	err := s.propose(ctx, &catalog.Command{Leadership: s.cfg.Site.Host})
	doErr := s.do(context.WithoutCancel(ctx), func() {
		o.opening = false
		if err == nil && s.office == o && s.catalog.Holder == s.cfg.Site.Host {
			o.token = s.catalog.Token
			s.log.WithFields(logrus.Fields{"term": o.term, "token": o.token}).Info("opened an office")
		}
	})
	if err = errors.Join(err, doErr); err != nil {
		s.log.WithError(err).WithField("term", o.term).Warn("could not open an office")
	}
}

func (s *Server) mark(o *office) FencingToken {
	return FencingToken{Holder: s.cfg.Site.Host, Token: o.token}
}

// acting reports whether the holder may still act, right before a call leaves.
func (s *Server) acting(o *office) bool {
	term, _, ok := s.replica.Node().HoldsLease()
	return ok && term == o.term
}

// orderWeights gives the orders that are due.
func (s *Server) orderWeights(ctx context.Context, o *office, now time.Time) {
	for _, order := range o.planner.Next(now, s.catalog.Public.Weights, o.least(now), o.roster.Live()) {
		seq, known := o.accepted[start{order.Instance.ID, order.Instance.Born}]
		x := WeightOrder{Order: order, FencingToken: s.mark(o), Seq: seq}
		go s.order(ctx, o, x, known)
	}
}

// order gives one order. The number of accepted orders that it names keeps a
// late order from being carried out after newer ones.
func (s *Server) order(ctx context.Context, o *office, x WeightOrder, known bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	outcome := weights.Refused
	var err error
	if !known {
		x.Seq, err = s.cfg.External.AcceptedOrders(ctx, x.Instance)
	}
	if err == nil && s.acting(o) {
		outcome = s.cfg.External.Order(ctx, x)
	}
	entry := s.log.WithFields(logrus.Fields{"instance": x.Instance.ID, "model": x.Model, "version": x.Version, "seq": x.Seq,
		"token": x.Token, "outcome": string(outcome)})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("ordered weights")
	s.cfg.Scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("weight_orders").Inc(1)
	err = s.do(context.WithoutCancel(ctx), func() { s.ordered(o, x, outcome) })
	if err != nil {
		s.log.WithError(err).Warn("could not note the outcome of an order")
	}
}

func (s *Server) ordered(o *office, x WeightOrder, outcome weights.Outcome) {
	now := time.Now()
	key := start{x.Instance.ID, x.Instance.Born}
	o.planner.RecordOutcome(x.Order, outcome, now)
	switch outcome {
	case weights.Accepted:
		o.accepted[key] = x.Seq + 1
	case weights.AlreadyLoaded:
		o.accepted[key] = x.Seq
	case weights.Fenced:
		o.fenced = now
		delete(o.accepted, key)
	default:
		delete(o.accepted, key)
	}
}
