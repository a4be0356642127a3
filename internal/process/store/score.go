package store

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/forward"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
	"github.com/plantainbank/plantainbank/internal/request/scorequeue"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/pkg/process/deflate"
)

// scoreTryTimeout bounds the first call of a scorer, and maxScoreTimeout the later ones, each of
// which gets twice the time of the one before. A call takes 0.2 s on average and 1.5 s at most;
// the first timeout is shorter, since the server that does not respond is usually down.
const (
	scoreTryTimeout = time.Second
	maxScoreTimeout = 4 * time.Second
)

// scoring is the state of an item whose text is complete and has no score yet.
type scoring struct {
	// textDone is closed once the write of the text to the log has ended; stored is true
	// if it succeeded.
	textDone chan struct{}
	stored   bool
	// calls counts all calls, failures those to which the service responded with an error.
	calls, failures int
	// avoid lists the servers at which calls have failed.
	avoid map[string]bool
	// deadline is the deadline of the current call and of its retries.
	deadline time.Time
}

// timeout returns the bound of the current call.
func (x *scoring) timeout() time.Duration {
	return min(scoreTryTimeout<<min(x.calls-1, 8), maxScoreTimeout)
}

// beginScoring queues the call that scores a complete text, and writes the text to the log
// meanwhile, so that no later leader runs the item again.
func (d *driver) beginScoring(ctx context.Context, k itemqueue.Key, w *pendingItem) {
	d.mu.Lock()
	if d.pending[k] != w {
		d.mu.Unlock()
		return
	}
	x := &scoring{textDone: make(chan struct{}), stored: w.textStored, avoid: map[string]bool{}}
	w.score = x
	d.scores.Add(k, w.batch.DueTime())
	d.mu.Unlock()
	d.wakeUp()
	defer close(x.textDone)
	if !x.stored {
		x.stored = d.storeText(ctx, k, w)
	}
}

// storeText writes the complete text of an item to the log and reports whether it is stored.
func (d *driver) storeText(ctx context.Context, k itemqueue.Key, w *pendingItem) bool {
	p := &w.progress
	chunk, err := deflate.Compress(p.Text())
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
		defer cancel()
		err = d.s.propose(ctx, &batch.Command{Checkpoint: &batch.Checkpoint{Batch: k.Batch, Item: k.Item, Partial: &batch.PartialResult{
			Events: p.Events, LastEventID: p.LastEventID, Versions: p.Versions, Chunks: [][]byte{chunk}, Whole: true, Software: p.Software}}})
	}
	if err != nil {
		d.s.log.WithError(err).WithFields(logrus.Fields{"batch": k.Batch, "item": k.Item, "events": p.Events}).
			Info("text not written yet, its result will include it")
	}
	return err == nil
}

// dispatchScores starts the waiting calls for which their service has room.
func (d *driver) dispatchScores(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == 0 || d.state.Table == nil {
		return
	}
	now := time.Now()
	for _, c := range d.scores.Runnable(now, d.queue.Missing) {
		w := d.pending[c.Key]
		if w == nil || w.score == nil {
			d.scores.Done(c.Key)
			continue
		}
		if d.expireItem(ctx, c.Key, w, now) {
			d.scores.Done(c.Key)
			continue
		}
		route := d.state.Table.Route(w.item.Scorer.Host, w.item.Scorer.Path)
		if route == nil {
			d.scores.Requeue(c.Key, now)
			continue
		}
		service := route.Choose(rand.Float64())
		if d.scores.Running(service) >= scorequeue.Limit(d.scoreTable.Slots(service, now)) {
			continue
		}
		d.startScore(ctx, c.Key, w, *route, service, now)
	}
}

// startScore calls the scorer of an item once. The caller holds d.mu.
func (d *driver) startScore(ctx context.Context, k itemqueue.Key, w *pendingItem, route routing.Route, service string, now time.Time) {
	d.scores.Start(k, service)
	callCtx, cancel := context.WithCancelCause(ctx)
	w.cancel = cancel
	x := w.score
	x.calls++
	if x.deadline.Sub(now) < scoreTryTimeout {
		x.deadline = now.Add(route.Timeout)
	}
	attempts := max(1, route.MaxAttempts)
	route.MaxAttempts, route.Kind = 1, routing.Idempotent // this package counts the failures
	r := &forward.Request{ID: w.item.Scorer.ID, Route: &route, Service: service, Deadline: x.deadline,
		Priority: d.state.Table.Priority(&route, w.batch.Workspace), ConfigVersion: d.state.Table.Config.Version, Raw: d.scoreRequest(w.item.Scorer),
		AttemptTimeout: x.timeout(), Avoid: x.avoid, Buffered: true}
	go d.runScore(callCtx, ctx, k, w, r, attempts)
}

