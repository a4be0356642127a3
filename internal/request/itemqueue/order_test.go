package itemqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestOrderFollowsChanges changes a queue at random and compares its order with one that is sorted anew. It guards
// against items that keep their position, or are lost, after their group has changed.
func TestOrderFollowsChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	q := New()
	var keys []Key
	for n := range 4000 {
		k := Key{fmt.Sprint(random.IntN(3)), fmt.Sprint(n)}
		switch random.IntN(6) {
		case 0, 1:
			keys = append(keys, k)
			q.Add(Item{Key: k, Group: fmt.Sprint(random.IntN(20)), Index: n, Due: start.Add(time.Duration(random.IntN(5)) * time.Second),
				Estimate: time.Duration(random.IntN(3000)) * time.Millisecond})
		case 2:
			if all := q.Runnable(start); len(all) > 0 {
				q.Start(all[random.IntN(len(all))].Key)
			}
		case 3:
			for k := range q.running {
				q.Requeue(k, random.IntN(2) == 0, start.Add(time.Duration(random.IntN(2))))
				break
			}
		case 4:
			if len(keys) > 0 {
				q.Done(keys[random.IntN(len(keys))])
			}
		case 5:
			for _, g := range q.groups {
				g.rank = int32(random.IntN(3))
				q.changeGroup(g)
				break
			}
		}
		var want []*Item
		for _, x := range q.waiting {
			if !start.Before(x.NotBefore) {
				x.key = x.sortKey()
				want = append(want, x)
			}
		}
		slices.SortFunc(want, compareItems)
		if got := q.Runnable(start); !slices.Equal(got, want) {
			t.Fatalf("after %d changes the order of %d items is wrong", n+1, len(want))
		}
	}
}

// BenchmarkDispatch starts and completes 8 of 2,048 waiting items, and returns the order.
func BenchmarkDispatch(b *testing.B) {
	q := New()
	for s := range 4 {
		for i := range 512 {
			q.Add(Item{Key: Key{fmt.Sprint("batch", s), fmt.Sprint(i)}, Group: fmt.Sprint(i / 16), Index: i,
				Due: start.Add(7500 * time.Millisecond), Estimate: time.Duration(300+i*37%700) * time.Millisecond})
		}
	}
	for b.Loop() {
		all := q.Runnable(start)
		for i := range 8 {
			q.Start(all[i].Key)
			q.Requeue(all[i].Key, false, start)
		}
	}
}

// BenchmarkPlan plans the 2,048 items of 128 groups on 45 engines.
func BenchmarkPlan(b *testing.B) {
	r := &replay{trainers: []*trainer{{workspace: "a", groups: 32, size: 16}, {workspace: "b", groups: 32, size: 16},
		{workspace: "c", groups: 32, size: 16}, {workspace: "d", groups: 32, size: 16}}}
	for _, x := range r.trainers {
		x.mean = 3 * time.Second
	}
	r.reset()
	for _, x := range r.trainers {
		r.submit(x, start, rand.New(rand.NewPCG(1, 2)))
	}
	o := r.outlook(start)
	for b.Loop() {
		if !r.q.Plan(start, o).Plan.Overloaded {
			b.Fatal("all groups fit")
		}
	}
}
