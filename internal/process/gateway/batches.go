package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// Periods of the calls to the store group.
const (
	// callTimeout ends a call that gets no answer, beyond the wait that it
	// asked for. Two syncs take 5 ms; a slow disk takes longer.
	callTimeout = 900 * time.Millisecond
	// patience is how long a call looks for the leader of the group: an
	// election takes up to 2 s.
	patience = 2500 * time.Millisecond
	// lookPause is the pause between two looks.
	lookPause = 40 * time.Millisecond
)

// Errors of the calls about batches.
var (
	// ErrNoBatch: no such batch exists.
	ErrNoBatch = errors.New("no such batch")
	// ErrNotStored: surely no store host has got the batch.
	ErrNotStored = errors.New("no store host could be reached")
	// ErrUnsure: a store host may have carried out the call.
	ErrOutcomeUnknown = errors.New("the store group gave no clear answer")
)

// batches calls the leader of the store group.
type batches struct {
	client *http.Client
	log    *logrus.Entry
	state  func() *feed.State
}

// call runs f against the leader, and looks for the leader as long as that
// takes. sure is false if a failed call may have been carried out.
func (b *batches) call(ctx context.Context, wait time.Duration, f func(context.Context, fleet.Batches) error) (sure bool, err error) {
	sure = true
	until := time.Now().Add(patience)
	addr, tried := b.state().StoreLeader, 0
	for {
		if addr != "" {
			err = b.once(ctx, addr, wait, f)
			var e twirp.Error
			switch {
			case err == nil:
				return sure, nil
			case errors.As(err, &e) && (e.Code() == twirp.NotFound || e.Code() == twirp.InvalidArgument):
				return sure, err
			case errors.As(err, &e) && e.Code() == twirp.FailedPrecondition:
				if lead := e.Meta(feed.LeaderMeta); lead != "" && lead != addr {
					addr = lead
					continue
				}
			case !unsent(err):
				sure = false
			}
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return sure, errors.Join(err, ctx.Err())
		}
		time.Sleep(lookPause)
		addr = b.nextAddr(tried)
		tried++
	}
}

// nextAddr alternates between the leader that control names and the others.
func (b *batches) nextAddr(tried int) string {
	st := b.state()
	if tried%2 == 0 || len(st.Stores) == 0 {
		return st.StoreLeader
	}
	return st.Stores[tried/2%len(st.Stores)].Addr
}

func (b *batches) once(ctx context.Context, addr string, wait time.Duration, f func(context.Context, fleet.Batches) error) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return f(ctx, fleet.NewBatchesProtobufClient("http://"+addr, b.client))
}

// unsent reports whether a call surely did not leave this host.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isNotFound reports whether the leader said that there is no such thing.
func isNotFound(err error) bool {
	var e twirp.Error
	return errors.As(err, &e) && e.Code() == twirp.NotFound
}

// Submit stores a batch, once. The error is ErrNotStored if it surely is not
// stored, and ErrUnsure if it may be.
func (s *Server) Submit(ctx context.Context, x *batch.Batch) error {
	data, err := x.Encode()
	if err != nil {
		return err
	}
	sure, err := s.batches.call(ctx, 0, func(ctx context.Context, c fleet.Batches) error {
		_, err := c.Submit(ctx, &fleet.Submission{Id: x.ID, Batch: data})
		return err
	})
	entry := s.log.WithFields(logrus.Fields{"batch": x.ID, "items": len(x.Items), "step": x.Step, "route": x.Route,
		"lead": s.feed.State().StoreLeader})
	switch {
	case err == nil:
		entry.Info("batch handed in")
		return nil
	case sure:
		entry.WithError(err).Warn("batch not handed in")
		return ErrNotStored
	}
	entry.WithError(err).Warn("batch may be handed in")
	return ErrOutcomeUnknown
}

// Read returns results from a position on. A store host chosen by the batch is
// asked first, so that reading is spread over all that hold the batches; if it
// has nothing to tell, the leader is asked.
func (s *Server) Read(ctx context.Context, q *fleet.Position) (page *fleet.Page, err error) {
	if page = s.readNear(ctx, q); page != nil {
		return page, nil
	}
	_, err = s.batches.call(ctx, time.Duration(q.Waitms)*time.Millisecond, func(ctx context.Context, c fleet.Batches) error {
		page, err = c.Read(ctx, q)
		return err
	})
	return page, s.readError("read", q.Batch, err)
}

// readNear asks one store host for what it has, and returns nil if that is
// nothing. The leader need not be asked twice.
func (s *Server) readNear(ctx context.Context, q *fleet.Position) *fleet.Page {
	st := s.feed.State()
	if len(st.Stores) == 0 {
		return nil
	}
	h := fnv.New32a()
	h.Write([]byte(q.Batch))
	near := st.Stores[int(h.Sum32())%len(st.Stores)].Addr
	if near == st.StoreLeader {
		return nil
	}
	var page *fleet.Page
	err := s.batches.once(ctx, near, 0, func(ctx context.Context, c fleet.Batches) (err error) {
		page, err = c.Read(ctx, &fleet.Position{Batch: q.Batch, Workspace: q.Workspace, After: q.After})
		return err
	})
	if err != nil || len(page.Results) == 0 {
		return nil // the leader tells why
	}
	return page
}

// Body returns the body of an item that is not listed yet.
func (s *Server) Body(ctx context.Context, q *fleet.ItemKey) (data []byte, err error) {
	_, err = s.batches.call(ctx, 0, func(ctx context.Context, c fleet.Batches) error {
		x, err := c.Body(ctx, q)
		data = x.GetData()
		return err
	})
	return data, s.readError("body", q.Batch, err)
}

// End stops a batch.
func (s *Server) End(ctx context.Context, q *fleet.BatchKey) error {
	_, err := s.batches.call(ctx, 0, func(ctx context.Context, c fleet.Batches) error {
		_, err := c.End(ctx, q)
		return err
	})
	return s.readError("end", q.Batch, err)
}

func (s *Server) readError(call, id string, err error) error {
	switch {
	case err == nil:
		return nil
	case isNotFound(err):
		s.log.WithFields(logrus.Fields{"batch": id, "call": call}).Info("no such batch")
		return ErrNoBatch
	}
	s.log.WithError(err).WithFields(logrus.Fields{"batch": id, "call": call, "lead": s.feed.State().StoreLeader}).Warn("the store group did not answer")
	return ErrOutcomeUnknown
}
