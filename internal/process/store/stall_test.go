package store

import (
	"errors"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/request/batch"
)

func TestStalls(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name                string
		silence, mean, left time.Duration
		want                error
	}{
		{"between two events", 45 * ms, 40 * ms, 5 * time.Second, nil},
		{"a pause of a full engine", 150 * ms, 40 * ms, 5 * time.Second, nil},
		{"a load during a long run", 220 * ms, 40 * ms, 5 * time.Second, errStalled},
		{"a load at the end of a run", 220 * ms, 40 * ms, 500 * ms, nil},
		{"a slow engine", 500 * ms, 160 * ms, 5 * time.Second, nil},
		{"a slow engine that loads", 645 * ms, 160 * ms, 5 * time.Second, errStalled},
		{"a silent engine", 700 * ms, 40 * ms, 0, errSilent},
		{"a very slow engine", 1200 * ms, 320 * ms, 5 * time.Second, nil},
		{"before the first event", 500 * ms, 0, 5 * time.Second, nil},
		{"never a first event", 660 * ms, 0, 0, errSilent},
	} {
		if got := stallOf(c.silence, c.mean, c.left); !errors.Is(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestExpectedWork follows the steps of two models, of which one stops being trained.
func TestExpectedWork(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	step := func(model string, items, hint int, at time.Time) *batch.Batch {
		b := &batch.Batch{Model: model, Submitted: at.UnixMilli()}
		for range items {
			b.Items = append(b.Items, batch.Item{LengthHint: hint})
		}
		return b
	}
	x := workEstimates{}
	x.add(step("", 50, 100, now))
	x.add(step("a", 10, 90, now))
	x.add(step("b", 10, 190, now))
	if got := x.expected(now); len(got) != 2 || got["a"] != 1000 || got["b"] != 2000 {
		t.Fatalf("work is %v", got)
	}
	for range 20 {
		now = now.Add(4 * time.Second)
		x.add(step("a", 20, 90, now))
	}
	got := x.expected(now)
	if _, known := got["b"]; known || got["a"] < 1990 || got["a"] > 2000 {
		t.Fatalf("work is %v, want 2000 for a alone", got)
	}
}
