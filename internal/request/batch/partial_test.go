package batch

import (
	"slices"
	"testing"

	"github.com/plantainbank/plantainbank/pkg/process/deflate"
)

// applyCheckpoint applies a checkpoint that extends an item from one event to another.
func applyCheckpoint(t *testing.T, s *Store, id, item string, from, to int, text string, versions ...uint64) {
	t.Helper()
	chunk, err := deflate.Compress(text)
	if err != nil {
		t.Fatal(err)
	}
	apply(t, s, &Command{Checkpoint: &Checkpoint{Batch: id, Item: item, Offset: from,
		Partial: &PartialResult{Events: to, Chunks: [][]byte{chunk}, LastEventID: "e", Versions: versions}}})
}

func partialText(t *testing.T, s *Store, id, item string) string {
	t.Helper()
	x, _ := s.Get(id).Item(item)
	if x.Partial == nil {
		return ""
	}
	text, err := x.Partial.Text()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestCheckpointOrder applies checkpoints in order, late, and after a restart of the item.
// The partial result must always be a prefix of the text of one run.
func TestCheckpointOrder(t *testing.T) {
	s := NewStore()
	apply(t, s, &Command{Accept: testBatch("a", 2)})
	steps := []struct {
		name     string
		from, to int
		text     string
		want     string
	}{
		{"first", 0, 2, "one\ntwo", "one\ntwo"},
		{"next", 2, 3, "three", "one\ntwo\nthree"},
		{"repeated", 2, 3, "three", "one\ntwo\nthree"},
		{"after a gap", 5, 6, "six", "one\ntwo\nthree"},
		{"restarted", 0, 1, "uno", "uno"},
		{"of the previous run", 3, 4, "four", "uno"},
	}
	for _, x := range steps {
		applyCheckpoint(t, s, "a", "a-0", x.from, x.to, x.text, 3)
		if got := partialText(t, s, "a", "a-0"); got != x.want {
			t.Fatalf("%s: got %q, want %q", x.name, got, x.want)
		}
	}
	apply(t, s, &Command{AddResults: &AddResults{"a", []Result{{Item: "a-0", State: Completed, Text: "all"}}}})
	applyCheckpoint(t, s, "a", "a-0", 0, 1, "late", 3)
	if partialText(t, s, "a", "a-0") != "" {
		t.Fatal("an item with a result has a partial result")
	}
	apply(t, s, &Command{End: "a"})
	applyCheckpoint(t, s, "a", "a-1", 0, 1, "late", 3)
	if partialText(t, s, "a", "a-1") != "" {
		t.Fatal("a checkpoint was applied to an ended batch")
	}
}

// TestFreezeIsolatesPartialResults applies a checkpoint while a snapshot is being written.
// Partial results that the snapshot refers to must not change.
func TestFreezeIsolatesPartialResults(t *testing.T) {
	s := NewStore()
	apply(t, s, &Command{Accept: testBatch("a", 1)})
	applyCheckpoint(t, s, "a", "a-0", 0, 1, "one", 3)
	before, _ := s.Get("a").Item("a-0")
	write := s.Freeze()
	applyCheckpoint(t, s, "a", "a-0", 1, 2, "two", 3)
	if len(before.Partial.Chunks) != 1 || before.Partial.Events != 1 {
		t.Fatal("a partial result that a snapshot refers to has changed")
	}
	_ = write
}

// TestReuseResults submits a batch whose first group was incomplete in an earlier batch.
func TestReuseResults(t *testing.T) {
	for _, c := range []struct {
		name       string
		minVersion uint64
		edit       func(b *Batch)
		// completed are the items with a result, partials those with a partial result.
		completed, partials []string
	}{
		{"the same items", 3, func(*Batch) {}, []string{"x-0"}, []string{"x-1"}},
		{"newer weights required", 4, func(*Batch) {}, nil, []string{"x-1"}},
		{"much newer weights required", 5, func(*Batch) {}, nil, nil},
		{"another workspace", 3, func(b *Batch) { b.Workspace = "other" }, nil, nil},
		{"another model", 3, func(b *Batch) { b.Model = "other" }, nil, nil},
		{"the route has another name", 3, func(b *Batch) { b.Route = "renamed" }, []string{"x-0"}, []string{"x-1"}},
		{"another host", 3, func(b *Batch) { b.Host = "other" }, nil, nil},
		{"another prompt", 3, func(b *Batch) { b.Items[0].Body, b.Items[1].Path = []byte("other"), "/other" }, nil, nil},
		{"another header", 3, func(b *Batch) { b.Items[0].Headers = map[string]string{"n": "2"} }, nil, []string{"x-1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewStore()
			first := testBatch("x", 4)
			first.MinVersion = 2
			apply(t, s, &Command{Accept: first})
			apply(t, s, &Command{AddResults: &AddResults{"x", []Result{{Item: "x-0", State: Completed, Text: "t", Versions: []uint64{3}},
				{Item: "x-2", State: Dead}}}})
			applyCheckpoint(t, s, "x", "x-1", 0, 2, "one\ntwo", 4)
			apply(t, s, &Command{End: "x"})
			next := testBatch("x", 4)
			next.ID, next.MinVersion = "y", c.minVersion
			c.edit(next)
			s.ReuseResults(next)
			apply(t, s, &Command{Accept: next})
			b := s.Get("y")
			var completed, partials []string
			for _, r := range b.Results {
				completed = append(completed, r.Item)
			}
			for _, x := range b.Items {
				if x.Partial != nil {
					partials = append(partials, x.ID)
				}
			}
			if !slices.Equal(completed, c.completed) || !slices.Equal(partials, c.partials) {
				t.Fatalf("completed %v, partials %v, want %v and %v", completed, partials, c.completed, c.partials)
			}
			if len(b.OpenItems()) != 4-len(c.completed) {
				t.Fatalf("%d items are open", len(b.OpenItems()))
			}
		})
	}
}
