package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
	"github.com/plantainbank/plantainbank/internal/request/itemrun"
	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// promptDriver returns a driver with three engines of two slots that places prompts from 768 shared tokens.
func promptDriver() *driver {
	d := newTestDriver()
	d.s.cfg.Scope = tally.NewTestScope("", nil)
	d.prompts = newPrompts(768, "Prompt-Parts")
	st := &feed.State{Table: routing.NewTable(&routing.Config{
		Routes:   []routing.Route{{Name: "r", Host: "h", Prefix: "/x/", Targets: []routing.Target{{Service: "s", Weight: 1}}}},
		Services: []routing.Service{{Name: "s", Slots: 2, KVCacheTokens: 8000}}})}
	for i := range 3 {
		st.Instances = append(st.Instances, roster.Instance{ID: fmt.Sprint("e", i), Service: "s", Addr: fmt.Sprint(i), Slots: 2, State: roster.Ready,
			Born: 1, Weights: map[string]uint64{"m": 1}})
	}
	d.applyUpdate(st)
	return d
}

func promptItem(id, group, parts string) batch.Item {
	return batch.Item{ID: id, Path: "/x/1", Group: group, LengthHint: 900, Headers: map[string]string{"prompt-parts": parts}}
}

// TestPromptOfItem guards against items that are placed by their prompts although the setting or the size of
// the prompt excludes them, and against a header that is not found in another case.
func TestPromptOfItem(t *testing.T) {
	for _, c := range []struct {
		least  int
		parts  string
		shared int
	}{{768, "a:700,b:68,c:16", 768}, {768, "a:767,c:16", 0}, {768, "c:1000", 0}, {0, "a:1000,c:16", 0}, {768, "a;1000", 0}, {1, "a:1,c:16", 1}} {
		d := promptDriver()
		d.prompts = newPrompts(c.least, "Prompt-Parts")
		item := promptItem("i", "g", c.parts)
		got := d.promptOf(&item)
		if got.prompt.Shared().Tokens() != c.shared {
			t.Errorf("%s from %d tokens: placed by %d shared tokens, want %d", c.parts, c.least, got.prompt.Shared().Tokens(), c.shared)
		}
		req := placement.Requirement{Prefer: "e2"}
		if d.requirePrompt(&req, &pendingItem{batch: testBatch("a"), promptState: got}, time.Now()); c.shared == 0 && (req.Prefer != "e2" || req.Saved != nil) {
			t.Errorf("%s from %d tokens: the requirement is %+v, not as without prompts", c.parts, c.least, req)
		}
	}
}

// TestGroupGoesToItsEngines starts the items of a group and of one that shares its subject, and guards against
// items that start at an engine without their prompt while one that has it is free, and against an item that
// waits behind others although the only free engine has its prompt.
func TestGroupGoesToItsEngines(t *testing.T) {
	d := promptDriver()
	items := []batch.Item{promptItem("a0", "a", "1:800,2:400,3:16"), promptItem("a1", "a", "1:800,2:400,4:16"), promptItem("b0", "b", "5:900,6:16"),
		promptItem("c0", "c", "7:900,8:16"), promptItem("a2", "a", "1:800,9:400,a:16"), promptItem("c1", "c", "7:900,b:16")}
	b := testBatch("x", items...)
	b.Host, b.Due = "h", 1_000_000
	b.Submitted = time.Now().UnixMilli()
	d.applyChange(batchChange{batch: b, open: items})
	slots := map[string]placement.Slot{}
	start := func(id string) string {
		w := d.pending[itemqueue.Key{Batch: "x", Item: id}]
		w.service = "s"
		req := placement.Requirement{Service: "s", Model: "m", MinVersion: 1, Strict: true}
		d.requirePrompt(&req, w, time.Now())
		slot, _ := d.takeSlot(w, req, time.Now())
		d.beginPrompt(w, slot)
		slots[id] = slot
		return slot.ID
	}
	d.orderByPrompt(d.queue.Runnable(time.Now()), time.Now())
	got := ""
	for _, id := range []string{"a0", "a1", "b0", "c0", "a2"} {
		got += start(id) + " "
	}
	if got != "e0 e0 e1 e2 e1 " { // the engine of a is full
		t.Errorf("the items start at %s", got)
	}
	w := d.pending[itemqueue.Key{Batch: "x", Item: "a1"}]
	if w.choice != choiceCached || w.cached.Saved() != 1200 || d.pending[itemqueue.Key{Batch: "x", Item: "a2"}].choice != choiceGivenUp {
		t.Errorf("a1: %s, %d tokens", w.choice, w.cached.Saved())
	}
	waiting := []*itemqueue.Item{{Key: itemqueue.Key{Batch: "x", Item: "b0"}}, {Key: itemqueue.Key{Batch: "x", Item: "c1"}}}
	d.orderByPrompt(waiting, time.Now()) // one slot is free, at e2
	if waiting[0].Item != "c1" || d.pending[itemqueue.Key{Batch: "x", Item: "b0"}].passed != 1 {
		t.Errorf("%s is first, want the item whose prompt the free engine has", waiting[0].Item)
	}
	w.progress = itemrun.Progress{Events: 3, Versions: []uint64{2}} // weights were loaded before it
	w.promptRead()
	d.endPrompt(w, &paceTracker{}, itemrun.Result{Outcome: itemrun.Complete, Version: 2})
	d.table.Done(slots["a1"], placement.Served, 0, time.Now())
	if cached := d.prompts.cache.Cached(slots["a1"].Incarnation(), "m", w.prompt); cached != 1200 {
		t.Errorf("%d tokens are cached where the item has run", cached)
	}
	d.stopAll()
	if _, parts, _ := d.prompts.cache.Size(); parts != 0 {
		t.Errorf("%d parts are believed to be cached after leadership was lost", parts)
	}
}
