package forecast

import (
	"testing"
	"time"
)

const second = time.Second

// group is a group of one lane whose longest item takes a second.
func group(flow, batch, index int, work, due time.Duration) Group {
	return Group{Flow: flow, Batch: batch, Index: index, Parts: []Part{{0, work}}, Longest: second, Due: due, Late: due + 4*second}
}

func input(slots int, groups ...Group) Input {
	return Input{Groups: groups, Pools: []Pool{{Lanes: 1, Slots: []Slots{{slots, 0}}}}, Leads: make([]time.Duration, 3), Spare: make([]int, 3)}
}

// TestOverloaded guards against a changed order while all groups can be complete, and against an unchanged one while
// engines are away.
func TestOverloaded(t *testing.T) {
	fits := []Group{group(0, 0, 0, 28*second, 8*second), group(1, 1, 0, 28*second, 8*second)}
	long := group(1, 1, 1, second, 8*second)
	long.Longest = 20 * second
	for _, c := range []struct {
		name       string
		in         Input
		overloaded bool
	}{
		{"no groups", input(0), false},
		{"all fit", input(8, fits...), false},
		{"too few slots", input(6, fits...), true},
		{"beside a batch that is due in an hour", input(9, fits[0], fits[1], group(2, 2, 0, 1000*second, 3600*second)), false},
		{"an item that is late on an idle engine", input(8, fits[0], long), false},
		{"the slots serve later", Input{Groups: fits, Pools: []Pool{{1, []Slots{{4, 0}, {4, 6 * second}}, nil}}, Leads: make([]time.Duration, 2), Spare: make([]int, 2)}, true},
		{"the slots run other items", Input{Groups: fits, Pools: []Pool{{1, []Slots{{8, 0}}, []time.Duration{8 * second, 8 * second}}}, Leads: make([]time.Duration, 2),
			Spare: make([]int, 2)}, true},
		{"the slots serve another lane", Input{Groups: fits, Pools: []Pool{{2, []Slots{{100, 0}}, nil}}, Leads: make([]time.Duration, 2), Spare: make([]int, 2)}, true},
		{"two pools that both serve it", Input{Groups: fits, Pools: []Pool{{1, []Slots{{4, 0}}, nil}, {3, []Slots{{5, 0}}, nil}}, Leads: make([]time.Duration, 2),
			Spare: make([]int, 2)}, false},
	} {
		if p := Make(c.in); p.Overloaded != c.overloaded {
			t.Errorf("%s: overloaded %v", c.name, p.Overloaded)
		}
	}
}

// TestClasses guards against groups that run although they cannot be complete, before ones that can.
func TestClasses(t *testing.T) {
	var all []Group
	for i := range 6 {
		all = append(all, group(0, 0, i, 10*second, 8*second))
	}
	all[4].Carried = true
	for i := range 2 {
		all = append(all, group(1, 1, i, 10*second, 8*second))
	}
	overdue := group(2, 2, 0, second, -second)
	overdue.Late = 3 * second
	long := group(2, 2, 1, second, 8*second)
	long.Longest = 20 * second
	in := input(7, append(all, overdue, long)...)
	in.Spare[0] = 3
	p := Make(in)
	// Seven slots take four groups of 10 s until 8 s: two of each flow, the carried one first. By 12 s there is room for
	// two more.
	want := []Class{InTime, Late, Late, TooLate, InTime, TooLate, InTime, InTime, Late, TooLate}
	for i, c := range p.Classes {
		if c != want[i] {
			t.Errorf("group %d of batch %d is of class %d, want %d", in.Groups[i].Index, in.Groups[i].Batch, c, want[i])
		}
	}
	if p.Ranks[9] < p.Ranks[5] || p.Ranks[5] < p.Ranks[1] || p.Ranks[1] < p.Ranks[0] {
		t.Errorf("ranks %v do not follow the classes", p.Ranks)
	}
	in.Groups[6].Priority, in.Groups[7].Priority = 1, 1
	if p := Make(in); p.Classes[0] != InTime || p.Classes[1] != InTime || p.Classes[6] == InTime && p.Ranks[6] <= p.Ranks[1] {
		t.Errorf("classes %v, ranks %v: priority does not go first", p.Classes, p.Ranks)
	}
}

// TestWait gives the time until a group fits, and none where no engine serves it.
func TestWait(t *testing.T) {
	in := input(1, group(0, 0, 0, 40*second, 8*second), group(1, 1, 0, 2*second, 8*second))
	p := Make(in)
	if d, ok := p.Wait(in, 0); !ok || d < 20*second || d > 40*second {
		t.Errorf("wait %v, %v", d, ok)
	}
	in.Pools = nil
	p = Make(in)
	if _, ok := p.Wait(in, 0); ok {
		t.Error("a group that no engine serves will fit")
	}
}
