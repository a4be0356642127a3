package store

import (
	"context"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
	"github.com/plantainbank/plantainbank/internal/request/itemrun"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

// newTestDriver returns a driver that leads in term 1 and has no servers.
func newTestDriver() *driver {
	s := &Server{cfg: Config{Engines: attempt.NewClient()}, log: logrus.NewEntry(logrus.New())}
	d := newDriver(s)
	d.term = 1
	return d
}

func testBatch(id string, items ...batch.Item) *batch.Batch {
	return &batch.Batch{ID: id, Workspace: "w", Route: "r", Model: "m", MinVersion: 1, Items: items}
}

// TestItemAwaitsTheProgressOfItsCanceledRun ends a batch while an item of it runs, and
// accepts the next batch with the same item before that run has returned. The item must not
// start without the progress of the run.
func TestItemAwaitsTheProgressOfItsCanceledRun(t *testing.T) {
	d := newTestDriver()
	item := batch.Item{ID: "i", Fingerprint: 7}
	first, next := itemqueue.Key{Batch: "a", Item: "i"}, itemqueue.Key{Batch: "b", Item: "i"}
	d.applyChange(batchChange{batch: testBatch("a", item), open: []batch.Item{item}})
	w := d.pending[first]
	d.queue.Start(first)
	ctx, cancel := context.WithCancelCause(context.Background())
	w.running, w.cancel, w.runs = true, cancel, 1
	d.applyChange(batchChange{batch: w.batch, ended: []itemqueue.Key{first}, groups: []string{""}})
	if ctx.Err() == nil {
		t.Fatal("the run of the ended batch was not canceled")
	}
	d.applyChange(batchChange{batch: testBatch("b", item), open: []batch.Item{item}})
	again := d.pending[next]
	if !d.awaitsProgress(again) {
		t.Fatal("the item may start before the canceled run has returned its progress")
	}
	w.progress = itemrun.Progress{Data: []string{"x"}, Events: 3, LastEventID: "3", Versions: []uint64{1}}
	d.runEnded(first, w)
	if d.awaitsProgress(again) {
		t.Fatal("the item still waits after the canceled run has ended")
	}
	d.takePartial(again)
	if again.progress.Events != 3 || again.progress.LastEventID != "3" {
		t.Fatalf("the item resumes with %+v", again.progress)
	}
}

// TestRunOfAnEarlierTermReturnsNothing loses and regains leadership while a run of an ended
// batch returns: the new term must not count or keep it.
func TestRunOfAnEarlierTermReturnsNothing(t *testing.T) {
	d := newTestDriver()
	item := batch.Item{ID: "i"}
	k := itemqueue.Key{Batch: "a", Item: "i"}
	d.applyChange(batchChange{batch: testBatch("a", item), open: []batch.Item{item}})
	w := d.pending[k]
	w.running, w.cancel = true, func(error) {}
	d.stopAll()
	d.term = 2
	w.progress = itemrun.Progress{Data: []string{"x"}, Events: 1, Versions: []uint64{1}}
	d.runEnded(k, w)
	if len(d.endingRuns) != 0 || len(d.partials.all) != 0 {
		t.Fatalf("%d ending runs, %d partial results", len(d.endingRuns), len(d.partials.all))
	}
}
