package share

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// fakeHolder is a holder to which grants may get lost.
type fakeHolder struct {
	share, running int
}

// TestSharesNeverExceedTheLimit runs holders that request, use and release shares, lose
// grants, fail and rejoin under a growing limit. The total in use never exceeds the
// limit.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAllocator()
		limit := rapid.IntRange(0, 12).Draw(t, "limit")
		a.SetLimit("r", limit)
		holders := map[string]*fakeHolder{}
		for i := range rapid.IntRange(1, 6).Draw(t, "holders") {
			holders[fmt.Sprint(i)] = &fakeHolder{}
		}
		names := rapid.SampledFrom(keys(holders))
		t.Repeat(map[string]func(*rapid.T){
			"renew": func(t *rapid.T) {
				name := names.Draw(t, "holder")
				h := holders[name]
				a.Report(name, map[string]Holding{"r": {Share: h.share, Running: h.running}})
				n := a.Grant(name, "r", rapid.IntRange(0, 12).Draw(t, "want"))
				if rapid.Bool().Draw(t, "arrives") {
					h.share = n
				}
			},
			"start": func(t *rapid.T) {
				h := holders[names.Draw(t, "holder")]
				h.running = max(h.running, h.share)
			},
			"end": func(t *rapid.T) {
				h := holders[names.Draw(t, "holder")]
				h.running = max(0, h.running-1)
			},
			"die": func(t *rapid.T) {
				name := names.Draw(t, "holder")
				*holders[name] = fakeHolder{}
				a.Drop(name)
			},
			"grow": func(t *rapid.T) {
				limit += rapid.IntRange(0, 4).Draw(t, "more")
				a.SetLimit("r", limit)
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, h := range holders {
					sum += max(h.share, h.running)
				}
				if sum > limit {
					t.Fatalf("%d in use with a limit of %d", sum, limit)
				}
			},
		})
	})
}

func keys(m map[string]*fakeHolder) []string {
	var out []string
	for i := range len(m) {
		out = append(out, fmt.Sprint(i))
	}
	return out
}

func TestLoweredLimitGrantsNothingNew(t *testing.T) {
	a := NewAllocator()
	a.SetLimit("r", 8)
	a.Report("a", nil)
	a.Grant("a", "r", 8)
	a.SetLimit("r", 1)
	a.Report("b", nil)
	if n := a.Grant("b", "r", 4); n != 0 {
		t.Fatalf("granted %d while 8 are in use with a limit of 1", n)
	}
	a.Report("a", map[string]Holding{"r": {Share: 8, Running: 3}})
	if n := a.Grant("a", "r", 8); n != 1 {
		t.Fatalf("granted %d, want 1", n)
	}
}

func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 100).Draw(t, "total")
		var weights []HolderWeight
		for i := range rapid.IntRange(1, 10).Draw(t, "n") {
			weights = append(weights, HolderWeight{fmt.Sprint(i), float64(rapid.IntRange(1, 50).Draw(t, "weight"))})
		}
		sum := 0
		for _, n := range Divide(total, weights, nil, func(h string) uint64 { return uint64(len(h)) }) {
			sum += n
		}
		if sum != total {
			t.Fatalf("parts add up to %d, want %d", sum, total)
		}
	})
}

// TestDivideCarriesRoundingError divides many small resources. The sums stay in
// proportion although most parts are rounded to zero.
func TestDivideCarriesRoundingError(t *testing.T) {
	roundingError, sums := map[string]float64{}, map[string]int{}
	weights := []HolderWeight{{"big", 6}, {"mid", 3}, {"small", 1}}
	for range 100 {
		for h, n := range Divide(1, weights, roundingError, func(string) uint64 { return 0 }) {
			sums[h] += n
		}
	}
	if sums["big"] != 60 || sums["mid"] != 30 || sums["small"] != 10 {
		t.Fatalf("sums are %v, want 60, 30 and 10", sums)
	}
}

func TestFairSplit(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity float64
		demands  []Demand
		parts    map[string]float64
	}{
		{"enough for all", 10, []Demand{{"a", 1, 2}, {"b", 1, 3}}, map[string]float64{"a": 2, "b": 3}},
		{"flood", 12, []Demand{{"flood", 1, 100}, {"a", 1, 2}, {"b", 1, 9}}, map[string]float64{"flood": 5, "a": 2, "b": 5}},
		{"weights", 10, []Demand{{"big", 4, 100}, {"small", 1, 100}}, map[string]float64{"big": 8, "small": 2}},
		{"no demand", 10, nil, map[string]float64{}},
	} {
		got := FairSplit(c.capacity, c.demands)
		for party, want := range c.parts {
			if math.Abs(got[party]-want) > 1e-9 {
				t.Errorf("%s: share of %s is %v, want %v", c.name, party, got[party], want)
			}
		}
	}
}
