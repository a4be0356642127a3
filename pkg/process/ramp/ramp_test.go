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
	check("not proven yet", 1)
	serve(1)
	check("proven once", 2)
	serve(6)
	check("proven twice", 4)
	c.Refused += 3
	r.Observe(c)
	check("turned away", 2)
	c.Failed += 9
	r.Observe(c)
	r.Observe(c)
	check("failed", 1)
	serve(1000)
	check("warm", 8)
	r.Announce(1, 5)
	check("bears less", 5)
	r.Announce(2, 8)
	check("new incarnation", 1)
	r.Adopt(100)
	check("adopted from an earlier leader", 8)
	r.Announce(1, 3)
	if r.Incarnation != 2 {
		t.Fatal("an old incarnation came back")
	}
}
