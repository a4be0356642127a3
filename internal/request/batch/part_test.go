package batch

import (
	"slices"
	"testing"
)

// save applies a part with the events from one to another.
func save(t *testing.T, s *Store, id, item string, from, to int, text string, versions ...uint64) {
	t.Helper()
	chunk, err := Compress(text)
	if err != nil {
		t.Fatal(err)
	}
	apply(t, s, &Command{Checkpoint: &Checkpoint{Batch: id, Item: item, Offset: from,
		Partial: &PartialResult{Events: to, Chunks: [][]byte{chunk}, LastEventID: "e", Versions: versions}}})
}

func partText(t *testing.T, s *Store, id, item string) string {
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

// TestPartsFollowEachOther saves parts in order, late and anew: what is held is
// always the beginning of one run's text.
func TestPartsFollowEachOther(t *testing.T) {
	s := NewStore()
	apply(t, s, &Command{Accept: sample("a", 2)})
	steps := []struct {
		name     string
		from, to int
		text     string
		want     string
	}{
		{"first", 0, 2, "one\ntwo", "one\ntwo"},
		{"next", 2, 3, "three", "one\ntwo\nthree"},
		{"repeated", 2, 3, "three", "one\ntwo\nthree"},
		{"behind a gap", 5, 6, "six", "one\ntwo\nthree"},
		{"anew", 0, 1, "uno", "uno"},
		{"of the run before", 3, 4, "four", "uno"},
	}
	for _, x := range steps {
		save(t, s, "a", "a-0", x.from, x.to, x.text, 3)
		if got := partText(t, s, "a", "a-0"); got != x.want {
			t.Fatalf("%s: got %q, want %q", x.name, got, x.want)
		}
	}
	apply(t, s, &Command{AddResults: &AddResults{"a", []Result{{Item: "a-0", State: Completed, Text: "all"}}}})
	save(t, s, "a", "a-0", 0, 1, "late", 3)
	if partText(t, s, "a", "a-0") != "" {
		t.Fatal("a listed item keeps a part")
	}
	apply(t, s, &Command{End: "a"})
	save(t, s, "a", "a-1", 0, 1, "late", 3)
	if partText(t, s, "a", "a-1") != "" {
		t.Fatal("an ended batch takes a part")
	}
}

// TestFrozenPartsDoNotChange saves while a snapshot is written.
func TestFrozenPartsDoNotChange(t *testing.T) {
	s := NewStore()
	apply(t, s, &Command{Accept: sample("a", 1)})
	save(t, s, "a", "a-0", 0, 1, "one", 3)
	before, _ := s.Get("a").Item("a-0")
	write := s.Freeze()
	save(t, s, "a", "a-0", 1, 2, "two", 3)
	if len(before.Partial.Chunks) != 1 || before.Partial.Events != 1 {
		t.Fatal("a part that was handed out has changed")
	}
	_ = write
}

// TestCarry hands in a batch whose first group was not whole in an earlier one.
func TestCarry(t *testing.T) {
	for _, c := range []struct {
		name  string
		least uint64
		edit  func(b *Batch)
		// listed items and items with parts
		listed, parts []string
	}{
		{"the same items", 3, func(*Batch) {}, []string{"x-0"}, []string{"x-1"}},
		{"newer weights wanted", 4, func(*Batch) {}, nil, []string{"x-1"}},
		{"far newer weights wanted", 5, func(*Batch) {}, nil, nil},
		{"another workspace", 3, func(b *Batch) { b.Workspace = "other" }, nil, nil},
		{"another model", 3, func(b *Batch) { b.Model = "other" }, nil, nil},
		{"another prompt", 3, func(b *Batch) { b.Items[0].Body, b.Items[1].Path = []byte("other"), "/other" }, nil, nil},
		{"another header", 3, func(b *Batch) { b.Items[0].Headers = map[string]string{"n": "2"} }, nil, []string{"x-1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewStore()
			first := sample("x", 4)
			first.MinVersion = 2
			apply(t, s, &Command{Accept: first})
			apply(t, s, &Command{AddResults: &AddResults{"x", []Result{{Item: "x-0", State: Completed, Text: "t", Versions: []uint64{3}},
				{Item: "x-2", State: Dead}}}})
			save(t, s, "x", "x-1", 0, 2, "one\ntwo", 4)
			apply(t, s, &Command{End: "x"})
			next := sample("x", 4)
			next.ID, next.MinVersion = "y", c.least
			c.edit(next)
			s.ReuseResults(next)
			apply(t, s, &Command{Accept: next})
			b := s.Get("y")
			var listed, parts []string
			for _, r := range b.Results {
				listed = append(listed, r.Item)
			}
			for _, x := range b.Items {
				if x.Partial != nil {
					parts = append(parts, x.ID)
				}
			}
			if !slices.Equal(listed, c.listed) || !slices.Equal(parts, c.parts) {
				t.Fatalf("listed %v, parts %v, want %v and %v", listed, parts, c.listed, c.parts)
			}
			if len(b.OpenItems()) != 4-len(c.listed) {
				t.Fatalf("%d items are open", len(b.OpenItems()))
			}
		})
	}
}
