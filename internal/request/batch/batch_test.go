package batch

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testBatch(id string, items int) *Batch {
	b := &Batch{ID: id, Submitted: 1000}
	for i := range items {
		b.Items = append(b.Items, Item{ID: fmt.Sprint(id, "-", i), Body: []byte("body"), Group: fmt.Sprint(i / 2)})
	}
	return b
}

func apply(t interface{ Fatal(...any) }, s *Store, c *Command) Effect {
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	e, err := s.Apply(data)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// TestCommandsThatCannotBeEncoded guards against bytes from outside that end the process which
// encodes them: each string in turn is not valid UTF-8.
func TestCommandsThatCannotBeEncoded(t *testing.T) {
	const bad = "\xb1\xb2"
	item := func(x Item) *Command { return &Command{Accept: &Batch{ID: "b", Items: []Item{x}}} }
	result := func(r Result) *Command { return &Command{AddResults: &AddResults{"b", []Result{r}}} }
	checkpoint := func(p PartialResult) *Command {
		return &Command{Checkpoint: &Checkpoint{Batch: "b", Item: "i", Partial: &p}}
	}
	workspace := bad
	for name, c := range map[string]*Command{
		"batch id":        {Accept: &Batch{ID: bad}},
		"route":           {Accept: &Batch{ID: "b", Route: bad}},
		"prefix":          {Accept: &Batch{ID: "b", Prefix: bad}},
		"host":            {Accept: &Batch{ID: "b", Host: bad}},
		"workspace":       {Accept: &Batch{ID: "b", Workspace: bad}},
		"model":           {Accept: &Batch{ID: "b", Model: bad}},
		"item id":         item(Item{ID: bad}),
		"path":            item(Item{ID: "i", Path: bad}),
		"header name":     item(Item{ID: "i", Headers: map[string]string{bad: "v"}}),
		"header value":    item(Item{ID: "i", Headers: map[string]string{"n": bad}}),
		"group":           item(Item{ID: "i", Group: bad}),
		"scorer":          item(Item{ID: "i", Scorer: &Scorer{ID: bad}}),
		"carried event":   item(Item{ID: "i", Partial: &PartialResult{LastEventID: bad}}),
		"result":          result(Result{Item: bad}),
		"text":            result(Result{Item: "i", Text: bad}),
		"score":           result(Result{Item: "i", Score: bad}),
		"event id":        checkpoint(PartialResult{LastEventID: bad}),
		"software":        checkpoint(PartialResult{Software: bad}),
		"end":             {End: bad},
		"end's workspace": {End: "b", Workspace: &workspace},
		"drop":            {Drop: []string{bad}},
	} {
		data, err := c.Encode()
		var invalid *EncodeError
		if !errors.As(err, &invalid) || data != nil {
			t.Errorf("%s: encoded as %q, %v", name, data, err)
		}
	}
}

// TestResultPositionsAreStable adds and repeats results, ends batches and restores
// snapshots at random. A result that was read must stay at its position, and no item may
// have two results.
func TestResultPositionsAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		read := map[string][]Result{}
		for step := range 60 {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "batch")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				apply(t, s, &Command{Accept: testBatch(id, 6)})
			case 1, 2:
				item := fmt.Sprint(id, "-", rapid.IntRange(0, 7).Draw(t, "item"))
				apply(t, s, &Command{AddResults: &AddResults{id, []Result{{Item: item, State: Completed, Text: fmt.Sprint(step)}}}})
			case 3:
				apply(t, s, &Command{End: id})
			case 4:
				restored, err := Restore(bytes.NewReader(s.Save()))
				if err != nil {
					t.Fatal(err)
				}
				s = restored
			}
			for id, b := range s.All() {
				seen := map[string]bool{}
				for i, r := range b.Results {
					if seen[r.Item] {
						t.Fatalf("item %s has two results", r.Item)
					}
					seen[r.Item] = true
					if i < len(read[id]) && read[id][i].Text != r.Text {
						t.Fatalf("position %d changed from %+v to %+v", i, read[id][i], r)
					}
				}
				if len(b.Results) < len(read[id]) {
					t.Fatal("a result was lost")
				}
				read[id] = append([]Result(nil), b.Results...)
			}
		}
	})
}

func TestBatchIsAcceptedOnce(t *testing.T) {
	s := NewStore()
	if apply(t, s, &Command{Accept: testBatch("a", 2)}).Accepted == nil {
		t.Fatal("not accepted")
	}
	if apply(t, s, &Command{Accept: testBatch("a", 5)}).Accepted != nil || len(s.Get("a").Items) != 2 {
		t.Fatal("accepted twice")
	}
}

