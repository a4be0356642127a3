package batch

import (
	"bytes"
	"testing"
)

// FuzzApply applies any bytes as a command to a store with batches of each kind: every member of the
// group does that with what its log holds, so none may panic, and the store must be restored from its
// snapshot with the same batches.
func FuzzApply(f *testing.F) {
	for _, c := range goldenCommands() {
		data, err := c.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"accept":{"id":"d","items":[{"id":"d-1"}],"results":[{"item":"d-2"}]}}`))
	f.Add([]byte(`{"list":{"batch":"a","results":[{"item":"a-1","stored":true}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewStore()
		for _, c := range goldenCommands()[:5] {
			apply(t, s, c)
		}
		if _, err := s.Apply(data); err != nil {
			return
		}
		for _, id := range []string{"a", "b"} {
			if b := s.Get(id); b != nil {
				for _, x := range b.OpenItems() {
					apply(t, s, &Command{AddResults: &AddResults{id, []Result{{Item: x.ID, State: Completed, Stored: true}}}})
				}
			}
		}
		var out bytes.Buffer
		if err := s.Freeze()(&out); err != nil {
			t.Fatalf("the store cannot be saved: %v", err)
		}
		restored, err := Restore(bytes.NewReader(out.Bytes()))
		if err != nil {
			t.Fatalf("the snapshot cannot be read: %v", err)
		}
		if got, want := len(restored.All()), len(s.All()); got != want {
			t.Fatalf("%d batches restored of %d", got, want)
		}
	})
}

// TestResultsOfUnknownItems applies a batch that comes with a result of an item that it does not have;
// FuzzApply found it. Every member of a group would end at such a command.
func TestResultsOfUnknownItems(t *testing.T) {
	defer func() {
		if x := recover(); x != nil {
			t.Errorf("panic: %v", x)
		}
	}()
	s := NewStore()
	apply(t, s, &Command{Accept: &Batch{ID: "c", Results: []Result{{Item: "unknown", State: Completed}}}})
	if s.Get("c") == nil {
		t.Error("the batch is not stored")
	}
}
