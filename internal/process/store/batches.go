package store

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/itemrun"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// Limits of the batch RPCs.
const (
	// maxPageBytes keeps a page of results below the 1 MB that callers accept.
	maxPageBytes = itemrun.MaxTextBytes
	// proposeTimeout bounds a proposal; after it the outcome is unknown.
	proposeTimeout = 2500 * time.Millisecond
)

// Submit stores a batch; repeated calls with the same ID store it once. FailedPrecondition
// means that the batch was definitely not stored, Unavailable that the outcome is unknown.
func (s *Server) Submit(ctx context.Context, q *fleet.Submission) (*fleet.Nothing, error) {
	b, err := batch.Decode(q.Batch)
	if err != nil {
		return nil, twirp.InvalidArgumentError("batch", err.Error())
	}
	if b.ID == "" || b.ID != q.Id {
		return nil, twirp.InvalidArgumentError("id", "does not match the batch")
	}
	size := batchBytes(b, len(q.Batch))
	q.Batch = nil // a large batch must not be held encoded and decoded
	known, unknown := false, false
	id := b.ID
	s.driver.submissions.begin(id)
	defer func() { s.driver.submissions.end(id, unknown) }()
	err = s.onLeader(ctx, func() {
		if known = s.batches.Get(b.ID) != nil; !known {
			s.batches.ReuseResults(b)
		}
	})
	if err == nil && !known {
		term, _, _ := s.replica.Node().HoldsLease()
		if r := s.driver.admit(b, size, term, time.Now()); r != nil && s.leadsIn(term) {
			return nil, r.toTwirpError()
		}
		s.driver.submissions.propose(b.ID, size, term)
	}
	// b is not used after its proposal, so that it does not stay in memory beside the batch that is applied.
	entry := s.log.WithFields(logrus.Fields{"batch": b.ID, "items": len(b.Items), "step": b.Step, "route": b.Route,
		"min_version": b.MinVersion, "known": known, "carried": len(b.Results)})
	if err == nil && !known {
		b.Submitted = time.Now().UnixMilli()
		err = s.submitOnce(ctx, b)
		unknown = mayBeProposed(err)
	}
	if err != nil {
		entry.WithError(err).Warn("batch not accepted")
		return nil, toTwirpError(err)
	}
	entry.Info("batch accepted")
	s.cfg.Scope.Counter("batches").Inc(1)
	return &fleet.Nothing{}, nil
}

// leadsIn reports whether this process holds the lease in a term, so that no other leader has stored anything
// since.
func (s *Server) leadsIn(term uint64) bool {
	current, _, leads := s.replica.Node().HoldsLease()
	return leads && current == term
}

// mayBeProposed reports whether a command whose proposal has failed may be committed yet.
func mayBeProposed(err error) bool {
	var notLeader *NotLeaderError
	var invalid *batch.EncodeError
	return err != nil && !errors.As(err, &notLeader) && !errors.As(err, &invalid)
}

// submitOnce proposes a batch, or waits for the outcome of the proposal of the same batch that is under way. The
// proposal goes on when its caller has left, since the caller repeats the call.
func (s *Server) submitOnce(ctx context.Context, b *batch.Batch) error {
	outcome := s.submits.DoChan(b.ID, func() (any, error) {
		c := &batch.Command{Accept: b}
		b = nil // otherwise the batch stays in memory until the proposal is decided
		return nil, s.proposeWithin(context.WithoutCancel(ctx), c)
	})
	select {
	case <-ctx.Done():
		return ctx.Err()
	case x := <-outcome:
		return x.Err
	}
}

func (s *Server) proposeWithin(ctx context.Context, c *batch.Command) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return s.propose(ctx, c)
}

// Read returns the results from a position on, and waits for the first one up to the time
// given in the request. Any replica serves the results that it has applied, since they are
// committed and never change. Only the leader can answer that there are none.
func (s *Server) Read(ctx context.Context, q *fleet.Position) (*fleet.Page, error) {
	if page, results, ok := s.readLocal(ctx, q); ok {
		return s.fillPage(page, results)
	}
	timer := time.NewTimer(time.Duration(q.Waitms) * time.Millisecond)
	defer timer.Stop()
	for last := q.Waitms == 0; ; {
		var results []batch.Result
		var page *fleet.Page
		var changed chan struct{}
		enough := false
		err := s.onLeader(ctx, func() {
			changed = s.changed
			b := s.batches.Get(q.Batch)
			if b == nil || b.Workspace != q.Workspace {
				return
			}
			page, results = resultsFrom(b, q.After)
			enough = len(results) > 0 || b.Ended || len(b.Results) == len(b.Items)
		})
		switch {
		case err != nil:
			return nil, toTwirpError(err)
		case page == nil:
			return nil, twirp.NotFoundError("no such batch")
		case enough, last:
			return s.fillPage(page, results)
		}
		select {
		case <-ctx.Done():
			return nil, toTwirpError(ctx.Err())
		case <-timer.C:
			last = true
		case <-changed:
		}
	}
}

