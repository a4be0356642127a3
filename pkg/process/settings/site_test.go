package settings

import "testing"

// TestSchedulingPrompts guards against a setting out of range, with which no item or every item would be
// placed by its prompt.
func TestSchedulingPrompts(t *testing.T) {
	for prompts, valid := range map[int]bool{-1: false, 0: true, 768: true, 1_000_000: true, 1_000_001: false} {
		if err := (Scheduling{Prompts: prompts}).check(); (err == nil) != valid {
			t.Errorf("prompts %d: %v", prompts, err)
		}
	}
}
