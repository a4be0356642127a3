package batch

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/deflate"
)

func scoredBatch(id string, scorer *Scorer) *Batch {
	return &Batch{ID: id, Workspace: "w", Route: "r", Model: "m", MinVersion: 2,
		Items: []Item{{ID: "i", Path: "/x", Body: []byte("b"), Scorer: scorer}}}
}

func wholeText(t *testing.T, text string) *Checkpoint {
	t.Helper()
	chunk, err := deflate.Compress(text)
	if err != nil {
		t.Fatal(err)
	}
	return &Checkpoint{Batch: "a", Item: "i", Partial: &PartialResult{Events: 2, LastEventID: "2", Versions: []uint64{2, 3}, Chunks: [][]byte{chunk}, Whole: true}}
}

// TestResultOfAStoredText lists a result that refers to the text in the log, also after a
// snapshot, and ignores checkpoints and references that do not belong to a complete text.
func TestResultOfAStoredText(t *testing.T) {
	s := NewStore()
	scorer := &Scorer{ID: "q", Host: "h", Path: "/y", Body: []byte("z")}
	apply(t, s, &Command{Accept: scoredBatch("a", scorer)})
	result := &Command{AddResults: &AddResults{Batch: "a", Results: []Result{{Item: "i", State: Completed, Score: "7", Stored: true}}}}
	apply(t, s, result)
	if len(s.Get("a").Results) != 0 {
		t.Fatal("a result without a stored text was listed")
	}
	apply(t, s, &Command{Checkpoint: wholeText(t, "one\ntwo")})
	late := wholeText(t, "one")
	late.Partial.Whole, late.Partial.Events = false, 1
	apply(t, s, &Command{Checkpoint: late})
	restored, err := Restore(bytes.NewReader(s.Save()))
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []*Store{s, restored} {
		b := x.Get("a")
		if p := b.Items[0].Partial; p == nil || !p.Whole || b.Items[0].Scorer == nil || b.Items[0].Scorer.Path != "/y" {
			t.Fatalf("item is %+v", b.Items[0])
		}
		apply(t, x, result)
		r := b.Results[0]
		text, err := r.FullText()
		if err != nil || text != "one\ntwo" || r.Score != "7" || r.Stored || !slices.Equal(r.Versions, []uint64{2, 3}) {
			t.Fatalf("result %+v, text %q, %v", r, text, err)
		}
		if b.Items[0].Partial != nil || b.Items[0].Scorer != nil {
			t.Fatal("the data of an item with a result was not dropped")
		}
	}
}

// TestScoresAreReusedWithTheSameScorer submits an item again: its score is reused if the scorer
// is the same request, its text alone if it is another one, or if the score was missing.
func TestScoresAreReusedWithTheSameScorer(t *testing.T) {
	same := &Scorer{ID: "q", Host: "h", Path: "/y"}
	for _, c := range []struct {
		name         string
		scored       bool
		next         *Scorer
		result, text bool
	}{
		{"the same scorer", true, &Scorer{ID: "q", Host: "h", Path: "/y"}, true, false},
		{"another scorer", true, &Scorer{ID: "q2", Host: "h", Path: "/y"}, false, true},
		{"no scorer any more", true, nil, false, true},
		{"no score yet", false, same, false, true},
	} {
		s := NewStore()
		apply(t, s, &Command{Accept: scoredBatch("a", same)})
		apply(t, s, &Command{Checkpoint: wholeText(t, "one\ntwo")})
		if c.scored {
			apply(t, s, &Command{AddResults: &AddResults{Batch: "a", Results: []Result{{Item: "i", State: Completed, Score: "7", Stored: true}}}})
		}
		apply(t, s, &Command{End: "a"})
		b := scoredBatch("b", c.next)
		s.ReuseResults(b)
		hasText := b.Items[0].Partial != nil && b.Items[0].Partial.Whole
		if (len(b.Results) == 1) != c.result || hasText != c.text {
			t.Errorf("%s: results %+v, text %v", c.name, b.Results, hasText)
		}
	}
}

func TestExpiredBatches(t *testing.T) {
	const retention = 10 * time.Second
	for _, c := range []struct {
		name   string
		expiry int64
		ended  bool
		done   bool
		age    time.Duration
		want   bool
	}{
		{"ended", 0, true, false, 11 * time.Second, true},
		{"ended, within the retention", 0, true, false, 9 * time.Second, false},
		{"complete", 0, false, true, 11 * time.Second, true},
		{"open, its items expire", 5000, false, false, 16 * time.Second, true},
		{"open, its items expire later", 5000, false, false, 14 * time.Second, false},
		{"open, its items never expire", 0, false, false, 1000 * time.Second, false},
	} {
		s := NewStore()
		b := scoredBatch("a", nil)
		b.Submitted, b.Expiry = 1, c.expiry
		apply(t, s, &Command{Accept: b})
		if c.done {
			apply(t, s, &Command{AddResults: &AddResults{Batch: "a", Results: []Result{{Item: "i", State: Dead}}}})
		}
		if c.ended {
			apply(t, s, &Command{End: "a"})
		}
		if got := s.Expired(time.UnixMilli(1).Add(c.age), retention); (len(got) == 1) != c.want {
			t.Errorf("%s: expired %v", c.name, got)
		}
	}
}