func (d *driver) scoreRequest(x *batch.Scorer) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetRequestURI(x.Path)
	req.Header.SetHost(x.Host)
	req.Header.Set(d.s.cfg.Headers.RequestID, x.ID)
	req.SetBodyRaw(x.Body)
	return req
}

// scoreEnd is how a call of a scorer ended.
type scoreEnd string

const (
	// scored means that the service returned a score.
	scored scoreEnd = "scored"
	// scoreFailed means that the service responded with an error.
	scoreFailed scoreEnd = "failed"
	// scoreMissing means that no valid response arrived.
	scoreMissing scoreEnd = "no response"
	// scoreStopped means that this process canceled the call.
	scoreStopped scoreEnd = "stopped"
)

// scoreOf returns how a call ended, and the score of a successful response. Results are JSON, so
// bytes that are not UTF-8 are no score.
func (d *driver) scoreOf(ctx context.Context, res *forward.Response) (end scoreEnd, score string) {
	switch {
	case ctx.Err() != nil:
		return scoreStopped, ""
	case res.Response == nil:
		return scoreMissing, ""
	}
	score = string(res.Response.Header.Peek(d.s.cfg.Headers.Signature))
	switch status := res.Response.StatusCode(); {
	case status >= 200 && status < 300 && score != "" && utf8.ValidString(score):
		return scored, score
	case status == http.StatusInternalServerError:
		return scoreFailed, ""
	}
	return scoreMissing, ""
}

// runScore calls the scorer of an item. Depending on the outcome it commits the result or
// queues the call again.
func (d *driver) runScore(callCtx, ctx context.Context, k itemqueue.Key, w *pendingItem, r *forward.Request, attempts int) {
	start := time.Now()
	res := d.forwarder.Do(callCtx, r)
	end, score := d.scoreOf(callCtx, res)
	w.cancel(nil)
	status := res.Status
	if res.Response != nil {
		status = res.Response.StatusCode()
	}
	fields := logrus.Fields{"batch": k.Batch, "item": k.Item, "request": r.ID, "service": r.Service, "config": r.ConfigVersion,
		"end": string(end), "status": status, "calls": w.score.calls, "took_ms": time.Since(start).Milliseconds()}
	d.s.cfg.Scope.Tagged(map[string]string{"end": string(end)}).Counter("scores").Inc(1)
	switch end {
	case scored:
		d.s.log.WithFields(fields).Debug("score received")
		d.commitScored(ctx, k, w, score)
		return
	case scoreFailed:
		w.score.failures++
		d.s.log.WithFields(fields).WithField("failures", w.score.failures).Info("score call failed")
		if w.score.failures >= attempts {
			d.commitResult(ctx, k, w, batch.Result{Item: k.Item, State: batch.Dead}, "all calls of its scorer failed")
			return
		}
	case scoreMissing:
		d.s.log.WithFields(fields).WithField("reason", res.Reason).Info("score call got no response")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending[k] == w {
		d.scores.Requeue(k, time.Now())
		d.wakeUp()
	}
}

// commitScored commits the result of a scored item once the write of its text has ended.
func (d *driver) commitScored(ctx context.Context, k itemqueue.Key, w *pendingItem, score string) {
	<-w.score.textDone
	r := batch.Result{Item: k.Item, State: batch.Completed, Score: score, Versions: w.progress.Versions, Stored: true}
	if !w.score.stored {
		r.Stored, r.Text = false, w.progress.Text()
		if err := r.Compress(); err != nil {
			d.s.log.WithError(err).WithField("item", k.Item).Warn("cannot compress a result, storing it uncompressed")
		}
	}
	d.commitResult(ctx, k, w, r, "")
}

// updateScoreTable applies an update from control. The entry hosts send to the same servers.
func (d *driver) updateScoreTable(st *feed.State) {
	d.scoreTable.Update(st.Instances, st.Public.ZonesOut, st.Table, st.EntryHosts+1)
}
