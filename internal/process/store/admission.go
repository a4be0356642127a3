package store

import (
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/forecast"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
)

const (
	// absence is how long there must be no engine that can run a submission before it is refused: an engine that
	// has crashed is back within 4 s, and a new leader learns of the engines within a second.
	absence = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refused submission.
	minRetryAfter, maxRetryAfter = 500 * time.Millisecond, 4 * time.Second
	// itemOverhead is the memory that a leader takes for an item beside its data: the item itself, its maps, its
	// entries in the driver and the queue, and its share of the log.
	itemOverhead = 1536
	// refusalLogInterval is the least time between two log lines about refused submissions.
	refusalLogInterval = 2 * time.Second
)

// Reasons of refusals, as in the counter.
const (
	refusedNoEngine = "no_engine"
	refusedMemory   = "memory"
	refusedTime     = "time"
)

// refusal is why a submission was not stored.
type refusal struct {
	reason     string
	retryAfter time.Duration
}

var refusalTexts = map[string]string{
	refusedNoEngine: "no engine can run the model",
	refusedMemory:   "the open batches take all the memory that they may",
	refusedTime:     "no group could be complete before its items expire",
}

func (r *refusal) toTwirpError() error {
	return twirp.NewError(twirp.ResourceExhausted, refusalTexts[r.reason]).WithMeta(feed.RetryMeta, strconv.FormatInt(r.retryAfter.Milliseconds(), 10))
}

// submissions holds the submissions that this leader stores, so that none is refused that another call of it
// may have stored. It is safe for concurrent use.
type submissions struct {
	mu  sync.Mutex
	all map[string]*submissionState
	// refused counts the refusals since the last log line.
	refused int
	logged  time.Time
}

// submissionState is the state of the calls of one submission.
type submissionState struct {
	calls int
	// proposed is true if a call has proposed the batch, in a term; unknown is true if it may still be stored.
	proposed, unknown bool
	term              uint64
	// bytes is the size of the batch while a call proposes it.
	bytes int
}

func newSubmissions() *submissions { return &submissions{all: map[string]*submissionState{}} }

// begin notes a call. It must be called before the call looks for the batch in the store.
func (x *submissions) begin(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.all[id] == nil {
		x.all[id] = &submissionState{}
	}
	x.all[id].calls++
}

// propose notes that a call proposes the batch.
func (x *submissions) propose(id string, bytes int, term uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.all[id]; s != nil {
		s.proposed, s.bytes, s.term = true, bytes, term
	}
}

// end notes the end of a call. unknown is true if its batch may still be stored later.
func (x *submissions) end(id string, unknown bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.all[id]
	if s == nil {
		return
	}
	s.calls--
	s.unknown = s.unknown || unknown
	if s.calls <= 0 && !s.unknown {
		delete(x.all, id)
	}
}

// stored notes that a batch is in the store.
func (x *submissions) stored(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.all[id]; s != nil {
		if s.unknown, s.bytes = false, 0; s.calls <= 0 {
			delete(x.all, id)
		}
	}
}

// refusable reports whether no call may have stored a batch, apart from the one that asks and has found it
// unknown.
func (x *submissions) refusable(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.all[id]
	return s != nil && !s.proposed && !s.unknown
}

// bytes returns the size of the batches that are being proposed.
func (x *submissions) bytes() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	sum := 0
	for _, s := range x.all {
		sum += s.bytes
	}
	return sum
}

// clear forgets the calls of earlier terms that have ended. A leader has applied all that they may have stored before
// it has the lease.
func (x *submissions) clear(term uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	maps.DeleteFunc(x.all, func(_ string, s *submissionState) bool { return s.calls <= 0 && s.term < term })
}

// admit returns why a new submission is refused in a term, nil if it is accepted. size is the size of the batch.
func (d *driver) admit(b *batch.Batch, size int, term uint64, now time.Time) *refusal {
	if !d.s.cfg.Site.Scheduling.Refuse {
		return nil
	}
	r := d.checkSubmission(b, size, term, now)
	if r == nil || !d.submissions.refusable(b.ID) {
		return nil
	}
	r.retryAfter = spread(min(max(r.retryAfter, minRetryAfter), maxRetryAfter))
	d.s.cfg.Scope.Tagged(map[string]string{"reason": r.reason}).Counter("submissions_refused").Inc(1)
	d.logRefusal(b, r, now)
	return r
}