func TestBodiesAreDropped(t *testing.T) {
	s := NewStore()
	apply(t, s, &Command{Accept: testBatch("a", 2)})
	apply(t, s, &Command{AddResults: &AddResults{"a", []Result{{Item: "a-0", State: Dead}, {Item: "other", State: Dead}}}})
	b := s.Get("a")
	if x, _ := b.Item("a-0"); x.Body != nil || len(b.Results) != 1 || len(b.OpenItems()) != 1 {
		t.Fatalf("got %+v", b)
	}
	if apply(t, s, &Command{End: "a"}).Ended == nil || apply(t, s, &Command{End: "a"}).Ended != nil || len(b.OpenItems()) != 0 {
		t.Fatal("the batch did not end once")
	}
}

func TestExpired(t *testing.T) {
	s := NewStore()
	b := testBatch("a", 1)
	b.Expiry = 5000
	apply(t, s, &Command{Accept: b})
	at := func(d time.Duration) int { return len(s.Expired(time.UnixMilli(1000).Add(d), time.Minute)) }
	if at(62*time.Second) != 0 || at(66*time.Second) != 1 {
		t.Fatal("an open batch must be retained until its items have expired")
	}
	apply(t, s, &Command{End: "a"})
	if at(59*time.Second) != 0 || at(62*time.Second) != 1 {
		t.Fatal("an ended batch must be retained for the requested time")
	}
}

// TestEndIsForOneWorkspace checks that an end that names another workspace changes nothing, and
// that entries of older versions, which name none, still end their batch.
func TestEndIsForOneWorkspace(t *testing.T) {
	own, foreign := "w", "v"
	for _, c := range []struct {
		name      string
		workspace *string
		ended     bool
	}{{"own", &own, true}, {"foreign", &foreign, false}, {"older version", nil, true}} {
		s := NewStore()
		b := testBatch("a", 2)
		b.Workspace = own
		apply(t, s, &Command{Accept: b})
		e := apply(t, s, &Command{End: "a", Workspace: c.workspace})
		if got := s.Get("a").Ended; got != c.ended || (e.Ended != nil) != c.ended {
			t.Errorf("%s: ended %v, want %v", c.name, got, c.ended)
		}
	}
}

// TestEndBeforeSubmission applies the end of a batch before its submission, with a snapshot in
// between: the batch is accepted as ended, unless the end was for another workspace or is dropped.
func TestEndBeforeSubmission(t *testing.T) {
	for _, c := range []struct {
		name, workspace string
		after           time.Duration
		ended           bool
	}{
		{"own", "w", 0, true},
		{"foreign", "v", 0, false},
		{"after the retention", "w", 2 * time.Minute, false},
	} {
		s, asked := NewStore(), time.UnixMilli(1000)
		apply(t, s, &Command{End: "a", Workspace: &c.workspace, Asked: asked.UnixMilli()})
		s, err := Restore(bytes.NewReader(s.Save()))
		if err != nil {
			t.Fatal(err)
		}
		if len(s.All()) != 0 {
			t.Fatalf("%s: the end became a batch", c.name)
		}
		apply(t, s, &Command{Drop: s.Expired(asked.Add(c.after), time.Minute)})
		b := testBatch("a", 2)
		b.Workspace = "w"
		apply(t, s, &Command{Accept: b})
		if b := s.Get("a"); b.Ended != c.ended || (len(b.OpenItems()) == 0) != c.ended || len(b.Items) != 2 {
			t.Errorf("%s: ended %v with %d open items, want ended %v", c.name, b.Ended, len(b.OpenItems()), c.ended)
		}
		if len(s.earlyEnds) != 0 {
			t.Errorf("%s: the end is kept after the submission", c.name)
		}
	}
}

// TestEarlyEndsAreBounded ends more batches that are not known than are kept.
func TestEarlyEndsAreBounded(t *testing.T) {
	s, workspace := NewStore(), "w"
	for i := range maxEarlyEnds + 2 {
		apply(t, s, &Command{End: fmt.Sprint("e", i), Workspace: &workspace, Asked: int64(i)})
	}
	if _, kept := s.earlyEnds["e1"]; kept || len(s.earlyEnds) != maxEarlyEnds {
		t.Errorf("%d ends are kept, the second oldest among them: %v", len(s.earlyEnds), kept)
	}
}
