package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// copiesReplay plays an hour of 12 calls per second through 75 hosts to three servers, each of which takes 2.5 times as
// long for 600 ms, 15% of the time. A call beyond three times the usual time has a second copy. If redraw is set, the
// copy takes a time of its own, otherwise it has the same work. It returns the part of the calls answered within 150 ms
// and the part of them that had a copy.
func copiesReplay(part float64, redraw bool) (inTime, copied float64) {
	random := rand.New(rand.NewPCG(1, 2))
	var budgets []*Copies
	for range hostCount {
		budgets = append(budgets, NewCopies(part, random.Float64()))
	}
	slow := map[[2]int]bool{}
	for s := range 3 {
		for phase := range 3600 * 1000 / 600 {
			slow[[2]int{s, phase}] = random.Float64() < 0.15
		}
	}
	end := func(s int, at, work float64) float64 {
		for ; work > 0; at++ {
			if work--; slow[[2]int{s, int(at) / 600}] {
				work += 0.6
			}
		}
		return at
	}
	calls, copies, timely := 0.0, 0.0, 0.0
	for at := 0.0; at < 3590e3; at += random.ExpFloat64() * 1000 / 12 {
		s, budget := random.IntN(3), budgets[random.IntN(hostCount)]
		work := min(longest, mean*random.ExpFloat64())
		took := end(s, at, work) - at
		if budget != nil {
			budget.Began()
			if took > 3*mean && budget.Take() {
				copies++
				if redraw {
					work = min(longest, mean*random.ExpFloat64())
				}
				took = min(took, end((s+1+random.IntN(2))%3, at+3*mean, work)-at)
			}
		}
		calls++
		if took <= 150 {
			timely++
		}
	}
	return timely / calls, copies / calls
}

// TestCopies guards against copies beyond the budget of all hosts together, and shows what they are worth.
func TestCopies(t *testing.T) {
	for _, redraw := range []bool{false, true} {
		for _, part := range []float64{0, 0.02, 0.05, 0.1} {
			start := time.Now()
			inTime, copied := copiesReplay(part, redraw)
			t.Logf("redraw %v, copies %.2f: %.4f in time, %.4f copied (%v)", redraw, part, inTime, copied, time.Since(start).Round(time.Millisecond))
			if copied > part*1.03 {
				t.Errorf("%.4f of the calls copied, want %.2f at most", copied, part)
			}
		}
	}
}