// readLocal returns the results that this replica has from a position on; ok is false if
// there are none.
func (s *Server) readLocal(ctx context.Context, q *fleet.Position) (page *fleet.Page, results []batch.Result, ok bool) {
	err := s.replica.Node().Do(ctx, func() {
		if b := s.batches.Get(q.Batch); b != nil && b.Workspace == q.Workspace {
			page, results = resultsFrom(b, q.After)
		}
	})
	return page, results, err == nil && len(results) > 0
}

// resultsFrom returns the results of a batch from a position on, and a page without
// results for them.
func resultsFrom(b *batch.Batch, after uint32) (*fleet.Page, []batch.Result) {
	page := &fleet.Page{Total: uint32(len(b.Items)), Next: after}
	if int(after) < len(b.Results) {
		return page, b.Results[after:]
	}
	return page, nil
}

// fillPage adds results to a page up to its size limit. Committed results never change, so
// it need not run on the control goroutine.
func (s *Server) fillPage(page *fleet.Page, results []batch.Result) (*fleet.Page, error) {
	size := 0
	for i := range results {
		r := &results[i]
		text, err := r.FullText()
		if err != nil {
			s.log.WithError(err).Error("cannot decompress a stored result")
			return nil, toTwirpError(err)
		}
		if size += len(text); len(page.Results) > 0 && size > maxPageBytes {
			break
		}
		page.Results = append(page.Results, &fleet.Result{Item: r.Item, State: string(r.State), Text: text, Versions: r.Versions, Score: r.Score})
		page.Next++
	}
	return page, nil
}

// Body returns the body of an item that has no result yet.
func (s *Server) Body(ctx context.Context, q *fleet.ItemKey) (*fleet.Content, error) {
	var content *fleet.Content
	err := s.onLeader(ctx, func() {
		b := s.batches.Get(q.Batch)
		if b == nil || b.Workspace != q.Workspace || b.Ended || b.HasResult(q.Item) {
			return
		}
		if x, ok := b.Item(q.Item); ok {
			content = &fleet.Content{Data: x.Body}
		}
	})
	if err != nil {
		return nil, toTwirpError(err)
	}
	if content == nil {
		return nil, twirp.NotFoundError("no such item, or it has a result or its batch has ended")
	}
	return content, nil
}

// End ends a batch; its open items are not run any more. The end of a batch that is not known
// goes through the log as well, since its submission may still be on its way: if it is accepted
// later, it is accepted as ended.
func (s *Server) End(ctx context.Context, q *fleet.BatchKey) (*fleet.Nothing, error) {
	before, err := s.lookUp(ctx, q)
	if err == nil && before.foreign {
		return nil, twirp.NotFoundError("no such batch")
	}
	after := before
	if err == nil && !before.ended {
		err = s.proposeWithin(ctx, &batch.Command{End: q.Batch, Workspace: &q.Workspace, Asked: time.Now().UnixMilli()})
	}
	if err == nil && !before.known {
		after, err = s.lookUp(ctx, q)
	}
	if err == nil && !after.known {
		return nil, twirp.NotFoundError("no such batch")
	}
	entry := s.log.WithFields(logrus.Fields{"batch": q.Batch, "listed": after.listed, "ended_before": before.ended, "known_before": before.known})
	if err != nil {
		entry.WithError(err).Warn("batch not ended")
		return nil, toTwirpError(err)
	}
	entry.Info("batch ended")
	return &fleet.Nothing{}, nil
}

// batchStatus describes a batch as a caller of a workspace may see it. A foreign batch is one of
// another workspace; it is not known.
type batchStatus struct {
	known, foreign, ended bool
	listed                int
}

// lookUp returns the status of a batch at the leader.
func (s *Server) lookUp(ctx context.Context, q *fleet.BatchKey) (x batchStatus, err error) {
	err = s.onLeader(ctx, func() {
		b := s.batches.Get(q.Batch)
		switch {
		case b == nil:
		case b.Workspace != q.Workspace:
			x.foreign = true
		default:
			x = batchStatus{known: true, ended: b.Ended, listed: len(b.Results)}
		}
	})
	return x, err
}

// toTwirpError converts an error to a Twirp error.
func toTwirpError(err error) error {
	var notLeader *NotLeaderError
	var unknown *quorum.UnknownOutcomeError
	switch {
	case errors.As(err, &notLeader):
		return twirp.NewError(twirp.FailedPrecondition, "not the leader").WithMeta(feed.LeaderMeta, notLeader.Addr)
	case errors.As(err, &unknown):
		return twirp.NewError(twirp.Unavailable, unknown.Error())
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}
