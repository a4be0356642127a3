package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/endqueue"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// Timing of the calls to the store group.
const (
	// callTimeout bounds a call, beyond the wait that it asks for. Two syncs take 5 ms; a
	// slow disk takes longer.
	callTimeout = 900 * time.Millisecond
	// leaderSearchTimeout is how long a call looks for the leader of the group: an
	// election takes up to 2 s.
	leaderSearchTimeout = 2500 * time.Millisecond
	// leaderRetryDelay is the delay between two attempts.
	leaderRetryDelay = 40 * time.Millisecond
	// maxRedirects is how many redirects in a row are followed without a delay. While there
	// is no leader, hosts may name each other.
	maxRedirects = 2
)

// Errors of the calls about batches.
var (
	// ErrNoBatch means that the batch does not exist.
	ErrNoBatch = errors.New("no such batch")
	// ErrNotStored means that definitely no store host has the batch.
	ErrNotStored = errors.New("no store host could be reached")
	// errNoStoreAddress means that control has named no store host yet, so nothing was sent.
	errNoStoreAddress = errors.New("no address of a store host is known")
	// ErrOutcomeUnknown means that a store host may have executed the call.
	ErrOutcomeUnknown = errors.New("the store group gave no clear answer")
)

// storeClient calls the leader of the store group.
type storeClient struct {
	client *http.Client
	log    *logrus.Entry
	state  func() *feed.State
}

// callOutcome describes a call that has ended.
type callOutcome struct {
	// Definite is false if a call that failed may have been executed.
	Definite bool
	// Attempts is the number of requests sent, Addr the store host of the last one.
	Attempts int
	Addr     string
	Duration time.Duration
}

func (o *callOutcome) logFields() logrus.Fields {
	return logrus.Fields{"attempts": o.Attempts, "last": o.Addr, "took_ms": o.Duration.Milliseconds()}
}

// call runs f against the leader, and looks for the leader until leaderSearchTimeout is
// over.
func (c *storeClient) call(ctx context.Context, wait time.Duration, f func(context.Context, fleet.Batches) error) (callOutcome, error) {
	start := time.Now()
	o := callOutcome{Definite: true}
	err := c.search(ctx, start.Add(leaderSearchTimeout), &o, wait, f)
	o.Duration = time.Since(start)
	return o, err
}

// search calls store hosts until the leader has answered.
func (c *storeClient) search(ctx context.Context, deadline time.Time, o *callOutcome, wait time.Duration, f func(context.Context, fleet.Batches) error) error {
	err := errNoStoreAddress
	addr, attempts, redirects := c.state().StoreLeader, 0, 0
	for {
		lead := ""
		if addr != "" {
			o.Attempts, o.Addr = o.Attempts+1, addr
			err = c.callOnce(ctx, addr, wait, f)
			var e twirp.Error
			switch {
			case err == nil:
				return nil
			case errors.As(err, &e) && (e.Code() == twirp.NotFound || e.Code() == twirp.InvalidArgument):
				return err
			case refusedError(err) != nil:
				return err
			case errors.As(err, &e) && e.Code() == twirp.FailedPrecondition:
				lead = namedLeader(err, addr)
			case !unsent(err):
				o.Definite = false
			}
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return errors.Join(err, ctx.Err())
		}
		if lead != "" && redirects < maxRedirects {
			addr = lead
			redirects++
			continue
		}
		redirects = 0
		time.Sleep(leaderRetryDelay)
		addr = c.nextAddr(addr, attempts)
		attempts++
	}
}

// nextAddr alternates between the other store hosts and the leader that control names. It never
// returns the last address while another one is known: a host that does not answer takes a large
// part of the search.
func (c *storeClient) nextAddr(last string, attempts int) string {
	st := c.state()
	if attempts%2 == 1 && st.StoreLeader != last {
		return st.StoreLeader
	}
	var others []string
	for _, h := range st.Stores {
		if h.Addr != last {
			others = append(others, h.Addr)
		}
	}
	if len(others) == 0 {
		return st.StoreLeader
	}
	return others[attempts/2%len(others)]
}

func (c *storeClient) callOnce(ctx context.Context, addr string, wait time.Duration, f func(context.Context, fleet.Batches) error) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return f(ctx, fleet.NewBatchesProtobufClient("http://"+addr, c.client))
}

func (c *storeClient) end(ctx context.Context, q *fleet.BatchKey) (callOutcome, error) {
	return c.call(ctx, 0, func(ctx context.Context, c fleet.Batches) error {
		_, err := c.End(ctx, q)
		return err
	})
}

// endOnce sends an end to one store host and follows the leader that it names. last is the host
// that was called before, attempts the number of earlier calls.
func (c *storeClient) endOnce(ctx context.Context, q *fleet.BatchKey, last string, attempts int) (callOutcome, error) {
	start := time.Now()
	o := callOutcome{Addr: c.nextAddr(last, attempts)}
	err := errNoStoreAddress
	for addr := o.Addr; addr != "" && o.Attempts <= maxRedirects; addr = namedLeader(err, addr) {
		o.Attempts, o.Addr = o.Attempts+1, addr
		err = c.callOnce(ctx, addr, 0, func(ctx context.Context, c fleet.Batches) error {
			_, err := c.End(ctx, q)
			return err
		})
	}
	o.Duration = time.Since(start)
	return o, err
}

// namedLeader returns the leader that the host at addr has named in an error, empty if it named
// none.
func namedLeader(err error, addr string) string {
	var e twirp.Error
	if !errors.As(err, &e) || e.Code() != twirp.FailedPrecondition {
		return ""
	}
	if lead := e.Meta(feed.LeaderMeta); lead != addr {
		return lead
	}
	return ""
}