// logRefusal writes a line for the first refusal, and then one for those of each interval.
func (d *driver) logRefusal(b *batch.Batch, r *refusal, now time.Time) {
	x := d.submissions
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refused++
	if now.Sub(x.logged) < refusalLogInterval {
		return
	}
	d.s.log.WithFields(logrus.Fields{"batch": b.ID, "workspace": b.Workspace, "model": b.Model, "items": len(b.Items), "reason": refusalTexts[r.reason],
		"retry_ms": r.retryAfter.Milliseconds(), "refused": x.refused}).Warn("submission refused")
	x.refused, x.logged = 0, now
}

func (d *driver) checkSubmission(b *batch.Batch, size int, term uint64, now time.Time) *refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == 0 || d.term != term || d.state.Table == nil || len(b.Items) == 0 {
		return nil
	}
	if open := d.openBytes(); open > 0 && open+size > d.s.cfg.Site.OpenBytes() {
		return &refusal{refusedMemory, maxRetryAfter}
	}
	if !d.hasEngine(b, now) {
		return &refusal{refusedNoEngine, maxRetryAfter}
	}
	return d.checkTime(b, now)
}

// batchBytes returns the size that a batch takes in memory, from the size of its data.
func batchBytes(b *batch.Batch, data int) int { return data + itemOverhead*len(b.Items) }

// openBytes returns the size of the open batches in memory, and of those that are being stored. The caller
// holds d.mu.
func (d *driver) openBytes() int {
	sum := d.submissions.bytes()
	for _, w := range d.pending {
		sum += itemBytes(&w.item)
	}
	return sum
}

// itemBytes returns the size of an item in memory.
func itemBytes(x *batch.Item) int {
	n := itemOverhead + len(x.Body)
	for name, value := range x.Headers {
		n += len(name) + len(value)
	}
	if x.Scorer != nil {
		n += len(x.Scorer.Body)
	}
	return n
}

// hasEngine reports whether an engine can run any item of a batch, or there was one until a short time ago. The
// caller holds d.mu.
func (d *driver) hasEngine(b *batch.Batch, now time.Time) bool {
	seen := map[string]bool{}
	for i := range b.Items {
		service := d.serviceOf(&pendingItem{batch: b, item: b.Items[i]})
		if seen[service] {
			continue
		}
		seen[service] = true
		if service == "" || !d.engines.absent(engineKind{service, b.Model}, now) {
			return true
		}
	}
	return false
}

// checkTime refuses a batch of which no group could be complete before its items expire, beside what was accepted
// before. The caller holds d.mu.
func (d *driver) checkTime(b *batch.Batch, now time.Time) *refusal {
	if b.Expiry <= 0 || !d.s.cfg.Site.Scheduling.Fair || !d.queue.Overloaded() {
		return nil
	}
	c := *b
	c.Submitted = now.UnixMilli()
	x := newLanes()
	extra := &itemqueue.Extra{}
	index, done := map[string]int{}, map[string]bool{}
	for i := range c.Results {
		done[c.Results[i].Item] = true
	}
	for i := range c.Items {
		w := &pendingItem{batch: &c, item: c.Items[i]}
		if done[w.item.ID] {
			continue
		}
		if len(extra.Groups) == 0 {
			extra.Step = d.stepOf(w, spareGroups(&c))
			extra.Step.Late = now.Add(time.Duration(c.Expiry) * time.Millisecond)
		}
		g, known := index[w.item.Group]
		if !known || w.item.Group == "" {
			g = len(extra.Groups)
			index[w.item.Group] = g
			extra.Groups = append(extra.Groups, forecast.Group{Index: i})
		}
		work := d.waitingTime(w)
		extra.Groups[g].Longest = max(extra.Groups[g].Longest, work)
		extra.Groups[g].Parts = itemqueue.AddWork(extra.Groups[g].Parts, x.number(d.laneOf(w)), work)
	}
	f := d.queue.Forecast(now, d.outlook(x, now), extra)
	if !f.Plan.Overloaded || len(extra.Groups) == 0 {
		return nil
	}
	for _, class := range f.Plan.Classes[len(f.Plan.Classes)-len(extra.Groups):] {
		if class != forecast.TooLate {
			return nil
		}
	}
	wait, served := f.Plan.Wait(f.Input, len(f.Input.Spare)-1)
	if !served || wait <= 0 { // its engines load, or its items are too long for any load
		return nil
	}
	return &refusal{refusedTime, wait}
}
