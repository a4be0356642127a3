package itemqueue

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func addGroups(q *Queue, batch string, groups, size int, due time.Duration) {
	for g := range groups {
		for i := range size {
			q.Add(Item{Key: Key{batch, fmt.Sprintf("%s-%d-%d", batch, g, i)}, Group: fmt.Sprint(g), Index: g*size + i,
				Due: start.Add(due)})
		}
	}
}

// TestGroupsAreFinished runs two batches of 20 groups with two slots, which complete
// about a third of the first batch before its deadline. Only the batch due first
// runs, its groups are completed one after the other, and no group is left partly done.
func TestGroupsAreFinished(t *testing.T) {
	q := New()
	addGroups(q, "late", 20, 4, 8*time.Second)
	addGroups(q, "early", 20, 4, 4*time.Second)
	done := map[string]int{}
	now := start
	for range 14 { // rounds of two slots
		for range 2 {
			x := q.Runnable(now)[0]
			if x.Batch != "early" {
				t.Fatalf("%s ran before the batch that is due first", x.Key)
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

// TestInterruptedRunsGoFirst requeues an item after an interrupted run. Until its
// NotBefore the other item of its group runs next, afterwards the item itself.
func TestInterruptedRunsGoFirst(t *testing.T) {
	q := New()
	addGroups(q, "b", 4, 2, time.Second)
	x := q.Runnable(start)[0]
	q.Start(x.Key)
	q.Requeue(x.Key, true, start.Add(100*time.Millisecond))
	if got := q.Runnable(start)[0]; got.Key == x.Key || got.Group != x.Group {
		t.Fatalf("got %v, want the other item of the group", got.Key)
	}
	if got := q.Runnable(start.Add(time.Second))[0]; got.Key != x.Key {
		t.Fatalf("got %v, want the item whose run was interrupted", got.Key)
	}
}

func TestDoneIsFinal(t *testing.T) {
	q := New()
	addGroups(q, "b", 1, 2, time.Second)
	x := q.Runnable(start)[0]
	q.Start(x.Key)
	q.Done(x.Key)
	q.Requeue(x.Key, true, start)
	if waiting, running := q.Len(); waiting != 1 || running != 0 {
		t.Fatalf("%d waiting and %d running items, want 1 and 0", waiting, running)
	}
	q.Done(q.Runnable(start)[0].Key)
	if len(q.groups) != 0 {
		t.Fatal("a group without items was not removed")
	}
}

// TestLongItemsStartFirst simulates a step of 25 groups of 8 items on 100 slots where
// every twelfth item takes 5.5 s and the others 0.5 s. With estimates the step takes
// exactly as long as its longest item, which is optimal. Without estimates, in
// submission order, it takes at least one short item longer.
func TestLongItemsStartFirst(t *testing.T) {
	const short, long = 500 * time.Millisecond, 5500 * time.Millisecond
	work := func(i int) time.Duration {
		if i%12 == 11 {
			return long
		}
		return short
	}
	simulate := func(estimates bool) time.Duration {
		q := New()
		for i := range 200 {
			x := Item{Key: Key{"b", fmt.Sprintf("%03d", i)}, Group: fmt.Sprint(i / 8), Index: i, Due: start.Add(7500 * time.Millisecond)}
			if estimates {
				x.Estimate = work(i)
			}
			q.Add(x)
		}
		now, last := start, start
		ends := map[Key]time.Time{}
		for waiting, _ := q.Len(); waiting > 0; waiting, _ = q.Len() {
			for _, x := range q.Runnable(now) {
				if len(ends) == 100 {
					break
				}
				q.Start(x.Key)
				ends[x.Key] = now.Add(work(x.Index))
				last = later(last, ends[x.Key])
			}
			now = now.Add(10 * time.Millisecond)
			for k, end := range ends {
				if !now.Before(end) {
					q.Done(k)
					delete(ends, k)
				}
			}
		}
		return last.Sub(start)
	}
	if took := simulate(true); took != long {
		t.Fatalf("the step took %v, its longest item %v", took, long)
	}
	if took := simulate(false); took < long+short {
		t.Fatalf("without estimates the step took only %v", took)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