// unsent reports whether a call definitely did not leave this host.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isNotFound reports whether the leader answered that the batch or item does not exist.
func isNotFound(err error) bool {
	var e twirp.Error
	return errors.As(err, &e) && e.Code() == twirp.NotFound
}

// validID reports whether a batch or an item can have an ID: calls between processes carry only
// valid UTF-8.
func validID(id string) bool { return id != "" && utf8.ValidString(id) }

// Submit stores a batch, once. The error is ErrNotStored if it is definitely not stored, a *RefusedError if
// the store group has also refused it, ErrOutcomeUnknown if it may be, and a *batch.EncodeError if it never can be. A batch whose caller has disconnected is not stored: this
// process may have been suspended since it received the batch, and the caller may have ended it.
// Submit takes the items out of the batch.
func (s *Server) Submit(ctx context.Context, x *batch.Batch, disconnected func() bool) error {
	data, err := x.Encode()
	if err != nil {
		return err
	}
	items := len(x.Items)
	x.Items = nil // a large batch must not be held decoded and encoded while it is sent
	if disconnected() {
		s.log.WithField("batch", x.ID).Info("batch dropped, its caller has disconnected")
		return ErrNotStored
	}
	if ctx.Err() != nil {
		s.log.WithField("batch", x.ID).WithError(context.Cause(ctx)).Info("batch refused")
		return ErrNotStored
	}
	o, err := s.stores.call(ctx, 0, func(ctx context.Context, c fleet.Batches) error {
		_, err := c.Submit(ctx, &fleet.Submission{Id: x.ID, Batch: data})
		return err
	})
	entry := s.log.WithFields(logrus.Fields{"batch": x.ID, "items": items, "step": x.Step, "route": x.Route,
		"lead": s.feed.State().StoreLeader}).WithFields(o.logFields())
	switch {
	case err == nil:
		entry.Info("batch handed in")
		return nil
	case o.Definite && refusedError(err) != nil:
		s.cfg.Scope.Counter("submissions_refused").Inc(1)
		entry.WithError(err).Debug("batch refused by the store group")
		return refusedError(err)
	case o.Definite:
		entry.WithError(err).Warn("could not submit batch")
		return ErrNotStored
	}
	entry.WithError(err).Warn("batch may be handed in")
	return ErrOutcomeUnknown
}

// Read returns results from a position on. It first asks a store host chosen by the hash
// of the batch, so that reads are spread over all hosts that store the batches, and asks
// the leader if that host has no results.
func (s *Server) Read(ctx context.Context, q *fleet.Position) (page *fleet.Page, err error) {
	if !validID(q.Batch) {
		return nil, ErrNoBatch
	}
	if page = s.readReplica(ctx, q); page != nil {
		return page, nil
	}
	o, err := s.stores.call(ctx, time.Duration(q.Waitms)*time.Millisecond, func(ctx context.Context, c fleet.Batches) error {
		page, err = c.Read(ctx, q)
		return err
	})
	return page, s.batchError("read", q.Batch, o, err)
}

// readReplica asks one store host for the results that it has, and returns nil if it has
// none. It does nothing if the chosen host is the leader, which Read asks anyway.
func (s *Server) readReplica(ctx context.Context, q *fleet.Position) *fleet.Page {
	st := s.feed.State()
	if len(st.Stores) == 0 {
		return nil
	}
	h := fnv.New32a()
	h.Write([]byte(q.Batch))
	addr := st.Stores[int(h.Sum32())%len(st.Stores)].Addr
	if addr == st.StoreLeader {
		return nil
	}
	var page *fleet.Page
	err := s.stores.callOnce(ctx, addr, 0, func(ctx context.Context, c fleet.Batches) (err error) {
		page, err = c.Read(ctx, &fleet.Position{Batch: q.Batch, Workspace: q.Workspace, After: q.After})
		return err
	})
	if err != nil || len(page.Results) == 0 {
		return nil // Read asks the leader, whose answer gives the reason
	}
	return page
}

// Body returns the body of an item that has no result yet.
func (s *Server) Body(ctx context.Context, q *fleet.ItemKey) (data []byte, err error) {
	if !validID(q.Batch) || !validID(q.Item) {
		return nil, ErrNoBatch
	}
	o, err := s.stores.call(ctx, 0, func(ctx context.Context, c fleet.Batches) error {
		x, err := c.Body(ctx, q)
		data = x.GetData()
		return err
	})
	return data, s.batchError("body", q.Batch, o, err)
}

// End ends a batch; its open items are not run any more. If the error is ErrOutcomeUnknown, the
// end is delivered once the store group has a leader.
func (s *Server) End(ctx context.Context, q *fleet.BatchKey) error {
	if !validID(q.Batch) {
		return ErrNoBatch
	}
	asked := time.Now()
	o, err := s.stores.end(ctx, q)
	switch {
	case err == nil:
		s.log.WithField("batch", q.Batch).WithFields(o.logFields()).Info("batch end delivered")
	case !isNotFound(err):
		s.ends.add(endqueue.End{Workspace: q.Workspace, Batch: q.Batch, Asked: asked})
	}
	return s.batchError("end", q.Batch, o, err)
}

func (s *Server) batchError(call, id string, o callOutcome, err error) error {
	switch {
	case err == nil:
		return nil
	case isNotFound(err):
		s.log.WithFields(logrus.Fields{"batch": id, "call": call}).WithFields(o.logFields()).Info("no such batch")
		return ErrNoBatch
	}
	s.log.WithError(err).WithFields(logrus.Fields{"batch": id, "call": call, "lead": s.feed.State().StoreLeader}).
		WithFields(o.logFields()).Warn("call to the store group failed")
	return ErrOutcomeUnknown
}
