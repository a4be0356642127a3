package forecast

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// points is the number of points in time for which capacity is computed. Deadlines are rounded down to one.
	points = 64
	// MaxLanes is the maximum number of lanes.
	MaxLanes = 64
	// utilization is the part of the slots' time that items use if there are always waiting ones: a slot is
	// idle between two items, and at the end of a step the last items run alone.
	utilization = 0.9
	// overloadedUtilization is the same while not all groups can be complete. The difference keeps the order from
	// changing with each plan.
	overloadedUtilization = 0.85
	// acceptUtilization is the part of the slots' time that is given to accepted groups. The rest covers lengths
	// that are not known exactly and long items, which cannot be divided; late groups use what is left of it. In replays
	// with 0.95, a fifth of the accepted groups was late by some 0.2 s.
	acceptUtilization = 0.75
)

// times are the points in time: every 250 ms until 8 s, every 500 ms until 16 s, and then a third more each time, so that
// batches that are due in an hour do not make those of seconds less exact.
var times = func() (out [points]time.Duration) {
	for i := 1; i < points; i++ {
		switch {
		case out[i-1] < 8*time.Second:
			out[i] = out[i-1] + 250*time.Millisecond
		case out[i-1] < 16*time.Second:
			out[i] = out[i-1] + 500*time.Millisecond
		default:
			out[i] = out[i-1] * 4 / 3
		}
	}
	return out
}()

// point returns the last point in time until d.
func point(d time.Duration) int {
	i, exact := slices.BinarySearch(times[:], d)
	if exact {
		return i
	}
	return max(0, i-1)
}

// Slots is a number of slots that are usable from a time on, as a duration from now.
type Slots struct {
	Count int
	From  time.Duration
}

// Pool is a set of engines that serve the same lanes.
type Pool struct {
	// Lanes is the set of lanes, one bit each. A lane is what items require of an engine: its
	// service, model and weight version.
	Lanes uint64
	Slots []Slots
	// Running lists the expected remaining times of the running items.
	Running []time.Duration
}

// capacity holds the engine time that pools have left until each point in time.
type capacity struct {
	pools []poolCapacity
	undo  []draw
}

type poolCapacity struct {
	lanes uint64
	slots int
	left  [points]time.Duration
}

type draw struct {
	pool, point int
	work        time.Duration
}

func newCapacity(pools []Pool, used float64) *capacity {
	c := &capacity{}
	for _, p := range pools {
		x := poolCapacity{lanes: p.Lanes}
		for _, s := range p.Slots {
			x.slots += s.Count
		}
		for i, t := range times {
			for _, s := range p.Slots {
				x.left[i] += time.Duration(used * float64(s.Count) * float64(max(0, t-s.From)))
			}
			for _, r := range p.Running {
				x.left[i] -= min(max(r, 0), t)
			}
		}
		c.pools = append(c.pools, x)
	}
	// Pools that serve fewer lanes are used first, since they are of no use to the others.
	slices.SortStableFunc(c.pools, func(a, b poolCapacity) int { return bits.OnesCount64(a.lanes) - bits.OnesCount64(b.lanes) })
	return c
}

// available returns the work that a pool can take until a point without delaying what it has taken.
func (p *poolCapacity) available(point int) time.Duration {
	return slices.Min(p.left[point:])
}

func (c *capacity) take(pool, point int, work time.Duration) {
	left := c.pools[pool].left[point:]
	for i := range left {
		left[i] -= work
	}
}

// fits takes the parts of a group until a point, and reports whether there is room for all of them. Otherwise it
// takes nothing.
func (c *capacity) fits(parts []Part, point int) bool {
	c.undo = c.undo[:0]
	for _, part := range parts {
		need := part.Work
		for i := range c.pools {
			if need <= 0 {
				break
			}
			if c.pools[i].lanes&(1<<part.Lane) == 0 {
				continue
			}
			if work := min(need, c.pools[i].available(point)); work > 0 {
				c.take(i, point, work)
				c.undo = append(c.undo, draw{i, point, work})
				need -= work
			}
		}
		if need > 0 {
			for _, u := range c.undo {
				c.take(u.pool, u.point, -u.work)
			}
			return false
		}
	}
	return true
}

// force takes the parts of a group whether there is room or not.
func (c *capacity) force(parts []Part, point int) {
	for _, part := range parts {
		best := -1
		for i := range c.pools {
			if p := &c.pools[i]; p.lanes&(1<<part.Lane) != 0 && (best < 0 || p.left[points-1] > c.pools[best].left[points-1]) {
				best = i
			}
		}
		if best >= 0 {
			c.take(best, point, part.Work)
		}
	}
}

// wait returns the time until the pools of the parts have worked off what is missing for them, false if
// no pool serves them.
func (c *capacity) wait(parts []Part, point int) (time.Duration, bool) {
	longest := time.Duration(0)
	for _, part := range parts {
		slots, missing := 0, part.Work
		for i := range c.pools {
			if p := &c.pools[i]; p.lanes&(1<<part.Lane) != 0 {
				slots += p.slots
				missing -= p.available(point)
			}
		}
		if slots == 0 {
			return 0, false
		}
		longest = max(longest, missing/time.Duration(slots))
	}
	return longest, true
}
