package pick

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func fill(q *Queue, batch string, groups, size int, due time.Duration) {
	for g := range groups {
		for i := range size {
			q.Add(Item{Key: Key{batch, fmt.Sprintf("%s-%d-%d", batch, g, i)}, Group: fmt.Sprint(g), Order: g*size + i,
				Due: start.Add(due)})
		}
	}
}

// TestGroupsAreFinished replays two batches of 20 groups on servers that can
// run a third of the items before the first deadline: the groups of the first
// batch are whole one after the other, and none is left begun.
func TestGroupsAreFinished(t *testing.T) {
	q := New()
	fill(q, "late", 20, 4, 8*time.Second)
	fill(q, "early", 20, 4, 4*time.Second)
	done := map[string]int{}
	now := start
	for range 14 { // fourteen rounds of two slots
		for range 2 {
			x := q.Next(now)[0]
			if x.Batch != "early" {
				t.Fatalf("%s ran before the batch that is due", x.Key)
			}
			q.Start(x.Key)
			q.Done(x.Key)
			done[x.Group]++
		}
	}
	for group, n := range done {
		if n != 4 {
			t.Errorf("group %s has %d of 4 items", group, n)
		}
	}
}

// TestBrokenRunsGoFirst breaks a run: its group is finished before others
// begin, but not before its pause is over.
func TestBrokenRunsGoFirst(t *testing.T) {
	q := New()
	fill(q, "b", 4, 2, time.Second)
	x := q.Next(start)[0]
	q.Start(x.Key)
	q.Again(x.Key, true, start.Add(100*time.Millisecond))
	if got := q.Next(start)[0]; got.Key == x.Key || got.Group != x.Group {
		t.Fatalf("got %v, want the other item of the group", got.Key)
	}
	if got := q.Next(start.Add(time.Second))[0]; got.Key != x.Key {
		t.Fatalf("got %v, want the item that broke", got.Key)
	}
}

func TestDoneIsFinal(t *testing.T) {
	q := New()
	fill(q, "b", 1, 2, time.Second)
	x := q.Next(start)[0]
	q.Start(x.Key)
	q.Done(x.Key)
	q.Again(x.Key, true, start)
	if waiting, running := q.Len(); waiting != 1 || running != 0 {
		t.Fatalf("%d wait and %d run", waiting, running)
	}
	q.Done(q.Next(start)[0].Key)
	if len(q.groups) != 0 {
		t.Fatal("a group without items is kept")
	}
}
