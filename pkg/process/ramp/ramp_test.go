package ramp

import "testing"

func TestRamp(t *testing.T) {
	r := New(1, 8)
	var c Counts
	serve := func(n int) {
		for range n {
			c.Served++
			r.Observe(c)
		}
	}
	check := func(what string, want int) {
		t.Helper()
		if r.Limit != want {
			t.Fatalf("%s: limit is %d, want %d", what, r.Limit, want)
		}
	}
	check("fresh", 1)
	serve(2)
	check("below the threshold", 1)
	serve(1)
	check("doubled once", 2)
	serve(6)
	check("doubled twice", 4)
	c.Refused += 3
	r.Observe(c)
	check("after refusals", 2)
	c.Failed += 9
	r.Observe(c)
	r.Observe(c)
	check("after failures", 1)
	serve(1000)
	check("at capacity", 8)
	r.Announce(1, 5)
	check("capacity lowered", 5)
	r.Announce(2, 8)
	check("new incarnation", 1)
	r.Adopt(100)
	check("adopted from an earlier leader", 8)
	r.Announce(1, 3)
	if r.Incarnation != 2 {
		t.Fatal("an announcement of an old incarnation replaced the current one")
	}
}
